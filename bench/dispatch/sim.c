#include "sim.h"

#define REFUSED_LATE_US (10 * USEC_PER_MSEC)

struct call *
sim_find_call(const struct sim *sim, uint64_t id)
{
    return &g_array_index(sim->call, struct call, id - 1);
}

static bool
is_measured(const struct call *call)
{
    return call->arrived_us >= SIM_WARM_UP_US;
}

uint64_t
sim_measured(const struct sim *sim, uint64_t from_us, uint64_t to_us)
{
    uint64_t from = MAX(from_us, SIM_WARM_UP_US);
    uint64_t to = MIN(to_us, sim->end_us);

    return to > from ? to - from : 0;
}

void
sim_run_ended(struct sim *sim, struct call *call)
{
    sim->nodes[call->ran_at].busy_us +=
        sim_measured(sim, call->started_us, sim->now_us);
    call->running = false;
}

static bool
ordinary_waits(const struct sim *sim, unsigned service)
{
    for (unsigned i = 0; i < sim->count; i++) {
        if (sim->nodes[i].service == service &&
            sim->nodes[i].ordinary_waiting > 0) {
            return true;
        }
    }
    return false;
}

static void
on_answer(struct sim *sim, struct call *call)
{
    uint64_t took_us = sim->now_us - call->arrived_us;

    sim->result.answered[call->class]++;
    g_array_append_val(sim->latencies[call->class], took_us);
    sim->useful_us[sim->nodes[call->node].service] +=
        sim_measured(sim, call->started_us, sim->now_us);
}

void
sim_finish(struct sim *sim, const struct engine_action *action)
{
    struct call *call = sim_find_call(sim, action->id);

    if (!is_measured(call)) {
        return;
    }
    sim->result.requests[call->class]++;
    if (action->outcome == ENGINE_ANSWERED &&
        sim->now_us <= call->deadline_us) {
        on_answer(sim, call);
        return;
    }
    if (action->outcome == ENGINE_NOT_RUN) {
        sim->result.refused[call->class]++;
        if (sim->now_us > call->arrived_us + REFUSED_LATE_US) {
            sim->result.refused_late[call->class]++;
        }
    }
    else {
        sim->result.missed[call->class]++;
    }
    if (call->class == SERVICE_CONFIG_URGENT &&
        ordinary_waits(sim, sim->nodes[call->node].service)) {
        sim->result.urgent_behind++;
    }
}

static gint
compare(gconstpointer a, gconstpointer b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return x < y ? -1 : x > y;
}

static uint64_t
percentile(GArray *sorted, double share)
{
    if (sorted->len == 0) {
        return 0;
    }
    return g_array_index(sorted, uint64_t, (guint)(share * (sorted->len - 1)));
}

static void
summarize_service(struct sim *sim, unsigned service)
{
    double most = 0;
    double shares = 0;
    double slot_us = 0;
    unsigned n = 0;

    for (unsigned i = 0; i < sim->count; i++) {
        const struct node *at = &sim->nodes[i];
        double share;

        if (at->service != service) {
            continue;
        }
        share = (double)at->busy_us / (SIM_SLOTS * (double)at->up_us);
        most = MAX(most, share);
        shares += share;
        slot_us += SIM_SLOTS * (double)at->up_us;
        n++;
    }
    sim->result.imbalance[service] = most / (shares / n);
    sim->result.useful[service] = (double)sim->useful_us[service] / slot_us;
}

void
sim_summarize(struct sim *sim)
{
    for (unsigned service = 0; service < SITE_SERVICES; service++) {
        summarize_service(sim, service);
    }
    for (int class = 0; class < 2; class ++) {
        g_array_sort(sim->latencies[class], compare);
        sim->result.p50_us[class] = percentile(sim->latencies[class], 0.5);
        sim->result.p99_us[class] = percentile(sim->latencies[class], 0.99);
        g_array_free(sim->latencies[class], TRUE);
    }
}
