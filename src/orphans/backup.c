#include "orphans/backup.h"

#include <string.h>

/*
 * Start of each probe round after the owner was found dead. Some stacks reply
 * to only two unacceptable segments a second for each connection. The late
 * rounds are for callers whose replies were not reset because another member
 * was suspected, which lasts up to MEMBER_SUSPECT_TIMEOUT_US.
 */
static const uint64_t round_starts_us[BACKUP_ROUNDS] = {
    0,
    150 * USEC_PER_MSEC,
    700 * USEC_PER_MSEC,
    1300 * USEC_PER_MSEC,
    2500 * USEC_PER_MSEC,
    7 * USEC_PER_SEC,
    BACKUP_LAST_ROUND_US,
};

/* Maximum burst of probes. */
#define TOKENS_MAX (BACKUP_PROBES_PER_S / 10)

static void
replica_remove(struct backup *backup, size_t i)
{
    struct replica *last = &backup->items[backup->count - 1];

    backup->flows -= backup->items[i].flows.used;
    caller_set_finish(&backup->items[i].flows);
    backup->items[i] = *last;
    memset(last, 0, sizeof(*last));
    backup->count--;
}

static void
replica_clear(struct backup *backup, struct replica *replica)
{
    backup->flows -= replica->flows.used;
    caller_set_finish(&replica->flows);
    memset(&replica->service_addrs, 0, sizeof(replica->service_addrs));
}

static void
replica_mark_dead(struct replica *replica, uint64_t now_us)
{
    if (replica->dead) {
        return;
    }
    replica->dead = true;
    replica->dead_us = now_us;
    replica->rounds_done = 0;
    replica->extra_rounds = 0;
    replica->cursor = 0;
}

static bool
is_probing_done(const struct replica *replica)
{
    return replica->dead && replica->rounds_done == BACKUP_ROUNDS &&
           replica->extra_rounds == 0;
}

/* Removes replicas that are kept only in case their owners come back. */
static void
remove_probed(struct backup *backup)
{
    size_t i = 0;

    while (i < backup->count) {
        if (is_probing_done(&backup->items[i])) {
            replica_remove(backup, i);
            continue;
        }
        i++;
    }
}

static struct replica *
replica_find(struct backup *backup, uint64_t owner, uint64_t boot)
{
    size_t i;

    for (i = 0; i < backup->count; i++) {
        if (backup->items[i].owner == owner && backup->items[i].boot == boot) {
            return &backup->items[i];
        }
    }
    return NULL;
}

/* Marks replicas of earlier processes of the owner as dead. Returns whether
 * there is a replica of a later process than that of @boot. */
static bool
replace_earlier_incarnations(struct backup *backup, uint64_t owner,
                             uint64_t boot, uint64_t now_us)
{
    bool later = false;
    size_t i;

    for (i = 0; i < backup->count; i++) {
        struct replica *replica = &backup->items[i];

        if (replica->owner != owner) {
            continue;
        }
        later |= replica->boot > boot;
        if (replica->boot < boot) {
            replica->replaced = true;
            replica_mark_dead(replica, now_us);
        }
    }
    return later;
}

static struct replica *
replica_add(struct backup *backup, const struct view_member *owner,
            const struct orphan_message *message)
{
    struct replica *replica;

    if (backup->count == BACKUP_OWNERS_MAX) {
        remove_probed(backup);
    }
    if (backup->count == BACKUP_OWNERS_MAX) {
        backup->refused++;
        return NULL;
    }
    replica = &backup->items[backup->count++];
    *replica = (struct replica){.owner = owner->id,
                                .since_us = owner->since_us,
                                .boot = message->boot};
    return replica;
}

static void
replica_begin_session(struct backup *backup, struct replica *replica,
                      const struct orphan_message *message)
{
    replica_clear(backup, replica);
    replica->session = message->session;
    replica->seq = 0;
}

static void
replica_add_flow(struct backup *backup, struct replica *replica,
                 struct addr service, struct addr caller)
{
    int index = service_addrs_add(&replica->service_addrs, service);
    struct caller flow = {caller, (uint8_t)index};

    if (index >= 0 && caller_set_flags(&replica->flows, flow, NULL)) {
        return;
    }
    if (index < 0 || backup->flows >= BACKUP_FLOWS_MAX ||
        caller_set_put(&replica->flows, flow, 0) < 0) {
        backup->refused++;
        return;
    }
    replica->service_addrs.flows[index]++;
    backup->flows++;
}

static void
replica_remove_flow(struct backup *backup, struct replica *replica,
                    struct addr service, struct addr caller)
{
    int index = service_addrs_find(&replica->service_addrs, service);
    struct caller flow = {caller, (uint8_t)index};

    if (index < 0 || !caller_set_flags(&replica->flows, flow, NULL)) {
        return;
    }
    caller_set_remove(&replica->flows, flow);
    replica->service_addrs.flows[index]--;
    backup->flows--;
}

static void
replica_apply(struct backup *backup, struct replica *replica,
              const struct orphan_message *message)
{
    const struct addr *closed = message->callers + message->opened;
    size_t i;

    replica->seq = message->seq;
    for (i = 0; i < message->opened; i++) {
        replica_add_flow(backup, replica, message->service,
                         message->callers[i]);
    }
    for (i = 0; i < message->closed; i++) {
        replica_remove_flow(backup, replica, message->service, closed[i]);
    }
}

/* Applies a batch that is next in sequence. Returns false when batches before
 * it are missing, true also for a repeated one. */
static bool
replica_accept_batch(struct backup *backup, struct replica *replica,
                     const struct orphan_message *message)
{
    if (message->session > replica->session && message->seq == 1) {
        replica_begin_session(backup, replica, message);
    }
    if (message->session != replica->session ||
        message->seq > replica->seq + 1) {
        return false;
    }
    if (message->seq == replica->seq + 1) {
        replica_apply(backup, replica, message);
    }
    return true;
}

static bool
is_valid_batch(const struct orphan_message *message)
{
    return message->type == ORPHAN_MESSAGE_FLOWS && message->boot != 0 &&
           message->session != 0 && message->seq != 0 &&
           message->opened <= ORPHAN_BATCH_MAX &&
           message->closed <= ORPHAN_BATCH_MAX - message->opened;
}

/* Finds or adds the replica that the batch is for. When it returns NULL,
 * @send_reply is set if the owner has to send all flows again. */
static struct replica *
replica_for_batch(struct backup *backup, const struct view_member *owner,
                  const struct orphan_message *message, uint64_t now_us,
                  bool *send_reply)
{
    struct replica *replica;

    *send_reply = false;
    if (replace_earlier_incarnations(backup, owner->id, message->boot,
                                     now_us)) {
        return NULL;
    }
    replica = replica_find(backup, owner->id, message->boot);
    if (message->seq != 1 &&
        (replica == NULL || replica->since_us != owner->since_us)) {
        *send_reply = true;
        return NULL;
    }
    if (replica != NULL) {
        replica->since_us = owner->since_us;
        return replica;
    }
    /* The owner sends the batch again until the view is corrected. */
    if (owner->health == MEMBER_DEAD) {
        return NULL;
    }
    return replica_add(backup, owner, message);
}

/*
 * Whether the owner's process that @replica is of is not dead in the view. A
 * batch may arrive before the view has its process, or after the view has the
 * next one, so @since_us changes only with the first batch of a session.
 */
static bool
is_owner_alive(const struct replica *replica, const struct view_member *owner)
{
    return owner != NULL && owner->health != MEMBER_DEAD &&
           owner->since_us == replica->since_us && !replica->replaced;
}

void
backup_init(struct backup *backup)
{
    memset(backup, 0, sizeof(*backup));
}

void
backup_finish(struct backup *backup)
{
    size_t i;

    for (i = 0; i < backup->count; i++) {
        caller_set_finish(&backup->items[i].flows);
    }
    backup_init(backup);
}

bool
backup_receive(struct backup *backup, const struct view *view, uint64_t from,
               const struct orphan_message *message, uint64_t now_us,
               struct orphan_message *reply)
{
    const struct view_member *owner = view_find(view, from);
    struct replica *replica;
    bool send_reply;

    if (owner == NULL || owner->role != MEMBER_AGENT ||
        !is_valid_batch(message)) {
        return false;
    }
    if (backup->flows + ORPHAN_BATCH_MAX > BACKUP_FLOWS_MAX) {
        remove_probed(backup);
    }
    *reply = (struct orphan_message){.type = ORPHAN_MESSAGE_ACK,
                                     .boot = message->boot,
                                     .session = message->session,
                                     .seq = message->seq};
    replica = replica_for_batch(backup, owner, message, now_us, &send_reply);
    if (replica == NULL) {
        return send_reply;
    }
    if (message->session < replica->session) {
        return false; /* delayed, of an abandoned session */
    }
    reply->known = replica_accept_batch(backup, replica, message);
    replica->last_batch_us = now_us;
    replica->alive = owner->health == MEMBER_ALIVE;
    if (is_owner_alive(replica, owner)) {
        replica->dead = false;
    }
    return true;
}

static bool
has_suspects(const struct view *view)
{
    size_t i;

    for (i = 0; i < view->count; i++) {
        if (view->members[i].role == MEMBER_AGENT &&
            view->members[i].health == MEMBER_SUSPECT) {
            return true;
        }
    }
    return false;
}

/* Schedules more rounds, since replies to earlier probes may not have been
 * reset while an agent was suspected. */
static void
schedule_extra_rounds(struct backup *backup, uint64_t now_us)
{
    size_t i;

    for (i = 0; i < backup->count; i++) {
        struct replica *replica = &backup->items[i];

        if (replica->dead && now_us > replica->dead_us &&
            now_us < replica->dead_us + BACKUP_LAST_ROUND_US) {
            replica->extra_rounds = BACKUP_EXTRA_ROUNDS;
            replica->next_extra_us = now_us;
            replica->cursor = 0;
        }
    }
}

void
backup_set_view(struct backup *backup, const struct view *view,
                uint64_t now_us)
{
    bool suspects = has_suspects(view);
    size_t i;

    for (i = 0; i < backup->count; i++) {
        struct replica *replica = &backup->items[i];
        const struct view_member *owner = view_find(view, replica->owner);

        if (!is_owner_alive(replica, owner)) {
            replica->alive = false;
            replica_mark_dead(replica, now_us);
            continue;
        }
        replica->alive = owner->health == MEMBER_ALIVE;
        replica->dead = false;
    }
    if (backup->suspects && !suspects) {
        schedule_extra_rounds(backup, now_us);
    }
    backup->suspects = suspects;
}

static void
refill_tokens(struct backup *backup, uint64_t now_us)
{
    uint64_t filled =
        (now_us - backup->tokens_us) * BACKUP_PROBES_PER_S / USEC_PER_SEC;

    if (now_us < backup->tokens_us || filled == 0) {
        return;
    }
    backup->tokens += filled;
    backup->tokens_us = now_us;
    if (backup->tokens > TOKENS_MAX) {
        backup->tokens = TOKENS_MAX;
    }
}

static bool
is_round_due(const struct replica *replica, uint64_t now_us)
{
    if (!replica->dead) {
        return false;
    }
    if (replica->extra_rounds > 0 && now_us >= replica->next_extra_us) {
        return true;
    }
    return replica->rounds_done < BACKUP_ROUNDS &&
           now_us >= replica->dead_us + round_starts_us[replica->rounds_done];
}

/* Ends a round. An extra round counts as a regular one that is due as well. */
static void
end_round(struct replica *replica, uint64_t now_us)
{
    replica->cursor = 0;
    if (replica->rounds_done < BACKUP_ROUNDS &&
        now_us >= replica->dead_us + round_starts_us[replica->rounds_done]) {
        replica->rounds_done++;
    }
    if (replica->extra_rounds > 0 && now_us >= replica->next_extra_us) {
        replica->extra_rounds--;
        replica->next_extra_us = now_us + BACKUP_EXTRA_INTERVAL_US;
    }
}

/* Writes the next probes of the current round. */
static void
replica_probe(struct backup *backup, struct replica *replica, uint64_t now_us,
              struct orphan_probe *probes, size_t *count, size_t max)
{
    struct caller caller;

    if (!is_round_due(replica, now_us)) {
        return;
    }
    while (*count < max && backup->tokens > 0) {
        if (!caller_set_next(&replica->flows, &replica->cursor, &caller)) {
            end_round(replica, now_us);
            return;
        }
        probes[(*count)++] = (struct orphan_probe){
            replica->service_addrs.items[caller.service], caller.addr};
        backup->tokens--;
    }
}

size_t
backup_probes(struct backup *backup, uint64_t now_us,
              struct orphan_probe *probes, size_t max)
{
    size_t count = 0;
    size_t i;

    refill_tokens(backup, now_us);
    for (i = 0; i < backup->count; i++) {
        replica_probe(backup, &backup->items[i], now_us, probes, &count, max);
    }
    return count;
}

static bool
is_replica_expired(const struct replica *replica, uint64_t now_us)
{
    if (replica->dead) {
        return is_probing_done(replica) &&
               (replica->replaced ||
                now_us >= replica->dead_us + BACKUP_EXPIRY_US);
    }
    return replica->alive &&
           now_us >= replica->last_batch_us + BACKUP_EXPIRY_US;
}

void
backup_tick(struct backup *backup, uint64_t now_us)
{
    size_t i = 0;

    while (i < backup->count) {
        if (is_replica_expired(&backup->items[i], now_us)) {
            replica_remove(backup, i);
            continue;
        }
        i++;
    }
}
