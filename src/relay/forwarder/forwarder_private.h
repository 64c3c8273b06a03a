/**
 * DOC: forwarder_private - interface between the parts of the forwarder
 *
 * forwarder_pin.c keeps the pins and builds frames, forwarder_open.c decides
 * on SYNs, forwarder_established.c on packets of established flows and on
 * agents' reports of them, forwarder_orphans.c queries agents for orphaned
 * flows, forwarder_overload.c refuses new flows of services under pressure,
 * forwarder_orphan_proof.c decides whether such a flow has no holder.
 */
#ifndef SWIFTARCH_RELAY_FORWARDER_FORWARDER_PRIVATE_H
#define SWIFTARCH_RELAY_FORWARDER_FORWARDER_PRIVATE_H

#include "base/clock.h"
#include "relay/forwarder/forwarder.h"

/* Maximum agents that one SYN is sent to. More would let the caller's
 * retransmission after 200 ms meet the flow at too many acceptors. */
#define FORWARDER_TRIES_MAX 4

/* Maximum distance in bytes between an acceptor's sequence number and an
 * acknowledgement of its data: 64 packets of 1,200 bytes may be on their way.
 */
#define FORWARDER_SEQ_WINDOW 76802u

#define FORWARDER_SYN_TIMERS_MAX 8192u

#define FORWARDER_SYN_MAX 64

/* Maximum lifetime of a flow. */
#define FORWARDER_FLOW_MAX_US (60 * USEC_PER_SEC)

/**
 * struct forwarder_acceptor - an endpoint that accepted a flow's SYN
 * @agent: its agent
 * @seq: sequence number of its SYN+ACK, 0 when its agent has not seen it
 */
struct forwarder_acceptor {
    struct addr agent;
    uint32_t seq;
};

/**
 * struct forwarder_pin - state of a flow
 * @service: service that it was sent to
 * @priority: priority of its route
 * @target_ms: response target, counted from the last copy of its SYN; 0 when
 *     it has passed
 * @caller_timeout_ms: how long the caller waits for a reply to that copy
 * @request_timeout_ms: request timeout, counted from that copy
 * @acceptors: endpoints that accepted it
 * @acceptor_count: number of @acceptors
 * @tried: agents that the SYN was sent to
 * @try_count: number of @tried
 * @full_count: tries that ended at agents without room, with the SYN at no
 *     endpoint
 * @copied: the caller has sent copies of its SYN, maybe to other balancers
 * @holder: agent that last received the SYN
 * @queued: @holder has queued the SYN until a slot is free
 * @opened: the caller has sent more than its SYN, which isn't sent again
 * @orphaned: it is in forwarder.orphaned
 * @denied: an orphan query to all agents found no holder
 * @sent_us: the caller's last packet while orphaned
 * @proved_us: when it was proven that no endpoint holds it, 0 for not
 * @lookups: number of lookups
 * @lookup_service: service of the last lookup outside @service
 * @lookup_below: the next lookup starts at agents that rank below this
 * @lookup_end: rank of the last agent in the last lookup
 * @last_ack: the caller's last acknowledgement number
 * @syn_size: size of @syn, 0 when the SYN was too large to store
 * @syn_seq: sequence number of the SYN, to detect reuse of the port
 * @since_us: when its first packet arrived
 * @tried_us: when the SYN was last sent to an agent
 * @syn: the SYN, to send it to other agents
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
    uint8_t full_count;
    bool copied;
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

/**
 * struct forwarder_syn_timer - deadline of an agent's reply to a SYN
 * @due_us: the deadline
 * @handle: pin of the flow
 * @tried_us: the try it belongs to; stale when the pin has a newer one
 */
struct forwarder_syn_timer {
    uint64_t due_us;
    uint32_t handle;
    uint64_t tried_us;
};

/**
 * forwarder_try_next() - send a SYN to the best agent that hasn't received it;
 * false when there is none
 */
bool
forwarder_try_next(struct forwarder *forwarder, uint32_t handle,
                   const uint8_t *bytes, size_t size, uint64_t now_us);

/** forwarder_open_flow() - handle the SYN of a flow without a pin */
void
forwarder_open_flow(struct forwarder *forwarder,
                    const struct relay_packet *packet,
                    const struct route *route, uint64_t now_us);

/** forwarder_open_again() - handle another copy of a flow's SYN */
void
forwarder_open_again(struct forwarder *forwarder, uint32_t handle,
                     const struct relay_packet *packet,
                     const struct route *route, uint64_t now_us);

/** forwarder_queued() - an agent reported that it has queued a SYN */
void
forwarder_queued(struct forwarder *forwarder, struct addr agent,
                 const struct frame_status *status);

/** forwarder_syn_timeout() - handle an expired SYN timer */
void
forwarder_syn_timeout(struct forwarder *forwarder,
                      const struct forwarder_syn_timer *syn_timer,
                      uint64_t now_us);

/**
 * forwarder_lookup() - forward a packet of an established flow along the
 * agents that may hold it
 */
void
forwarder_lookup(struct forwarder *forwarder, uint32_t handle,
                 const struct relay_packet *packet, uint64_t now_us);

/**
 * forwarder_forward_established() - handle a packet of an established flow
 * that has a pin
 */
void
forwarder_forward_established(struct forwarder *forwarder, uint32_t handle,
                              const struct relay_packet *packet,
                              uint64_t now_us);

/**
 * forwarder_update_rtt() - update the average round trip if @agent replied to
 * the flow's last try
 */
void
forwarder_update_rtt(struct forwarder *forwarder,
                     const struct forwarder_pin *pin, struct addr agent,
                     uint64_t now_us);

/**
 * forwarder_established() - an agent reported that its endpoint holds a flow
 */
void
forwarder_established(struct forwarder *forwarder, struct addr agent,
                      const struct frame_status *status, uint64_t now_us);

/**
 * forwarder_redirected() - an agent reported that it redirected or abandoned a
 * flow
 */
void
forwarder_redirected(struct forwarder *forwarder, struct addr agent,
                     const struct frame_status *status, uint64_t now_us);

/**
 * forwarder_reset() - reset the caller of a flow that no endpoint holds
 * @evidence: one of FORWARDER_DECISION_RESET_*
 * @age_us: age of the evidence
 */
void
forwarder_reset(struct forwarder *forwarder, uint32_t handle,
                enum forwarder_decision evidence, uint64_t age_us);

/**
 * forwarder_is_settled() - whether @route has had the same services for longer
 * than any flow lives
 */
bool
forwarder_is_settled(const struct route *route, uint64_t now_us);

/**
 * forwarder_orphans_add() - record a packet of a flow without a known holder,
 * and query agents for the flow soon
 */
void
forwarder_orphans_add(struct forwarder *forwarder, uint32_t handle,
                      uint64_t now_us);

/**
 * forwarder_find_holders() - which service's agents may hold a flow
 * @service: set to the service, or to FORWARDER_ANY_SERVICE
 *
 * Agents of any service may: a flow stays with its endpoint when its address
 * moves to another service, and a balancer that has restarted or follows an
 * older configuration can't tell which service it was.
 *
 * With more than FORWARDER_QUERY_AGENTS_MAX agents it is the route's only
 * service, provided that the route is settled and the configuration current.
 *
 * Return: false when the service can't be determined.
 */
bool
forwarder_find_holders(const struct forwarder *forwarder,
                       struct relay_flow flow, uint64_t now_us,
                       uint32_t *service);

/**
 * forwarder_is_orphan_proven() - whether no endpoint holds a flow of the last
 * query, provided that the list of agents is complete
 * @at: index of the flow in the query
 *
 * A flow whose caller has sent more than its SYN can only be held by the
 * endpoint incarnation that accepted the SYN. An agent is in the store's list
 * before its endpoint gets the first SYN. So the flow has no holder if the
 * list was complete after the flow's packet arrived, and all listed agents
 * replied since that their endpoints don't hold it.
 *
 * After the store came back from an older copy, the list may lack agents until
 * they have registered again: nothing is proven until then.
 *
 * Unreachable agents may still hold the flow. If its requests are idempotent
 * and few agents are unreachable, the flow counts as ended, so that its caller
 * can retry. Otherwise it doesn't: a balancer that can't reach a third of the
 * agents may be cut off itself.
 */
bool
forwarder_is_orphan_proven(const struct forwarder *forwarder, unsigned at,
                           uint64_t now_us);

/** forwarder_orphans_tick() - start or end an orphan query when due */
void
forwarder_orphans_tick(struct forwarder *forwarder, uint64_t now_us);

/**
 * forwarder_orphans_next_us() - when forwarder_orphans_tick() is due,
 * UINT64_MAX for never
 */
uint64_t
forwarder_orphans_next_us(const struct forwarder *forwarder);

/** forwarder_drop_packet() - report a dropped packet */
void
forwarder_drop_packet(struct forwarder *forwarder, enum forwarder_drop why,
                      const struct relay_packet *packet);

/**
 * forwarder_refuse() - drop a packet that can't be forwarded, and reset its
 * caller if it is the first SYN of a flow and the configuration is current
 */
void
forwarder_refuse(struct forwarder *forwarder, enum forwarder_drop why,
                 const struct relay_packet *packet);

/** forwarder_overload_tick() - the balancer runs; call for each event */
void
forwarder_overload_tick(struct forwarder *forwarder, uint64_t now_us);

/**
 * forwarder_overload_refuse() - refuse the SYN of a flow without a pin if its
 * service is under pressure
 *
 * Only a flow's first copy is refused: an earlier one may have been forwarded
 * by another balancer, and may wait at an agent.
 *
 * Return: whether it was refused, and its caller reset.
 */
bool
forwarder_overload_refuse(struct forwarder *forwarder,
                          const struct relay_packet *packet,
                          const struct route *route, uint64_t now_us);

/** forwarder_forget() - remove a flow's pin */
void
forwarder_forget(struct forwarder *forwarder, uint32_t handle);

/**
 * forwarder_remember() - add a pin for a flow that has none; removes the least
 * recently used one when the table is full
 */
uint32_t
forwarder_remember(struct forwarder *forwarder, struct relay_flow flow,
                   uint32_t service, uint64_t now_us);

/**
 * forwarder_frame() - build a frame for a packet; the agents of @choice from
 * index @from on are its further stops
 */
struct frame_forward
forwarder_frame(const struct forwarder *forwarder, uint32_t service,
                const struct agents_choice *choice, unsigned from,
                const uint8_t *bytes, size_t size);

/**
 * forwarder_routes_in_force() - routes of the configuration, or the learned
 * ones while there is none
 */
const struct routes *
forwarder_routes_in_force(const struct forwarder *forwarder);

/**
 * forwarder_set_request() - set the values of the packet's route that an agent
 * needs to schedule its request, if the packet has data
 */
void
forwarder_set_request(const struct forwarder *forwarder,
                      const struct relay_packet *packet,
                      struct frame_forward *frame);

/**
 * forwarder_forward_to() - forward a packet to one agent without further stops
 */
void
forwarder_forward_to(struct forwarder *forwarder,
                     const struct forwarder_pin *pin, struct addr agent,
                     const struct relay_packet *packet);

#endif
