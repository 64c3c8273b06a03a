/**
 * DOC: sim - state and results of one simulation (private to the benchmark)
 */
#ifndef SWIFTARCH_BENCH_DISPATCH_SIM_H
#define SWIFTARCH_BENCH_DISPATCH_SIM_H

#include "site.h"
#include "timeline.h"

#define SIM_NODES_MAX 256
#define SIM_SLOTS 2
#define SIM_VIEW_DELAY 4
#define SIM_WARM_UP_US (10 * USEC_PER_SEC)

/** struct node - agent and its upstream */
struct node {
    struct engine *engine;
    unsigned service;
    enum member_state state;
    uint64_t up_since_us;
    uint64_t busy_us;
    uint64_t up_us;
    unsigned view_busy[SIM_VIEW_DELAY];
    unsigned view_waiting[SIM_VIEW_DELAY];
    unsigned ordinary_waiting;
    double flow_rate;
};

/** struct call - request */
struct call {
    enum service_config_class class;
    uint64_t arrived_us;
    uint64_t deadline_us;
    uint64_t started_us;
    uint64_t run_us;
    unsigned node;
    unsigned ran_at;
    bool running;
};

/** struct sim - one simulation */
struct sim {
    const struct site_case *run;
    GRand *random;
    struct timeline timeline;
    uint64_t now_us;
    uint64_t end_us;
    uint64_t change_us;
    unsigned count;
    struct node nodes[SIM_NODES_MAX];
    GArray *call;
    GArray *latencies[2];
    uint64_t useful_us[SITE_SERVICES];
    uint64_t next_view_us;
    unsigned view_number;
    bool changed;
    struct site_result result;
};

/** sim_find_call() - look up a request by id */
struct call *
sim_find_call(const struct sim *sim, uint64_t id);

/** sim_measured() - part of an interval within the measured period, in
 * microseconds */
uint64_t
sim_measured(const struct sim *sim, uint64_t from_us, uint64_t to_us);

/** sim_run_ended() - add the slot time of a run to the busy time of its
 * node */
void
sim_run_ended(struct sim *sim, struct call *call);

/** sim_finish() - record the final answer of a request */
void
sim_finish(struct sim *sim, const struct engine_action *action);

/** sim_summarize() - compute the result */
void
sim_summarize(struct sim *sim);

#endif
