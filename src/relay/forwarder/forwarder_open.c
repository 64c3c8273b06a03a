#include "relay/forwarder/forwarder_private.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

/* Minimum timeout for an agent's reply to a SYN: up to 2 ms of network delay,
 * 1 ms at the endpoint, and scheduling delay on a busy host. */
#define ANSWER_TIMEOUT_US (15 * USEC_PER_MSEC)

/* Timeout for more distant agents, as a multiple of the average round trip,
 * and its upper bound. */
#define ANSWER_RTTS 2
#define ANSWER_MAX_US (60 * USEC_PER_MSEC)

/* Divisors of the moving average for round trips above and below it: it
 * follows the slower agents. */
#define RTT_UP_WEIGHT 4
#define RTT_DOWN_WEIGHT 64

static uint64_t
answer_timeout(const struct forwarder *forwarder)
{
    uint64_t timeout_us = ANSWER_RTTS * forwarder->rtt_us;

    return CLAMP(timeout_us, ANSWER_TIMEOUT_US, ANSWER_MAX_US);
}

void
forwarder_update_rtt(struct forwarder *forwarder,
                     const struct forwarder_pin *pin, struct addr agent,
                     uint64_t now_us)
{
    uint64_t rtt_us = now_us - pin->tried_us;

    if (pin->acceptor_count > 0 || pin->queued || pin->try_count == 0 ||
        !addr_equal(pin->tried[pin->try_count - 1], agent)) {
        return;
    }
    agents_add_rtt(&forwarder->agents, agent, rtt_us);
    if (rtt_us > forwarder->rtt_us) {
        forwarder->rtt_us += (rtt_us - forwarder->rtt_us) / RTT_UP_WEIGHT;
    }
    else {
        forwarder->rtt_us -= (forwarder->rtt_us - rtt_us) / RTT_DOWN_WEIGHT;
    }
}

static void
syn_timer_push(struct forwarder *forwarder, uint32_t handle, uint64_t now_us)
{
    struct forwarder_syn_timer *syn_timer;

    if (forwarder->syn_timer_count == FORWARDER_SYN_TIMERS_MAX) {
        /* The caller's retransmission replaces the next try. */
        return;
    }
    syn_timer = &forwarder->syn_timers[(forwarder->syn_timer_first +
                                        forwarder->syn_timer_count) %
                                       FORWARDER_SYN_TIMERS_MAX];
    *syn_timer = (struct forwarder_syn_timer){
        now_us + answer_timeout(forwarder), handle, now_us};
    forwarder->syn_timer_count++;
}

static bool
was_tried(const struct forwarder_pin *pin, struct addr agent)
{
    for (unsigned i = 0; i < pin->try_count; i++) {
        if (addr_equal(pin->tried[i], agent)) {
            return true;
        }
    }
    return false;
}

/* Removes agents from @choice that have received the SYN. */
static void
skip_tried(const struct forwarder_pin *pin, struct agents_choice *choice)
{
    unsigned kept = 0;

    for (unsigned i = 0; i < choice->count; i++) {
        if (!was_tried(pin, choice->addrs[i])) {
            choice->addrs[kept++] = choice->addrs[i];
        }
    }
    choice->count = kept;
}

/* Requests per second that a cold endpoint may get, 0 for no limit. */
static uint16_t
slow_start_limit(const struct forwarder *forwarder, struct addr address,
                 uint32_t service)
{
    const struct route *route =
        routes_find(forwarder_routes_in_force(forwarder), address);
    const struct route_share *share =
        route != NULL ? route_share_of(route, service) : NULL;
    double limit;

    if (share == NULL || share->slow_start_per_s <= 0) {
        return 0;
    }
    limit = share->slow_start_per_s * forwarder->slow_start.over +
            forwarder->slow_start.slack;
    return (uint16_t)CLAMP(limit, 1, UINT16_MAX);
}

/* Builds a frame for a SYN; agents of @choice from index @from on are its
 * further stops. */
static struct frame_forward
syn_frame(const struct forwarder *forwarder, uint32_t handle,
          const struct agents_choice *choice, unsigned from,
          const uint8_t *bytes, size_t size)
{
    const struct forwarder_pin *pin = &forwarder->pins[handle];
    struct frame_forward frame =
        forwarder_frame(forwarder, pin->service, choice, from, bytes, size);

    frame.target_ms = pin->target_ms;
    frame.priority = pin->priority;
    frame.caller_timeout_ms = pin->caller_timeout_ms;
    frame.request_timeout_ms = pin->request_timeout_ms;
    frame.slow_start_limit = slow_start_limit(
        forwarder, flow_index_flow(&forwarder->flows, handle).service,
        pin->service);
    return frame;
}

bool
forwarder_try_next(struct forwarder *forwarder, uint32_t handle,
                   const uint8_t *bytes, size_t size, uint64_t now_us)
{
    struct forwarder_pin *pin = &forwarder->pins[handle];
    struct relay_flow flow = flow_index_flow(&forwarder->flows, handle);
    const struct route *route =
        routes_find(forwarder_routes_in_force(forwarder), flow.service);
    struct agents_choice choice;
    struct frame_forward frame;

    /* The route may have been removed or moved to another service since the
     * SYN arrived. */
    if (pin->try_count == FORWARDER_TRIES_MAX || route == NULL ||
        route_share_of(route, pin->service) == NULL) {
        return false;
    }
    agents_for_new(&forwarder->agents, pin->service, &route->region_affinity,
                   relay_flow_hash(flow), now_us, &choice);
    skip_tried(pin, &choice);
    if (choice.count == 0) {
        return false;
    }
    frame = syn_frame(forwarder, handle, &choice, 1, bytes, size);
    pin->tried[pin->try_count++] = choice.addrs[0];
    pin->holder = choice.addrs[0];
    pin->tried_us = now_us;
    agents_sent(&forwarder->agents, choice.addrs[0], now_us);
    syn_timer_push(forwarder, handle, now_us);
    forwarder->out->ops->forward(forwarder->out, choice.addrs[0], &frame);
    forwarder->out->ops->decided(forwarder->out, FORWARDER_DECISION_SEND, flow,
                                 choice.addrs[0], pin->try_count,
                                 now_us - pin->since_us);
    return true;
}

static void
update_timeouts(struct forwarder_pin *pin, const struct relay_packet *packet,
                const struct route *route)
{
    unsigned target_ms = MIN(route->target_ms, UINT16_MAX);
    unsigned request_timeout_ms = MIN(route->timeout_ms, UINT16_MAX);

    pin->priority = (uint8_t)MIN(route->priority, UINT8_MAX);
    pin->target_ms =
        (uint16_t)(packet->age_ms < target_ms ? target_ms - packet->age_ms
                                              : 0);
    pin->caller_timeout_ms = packet->caller_timeout_ms;
    pin->request_timeout_ms =
        (uint16_t)(packet->age_ms < request_timeout_ms
                       ? request_timeout_ms - packet->age_ms
                       : 0);
}

/* Forwards another copy of a queued SYN to the agent that queued it, which
 * updates the caller timeout there and checks that the agent is alive. */
static void
resend_to_holder(struct forwarder *forwarder, uint32_t handle,
                 const struct relay_packet *packet, uint64_t now_us)
{
    struct forwarder_pin *pin = &forwarder->pins[handle];
    struct agents_choice none = {.count = 0};
    struct frame_forward frame =
        syn_frame(forwarder, handle, &none, 0, packet->bytes, packet->size);

    pin->queued = false;
    pin->tried_us = now_us;
    syn_timer_push(forwarder, handle, now_us);
    forwarder->out->ops->forward(forwarder->out, pin->holder, &frame);
}

/* Whether the gate refuses a new flow. Its caller is reset at once, but not at
 * a later copy of its SYN, nor at a first copy that was queued here: another
 * balancer may have forwarded another copy. */
static bool
gate_refuses(struct forwarder *forwarder, const struct relay_packet *packet,
             const struct route *route, uint64_t now_us)
{
    struct forwarder_gate *gate = forwarder->gate;
    struct relay_flow flow = relay_flow_from_caller(packet);

    if (gate == NULL ||
        gate->ops->allows(gate, flow, route, route_service(route, flow),
                          now_us)) {
        return false;
    }
    if (packet->age_ms == 0) {
        forwarder->out->ops->reset(forwarder->out, flow, packet->ack);
    }
    return true;
}

void
forwarder_open_flow(struct forwarder *forwarder,
                    const struct relay_packet *packet,
                    const struct route *route, uint64_t now_us)
{
    struct relay_flow flow = relay_flow_from_caller(packet);
    struct forwarder_pin *pin;
    uint32_t handle;

    if (gate_refuses(forwarder, packet, route, now_us) ||
        forwarder_overload_refuse(forwarder, packet, route, now_us)) {
        return;
    }
    handle = forwarder_remember(forwarder, flow, route_service(route, flow),
                                now_us);
    pin = &forwarder->pins[handle];
    update_timeouts(pin, packet, route);
    pin->copied = packet->age_ms > 0;
    pin->syn_seq = packet->seq;
    if (packet->size <= FORWARDER_SYN_MAX) {
        memcpy(pin->syn, packet->bytes, packet->size);
        pin->syn_size = (uint8_t)packet->size;
    }
    if (!forwarder_try_next(forwarder, handle, packet->bytes, packet->size,
                            now_us)) {
        bool evacuated = agents_all_evacuated(&forwarder->agents, pin->service,
                                              &route->region_affinity);

        forwarder_forget(forwarder, handle);
        if (evacuated) {
            /* It stays hopeless until operators end the evacuation. */
            forwarder_refuse(forwarder, FORWARDER_DROP_EVACUATED, packet);
        }
        else {
            forwarder_drop_packet(forwarder, FORWARDER_DROP_NO_AGENT, packet);
        }
    }
}

/* Forwards another copy of an accepted SYN to its acceptor: the SYN+ACK may
 * have been lost. */
static void
resend_to_acceptor(struct forwarder *forwarder, uint32_t handle,
                   const struct relay_packet *packet)
{
    struct agents_choice none = {.count = 0};
    struct frame_forward frame =
        syn_frame(forwarder, handle, &none, 0, packet->bytes, packet->size);

    forwarder->out->ops->forward(
        forwarder->out, forwarder->pins[handle].acceptors[0].agent, &frame);
}

/* Forwards another copy of a SYN whose route has moved to another service.
 * Both endpoints may accept it; the caller's acknowledgement shows which one
 * counts. */
static void
open_at_other_service(struct forwarder *forwarder, uint32_t handle,
                      const struct relay_packet *packet,
                      const struct route *route, uint64_t now_us)
{
    struct forwarder_pin *pin = &forwarder->pins[handle];

    pin->service =
        route_service(route, flow_index_flow(&forwarder->flows, handle));
    pin->queued = false;
    pin->try_count = 0;
    if (!forwarder_try_next(forwarder, handle, packet->bytes, packet->size,
                            now_us)) {
        forwarder_drop_packet(forwarder, FORWARDER_DROP_NO_AGENT, packet);
    }
}

void
forwarder_open_again(struct forwarder *forwarder, uint32_t handle,
                     const struct relay_packet *packet,
                     const struct route *route, uint64_t now_us)
{
    struct forwarder_pin *pin = &forwarder->pins[handle];

    update_timeouts(pin, packet, route);
    pin->copied = true;
    if (pin->opened && pin->acceptor_count == 0) {
        /* A delayed copy: the flow is established. */
        return;
    }
    if (route_share_of(route, pin->service) == NULL) {
        if (!pin->opened) {
            open_at_other_service(forwarder, handle, packet, route, now_us);
        }
        return;
    }
    if (pin->acceptor_count > 0) {
        resend_to_acceptor(forwarder, handle, packet);
        return;
    }
    if (pin->queued) {
        resend_to_holder(forwarder, handle, packet, now_us);
        return;
    }
    if (forwarder_try_next(forwarder, handle, packet->bytes, packet->size,
                           now_us)) {
        return;
    }
    /* All agents were tried; some may be available again. */
    pin->try_count = 0;
    if (!forwarder_try_next(forwarder, handle, packet->bytes, packet->size,
                            now_us)) {
        forwarder_drop_packet(forwarder, FORWARDER_DROP_NO_AGENT, packet);
    }
}

void
forwarder_queued(struct forwarder *forwarder, struct addr agent,
                 const struct frame_status *status)
{
    uint32_t handle = flow_index_find(&forwarder->flows, status->flow);

    if (handle != FLOW_INDEX_NONE) {
        forwarder->pins[handle].queued = true;
        forwarder->pins[handle].holder = agent;
    }
}

void
forwarder_syn_timeout(struct forwarder *forwarder,
                      const struct forwarder_syn_timer *syn_timer,
                      uint64_t now_us)
{
    struct forwarder_pin *pin = &forwarder->pins[syn_timer->handle];

    if (pin->tried_us != syn_timer->tried_us || pin->acceptor_count > 0 ||
        pin->queued || pin->opened || pin->try_count == 0) {
        return;
    }
    agents_mark_unanswered(&forwarder->agents, pin->holder, pin->tried_us,
                           now_us);
    if (pin->syn_size > 0) {
        forwarder_try_next(forwarder, syn_timer->handle, pin->syn,
                           pin->syn_size, now_us);
    }
}
