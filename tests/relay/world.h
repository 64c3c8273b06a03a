/**
 * DOC: world - callers, balancers, agents and endpoints in one test
 *
 * The real decisions (forwarder, admission) on a paused clock; the network
 * between them delays and loses, hosts fail, the fabric route_moves flows. The
 * world checks after each step what must always hold and keeps the first
 * violation.
 */
#ifndef SWIFTARCH_TESTS_RELAY_WORLD_H
#define SWIFTARCH_TESTS_RELAY_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define WORLD_BALANCERS 3
#define WORLD_AGENTS 9
#define WORLD_SERVICES 2
#define WORLD_DATA_CENTRES 3

/** struct world_plan - what may happen, each as chances in 1000 a 10 ms */
struct world_plan {
    unsigned loss;          /* datagrams in 1000 that are lost */
    unsigned new_flows;     /* flows opened in 10 ms, in 1000 */
    unsigned rehash;        /* the fabric hands all flows out anew */
    unsigned agent_restart; /* one agent's process is killed */
    unsigned balancer_restart;
    unsigned endpoint_crash; /* and starts again after a while */
    unsigned endpoint_drain;
    unsigned reuse;       /* an endpoint's address goes to the other
                             service */
    unsigned freeze;      /* one agent stands still for 300 ms */
    unsigned config;      /* a route is added or dropped */
    unsigned route_moves; /* a route goes to the other service */
    unsigned stall;       /* what one balancer sends in 40 ms comes late */
    unsigned partition;   /* some agents and the balancers lose each other, one
                       way   or both, for seconds */
    unsigned partitioned_agents; /* how many at a time */
    unsigned evacuate;           /* a data centre is evacuated, or is back */
    unsigned evacuated_max;      /* how many are so at a time */
    unsigned
        store_restore;   /* the store comes back from an store_restore copy */
    unsigned requests;   /* on each flow, 0 for one */
    unsigned pause_ms;   /* the longest between two of them */
    unsigned work_ms;    /* what a request takes, 0 for 15 */
    unsigned timeout_ms; /* what operators say that it may take */
    bool closing;        /* callers say goodbye, which is answered */
    bool restart_all;    /* after half of the time every host starts anew */
    bool reported; /* callers of flows that nobody holds must be reported */
};

/** struct world_result - what came of it */
struct world_result {
    char violation[256]; /* the first, empty for none */
    unsigned opened;     /* flows that callers opened */
    unsigned answered;   /* requests answered */
    unsigned closed;     /* goodbyes answered */
    unsigned failed;     /* callers that gave up */
    unsigned resets;     /* flows that were reset, each packet of one */
};

/** world_run() - play @faulty_ms with faults, then a calm second and a half
 */
void
world_run(uint32_t seed, const struct world_plan *plan, unsigned faulty_ms,
          struct world_result *result);

#endif
