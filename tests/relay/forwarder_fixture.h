/** DOC: forwarder_fixture - a balancer's forwarder with recorded outputs */
#ifndef SWIFTARCH_TESTS_RELAY_FORWARDER_FIXTURE_H
#define SWIFTARCH_TESTS_RELAY_FORWARDER_FIXTURE_H

#include "relay/relay_fixture.h"
#include "relay/forwarder/forwarder.h"

#define FIXTURE_AGENTS_MAX 100
#define FIXTURE_AGENTS_NET 0x0a000000

/**
 * struct fixture - a forwarder with recorded outputs
 * @out: output receiver of @forwarder
 * @forwarder: the forwarder under test
 * @record: resets, drops and reports of newer configurations, in order
 * @now_us: current time
 * @sent: agent that the last packet was forwarded to
 * @frame: frame of that packet
 * @forwarded: number of packets forwarded
 * @pings: number of pings
 * @lookups: number of lookups reported
 * @queries: number of query frames
 * @level_changes: number of changes of level
 * @confirms: number of requests to confirm the list of agents
 * @query: last query frame
 * @readers: last reported number of other store readers
 * @unlisted: whether the last ping reported that the agent is unlisted
 * @named: agents that a frame was sent to or listed as a further stop
 */
struct fixture {
    struct forwarder_out out;
    struct forwarder forwarder;
    GString *record;
    uint64_t now_us;
    struct addr sent;
    struct frame_forward frame;
    unsigned forwarded;
    unsigned pings;
    unsigned lookups;
    unsigned queries;
    unsigned level_changes;
    unsigned confirms;
    struct frame_query query;
    unsigned readers;
    bool unlisted;
    bool named[FIXTURE_AGENTS_MAX + 1];
};

/** fixture_add_route() - add a route to one service */
void
fixture_add_route(struct routes *routes, const char *address,
                  const char *service);

/**
 * fixture_set_routes() - install a configuration with a route to "lots" and,
 * if @with_albums, one to "albums"
 */
void
fixture_set_routes(struct fixture *fixture, uint64_t version,
                   bool with_albums);

/** fixture_agent_addr() - address of an agent */
struct addr
fixture_agent_addr(unsigned number);

/** fixture_report() - deliver a status frame from an agent of "lots" */
void
fixture_report(struct fixture *fixture, unsigned number,
               struct frame_status status);

/** fixture_receive() - deliver a caller's packet */
void
fixture_receive(struct fixture *fixture, struct relay_packet packet);

/** fixture_advance_ms() - advance the time and run a tick */
void
fixture_advance_ms(struct fixture *fixture, unsigned ms);

/** fixture_established() - an agent reports that its endpoint holds a flow */
void
fixture_established(struct fixture *fixture, struct addr agent, unsigned flow,
                    uint32_t seq);

/** fixture_named_count() - number of agents in @named */
unsigned
fixture_named_count(const struct fixture *fixture);

/** fixture_abandon() - an agent reports that it has abandoned a flow */
void
fixture_abandon(struct fixture *fixture, unsigned agent, unsigned flow);

/**
 * fixture_path_names() - whether the last frame was sent to an agent or lists
 * it as a further stop
 */
bool
fixture_path_names(const struct fixture *fixture, struct addr agent);

/**
 * fixture_init() - a balancer in data centre "here" with @agents ready agents
 * of "lots"
 */
void
fixture_init(struct fixture *fixture, unsigned agents);

/** fixture_finish() - free the memory */
void
fixture_finish(struct fixture *fixture);

#endif
