/**
 * DOC: model - agents, balancers and callers of a few services in one process
 *
 * Drives flow tables with seeded random events: packets through any
 * balancer, lost, late and out of order; views that lag behind the truth by
 * different times; joins, drains, deaths, freezes and restarts for another
 * service. After each step it has checked that no packet was taken by
 * another than its owner, none for another service, and no live flow reset.
 */
#ifndef SWIFTARCH_TESTS_FLOW_MODEL_H
#define SWIFTARCH_TESTS_FLOW_MODEL_H

#include <glib.h>

/**
 * struct model_config - what happens in a run
 * @hosts: hosts that may run an agent, at most MODEL_HOSTS_MAX
 * @first: of these, agents that run from the start
 * @services: services, the hosts take turns
 * @faults: also deaths, freezes and restarts (otherwise planned changes only)
 * @burst: half-way, all other hosts start at once
 */
struct model_config {
    unsigned hosts;
    unsigned first;
    unsigned services;
    gboolean faults;
    gboolean burst;
};

#define MODEL_HOSTS_MAX 120
#define MODEL_HOPS_MAX 32

/**
 * struct model_result - outcome of a run
 * @failure: what was violated, or NULL
 * @step: at which step
 * @hops: packets of known flows by the times they were passed on
 */
struct model_result {
    char *failure;
    unsigned step;
    size_t hops[MODEL_HOPS_MAX];
    size_t opened;
    size_t established;
    size_t resets;
};

/** model_run() - @steps events from @seed, then a check of every flow */
struct model_result
model_run(const struct model_config *config, guint32 seed, unsigned steps);

#endif
