#include "request/remote.h"

#include <errno.h>

#include "request/dispatch.h"
#include "request/finish.h"
#include "request/outcome.h"

static void
reply_declined(struct engine *engine, uint64_t to,
               const struct engine_peer_msg *msg, enum engine_reason reason)
{
    struct engine_action *action;

    action = engine_send(engine, to, ENGINE_PEER_DONE, NULL);
    action->id = msg->request.id;
    action->origin = to;
    action->outcome = ENGINE_NOT_RUN;
    action->reason = reason;
    action->msg.origin = to;
    action->msg.request = msg->request;
    action->msg.outcome = ENGINE_NOT_RUN;
    action->msg.reason = reason;
    engine->counters.declined++;
}

static enum engine_reason
decline_reason(const struct engine *engine,
               const struct engine_request *request)
{
    if (engine->stopping) {
        return ENGINE_STOPPING;
    }
    if (!upstream_serves(&engine->upstream, request->service)) {
        return ENGINE_NO_UPSTREAM;
    }
    if (request->deadline_us <= engine->now_us) {
        return ENGINE_TOO_LATE;
    }
    if (upstream_free_slots(&engine->upstream, request->service,
                            engine->now_us) == 0) {
        return ENGINE_QUEUE_FULL;
    }
    return ENGINE_REASON_NONE;
}

static void
accept_run(struct engine *engine, const struct engine_peer_msg *msg)
{
    struct entry *entry =
        entry_add(engine->entries, msg->origin, &msg->request, engine->now_us);
    struct engine_action *action = engine_emit(engine, ENGINE_RUN);

    action->id = entry->key.id;
    action->origin = entry->key.origin;
    entry->runnable = true;
    entry->state = ENTRY_RUNNING;
    entry->started_us = engine->now_us;
    upstream_acquire_slot(&engine->upstream, engine->now_us);
    engine->counters.runs++;
}

static void
receive_run(struct engine *engine, uint64_t from,
            const struct engine_peer_msg *msg)
{
    enum engine_reason reason;

    dispatch_on_remote_run(engine);
    if (!seen_add(&engine->seen, from, msg->request.id, engine->now_us)) {
        engine->counters.dropped++;
        return;
    }
    reason = decline_reason(engine, &msg->request);
    if (reason != ENGINE_REASON_NONE) {
        reply_declined(engine, from, msg, reason);
        return;
    }
    accept_run(engine, msg);
}

/* A decline by the agent itself is no failure of its upstream. */
static void
peer_refused(struct engine *engine, struct entry *entry, struct peer *peer,
             enum engine_reason reason)
{
    switch (reason) {
    case ENGINE_QUEUE_FULL:
    case ENGINE_NO_UPSTREAM:
    case ENGINE_TOO_LATE:
    case ENGINE_STOPPING:
        if (peer != NULL) {
            peer_declined(peer, engine->now_us);
        }
        outcome_declined(engine, entry, reason);
        return;
    default:
        if (peer != NULL) {
            peer_failed(&engine->peers, peer, engine->now_us);
        }
        outcome_refused(engine, entry, reason);
        return;
    }
}

static void
handle_peer_lost(struct engine *engine, struct entry *entry, struct peer *peer,
                 enum engine_reason reason)
{
    if (reason == ENGINE_DEADLINE || reason == ENGINE_CANCELLED) {
        finish_unknown(engine, entry, reason);
        return;
    }
    if (peer != NULL && !engine_dependency_down(engine, peer->service)) {
        peer_failed(&engine->peers, peer, engine->now_us);
    }
    outcome_lost(engine, entry, reason);
}

static void
receive_done(struct engine *engine, uint64_t from,
             const struct engine_peer_msg *msg, const uint8_t *answer,
             size_t answer_len)
{
    enum engine_reason reason =
        (unsigned)msg->reason < ENGINE_REASONS ? msg->reason : ENGINE_LOST;
    struct entry *entry =
        entry_find(engine->entries, engine->self, msg->request.id);
    struct peer *peer = peers_find(&engine->peers, from);
    uint64_t took_us;

    if (entry == NULL || entry->state != ENTRY_AT_PEER ||
        entry->peer != from) {
        engine->counters.dropped++;
        return;
    }
    took_us = engine->now_us - entry->started_us;
    remote_detach(engine, entry);
    if (peer != NULL && msg->free_slots > 0) {
        dispatch_on_report(engine, peer, msg);
    }
    if (msg->outcome == ENGINE_ANSWERED) {
        retry_succeeded(&engine->retry);
        if (peer != NULL) {
            peer_answered(peer, took_us);
        }
        if (!upstream_serves(&engine->upstream, entry->request.service)) {
            estimate_run(&engine->estimate, took_us, engine->now_us);
        }
        finish_answered(engine, entry, answer, answer_len);
    }
    else if (msg->outcome == ENGINE_NOT_RUN) {
        peer_refused(engine, entry, peer, reason);
    }
    else {
        handle_peer_lost(engine, entry, peer, reason);
    }
}

/* seen_add() keeps a RUN that arrives after its CANCEL from running. */
static void
receive_cancel(struct engine *engine, uint64_t from,
               const struct engine_peer_msg *msg)
{
    struct entry *entry = entry_find(engine->entries, from, msg->request.id);

    (void)seen_add(&engine->seen, from, msg->request.id, engine->now_us);
    if (entry != NULL && entry->state == ENTRY_RUNNING) {
        finish_without_reply(engine, entry);
    }
}

static void
update_load(struct engine *engine, struct peer *peer,
            const struct engine_peer_msg *msg)
{
    if (msg->load > 0) {
        peer->load = (uint16_t)(msg->load - 1);
        peer->load_at_us = engine->now_us;
    }
}

static void
receive_status(struct engine *engine, struct peer *peer,
               const struct engine_peer_msg *msg)
{
    if (msg->type == ENGINE_PEER_STATUS) {
        peer->waiting[SERVICE_CONFIG_URGENT] =
            msg->waiting[SERVICE_CONFIG_URGENT];
        peer->waiting[SERVICE_CONFIG_ORDINARY] =
            msg->waiting[SERVICE_CONFIG_ORDINARY];
        peer->waiting_at_us = engine->now_us;
    }
    if (msg->free_slots > 0) {
        peer->declined_until_us = 0;
    }
    dispatch_on_report(engine, peer, msg);
}

int
remote_receive(struct engine *engine, uint64_t from,
               const struct engine_peer_msg *msg, const uint8_t *answer,
               size_t answer_len)
{
    struct peer *peer = peers_find(&engine->peers, from);

    if (peer != NULL) {
        update_load(engine, peer, msg);
    }
    switch (msg->type) {
    case ENGINE_PEER_RUN:
    case ENGINE_PEER_CANCEL:
        if (msg->origin != from) {
            return -EPROTO;
        }
        if (msg->type == ENGINE_PEER_RUN) {
            receive_run(engine, from, msg);
        }
        else {
            receive_cancel(engine, from, msg);
        }
        return 0;
    case ENGINE_PEER_DONE:
        if (msg->origin != engine->self) {
            return -EPROTO;
        }
        receive_done(engine, from, msg, answer, answer_len);
        return 0;
    case ENGINE_PEER_STATUS:
    case ENGINE_PEER_PULL:
        if (peer != NULL) {
            receive_status(engine, peer, msg);
        }
        return 0;
    case ENGINE_PEER_PROBE:
        if (peer != NULL) {
            dispatch_send_status(engine, peer);
        }
        return 0;
    case ENGINE_PEER_IDEM:
        return -EPROTO;
    }
    return -EPROTO;
}

/* Requests sent to the lost member may have started there. Its own
 * requests that run here have no receiver; idempotent ones are aborted,
 * others complete. */
static void
fail_entry(struct engine *engine, struct entry *entry, uint64_t member)
{
    if (entry->state == ENTRY_AT_PEER && entry->peer == member) {
        remote_detach(engine, entry);
        outcome_lost(engine, entry, ENGINE_LOST);
    }
    else if (entry->state == ENTRY_RUNNING && entry->key.origin == member &&
             entry->request.idempotent) {
        finish_without_reply(engine, entry);
    }
}

void
remote_peer_lost(struct engine *engine, uint64_t member)
{
    struct peer *peer = peers_find(&engine->peers, member);
    GArray *keys = entry_keys(engine->entries);

    for (guint i = 0; i < keys->len; i++) {
        struct entry_key key = g_array_index(keys, struct entry_key, i);
        struct entry *entry = entry_find(engine->entries, key.origin, key.id);

        if (entry != NULL) {
            fail_entry(engine, entry, member);
        }
    }
    g_array_unref(keys);
    if (peer != NULL) {
        peer->slot_advert = 0;
        peer->waiting_at_us = 0;
        peer->in_flight_at_us = 0;
        peer_declined(peer, engine->now_us);
    }
}

void
remote_send_failed(struct engine *engine, struct entry *entry)
{
    struct peer *peer = peers_find(&engine->peers, entry->peer);

    remote_detach(engine, entry);
    if (peer != NULL) {
        peer_declined(peer, engine->now_us);
    }
    outcome_declined(engine, entry, ENGINE_NO_UPSTREAM);
}

void
remote_detach(struct engine *engine, struct entry *entry)
{
    struct peer *peer = peers_find(&engine->peers, entry->peer);

    g_assert(entry->state == ENTRY_AT_PEER);
    entry->state = ENTRY_WAITING;
    if (peer != NULL && peer->sent > 0) {
        peer->sent--;
    }
}
