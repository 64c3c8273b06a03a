#include "relay/steer/steer_private.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

/* How long an agent may take to answer a SYN: 2 ms on the way at most
 * between data centres, under 1 ms at the endpoint, and the rest for a host
 * that has a twentieth of a core. */
#define ANSWER_TIMEOUT_US (15 * USEC_PER_MSEC)

/* Where agents are further away, so many times their usual trip; and at most
 * this long, when it is they that are slow. */
#define ANSWER_TRIPS 2
#define ANSWER_MOST_US (60 * USEC_PER_MSEC)

/* Weight of a trip that is longer than usual, and of one that is shorter: the
 * slower agents tell how long to wait. */
#define TRIP_UP_WEIGHT 4
#define TRIP_DOWN_WEIGHT 64

static uint64_t
answer_timeout(const struct steer *steer)
{
    uint64_t timeout_us = ANSWER_TRIPS * steer->trip_us;

    return CLAMP(timeout_us, ANSWER_TIMEOUT_US, ANSWER_MOST_US);
}

void
steer_note_trip(struct steer *steer, const struct steer_pin *pin,
                struct addr agent, uint64_t now_us)
{
    uint64_t trip_us = now_us - pin->tried_us;

    if (pin->place_count > 0 || pin->held || pin->try_count == 0 ||
        !addr_equal(pin->tried[pin->try_count - 1], agent)) {
        return;
    }
    if (trip_us > steer->trip_us) {
        steer->trip_us += (trip_us - steer->trip_us) / TRIP_UP_WEIGHT;
    }
    else {
        steer->trip_us -= (steer->trip_us - trip_us) / TRIP_DOWN_WEIGHT;
    }
}

static void
wait_push(struct steer *steer, uint32_t handle, uint64_t now_us)
{
    struct steer_wait *wait;

    if (steer->wait_count == STEER_WAITS_MAX) {
        /* The caller's own copy takes the place of the try. */
        return;
    }
    wait = &steer->waits[(steer->wait_first + steer->wait_count) %
                         STEER_WAITS_MAX];
    *wait =
        (struct steer_wait){now_us + answer_timeout(steer), handle, now_us};
    steer->wait_count++;
}

static bool
was_tried(const struct steer_pin *pin, struct addr agent)
{
    for (unsigned i = 0; i < pin->try_count; i++) {
        if (addr_equal(pin->tried[i], agent)) {
            return true;
        }
    }
    return false;
}

/* Drops from @choice whom the SYN was sent to. */
static void
skip_tried(const struct steer_pin *pin, struct agents_choice *choice)
{
    unsigned kept = 0;

    for (unsigned i = 0; i < choice->count; i++) {
        if (!was_tried(pin, choice->addrs[i])) {
            choice->addrs[kept++] = choice->addrs[i];
        }
    }
    choice->count = kept;
}

/* Requests that an endpoint may get in a second until it is warm, 0 for any
 * number. */
static uint16_t
warming_limit(const struct steer *steer, struct addr address, uint32_t service)
{
    const struct route *route =
        routes_find(steer_routes_in_force(steer), address);
    const struct route_share *share =
        route != NULL ? route_share_of(route, service) : NULL;
    double limit;

    if (share == NULL || share->warming_per_s <= 0) {
        return 0;
    }
    limit = share->warming_per_s * steer->warming.over + steer->warming.slack;
    return (uint16_t)CLAMP(limit, 1, UINT16_MAX);
}

/* A SYN's frame that may go on along @choice, from @from on. */
static struct frame_carry
syn_frame(const struct steer *steer, uint32_t handle,
          const struct agents_choice *choice, unsigned from,
          const uint8_t *bytes, size_t size)
{
    const struct steer_pin *pin = &steer->pins[handle];
    struct frame_carry frame =
        steer_frame(steer, pin->service, choice, from, bytes, size);

    frame.target_ms = pin->target_ms;
    frame.priority = pin->priority;
    frame.patience_ms = pin->patience_ms;
    frame.budget_ms = pin->budget_ms;
    frame.warming_limit = warming_limit(
        steer, flow_index_flow(&steer->flows, handle).service, pin->service);
    return frame;
}

/* Sends a SYN to the best agent that it was not sent to. */
bool
steer_try_next(struct steer *steer, uint32_t handle, const uint8_t *bytes,
               size_t size, uint64_t now_us)
{
    struct steer_pin *pin = &steer->pins[handle];
    struct relay_flow flow = flow_index_flow(&steer->flows, handle);
    const struct route *route =
        routes_find(steer_routes_in_force(steer), flow.service);
    struct agents_choice choice;
    struct frame_carry frame;

    /* The configuration may have dropped the route since the SYN came, or
     * given it to another service. */
    if (pin->try_count == STEER_TRIES_MAX || route == NULL ||
        route_share_of(route, pin->service) == NULL) {
        return false;
    }
    agents_for_new(&steer->agents, pin->service, &route->homes,
                   relay_flow_hash(flow), now_us, &choice);
    skip_tried(pin, &choice);
    if (choice.count == 0) {
        return false;
    }
    frame = syn_frame(steer, handle, &choice, 1, bytes, size);
    pin->tried[pin->try_count++] = choice.addrs[0];
    pin->holder = choice.addrs[0];
    pin->tried_us = now_us;
    agents_sent(&steer->agents, choice.addrs[0], now_us);
    wait_push(steer, handle, now_us);
    steer->out->ops->carry(steer->out, choice.addrs[0], &frame);
    steer->out->ops->decided(steer->out, STEER_DID_SEND, flow, choice.addrs[0],
                             pin->try_count, now_us - pin->since_us);
    return true;
}

static void
note_age(struct steer_pin *pin, const struct relay_packet *packet,
         const struct route *route)
{
    unsigned target_ms = MIN(route->target_ms, UINT16_MAX);
    unsigned budget_ms = MIN(route->timeout_ms, UINT16_MAX);

    pin->priority = (uint8_t)MIN(route->priority, UINT8_MAX);
    pin->target_ms =
        (uint16_t)(packet->age_ms < target_ms ? target_ms - packet->age_ms
                                              : 0);
    pin->patience_ms = packet->patience_ms;
    pin->budget_ms =
        (uint16_t)(packet->age_ms < budget_ms ? budget_ms - packet->age_ms
                                              : 0);
}

/* Another copy of a SYN that an agent holds goes there too: the agent learns
 * how long the caller still waits, and whether it lives shows. */
static void
hold_on(struct steer *steer, uint32_t handle,
        const struct relay_packet *packet, uint64_t now_us)
{
    struct steer_pin *pin = &steer->pins[handle];
    struct agents_choice none = {.count = 0};
    struct frame_carry frame =
        syn_frame(steer, handle, &none, 0, packet->bytes, packet->size);

    pin->held = false;
    pin->tried_us = now_us;
    wait_push(steer, handle, now_us);
    steer->out->ops->carry(steer->out, pin->holder, &frame);
}

void
steer_open_flow(struct steer *steer, const struct relay_packet *packet,
                const struct route *route, uint64_t now_us)
{
    struct relay_flow flow = relay_flow_from_caller(packet);
    uint32_t handle =
        steer_remember(steer, flow, route_service(route, flow), now_us);
    struct steer_pin *pin = &steer->pins[handle];

    note_age(pin, packet, route);
    pin->syn_seq = packet->seq;
    if (packet->size <= STEER_SYN_MAX) {
        memcpy(pin->syn, packet->bytes, packet->size);
        pin->syn_size = (uint8_t)packet->size;
    }
    if (!steer_try_next(steer, handle, packet->bytes, packet->size, now_us)) {
        bool evacuated =
            agents_all_evacuated(&steer->agents, pin->service, &route->homes);

        steer_forget(steer, handle);
        if (evacuated) {
            /* Operators want nothing sent there: it is hopeless until they
             * say otherwise. */
            steer_refuse(steer, STEER_DROP_EVACUATED, packet);
        }
        else {
            steer_drop_packet(steer, STEER_DROP_NO_AGENT, packet);
        }
    }
}

/* Another copy of a SYN that an endpoint has answered goes there: the answer
 * was lost. */
static void
place_again(struct steer *steer, uint32_t handle,
            const struct relay_packet *packet)
{
    struct agents_choice none = {.count = 0};
    struct frame_carry frame =
        syn_frame(steer, handle, &none, 0, packet->bytes, packet->size);

    steer->out->ops->carry(steer->out, steer->pins[handle].places[0].agent,
                           &frame);
}

/* Another copy of a SYN whose route has gone to another service since. What
 * the first came to may answer still: the caller says whose answer counts. */
static void
open_at_other_service(struct steer *steer, uint32_t handle,
                      const struct relay_packet *packet,
                      const struct route *route, uint64_t now_us)
{
    struct steer_pin *pin = &steer->pins[handle];

    pin->service =
        route_service(route, flow_index_flow(&steer->flows, handle));
    pin->held = false;
    pin->try_count = 0;
    if (!steer_try_next(steer, handle, packet->bytes, packet->size, now_us)) {
        steer_drop_packet(steer, STEER_DROP_NO_AGENT, packet);
    }
}

/* The caller sent its SYN again: an answer was lost, or none came. */
void
steer_open_again(struct steer *steer, uint32_t handle,
                 const struct relay_packet *packet, const struct route *route,
                 uint64_t now_us)
{
    struct steer_pin *pin = &steer->pins[handle];

    note_age(pin, packet, route);
    if (pin->opened && pin->place_count == 0) {
        /* A copy that was held up on its way: the flow is open. */
        return;
    }
    if (route_share_of(route, pin->service) == NULL) {
        if (!pin->opened) {
            open_at_other_service(steer, handle, packet, route, now_us);
        }
        return;
    }
    if (pin->place_count > 0) {
        place_again(steer, handle, packet);
        return;
    }
    if (pin->held) {
        hold_on(steer, handle, packet, now_us);
        return;
    }
    if (steer_try_next(steer, handle, packet->bytes, packet->size, now_us)) {
        return;
    }
    /* All were tried, and some may be back since. */
    pin->try_count = 0;
    if (!steer_try_next(steer, handle, packet->bytes, packet->size, now_us)) {
        steer_drop_packet(steer, STEER_DROP_NO_AGENT, packet);
    }
}

void
steer_held(struct steer *steer, struct addr agent,
           const struct frame_status *status)
{
    uint32_t handle = flow_index_find(&steer->flows, status->flow);

    if (handle != FLOW_INDEX_NONE) {
        steer->pins[handle].held = true;
        steer->pins[handle].holder = agent;
    }
}

void
steer_wait_over(struct steer *steer, const struct steer_wait *wait,
                uint64_t now_us)
{
    struct steer_pin *pin = &steer->pins[wait->handle];

    if (pin->tried_us != wait->tried_us || pin->place_count > 0 || pin->held ||
        pin->opened || pin->try_count == 0) {
        return;
    }
    agents_missed(&steer->agents, pin->holder, pin->tried_us, now_us);
    if (pin->syn_size > 0) {
        steer_try_next(steer, wait->handle, pin->syn, pin->syn_size, now_us);
    }
}
