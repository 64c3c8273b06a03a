/**
 * DOC: admission - an agent's decisions on SYNs and flows of its endpoint
 *
 * Every packet to an endpoint passes its agent, so the agent decides from
 * local state: requests in progress, unanswered SYNs, the endpoint's lifecycle
 * and, while it is cold, the requests it was given. A SYN that the endpoint
 * can't take soon is forwarded to the next agent that its frame names. When
 * all of them are busy, the least busy one opens the flow and queues its
 * request until a slot is free. Packets of flows that the endpoint doesn't
 * hold are forwarded the same way.
 *
 * The functions only decide; packets and frames leave through struct
 * admission_out.
 */
#ifndef SWIFTARCH_RELAY_ADMISSION_ADMISSION_H
#define SWIFTARCH_RELAY_ADMISSION_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "relay/admission/capacity.h"
#include "relay/admission/endpoint.h"
#include "relay/admission/packet_pool.h"
#include "relay/wire/flow_index.h"
#include "relay/wire/frame.h"
#include "relay/admission/outcome.h"
#include "relay/admission/latency.h"
#include "relay/admission/slow_start.h"
#include "relay/scheduler/reject_rate.h"
#include "relay/scheduler/scheduler.h"
#include "relay/wire/packet.h"
#include "relay/wire/store_state.h"

/* Flows in an agent's table: those of its endpoint, some 2,000, and those that
 * were redirected. */
#define ADMISSION_FLOWS_MAX (1u << 14)

/** enum admission_drop - why a packet was dropped */
enum admission_drop {
    ADMISSION_DROP_MALFORMED, /* not a packet or frame, or one of a forbidden
                                 kind */
    ADMISSION_DROP_NO_AGENT,  /* no agent is left to forward it to */
    ADMISSION_DROP_STALE,     /* a SYN+ACK of a redirected flow */
    ADMISSION_DROP_EXPIRED,   /* abandoned by its caller in the queue */
    ADMISSION_DROP_COUNT,
};

/** enum admission_decision - the result for a SYN or a packet of a flow */
enum admission_decision {
    ADMISSION_DECISION_ESTABLISH, /* the endpoint answered the SYN */
    ADMISSION_DECISION_REDIRECT,  /* forwarded to another agent */
    ADMISSION_DECISION_ABANDON,   /* no agent was left to forward it to */
    ADMISSION_DECISION_QUEUE,     /* queued for a free slot */
    ADMISSION_DECISION_ADMIT,     /* given to the endpoint from the queue */
    ADMISSION_DECISION_EXPIRE,    /* abandoned by its caller in the queue */
    ADMISSION_DECISION_RESET, /* its endpoint has ended, the caller is reset */
    ADMISSION_DECISION_REFUSE, /* no endpoint has room, its balancer may reset
                                  the caller of the new flow */
};

/** enum admission_scheduled_event - what happened to a scheduled request */
enum admission_scheduled_event {
    ADMISSION_SCHEDULED_HELD,     /* it is held */
    ADMISSION_SCHEDULED_GIVEN,    /* given to the endpoint */
    ADMISSION_SCHEDULED_REJECTED, /* the endpoint rejected it */
};

/**
 * struct admission_scheduled - an event of a scheduled request
 * @event: what happened
 * @reason: why it was given to the endpoint
 * @priority: its priority
 * @wait_us: how long it was held
 * @left_us: time left until its response target, 0 if it has passed
 */
struct admission_scheduled {
    enum admission_scheduled_event event;
    enum scheduler_reason reason;
    uint8_t priority;
    uint64_t wait_us;
    uint64_t left_us;
};

struct admission_out;

/** struct admission_out_ops - outputs of the decisions */
struct admission_out_ops {
    /** @to_endpoint: send a packet to the endpoint */
    void (*to_endpoint)(struct admission_out *out, const uint8_t *bytes,
                        size_t size);
    /** @to_caller: send the endpoint's packet to its caller */
    void (*to_caller)(struct admission_out *out, struct addr caller,
                      const uint8_t *bytes, size_t size);
    /** @reset: reset a flow at its caller; @seq: sequence number of the reset
     */
    void (*reset)(struct admission_out *out, struct relay_flow flow,
                  uint32_t seq);
    /** @forward: send a caller's packet to another agent */
    void (*forward)(struct admission_out *out, struct addr agent,
                    const struct frame_forward *frame);
    /** @notify: send a balancer a status frame */
    void (*notify)(struct admission_out *out, struct addr balancer,
                   const struct frame_status *status);
    /** @served: send a balancer without configuration the addresses of the
     * endpoint's service */
    void (*served)(struct admission_out *out, struct addr balancer,
                   const struct frame_served *served);
    /** @query_reply: answer a balancer's orphan query */
    void (*query_reply)(struct admission_out *out, struct addr balancer,
                        const struct frame_query_reply *query_reply);
    /** @probe: check whether the endpoint accepts connections; if it refuses
     * one, admission_probe_refused() must be called */
    void (*probe)(struct admission_out *out);
    /** @dropped: a packet was dropped */
    void (*dropped)(struct admission_out *out, enum admission_drop why);
    /** @decided: a decision on a SYN or a flow, for metrics and logs */
    void (*decided)(struct admission_out *out,
                    enum admission_decision decision, struct relay_flow flow,
                    enum frame_reason why, const struct frame_forward *frame);
    /** @scheduled: an event of a scheduled request, for metrics and logs */
    void (*scheduled)(struct admission_out *out, struct relay_flow flow,
                      const struct admission_scheduled *scheduled);
};

/** struct admission_out - receiver of the outputs, embedded at the start of
 * the caller's own struct */
struct admission_out {
    const struct admission_out_ops *ops;
};

struct admission_flow;

/**
 * struct admission_syn_timer - timeout of a SYN that was given to the endpoint
 * @due_us: when it expires
 * @handle: the flow
 * @syn_sent_us: when the SYN was sent; if the flow's differs, the timer is
 * stale
 */
struct admission_syn_timer {
    uint64_t due_us;
    uint32_t handle;
    uint64_t syn_sent_us;
};

#define ADMISSION_SYN_TIMERS_MAX 1024u
#define ADMISSION_BALANCERS_MAX 64
#define ADMISSION_ANNOUNCE_TARGETS_MAX 8

/* Capacity of an agent's queue of SYNs and requests. Two slots at 33 ms a
 * request work it off in 2 s. */
#define ADMISSION_QUEUE_MAX 128

/**
 * struct admission_balancer - a balancer that this agent has heard from
 * @addr: its address
 * @heard_us: when its last frame came
 * @view: its configuration version and store reader state in that frame
 */
struct admission_balancer {
    struct addr addr;
    uint64_t heard_us;
    struct frame_store_view view;
};

/**
 * struct admission - an agent's decision state
 * @out: receiver of the outputs
 * @self: address that other agents send to
 * @data_centre: evacuations_key() of this agent's data centre
 * @store: state of the store, with the evacuated data centres
 * @endpoint: state of the endpoint
 * @incarnation: number of endpoint incarnations seen so far
 * @table: keys of the flows
 * @flows: flow data, indexed by handle
 * @syn_timers: ring of timers of unanswered SYNs, in order of expiry
 * @syn_timer_first: index of the first timer
 * @syn_timer_count: number of timers
 * @busy: handles of flows with a request in progress
 * @busy_count: number of them
 * @queue: handles of flows whose SYN or request is queued, in order of arrival
 * @queue_count: number of them
 * @packet_pool: packets of queued requests
 * @scheduling: the settings ask for scheduling; the caller sets it after
 *     admission_init()
 * @engaged: requests are scheduled: a flow has carried a second one
 * @scheduler: order of the endpoint's requests while @engaged
 * @reject_rate: those that the endpoint rejected
 * @latency: averages of service and round-trip times
 * @capacity: service time without outliers, and flows in use
 * @watched_us: when the capacity was last watched
 * @was_hanging: capacity.hanging at the last sweep
 * @told_service_us: service time that all balancers were last notified of
 * @told_us: when
 * @slow_start: rate limit while the endpoint is cold
 * @slow_start_due_us: when the rate limit allows the next queued request;
 * UINT64_MAX if none waits for that
 * @outcome: rate of requests that the endpoint resets
 * @sweep_us: when timeouts of requests and flows are checked next
 * @heard: newest configuration version that a balancer reported, and the
 * balancer
 * @balancers: balancers that are notified of changes
 * @balancer_count: number of them
 * @unanswered_us: time of the first packet since the endpoint's last sign of
 * life that it must answer, 0 for none
 * @quiet_since_us: the endpoint's last sign of life; later if this agent
 *     started or resumed since
 * @probed_us: when the endpoint's process was last probed, 0 for never
 * @evicted_flows: flows were evicted from the full table, so it doesn't list
 * all flows of the endpoint
 * @closed: the agent drains for a planned stop
 * @unlisted: the store has no entry for this agent, so it must register again
 * @served: service addresses seen in flows from before this agent's start
 * @announce_targets: hosts to announce this agent to, until a balancer is
 * heard
 * @announce_target_count: number of them
 * @announce_us: when to announce next
 */
struct admission {
    struct admission_out *out;
    struct addr self;
    uint32_t data_centre;
    struct store_state store;
    struct endpoint endpoint;
    unsigned incarnation;
    struct flow_index table;
    struct admission_flow *flows;
    struct admission_syn_timer syn_timers[ADMISSION_SYN_TIMERS_MAX];
    uint32_t syn_timer_first;
    uint32_t syn_timer_count;
    uint32_t *busy;
    unsigned busy_count;
    uint32_t queue[ADMISSION_QUEUE_MAX];
    unsigned queue_count;
    struct packet_pool packet_pool;
    bool scheduling;
    bool engaged;
    struct scheduler scheduler;
    struct reject_rate reject_rate;
    struct latency latency;
    struct capacity capacity;
    uint64_t watched_us;
    bool was_hanging;
    uint64_t told_service_us;
    uint64_t told_us;
    struct slow_start slow_start;
    uint64_t slow_start_due_us;
    struct outcome outcome;
    uint64_t sweep_us;
    struct frame_config_version heard;
    struct admission_balancer balancers[ADMISSION_BALANCERS_MAX];
    unsigned balancer_count;
    uint64_t unanswered_us;
    uint64_t quiet_since_us;
    uint64_t probed_us;
    bool evicted_flows;
    bool closed;
    bool unlisted;
    struct frame_served served;
    struct addr announce_targets[ADMISSION_ANNOUNCE_TARGETS_MAX];
    unsigned announce_target_count;
    uint64_t announce_us;
};

/**
 * admission_init() - set up the state for an endpoint of @service
 * @self: address that other agents send to
 * @data_centre: name of this agent's data centre
 *
 * Return: 0 or -ENOMEM.
 */
int
admission_init(struct admission *admission, struct admission_out *out,
               struct addr self, const char *data_centre, const char *service,
               uint64_t now_us);

/** admission_add_announce_target() - announce this agent to @balancer
 * regularly until a balancer is heard; ignored when
 * ADMISSION_ANNOUNCE_TARGETS_MAX are set */
void
admission_add_announce_target(struct admission *admission,
                              struct addr balancer);

/** admission_finish() - free the memory */
void
admission_finish(struct admission *admission);

/** admission_handle_forward() - handle a caller's packet from a balancer or
 * another agent */
void
admission_handle_forward(struct admission *admission,
                         const struct frame_forward *frame,
                         const struct relay_packet *packet, uint64_t now_us);

/**
 * admission_handle_evacuations() - handle a list of evacuated data centres
 * from another host
 *
 * In an evacuated data centre the endpoint gets no new flow, even from a
 * balancer with an older list. Open flows continue.
 *
 * Return: whether the evacuation of this agent's data centre began or ended.
 */
bool
admission_handle_evacuations(struct admission *admission,
                             const struct evacuations *evacuations,
                             uint64_t now_us);

/** admission_is_evacuated() - whether this agent's data centre is evacuated */
bool
admission_is_evacuated(const struct admission *admission);

/** admission_handle_ping() - answer a balancer's ping with the endpoint's
 * state; the ping also reports whether the store lists this agent */
void
admission_handle_ping(struct admission *admission, struct addr balancer,
                      const struct frame_ping *ping, uint64_t now_us);

/** admission_handle_query() - answer a balancer's query which orphaned flows
 * the endpoint doesn't hold */
void
admission_handle_query(struct admission *admission, struct addr balancer,
                       const struct frame_query *query, uint64_t now_us);

/** admission_handle_endpoint_packet() - handle a packet from the endpoint, or
 * a caller's packet that bounced there */
void
admission_handle_endpoint_packet(struct admission *admission,
                                 const struct relay_packet *packet,
                                 uint64_t now_us);

/**
 * admission_handle_heartbeat() - handle the endpoint's heartbeat
 *
 * Return: whether to acknowledge it; false if it is of an earlier incarnation.
 */
bool
admission_handle_heartbeat(struct admission *admission,
                           const struct heartbeat *heartbeat, uint64_t now_us);

/** admission_endpoint_left() - handle the endpoint's goodbye; @id and
 * @started_ms as for endpoint_left() */
void
admission_endpoint_left(struct admission *admission, const char *id,
                        uint64_t started_ms, uint64_t now_us);

/**
 * admission_probe_refused() - a probe found no listener at the endpoint's
 * address
 *
 * That doesn't show that the process has ended: an endpoint may close its
 * listener while it drains, or open it after its start. It has if its
 * heartbeats are overdue too. The caller handles all packets and heartbeats
 * first that have arrived.
 *
 * Return: whether the endpoint's process has ended.
 */
bool
admission_probe_refused(struct admission *admission, uint64_t now_us);

/** admission_set_scheduling() - schedule the requests on open flows, or stop
 * it: held ones go to the endpoint before later packets of their flows */
void
admission_set_scheduling(struct admission *admission, bool scheduling,
                         uint64_t now_us);

/** admission_drain() - begin a planned stop: notify balancers and take no new
 * flows, but serve the open ones */
void
admission_drain(struct admission *admission, uint64_t now_us);

/** admission_tick() - handle timeouts; call it at admission_next_us() or later
 */
void
admission_tick(struct admission *admission, uint64_t now_us);

/** admission_next_us() - when admission_tick() is due */
uint64_t
admission_next_us(const struct admission *admission);

/**
 * admission_next_open_flow() - the next open flow of the endpoint's current
 * incarnation, for a record
 * @at: position, 0 at first
 * @seq: a sequence number near the caller's last acknowledgement
 *
 * Flows that were opened after the endpoint's last heartbeat, or shortly
 * before it, are left out, as they may be of a later incarnation.
 *
 * Return: false after the last one.
 */
bool
admission_next_open_flow(const struct admission *admission, uint32_t *at,
                         struct relay_flow *flow, uint32_t *seq);

/**
 * admission_reset_ended() - reset a flow that an ended incarnation of the
 * endpoint held before this agent's start
 *
 * Return: false if a packet of the flow has come since; it isn't reset then.
 */
bool
admission_reset_ended(struct admission *admission, struct relay_flow flow,
                      uint32_t seq);

/**
 * struct admission_explanation - the state of one flow, for operators
 * @state: its state's name
 * @confirmed: the caller acknowledged this endpoint's SYN+ACK
 * @proven: the endpoint has sent packets of it since
 * @in_progress: its request is in progress
 * @held: the scheduler holds its request; the next four fields are about it
 * @priority: its priority
 * @before: held requests that go before it, apart from turns of lower
 *     priorities
 * @wait_us: how long it has been held
 * @left_us: time left until its response target
 * @origin: balancer that its packets last came through
 * @target: agent that it was redirected to; address 0 for none
 */
struct admission_explanation {
    const char *state;
    bool confirmed;
    bool proven;
    bool in_progress;
    bool held;
    uint8_t priority;
    unsigned before;
    uint64_t wait_us;
    uint64_t left_us;
    struct addr origin;
    struct addr target;
};

/** admission_explain() - fill @explanation with the state of a flow; false if
 * it is unknown */
bool
admission_explain(const struct admission *admission, struct relay_flow flow,
                  uint64_t now_us, struct admission_explanation *explanation);

#endif
