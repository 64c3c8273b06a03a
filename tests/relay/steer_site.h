/**
 * DOC: steer_site - one balancer's decisions, with what they lead to written
 * down
 */
#ifndef SWIFTARCH_TESTS_RELAY_STEER_SITE_H
#define SWIFTARCH_TESTS_RELAY_STEER_SITE_H

#include "relay/relay_rig.h"
#include "relay/steer/steer.h"

#define SITE_AGENTS_MOST 100
#define SITE_AGENTS_NET 0x0a000000

/**
 * struct site - one balancer whose outputs are written down
 * @sent: agent that the last packet went to
 * @frame: what it went with
 * @searches: searches that were told of
 * @readers: other readers of the store that were told of
 * @named: agents that any frame since a clearing was for
 */
struct site {
    struct steer_out out;
    struct steer steer;
    GString *record;
    uint64_t now_us;
    struct addr sent;
    struct frame_carry frame;
    unsigned carried;
    unsigned pings;
    unsigned searches;
    unsigned asked;
    unsigned confirms;
    struct frame_ask ask;
    unsigned readers;
    bool unlisted;
    bool named[SITE_AGENTS_MOST + 1];
};

/** site_add_route() - a route to a service */
void
site_add_route(struct routes *routes, const char *address,
               const char *service);

/** site_set_routes() - a configuration with a route to "lots" and, if wanted,
 * to "albums" */
void
site_set_routes(struct site *site, uint64_t version, bool with_albums);

/** site_agent_addr() - address of an agent */
struct addr
site_agent_addr(unsigned number);

/** site_say() - an agent of "lots" tells something */
void
site_say(struct site *site, unsigned number, struct frame_status status);

/** site_arrive() - a caller's packet comes */
void
site_arrive(struct site *site, struct relay_packet packet);

/** site_pass_ms() - let time pass */
void
site_pass_ms(struct site *site, unsigned ms);

/** site_placed() - an agent tells that its endpoint holds a flow */
void
site_placed(struct site *site, struct addr agent, unsigned flow, uint32_t seq);

/** site_named_count() - agents that any frame was for */
unsigned
site_named_count(const struct site *site);

/** site_let_go() - an agent let go of a flow */
void
site_let_go(struct site *site, unsigned agent, unsigned flow);

/** site_chain_names() - whether the last frame is for an agent, or names it */
bool
site_chain_names(const struct site *site, struct addr agent);

/** site_init() - a balancer in "here" that knows @agents of "lots" */
void
site_init(struct site *site, unsigned agents);

/** site_finish() - free the memory */
void
site_finish(struct site *site);

#endif
