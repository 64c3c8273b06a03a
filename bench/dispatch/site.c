#include "sim.h"

#include <math.h>

#include "base/hash.h"

#define DELAY_US USEC_PER_MSEC
#define TICK_US (10 * USEC_PER_MSEC)
#define VIEW_US (500 * USEC_PER_MSEC)
#define SLOW_FACTOR 4.0
#define COLD_FACTOR 3.0
#define COLD_US (10 * USEC_PER_SEC)
#define FLOWS_PER_ENDPOINT 100
#define ORDINARY_LEFT_US (5 * USEC_PER_SEC)

const struct site site_dar = {
    .name = "dar",
    .services = {{"lots", 7, SERVICE_CONFIG_URGENT, 0.2, 40000, 500000},
                 {"albums", 3, SERVICE_CONFIG_ORDINARY, 0, 120000, 0}},
};

const struct site site_perth = {
    .name = "perth",
    .services = {{"desk-app", 7, SERVICE_CONFIG_URGENT, 0.2, 25000, 300000},
                 {"report-svc", 3, SERVICE_CONFIG_ORDINARY, 0, 400000, 0}},
};

enum event_type { EVENT_ARRIVE, EVENT_MESSAGE, EVENT_END, EVENT_TICK };

struct event {
    struct timeline_event base;
    enum event_type type;
    unsigned node;
    uint64_t from;
    struct engine_peer_msg msg;
    uint64_t origin;
    uint64_t id;
};

static uint64_t
member_id(unsigned node)
{
    return hash_pair(node + 1, 77);
}

static unsigned
find_node(const struct sim *sim, uint64_t id)
{
    unsigned i = 0;

    while (i < sim->count && member_id(i) != id) {
        i++;
    }
    g_assert(i < sim->count);
    return i;
}

static const struct site_service *
service_of(const struct sim *sim, unsigned node)
{
    return &sim->run->site->services[sim->nodes[node].service];
}

static struct event *
event_add(struct sim *sim, enum event_type type, unsigned node, uint64_t at_us)
{
    struct event *event = g_new0(struct event, 1);

    event->type = type;
    event->node = node;
    timeline_add(&sim->timeline, &event->base, at_us);
    return event;
}

static double
slowness(const struct sim *sim, unsigned node)
{
    const struct node *at = &sim->nodes[node];

    if (sim->run->condition == SITE_FALSE_REPORT && node == 0) {
        return SLOW_FACTOR;
    }
    if (at->up_since_us > 0 && sim->now_us < at->up_since_us + COLD_US) {
        return COLD_FACTOR;
    }
    return 1.0;
}

static void
on_run(struct sim *sim, unsigned node, const struct engine_action *action)
{
    struct call *call = sim_find_call(sim, action->id);
    struct event *event;
    double run_us = (double)call->run_us * slowness(sim, node);

    call->running = true;
    call->started_us = sim->now_us;
    call->ran_at = node;
    event = event_add(sim, EVENT_END, node, sim->now_us + (uint64_t)run_us);
    event->origin = action->origin;
    event->id = action->id;
}

static void
on_send(struct sim *sim, unsigned node, const struct engine_action *action)
{
    struct event *event;

    if (sim->now_us >= SIM_WARM_UP_US) {
        sim->result.messages++;
    }
    event = event_add(sim, EVENT_MESSAGE, find_node(sim, action->to),
                      sim->now_us + DELAY_US);
    event->from = member_id(node);
    event->msg = action->msg;
}

static void
apply_actions(struct sim *sim, unsigned node, struct engine_actions *out)
{
    for (size_t i = 0; i < out->count; i++) {
        const struct engine_action *action = &out->items[i];
        struct event *event;

        switch (action->type) {
        case ENGINE_RUN:
            on_run(sim, node, action);
            break;
        case ENGINE_ABORT:
            event = event_add(sim, EVENT_END, node, sim->now_us + DELAY_US);
            event->origin = action->origin;
            event->id = action->id;
            break;
        case ENGINE_SEND:
            on_send(sim, node, action);
            break;
        case ENGINE_FINISH:
            sim_finish(sim, action);
            break;
        }
    }
    engine_actions_finish(out);
    sim->nodes[node].ordinary_waiting =
        engine_waiting_of(sim->nodes[node].engine, SERVICE_CONFIG_ORDINARY);
}

static void
fill_member(const struct sim *sim, unsigned i, struct view_member *member)
{
    const struct node *at = &sim->nodes[i];
    unsigned old = (sim->view_number + 1) % SIM_VIEW_DELAY;
    bool lies = sim->run->condition == SITE_FALSE_REPORT && i == 0;

    member->id = member_id(i);
    member->role = MEMBER_AGENT;
    member->state = at->state;
    member->health = MEMBER_ALIVE;
    member->service = at->service + 1;
    member->slots = SIM_SLOTS;
    member->busy = lies ? 0 : (uint16_t)at->view_busy[old];
    member->waiting = lies ? 0 : (uint16_t)at->view_waiting[old];
    member->incarnation = 1;
    member->since_us = 1;
}

static void
publish_views(struct sim *sim)
{
    struct view *view =
        g_malloc0(sizeof(*view) + sim->count * sizeof(view->members[0]));
    unsigned now = sim->view_number % SIM_VIEW_DELAY;

    for (unsigned i = 0; i < sim->count; i++) {
        struct node *at = &sim->nodes[i];

        at->view_busy[now] = engine_busy(at->engine);
        at->view_waiting[now] = engine_waiting(at->engine);
    }
    view->seq = sim->view_number + 1;
    view->count = sim->count;
    for (unsigned i = 0; i < sim->count; i++) {
        fill_member(sim, i, &view->members[i]);
    }
    for (unsigned i = 0; i < sim->count; i++) {
        struct engine_actions out = {0};

        view->self = i;
        engine_set_view(sim->nodes[i].engine, view, sim->now_us, &out);
        apply_actions(sim, i, &out);
    }
    sim->view_number++;
    g_free(view);
}

static void
set_upstream(struct sim *sim, unsigned node, unsigned slots, bool accepting)
{
    struct engine_actions out = {0};

    engine_set_upstream(sim->nodes[node].engine, sim->nodes[node].service + 1,
                        slots, accepting, sim->now_us, &out);
    apply_actions(sim, node, &out);
}

/* Applies the drain or the cold starts of the condition. */
static void
apply_condition(struct sim *sim)
{
    sim->changed = true;
    if (sim->run->condition == SITE_DRAIN) {
        sim->nodes[1].state = MEMBER_DRAINING;
        sim->nodes[1].up_us = sim_measured(sim, 0, sim->now_us);
        set_upstream(sim, 1, SIM_SLOTS, false);
    }
    if (sim->run->condition == SITE_COLD) {
        for (unsigned i = 1; i <= 2; i++) {
            sim->nodes[i].up_since_us = sim->now_us;
            sim->nodes[i].state = MEMBER_WARMING;
            sim->nodes[i].up_us = sim_measured(sim, sim->now_us, sim->end_us);
            set_upstream(sim, i, SIM_SLOTS, true);
        }
    }
}

static void
on_tick(struct sim *sim)
{
    if (!sim->changed && sim->now_us >= sim->change_us) {
        apply_condition(sim);
    }
    for (unsigned i = 0; i < sim->count; i++) {
        struct node *at = &sim->nodes[i];
        struct engine_actions out = {0};

        if (at->state == MEMBER_WARMING &&
            sim->now_us >= at->up_since_us + COLD_US) {
            at->state = MEMBER_READY;
        }
        engine_tick(at->engine, sim->now_us, &out);
        apply_actions(sim, i, &out);
    }
    if (sim->now_us >= sim->next_view_us) {
        sim->next_view_us = sim->now_us + VIEW_US;
        publish_views(sim);
    }
    event_add(sim, EVENT_TICK, 0, sim->now_us + TICK_US);
}

static uint64_t
exponential(struct sim *sim, double mean_us)
{
    double u = g_rand_double_range(sim->random, 1e-9, 1.0);

    return (uint64_t)(-log(u) * mean_us);
}

/* Half of a service time is constant, half exponential. */
static void
on_arrive(struct sim *sim, unsigned node)
{
    const struct site_service *service = service_of(sim, node);
    struct node *at = &sim->nodes[node];
    struct call call = {.arrived_us = sim->now_us, .node = node};
    struct engine_request request = {0};
    struct engine_actions out = {0};
    bool lowered = g_rand_double(sim->random) < service->lowered;

    call.class = lowered ? SERVICE_CONFIG_ORDINARY : service->class;
    call.run_us = (uint64_t)(service->run_us / 2) +
                  exponential(sim, service->run_us / 2);
    call.deadline_us =
        sim->now_us + (call.class == SERVICE_CONFIG_URGENT ? service->left_us
                                                           : ORDINARY_LEFT_US);
    g_array_append_val(sim->call, call);
    request.id = sim->call->len;
    request.service = at->service + 1;
    request.caller = sim->call->len;
    request.class = call.class;
    request.deadline_us = call.deadline_us;
    event_add(sim, EVENT_ARRIVE, node,
              sim->now_us + 1 + exponential(sim, 1.0 / at->flow_rate));
    engine_arrive(at->engine, &request, sim->now_us, &out);
    apply_actions(sim, node, &out);
}

static void
on_end(struct sim *sim, const struct event *event)
{
    struct call *call = sim_find_call(sim, event->id);
    struct engine_actions out = {0};
    static const uint8_t answer[] = "HTTP/1.1 200 OK\r\n\r\n";

    if (!call->running || call->ran_at != event->node) {
        return;
    }
    sim_run_ended(sim, call);
    engine_upstream_end(sim->nodes[event->node].engine, event->origin,
                        event->id, ENGINE_UP_ANSWERED, answer, sizeof(answer),
                        sim->now_us, &out);
    apply_actions(sim, event->node, &out);
}

static void
on_message(struct sim *sim, const struct event *event)
{
    struct engine_actions out = {0};

    engine_peer(sim->nodes[event->node].engine, event->from, &event->msg, NULL,
                0, sim->now_us, &out);
    apply_actions(sim, event->node, &out);
}

static void
handle(struct sim *sim, const struct event *event)
{
    switch (event->type) {
    case EVENT_ARRIVE:
        on_arrive(sim, event->node);
        break;
    case EVENT_MESSAGE:
        on_message(sim, event);
        break;
    case EVENT_END:
        on_end(sim, event);
        break;
    case EVENT_TICK:
        on_tick(sim);
        break;
    }
}

/* Assigns flows of different rates to random endpoints, so their load
 * differs. */
static void
assign_flows(struct sim *sim, unsigned first, unsigned service)
{
    const struct site_service *from = &sim->run->site->services[service];
    unsigned flows = FLOWS_PER_ENDPOINT * from->endpoints;
    double rate = sim->run->load * SIM_SLOTS * from->endpoints / from->run_us;
    double sum = 0;

    for (unsigned i = 0; i < flows; i++) {
        unsigned to = first + (unsigned)g_rand_int_range(
                                  sim->random, 0, (gint32)from->endpoints);
        double weight = -log(g_rand_double_range(sim->random, 1e-9, 1.0));

        sim->nodes[to].flow_rate += weight;
        sum += weight;
    }
    for (unsigned i = 0; i < from->endpoints; i++) {
        sim->nodes[first + i].flow_rate *= rate / sum;
    }
}

static void
set_up(struct sim *sim)
{
    unsigned first = 0;

    for (unsigned s = 0; s < SITE_SERVICES; s++) {
        unsigned endpoints = sim->run->site->services[s].endpoints;

        for (unsigned i = first; i < first + endpoints; i++) {
            struct node *at = &sim->nodes[i];
            bool cold = sim->run->condition == SITE_COLD && s == 0 &&
                        (i == 1 || i == 2);

            at->service = s;
            at->state = MEMBER_READY;
            at->up_us = sim->end_us - SIM_WARM_UP_US;
            at->engine =
                engine_new(member_id(i), sim->run->policy, sim->run->seed + i);
            at->state = cold ? MEMBER_DRAINING : MEMBER_READY;
            set_upstream(sim, i, cold ? 0 : SIM_SLOTS, !cold);
        }
        sim->count += endpoints;
        assign_flows(sim, first, s);
        first += endpoints;
    }
    publish_views(sim);
    for (unsigned i = 0; i < sim->count; i++) {
        event_add(sim, EVENT_ARRIVE, i,
                  exponential(sim, 1.0 / sim->nodes[i].flow_rate));
    }
    event_add(sim, EVENT_TICK, 0, TICK_US);
}

struct site_result
site_run(const struct site_case *run)
{
    struct sim sim = {.run = run};
    struct event *event;

    sim.random = g_rand_new_with_seed(run->seed);
    sim.end_us = SIM_WARM_UP_US + run->seconds * USEC_PER_SEC;
    sim.change_us = SIM_WARM_UP_US + run->seconds * USEC_PER_SEC / 3;
    sim.call = g_array_new(FALSE, TRUE, sizeof(struct call));
    sim.latencies[0] = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    sim.latencies[1] = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    timeline_init(&sim.timeline);
    set_up(&sim);
    for (;;) {
        event = (struct event *)timeline_pop(&sim.timeline);
        sim.now_us = event->base.at_us;
        if (sim.now_us >= sim.end_us) {
            g_free(event);
            break;
        }
        handle(&sim, event);
        g_free(event);
    }
    for (guint i = 0; i < sim.call->len; i++) {
        struct call *call = &g_array_index(sim.call, struct call, i);

        if (call->running) {
            sim_run_ended(&sim, call);
        }
    }
    sim_summarize(&sim);
    for (unsigned i = 0; i < sim.count; i++) {
        engine_free(sim.nodes[i].engine);
    }
    timeline_finish(&sim.timeline);
    g_array_free(sim.call, TRUE);
    g_rand_free(sim.random);
    return sim.result;
}
