/**
 * DOC: admission_private - what the parts of admission share
 *
 * admission_flow keeps the flows, admission_open decides on SYNs,
 * admission_queue on what waits for a slot, admission_established on packets
 * of flows that are known, admission_endpoint on what the endpoint sends,
 * admission_orphans answers for flows that nobody has found, admission_notify
 * says it all to balancers.
 */
#ifndef SWIFTARCH_RELAY_ADMISSION_ADMISSION_PRIVATE_H
#define SWIFTARCH_RELAY_ADMISSION_ADMISSION_PRIVATE_H

#include "relay/admission/admission.h"

#define ADMISSION_SYN_MAX 64

/* No packet visits more agents than its balancer named, and the one that
 * was least busy once more. */
#define ADMISSION_HOPS_MAX (FRAME_NEXT_MAX + 2)

/** enum admission_flow_state - where a flow is, as seen from here */
enum admission_flow_state {
    ADMISSION_FLOW_OPENING,     /* its SYN was given to the endpoint */
    ADMISSION_FLOW_ESTABLISHED, /* the endpoint holds it */
    ADMISSION_FLOW_OFFERED, /* a packet of it was offered to the endpoint */
    ADMISSION_FLOW_REMOTE,  /* sent on to another agent */
    ADMISSION_FLOW_QUEUED,  /* its SYN waits for a free slot */
};

/**
 * struct admission_flow - what is known of a flow
 * @state: where it is
 * @incarnation: incarnation of the endpoint that it belongs to
 * @busy_at: place in the busy list, or -1
 * @confirmed: the caller acknowledged this endpoint's SYN+ACK
 * @asked: known by a packet of a search, not by its SYN
 * @refuted: the caller took another endpoint's answer to its SYN
 * @denied: the endpoint doesn't hold it: it handed back, or answered with a
 *          reset, a packet that only its holder takes
 * @maybe_local: it was open here when the endpoint seemed to incarnation anew,
 * and its SYN came again: it may be here all the same
 * @proven: the endpoint sent something after that: the flow was open there
 * @queued: its request waits here until a slot is free
 * @packet_pool: packets of that request
 * @service: service it was opened for
 * @origin: balancer that its packets came through last
 * @target: for ADMISSION_FLOW_REMOTE, the agent it was sent to, or none
 * @seq: sequence number of the endpoint's SYN+ACK
 * @caller_seq: end of the caller's data seen so far
 * @busy_us: since when its request is in progress
 * @tried_us: when the SYN was given to the endpoint
 * @established_us: when the endpoint answered the SYN, 0 for not yet
 * @target_us: when an answer to a held SYN's request is late
 * @abandon_us: when the caller of a held SYN stops waiting
 * @asked_us: when its request was given to the endpoint, 0 for not yet
 * @depth: requests in progress then
 * @frame: the frame it came with, to send it on (its bytes are @syn)
 * @syn: the SYN
 */
struct admission_flow {
    enum admission_flow_state state;
    unsigned incarnation;
    int busy_at;
    bool asked;
    bool confirmed;
    bool refuted;
    bool denied;
    bool maybe_local;
    bool proven;
    bool queued;
    int packet_pool;
    uint32_t service;
    struct addr origin;
    struct addr target;
    uint32_t seq;
    uint32_t caller_seq;
    uint64_t busy_us;
    uint64_t tried_us;
    uint64_t established_us;
    uint64_t target_us;
    uint64_t abandon_us;
    uint64_t asked_us;
    unsigned depth;
    struct frame_forward frame;
    uint8_t syn[ADMISSION_SYN_MAX];
};

/** admission_drop() - a packet ends here */
void
admission_drop(struct admission *admission, enum admission_drop why);

/** admission_decided() - notify what became of a flow */
void
admission_decided(struct admission *admission,
                  enum admission_decision decision, uint32_t handle,
                  enum frame_reason why);

/** admission_expect_reply() - the endpoint is given a packet that it answers
 * at once, or as soon as its request is done */
void
admission_expect_reply(struct admission *admission, uint64_t now_us);

/** admission_flow_set_busy() - a request of the flow is in progress */
void
admission_flow_set_busy(struct admission *admission, uint32_t handle,
                        uint64_t now_us);

/** admission_flow_set_idle() - none is */
void
admission_flow_set_idle(struct admission *admission, uint32_t handle);

/** admission_queue_remove() - a SYN waits no more */
void
admission_queue_remove(struct admission *admission, uint32_t handle);

/** admission_flow_dequeue() - neither its SYN nor its request waits any more
 */
void
admission_flow_dequeue(struct admission *admission, uint32_t handle);

/** admission_flow_remove() - give up its handle */
void
admission_flow_remove(struct admission *admission, uint32_t handle);

/** admission_flow_set_remote() - the flow is open at another endpoint, nobody
 * here knows which */
void
admission_flow_set_remote(struct admission *admission, uint32_t handle);

/** admission_flow_add() - a handle for a flow that isn't known yet */
uint32_t
admission_flow_add(struct admission *admission, struct relay_flow key,
                   enum admission_flow_state state, uint64_t now_us);

/** admission_syn_timer_add() - look at the flow when its answer is due */
void
admission_syn_timer_add(struct admission *admission, uint32_t handle,
                        uint64_t now_us);

/** admission_notify() - send a balancer a word, with the endpoint's health */
void
admission_notify(struct admission *admission, struct addr balancer,
                 struct frame_status *status, uint64_t now_us);

/** admission_notify_established() - the endpoint holds the flow */
void
admission_notify_established(struct admission *admission, uint32_t handle,
                             uint64_t now_us);

/** admission_notify_redirected() - the flow went to @target, or to nobody */
void
admission_notify_redirected(struct admission *admission, struct relay_flow key,
                            struct addr origin, enum frame_reason why,
                            struct addr target, uint64_t now_us);

/** admission_notify_state() - notify all balancers of late that the endpoint's
 * state has changed */
void
admission_notify_state(struct admission *admission, uint64_t now_us);

/** admission_note_balancer() - a balancer spoke, and of how it keeps up with
 * the store
 */
void
admission_note_balancer(struct admission *admission, struct addr balancer,
                        const struct frame_store_view *view, uint64_t now_us);

/** admission_notify_served() - notify a balancer what the endpoint serves */
void
admission_notify_served(struct admission *admission, struct addr balancer);

/** admission_note_served() - the endpoint holds a flow from before this
 * agent's incarnation */
void
admission_note_served(struct admission *admission, struct addr service);

/** admission_announce() - say that this agent is here */
void
admission_announce(struct admission *admission, uint64_t now_us);

/** admission_deliver_syn() - give the SYN of a flow to the endpoint, whose
 * request isn't begun by that */
void
admission_deliver_syn(struct admission *admission, uint32_t handle,
                      uint64_t now_us);

/** admission_admit_syn() - give the SYN of a flow to the endpoint, which
 * begins its request */
void
admission_admit_syn(struct admission *admission, uint32_t handle,
                    uint64_t now_us);

/**
 * admission_queue_flow() - a SYN came while the endpoint is full
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
admission_queue_flow(struct admission *admission, uint32_t handle,
                     uint64_t now_us);

/** admission_queue_refresh() - another copy of a SYN that waits: its caller
 * does too
 */
void
admission_queue_refresh(struct admission *admission, uint32_t handle,
                        const struct frame_forward *frame, uint64_t now_us);

/** admission_queue_request() - a packet of a request that is to wait came;
 * whether it waits */
bool
admission_queue_request(struct admission *admission, uint32_t handle,
                        const struct relay_packet *packet, uint64_t now_us);

/** admission_begin_request() - a request of the flow is given to the endpoint
 */
void
admission_begin_request(struct admission *admission, uint32_t handle,
                        uint64_t now_us);

/** admission_has_capacity() - whether the endpoint takes another request soon
 */
bool
admission_has_capacity(const struct admission *admission, bool in_time,
                       uint64_t now_us);

/** admission_redirect() - send a flow's packet on; without anyone left the
 * flow is forgotten, unless it is known to be open elsewhere */
void
admission_redirect(struct admission *admission, uint32_t handle,
                   enum frame_reason why, uint64_t now_us);

/** admission_open_flow() - a SYN of a flow that isn't known */
void
admission_open_flow(struct admission *admission,
                    const struct frame_forward *frame,
                    const struct relay_packet *packet, uint64_t now_us);

/** admission_handle_duplicate_syn() - another copy of a SYN that was seen here
 */
void
admission_handle_duplicate_syn(struct admission *admission, uint32_t handle,
                               const struct frame_forward *frame,
                               const struct relay_packet *packet,
                               uint64_t now_us);

/** admission_queue_in_time() - how many of those that wait can still be in
 * time
 */
unsigned
admission_queue_in_time(const struct admission *admission, uint64_t now_us);

/** admission_queue_admit() - give what waits to the endpoint while it has room
 */
void
admission_queue_admit(struct admission *admission, uint64_t now_us);

/** admission_queue_expire() - end the wait of what callers gave up */
void
admission_queue_expire(struct admission *admission, uint64_t now_us);

/** admission_forward_next() - send a packet along the agents that its frame
 * names */
void
admission_forward_next(struct admission *admission,
                       const struct frame_forward *frame, struct addr agent);

/** admission_knows_all_flows() - whether the endpoint holds no flow but those
 * in the table, for certain: each that its current incarnation holds passed
 * here, or there is no endpoint */
bool
admission_knows_all_flows(const struct admission *admission);

/** admission_offer_unknown() - offer a packet of an unknown flow to the
 * endpoint */
void
admission_offer_unknown(struct admission *admission,
                        const struct frame_forward *frame,
                        const struct relay_packet *packet, uint64_t now_us);

/** admission_reset_flow() - notify a caller that its flow is over */
void
admission_reset_flow(struct admission *admission, uint32_t handle,
                     uint32_t seq);

/** admission_handle_flow_packet() - a packet of a flow that is known */
void
admission_handle_flow_packet(struct admission *admission, uint32_t handle,
                             const struct frame_forward *frame,
                             const struct relay_packet *packet,
                             uint64_t now_us);

/** admission_handle_bounce() - the endpoint doesn't take a packet */
void
admission_handle_bounce(struct admission *admission,
                        const struct relay_packet *packet, uint64_t now_us);

/** admission_handle_endpoint_reply() - the endpoint sent a packet; whether it
 * may go to its caller */
bool
admission_handle_endpoint_reply(struct admission *admission,
                                const struct relay_packet *packet,
                                uint64_t now_us);

#endif
