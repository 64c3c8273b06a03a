/**
 * DOC: admission - what an agent does at its endpoint's admission (decisions
 * only)
 *
 * Every packet to an endpoint passes its agent, so what the agent alone can
 * notify needs no agreement: requests in progress, an answer that doesn't
 * come, an endpoint that leaves or has gone, how much a cold one was given.
 * A SYN that can't be taken well here goes on to the next agent that its
 * balancer named; where all are full, the least busy opens the flow, and its
 * request syn_timers there until a slot is free. A packet of a flow
 * that the endpoint doesn't hold goes the same way.
 */
#ifndef SWIFTARCH_RELAY_ADMISSION_ADMISSION_H
#define SWIFTARCH_RELAY_ADMISSION_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "relay/admission/endpoint.h"
#include "relay/admission/packet_pool.h"
#include "relay/wire/flow_index.h"
#include "relay/wire/frame.h"
#include "relay/admission/outcome.h"
#include "relay/admission/latency.h"
#include "relay/admission/slow_start.h"
#include "relay/wire/packet.h"
#include "relay/wire/store_state.h"

/* Flows that one agent remembers: an endpoint holds some 2,000, the rest is
 * for those that went on. */
#define ADMISSION_FLOWS_MAX (1u << 14)

/** enum admission_drop - why a packet ended here */
enum admission_drop {
    ADMISSION_DROP_MALFORMED, /* no packet or frame, or one nobody may send */
    ADMISSION_DROP_NO_AGENT,  /* no agent is left that might take it */
    ADMISSION_DROP_STALE,     /* an answer to a SYN that has gone on since */
    ADMISSION_DROP_EXPIRED, /* its caller gave up while it waited for a slot */
    ADMISSION_DROP_COUNT,
};

/** enum admission_decision - what became of a SYN, or of a flow's packet */
enum admission_decision {
    ADMISSION_DECISION_ESTABLISH, /* the endpoint holds the flow */
    ADMISSION_DECISION_REDIRECT,  /* another agent has it now */
    ADMISSION_DECISION_ABANDON,   /* nobody was left that might take it */
    ADMISSION_DECISION_QUEUE,     /* it syn_timers for a free slot */
    ADMISSION_DECISION_ADMIT,  /* it has waited, and the endpoint was given it
                                */
    ADMISSION_DECISION_EXPIRE, /* its caller gave up while it waited */
    ADMISSION_DECISION_RESET,  /* its endpoint is no more, and the caller is
                                  told */
};

struct admission_out;

/** struct admission_out_ops - what a decision leads to */
struct admission_out_ops {
    /** @to_endpoint: hand a packet to the endpoint */
    void (*to_endpoint)(struct admission_out *out, const uint8_t *bytes,
                        size_t size);
    /** @to_caller: send the endpoint's packet to its caller */
    void (*to_caller)(struct admission_out *out, struct addr caller,
                      const uint8_t *bytes, size_t size);
    /** @reset: notify a caller that its flow is over; @seq: what it last
     * acknowledged */
    void (*reset)(struct admission_out *out, struct relay_flow flow,
                  uint32_t seq);
    /** @forward: send a packet on to another agent */
    void (*forward)(struct admission_out *out, struct addr agent,
                    const struct frame_forward *frame);
    /** @notify: send a balancer a word */
    void (*notify)(struct admission_out *out, struct addr balancer,
                   const struct frame_status *status);
    /** @served: notify a balancer without configuration what is served */
    void (*served)(struct admission_out *out, struct addr balancer,
                   const struct frame_served *served);
    /** @query_reply: answer a balancer that asks for flows */
    void (*query_reply)(struct admission_out *out, struct addr balancer,
                        const struct frame_query_reply *query_reply);
    /** @probe: ask the host whether the endpoint's process is there; when it
     * isn't, admission_endpoint_down() tells */
    void (*probe)(struct admission_out *out);
    /** @dropped: a packet was dropped */
    void (*dropped)(struct admission_out *out, enum admission_drop why);
    /** @decided: what became of a SYN or of a flow */
    void (*decided)(struct admission_out *out,
                    enum admission_decision decision, struct relay_flow flow,
                    enum frame_reason why, const struct frame_forward *frame);
};

/** struct admission_out - where outputs go; the vtable comes first */
struct admission_out {
    const struct admission_out_ops *ops;
};

struct admission_flow;

/** struct admission_syn_timer - look at a flow when the endpoint should have
 * answered */
struct admission_syn_timer {
    uint64_t due_us;
    uint32_t handle;
    uint64_t tried_us;
};

#define ADMISSION_SYN_TIMERS_MAX 1024u
#define ADMISSION_BALANCERS_MAX 64
#define ADMISSION_ANNOUNCE_TARGETS_MAX 8

/* SYNs and requests that wait at an agent: what an endpoint of two slots works
 * off in 2 s, at 33 ms each. */
#define ADMISSION_QUEUE_MAX 128

/** struct admission_balancer - a balancer that was heard from, and how it
 * packet_pool up with the store then */
struct admission_balancer {
    struct addr addr;
    uint64_t heard_us;
    struct frame_store_view view;
};

/**
 * struct admission - state of an agent
 * @out: where outputs go
 * @self: address that other agents send to
 * @data_centre: evacuations_key() of where it stands
 * @store: what is known of the store, and which data centres are evacuated
 * @endpoint: what is known of the endpoint
 * @incarnation: counts the starts of the endpoint that were seen
 * @table: keys of the flows
 * @flows: one for each handle
 * @syn_timers: SYNs that the endpoint hasn't answered, in order
 * @syn_timer_first: first of them
 * @syn_timer_count: how many
 * @busy: flows with a request in progress, as handles
 * @busy_count: how many
 * @queue: SYNs and requests that wait for a free slot, as handles, in the
 * order they came
 * @queue_count: how many
 * @packet_pool: packets of requests that wait
 * @latency: how fast the endpoint and its callers are
 * @slow_start: how much the endpoint may be given while it is cold
 * @slow_start_due_us: when it may be given more, if something syn_timers for
 * that; UINT64_MAX if nothing does
 * @outcome: how much of what it is asked the endpoint resets
 * @sweep_us: when to look for requests that are in progress for too long
 * @heard: newest configuration that any balancer spoke of
 * @balancers: balancers heard from, to notify them of a change
 * @balancer_count: how many
 * @unanswered_us: first packet since the endpoint's last sign of life that it
 *                 owes an answer to, 0 for none
 * @probed_us: when the host was last asked whether the endpoint is there
 * @evicted_flows: flows were forgotten for want of room: the table isn't all
 * that the endpoint holds
 * @closed: a planned stop has begun
 * @unlisted: the store doesn't name this agent any more: to be written anew
 * @served: addresses seen in flows from before the incarnation
 * @announce_targets: hosts to notify that this agent is here, until one speaks
 * @announce_target_count: how many
 * @announce_us: when to notify them next
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
    struct latency latency;
    struct slow_start slow_start;
    uint64_t slow_start_due_us;
    struct outcome outcome;
    uint64_t sweep_us;
    struct frame_config_version heard;
    struct admission_balancer balancers[ADMISSION_BALANCERS_MAX];
    unsigned balancer_count;
    uint64_t unanswered_us;
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
 * admission_init() - an endpoint of @service of which nothing is known
 * @self: address that other agents send to
 * @data_centre: where it stands
 *
 * Return: 0 or -ENOMEM.
 */
int
admission_init(struct admission *admission, struct admission_out *out,
               struct addr self, const char *data_centre, const char *service,
               uint64_t now_us);

/** admission_add_announce_target() - a balancer may be at @balancer: it is
 * told that this agent is here, until some balancer speaks */
void
admission_add_announce_target(struct admission *admission,
                              struct addr balancer);

/** admission_finish() - free the memory */
void
admission_finish(struct admission *admission);

/** admission_handle_forward() - a frame with a packet came */
void
admission_handle_forward(struct admission *admission,
                         const struct frame_forward *frame,
                         const struct relay_packet *packet, uint64_t now_us);

/**
 * admission_handle_evacuations() - another host told which data centres are
 * evacuated
 *
 * In an evacuated data centre the endpoint gets no new flow, whatever a
 * balancer believes; flows that are open go on.
 *
 * Return: whether this agent's data centre has been evacuated by that, or is
 * back in service.
 */
bool
admission_handle_evacuations(struct admission *admission,
                             const struct evacuations *told, uint64_t now_us);

/** admission_is_evacuated() - whether this agent's data centre is */
bool
admission_is_evacuated(const struct admission *admission);

/** admission_handle_ping() - a balancer asks; @unlisted: and says that the
 * store doesn't name this agent any more */
void
admission_handle_ping(struct admission *admission, struct addr balancer,
                      const struct frame_ping *ping, uint64_t now_us);

/** admission_handle_query() - a balancer asks which flows the endpoint holds
 */
void
admission_handle_query(struct admission *admission, struct addr balancer,
                       const struct frame_query *ask, uint64_t now_us);

/** admission_handle_endpoint_packet() - the endpoint sent a packet */
void
admission_handle_endpoint_packet(struct admission *admission,
                                 const struct relay_packet *packet,
                                 uint64_t now_us);

/** admission_handle_heartbeat() - the endpoint's heartbeat came; whether it is
 * believed, and so acknowledged */
bool
admission_handle_heartbeat(struct admission *admission,
                           const struct heartbeat *heartbeat, uint64_t now_us);

/** admission_endpoint_left() - the endpoint said that it ends; @id and
 * @started_ms as for endpoint_left() */
void
admission_endpoint_left(struct admission *admission, const char *id,
                        uint64_t started_ms, uint64_t now_us);

/** admission_endpoint_down() - the host says that the endpoint's process isn't
 * there */
void
admission_endpoint_down(struct admission *admission, uint64_t now_us);

/** admission_drain() - a planned stop: no new flow from now on, and balancers
 * are told so; flows that are here go on */
void
admission_drain(struct admission *admission, uint64_t now_us);

/** admission_tick() - do what is due; call it at admission_next_us() or later
 */
void
admission_tick(struct admission *admission, uint64_t now_us);

/** admission_next_us() - when admission_tick() is due next; UINT64_MAX for
 * never */
uint64_t
admission_next_us(const struct admission *admission);

/**
 * struct admission_explanation - what is known of one flow
 * @state: where it is, as a word
 * @confirmed: its caller acknowledged this endpoint's answer
 * @proven: the endpoint has sent packets of it since
 * @in_progress: its request counts as being worked on
 * @origin: balancer that its packets came through last
 * @target: agent that it was sent on to; address 0 for none
 */
struct admission_explanation {
    const char *state;
    bool confirmed;
    bool proven;
    bool in_progress;
    struct addr origin;
    struct addr target;
};

/** admission_explain() - notify what is known of a flow; false for nothing */
bool
admission_explain(const struct admission *admission, struct relay_flow flow,
                  struct admission_explanation *told);

#endif
