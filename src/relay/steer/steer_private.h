/**
 * DOC: steer_private - what the parts of steer share
 *
 * steer_pin keeps what is known of flows, steer_open decides on SYNs,
 * steer_known on packets of open flows and on what agents say of them,
 * steer_lost on flows that nobody may hold any more, steer_proof on whether
 * that is certain.
 */
#ifndef SWIFTARCH_RELAY_STEER_STEER_PRIVATE_H
#define SWIFTARCH_RELAY_STEER_STEER_PRIVATE_H

#include "base/clock.h"
#include "relay/steer/steer.h"

/* Agents that one SYN is sent to: with more, the caller's own copy after
 * 200 ms would meet the same flow in too many places. */
#define STEER_TRIES_MAX 4

/* Beyond this distance an acknowledgement is not of that endpoint's bytes:
 * 64 packets of 1,200 bytes may be on their way. */
#define STEER_SEQ_WINDOW 76802u

#define STEER_WAITS_MAX 8192u

#define STEER_SYN_MAX 64

/* No flow lives longer. */
#define STEER_FLOW_LONGEST_US (60 * USEC_PER_SEC)

/** struct steer_place - an endpoint that answered a flow's SYN
 * @agent: agent beside it
 * @seq: sequence number of its SYN+ACK
 */
struct steer_place {
    struct addr agent;
    uint32_t seq;
};

/**
 * struct steer_pin - what is known of a flow
 * @service: service that it was sent to
 * @priority: of its route
 * @target_ms: how soon after the last copy of its SYN its request should be
 *             answered, 0 when that is late already
 * @patience_ms: how long the caller waits for an answer to that copy
 * @budget_ms: how long its request may take from that copy on
 * @places: endpoints that answered
 * @place_count: how many
 * @tried: agents that the SYN was sent to
 * @try_count: how many
 * @holder: agent that has the SYN now, as far as is known
 * @held: it said that it keeps it until a slot is free
 * @opened: the caller has sent more than its SYN: that is never sent again
 * @lost: it waits among the flows that no search has found
 * @denied: all agents were asked for it, and none claimed it
 * @sent_us: last packet of its caller while it does
 * @over_us: when it was proved that no endpoint holds it, 0 for not
 * @last_ack: what the caller acknowledged last
 * @search_below: agents that rank below this for the flow are asked next
 * @search_end: rank of the last agent that the last search named
 * @searches: how often it was looked for
 * @searched_service: the service that was looked through last beside its own
 * @syn_seq: sequence number of the SYN; another one is another flow
 * @since_us: when the first SYN came
 * @tried_us: when the last try was sent
 * @syn_size: size of @syn, 0 when it is too large to keep
 * @syn: the SYN, to send it again
 */
struct steer_pin {
    uint32_t service;
    uint8_t priority;
    uint16_t target_ms;
    uint16_t patience_ms;
    uint16_t budget_ms;
    struct steer_place places[STEER_PLACES_MAX];
    uint8_t place_count;
    struct addr tried[STEER_TRIES_MAX];
    uint8_t try_count;
    struct addr holder;
    bool held;
    bool opened;
    bool lost;
    bool denied;
    uint64_t sent_us;
    uint64_t over_us;
    uint8_t searches;
    uint32_t searched_service;
    uint64_t search_below;
    uint64_t search_end;
    uint32_t last_ack;
    uint8_t syn_size;
    uint32_t syn_seq;
    uint64_t since_us;
    uint64_t tried_us;
    uint8_t syn[STEER_SYN_MAX];
};

/** struct steer_wait - look at a flow when its agent should have answered
 * @due_us: when
 * @handle: the flow
 * @tried_us: the try that is waited for; another one since then voids this
 */
struct steer_wait {
    uint64_t due_us;
    uint32_t handle;
    uint64_t tried_us;
};

/** steer_try_next() - send a SYN to the best agent that it was not sent to;
 * false when there is none */
bool
steer_try_next(struct steer *steer, uint32_t handle, const uint8_t *bytes,
               size_t size, uint64_t now_us);

/** steer_open_flow() - a SYN of a flow that isn't known */
void
steer_open_flow(struct steer *steer, const struct relay_packet *packet,
                const struct route *route, uint64_t now_us);

/** steer_open_again() - the caller sent its SYN again */
void
steer_open_again(struct steer *steer, uint32_t handle,
                 const struct relay_packet *packet, const struct route *route,
                 uint64_t now_us);

/** steer_held() - an agent keeps the SYN until a slot is free */
void
steer_held(struct steer *steer, struct addr agent,
           const struct frame_status *status);

/** steer_wait_over() - a SYN's answer is due */
void
steer_wait_over(struct steer *steer, const struct steer_wait *wait,
                uint64_t now_us);

/** steer_search() - send a packet of an open flow along all agents that may
 * hold it */
void
steer_search(struct steer *steer, uint32_t handle,
             const struct relay_packet *packet, uint64_t now_us);

/** steer_carry_known() - a packet of a flow that is known */
void
steer_carry_known(struct steer *steer, uint32_t handle,
                  const struct relay_packet *packet, uint64_t now_us);

/** steer_note_trip() - the agent that a flow's SYN was sent to answered */
void
steer_note_trip(struct steer *steer, const struct steer_pin *pin,
                struct addr agent, uint64_t now_us);

/** steer_placed() - an agent's endpoint holds the flow */
void
steer_placed(struct steer *steer, struct addr agent,
             const struct frame_status *status, uint64_t now_us);

/** steer_passed() - an agent sent a flow on, or let go of it */
void
steer_passed(struct steer *steer, struct addr agent,
             const struct frame_status *status, uint64_t now_us);

/** steer_reset() - no endpoint holds the flow: its caller is told */
void
steer_reset(struct steer *steer, uint32_t handle, uint64_t now_us);

/** steer_is_settled() - whether no open flow of @route can be older than its
 * services are known to be the same */
bool
steer_is_settled(const struct route *route, uint64_t now_us);

/** steer_lost_note() - a packet of a flow whose place isn't known came */
void
steer_lost_note(struct steer *steer, uint32_t handle, uint64_t now_us);

/**
 * steer_find_holders() - whose agents may hold a flow
 * @service: STEER_ANY_SERVICE, or the service
 *
 * Those of any service: an open flow stays where it is when its address goes
 * to another service, and a balancer that has started since, or that follows
 * an older configuration, doesn't know of that service.
 *
 * Where there are too many agents to ask while a caller waits, it is those of
 * the route's service, once no flow can be older than what this balancer has
 * seen of the route.
 *
 * Return: whether that can be told.
 */
bool
steer_find_holders(const struct steer *steer, struct relay_flow flow,
                   uint64_t now_us, uint32_t *service);

/**
 * steer_is_claimed_by_none() - whether a flow of the last question is held by
 * nobody, if the list of agents is whole
 * @at: which of the question's flows
 *
 * A flow whose caller has sent more than its SYN is held by an endpoint that
 * answered it, and by that start of it alone. Each agent was listed in the
 * store before its endpoint was given the first SYN; the list was whole after
 * the flow's packet had come; and each agent that may hold it has said since
 * that its endpoint doesn't. Then none does, and none will: only a SYN opens a
 * flow.
 *
 * A store that has come back older may have lost agents' objects, and names
 * all of them again only after a while.
 *
 * Agents that can't be asked leave a doubt: the flow may live there, out of
 * reach. Where requests may run twice the caller is better off with another
 * endpoint; where not, it waits. A balancer that reaches less than two thirds
 * of the agents has to doubt itself.
 */
bool
steer_is_claimed_by_none(const struct steer *steer, unsigned at,
                         uint64_t now_us);

/** steer_lost_tick() - ask, or conclude, when it is time */
void
steer_lost_tick(struct steer *steer, uint64_t now_us);

/** steer_lost_next_us() - when that is, UINT64_MAX for never */
uint64_t
steer_lost_next_us(const struct steer *steer);

/** steer_drop_packet() - a packet ends here */
void
steer_drop_packet(struct steer *steer, enum steer_drop why,
                  const struct relay_packet *packet);

/** steer_refuse() - the same, and its caller is told if it would open a flow
 * and this balancer can be sure */
void
steer_refuse(struct steer *steer, enum steer_drop why,
             const struct relay_packet *packet);

/** steer_forget() - give up a flow's pin */
void
steer_forget(struct steer *steer, uint32_t handle);

/** steer_remember() - a pin for a flow that has none */
uint32_t
steer_remember(struct steer *steer, struct relay_flow flow, uint32_t service,
               uint64_t now_us);

/** steer_frame() - a frame for a packet that may go on along @choice, from
 * @from on */
struct frame_carry
steer_frame(const struct steer *steer, uint32_t service,
            const struct agents_choice *choice, unsigned from,
            const uint8_t *bytes, size_t size);

/** steer_routes_in_force() - the configuration's routes, or what was learned
 * without one */
const struct routes *
steer_routes_in_force(const struct steer *steer);

/** steer_carry_to() - send a packet to one agent, and to nobody after it */
void
steer_carry_to(struct steer *steer, const struct steer_pin *pin,
               struct addr agent, const struct relay_packet *packet);

#endif
