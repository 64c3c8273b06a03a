/**
 * DOC: door - what an agent does at its endpoint's door (decisions only)
 *
 * Every packet to an endpoint passes its agent, so what the agent alone can
 * tell needs no agreement: requests in progress, an answer that doesn't
 * come, an endpoint that leaves or has gone, how much a cold one was given.
 * A SYN that can't be taken well here goes on to the next agent that its
 * balancer named; where all are full, the least busy opens the flow, and its
 * request waits there until a slot is free. A packet of a flow
 * that the endpoint doesn't hold goes the same way.
 */
#ifndef SWIFTARCH_RELAY_DOOR_DOOR_H
#define SWIFTARCH_RELAY_DOOR_DOOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "relay/door/endpoint.h"
#include "relay/door/kept.h"
#include "relay/wire/flow_index.h"
#include "relay/wire/frame.h"
#include "relay/door/outcome.h"
#include "relay/door/pace.h"
#include "relay/door/warming.h"
#include "relay/wire/packet.h"
#include "relay/wire/store_state.h"

/* Flows that one agent remembers: an endpoint holds some 2,000, the rest is
 * for those that went on. */
#define DOOR_FLOWS_MAX (1u << 14)

/** enum door_drop - why a packet ended here */
enum door_drop {
    DOOR_DROP_MALFORMED, /* no packet or frame, or one nobody may send */
    DOOR_DROP_NOBODY,    /* no agent is left that might take it */
    DOOR_DROP_LATE,      /* an answer to a SYN that has gone on since */
    DOOR_DROP_EXPIRED,   /* its caller gave up while it waited for a slot */
    DOOR_DROP_COUNT,
};

/** enum door_did - what became of a SYN, or of a flow's packet */
enum door_did {
    DOOR_DID_PLACE,  /* the endpoint holds the flow */
    DOOR_DID_PASS,   /* another agent has it now */
    DOOR_DID_LET_GO, /* nobody was left that might take it */
    DOOR_DID_HOLD,   /* it waits for a free slot */
    DOOR_DID_ADMIT,  /* it has waited, and the endpoint was given it */
    DOOR_DID_EXPIRE, /* its caller gave up while it waited */
    DOOR_DID_RESET,  /* its endpoint is no more, and the caller is told */
};

struct door_out;

/** struct door_out_ops - what a decision leads to */
struct door_out_ops {
    /** @to_endpoint: hand a packet to the endpoint */
    void (*to_endpoint)(struct door_out *out, const uint8_t *bytes,
                        size_t size);
    /** @to_caller: send the endpoint's packet to its caller */
    void (*to_caller)(struct door_out *out, struct addr caller,
                      const uint8_t *bytes, size_t size);
    /** @reset: tell a caller that its flow is over; @seq: what it last
     * acknowledged */
    void (*reset)(struct door_out *out, struct relay_flow flow, uint32_t seq);
    /** @carry: send a packet on to another agent */
    void (*carry)(struct door_out *out, struct addr agent,
                  const struct frame_carry *frame);
    /** @tell: send a balancer a word */
    void (*tell)(struct door_out *out, struct addr balancer,
                 const struct frame_status *status);
    /** @serves: tell a balancer without configuration what is served */
    void (*serves)(struct door_out *out, struct addr balancer,
                   const struct frame_served *served);
    /** @absent: answer a balancer that asks for flows */
    void (*absent)(struct door_out *out, struct addr balancer,
                   const struct frame_absent *absent);
    /** @probe: ask the host whether the endpoint's process is there; when it
     * isn't, door_down() tells */
    void (*probe)(struct door_out *out);
    /** @dropped: a packet was dropped */
    void (*dropped)(struct door_out *out, enum door_drop why);
    /** @decided: what became of a SYN or of a flow */
    void (*decided)(struct door_out *out, enum door_did did,
                    struct relay_flow flow, enum frame_reason why,
                    const struct frame_carry *frame);
};

/** struct door_out - where outputs go; the vtable comes first */
struct door_out {
    const struct door_out_ops *ops;
};

struct door_flow;

/** struct door_wait - look at a flow when the endpoint should have answered */
struct door_wait {
    uint64_t due_us;
    uint32_t handle;
    uint64_t tried_us;
};

#define DOOR_WAITS_MAX 1024u
#define DOOR_BALANCERS_MAX 64
#define DOOR_GREETERS_MAX 8

/* SYNs and requests that wait at an agent: what an endpoint of two slots works
 * off in 2 s, at 33 ms each. */
#define DOOR_QUEUE_MAX 128

/** struct door_balancer - a balancer that was heard from, and how it kept up
 * with the store then */
struct door_balancer {
    struct addr addr;
    uint64_t heard_us;
    struct frame_store_view view;
};

/**
 * struct door - state of an agent
 * @out: where outputs go
 * @self: address that other agents send to
 * @data_centre: evacuations_key() of where it stands
 * @store: what is known of the store, and which data centres are evacuated
 * @endpoint: what is known of the endpoint
 * @start: counts the starts of the endpoint that were seen
 * @table: keys of the flows
 * @flows: one for each handle
 * @waits: SYNs that the endpoint hasn't answered, in order
 * @wait_first: first of them
 * @wait_count: how many
 * @busy: flows with a request in progress, as handles
 * @busy_count: how many
 * @queue: SYNs and requests that wait for a free slot, as handles, in the
 * order they came
 * @queue_count: how many
 * @kept: packets of requests that wait
 * @pace: how fast the endpoint and its callers are
 * @warming: how much the endpoint may be given while it is cold
 * @warmer_us: when it may be given more, if something waits for that;
 *             UINT64_MAX if nothing does
 * @outcome: how much of what it is asked the endpoint resets
 * @sweep_us: when to look for requests that are in progress for too long
 * @heard: newest configuration that any balancer spoke of
 * @balancers: balancers heard from, to tell them of a change
 * @balancer_count: how many
 * @unanswered_us: first packet since the endpoint's last sign of life that it
 *                 owes an answer to, 0 for none
 * @probed_us: when the host was last asked whether the endpoint is there
 * @lossy: flows were forgotten for want of room: the table isn't all that the
 *         endpoint holds
 * @closed: a planned stop has begun
 * @unlisted: the store doesn't name this agent any more: to be written anew
 * @served: addresses seen in flows from before the start
 * @greeters: hosts to tell that this agent is here, until one speaks
 * @greeter_count: how many
 * @greet_us: when to tell them next
 */
struct door {
    struct door_out *out;
    struct addr self;
    uint32_t data_centre;
    struct store_state store;
    struct endpoint endpoint;
    unsigned start;
    struct flow_index table;
    struct door_flow *flows;
    struct door_wait waits[DOOR_WAITS_MAX];
    uint32_t wait_first;
    uint32_t wait_count;
    uint32_t *busy;
    unsigned busy_count;
    uint32_t queue[DOOR_QUEUE_MAX];
    unsigned queue_count;
    struct kept kept;
    struct pace pace;
    struct warming warming;
    uint64_t warmer_us;
    struct outcome outcome;
    uint64_t sweep_us;
    struct frame_version heard;
    struct door_balancer balancers[DOOR_BALANCERS_MAX];
    unsigned balancer_count;
    uint64_t unanswered_us;
    uint64_t probed_us;
    bool lossy;
    bool closed;
    bool unlisted;
    struct frame_served served;
    struct addr greeters[DOOR_GREETERS_MAX];
    unsigned greeter_count;
    uint64_t greet_us;
};

/**
 * door_init() - an endpoint of @service of which nothing is known
 * @self: address that other agents send to
 * @data_centre: where it stands
 *
 * Return: 0 or -ENOMEM.
 */
int
door_init(struct door *door, struct door_out *out, struct addr self,
          const char *data_centre, const char *service, uint64_t now_us);

/** door_greet() - a balancer may be at @balancer: it is told that this agent
 * is here, until some balancer speaks */
void
door_greet(struct door *door, struct addr balancer);

/** door_finish() - free the memory */
void
door_finish(struct door *door);

/** door_carry() - a frame with a packet came */
void
door_carry(struct door *door, const struct frame_carry *frame,
           const struct relay_packet *packet, uint64_t now_us);

/**
 * door_evacuations() - another host told which data centres are evacuated
 *
 * In an evacuated data centre the endpoint gets no new flow, whatever a
 * balancer believes; flows that are open go on.
 *
 * Return: whether this agent's data centre has been evacuated by that, or is
 * back in service.
 */
bool
door_evacuations(struct door *door, const struct evacuations *told,
                 uint64_t now_us);

/** door_is_evacuated() - whether this agent's data centre is */
bool
door_is_evacuated(const struct door *door);

/** door_ping() - a balancer asks; @unlisted: and says that the store doesn't
 * name this agent any more */
void
door_ping(struct door *door, struct addr balancer,
          const struct frame_ping *ping, uint64_t now_us);

/** door_asked() - a balancer asks which flows the endpoint holds */
void
door_asked(struct door *door, struct addr balancer,
           const struct frame_ask *ask, uint64_t now_us);

/** door_from_endpoint() - the endpoint sent a packet */
void
door_from_endpoint(struct door *door, const struct relay_packet *packet,
                   uint64_t now_us);

/** door_heartbeat() - the endpoint's heartbeat came; whether it is believed,
 * and so acknowledged */
bool
door_heartbeat(struct door *door, const struct heartbeat *heartbeat,
               uint64_t now_us);

/** door_left() - the endpoint said that it ends; @id and @born_ms as for
 * endpoint_left() */
void
door_left(struct door *door, const char *id, uint64_t born_ms,
          uint64_t now_us);

/** door_down() - the host says that the endpoint's process isn't there */
void
door_down(struct door *door, uint64_t now_us);

/** door_close() - a planned stop: no new flow from now on, and balancers are
 * told so; flows that are here go on */
void
door_close(struct door *door, uint64_t now_us);

/** door_tick() - do what is due; call it at door_next_us() or later */
void
door_tick(struct door *door, uint64_t now_us);

/** door_next_us() - when door_tick() is due next; UINT64_MAX for never */
uint64_t
door_next_us(const struct door *door);

/**
 * struct door_explanation - what is known of one flow
 * @state: where it is, as a word
 * @confirmed: its caller acknowledged this endpoint's answer
 * @proven: the endpoint has sent packets of it since
 * @in_progress: its request counts as being worked on
 * @origin: balancer that its packets came through last
 * @target: agent that it was sent on to; address 0 for none
 */
struct door_explanation {
    const char *state;
    bool confirmed;
    bool proven;
    bool in_progress;
    struct addr origin;
    struct addr target;
};

/** door_explain() - tell what is known of a flow; false for nothing */
bool
door_explain(const struct door *door, struct relay_flow flow,
             struct door_explanation *told);

#endif
