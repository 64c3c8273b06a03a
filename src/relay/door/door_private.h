/**
 * DOC: door_private - what the parts of door share
 *
 * door_flow keeps the flows, door_open decides on SYNs, door_queue on what
 * waits for a slot, door_known on packets of flows that are known, door_answer
 * on what the endpoint sends, door_lost answers for flows that nobody has
 * found, door_tell says it all to balancers.
 */
#ifndef SWIFTARCH_RELAY_DOOR_DOOR_PRIVATE_H
#define SWIFTARCH_RELAY_DOOR_DOOR_PRIVATE_H

#include "relay/door/door.h"

#define DOOR_SYN_MAX 64

/* No packet visits more agents than its balancer named, and the one that
 * was least busy once more. */
#define DOOR_HOPS_MAX (FRAME_NEXT_MAX + 2)

/** enum door_state - where a flow is, as seen from here */
enum door_state {
    DOOR_OPENING,   /* its SYN was given to the endpoint */
    DOOR_HERE,      /* the endpoint holds it */
    DOOR_ASKED,     /* a packet of it was offered to the endpoint */
    DOOR_ELSEWHERE, /* sent on to another agent */
    DOOR_HELD,      /* its SYN waits for a free slot */
};

/**
 * struct door_flow - what is known of a flow
 * @state: where it is
 * @start: start of the endpoint that it belongs to
 * @busy_at: place in the busy list, or -1
 * @confirmed: the caller acknowledged this endpoint's SYN+ACK
 * @asked: known by a packet of a search, not by its SYN
 * @refuted: the caller took another endpoint's answer to its SYN
 * @denied: the endpoint doesn't hold it: it handed back, or answered with a
 *          reset, a packet that only its holder takes
 * @doubtful: it was open here when the endpoint seemed to start anew, and its
 *            SYN came again: it may be here all the same
 * @proven: the endpoint sent something after that: the flow was open there
 * @queued: its request waits here until a slot is free
 * @kept: packets of that request
 * @service: service it was opened for
 * @origin: balancer that its packets came through last
 * @target: for DOOR_ELSEWHERE, the agent it was sent to, or none
 * @seq: sequence number of the endpoint's SYN+ACK
 * @caller_seq: end of the caller's data seen so far
 * @busy_us: since when its request is in progress
 * @tried_us: when the SYN was given to the endpoint
 * @accepted_us: when the endpoint answered the SYN, 0 for not yet
 * @late_us: when an answer to a held SYN's request is late
 * @give_up_us: when the caller of a held SYN stops waiting
 * @asked_us: when its request was given to the endpoint, 0 for not yet
 * @depth: requests in progress then
 * @frame: the frame it came with, to send it on (its bytes are @syn)
 * @syn: the SYN
 */
struct door_flow {
    enum door_state state;
    unsigned start;
    int busy_at;
    bool asked;
    bool confirmed;
    bool refuted;
    bool denied;
    bool doubtful;
    bool proven;
    bool queued;
    int kept;
    uint32_t service;
    struct addr origin;
    struct addr target;
    uint32_t seq;
    uint32_t caller_seq;
    uint64_t busy_us;
    uint64_t tried_us;
    uint64_t accepted_us;
    uint64_t late_us;
    uint64_t give_up_us;
    uint64_t asked_us;
    unsigned depth;
    struct frame_carry frame;
    uint8_t syn[DOOR_SYN_MAX];
};

/** door_drop() - a packet ends here */
void
door_drop(struct door *door, enum door_drop why);

/** door_decided() - tell what became of a flow */
void
door_decided(struct door *door, enum door_did did, uint32_t handle,
             enum frame_reason why);

/** door_expect() - the endpoint is given a packet that it answers at once, or
 * as soon as its request is done */
void
door_expect(struct door *door, uint64_t now_us);

/** door_flow_busy() - a request of the flow is in progress */
void
door_flow_busy(struct door *door, uint32_t handle, uint64_t now_us);

/** door_flow_idle() - none is */
void
door_flow_idle(struct door *door, uint32_t handle);

/** door_flow_unhold() - a SYN waits no more */
void
door_flow_unhold(struct door *door, uint32_t handle);

/** door_flow_unqueue() - neither its SYN nor its request waits any more */
void
door_flow_unqueue(struct door *door, uint32_t handle);

/** door_flow_forget() - give up its handle */
void
door_flow_forget(struct door *door, uint32_t handle);

/** door_flow_elsewhere() - the flow is open at another endpoint, nobody here
 * knows which */
void
door_flow_elsewhere(struct door *door, uint32_t handle);

/** door_flow_remember() - a handle for a flow that isn't known yet */
uint32_t
door_flow_remember(struct door *door, struct relay_flow key,
                   enum door_state state, uint64_t now_us);

/** door_wait_push() - look at the flow when its answer is due */
void
door_wait_push(struct door *door, uint32_t handle, uint64_t now_us);

/** door_tell() - send a balancer a word, with the endpoint's health */
void
door_tell(struct door *door, struct addr balancer, struct frame_status *status,
          uint64_t now_us);

/** door_tell_placed() - the endpoint holds the flow */
void
door_tell_placed(struct door *door, uint32_t handle, uint64_t now_us);

/** door_tell_passed() - the flow went to @target, or to nobody */
void
door_tell_passed(struct door *door, struct relay_flow key, struct addr origin,
                 enum frame_reason why, struct addr target, uint64_t now_us);

/** door_tell_state() - tell all balancers of late that the endpoint's state
 * has changed */
void
door_tell_state(struct door *door, uint64_t now_us);

/** door_heard_from() - a balancer spoke, and of how it keeps up with the store
 */
void
door_heard_from(struct door *door, struct addr balancer,
                const struct frame_store_view *view, uint64_t now_us);

/** door_tell_served() - tell a balancer what the endpoint serves */
void
door_tell_served(struct door *door, struct addr balancer);

/** door_note_served() - the endpoint holds a flow from before this agent's
 * start */
void
door_note_served(struct door *door, struct addr service);

/** door_greet_all() - say that this agent is here */
void
door_greet_all(struct door *door, uint64_t now_us);

/** door_give_syn() - give the SYN of a flow to the endpoint, whose request
 * isn't begun by that */
void
door_give_syn(struct door *door, uint32_t handle, uint64_t now_us);

/** door_offer_syn() - give the SYN of a flow to the endpoint, which begins its
 * request */
void
door_offer_syn(struct door *door, uint32_t handle, uint64_t now_us);

/**
 * door_queue_flow() - a SYN came while the endpoint is full
 *
 * Its flow is opened at once, and its request waits here until a slot is free.
 * A caller whose flow is open waits for its answer; one whose SYN waits comes
 * again after 1.4 s, as a new flow whose age nobody knows, and takes the slot
 * of one that could be in time. Requests instead of SYNs: 0.7531 -> 0.7790 in
 * the mean of nine days with a loss of power or a burst. The SYN waits where
 * the caller's time isn't known, or the endpoint is cold and may be given
 * none.
 *
 * Return: false when too many wait.
 */
bool
door_queue_flow(struct door *door, uint32_t handle, uint64_t now_us);

/** door_queue_again() - another copy of a SYN that waits: its caller does too
 */
void
door_queue_again(struct door *door, uint32_t handle,
                 const struct frame_carry *frame, uint64_t now_us);

/** door_queue_request() - a packet of a request that is to wait came; whether
 * it waits */
bool
door_queue_request(struct door *door, uint32_t handle,
                   const struct relay_packet *packet, uint64_t now_us);

/** door_begin_request() - a request of the flow is given to the endpoint */
void
door_begin_request(struct door *door, uint32_t handle, uint64_t now_us);

/** door_has_room() - whether the endpoint takes another request soon */
bool
door_has_room(const struct door *door, bool in_time, uint64_t now_us);

/** door_pass_on() - send a flow's packet on; without anyone left the flow is
 * forgotten, unless it is known to be open elsewhere */
void
door_pass_on(struct door *door, uint32_t handle, enum frame_reason why,
             uint64_t now_us);

/** door_open_flow() - a SYN of a flow that isn't known */
void
door_open_flow(struct door *door, const struct frame_carry *frame,
               const struct relay_packet *packet, uint64_t now_us);

/** door_open_again() - another copy of a SYN that was seen here */
void
door_open_again(struct door *door, uint32_t handle,
                const struct frame_carry *frame,
                const struct relay_packet *packet, uint64_t now_us);

/** door_queue_in_time() - how many of those that wait can still be in time
 */
unsigned
door_queue_in_time(const struct door *door, uint64_t now_us);

/** door_queue_admit() - give what waits to the endpoint while it has room */
void
door_queue_admit(struct door *door, uint64_t now_us);

/** door_queue_expire() - end the wait of what callers gave up */
void
door_queue_expire(struct door *door, uint64_t now_us);

/** door_carry_on() - send a packet along the agents that its frame names */
void
door_carry_on(struct door *door, const struct frame_carry *frame,
              struct addr agent);

/** door_lacks_unknown() - whether the endpoint holds no flow but those in the
 * table, for certain: each that its current start holds passed here, or there
 * is no endpoint */
bool
door_lacks_unknown(const struct door *door);

/** door_ask_endpoint() - offer a packet of an unknown flow to the endpoint */
void
door_ask_endpoint(struct door *door, const struct frame_carry *frame,
                  const struct relay_packet *packet, uint64_t now_us);

/** door_reset_flow() - tell a caller that its flow is over */
void
door_reset_flow(struct door *door, uint32_t handle, uint32_t seq);

/** door_carry_known() - a packet of a flow that is known */
void
door_carry_known(struct door *door, uint32_t handle,
                 const struct frame_carry *frame,
                 const struct relay_packet *packet, uint64_t now_us);

/** door_bounced() - the endpoint doesn't take a packet */
void
door_bounced(struct door *door, const struct relay_packet *packet,
             uint64_t now_us);

/** door_answered() - the endpoint sent a packet; whether it may go to its
 * caller */
bool
door_answered(struct door *door, const struct relay_packet *packet,
              uint64_t now_us);

#endif
