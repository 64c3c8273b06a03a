#include "sim.h"

#include <string.h>

#include "base/hash.h"
#include "idem/state.h"

#define WALL_US UINT64_C(1790000000000000)
#define WIRE_BYTES 96

enum event_type { EVENT_MESSAGE, EVENT_MEMBER, EVENT_JOIN };

struct event {
    uint64_t due_us;
    uint64_t order;
    enum event_type type;
    unsigned to;
    unsigned to_life;
    unsigned from;
    struct idem_msg msg;
    uint8_t *answer;
    unsigned about;
    uint64_t seq;
    struct view_member member;
};

static void
free_event(gpointer data)
{
    struct event *event = data;

    g_free(event->answer);
    g_free(event);
}

static int
compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct event *x = a;
    const struct event *y = b;

    if (x->due_us != y->due_us) {
        return x->due_us < y->due_us ? -1 : 1;
    }
    return x->order < y->order ? -1 : x->order > y->order;
}

static void
fail(struct sim *sim, const char *format, ...)
{
    va_list args;

    if (sim->failure != NULL) {
        return;
    }
    va_start(args, format);
    sim->failure = g_strdup_vprintf(format, args);
    va_end(args);
}

static uint64_t
random_us(struct sim *sim, uint64_t bound_us)
{
    return bound_us == 0
               ? 0
               : (uint64_t)g_rand_int_range(sim->rand, 0, (int)bound_us);
}

static void
add_event(struct sim *sim, const struct event *event)
{
    struct event *copy = g_memdup2(event, sizeof(*event));

    copy->order = ++sim->seq;
    g_sequence_insert_sorted(sim->events, copy, compare_events, NULL);
}

void
sim_init(struct sim *sim, uint32_t seed, struct sim_net net)
{
    memset(sim, 0, sizeof(*sim));
    sim->rand = g_rand_new_with_seed(seed);
    sim->net = net;
    sim->now_us = USEC_PER_SEC;
    sim->next_tick_us = sim->now_us;
    sim->events = g_sequence_new(free_event);
    sim->requests = g_array_new(FALSE, TRUE, sizeof(struct sim_request));
    for (unsigned i = 0; i < SIM_KEYS; i++) {
        sim->answers[i] = g_string_new(NULL);
    }
    for (unsigned i = 0; i < SIM_NODES; i++) {
        g_queue_init(&sim->nodes[i].inbox);
    }
}

void
sim_finish(struct sim *sim)
{
    for (unsigned i = 0; i < SIM_NODES; i++) {
        idem_free(sim->nodes[i].idem);
        g_queue_clear_full(&sim->nodes[i].inbox, free_event);
    }
    for (unsigned i = 0; i < SIM_KEYS; i++) {
        g_string_free(sim->answers[i], TRUE);
    }
    g_sequence_free(sim->events);
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

static unsigned
node_of(uint64_t id)
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
    unsigned to = node_of(action->to);
    unsigned copies = 1;
    struct event event = {
        .type = EVENT_MESSAGE,
        .to = to,
        .to_life = sim->nodes[to].life,
        .from = from,
        .msg = action->msg,
    };

    sim->messages++;
    sim->bytes += WIRE_BYTES + action->msg.answer_len;
    if (sim->cut_us[from][to] > sim->now_us ||
        (unsigned)g_rand_int_range(sim->rand, 0, 1000) < sim->net.lose) {
        return;
    }
    if ((unsigned)g_rand_int_range(sim->rand, 0, 1000) < sim->net.repeat) {
        copies = 2;
    }
    for (unsigned i = 0; i < copies; i++) {
        /* Most are quick, a few take their time and are overtaken. */
        uint64_t bound = g_rand_int_range(sim->rand, 0, 8) == 0
                             ? sim->net.delay_us
                             : sim->net.delay_us / 8;

        event.due_us = sim->now_us + random_us(sim, bound);
        if (action->msg.answer != NULL) {
            event.answer =
                g_memdup2(action->msg.answer, action->msg.answer_len);
            event.msg.answer = event.answer;
        }
        add_event(sim, &event);
    }
}

/* The first request of a key alone may run; an answer replayed is its. */
static void
check_verdict(struct sim *sim, struct sim_request *request,
              const struct idem_action *action)
{
    const GString *answer = sim->answers[request->key % SIM_KEYS];

    if (request->phase != SIM_OPEN) {
        fail(sim, "request %" G_GUINT64_FORMAT " settled twice",
             request->token);
    }
    request->verdict = action->type;
    request->reason = action->reason;
    request->phase = SIM_ENDED;
    if (action->type == IDEM_PROCEED) {
        request->phase = SIM_RUNNING;
        request->ran = true;
        if (sim_runs(sim, request->key) > 1) {
            sim->doubled++;
            fail(sim, "key %u ran twice (request %" G_GUINT64_FORMAT ")",
                 request->key, request->token);
        }
    }
    if (action->type == IDEM_REPLAY &&
        (answer->len != action->msg.answer_len ||
         memcmp(answer->str, action->msg.answer, answer->len) != 0)) {
        fail(sim, "key %u replayed another answer", request->key);
    }
    if (action->type == IDEM_OUTCOME_UNKNOWN &&
        sim_runs(sim, request->key) == 0 && request->reason == 0) {
        fail(sim, "key %u unknown without a reason", request->key);
    }
}

static void
carry_out(struct sim *sim, unsigned node, struct idem_actions *out)
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

static int
compare_members(gconstpointer a, gconstpointer b)
{
    const struct view_member *x = a;
    const struct view_member *y = b;

    return x->id < y->id ? -1 : x->id > y->id;
}

static void
show_view(struct sim *sim, unsigned node)
{
    struct sim_node *self = &sim->nodes[node];
    struct idem_actions out = {0};
    struct view *view = view_new(SIM_NODES);

    for (unsigned i = 0; i < SIM_NODES; i++) {
        if (self->known[i].member.id != 0) {
            view->members[view->count++] = self->known[i].member;
        }
    }
    qsort(view->members, view->count, sizeof(view->members[0]),
          compare_members);
    for (size_t i = 0; i < view->count; i++) {
        if (view->members[i].id == sim_id(node)) {
            view->self = i;
        }
    }
    g_assert_cmpint(idem_set_view(self->idem, view, sim->now_us, &out), ==, 0);
    free(view);
    carry_out(sim, node, &out);
}

static struct view_member
describe(const struct sim *sim, unsigned node, enum member_health health)
{
    const struct sim_node *of = &sim->nodes[node];

    return (struct view_member){
        .id = sim_id(node),
        .incarnation = of->incarnation,
        .role = MEMBER_AGENT,
        .state = of->leaving ? MEMBER_LEAVING : MEMBER_READY,
        .health = health,
        .service = SIM_SERVICE,
        .slots = 2,
    };
}

/* Every other process learns of it at a moment of its own. */
static void
tell(struct sim *sim, unsigned about, enum member_health health,
     uint64_t after_us)
{
    uint64_t seq = ++sim->seq;

    for (unsigned i = 0; i < SIM_NODES; i++) {
        struct event event = {
            .type = EVENT_MEMBER,
            .due_us =
                sim->now_us + after_us + random_us(sim, sim->net.skew_us),
            .to = i,
            .about = about,
            .seq = seq,
            .member = describe(sim, about, health),
        };

        if (i != about) {
            add_event(sim, &event);
        }
    }
}

void
sim_start(struct sim *sim, unsigned node)
{
    struct sim_node *self = &sim->nodes[node];
    struct event join = {.type = EVENT_JOIN, .to = node};

    if (self->up) {
        return;
    }
    self->life++;
    self->up = true;
    self->frozen = false;
    self->leaving = false;
    self->joined = false;
    self->started_us = sim->now_us;
    self->incarnation = WALL_US + sim->now_us + random_us(sim, USEC_PER_SEC);
    self->idem = idem_new(sim_id(node), 1000);
    memset(self->known, 0, sizeof(self->known));
    self->known[node].member = describe(sim, node, MEMBER_ALIVE);
    self->known[node].member.since_us = sim->now_us;
    show_view(sim, node);
    tell(sim, node, MEMBER_ALIVE, 0);
    join.to_life = self->life;
    join.due_us = sim->now_us + random_us(sim, USEC_PER_SEC);
    add_event(sim, &join);
}

/* A newcomer gets the whole list from one who is there; others do so from
 * time to time. */
static void
join(struct sim *sim, unsigned node)
{
    struct sim_node *self = &sim->nodes[node];
    unsigned first = (unsigned)g_rand_int_range(sim->rand, 0, SIM_NODES);

    self->joined = true;
    for (unsigned i = 0; i < SIM_NODES; i++) {
        const struct sim_node *peer = &sim->nodes[(first + i) % SIM_NODES];

        if (!peer->up || peer->frozen || peer == self || !peer->joined) {
            continue;
        }
        for (unsigned j = 0; j < SIM_NODES; j++) {
            struct sim_known *known = &self->known[j];

            if (j != node && peer->known[j].seq >= known->seq &&
                peer->known[j].member.id != 0) {
                uint64_t since_us = known->member.since_us;
                bool same = known->member.id != 0 &&
                            known->member.incarnation ==
                                peer->known[j].member.incarnation;

                *known = peer->known[j];
                known->member.since_us = same ? since_us : sim->now_us;
            }
        }
        break;
    }
    show_view(sim, node);
}

static void
stop(struct sim *sim, unsigned node)
{
    struct sim_node *self = &sim->nodes[node];

    idem_free(self->idem);
    self->idem = NULL;
    self->up = false;
    self->frozen = false;
    g_queue_clear_full(&self->inbox, free_event);
    g_queue_init(&self->inbox);
    for (size_t i = 0; i < sim->requests->len; i++) {
        struct sim_request *request = sim_request(sim, i + 1);

        if (request->node == node && request->phase != SIM_ENDED) {
            request->phase = SIM_CRASHED;
        }
    }
}

void
sim_crash(struct sim *sim, unsigned node, bool noticed)
{
    if (!sim->nodes[node].up) {
        return;
    }
    stop(sim, node);
    sim->lost_us = sim->now_us;
    if (!noticed) {
        tell(sim, node, MEMBER_SUSPECT, USEC_PER_SEC);
    }
    tell(sim, node, MEMBER_DEAD, noticed ? 0 : 3 * USEC_PER_SEC);
}

void
sim_leave(struct sim *sim, unsigned node)
{
    struct sim_node *self = &sim->nodes[node];

    if (self->up && !self->frozen && !self->leaving) {
        self->leaving = true;
        self->known[node].member.state = MEMBER_LEAVING;
        show_view(sim, node);
        tell(sim, node, MEMBER_ALIVE, 0);
    }
}

void
sim_freeze(struct sim *sim, unsigned node)
{
    if (sim->nodes[node].up && !sim->nodes[node].frozen) {
        sim->nodes[node].frozen = true;
        sim->nodes[node].frozen_us = sim->now_us;
    }
}

static void
deliver(struct sim *sim, struct event *event);

void
sim_thaw(struct sim *sim, unsigned node)
{
    struct sim_node *self = &sim->nodes[node];
    struct event *event;

    if (!self->frozen) {
        return;
    }
    self->frozen = false;
    self->incarnation++;
    self->known[node].member.incarnation = self->incarnation;
    tell(sim, node, MEMBER_ALIVE, 0);
    while ((event = g_queue_pop_head(&self->inbox)) != NULL) {
        deliver(sim, event);
        free_event(event);
    }
}

void
sim_see(struct sim *sim, unsigned observer, unsigned about,
        enum member_health health)
{
    struct sim_known *known = &sim->nodes[observer].known[about];

    known->member.health = health;
    known->seq = ++sim->seq;
    show_view(sim, observer);
}

void
sim_cut(struct sim *sim, unsigned a, unsigned b, uint64_t for_us)
{
    sim->cut_us[a][b] = for_us > 0 ? sim->now_us + for_us : 0;
    sim->cut_us[b][a] = sim->cut_us[a][b];
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
        .life = self->life,
        .key = key,
        .begun_us = sim->now_us,
    };

    if (!self->up || self->frozen || !self->joined) {
        return 0;
    }
    g_array_append_val(sim->requests, request);
    g_assert_cmpint(
        idem_begin(self->idem, request.token, &id, sim->now_us, &out), ==, 0);
    carry_out(sim, node, &out);
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
    carry_out(sim, request->node, &out);
}

static void
learn(struct sim *sim, const struct event *event)
{
    struct sim_known *known = &sim->nodes[event->to].known[event->about];
    uint64_t since_us = known->member.since_us;
    uint64_t incarnation = known->member.incarnation;

    if (event->seq <= known->seq) {
        return;
    }
    known->seq = event->seq;
    /* A refuted suspicion raises it by one, a restart by far more. */
    if (known->member.id == 0 ||
        event->member.incarnation > incarnation + 99) {
        since_us = sim->now_us;
    }
    known->member = event->member;
    known->member.since_us = since_us;
    show_view(sim, event->to);
}

static void
deliver(struct sim *sim, struct event *event)
{
    struct sim_node *self = &sim->nodes[event->to];
    struct idem_actions out = {0};

    switch (event->type) {
    case EVENT_JOIN:
        join(sim, event->to);
        break;
    case EVENT_MEMBER:
        learn(sim, event);
        break;
    case EVENT_MESSAGE:
        (void)idem_receive(self->idem, sim_id(event->from), &event->msg,
                           sim->now_us, &out);
        carry_out(sim, event->to, &out);
        break;
    }
}

static void
deliver_due(struct sim *sim)
{
    GSequenceIter *first = g_sequence_get_begin_iter(sim->events);
    struct event *event = g_sequence_get(first);
    struct sim_node *self = &sim->nodes[event->to];

    if (!self->up ||
        (event->type != EVENT_MEMBER && self->life != event->to_life)) {
        g_sequence_remove(first);
        return;
    }
    event = g_memdup2(event, sizeof(*event));
    ((struct event *)g_sequence_get(first))->answer = NULL;
    g_sequence_remove(first);
    if (self->frozen) {
        g_queue_push_tail(&self->inbox, event);
        return;
    }
    deliver(sim, event);
    free_event(event);
}

static void
tick(struct sim *sim)
{
    for (unsigned i = 0; i < SIM_NODES; i++) {
        struct sim_node *self = &sim->nodes[i];
        struct idem_actions out = {0};

        if (self->up && !self->frozen) {
            (void)idem_tick(self->idem, sim->now_us, &out);
            carry_out(sim, i, &out);
            if (self->joined && !sim->no_sync &&
                g_rand_int_range(sim->rand, 0, 40) == 0) {
                join(sim, i);
            }
        }
        if (self->frozen) {
            uint64_t for_us = sim->now_us - self->frozen_us;

            if (for_us >= USEC_PER_SEC &&
                for_us < USEC_PER_SEC + SIM_TICK_US) {
                tell(sim, i, MEMBER_SUSPECT, 0);
            }
            if (for_us >= 4 * USEC_PER_SEC &&
                for_us < 4 * USEC_PER_SEC + SIM_TICK_US) {
                tell(sim, i, MEMBER_DEAD, 0);
                sim->lost_us = sim->now_us;
            }
        }
    }
}

void
sim_advance(struct sim *sim, uint64_t delta_us)
{
    uint64_t end_us = sim->now_us + delta_us;

    for (;;) {
        GSequenceIter *first = g_sequence_get_begin_iter(sim->events);
        const struct event *event =
            g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
        bool message = event != NULL && event->due_us <= sim->next_tick_us;
        uint64_t due_us = message ? event->due_us : sim->next_tick_us;

        if (due_us > end_us) {
            break;
        }
        sim->now_us = MAX(sim->now_us, due_us);
        if (message) {
            deliver_due(sim);
        }
        else {
            tick(sim);
            sim->next_tick_us += SIM_TICK_US;
        }
    }
    sim->now_us = end_us;
}

static void
check_node(struct sim *sim, unsigned node)
{
    const struct record_table *records = &sim->nodes[node].idem->records;

    for (size_t i = 0; i < records->count; i++) {
        if (records->items[i]->state == IDEM_STARTED &&
            !state_owner_gone(sim->nodes[node].idem, SIM_SERVICE,
                              records->items[i]->owner,
                              records->items[i]->token, sim->now_us)) {
            fail(sim,
                 "node %u still holds a reservation of node %u, age %u s, "
                 "queued %d",
                 node, node_of(records->items[i]->owner),
                 (unsigned)((sim->now_us - records->items[i]->updated_us) /
                            USEC_PER_SEC),
                 records->items[i]->queued);
        }
    }
    if (idem_unpushed(sim->nodes[node].idem) != 0) {
        fail(sim, "node %u has %zu records that nobody acknowledged", node,
             idem_unpushed(sim->nodes[node].idem));
    }
}

/* A key that ran is never free again, whoever is asked. */
static void
check_key(struct sim *sim, unsigned key)
{
    unsigned node = 0;
    uint64_t token;

    while (node < SIM_NODES &&
           (!sim->nodes[node].up || sim->nodes[node].leaving)) {
        node++;
    }
    if (node == SIM_NODES) {
        return;
    }
    token = sim_begin(sim, node, key);
    sim_advance(sim, USEC_PER_SEC);
    switch (sim_request(sim, token)->verdict) {
    case IDEM_PROCEED:
        sim_end(sim, token, false, IDEM_DONE);
        break;
    case IDEM_REPLAY:
    case IDEM_OUTCOME_UNKNOWN:
        break;
    default:
        fail(sim, "key %u is stuck: verdict %d reason %d", key,
             sim_request(sim, token)->verdict,
             sim_request(sim, token)->reason);
    }
}

void
sim_settle(struct sim *sim)
{
    for (unsigned i = 0; i < SIM_NODES; i++) {
        sim_thaw(sim, i);
        for (unsigned j = 0; j < SIM_NODES; j++) {
            sim_cut(sim, i, j, 0);
        }
    }
    sim->net.lose = 0;
    sim_advance(sim, sim->net.delay_us + USEC_PER_SEC);
    sim->net.delay_us = MIN(sim->net.delay_us, 20 * SIM_MSEC);
    for (size_t i = 0; i < sim->requests->len; i++) {
        sim_end(sim, i + 1, i % 3 == 0, i % 3 == 1 ? IDEM_DONE : IDEM_UNKNOWN);
    }
    sim_advance(sim, 90 * USEC_PER_SEC);
    for (unsigned i = 0; i < SIM_NODES; i++) {
        if (sim->nodes[i].up) {
            check_node(sim, i);
        }
    }
    for (unsigned i = 0; i < SIM_KEYS; i++) {
        check_key(sim, i);
    }
}
