/**
 * DOC: steer_private - what the parts of forwarder share
 *
 * forwarder_pin keeps what is known of flows, steer_open decides on SYNs,
 * steer_known on packets of open flows and on what agents say of them,
 * forwarder_orphans on flows that nobody may hold any more, steer_proof on
 * whether that is certain.
 */
#ifndef SWIFTARCH_RELAY_FORWARDER_FORWARDER_PRIVATE_H
#define SWIFTARCH_RELAY_FORWARDER_FORWARDER_PRIVATE_H

#include "base/clock.h"
#include "relay/forwarder/forwarder.h"

/* Agents that one SYN is sent to: with more, the caller's own copy after
 * 200 ms would meet the same flow in too many acceptors. */
#define FORWARDER_TRIES_MAX 4

/* Beyond this distance an acknowledgement is not of that endpoint's bytes:
 * 64 packets of 1,200 bytes may be on their way. */
#define FORWARDER_SEQ_WINDOW 76802u

#define FORWARDER_SYN_TIMERS_MAX 8192u

#define FORWARDER_SYN_MAX 64

/* No flow lives longer. */
#define FORWARDER_FLOW_MAX_US (60 * USEC_PER_SEC)

/** struct forwarder_acceptor - an endpoint that replied a flow's SYN
 * @agent: agent beside it
 * @seq: sequence number of its SYN+ACK
 */
struct forwarder_acceptor {
    struct addr agent;
    uint32_t seq;
};

/**
 * struct forwarder_pin - what is known of a flow
 * @service: service that it was sent to
 * @priority: of its route
 * @target_ms: how soon after the last copy of its SYN its request should be
 *             replied, 0 when that is late already
 * @caller_timeout_ms: how long the caller syn_timers for an answer to that
 * copy
 * @request_timeout_ms: how long its request may take from that copy on
 * @acceptors: endpoints that replied
 * @acceptor_count: how many
 * @tried: agents that the SYN was sent to
 * @try_count: how many
 * @holder: agent that has the SYN now, as far as is known
 * @queued: it said that it keeps it until a slot is free
 * @opened: the caller has sent more than its SYN: that is never sent again
 * @orphaned: it syn_timers among the flows that no search has found
 * @denied: all agents were queried for it, and none claimed it
 * @sent_us: last packet of its caller while it does
 * @proved_us: when it was proved that no endpoint holds it, 0 for not
 * @last_ack: what the caller acknowledged last
 * @lookup_below: agents that rank below this for the flow are queried next
 * @lookup_end: rank of the last agent that the last search named
 * @lookups: how often it was looked for
 * @lookup_service: the service that was looked through last beside its own
 * @syn_seq: sequence number of the SYN; another one is another flow
 * @since_us: when the first SYN came
 * @tried_us: when the last try was sent
 * @syn_size: size of @syn, 0 when it is too large to keep
 * @syn: the SYN, to send it again
 */
struct forwarder_pin {
    uint32_t service;
    uint8_t priority;
    uint16_t target_ms;
    uint16_t caller_timeout_ms;
    uint16_t request_timeout_ms;
    struct forwarder_acceptor acceptors[FORWARDER_ACCEPTORS_MAX];
    uint8_t acceptor_count;
    struct addr tried[FORWARDER_TRIES_MAX];
    uint8_t try_count;
    struct addr holder;
    bool queued;
    bool opened;
    bool orphaned;
    bool denied;
    uint64_t sent_us;
    uint64_t proved_us;
    uint8_t lookups;
    uint32_t lookup_service;
    uint64_t lookup_below;
    uint64_t lookup_end;
    uint32_t last_ack;
    uint8_t syn_size;
    uint32_t syn_seq;
    uint64_t since_us;
    uint64_t tried_us;
    uint8_t syn[FORWARDER_SYN_MAX];
};

/** struct forwarder_syn_timer - look at a flow when its agent should have
 * replied
 * @due_us: when
 * @handle: the flow
 * @tried_us: the try that is waited for; another one since then voids this
 */
struct forwarder_syn_timer {
    uint64_t due_us;
    uint32_t handle;
    uint64_t tried_us;
};

/** forwarder_try_next() - send a SYN to the best agent that it was not sent
 * to; false when there is none */
bool
forwarder_try_next(struct forwarder *forwarder, uint32_t handle,
                   const uint8_t *bytes, size_t size, uint64_t now_us);

/** forwarder_open_flow() - a SYN of a flow that isn't known */
void
forwarder_open_flow(struct forwarder *forwarder,
                    const struct relay_packet *packet,
                    const struct route *route, uint64_t now_us);

/** forwarder_open_again() - the caller sent its SYN again */
void
forwarder_open_again(struct forwarder *forwarder, uint32_t handle,
                     const struct relay_packet *packet,
                     const struct route *route, uint64_t now_us);

/** forwarder_queued() - an agent keeps the SYN until a slot is free */
void
forwarder_queued(struct forwarder *forwarder, struct addr agent,
                 const struct frame_status *status);

/** forwarder_syn_timeout() - a SYN's answer is due */
void
forwarder_syn_timeout(struct forwarder *forwarder,
                      const struct forwarder_syn_timer *syn_timer,
                      uint64_t now_us);

/** forwarder_lookup() - send a packet of an open flow along all agents that
 * may hold it */
void
forwarder_lookup(struct forwarder *forwarder, uint32_t handle,
                 const struct relay_packet *packet, uint64_t now_us);

/** forwarder_forward_established() - a packet of a flow that is known */
void
forwarder_forward_established(struct forwarder *forwarder, uint32_t handle,
                              const struct relay_packet *packet,
                              uint64_t now_us);

/** forwarder_update_rtt() - the agent that a flow's SYN was sent to replied */
void
forwarder_update_rtt(struct forwarder *forwarder,
                     const struct forwarder_pin *pin, struct addr agent,
                     uint64_t now_us);

/** forwarder_established() - an agent's endpoint holds the flow */
void
forwarder_established(struct forwarder *forwarder, struct addr agent,
                      const struct frame_status *status, uint64_t now_us);

/** forwarder_redirected() - an agent sent a flow on, or let go of it */
void
forwarder_redirected(struct forwarder *forwarder, struct addr agent,
                     const struct frame_status *status, uint64_t now_us);

/** forwarder_reset() - no endpoint holds the flow: its caller is reported */
void
forwarder_reset(struct forwarder *forwarder, uint32_t handle, uint64_t now_us);

/** forwarder_is_settled() - whether no open flow of @route can be older than
 * its services are known to be the same */
bool
forwarder_is_settled(const struct route *route, uint64_t now_us);

/** forwarder_orphans_add() - a packet of a flow whose place isn't known came
 */
void
forwarder_orphans_add(struct forwarder *forwarder, uint32_t handle,
                      uint64_t now_us);

/**
 * forwarder_find_holders() - whose agents may hold a flow
 * @service: FORWARDER_ANY_SERVICE, or the service
 *
 * Those of any service: an open flow stays where it is when its address goes
 * to another service, and a balancer that has started since, or that follows
 * an older configuration, doesn't know of that service.
 *
 * Where there are too many agents to ask while a caller syn_timers, it is
 * those of the route's service, once no flow can be older than what this
 * balancer has seen of the route.
 *
 * Return: whether that can be reported.
 */
bool
forwarder_find_holders(const struct forwarder *forwarder,
                       struct relay_flow flow, uint64_t now_us,
                       uint32_t *service);

/**
 * forwarder_is_orphan_proven() - whether a flow of the last question is queued
 * by nobody, if the list of agents is complete
 * @at: which of the question's flows
 *
 * A flow whose caller has sent more than its SYN is queued by an endpoint that
 * replied it, and by that start of it alone. Each agent was listed in the
 * store before its endpoint was given the first SYN; the list was complete
 * after the flow's packet had come; and each agent that may hold it has said
 * since that its endpoint doesn't. Then none does, and none will: only a SYN
 * opens a flow.
 *
 * A store that has come back older may have orphaned agents' objects, and
 * names all of them again only after a while.
 *
 * Agents that can't be queried leave a doubt: the flow may live there, out of
 * reach. Where requests may run twice the caller is better off with another
 * endpoint; where not, it syn_timers. A balancer that reaches less than two
 * thirds of the agents has to doubt itself.
 */
bool
forwarder_is_orphan_proven(const struct forwarder *forwarder, unsigned at,
                           uint64_t now_us);

/** forwarder_orphans_tick() - ask, or conclude, when it is time */
void
forwarder_orphans_tick(struct forwarder *forwarder, uint64_t now_us);

/** forwarder_orphans_next_us() - when that is, UINT64_MAX for never */
uint64_t
forwarder_orphans_next_us(const struct forwarder *forwarder);

/** forwarder_drop_packet() - a packet ends here */
void
forwarder_drop_packet(struct forwarder *forwarder, enum forwarder_drop why,
                      const struct relay_packet *packet);

/** forwarder_refuse() - the same, and its caller is reported if it would open
 * a flow and this balancer can be sure */
void
forwarder_refuse(struct forwarder *forwarder, enum forwarder_drop why,
                 const struct relay_packet *packet);

/** forwarder_forget() - give up a flow's pin */
void
forwarder_forget(struct forwarder *forwarder, uint32_t handle);

/** forwarder_remember() - a pin for a flow that has none */
uint32_t
forwarder_remember(struct forwarder *forwarder, struct relay_flow flow,
                   uint32_t service, uint64_t now_us);

/** forwarder_frame() - a frame for a packet that may go on along @choice, from
 * @from on */
struct frame_forward
forwarder_frame(const struct forwarder *forwarder, uint32_t service,
                const struct agents_choice *choice, unsigned from,
                const uint8_t *bytes, size_t size);

/** forwarder_routes_in_force() - the configuration's routes, or what was
 * learned without one */
const struct routes *
forwarder_routes_in_force(const struct forwarder *forwarder);

/** forwarder_forward_to() - send a packet to one agent, and to nobody after it
 */
void
forwarder_forward_to(struct forwarder *forwarder,
                     const struct forwarder_pin *pin, struct addr agent,
                     const struct relay_packet *packet);

#endif
