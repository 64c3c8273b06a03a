/**
 * DOC: retire_site - balancers and agents with texts that follow each other
 *
 * Random texts: services are added, moved, moved back, renamed and removed.
 * Balancers and agents use versions that differ, by less than the time that
 * addresses are held.
 */
#ifndef SWIFTARCH_TESTS_BALANCER_RETIRE_SITE_H
#define SWIFTARCH_TESTS_BALANCER_RETIRE_SITE_H

#include <glib.h>
#include <stdbool.h>

#include "agent/addresses.h"
#include "balancer/route.h"
#include "control/view.h"
#include "text/text_retire.h"

#define SITE_NAMES 4
#define SITE_ADDRESSES 7
#define SITE_AGENTS 8
#define SITE_BALANCERS 3
#define SITE_STEPS 60
#define SITE_VERSIONS (SITE_STEPS + 1)
#define SITE_FLOWS_MAX 64
#define SITE_HOUR_MS (3600 * UINT64_C(1000))
#define SITE_FIRST_IP 0x0a640001u

/** struct site_plan - the address of each name, SITE_ADDRESSES for none */
struct site_plan {
    unsigned address[SITE_NAMES];
};

/** struct site_flow - an established flow and who owns it */
struct site_flow {
    unsigned name;
    unsigned address;
    unsigned agent;
    uint32_t caller;
    size_t since; /* version by which it was opened */
};

/** struct site_agent - an agent: what it knows and its flows */
struct site_agent {
    unsigned name;
    size_t version;
    struct flow_table *flows;
    struct addresses addresses;
    const struct text_service *service;
};

/** struct site - all of it */
struct site {
    GRand *random;
    uint64_t now_ms;
    uint64_t now_us;
    struct site_plan plan;
    struct text *texts[SITE_VERSIONS];
    struct route_table *tables[SITE_VERSIONS];
    uint64_t published_ms[SITE_VERSIONS];
    size_t latest;
    struct view *view;
    struct site_agent agents[SITE_AGENTS];
    size_t balancers[SITE_BALANCERS];
    struct site_flow flows[SITE_FLOWS_MAX];
    size_t flow_count;
    uint32_t callers;
    unsigned refused;
    unsigned taken;
    unsigned retired_taken;
    unsigned resets;
    unsigned helped; /* taken after agents that did not know the address */
};

extern const char *const site_names[SITE_NAMES];

/** site_init() - the first text is in force everywhere */
void
site_init(struct site *site, uint32_t seed);

/** site_finish() - free it */
void
site_finish(struct site *site);

/** site_draw() - a random number below @below */
unsigned
site_draw(struct site *site, unsigned below);

/** site_is_udp() - whether that service's transport is UDP */
bool
site_is_udp(unsigned name);

/** site_publish() - change the text, unless what is published forbids it */
void
site_publish(struct site *site);

/** site_move_versions() - processes hear of newer versions, or not */
void
site_move_versions(struct site *site);

#endif
