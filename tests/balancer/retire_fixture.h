/**
 * DOC: retire_fixture - balancers and agents under random configuration
 * changes
 *
 * Services are added, moved, moved back, renamed and removed. Balancers and
 * agents use different versions, whose ages differ by less than the hold time
 * of retired addresses.
 */
#ifndef SWIFTARCH_TESTS_BALANCER_RETIRE_FIXTURE_H
#define SWIFTARCH_TESTS_BALANCER_RETIRE_FIXTURE_H

#include <glib.h>
#include <stdbool.h>

#include "agent/addresses.h"
#include "balancer/route.h"
#include "control/view.h"
#include "service_config/service_config_retire.h"

#define FIXTURE_NAMES 4
#define FIXTURE_ADDRESSES 7
#define FIXTURE_AGENTS 8
#define FIXTURE_BALANCERS 3
#define FIXTURE_STEPS 60
#define FIXTURE_VERSIONS (FIXTURE_STEPS + 1)
#define FIXTURE_FLOWS_MAX 64
#define FIXTURE_HOUR_MS (3600 * UINT64_C(1000))
#define FIXTURE_FIRST_IP 0x0a640001u

/** struct fixture_plan - address index of each service, FIXTURE_ADDRESSES for
 * none */
struct fixture_plan {
    unsigned address[FIXTURE_NAMES];
};

/** struct fixture_flow - established flow and the agent that owns it */
struct fixture_flow {
    unsigned name;
    unsigned address;
    unsigned agent;
    uint32_t caller;
    size_t since; /* latest version used to open it */
};

/** struct fixture_agent - configuration and flows of an agent */
struct fixture_agent {
    unsigned name;
    size_t version;
    struct flow_table *flows;
    struct addresses addresses;
    const struct service_config_entry *service;
};

/**
 * struct fixture - cell with its configurations
 * @plan: addresses in the latest configuration
 * @texts: configurations by version
 * @tables: route tables by version
 * @published_ms: publication time by version
 * @latest: latest version
 * @balancers: version used by each balancer
 * @callers: number of callers used so far
 * @refused: configurations that were invalid or used reserved addresses
 * @delivered: packets delivered
 * @delivered_retired: packets delivered at retired addresses
 * @resets: new flows reset
 * @forwarded_unaware: packets delivered after an agent without the address
 * forwarded them
 */
struct fixture {
    GRand *random;
    uint64_t now_ms;
    uint64_t now_us;
    struct fixture_plan plan;
    struct service_config *texts[FIXTURE_VERSIONS];
    struct route_table *tables[FIXTURE_VERSIONS];
    uint64_t published_ms[FIXTURE_VERSIONS];
    size_t latest;
    struct view *view;
    struct fixture_agent agents[FIXTURE_AGENTS];
    size_t balancers[FIXTURE_BALANCERS];
    struct fixture_flow flows[FIXTURE_FLOWS_MAX];
    size_t flow_count;
    uint32_t callers;
    unsigned refused;
    unsigned delivered;
    unsigned delivered_retired;
    unsigned resets;
    unsigned forwarded_unaware;
};

extern const char *const fixture_names[FIXTURE_NAMES];

/** fixture_init() - start with the first configuration at all processes */
void
fixture_init(struct fixture *fixture, uint32_t seed);

/** fixture_finish() - free the fixture */
void
fixture_finish(struct fixture *fixture);

/** fixture_random() - random number below @below */
unsigned
fixture_random(struct fixture *fixture, unsigned below);

/** fixture_is_udp() - whether service @name uses UDP */
bool
fixture_is_udp(unsigned name);

/** fixture_publish() - publish a random configuration, unless it is refused */
void
fixture_publish(struct fixture *fixture);

/** fixture_advance_versions() - move processes to random newer versions */
void
fixture_advance_versions(struct fixture *fixture);

#endif
