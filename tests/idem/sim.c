
#include <string.h>

#include "base/hash.h"
#include "sim_private.h"

/* Size of a PeerMessage in a link frame, without the answer. */
#define WIRE_BYTES 102

void
sim_drain(struct queue *queue)
{
    struct event event;

    while (queue_pop(queue, UINT64_MAX, &event)) {
        g_free(event.answer);
    }
}

void
sim_fail(struct sim *sim, const char *format, ...)
{
    va_list args;

    if (sim->failure != NULL) {
        return;
    }
    va_start(args, format);
    sim->failure = g_strdup_vprintf(format, args);
    va_end(args);
}

uint64_t
sim_random_us(struct sim *sim, uint64_t bound_us)
{
    return bound_us == 0
               ? 0
               : (uint64_t)g_rand_int_range(sim->rand, 0, (int)bound_us);
}

void
sim_init(struct sim *sim, uint32_t seed, struct sim_net net)
{
    memset(sim, 0, sizeof(*sim));
    sim->rand = g_rand_new_with_seed(seed);
    sim->net = net;
    sim->now_us = USEC_PER_SEC;
    sim->next_tick_us = sim->now_us;
    queue_init(&sim->events, sizeof(struct event));
    sim->requests = g_array_new(FALSE, TRUE, sizeof(struct sim_request));
    for (unsigned i = 0; i < SIM_KEYS; i++) {
        sim->answers[i] = g_string_new(NULL);
    }
    for (unsigned i = 0; i < SIM_NODES; i++) {
        queue_init(&sim->nodes[i].inbox, sizeof(struct event));
    }
}

void
sim_finish(struct sim *sim)
{
    for (unsigned i = 0; i < SIM_NODES; i++) {
        idem_free(sim->nodes[i].idem);
        sim_drain(&sim->nodes[i].inbox);
        queue_finish(&sim->nodes[i].inbox);
    }
    for (unsigned i = 0; i < SIM_KEYS; i++) {
        g_string_free(sim->answers[i], TRUE);
    }
    sim_drain(&sim->events);
    queue_finish(&sim->events);
    g_array_free(sim->requests, TRUE);
    g_rand_free(sim->rand);
    g_free(sim->failure);
}

struct idem_key
sim_key(unsigned index)
{
    return (struct idem_key){
        .service = SIM_SERVICE,
        .hash = {hash_pair(index, 1), hash_pair(index, 2)},
        .fingerprint = hash_pair(index, 3),
    };
}

uint64_t
sim_id(unsigned node)
{
    char name[16];

    g_snprintf(name, sizeof(name), "agent-%u", node);
    return hash_name(name);
}

unsigned
sim_node_of(uint64_t id)
{
    for (unsigned i = 0; i < SIM_NODES; i++) {
        if (sim_id(i) == id) {
            return i;
        }
    }
    g_assert_not_reached();
}

struct sim_request *
sim_request(struct sim *sim, uint64_t token)
{
    g_assert(token >= 1 && token <= sim->requests->len);
    return &g_array_index(sim->requests, struct sim_request, token - 1);
}

unsigned
sim_runs(const struct sim *sim, unsigned key)
{
    unsigned runs = 0;

    for (size_t i = 0; i < sim->requests->len; i++) {
        const struct sim_request *request =
            &g_array_index(sim->requests, struct sim_request, i);

        runs += request->key == key && request->ran;
    }
    return runs;
}

static void
send_message(struct sim *sim, unsigned from, const struct idem_action *action)
{
    unsigned to = sim_node_of(action->to);
    unsigned copies = 1;
    struct event event = {
        .type = EVENT_MESSAGE,
        .to = to,
        .to_generation = sim->nodes[to].generation,
        .from = from,
        .msg = action->msg,
    };

    sim->messages++;
    sim->bytes += WIRE_BYTES + action->msg.answer_len;
    if (sim->partitioned_until_us[from][to] > sim->now_us ||
        (unsigned)g_rand_int_range(sim->rand, 0, 1000) <
            sim->net.loss_permille) {
        return;
    }
    if ((unsigned)g_rand_int_range(sim->rand, 0, 1000) <
        sim->net.repeat_permille) {
        copies = 2;
    }
    for (unsigned i = 0; i < copies; i++) {
        /* One in eight messages may be slow and overtaken by later ones. */
        uint64_t bound = g_rand_int_range(sim->rand, 0, 8) == 0
                             ? sim->net.delay_us
                             : sim->net.delay_us / 8;

        event.queue.at_us = sim->now_us + sim_random_us(sim, bound);
        if (action->msg.answer != NULL) {
            event.answer =
                g_memdup2(action->msg.answer, action->msg.answer_len);
            event.msg.answer = event.answer;
        }
        queue_push(&sim->events, &event);
    }
}

/* Checks that a key runs once and that a replayed answer is the one of its
 * run. */
static void
check_verdict(struct sim *sim, struct sim_request *request,
              const struct idem_action *action)
{
    const GString *answer = sim->answers[request->key % SIM_KEYS];

    if (request->phase != SIM_OPEN) {
        sim_fail(sim, "request %" G_GUINT64_FORMAT " settled twice",
                 request->token);
    }
    request->verdict = action->type;
    request->reason = action->reason;
    request->phase = SIM_ENDED;
    if (action->type == IDEM_PROCEED) {
        request->phase = SIM_RUNNING;
        request->ran = true;
        if (sim_runs(sim, request->key) > 1) {
            sim->duplicate_runs++;
            sim_fail(sim, "key %u ran twice (request %" G_GUINT64_FORMAT ")",
                     request->key, request->token);
        }
    }
    if (action->type == IDEM_REPLAY &&
        (answer->len != action->msg.answer_len ||
         memcmp(answer->str, action->msg.answer, answer->len) != 0)) {
        sim_fail(sim, "key %u replayed a different answer", request->key);
    }
    if (action->type == IDEM_OUTCOME_UNKNOWN &&
        sim_runs(sim, request->key) == 0 && request->reason == 0) {
        sim_fail(sim, "key %u has an unknown outcome without a reason",
                 request->key);
    }
}

void
sim_apply_actions(struct sim *sim, unsigned node, struct idem_actions *out)
{
    for (size_t i = 0; i < out->count; i++) {
        const struct idem_action *action = &out->items[i];

        if (action->type == IDEM_SEND) {
            send_message(sim, node, action);
        }
        else {
            check_verdict(sim, sim_request(sim, action->token), action);
        }
    }
    idem_actions_finish(out);
}

uint64_t
sim_begin(struct sim *sim, unsigned node, unsigned key)
{
    struct sim_node *self = &sim->nodes[node];
    struct idem_actions out = {0};
    struct idem_key id = sim_key(key);
    struct sim_request request = {
        .token = sim->requests->len + 1,
        .node = node,
        .generation = self->generation,
        .key = key,
        .begun_us = sim->now_us,
    };

    if (!self->up || self->frozen || !self->joined) {
        return 0;
    }
    g_array_append_val(sim->requests, request);
    g_assert_cmpint(
        idem_begin(self->idem, request.token, &id, sim->now_us, &out), ==, 0);
    sim_apply_actions(sim, node, &out);
    return request.token;
}

void
sim_end(struct sim *sim, uint64_t token, bool not_run, enum idem_state state)
{
    struct sim_request *request = sim_request(sim, token);
    struct sim_node *self = &sim->nodes[request->node];
    GString *answer = sim->answers[request->key % SIM_KEYS];
    struct idem_actions out = {0};

    if (request->phase != SIM_RUNNING || self->frozen) {
        return;
    }
    request->phase = SIM_ENDED;
    request->ran = !not_run;
    if (!not_run && state == IDEM_DONE) {
        g_string_printf(answer, "HTTP/1.1 200 OK\r\n\r\nanswer %u of %u",
                        (unsigned)token, request->key);
    }
    (void)idem_end(self->idem, token, not_run, state,
                   (const uint8_t *)answer->str, answer->len, sim->now_us,
                   &out);
    sim_apply_actions(sim, request->node, &out);
}

void
sim_deliver(struct sim *sim, struct event *event)
{
    struct sim_node *self = &sim->nodes[event->to];
    struct idem_actions out = {0};

    switch (event->type) {
    case EVENT_JOIN:
        sim_join(sim, event->to);
        break;
    case EVENT_MEMBER:
        sim_apply_member_change(sim, event);
        break;
    case EVENT_MESSAGE:
        (void)idem_receive(self->idem, sim_id(event->from), &event->msg,
                           sim->now_us, &out);
        sim_apply_actions(sim, event->to, &out);
        break;
    }
}

/* Delivers an event, drops it if the node's generation has ended, or defers it
 * while the node is frozen. */
static void
dispatch_event(struct sim *sim, struct event *event)
{
    struct sim_node *self = &sim->nodes[event->to];
    bool lost = !self->up || (event->type != EVENT_MEMBER &&
                              self->generation != event->to_generation);

    if (!lost && self->frozen) {
        queue_push(&self->inbox, event);
        return;
    }
    if (!lost) {
        sim_deliver(sim, event);
    }
    g_free(event->answer);
}

static void
tick(struct sim *sim)
{
    for (unsigned i = 0; i < SIM_NODES; i++) {
        struct sim_node *self = &sim->nodes[i];
        struct idem_actions out = {0};

        if (self->up && !self->frozen) {
            (void)idem_tick(self->idem, sim->now_us, &out);
            sim_apply_actions(sim, i, &out);
            if (self->joined && !sim->no_sync &&
                g_rand_int_range(sim->rand, 0, 40) == 0) {
                sim_join(sim, i);
            }
        }
        if (self->frozen) {
            uint64_t for_us = sim->now_us - self->frozen_us;

            if (for_us >= USEC_PER_SEC &&
                for_us < USEC_PER_SEC + SIM_TICK_US) {
                sim_announce(sim, i, MEMBER_SUSPECT, 0);
            }
            if (for_us >= 4 * USEC_PER_SEC &&
                for_us < 4 * USEC_PER_SEC + SIM_TICK_US) {
                sim_announce(sim, i, MEMBER_DEAD, 0);
                sim->memory_lost_us = sim->now_us;
            }
        }
    }
}

void
sim_advance(struct sim *sim, uint64_t delta_us)
{
    uint64_t end_us = sim->now_us + delta_us;

    for (;;) {
        struct event event;

        if (queue_pop(&sim->events, MIN(sim->next_tick_us, end_us), &event)) {
            sim->now_us = MAX(sim->now_us, event.queue.at_us);
            dispatch_event(sim, &event);
            continue;
        }
        if (sim->next_tick_us > end_us) {
            break;
        }
        sim->now_us = MAX(sim->now_us, sim->next_tick_us);
        tick(sim);
        sim->next_tick_us += SIM_TICK_US;
    }
    sim->now_us = end_us;
}
