/**
 * DOC: orphans_fixture - a balancer that queries agents for flows that it
 * doesn't know
 */
#ifndef SWIFTARCH_TESTS_RELAY_ORPHANS_FIXTURE_H
#define SWIFTARCH_TESTS_RELAY_ORPHANS_FIXTURE_H

#include <stdbool.h>

#include "relay/forwarder/forwarder.h"
#include "relay/relay_fixture.h"

/* Agents, numbered from 1. */
#define FIXTURE_AGENTS 7
/* The flows of a query, all absent. */
#define FIXTURE_ALL 0xffffffffu

/**
 * struct fixture - a balancer that has just started, with recorded outputs
 * @queried: agents that received a query
 * @query: last query frame
 * @queries: number of query frames
 * @forwarded_to: agent that the last packet was forwarded to
 * @forwarded: number of packets forwarded
 * @next_count: further stops in the last packet's frame
 * @ended_queries: number of queries that have ended
 * @confirm_us: when the store was last asked to confirm the list, 0 for never
 */
struct fixture {
    struct forwarder_out out;
    struct forwarder forwarder;
    GString *record;
    uint64_t now_us;
    bool queried[FIXTURE_AGENTS + 1];
    struct frame_query query;
    unsigned queries;
    unsigned forwarded_to;
    unsigned forwarded;
    unsigned next_count;
    unsigned ended_queries;
    uint64_t confirm_us;
};

/** fixture_init() - a balancer with one route, of idempotent requests or not,
 * and all agents ready */
void
fixture_init(struct fixture *fixture, bool idempotent);

/** fixture_finish() - free what the fixture holds */
void
fixture_finish(struct fixture *fixture);

/** fixture_agent_addr() - address of agent @number */
struct addr
fixture_agent_addr(unsigned number);

/** fixture_report_health_of() - agent @number reports the state of its
 * endpoint of @service */
void
fixture_report_health_of(struct fixture *fixture, unsigned number,
                         enum endpoint_state state, const char *service);

/** fixture_report_health() - the same for the service "lots" */
void
fixture_report_health(struct fixture *fixture, unsigned number,
                      enum endpoint_state state);

/** fixture_advance_ms() - advance the time and call forwarder_tick() */
void
fixture_advance_ms(struct fixture *fixture, unsigned ms);

/** fixture_send_established() - a packet comes of a flow that was opened
 * before this balancer started */
void
fixture_send_established(struct fixture *fixture, unsigned flow);

/** fixture_reply() - agent @agent replies to the last query with the flows
 * that are @absent */
void
fixture_reply(struct fixture *fixture, unsigned agent, uint32_t absent,
              bool silent);

/** fixture_confirmed() - the store confirms the list that was last asked for
 */
void
fixture_confirmed(struct fixture *fixture);

/** fixture_reply_all_except() - all agents after the first @except reply that
 * they don't hold the flows */
void
fixture_reply_all_except(struct fixture *fixture, unsigned except);

/** fixture_start_query() - a packet of flow 1 comes and all agents are queried
 */
void
fixture_start_query(struct fixture *fixture);

/** fixture_report_others_ready() - all agents after the first @except report
 * that they are ready */
void
fixture_report_others_ready(struct fixture *fixture, unsigned except);

/** fixture_run_2_s() - two seconds pass in which all agents after the first
 * @except and the store reply, while the caller keeps sending */
void
fixture_run_2_s(struct fixture *fixture, unsigned except);

#endif
