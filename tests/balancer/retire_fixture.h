/**
 * DOC: retire_site - balancers and agents with texts that follow each other
 *
 * Random texts: services are added, moved, moved back, renamed and removed.
 * Balancers and agents use versions that differ, by less than the time that
 * addresses are held.
 */
#ifndef SWIFTARCH_TESTS_BALANCER_RETIRE_FIXTURE_H
#define SWIFTARCH_TESTS_BALANCER_RETIRE_FIXTURE_H

#include <glib.h>
#include <stdbool.h>

#include "agent/addresses.h"
#include "balancer/route.h"
#include "control/view.h"
#include "text/text_retire.h"

#define FIXTURE_NAMES 4
#define FIXTURE_ADDRESSES 7
#define FIXTURE_AGENTS 8
#define FIXTURE_BALANCERS 3
#define FIXTURE_STEPS 60
#define FIXTURE_VERSIONS (FIXTURE_STEPS + 1)
#define FIXTURE_FLOWS_MAX 64
#define FIXTURE_HOUR_MS (3600 * UINT64_C(1000))
#define FIXTURE_FIRST_IP 0x0a640001u

/** struct fixture_plan - the address of each name, FIXTURE_ADDRESSES for none
 */
struct fixture_plan {
    unsigned address[FIXTURE_NAMES];
};

/** struct fixture_flow - an established flow and who owns it */
struct fixture_flow {
    unsigned name;
    unsigned address;
    unsigned agent;
    uint32_t caller;
    size_t since; /* version by which it was opened */
};

/** struct fixture_agent - an agent: what it knows and its flows */
struct fixture_agent {
    unsigned name;
    size_t version;
    struct flow_table *flows;
    struct addresses addresses;
    const struct text_service *service;
};

/** struct fixture - all of it */
struct fixture {
    GRand *random;
    uint64_t now_ms;
    uint64_t now_us;
    struct fixture_plan plan;
    struct text *texts[FIXTURE_VERSIONS];
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
    unsigned taken;
    unsigned retired_taken;
    unsigned resets;
    unsigned helped; /* taken after agents that did not know the address */
};

extern const char *const fixture_names[FIXTURE_NAMES];

/** fixture_init() - the first text is in force everywhere */
void
fixture_init(struct fixture *fixture, uint32_t seed);

/** fixture_finish() - free it */
void
fixture_finish(struct fixture *fixture);

/** fixture_random() - a random number below @below */
unsigned
fixture_random(struct fixture *fixture, unsigned below);

/** fixture_is_udp() - whether that service's transport is UDP */
bool
fixture_is_udp(unsigned name);

/** fixture_publish() - change the text, unless what is published forbids it */
void
fixture_publish(struct fixture *fixture);

/** fixture_advance_versions() - processes hear of newer versions, or not */
void
fixture_advance_versions(struct fixture *fixture);

#endif
