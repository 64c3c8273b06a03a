#include "request/keyed.h"

#include "request/finish.h"

static const uint8_t *
copy_answer(struct engine *engine, const uint8_t *answer, size_t len)
{
    uint8_t *copy;

    if (answer == NULL) {
        return NULL;
    }
    copy = g_memdup2(answer, MAX(len, 1));
    g_ptr_array_add(engine->copied_answers, copy);
    return copy;
}

static void
send_idem(struct engine *engine, const struct idem_action *todo)
{
    struct engine_action *action;

    action = engine_send(engine, todo->to, ENGINE_PEER_IDEM, NULL);
    action->msg.idem = todo->msg;
}

/* Applies the decision on the key: run, wait, replay or refuse. */
static void
apply_decision(struct engine *engine, struct entry *entry,
               const struct idem_action *todo)
{
    switch (todo->type) {
    case IDEM_PROCEED:
        entry->runnable = true;
        return;
    case IDEM_REPLAY:
        finish_replayed(engine, entry, &todo->msg);
        return;
    case IDEM_IN_PROGRESS:
        finish_by_key(engine, entry, ENGINE_IN_PROGRESS, ENGINE_REASON_NONE);
        return;
    case IDEM_OUTCOME_UNKNOWN:
        finish_by_key(engine, entry, ENGINE_UNKNOWN, ENGINE_LOST);
        return;
    case IDEM_MISMATCH:
        finish_by_key(engine, entry, ENGINE_KEY_MISMATCH, ENGINE_REASON_NONE);
        return;
    case IDEM_REFUSE:
        finish_by_key(engine, entry, ENGINE_NOT_RUN, ENGINE_KEY_QUORUM);
        return;
    case IDEM_SEND:
        return;
    }
}

static void
apply_action(struct engine *engine, const struct idem_action *todo)
{
    struct entry *entry;

    if (todo->type == IDEM_SEND) {
        send_idem(engine, todo);
        return;
    }
    entry = entry_find(engine->entries, engine->self, todo->token);
    if (entry != NULL && entry->state == ENTRY_WAITING && !entry->runnable) {
        apply_decision(engine, entry, todo);
    }
}

/* Copies answers first, since the next call into idem frees them. */
static void
run_idem_actions(struct engine *engine)
{
    struct idem_actions *out = &engine->idem_out;

    for (size_t i = engine->idem_done; i < out->count; i++) {
        struct idem_msg *msg = &out->items[i].msg;

        msg->answer = copy_answer(engine, msg->answer, msg->answer_len);
    }
    while (engine->idem_done < out->count) {
        struct idem_action todo = out->items[engine->idem_done++];

        apply_action(engine, &todo);
    }
    out->count = 0;
    engine->idem_done = 0;
}

void
keyed_begin(struct engine *engine, struct entry *entry)
{
    int rc = idem_begin(engine->idem, entry->key.id, &entry->request.key,
                        engine->now_us, &engine->idem_out);

    if (rc < 0) {
        finish_by_key(engine, entry, ENGINE_NOT_RUN, ENGINE_KEY_QUORUM);
    }
    run_idem_actions(engine);
}

void
keyed_end(struct engine *engine, const struct entry *entry,
          enum engine_outcome outcome, const uint8_t *answer,
          size_t answer_len)
{
    bool not_run = outcome == ENGINE_NOT_RUN;
    enum idem_state state =
        outcome == ENGINE_ANSWERED ? IDEM_DONE : IDEM_UNKNOWN;

    (void)idem_end(engine->idem, entry->key.id, not_run, state, answer,
                   answer_len, engine->now_us, &engine->idem_out);
    run_idem_actions(engine);
}

void
keyed_receive(struct engine *engine, uint64_t from, const struct idem_msg *msg)
{
    (void)idem_receive(engine->idem, from, msg, engine->now_us,
                       &engine->idem_out);
    run_idem_actions(engine);
}

void
keyed_set_view(struct engine *engine, const struct view *view)
{
    (void)idem_set_view(engine->idem, view, engine->now_us, &engine->idem_out);
    run_idem_actions(engine);
}

void
keyed_tick(struct engine *engine)
{
    (void)idem_tick(engine->idem, engine->now_us, &engine->idem_out);
    run_idem_actions(engine);
}
