#include "relay/steer.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"

/* How long an agent may take to answer a SYN: 2 ms on the way at most
 * between data centres, under 1 ms at the endpoint, and the rest for a host
 * that has a twentieth of a core. */
#define ANSWER_TIMEOUT_US (15 * USEC_PER_MSEC)

/* Agents that one SYN is sent to: with more, the caller's own copy after
 * 200 ms would meet the same flow in too many places. */
#define TRIES_MAX 4

/* Endpoints that answered one SYN, at most: one for each try that was only
 * slow; more are not remembered. */
#define PLACES_MAX 2

/* Beyond this distance an acknowledgement is not of that endpoint's bytes:
 * 64 packets of 1,200 bytes may be on their way. */
#define SEQ_WINDOW 76802u

/* Until a configuration says how soon requests are to be answered. */
#define LEARNED_TARGET_MS 100

#define WAITS_MAX 8192u
#define SYN_MAX 64

/* A flow may be quiet for as long as the configuration says, and a bit. */
#define IDLE_SLACK_MS 1000

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
 * @places: endpoints that answered
 * @place_count: how many
 * @tried: agents that the SYN was sent to
 * @try_count: how many
 * @holder: agent that has the SYN now, as far as is known
 * @held: it said that it keeps it until a slot is free
 * @opened: the caller has sent more than its SYN: that is never sent again
 * @last_ack: what the caller acknowledged last
 * @round: how often all agents named to hold the flow said that they don't
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
    struct steer_place places[PLACES_MAX];
    uint8_t place_count;
    struct addr tried[TRIES_MAX];
    uint8_t try_count;
    struct addr holder;
    bool held;
    bool opened;
    uint8_t round;
    uint32_t last_ack;
    uint8_t syn_size;
    uint32_t syn_seq;
    uint64_t since_us;
    uint64_t tried_us;
    uint8_t syn[SYN_MAX];
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

static void
drop(struct steer *steer, enum steer_drop why,
     const struct relay_packet *packet)
{
    steer->out->ops->dropped(steer->out, why, packet);
}

static void
wait_push(struct steer *steer, uint32_t handle, uint64_t now_us)
{
    struct steer_wait *wait;

    if (steer->wait_count == WAITS_MAX) {
        /* The caller's own copy takes the place of the try. */
        return;
    }
    wait = &steer->waits[(steer->wait_first + steer->wait_count) % WAITS_MAX];
    *wait = (struct steer_wait){now_us + ANSWER_TIMEOUT_US, handle, now_us};
    steer->wait_count++;
}

static void
forget(struct steer *steer, uint32_t handle)
{
    flow_index_remove(&steer->flows, handle);
    memset(&steer->pins[handle], 0, sizeof(steer->pins[handle]));
}

static uint32_t
remember(struct steer *steer, struct relay_flow flow, uint32_t service,
         uint64_t now_us)
{
    uint32_t handle;

    if (steer->flows.used == steer->flows.capacity) {
        forget(steer, flow_index_oldest(&steer->flows));
    }
    handle = flow_index_add(&steer->flows, flow, now_us);
    steer->pins[handle] =
        (struct steer_pin){.service = service, .since_us = now_us};
    return handle;
}

/* A frame for @packet that may go on along @choice from @from on. */
static struct frame_carry
frame_for(const struct steer *steer, uint32_t service,
          const struct agents_choice *choice, unsigned from,
          const uint8_t *bytes, size_t size)
{
    struct frame_carry frame = {
        .service = service,
        .origin = steer->self,
        .version = steer->routes.version,
        .bytes = bytes,
        .size = size,
    };

    for (unsigned i = from;
         i < choice->count && frame.next_count < FRAME_NEXT_MAX; i++) {
        frame.next[frame.next_count++] = choice->addrs[i];
    }
    return frame;
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

static const struct routes *
routes_in_force(const struct steer *steer)
{
    return steer->routes.version != 0 ? &steer->routes : &steer->learned;
}

/* Sends a SYN to the best agent that it was not sent to. */
static bool
try_next(struct steer *steer, uint32_t handle, const uint8_t *bytes,
         size_t size, uint64_t now_us)
{
    struct steer_pin *pin = &steer->pins[handle];
    struct relay_flow flow = flow_index_flow(&steer->flows, handle);
    struct agents_choice choice;
    struct frame_carry frame;

    /* The configuration may have dropped the route since the SYN came. */
    if (pin->try_count == TRIES_MAX ||
        routes_find(routes_in_force(steer), flow.service) == NULL) {
        return false;
    }
    agents_for_new(&steer->agents, pin->service, relay_flow_hash(flow), now_us,
                   &choice);
    skip_tried(pin, &choice);
    if (choice.count == 0) {
        return false;
    }
    frame = frame_for(steer, pin->service, &choice, 1, bytes, size);
    frame.target_ms = pin->target_ms;
    frame.priority = pin->priority;
    frame.patience_ms = pin->patience_ms;
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

/* Sends a packet to an agent that holds its flow or will know who does. */
static void
carry_to(struct steer *steer, const struct steer_pin *pin, struct addr agent,
         const struct relay_packet *packet)
{
    struct agents_choice none = {.count = 0};
    struct frame_carry frame =
        frame_for(steer, pin->service, &none, 0, packet->bytes, packet->size);

    steer->out->ops->carry(steer->out, agent, &frame);
}

static void
note_age(struct steer_pin *pin, const struct relay_packet *packet,
         const struct route *route)
{
    unsigned target_ms = MIN(route->target_ms, UINT16_MAX);

    pin->priority = (uint8_t)MIN(route->priority, UINT8_MAX);
    pin->target_ms =
        (uint16_t)(packet->age_ms < target_ms ? target_ms - packet->age_ms
                                              : 0);
    pin->patience_ms = packet->patience_ms;
}

static void
open_flow(struct steer *steer, const struct relay_packet *packet,
          const struct route *route, uint64_t now_us)
{
    struct relay_flow flow = relay_flow_from_caller(packet);
    uint32_t handle =
        remember(steer, flow, route_service(route, flow), now_us);
    struct steer_pin *pin = &steer->pins[handle];

    note_age(pin, packet, route);
    pin->syn_seq = packet->seq;
    if (packet->size <= SYN_MAX) {
        memcpy(pin->syn, packet->bytes, packet->size);
        pin->syn_size = (uint8_t)packet->size;
    }
    if (!try_next(steer, handle, packet->bytes, packet->size, now_us)) {
        forget(steer, handle);
        drop(steer, STEER_DROP_NO_AGENT, packet);
    }
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
        frame_for(steer, pin->service, &none, 0, packet->bytes, packet->size);

    frame.target_ms = pin->target_ms;
    frame.priority = pin->priority;
    frame.patience_ms = pin->patience_ms;
    pin->held = false;
    pin->tried_us = now_us;
    wait_push(steer, handle, now_us);
    steer->out->ops->carry(steer->out, pin->holder, &frame);
}

/* The caller sent its SYN again: an answer was lost, or none came. */
static void
open_again(struct steer *steer, uint32_t handle,
           const struct relay_packet *packet, const struct route *route,
           uint64_t now_us)
{
    struct steer_pin *pin = &steer->pins[handle];

    if (pin->place_count > 0) {
        carry_to(steer, pin, pin->places[0].agent, packet);
        return;
    }
    if (pin->opened) {
        /* A copy that was held up on its way: the flow is open. */
        return;
    }
    note_age(pin, packet, route);
    if (pin->held) {
        hold_on(steer, handle, packet, now_us);
        return;
    }
    if (try_next(steer, handle, packet->bytes, packet->size, now_us)) {
        return;
    }
    /* All were tried, and some may be back since. */
    pin->try_count = 0;
    if (!try_next(steer, handle, packet->bytes, packet->size, now_us)) {
        drop(steer, STEER_DROP_NO_AGENT, packet);
    }
}

/* Place whose bytes the packet acknowledges, or NULL. */
static const struct steer_place *
place_of(const struct steer_pin *pin, const struct relay_packet *packet)
{
    if (pin->place_count == 1) {
        return &pin->places[0];
    }
    for (unsigned i = 0; i < pin->place_count; i++) {
        if (packet->ack - pin->places[i].seq < SEQ_WINDOW) {
            return &pin->places[i];
        }
    }
    return NULL;
}

/* Moves an agent of the choice to its front. */
static void
put_first(struct agents_choice *choice, struct addr agent)
{
    for (unsigned i = 0; i < choice->count; i++) {
        if (addr_equal(choice->addrs[i], agent)) {
            memmove(&choice->addrs[1], &choice->addrs[0],
                    i * sizeof(choice->addrs[0]));
            choice->addrs[0] = agent;
            return;
        }
    }
}

/* Sends a packet of an open flow along all agents that may hold it. */
static void
search(struct steer *steer, uint32_t handle, const struct relay_packet *packet)
{
    struct steer_pin *pin = &steer->pins[handle];
    uint32_t service = pin->service;
    uint64_t hash = relay_flow_hash(relay_flow_from_caller(packet));
    struct agents_choice choice;
    struct frame_carry frame;

    if (!agents_for_known(&steer->agents, service, hash, pin->round,
                          &choice)) {
        pin->round = 0;
        agents_for_known(&steer->agents, service, hash, 0, &choice);
    }
    put_first(&choice, pin->holder);
    if (choice.count == 0) {
        drop(steer, STEER_DROP_NO_AGENT, packet);
        return;
    }
    frame = frame_for(steer, service, &choice, 1, packet->bytes, packet->size);
    steer->out->ops->carry(steer->out, choice.addrs[0], &frame);
}

/* An agent doesn't hold a flow that was placed there: its next packet looks
 * for it. False when it wasn't placed there. */
static bool
place_remove(struct steer_pin *pin, struct addr agent)
{
    for (unsigned i = 0; i < pin->place_count; i++) {
        if (addr_equal(pin->places[i].agent, agent)) {
            pin->places[i] = pin->places[--pin->place_count];
            return true;
        }
    }
    return false;
}

/* Whether the flow was open at its one place for certain: its caller has
 * acknowledged that endpoint's number, or the endpoint has sent packets of
 * it. */
static bool
is_sure(const struct steer_pin *pin)
{
    return pin->place_count == 1 &&
           (pin->places[0].seq == 0 ||
            pin->last_ack - pin->places[0].seq < SEQ_WINDOW);
}

/* The endpoint that held the flow is no more: its caller learns it at once
 * instead of by its timeout, and may try anew. */
static void
reset_flow(struct steer *steer, uint32_t handle, uint64_t now_us)
{
    struct steer_pin *pin = &steer->pins[handle];
    struct relay_flow flow = flow_index_flow(&steer->flows, handle);

    steer->out->ops->reset(steer->out, flow, pin->last_ack);
    steer->out->ops->decided(steer->out, STEER_DID_RESET, flow,
                             pin->places[0].agent, 0, now_us - pin->since_us);
}

static bool
has_ended(const struct steer *steer, struct addr agent)
{
    const struct agent_row *row = agents_find(&steer->agents, agent);

    return row != NULL && row->health.state == ENDPOINT_GONE;
}

static void
carry_known(struct steer *steer, uint32_t handle,
            const struct relay_packet *packet, uint64_t now_us)
{
    struct steer_pin *pin = &steer->pins[handle];
    const struct steer_place *place = place_of(pin, packet);

    pin->last_ack = packet->ack;
    pin->opened = true;
    if (is_sure(pin) && has_ended(steer, pin->places[0].agent)) {
        reset_flow(steer, handle, now_us);
    }
    else if (place != NULL) {
        carry_to(steer, pin, place->agent, packet);
    }
    else {
        search(steer, handle, packet);
    }
}

static bool
is_from_caller(const struct relay_packet *packet)
{
    return (packet->flags & RELAY_BOUNCED) == 0 &&
           !relay_packet_accepts(packet);
}

/* Whether the caller uses its port again for a flow of its own. */
static bool
is_other_flow(const struct steer_pin *pin, const struct relay_packet *packet)
{
    return pin->syn_size > 0 && pin->syn_seq != packet->seq;
}

static void
place_add(struct steer_pin *pin, struct addr agent, uint32_t seq)
{
    struct steer_place place = {agent, seq};

    for (unsigned i = 0; i < pin->place_count; i++) {
        if (addr_equal(pin->places[i].agent, agent)) {
            pin->places[i] = place;
            return;
        }
    }
    if (pin->place_count < PLACES_MAX) {
        pin->places[pin->place_count++] = place;
    }
    else {
        pin->places[PLACES_MAX - 1] = place;
    }
}

static void
on_placed(struct steer *steer, struct addr agent,
          const struct frame_status *status, uint64_t now_us)
{
    uint32_t handle = flow_index_find(&steer->flows, status->flow);
    struct steer_pin *pin;

    if (handle == FLOW_INDEX_NONE) {
        /* Its packets came here, or the agent wouldn't tell. */
        handle = remember(steer, status->flow, status->health.service, now_us);
    }
    pin = &steer->pins[handle];
    place_add(pin, agent, status->seq);
    steer->out->ops->decided(steer->out, STEER_DID_PLACE, status->flow, agent,
                             pin->try_count, now_us - pin->since_us);
}

/* An agent sent a flow on, or let go of it: then it is tried at once. */
static void
on_passed(struct steer *steer, struct addr agent,
          const struct frame_status *status, uint64_t now_us)
{
    uint32_t handle = flow_index_find(&steer->flows, status->flow);
    struct steer_pin *pin;

    if (handle == FLOW_INDEX_NONE) {
        return;
    }
    pin = &steer->pins[handle];
    pin->holder = status->target;
    pin->held = false;
    if (status->target.ip == 0 && is_sure(pin) &&
        addr_equal(pin->places[0].agent, agent)) {
        reset_flow(steer, handle, now_us);
        return;
    }
    if (place_remove(pin, agent) || status->target.ip != 0) {
        return;
    }
    if (status->reason == FRAME_REASON_BUSY) {
        /* No room for what is late anyway; the caller's next copy may find
         * some. */
        pin->held = true;
        pin->holder = agent;
        return;
    }
    if (pin->opened) {
        pin->round++;
    }
    else if (pin->place_count == 0) {
        try_next(steer, handle, pin->syn, pin->syn_size, now_us);
    }
}

static void
on_held(struct steer *steer, struct addr agent,
        const struct frame_status *status)
{
    uint32_t handle = flow_index_find(&steer->flows, status->flow);

    if (handle != FLOW_INDEX_NONE) {
        steer->pins[handle].held = true;
        steer->pins[handle].holder = agent;
    }
}

static void
wait_over(struct steer *steer, const struct steer_wait *wait, uint64_t now_us)
{
    struct steer_pin *pin = &steer->pins[wait->handle];

    if (pin->tried_us != wait->tried_us || pin->place_count > 0 || pin->held ||
        pin->opened || pin->try_count == 0) {
        return;
    }
    agents_missed(&steer->agents, pin->holder, pin->tried_us, now_us);
    if (pin->syn_size > 0) {
        try_next(steer, wait->handle, pin->syn, pin->syn_size, now_us);
    }
}

static void
expire(struct steer *steer, uint64_t now_us)
{
    uint64_t idle_us =
        (steer->routes.idle_timeout_ms + (uint64_t)IDLE_SLACK_MS) *
        USEC_PER_MSEC;
    uint32_t oldest = flow_index_oldest(&steer->flows);

    while (oldest != FLOW_INDEX_NONE &&
           now_us - flow_index_used_us(&steer->flows, oldest) > idle_us) {
        forget(steer, oldest);
        oldest = flow_index_oldest(&steer->flows);
    }
}

int
steer_init(struct steer *steer, struct steer_out *out, struct addr self,
           const char *data_centre)
{
    memset(steer, 0, sizeof(*steer));
    steer->out = out;
    steer->self = self;
    agents_init(&steer->agents, data_centre);
    routes_init(&steer->routes);
    routes_init(&steer->learned);
    steer->pins = calloc(STEER_FLOWS_MAX, sizeof(*steer->pins));
    steer->waits = calloc(WAITS_MAX, sizeof(*steer->waits));
    if (steer->pins == NULL || steer->waits == NULL ||
        flow_index_init(&steer->flows, STEER_FLOWS_MAX) < 0) {
        steer_finish(steer);
        return -ENOMEM;
    }
    return 0;
}

void
steer_finish(struct steer *steer)
{
    flow_index_finish(&steer->flows);
    free(steer->pins);
    free(steer->waits);
    routes_finish(&steer->routes);
    routes_finish(&steer->learned);
    agents_finish(&steer->agents);
}

bool
steer_routes(struct steer *steer, struct routes *routes)
{
    if (routes->version <= steer->routes.version) {
        routes_finish(routes);
        return false;
    }
    routes_finish(&steer->routes);
    steer->routes = *routes;
    routes_init(routes);
    routes_finish(&steer->learned);
    return true;
}

/* Route of a packet, or NULL when it was dropped for the lack of one. */
static const struct route *
route_of(struct steer *steer, const struct relay_packet *packet)
{
    const struct route *route =
        routes_find(routes_in_force(steer), packet->to);

    if (route == NULL) {
        drop(steer,
             steer->routes.version != 0 ? STEER_DROP_NO_ROUTE
                                        : STEER_DROP_NO_CONFIG,
             packet);
    }
    return route;
}

void
steer_served(struct steer *steer, const struct frame_served *served)
{
    if (steer->routes.version != 0) {
        return;
    }
    for (unsigned i = 0; i < served->count; i++) {
        struct route *route;

        if (routes_find(&steer->learned, served->addrs[i]) != NULL) {
            continue;
        }
        route = routes_add(&steer->learned);
        route->address = served->addrs[i];
        route->shares[route->share_count++] =
            (struct route_share){served->service, 1};
        route->target_ms = LEARNED_TARGET_MS;
        /* No two have the same address: each was looked for first. */
        (void)routes_seal(&steer->learned);
    }
}

void
steer_packet(struct steer *steer, const struct relay_packet *packet,
             uint64_t now_us)
{
    const struct route *route;
    struct relay_flow flow;
    uint32_t handle;

    if (!is_from_caller(packet)) {
        drop(steer, STEER_DROP_MALFORMED, packet);
        return;
    }
    route = route_of(steer, packet);
    if (route == NULL) {
        return;
    }
    flow = relay_flow_from_caller(packet);
    handle = flow_index_find(&steer->flows, flow);
    if (handle != FLOW_INDEX_NONE) {
        flow_index_touch(&steer->flows, handle, now_us);
    }
    if (relay_packet_opens(packet)) {
        if (handle != FLOW_INDEX_NONE &&
            is_other_flow(&steer->pins[handle], packet)) {
            forget(steer, handle);
            handle = FLOW_INDEX_NONE;
        }
        if (handle == FLOW_INDEX_NONE) {
            open_flow(steer, packet, route, now_us);
        }
        else {
            open_again(steer, handle, packet, route, now_us);
        }
    }
    else if (handle != FLOW_INDEX_NONE) {
        carry_known(steer, handle, packet, now_us);
    }
    else {
        handle = remember(steer, flow, route_service(route, flow), now_us);
        steer->pins[handle].last_ack = packet->ack;
        steer->pins[handle].opened = true;
        search(steer, handle, packet);
    }
}

void
steer_status(struct steer *steer, struct addr agent,
             const struct frame_status *status, uint64_t now_us)
{
    agents_heard(&steer->agents, agent, &status->health, now_us);
    if (status->heard.version > steer->routes.version) {
        steer->out->ops->behind(steer->out, &status->heard);
    }
    if (status->type == FRAME_PLACED) {
        on_placed(steer, agent, status, now_us);
    }
    else if (status->type == FRAME_HELD) {
        on_held(steer, agent, status);
    }
    else if (status->type == FRAME_PASSED) {
        on_passed(steer, agent, status, now_us);
    }
}

void
steer_tick(struct steer *steer, uint64_t now_us)
{
    struct addr agent;

    while (steer->wait_count > 0 &&
           steer->waits[steer->wait_first].due_us <= now_us) {
        struct steer_wait wait = steer->waits[steer->wait_first];

        steer->wait_first = (steer->wait_first + 1) % WAITS_MAX;
        steer->wait_count--;
        wait_over(steer, &wait, now_us);
    }
    while (agents_ping_due(&steer->agents, now_us, &agent)) {
        steer->out->ops->ping(steer->out, agent);
    }
    expire(steer, now_us);
}

uint64_t
steer_next_us(const struct steer *steer)
{
    uint64_t next_us = agents_next_ping_us(&steer->agents);

    if (steer->wait_count > 0) {
        next_us = MIN(next_us, steer->waits[steer->wait_first].due_us);
    }
    return next_us;
}

bool
steer_ready(const struct steer *steer)
{
    const struct routes *routes = routes_in_force(steer);

    for (size_t i = 0; i < routes->count; i++) {
        for (unsigned s = 0; s < routes->items[i].share_count; s++) {
            if (agents_serve(&steer->agents,
                             routes->items[i].shares[s].service)) {
                return true;
            }
        }
    }
    return false;
}
