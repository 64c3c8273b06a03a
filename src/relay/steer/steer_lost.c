#include "relay/steer/steer_private.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

/* A flow that lives is found by its search within a few hops of 1 ms; only
 * then is it asked for. */
#define ASK_AFTER_US (6 * USEC_PER_MSEC)

/* How long agents and the store may take to answer: as long as a SYN's answer
 * takes where they are slow. */
#define ANSWERS_US (60 * USEC_PER_MSEC)

/* What agents that have been silent for long are given to answer, once all
 * others have: ten times a trip. */
#define SILENT_ANSWERS_US (15 * USEC_PER_MSEC)

/* A tick that comes later than this is the balancer's own delay: answers may
 * lie unread, and the silent are given as long again. */
#define LATE_US (20 * USEC_PER_MSEC)

/* Pause between two questions. A question costs two datagrams an agent: at
 * most 2,000 a second, however many flows are lost and agents there are. One
 * that proved nothing is repeated at half the pace, and so on. */
#define GAP_LEAST_US (20 * USEC_PER_MSEC)
#define GAP_PER_AGENT_US (1 * USEC_PER_MSEC)
#define GAP_GROWTH_MOST 8

/* A flow is asked for while its caller may still wait: it sends again after
 * 0.2, 0.6 and 1.4 s. */
#define CALLER_WAITS_US (1500 * USEC_PER_MSEC)

/* The flow's pin, NULL when it has none any more. */
static struct steer_pin *
pin_of(const struct steer *steer, const struct steer_lost_flow *flow)
{
    if (flow_index_find(&steer->flows, flow->flow) != flow->handle) {
        return NULL;
    }
    return &steer->pins[flow->handle];
}

/* Agents that the last question went to; NULL for none. */
static const GPtrArray *
asked_rows(const struct steer *steer)
{
    uint32_t service = steer->lost.round.service;

    return service == STEER_ANY_SERVICE
               ? steer->agents.rows
               : agents_of_service(&steer->agents, service);
}

/* Whether a flow still waits for a proof. */
static bool
is_waiting(const struct steer_pin *pin, uint64_t now_us)
{
    return pin != NULL && pin->opened && pin->place_count == 0 &&
           pin->over_us == 0 && now_us - pin->sent_us < CALLER_WAITS_US;
}

static void
drop_others(struct steer *steer, uint64_t now_us)
{
    struct steer_lost *lost = &steer->lost;
    unsigned kept = 0;

    for (unsigned i = 0; i < lost->count; i++) {
        struct steer_pin *pin = pin_of(steer, &lost->flows[i]);

        if (is_waiting(pin, now_us)) {
            lost->flows[kept++] = lost->flows[i];
        }
        else if (pin != NULL) {
            pin->lost = false;
        }
    }
    lost->count = kept;
}

/* Takes up to FRAME_ASK_MAX flows that the same agents may hold, those that
 * have waited longest since they were asked for. */
static void
take_flows(struct steer *steer, uint64_t now_us)
{
    struct steer_lost *lost = &steer->lost;
    struct steer_round *round = &lost->round;
    struct steer_lost_flow rest[STEER_LOST_MAX];
    unsigned rest_count = 0;

    round->count = 0;
    for (unsigned i = 0; i < lost->count; i++) {
        const struct steer_lost_flow *flow = &lost->flows[i];
        uint32_t service = STEER_ANY_SERVICE;
        bool due = now_us - flow->since_us >= ASK_AFTER_US &&
                   round->count < FRAME_ASK_MAX &&
                   steer_find_holders(steer, flow->flow, now_us, &service) &&
                   (round->count == 0 || service == round->service);

        if (due) {
            round->service = service;
            round->flows[round->count++] = *flow;
        }
        else {
            rest[rest_count++] = *flow;
        }
    }
    memcpy(lost->flows, rest, rest_count * sizeof(rest[0]));
    memcpy(lost->flows + rest_count, round->flows,
           round->count * sizeof(rest[0]));
}

static void
ask_all(struct steer *steer, uint64_t now_us)
{
    struct steer_round *round = &steer->lost.round;
    const GPtrArray *rows = asked_rows(steer);
    struct frame_ask ask = {
        .round = round->number,
        .view = steer_store_view(steer),
        .count = (uint8_t)round->count,
    };

    for (unsigned i = 0; i < round->count; i++) {
        ask.flows[i] = round->flows[i].flow;
    }
    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        struct agent_row *row = g_ptr_array_index(rows, i);

        if (row->health.state == ENDPOINT_GONE) {
            continue;
        }
        /* They are asked all the same: it is by this question that one is
         * out of reach. A balancer that has been slow itself may take many
         * for silent that are not. One whose endpoint wasn't there at its last
         * word, and that vanishes then, is a host that is taken away: waited
         * for a second each, ten of them after a loss cost 340 of 3,300
         * requests in 2 s of a day. */
        row->excused = row->down || agent_is_unreachable(row, now_us);
        row->in_doubt = row->excused;
        round->unreachable += row->excused;
        round->asked += !row->excused;
        row->asked = round->number;
        round->questions++;
        steer->out->ops->ask(steer->out, row->addr, &ask);
    }
    round->missing = round->asked;
}

static void
start_round(struct steer *steer, uint64_t now_us)
{
    struct steer_round *round = &steer->lost.round;
    uint32_t number = round->number + 1;

    take_flows(steer, now_us);
    if (round->count == 0) {
        /* Those that wait can't be asked for, or not yet. */
        steer->lost.next_us = now_us + GAP_LEAST_US;
        return;
    }
    round->number = number;
    round->open = true;
    round->confirmed = false;
    round->started_us = now_us;
    round->changes = steer->agents.changes;
    round->asked = 0;
    round->unreachable = 0;
    round->questions = 0;
    round->answers = 0;
    round->listed = false;
    round->due_us = now_us + SILENT_ANSWERS_US;
    memset(round->absent, 0xff, sizeof(round->absent));
    ask_all(steer, now_us);
}

/* Flows that nobody has claimed aren't sent along agents any more that have
 * answered for certain; who hasn't answered hasn't. */
static void
note_denied(struct steer *steer)
{
    const struct steer_round *round = &steer->lost.round;
    const GPtrArray *rows = asked_rows(steer);

    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        struct agent_row *row = g_ptr_array_index(rows, i);

        row->whole = row->whole && row->answered == round->number;
    }
    for (unsigned i = 0; i < round->count; i++) {
        struct steer_pin *pin = pin_of(steer, &round->flows[i]);

        if (pin != NULL) {
            pin->denied = round->service == STEER_ANY_SERVICE;
        }
    }
}

/* A question that more than a fourth of the agents left unanswered says
 * nothing about them. */
#define MISSING_PARTS 4

/* Agents that didn't answer are suspected. */
static void
note_missing(struct steer *steer, uint64_t now_us)
{
    const struct steer_round *round = &steer->lost.round;
    const GPtrArray *rows = asked_rows(steer);

    if (MISSING_PARTS * round->missing > round->asked) {
        /* So many don't fail at once: the balancer reads late. */
        return;
    }
    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct agent_row *row = g_ptr_array_index(rows, i);

        if (row->asked == round->number && row->answered != round->number) {
            agents_missed(&steer->agents, row->addr, round->started_us,
                          now_us);
        }
    }
}

static void
end_round(struct steer *steer, uint64_t now_us)
{
    struct steer_lost *lost = &steer->lost;
    struct steer_round *round = &lost->round;
    uint64_t gap_us =
        MAX(GAP_LEAST_US, (uint64_t)round->asked * GAP_PER_AGENT_US);
    unsigned over = 0;

    round->open = false;
    note_missing(steer, now_us);
    note_denied(steer);
    for (unsigned i = 0; i < round->count; i++) {
        struct steer_pin *pin = pin_of(steer, &round->flows[i]);

        if (round->confirmed && is_waiting(pin, now_us) &&
            steer_is_claimed_by_none(steer, i, now_us)) {
            pin->over_us = now_us;
            steer_reset(steer, round->flows[i].handle, now_us);
            over++;
        }
    }
    steer->out->ops->concluded(steer->out, round, over);
    lost->gap_us =
        over > 0 ? gap_us
                 : CLAMP(2 * lost->gap_us, gap_us, GAP_GROWTH_MOST * gap_us);
    lost->next_us = round->started_us + lost->gap_us;
}

/* All have answered: the store is asked only if that tells something about any
 * of the flows. Most questions of a loss fail before that, and a call is worth
 * a fifth of a request: of 2,902 calls that 81 hosts made on a day of total
 * loss, 1,908 were left. */
static void
on_answers(struct steer *steer, uint64_t now_us)
{
    const struct steer_round *round = &steer->lost.round;
    bool any = false;

    for (unsigned i = 0; i < round->count && !any; i++) {
        any = steer_is_claimed_by_none(steer, i, now_us);
    }
    steer->lost.round.listed = true;
    if (any) {
        steer->out->ops->confirm(steer->out, now_us);
    }
    else {
        end_round(steer, now_us);
    }
}

/* Whether every agent that was asked has answered, the silent ones too. */
static bool
all_spoke(const struct steer *steer)
{
    const struct steer_round *round = &steer->lost.round;

    return round->answers == round->questions;
}

/* Whether only agents that have been silent for long still owe an answer. */
static bool
waits_for_silent(const struct steer_round *round)
{
    return round->missing == 0 && !round->listed;
}

static void
tick_round(struct steer *steer, uint64_t now_us)
{
    struct steer_round *round = &steer->lost.round;

    if (now_us - round->started_us >= ANSWERS_US) {
        end_round(steer, now_us);
    }
    else if (waits_for_silent(round) && now_us >= round->due_us + LATE_US) {
        round->due_us = now_us + SILENT_ANSWERS_US;
    }
    else if (waits_for_silent(round) && now_us >= round->due_us) {
        on_answers(steer, now_us);
    }
}

void
steer_lost_note(struct steer *steer, uint32_t handle, uint64_t now_us)
{
    struct steer_lost *lost = &steer->lost;
    struct steer_pin *pin = &steer->pins[handle];

    pin->sent_us = now_us;
    if (!pin->lost && lost->count == STEER_LOST_MAX) {
        drop_others(steer, now_us);
    }
    if (pin->lost || lost->count == STEER_LOST_MAX) {
        return;
    }
    pin->lost = true;
    lost->flows[lost->count++] = (struct steer_lost_flow){
        handle, flow_index_flow(&steer->flows, handle), now_us};
}

void
steer_absent(struct steer *steer, struct addr agent,
             const struct frame_absent *absent, uint64_t now_us)
{
    struct steer_round *round = &steer->lost.round;
    struct agent_row *row = agents_find(&steer->agents, agent);

    if (!round->open || absent->round != round->number || row == NULL ||
        row->asked != round->number || row->answered == round->number) {
        return;
    }
    row->answered = round->number;
    round->answers++;
    agents_alive(&steer->agents, row, now_us);
    row->down = absent->down;
    row->in_doubt = absent->silent;
    row->whole = !absent->silent && !absent->partial;
    row->partial = absent->partial;
    if (row->excused) {
        round->unreachable--;
        round->asked++;
    }
    else {
        round->missing--;
    }
    if (absent->silent) {
        round->unreachable++;
        round->asked--;
    }
    else {
        for (unsigned i = 0; i < FRAME_ASK_WORDS; i++) {
            round->absent[i] &= absent->absent[i];
        }
    }
    if (!round->listed && all_spoke(steer)) {
        on_answers(steer, now_us);
    }
}

void
steer_confirmed(struct steer *steer, uint64_t asked_us, uint64_t now_us)
{
    struct steer_round *round = &steer->lost.round;

    if (round->open && round->missing == 0 && asked_us >= round->started_us) {
        round->confirmed = true;
        end_round(steer, now_us);
    }
}

void
steer_lost_tick(struct steer *steer, uint64_t now_us)
{
    struct steer_lost *lost = &steer->lost;

    if (lost->round.open) {
        tick_round(steer, now_us);
        return;
    }
    if (lost->count == 0 || now_us < lost->next_us) {
        return;
    }
    drop_others(steer, now_us);
    start_round(steer, now_us);
}

uint64_t
steer_lost_next_us(const struct steer *steer)
{
    const struct steer_lost *lost = &steer->lost;
    uint64_t due_us = UINT64_MAX;

    if (lost->round.open) {
        return waits_for_silent(&lost->round)
                   ? lost->round.due_us
                   : lost->round.started_us + ANSWERS_US;
    }
    for (unsigned i = 0; i < lost->count; i++) {
        due_us = MIN(due_us, lost->flows[i].since_us + ASK_AFTER_US);
    }
    return lost->count == 0 ? UINT64_MAX : MAX(due_us, lost->next_us);
}
