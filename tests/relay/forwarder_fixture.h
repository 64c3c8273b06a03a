/**
 * DOC: steer_site - one balancer's decisions, with what they lead to written
 * down
 */
#ifndef SWIFTARCH_TESTS_RELAY_FORWARDER_FIXTURE_H
#define SWIFTARCH_TESTS_RELAY_FORWARDER_FIXTURE_H

#include "relay/relay_fixture.h"
#include "relay/forwarder/forwarder.h"

#define FIXTURE_AGENTS_MAX 100
#define FIXTURE_AGENTS_NET 0x0a000000

/**
 * struct fixture - one balancer whose outputs are written down
 * @sent: agent that the last packet went to
 * @frame: what it went with
 * @lookups: lookups that were told of
 * @readers: other readers of the store that were told of
 * @named: agents that any frame since a clearing was for
 */
struct fixture {
    struct forwarder_out out;
    struct forwarder forwarder;
    GString *record;
    uint64_t now_us;
    struct addr sent;
    struct frame_forward frame;
    unsigned carried;
    unsigned pings;
    unsigned lookups;
    unsigned asked;
    unsigned confirms;
    struct frame_query ask;
    unsigned readers;
    bool unlisted;
    bool named[FIXTURE_AGENTS_MAX + 1];
};

/** fixture_add_route() - a route to a service */
void
fixture_add_route(struct routes *routes, const char *address,
                  const char *service);

/** fixture_set_routes() - a configuration with a route to "lots" and, if
 * wanted, to "albums" */
void
fixture_set_routes(struct fixture *fixture, uint64_t version,
                   bool with_albums);

/** fixture_agent_addr() - address of an agent */
struct addr
fixture_agent_addr(unsigned number);

/** fixture_report() - an agent of "lots" tells something */
void
fixture_report(struct fixture *fixture, unsigned number,
               struct frame_status status);

/** fixture_receive() - a caller's packet comes */
void
fixture_receive(struct fixture *fixture, struct relay_packet packet);

/** fixture_advance_ms() - let time pass */
void
fixture_advance_ms(struct fixture *fixture, unsigned ms);

/** fixture_established() - an agent tells that its endpoint holds a flow */
void
fixture_established(struct fixture *fixture, struct addr agent, unsigned flow,
                    uint32_t seq);

/** fixture_named_count() - agents that any frame was for */
unsigned
fixture_named_count(const struct fixture *fixture);

/** fixture_abandon() - an agent let go of a flow */
void
fixture_abandon(struct fixture *fixture, unsigned agent, unsigned flow);

/** fixture_path_names() - whether the last frame is for an agent, or names it
 */
bool
fixture_path_names(const struct fixture *fixture, struct addr agent);

/** fixture_init() - a balancer in "here" that knows @agents of "lots" */
void
fixture_init(struct fixture *fixture, unsigned agents);

/** fixture_finish() - free the memory */
void
fixture_finish(struct fixture *fixture);

#endif
