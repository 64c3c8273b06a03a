/**
 * DOC: world - deterministic simulation of a relay deployment
 *
 * Runs the real forwarder and admission code on a simulated clock. Datagrams
 * are delayed and lost, processes and endpoints fail, routes move and ECMP
 * rehashes flows, all from one seed. Invariants are checked after each step;
 * the first violation ends the run.
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

/**
 * struct world_plan - load and fault rates of a run
 *
 * Rates without a unit are chances in 1000, drawn every 10 ms.
 */
struct world_plan {
    unsigned loss;             /* datagrams lost, in 1000 */
    unsigned new_flows;        /* a caller opens a flow */
    unsigned rehash;           /* ECMP assigns all flows anew */
    unsigned agent_restart;    /* an agent is killed and restarted */
    unsigned balancer_restart; /* a balancer is killed and restarted */
    unsigned endpoint_crash;   /* an endpoint stops for 200 ms */
    unsigned endpoint_drain;   /* an endpoint starts draining */
    unsigned reuse;            /* an endpoint's address is taken over by an
                                  endpoint of the other service */
    unsigned freeze;           /* an agent is suspended for 300 ms */
    unsigned config;           /* a route is added or dropped */
    unsigned route_moves;      /* a route moves to the other service */
    unsigned stall;            /* a balancer's output is delayed by 40 ms */
    unsigned partition;        /* some agents and the balancers are partitioned
                                  for seconds, in one direction or both */
    unsigned partitioned_agents; /* agents partitioned at a time */
    unsigned evacuate;           /* an evacuation starts or ends */
    unsigned evacuated_max;      /* data centres evacuated at a time */
    unsigned store_restore;      /* the store is restored from a snapshot */
    unsigned requests;           /* requests on each flow, 0 for one */
    unsigned pause_ms;           /* longest pause between two requests */
    unsigned work_ms;            /* duration of a request, 0 for 15 */
    unsigned timeout_ms;         /* request timeout of all routes */
    bool closing;                /* callers send a FIN and await its ACK */
    bool restart_all;            /* all hosts restart at half-time */
    bool closed_listeners;       /* endpoints accept no connection of a probe
                                    while they start or drain */
    bool scheduling;             /* agents schedule requests on open flows */
    bool reported;               /* orphaned flows must be reset in time */
};

/** struct world_result - outcome of a run */
struct world_result {
    char violation[256]; /* first violation, empty for none */
    unsigned opened;     /* flows opened by callers */
    unsigned answered;   /* flows with all requests answered */
    unsigned closed;     /* FINs acknowledged */
    unsigned failed;     /* flows abandoned or reset */
    unsigned resets;     /* RST packets to callers */
};

/**
 * world_run() - run @faulty_ms with faults, then 1.5 s without
 *
 * A seed and plan always give the same @result.
 */
void
world_run(uint32_t seed, const struct world_plan *plan, unsigned faulty_ms,
          struct world_result *result);

#endif
