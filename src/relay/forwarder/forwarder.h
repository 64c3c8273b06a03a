/**
 * DOC: forwarder - what a balancer does with each packet (decisions only)
 *
 * A caller's SYN goes to the agent that seems best; the agent replies that
 * its endpoint holds the flow, and the balancer pins the flow to it. An
 * agent that doesn't answer within milliseconds costs one more try
 * elsewhere, long before the caller sends a copy. A packet of a flow that is
 * not pinned here (the fabric moved it) travels along the agents that may
 * hold it until one does, which then tells.
 *
 * Every output goes through struct forwarder_out; there is no socket and no
 * clock inside.
 */
#ifndef SWIFTARCH_RELAY_FORWARDER_FORWARDER_H
#define SWIFTARCH_RELAY_FORWARDER_FORWARDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "relay/forwarder/agents.h"
#include "relay/wire/flow_index.h"
#include "relay/wire/frame.h"
#include "relay/wire/packet.h"
#include "relay/forwarder/routes.h"
#include "relay/forwarder/syn_queue.h"

/* Endpoints that replied one SYN, at most: one for each try that was only
 * slow; more are not remembered. */
#define FORWARDER_ACCEPTORS_MAX 2

/* Flows that a balancer remembers: hundreds of thousands at full size, 248
 * bytes each, and pages that were never used cost nothing. */
#define FORWARDER_FLOWS_MAX (1u << 18)

/** enum forwarder_drop - why a packet wasn't carried */
enum forwarder_drop {
    FORWARDER_DROP_MALFORMED, /* no packet, or one that no caller sends */
    FORWARDER_DROP_NO_CONFIG, /* no configuration is known yet */
    FORWARDER_DROP_NO_ROUTE,  /* nothing stands at that address */
    FORWARDER_DROP_NO_AGENT,  /* its service has no agent that might take it */
    FORWARDER_DROP_EVACUATED, /* all agents of its service are in evacuated
                               * data centres */
    FORWARDER_DROP_FOREIGN,   /* a frame that is none of ours */
    FORWARDER_DROP_COUNT,
};

/** enum forwarder_decision - what became of a flow */
enum forwarder_decision {
    FORWARDER_DECISION_SEND,      /* its SYN went to an agent */
    FORWARDER_DECISION_ESTABLISH, /* an agent says that its endpoint holds it
                                   */
    FORWARDER_DECISION_RESET,     /* no endpoint holds it, and its caller is
                                     reported */
    FORWARDER_DECISION_LOOKUP, /* it is open, and not known where: agents are
                                  queried */
};

struct forwarder_out;
struct orphan_query;

/** struct forwarder_out_ops - what a decision leads to */
struct forwarder_out_ops {
    /** @forward: send a caller's packet to an agent */
    void (*forward)(struct forwarder_out *out, struct addr agent,
                    const struct frame_forward *frame);
    /** @reset: tell a caller that its flow is over, or won't open; @seq: what
     * it last acknowledged */
    void (*reset)(struct forwarder_out *out, struct relay_flow flow,
                  uint32_t seq);
    /** @ping: query an agent for its word; @unlisted: tell it that the store
     * doesn't name it any more */
    void (*ping)(struct forwarder_out *out, struct addr agent, bool unlisted);
    /** @query: query an agent which of some flows its endpoint holds */
    void (*query)(struct forwarder_out *out, struct addr agent,
                  const struct frame_query *query);
    /** @confirm: query the store whether the list of agents is complete; the
     * answer comes with forwarder_confirmed() */
    void (*confirm)(struct forwarder_out *out, uint64_t now_us);
    /** @newer_config: some balancer follows a newer configuration */
    void (*newer_config)(struct forwarder_out *out,
                         const struct frame_config_version *newer);
    /** @readers: an agent tells who else reads the store's latest */
    void (*readers)(struct forwarder_out *out, struct frame_readers others);
    /** @dropped: a packet was dropped; @packet may be NULL */
    void (*dropped)(struct forwarder_out *out, enum forwarder_drop why,
                    const struct relay_packet *packet);
    /** @decided: a new flow was sent, sent again, or placed */
    void (*decided)(struct forwarder_out *out, enum forwarder_decision did,
                    struct relay_flow flow, struct addr agent, unsigned tries,
                    uint64_t age_us);
    /** @concluded: a question about orphaned flows has ended; @over of them
     * are queued by nobody */
    void (*concluded)(struct forwarder_out *out,
                      const struct orphan_query *query, unsigned over);
};

/** struct forwarder_out - where outputs go; the vtable comes first */
struct forwarder_out {
    const struct forwarder_out_ops *ops;
};

struct forwarder_pin;
struct forwarder_syn_timer;

/* Agents that one question goes to at most: at 1 ms each, as many as can be
 * queried while a caller syn_timers for its flow. */
#define FORWARDER_QUERY_AGENTS_MAX 1500

/* Stands for all services; no service's hash is 0. */
#define FORWARDER_ANY_SERVICE 0

/* Flows that are waited for at a time; the next packet of one that found no
 * room brings it again. */
#define FORWARDER_ORPHANS_MAX 1024

/**
 * struct forwarder_orphan - a flow that its callers send on and no search
 * found
 * @handle: its pin
 * @flow: its key, as the pin may be another's by now
 * @since_us: when it was looked for first
 */
struct forwarder_orphan {
    uint32_t handle;
    struct relay_flow flow;
    uint64_t since_us;
};

/**
 * struct orphan_query - one question to all agents that may hold some flows
 * @number: names it
 * @open: it syn_timers for replies
 * @service: whose agents, FORWARDER_ANY_SERVICE for all
 * @started_us: when it was queried
 * @additions: of the agents until then: one that has come since wasn't queried
 * @confirmed: the list of agents was complete after that
 * @queries: agents that were queried
 * @replies: those that have replied
 * @queried: agents that were not silent before, or have replied
 * @missing: those of them that haven't replied
 * @unreachable: the others, and those whose endpoints are silent
 * @store_queried: the store is queried, or needn't be
 * @due_us: how long silent agents are waited for
 * @flows: what was queried for
 * @count: how many
 * @absent: a bit for each that nobody has claimed so far
 */
struct orphan_query {
    uint32_t number;
    bool open;
    uint32_t service;
    uint64_t started_us;
    uint64_t additions;
    bool confirmed;
    unsigned queries;
    unsigned replies;
    bool store_queried;
    uint64_t due_us;
    unsigned queried;
    unsigned missing;
    unsigned unreachable;
    struct forwarder_orphan flows[FRAME_QUERY_MAX];
    unsigned count;
    uint32_t absent[FRAME_QUERY_WORDS];
};

/**
 * struct forwarder_orphans - flows that may be queued by nobody
 * @flows: the flows
 * @count: how many
 * @query: the question that is open, or was last
 * @gap_us: pause between two queries
 * @next_us: when the next may be queried
 */
struct forwarder_orphans {
    struct forwarder_orphan flows[FORWARDER_ORPHANS_MAX];
    unsigned count;
    struct orphan_query query;
    uint64_t gap_us;
    uint64_t next_us;
};

/**
 * struct forwarder_slow_start - an endpoint that warms up may get in any
 * second its service's rate times @over, and @slack requests
 */
struct forwarder_slow_start {
    double over;
    unsigned slack;
};

/**
 * struct forwarder - state of a balancer
 * @out: where outputs go
 * @self: address that agents answer to
 * @reader: this balancer's part in reading the store's latest
 * @slow_start: how far operators let the rate of a cold endpoint be passed
 * @current: no newer configuration can have been known to others for long
 * @agents: the agents
 * @routes: configuration in force
 * @learned: what agents saw, used while there is no configuration
 * @flows: keys of the pins
 * @pins: a pin for each handle
 * @rtt_us: how long agents take to answer a new flow, the slower ones
 * @syn_timers: SYNs whose agent hasn't replied, in the order they fall due
 * @syn_timer_first: first of them
 * @syn_timer_count: how many
 * @early_syns: SYNs that came before anybody was known to take them
 * @orphaned: open flows that no search has found
 */
struct forwarder {
    struct forwarder_out *out;
    struct addr self;
    enum frame_reader_state reader;
    struct forwarder_slow_start slow_start;
    bool current;
    struct agents agents;
    struct routes routes;
    struct routes learned;
    struct flow_index flows;
    struct forwarder_pin *pins;
    uint64_t rtt_us;
    struct forwarder_syn_timer *syn_timers;
    uint32_t syn_timer_first;
    uint32_t syn_timer_count;
    struct syn_queue early_syns;
    struct forwarder_orphans orphaned;
};

/** forwarder_init() - nothing known yet; 0 or -ENOMEM */
int
forwarder_init(struct forwarder *forwarder, struct forwarder_out *out,
               struct addr self, const char *data_centre);

/** forwarder_finish() - free the memory */
void
forwarder_finish(struct forwarder *forwarder);

/**
 * forwarder_routes() - follow a configuration
 *
 * Takes over @routes. One that is not newer is freed and additions nothing: a
 * process never goes back. Open flows stay where they are.
 *
 * Return: whether it is in force now.
 */
bool
forwarder_routes(struct forwarder *forwarder, struct routes *routes,
                 uint64_t now_us);

/**
 * forwarder_served() - an agent's endpoint serves addresses
 *
 * Where data centres lie in several regions, a learned address is served only
 * in those whose endpoints have served it before: it may have region_affinity.
 *
 * Counts only while no configuration is known: callers of a site that orphaned
 * every process while the store is away are served all the same.
 */
void
forwarder_served(struct forwarder *forwarder, struct addr agent,
                 const struct frame_served *served);

/** forwarder_store_view() - how this balancer keeps up with the store, for
 * frames */
struct frame_store_view
forwarder_store_view(const struct forwarder *forwarder);

/** forwarder_ping_witnesses() - tell and query agents who reads the store */
void
forwarder_ping_witnesses(struct forwarder *forwarder);

/**
 * forwarder_evacuations() - which data centres take no new flow
 * @first: reported by the store, not by another host: the agents there may not
 * know it yet and are reported
 *
 * Return: whether that has changed.
 */
bool
forwarder_evacuations(struct forwarder *forwarder,
                      const struct evacuations *reported, bool first,
                      uint64_t now_us);

/** forwarder_packet() - a caller's packet came */
void
forwarder_packet(struct forwarder *forwarder,
                 const struct relay_packet *packet, uint64_t now_us);

/** forwarder_status() - an agent's word came */
void
forwarder_status(struct forwarder *forwarder, struct addr agent,
                 const struct frame_status *status, uint64_t now_us);

/** forwarder_query_reply() - an agent replied which flows its endpoint doesn't
 * hold */
void
forwarder_query_reply(struct forwarder *forwarder, struct addr agent,
                      const struct frame_query_reply *absent, uint64_t now_us);

/** forwarder_confirmed() - the store, queried at @asked_us, says that the list
 * of agents is complete */
void
forwarder_confirmed(struct forwarder *forwarder, uint64_t asked_us,
                    uint64_t now_us);

/** forwarder_tick() - do what is due; call it at forwarder_next_us() or later
 */
void
forwarder_tick(struct forwarder *forwarder, uint64_t now_us);

/** forwarder_next_us() - when forwarder_tick() is due next; UINT64_MAX for
 * never */
uint64_t
forwarder_next_us(const struct forwarder *forwarder);

/** forwarder_ready() - whether callers are served: a configuration is known,
 * and an agent for at least one service in it */
bool
forwarder_ready(const struct forwarder *forwarder);

/**
 * struct forwarder_explanation - what is known of one flow
 * @route: its route, NULL for none; valid until the next configuration
 * @service: service that it goes to
 * @known: its packets came here, or an agent reported of it
 * @opened: its caller has sent more than its SYN
 * @queued: its SYN syn_timers at @holder until a slot is free
 * @holder: agent that had its packets last; address 0 for none
 * @tries: agents that its SYN was sent to
 * @lookups: how often it was looked for
 * @age_us: since it is known
 * @acceptors: agents whose endpoints replied its SYN
 * @acceptor_count: how many
 * @evacuated: all agents of its service are in evacuated data centres: a new
 *             flow is refused
 * @next: agents that a new flow of the same ends would go to, best first
 */
struct forwarder_explanation {
    const struct route *route;
    uint32_t service;
    bool known;
    bool opened;
    bool queued;
    struct addr holder;
    unsigned tries;
    unsigned lookups;
    uint64_t age_us;
    struct addr acceptors[FORWARDER_ACCEPTORS_MAX];
    unsigned acceptor_count;
    bool evacuated;
    struct agents_choice next;
};

/** forwarder_explain() - tell what is known of a flow; additions nothing */
void
forwarder_explain(const struct forwarder *forwarder, struct relay_flow flow,
                  uint64_t now_us, struct forwarder_explanation *reported);

#endif
