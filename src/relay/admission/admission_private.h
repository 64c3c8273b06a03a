/**
 * DOC: admission_private - interfaces between the files of admission
 *
 * admission_flow holds the flow table, admission_open decides on SYNs,
 * admission_queue on queued SYNs and requests, admission_established on
 * callers' packets of flows, admission_endpoint on the endpoint's packets.
 * Where the settings ask for it, admission_requests tells the requests of
 * flows for the scheduler, admission_load reports the endpoint's load with its
 * capacity from admission_capacity, and admission_records lists open flows for
 * records. admission_orphans answers orphan queries and admission_notify sends
 * status frames.
 */
#ifndef SWIFTARCH_RELAY_ADMISSION_ADMISSION_PRIVATE_H
#define SWIFTARCH_RELAY_ADMISSION_ADMISSION_PRIVATE_H

#include "relay/admission/admission.h"

#define ADMISSION_SYN_MAX 64

/* Limit of a packet's hops: the agents that its balancer named, and the least
 * busy one a second time. */
#define ADMISSION_HOPS_MAX (FRAME_NEXT_MAX + 2)

/** enum admission_flow_state - a flow's state at this agent */
enum admission_flow_state {
    ADMISSION_FLOW_OPENING,     /* its SYN was sent to the endpoint */
    ADMISSION_FLOW_ESTABLISHED, /* the endpoint has answered it */
    ADMISSION_FLOW_OFFERED, /* a packet of a lookup was sent to the endpoint */
    ADMISSION_FLOW_REMOTE,  /* redirected to another agent, or open at an
                               unknown one */
    ADMISSION_FLOW_QUEUED,  /* its SYN is queued for a free slot */
};

/** enum admission_path - where a caller's packet of an established flow goes
 */
enum admission_path {
    ADMISSION_PATH_UNSCHEDULED, /* requests aren't scheduled */
    ADMISSION_PATH_SEND,        /* to the endpoint */
    ADMISSION_PATH_KEPT,        /* it is of a held request */
};

/**
 * struct admission_flow - a flow at this agent
 * @state: its state
 * @incarnation: the endpoint's incarnation when the flow was added or its SYN
 * was sent
 * @busy_index: index in the busy list, or -1
 * @from_lookup: @frame is of a lookup's packet, not of the SYN
 * @confirmed: the caller acknowledged this endpoint's SYN+ACK
 * @accepted_elsewhere: the caller accepted another endpoint's SYN+ACK
 * @rejected: the endpoint doesn't hold the flow: a packet that only its holder
 * takes bounced or was reset
 * @maybe_local: the flow was established at the endpoint's last incarnation
 * and its SYN came again, so that the endpoint may still hold it
 * @proven: the endpoint sent a packet of the established flow
 * @closed: the caller or the endpoint has ended the flow
 * @queued: the flow is open, its request is queued until a slot is free
 * @held: the scheduler holds its request
 * @answered: the endpoint has sent data, up to @seq_end
 * @data_known: @data_end is valid
 * @packets: chain of the queued or held request's packets
 * @service: hash_service() of the service in its frame
 * @origin: balancer that its packets last came through
 * @target: for ADMISSION_FLOW_REMOTE, the agent that it was redirected to;
 * address 0 if unknown
 * @seq: sequence number of the endpoint's SYN+ACK
 * @reply_end: end of the endpoint's data seen last
 * @caller_seq: end of the caller's data seen so far
 * @seq_end: end of the endpoint's data
 * @data_end: end of the caller's data, if the settings ask for scheduling
 * @request_seq: sequence number of its last request
 * @request_ack: acknowledgement number of that request's first packet
 * @busy_us: since when its request is in progress
 * @syn_sent_us: when the SYN was sent to the endpoint
 * @established_us: when the endpoint answered the SYN, 0 for not yet
 * @endpoint_seen_us: when the endpoint sent the flow's first packet seen, or
 * when a further SYN came after it; 0 for not yet
 * @target_us: response target of a queued SYN or a request
 * @abandon_us: when the caller of a queued SYN or request abandons it
 * @priority: of its last scheduled request
 * @held_us: when that request began to be held
 * @request_start_us: when its request was given to the endpoint, 0 for none
 * @depth: requests in progress at that time, this one included
 * @caller_left: the caller has closed or reset the flow
 * @used_us: when it had its last request, while it is in capacity's count
 * @frame: the frame it came with, to forward it later (its bytes are @syn)
 * @syn: the SYN
 */
struct admission_flow {
    enum admission_flow_state state;
    unsigned incarnation;
    int busy_index;
    bool from_lookup;
    bool confirmed;
    bool accepted_elsewhere;
    bool rejected;
    bool maybe_local;
    bool proven;
    bool closed;
    bool queued;
    bool held;
    bool answered;
    bool data_known;
    int packets;
    uint32_t service;
    struct addr origin;
    struct addr target;
    uint32_t seq;
    uint32_t reply_end;
    uint32_t caller_seq;
    uint32_t seq_end;
    uint32_t data_end;
    uint32_t request_seq;
    uint32_t request_ack;
    uint64_t busy_us;
    uint64_t syn_sent_us;
    uint64_t established_us;
    uint64_t endpoint_seen_us;
    uint64_t target_us;
    uint64_t abandon_us;
    uint8_t priority;
    uint64_t held_us;
    uint64_t request_start_us;
    unsigned depth;
    bool caller_left;
    uint64_t used_us;
    struct frame_forward frame;
    uint8_t syn[ADMISSION_SYN_MAX];
};

/** admission_drop() - report a dropped packet */
void
admission_drop(struct admission *admission, enum admission_drop why);

/** admission_decided() - report a decision on a flow */
void
admission_decided(struct admission *admission,
                  enum admission_decision decision, uint32_t handle,
                  enum frame_reason why);

/** admission_expect_reply() - track a packet that the endpoint must answer, to
 * detect a silent endpoint */
void
admission_expect_reply(struct admission *admission, uint64_t now_us);

/** admission_note_pause() - note whether the agent had no processor when its
 * sweep was due */
void
admission_note_pause(struct admission *admission, uint64_t now_us);

/** admission_is_quiet() - whether a heartbeat of the endpoint is overdue */
bool
admission_is_quiet(const struct admission *admission, uint64_t now_us);

/** admission_flow_set_busy() - count the flow's request as in progress */
void
admission_flow_set_busy(struct admission *admission, uint32_t handle,
                        uint64_t now_us);

/** admission_flow_set_idle() - end the flow's request in progress, if any */
void
admission_flow_set_idle(struct admission *admission, uint32_t handle);

/** admission_queue_remove() - remove a flow from the queue, if it is there */
void
admission_queue_remove(struct admission *admission, uint32_t handle);

/** admission_begin_request() - record that the flow's request is given to the
 * endpoint */
void
admission_begin_request(struct admission *admission, uint32_t handle,
                        uint64_t now_us);

/** admission_forget_request() - the flow's scheduled request has ended without
 * an answer, or is dropped with its packets */
void
admission_forget_request(struct admission *admission, uint32_t handle);

/** admission_reset_flow() - reset a flow at its caller, as the endpoint that
 * held it has ended or restarted; @why: the evidence */
void
admission_reset_flow(struct admission *admission, uint32_t handle,
                     uint32_t seq, enum frame_reason why);

/** admission_end_reason() - how the endpoint has ended: LEAVING by its
 * goodbye, SILENT as its process isn't running */
enum frame_reason
admission_end_reason(const struct admission *admission);

/** admission_flow_dequeue() - drop the flow's queued or held SYN or request
 * with its packets */
void
admission_flow_dequeue(struct admission *admission, uint32_t handle);

/** admission_flow_remove() - remove a flow from the table */
void
admission_flow_remove(struct admission *admission, uint32_t handle);

/**
 * admission_flow_set_remote() - mark a flow as open at another, unknown
 * endpoint
 *
 * The flow stays in the table: the endpoint may still wait for the end of its
 * own handshake, and would silently take the other endpoint's packets.
 */
void
admission_flow_set_remote(struct admission *admission, uint32_t handle);

/** admission_flow_add() - add a flow that isn't in the table, evicting the
 * oldest one when it is full; returns its handle */
uint32_t
admission_flow_add(struct admission *admission, struct relay_flow key,
                   enum admission_flow_state state, uint64_t now_us);

/** admission_syn_timer_add() - start the timeout of a SYN that was sent to the
 * endpoint */
void
admission_syn_timer_add(struct admission *admission, uint32_t handle,
                        uint64_t now_us);

/** admission_notify() - complete a status frame with the endpoint's health and
 * send it to a balancer */
void
admission_notify(struct admission *admission, struct addr balancer,
                 struct frame_status *status, uint64_t now_us);

/** admission_notify_established() - notify the flow's balancer that the
 * endpoint holds it */
void
admission_notify_established(struct admission *admission, uint32_t handle,
                             uint64_t now_us);

/** admission_notify_redirected() - notify a balancer that the flow went to
 * @target, or to no agent if its address is 0 */
void
admission_notify_redirected(struct admission *admission, struct relay_flow key,
                            struct addr origin, enum frame_reason why,
                            struct addr target, uint64_t now_us);

/** admission_notify_state() - notify all recently heard balancers of the
 * endpoint's new state */
void
admission_notify_state(struct admission *admission, uint64_t now_us);

/** admission_notify_recent() - notify the @count balancers heard last of the
 * endpoint's state */
void
admission_notify_recent(struct admission *admission, unsigned count,
                        uint64_t now_us);

/** admission_note_balancer() - record that a frame of a balancer came, with
 * its view of the store */
void
admission_note_balancer(struct admission *admission, struct addr balancer,
                        const struct frame_store_view *view, uint64_t now_us);

/** admission_notify_served() - send a balancer the service addresses that are
 * known, if any */
void
admission_notify_served(struct admission *admission, struct addr balancer);

/** admission_note_served() - add the service address of a flow from before
 * this agent's start */
void
admission_note_served(struct admission *admission, struct addr service);

/** admission_announce() - send the endpoint's state to the announce targets */
void
admission_announce(struct admission *admission, uint64_t now_us);

/** admission_stuck() - number of requests in progress that take much longer
 * than others */
unsigned
admission_stuck(const struct admission *admission, uint64_t now_us);

/** admission_is_hanging() - whether stuck requests hold half of the endpoint's
 * slots, or did until shortly; never without scheduling */
bool
admission_is_hanging(const struct admission *admission);

/** admission_takes_trial() - whether a hanging endpoint may get a new flow */
bool
admission_takes_trial(const struct admission *admission, uint64_t now_us);

/** admission_report_capacity() - fill in the service time, stuck requests and
 * flows of a report */
void
admission_report_capacity(const struct admission *admission,
                          struct frame_load *load, uint64_t now_us);

/** admission_watch_capacity() - notify balancers when the endpoint begins or
 * ceases to hang, or its speed changes; called at each sweep */
void
admission_watch_capacity(struct admission *admission, uint64_t now_us);

/** admission_deliver_syn() - send a flow's SYN to the endpoint, without a
 * request in progress */
void
admission_deliver_syn(struct admission *admission, uint32_t handle,
                      uint64_t now_us);

/** admission_admit_syn() - send a flow's SYN to the endpoint and count its
 * request as in progress */
void
admission_admit_syn(struct admission *admission, uint32_t handle,
                    uint64_t now_us);

/**
 * admission_queue_flow() - queue a new flow while the endpoint is full
 *
 * The flow is opened at once and its request is queued. A queued SYN would be
 * sent again as a new flow of unknown age, which could take the slot of a
 * request that can still meet its target. The SYN itself is queued if the
 * request timeout is unknown or a cold endpoint may not be given it yet.
 *
 * Return: false when the queue is full.
 */
bool
admission_queue_flow(struct admission *admission, uint32_t handle,
                     uint64_t now_us);

/** admission_queue_refresh() - renew the deadlines of a queued SYN when a copy
 * of it comes */
void
admission_queue_refresh(struct admission *admission, uint32_t handle,
                        const struct frame_forward *frame, uint64_t now_us);

/** admission_queue_request() - queue a packet of a queued request; false if
 * the packet must go to the endpoint now */
bool
admission_queue_request(struct admission *admission, uint32_t handle,
                        const struct relay_packet *packet, uint64_t now_us);

/** admission_has_capacity() - whether the endpoint may be given another
 * request; @in_time: the request can still meet its target */
bool
admission_has_capacity(const struct admission *admission, bool in_time,
                       uint64_t now_us);

/** admission_redirect() - forward a flow's packet to the next agent, or else
 * to the least busy one; without either, the flow is removed, or marked as
 * remote if it is or may be open elsewhere */
void
admission_redirect(struct admission *admission, uint32_t handle,
                   enum frame_reason why, uint64_t now_us);

/** admission_open_flow() - handle a SYN of an unknown flow */
void
admission_open_flow(struct admission *admission,
                    const struct frame_forward *frame,
                    const struct relay_packet *packet, uint64_t now_us);

/** admission_handle_duplicate_syn() - handle a copy of a known flow's SYN */
void
admission_handle_duplicate_syn(struct admission *admission, uint32_t handle,
                               const struct frame_forward *frame,
                               const struct relay_packet *packet,
                               uint64_t now_us);

/** admission_queue_in_time() - number of queued SYNs and requests that can
 * still meet their target */
unsigned
admission_queue_in_time(const struct admission *admission, uint64_t now_us);

/** admission_queue_admit() - give queued SYNs and requests to the endpoint
 * while it has capacity; called after each packet and tick */
void
admission_queue_admit(struct admission *admission, uint64_t now_us);

/** admission_queue_expire() - drop queued SYNs and requests whose callers
 * abandoned them */
void
admission_queue_expire(struct admission *admission, uint64_t now_us);

/** admission_forward_next() - forward a packet to @agent and remove that agent
 * from its lookup path */
void
admission_forward_next(struct admission *admission,
                       const struct frame_forward *frame, struct addr agent);

/** admission_knows_all_flows() - whether the table lists all flows of the
 * endpoint: the agent saw its current incarnation from the start and evicted
 * none, or the endpoint has ended */
bool
admission_knows_all_flows(const struct admission *admission);

/**
 * admission_is_absent() - whether the endpoint certainly doesn't hold a flow
 * @handle: the flow, FLOW_INDEX_NONE for one that isn't in the table
 *
 * Flows that are being opened or were opened here may be held.
 */
bool
admission_is_absent(const struct admission *admission, uint32_t handle);

/** admission_offer_unknown() - handle a packet of an unknown flow: offer it to
 * the endpoint, which may hold the flow from before this agent's start, or
 * continue the lookup */
void
admission_offer_unknown(struct admission *admission,
                        const struct frame_forward *frame,
                        const struct relay_packet *packet, uint64_t now_us);

/** admission_handle_flow_packet() - handle a caller's packet of a known flow,
 * other than a SYN */
void
admission_handle_flow_packet(struct admission *admission, uint32_t handle,
                             const struct frame_forward *frame,
                             const struct relay_packet *packet,
                             uint64_t now_us);

/** admission_handle_bounce() - handle a caller's packet that the endpoint
 * refused */
void
admission_handle_bounce(struct admission *admission,
                        const struct relay_packet *packet, uint64_t now_us);

/** admission_handle_request() - decide on a caller's packet of an established
 * flow */
enum admission_path
admission_handle_request(struct admission *admission, uint32_t handle,
                         const struct frame_forward *frame,
                         const struct relay_packet *packet, uint64_t now_us);

/** admission_handle_answer() - track the endpoint's packet with data, FIN or
 * RST; returns whether it ends the flow's request, and how */
bool
admission_handle_answer(struct admission *admission, uint32_t handle,
                        const struct relay_packet *packet, uint64_t now_us,
                        enum scheduler_end *end);

/** admission_schedule() - give held requests that are due to the endpoint;
 * called after each packet and tick */
void
admission_schedule(struct admission *admission, uint64_t now_us);

/** admission_schedule_us() - when admission_schedule() is due without another
 * event */
uint64_t
admission_schedule_us(const struct admission *admission);

/** admission_fill_load() - report the endpoint's load if its requests are
 * scheduled */
void
admission_fill_load(const struct admission *admission, struct frame_load *load,
                    uint64_t now_us);

/** admission_handle_endpoint_reply() - handle a packet that the endpoint sent;
 * returns whether it may go to its caller */
bool
admission_handle_endpoint_reply(struct admission *admission,
                                const struct relay_packet *packet,
                                uint64_t now_us);

#endif
