/**
 * DOC: forwarder - a balancer's forwarding decisions
 *
 * A caller's SYN goes to the best agent. When the agent reports that its
 * endpoint has accepted the flow, the balancer pins the flow to it. If no
 * reply arrives within milliseconds, the SYN goes to another agent, before the
 * caller retransmits it. A packet of a flow without a pin here (the network
 * moved it from another balancer) is forwarded along the agents that may hold
 * the flow, and the holder reports itself.
 *
 * The module opens no socket and reads no clock: outputs go through struct
 * forwarder_out, and callers pass the time.
 */
#ifndef SWIFTARCH_RELAY_FORWARDER_FORWARDER_H
#define SWIFTARCH_RELAY_FORWARDER_FORWARDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "relay/forwarder/agents.h"
#include "relay/overload/overload.h"
#include "relay/wire/flow_index.h"
#include "relay/wire/frame.h"
#include "relay/wire/packet.h"
#include "relay/forwarder/routes.h"
#include "relay/forwarder/syn_queue.h"

/* Maximum acceptors remembered for a flow; several tries of a SYN may be
 * accepted when replies are slow. */
#define FORWARDER_ACCEPTORS_MAX 2

/* Maximum pins: a balancer of the largest deployment has hundreds of thousands
 * of flows. Untouched pages of the table use no memory. */
#define FORWARDER_FLOWS_MAX (1u << 18)

/** enum forwarder_drop - why a packet was dropped */
enum forwarder_drop {
    FORWARDER_DROP_MALFORMED, /* malformed, or not from a caller */
    FORWARDER_DROP_NO_CONFIG, /* no configuration yet */
    FORWARDER_DROP_NO_ROUTE,  /* no route for its address */
    FORWARDER_DROP_NO_AGENT,  /* no agent of its service can take it */
    FORWARDER_DROP_EVACUATED, /* all agents of its service are in evacuated
                               * data centres */
    FORWARDER_DROP_FOREIGN,   /* not a valid frame of this system */
    FORWARDER_DROP_OVERLOAD,  /* no agent of its service can answer it in time
                               */
    FORWARDER_DROP_SHARE,     /* its caller has its share of a full service */
    FORWARDER_DROP_COUNT,
};

/** enum forwarder_decision - decision on a flow */
enum forwarder_decision {
    FORWARDER_DECISION_SEND,      /* its SYN was sent to an agent */
    FORWARDER_DECISION_ESTABLISH, /* an agent reported that its endpoint holds
                                   * it */
    /* No endpoint holds it, so its caller is reset: */
    FORWARDER_DECISION_RESET_PROVEN, /* all agents denied it */
    FORWARDER_DECISION_RESET_ABSENT, /* its acceptor's agent denied it */
    FORWARDER_DECISION_RESET_ENDED,  /* its acceptor's endpoint has ended */
    FORWARDER_DECISION_REFUSE, /* no endpoint has room for it: its caller is
                                * reset */
    FORWARDER_DECISION_LOOKUP, /* it is established with an unknown holder: its
                                * packet goes to agents that may hold it */
};

struct forwarder_out;
struct orphan_query;

/** struct forwarder_out_ops - outputs of the forwarder */
struct forwarder_out_ops {
    /** @forward: send a caller's packet to an agent */
    void (*forward)(struct forwarder_out *out, struct addr agent,
                    const struct frame_forward *frame);
    /**
     * @reset: send a caller an RST for a flow that has ended or can't be
     *     opened; @seq: the caller's last acknowledgement number
     */
    void (*reset)(struct forwarder_out *out, struct relay_flow flow,
                  uint32_t seq);
    /**
     * @ping: request an agent's state; @unlisted: notify it that it was
     *     removed from the store's list
     */
    void (*ping)(struct forwarder_out *out, struct addr agent, bool unlisted);
    /** @query: send an orphan query to an agent */
    void (*query)(struct forwarder_out *out, struct addr agent,
                  const struct frame_query *query);
    /**
     * @confirm: request the store to confirm that the list of agents is
     *     complete; forwarder_confirmed() receives the reply
     */
    void (*confirm)(struct forwarder_out *out, uint64_t now_us);
    /** @newer_config: another balancer follows a newer configuration */
    void (*newer_config)(struct forwarder_out *out,
                         const struct frame_config_version *newer);
    /** @readers: an agent reported how many other balancers read the store */
    void (*readers)(struct forwarder_out *out, struct frame_readers others);
    /** @dropped: a packet was dropped; @packet may be NULL */
    void (*dropped)(struct forwarder_out *out, enum forwarder_drop why,
                    const struct relay_packet *packet);
    /** @decided: a decision on a flow; @age_us: its age, for a reset that of
     * the evidence */
    void (*decided)(struct forwarder_out *out,
                    enum forwarder_decision decision, struct relay_flow flow,
                    struct addr agent, unsigned tries, uint64_t age_us);
    /**
     * @concluded: an orphan query has ended; no endpoint holds @ended of its
     *     flows
     */
    void (*concluded)(struct forwarder_out *out,
                      const struct orphan_query *query, unsigned ended);
    /**
     * @level_changed: an endpoint's level has changed; @median_us: median
     *     service time of its service, 0 if unknown
     */
    void (*level_changed)(struct forwarder_out *out,
                          const struct agent_row *row, uint64_t median_us);
};

/** struct forwarder_out - receiver of outputs; embed as the first member */
struct forwarder_out {
    const struct forwarder_out_ops *ops;
};

struct forwarder_pin;
struct forwarder_syn_timer;
struct forwarder_gate;

/** struct forwarder_gate_ops - decision on new flows from outside */
struct forwarder_gate_ops {
    /** @allows: whether a new flow of @route to @service may be opened */
    bool (*allows)(struct forwarder_gate *gate, struct relay_flow flow,
                   const struct route *route, uint32_t service,
                   uint64_t now_us);
};

/** struct forwarder_gate - decides on new flows; embed as the first member */
struct forwarder_gate {
    const struct forwarder_gate_ops *ops;
};

/* Maximum agents of an orphan query: at GAP_PER_AGENT_US each, as many as fit
 * into a caller's timeout. */
#define FORWARDER_QUERY_AGENTS_MAX 1500

/* Selects all services; no service's hash is 0. */
#define FORWARDER_ANY_SERVICE 0

/* Maximum orphaned flows; a flow without room is added again by its next
 * packet. */
#define FORWARDER_ORPHANS_MAX 1024

/**
 * struct forwarder_orphan - a flow with packets from its caller and no known
 * holder
 * @handle: its pin
 * @flow: its key, to detect that the pin was reused
 * @since_us: when its lookup began
 */
struct forwarder_orphan {
    uint32_t handle;
    struct relay_flow flow;
    uint64_t since_us;
};

/**
 * struct orphan_query - a query to all agents that may hold some flows
 * @number: sequence number of the query
 * @open: replies are awaited
 * @service: whose agents are queried, FORWARDER_ANY_SERVICE for all
 * @started_us: when it was sent
 * @additions: agents.additions at that time, to detect agents added since
 * @confirmed: the store confirmed the list of agents after @started_us
 * @queries: agents that it was sent to
 * @replies: agents that have replied
 * @store_queried: the replies were evaluated: the store was asked to confirm
 *     the list of agents if that allows a proof
 * @due_us: deadline for agents whose reply is optional
 * @queried: agents whose reply is required, and others with a usable reply
 * @missing: agents whose required reply is missing
 * @unreachable: agents without a usable reply: unreachable or down before, or
 *     with a silent endpoint
 * @flows: flows queried
 * @count: number of @flows
 * @absent: bit i is set while no agent has claimed @flows[i]
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
 * struct forwarder_orphans - orphaned flows and the query for them
 * @flows: the flows
 * @count: number of @flows
 * @query: the open query, or the last one
 * @gap_us: minimum interval between two queries
 * @next_us: when the next query may be sent
 */
struct forwarder_orphans {
    struct forwarder_orphan flows[FORWARDER_ORPHANS_MAX];
    unsigned count;
    struct orphan_query query;
    uint64_t gap_us;
    uint64_t next_us;
};

/**
 * struct forwarder_slow_start - allowance above a service's slow-start rate: a
 * cold endpoint may get rate * @over + @slack requests in a second
 * @over: factor on the rate
 * @slack: requests per second on top
 */
struct forwarder_slow_start {
    double over;
    unsigned slack;
};

/**
 * struct forwarder - state of a balancer
 * @out: receiver of outputs
 * @gate: decides on new flows, or NULL to open all
 * @self: address to which agents reply
 * @reader: whether this balancer reads the store
 * @slow_start: allowance above slow-start rates
 * @overload: decides on new flows of services under pressure, or NULL
 * @current: the configuration in force is the store's latest, as far as can be
 *     known
 * @agents: the agents
 * @routes: configuration in force
 * @learned: routes learned from agents, used while there is no configuration
 * @flows: index from flow to pin
 * @pins: pins by handle
 * @rtt_us: moving average of agents' replies to SYNs, weighted towards slow
 *     ones
 * @syn_timers: ring of timers for SYNs without a reply, by deadline
 * @syn_timer_first: index of the first timer
 * @syn_timer_count: number of timers
 * @early_syns: SYNs that arrived before they could be routed
 * @orphaned: established flows with an unknown holder
 */
struct forwarder {
    struct forwarder_out *out;
    struct forwarder_gate *gate;
    struct addr self;
    enum frame_reader_state reader;
    struct forwarder_slow_start slow_start;
    struct overload *overload;
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

/** forwarder_init() - initialize an empty state; 0 or -ENOMEM */
int
forwarder_init(struct forwarder *forwarder, struct forwarder_out *out,
               struct addr self, const char *data_centre);

/** forwarder_finish() - free the memory */
void
forwarder_finish(struct forwarder *forwarder);

/**
 * forwarder_routes() - follow a configuration
 *
 * Takes ownership of @routes. An older or equal version is freed and ignored.
 * Established flows stay with their endpoints.
 *
 * Return: whether @routes is in force now.
 */
bool
forwarder_routes(struct forwarder *forwarder, struct routes *routes,
                 uint64_t now_us);

/**
 * forwarder_served() - learn routes from the addresses that an agent's
 * endpoint serves
 *
 * Ignored once a configuration is in force. Learned routes let balancers serve
 * callers after a restart of all hosts while the store is unreachable.
 *
 * When data centres are in several regions, a learned route is limited to the
 * regions that reported it, as its configuration may have region affinity.
 */
void
forwarder_served(struct forwarder *forwarder, struct addr agent,
                 const struct frame_served *served);

/** forwarder_store_view() - this balancer's view of the store, for frames */
struct frame_store_view
forwarder_store_view(const struct forwarder *forwarder);

/**
 * forwarder_ping_witnesses() - exchange with agents which balancers read the
 * store
 */
void
forwarder_ping_witnesses(struct forwarder *forwarder);

/**
 * forwarder_evacuations() - update the evacuated data centres
 * @from_store: read from the store by this balancer: agents there may not have
 *     received the change and are pinged
 *
 * Return: whether the set has changed.
 */
bool
forwarder_evacuations(struct forwarder *forwarder,
                      const struct evacuations *reported, bool from_store,
                      uint64_t now_us);

/** forwarder_packet() - handle a caller's packet */
void
forwarder_packet(struct forwarder *forwarder,
                 const struct relay_packet *packet, uint64_t now_us);

/** forwarder_status() - handle an agent's status frame */
void
forwarder_status(struct forwarder *forwarder, struct addr agent,
                 const struct frame_status *status, uint64_t now_us);

/** forwarder_query_reply() - handle an agent's reply to an orphan query */
void
forwarder_query_reply(struct forwarder *forwarder, struct addr agent,
                      const struct frame_query_reply *absent, uint64_t now_us);

/**
 * forwarder_confirmed() - the store, queried at @queried_us, has confirmed
 * that the list of agents is complete
 */
void
forwarder_confirmed(struct forwarder *forwarder, uint64_t queried_us,
                    uint64_t now_us);

/** forwarder_tick() - run due timers; call at forwarder_next_us() or later */
void
forwarder_tick(struct forwarder *forwarder, uint64_t now_us);

/** forwarder_next_us() - when forwarder_tick() is due, UINT64_MAX for never */
uint64_t
forwarder_next_us(const struct forwarder *forwarder);

/**
 * forwarder_ready() - whether callers can be served: there are routes, and an
 * agent for at least one of their services
 */
bool
forwarder_ready(const struct forwarder *forwarder);

/**
 * struct forwarder_explanation - state of one flow, for operators
 * @route: its route, or NULL; valid until the next configuration
 * @service: service that it goes to
 * @known: it has a pin
 * @opened: its caller has sent more than its SYN
 * @queued: its SYN is queued at @holder until a slot is free
 * @holder: agent that last received its SYN; address 0 for none
 * @tries: agents that its SYN was sent to
 * @lookups: number of lookups for its holder
 * @age_us: age of the pin
 * @acceptors: agents whose endpoints accepted its SYN
 * @acceptor_count: number of @acceptors
 * @evacuated: a new flow would be refused, as all agents of its service are in
 *     evacuated data centres
 * @next: agents that a new flow with the same addresses would go to, best
 *     first
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

/** forwarder_explain() - report the state of a flow without changing it */
void
forwarder_explain(const struct forwarder *forwarder, struct relay_flow flow,
                  uint64_t now_us, struct forwarder_explanation *explanation);

#endif
