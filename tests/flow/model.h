/**
 * DOC: model - simulates agents, balancers and callers of a few services
 *
 * Drives flow tables with seeded random events: packets through any balancer,
 * lost, delayed and reordered; views that lag by different times; joins,
 * drains, deaths, freezes and restarts for another service. Checks at each
 * step that packets are delivered only to their flow's owner and only for its
 * service, and that no live flow is reset.
 */
#ifndef SWIFTARCH_TESTS_FLOW_MODEL_H
#define SWIFTARCH_TESTS_FLOW_MODEL_H

#include <glib.h>

/**
 * struct model_config - parameters of a run
 * @hosts: hosts that may run an agent, at most MODEL_HOSTS_MAX
 * @first: number of hosts that run an agent from the start
 * @services: number of services, assigned to hosts in turn
 * @faults: add deaths, freezes and restarts to the planned changes
 * @burst: start all other hosts at once half-way
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
 * @failure: first violated property, or NULL; the caller frees it
 * @step: step of the failure
 * @hops: number of packets delivered to open flows, by forward count
 * @opened: flows opened by agents
 * @established: flows established at callers
 * @resets: resets sent to callers
 */
struct model_result {
    char *failure;
    unsigned step;
    size_t hops[MODEL_HOPS_MAX];
    size_t opened;
    size_t established;
    size_t resets;
};

/** model_run() - run @steps events from @seed, then check every flow */
struct model_result
model_run(const struct model_config *config, guint32 seed, unsigned steps);

#endif
