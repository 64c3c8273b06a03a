#include "relay/steer/steer.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "relay/steer/steer_private.h"

/* Until a configuration says how soon requests are to be answered. */
#define LEARNED_TARGET_MS 100

/* A flow may be quiet for as long as the configuration says, and a bit. */
#define IDLE_SLACK_MS 1000

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
expire(struct steer *steer, uint64_t now_us)
{
    uint64_t idle_us =
        (steer->routes.idle_timeout_ms + (uint64_t)IDLE_SLACK_MS) *
        USEC_PER_MSEC;
    uint32_t oldest = flow_index_oldest(&steer->flows);

    while (oldest != FLOW_INDEX_NONE &&
           now_us - flow_index_used_us(&steer->flows, oldest) > idle_us) {
        steer_forget(steer, oldest);
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
    steer->warming = (struct steer_warming){.over = 1};
    agents_init(&steer->agents, data_centre);
    routes_init(&steer->routes);
    routes_init(&steer->learned);
    steer->pins = calloc(STEER_FLOWS_MAX, sizeof(*steer->pins));
    steer->waits = calloc(STEER_WAITS_MAX, sizeof(*steer->waits));
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
steer_routes(struct steer *steer, struct routes *routes, uint64_t now_us)
{
    if (routes->version <= steer->routes.version) {
        routes_finish(routes);
        return false;
    }
    routes_date(routes, &steer->routes, now_us);
    routes_finish(&steer->routes);
    steer->routes = *routes;
    routes_init(routes);
    routes_finish(&steer->learned);
    return true;
}

/* A packet can't be carried anywhere. A caller that would open a flow is told
 * at once, rather than after the 1.4 s that it waits; but not by a balancer
 * that may not have the latest configuration, and not after its first SYN:
 * another balancer may have had an earlier copy and sent it on. */
void
steer_refuse(struct steer *steer, enum steer_drop why,
             const struct relay_packet *packet)
{
    steer_drop_packet(steer, why, packet);
    if (steer->routes.version != 0 && steer->current &&
        relay_packet_opens(packet) && packet->age_ms == 0) {
        steer->out->ops->reset(steer->out, relay_flow_from_caller(packet),
                               packet->ack);
    }
}

/* Route of a packet, or NULL when it was dropped for the lack of one. */
static const struct route *
route_of(struct steer *steer, const struct relay_packet *packet)
{
    const struct route *route =
        routes_find(steer_routes_in_force(steer), packet->to);

    if (route == NULL) {
        steer_refuse(steer,
                     steer->routes.version != 0 ? STEER_DROP_NO_ROUTE
                                                : STEER_DROP_NO_CONFIG,
                     packet);
    }
    return route;
}

/* Route of an address that isn't in the learned ones yet. */
static void
learn_route(struct steer *steer, struct addr address, uint32_t service)
{
    struct route *route = routes_add(&steer->learned);

    route->address = address;
    route->shares[route->share_count++] = (struct route_share){service, 1, 0};
    route->target_ms = LEARNED_TARGET_MS;
    /* No two have the same address: each was looked for first. */
    (void)routes_seal(&steer->learned);
}

void
steer_served(struct steer *steer, struct addr agent,
             const struct frame_served *served)
{
    const struct agent_row *row = agents_find(&steer->agents, agent);
    uint32_t region = row != NULL ? row->region : 0;
    bool differ = regions_differ(&steer->agents.regions);

    if (steer->routes.version != 0 || (differ && region == 0)) {
        return;
    }
    for (unsigned i = 0; i < served->count; i++) {
        struct addr address = served->addrs[i];

        if (routes_find(&steer->learned, address) == NULL) {
            learn_route(steer, address, served->service);
        }
        if (differ) {
            struct route *route =
                (struct route *)routes_find(&steer->learned, address);

            homes_add(&route->homes, region);
        }
    }
}

/* Whether a SYN can go somewhere, or will go nowhere for as long as it would
 * be kept. */
static bool
knows_enough(const struct steer *steer)
{
    if (steer->routes.version == 0 && steer->learned.count == 0) {
        return false;
    }
    return steer->agents.listed_once || steer_ready(steer);
}

/* Sends what came early; the youngest first, as the others are late. */
static void
send_early(struct steer *steer, uint64_t now_us)
{
    struct relay_packet packet;

    while (syn_queue_take_over(&steer->early, now_us, &packet)) {
        steer_drop_packet(steer, STEER_DROP_NO_CONFIG, &packet);
    }
    if (!knows_enough(steer)) {
        return;
    }
    while (syn_queue_take(&steer->early, now_us, &packet)) {
        steer_packet(steer, &packet, now_us);
    }
}

bool
steer_evacuations(struct steer *steer, const struct evacuations *told,
                  bool first, uint64_t now_us)
{
    return agents_evacuate(&steer->agents, told, first, now_us);
}

void
steer_packet(struct steer *steer, const struct relay_packet *packet,
             uint64_t now_us)
{
    const struct route *route;
    struct relay_flow flow;
    uint32_t handle;

    if (!is_from_caller(packet)) {
        steer_drop_packet(steer, STEER_DROP_MALFORMED, packet);
        return;
    }
    if (relay_packet_opens(packet) && !knows_enough(steer) &&
        syn_queue_put(&steer->early, packet, now_us)) {
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
            (is_other_flow(&steer->pins[handle], packet) ||
             steer->pins[handle].over_us != 0)) {
            steer_forget(steer, handle);
            handle = FLOW_INDEX_NONE;
        }
        if (handle == FLOW_INDEX_NONE) {
            steer_open_flow(steer, packet, route, now_us);
        }
        else {
            steer_open_again(steer, handle, packet, route, now_us);
        }
    }
    else if (handle != FLOW_INDEX_NONE) {
        steer_carry_known(steer, handle, packet, now_us);
    }
    else {
        handle =
            steer_remember(steer, flow, route_service(route, flow), now_us);
        steer->pins[handle].last_ack = packet->ack;
        steer->pins[handle].opened = true;
        steer_search(steer, handle, packet, now_us);
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
    steer->out->ops->readers(steer->out, status->readers);
    if (status->type == FRAME_PLACED) {
        steer_placed(steer, agent, status, now_us);
    }
    else if (status->type == FRAME_HELD) {
        steer_held(steer, agent, status);
    }
    else if (status->type == FRAME_PASSED) {
        steer_passed(steer, agent, status, now_us);
    }
}

void
steer_tick(struct steer *steer, uint64_t now_us)
{
    unsigned left = AGENTS_ALL_PINGS;
    struct addr agent;
    bool unlisted;

    while (steer->wait_count > 0 &&
           steer->waits[steer->wait_first].due_us <= now_us) {
        struct steer_wait wait = steer->waits[steer->wait_first];

        steer->wait_first = (steer->wait_first + 1) % STEER_WAITS_MAX;
        steer->wait_count--;
        steer_wait_over(steer, &wait, now_us);
    }
    while (agents_ping_due(&steer->agents, &left, now_us, &agent, &unlisted)) {
        steer->out->ops->ping(steer->out, agent, unlisted);
    }
    if (steer->early.count > 0) {
        send_early(steer, now_us);
    }
    agents_tick(&steer->agents, now_us);
    steer_lost_tick(steer, now_us);
    expire(steer, now_us);
}

void
steer_ping_witnesses(struct steer *steer)
{
    struct agents_choice witnesses;

    agents_witnesses(&steer->agents, &witnesses);
    for (unsigned i = 0; i < witnesses.count; i++) {
        steer->out->ops->ping(steer->out, witnesses.addrs[i], false);
    }
}

uint64_t
steer_next_us(const struct steer *steer)
{
    uint64_t next_us = agents_next_ping_us(&steer->agents);

    next_us = MIN(next_us, steer_lost_next_us(steer));
    next_us = MIN(next_us, store_state_next_us(&steer->agents.store));
    if (steer->wait_count > 0) {
        next_us = MIN(next_us, steer->waits[steer->wait_first].due_us);
    }
    return next_us;
}

bool
steer_ready(const struct steer *steer)
{
    const struct routes *routes = steer_routes_in_force(steer);

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
