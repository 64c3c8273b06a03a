#include "relay/forwarder/forwarder.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "relay/forwarder/forwarder_private.h"

/* Response target of learned routes. */
#define LEARNED_TARGET_MS 100

/* Added to the configuration's idle timeout. */
#define IDLE_SLACK_MS 1000

static bool
is_from_caller(const struct relay_packet *packet)
{
    return (packet->flags & RELAY_BOUNCED) == 0 &&
           !relay_packet_is_syn_ack(packet);
}

/* Whether a SYN belongs to a new flow from the same port. */
static bool
is_port_reused(const struct forwarder_pin *pin,
               const struct relay_packet *packet)
{
    return pin->syn_size > 0 && pin->syn_seq != packet->seq;
}

static void
forget_idle_flows(struct forwarder *forwarder, uint64_t now_us)
{
    uint64_t idle_us =
        (forwarder->routes.idle_timeout_ms + (uint64_t)IDLE_SLACK_MS) *
        USEC_PER_MSEC;
    uint32_t oldest = flow_index_oldest(&forwarder->flows);

    while (oldest != FLOW_INDEX_NONE &&
           now_us - flow_index_used_us(&forwarder->flows, oldest) > idle_us) {
        forwarder_forget(forwarder, oldest);
        oldest = flow_index_oldest(&forwarder->flows);
    }
}

int
forwarder_init(struct forwarder *forwarder, struct forwarder_out *out,
               struct addr self, const char *data_centre)
{
    memset(forwarder, 0, sizeof(*forwarder));
    forwarder->out = out;
    forwarder->self = self;
    forwarder->slow_start = (struct forwarder_slow_start){.over = 1};
    agents_init(&forwarder->agents, data_centre);
    routes_init(&forwarder->routes);
    routes_init(&forwarder->learned);
    forwarder->pins = calloc(FORWARDER_FLOWS_MAX, sizeof(*forwarder->pins));
    forwarder->syn_timers =
        calloc(FORWARDER_SYN_TIMERS_MAX, sizeof(*forwarder->syn_timers));
    if (forwarder->pins == NULL || forwarder->syn_timers == NULL ||
        flow_index_init(&forwarder->flows, FORWARDER_FLOWS_MAX) < 0) {
        forwarder_finish(forwarder);
        return -ENOMEM;
    }
    return 0;
}

void
forwarder_finish(struct forwarder *forwarder)
{
    flow_index_finish(&forwarder->flows);
    free(forwarder->pins);
    free(forwarder->syn_timers);
    routes_finish(&forwarder->routes);
    routes_finish(&forwarder->learned);
    agents_finish(&forwarder->agents);
}

bool
forwarder_routes(struct forwarder *forwarder, struct routes *routes,
                 uint64_t now_us)
{
    if (routes->version <= forwarder->routes.version) {
        routes_finish(routes);
        return false;
    }
    routes_inherit_since(routes, &forwarder->routes, now_us);
    routes_finish(&forwarder->routes);
    forwarder->routes = *routes;
    routes_init(routes);
    routes_finish(&forwarder->learned);
    return true;
}

/* Resetting the caller spares it its SYN timeout of 1.4 s. A balancer with an
 * outdated configuration doesn't reset, as the route may exist. Nor are later
 * copies reset: another balancer may have forwarded an earlier one. */
void
forwarder_refuse(struct forwarder *forwarder, enum forwarder_drop why,
                 const struct relay_packet *packet)
{
    forwarder_drop_packet(forwarder, why, packet);
    if (forwarder->routes.version != 0 && forwarder->current &&
        relay_packet_is_syn(packet) && packet->age_ms == 0) {
        forwarder->out->ops->reset(
            forwarder->out, relay_flow_from_caller(packet), packet->ack);
    }
}

/* Returns the route of a packet, or NULL after dropping it. */
static const struct route *
route_of(struct forwarder *forwarder, const struct relay_packet *packet)
{
    const struct route *route =
        routes_find(forwarder_routes_in_force(forwarder), packet->to);

    if (route == NULL) {
        forwarder_refuse(forwarder,
                         forwarder->routes.version != 0
                             ? FORWARDER_DROP_NO_ROUTE
                             : FORWARDER_DROP_NO_CONFIG,
                         packet);
    }
    return route;
}

/* Adds a learned route. */
static void
learn_route(struct forwarder *forwarder, struct addr address, uint32_t service)
{
    struct route *route = routes_add(&forwarder->learned);

    route->address = address;
    route->shares[route->share_count++] = (struct route_share){service, 1, 0};
    route->target_ms = LEARNED_TARGET_MS;
    /* Can't fail: the address isn't in the table yet. */
    (void)routes_seal(&forwarder->learned);
}

void
forwarder_served(struct forwarder *forwarder, struct addr agent,
                 const struct frame_served *served)
{
    const struct agent_row *row = agents_find(&forwarder->agents, agent);
    uint32_t region = row != NULL ? row->region : 0;
    bool multiple_regions = regions_differ(&forwarder->agents.regions);

    if (forwarder->routes.version != 0 || (multiple_regions && region == 0)) {
        return;
    }
    for (unsigned i = 0; i < served->count; i++) {
        struct addr address = served->addrs[i];

        if (routes_find(&forwarder->learned, address) == NULL) {
            learn_route(forwarder, address, served->service);
        }
        if (multiple_regions) {
            struct route *route =
                (struct route *)routes_find(&forwarder->learned, address);

            region_affinity_add(&route->region_affinity, region);
        }
    }
}

/* Whether a SYN can be routed now, or queueing it can't help. */
static bool
can_route_syn(const struct forwarder *forwarder)
{
    if (forwarder->routes.version == 0 && forwarder->learned.count == 0) {
        return false;
    }
    return forwarder->agents.list_complete || forwarder_ready(forwarder);
}

/* Sends the queued SYNs, youngest request first. */
static void
send_early_syns(struct forwarder *forwarder, uint64_t now_us)
{
    struct relay_packet packet;

    while (syn_queue_take_expired(&forwarder->early_syns, now_us, &packet)) {
        forwarder_drop_packet(forwarder, FORWARDER_DROP_NO_CONFIG, &packet);
    }
    if (!can_route_syn(forwarder)) {
        return;
    }
    while (syn_queue_take(&forwarder->early_syns, now_us, &packet)) {
        forwarder_packet(forwarder, &packet, now_us);
    }
}

bool
forwarder_evacuations(struct forwarder *forwarder,
                      const struct evacuations *reported, bool from_store,
                      uint64_t now_us)
{
    return agents_evacuate(&forwarder->agents, reported, from_store, now_us);
}

void
forwarder_packet(struct forwarder *forwarder,
                 const struct relay_packet *packet, uint64_t now_us)
{
    const struct route *route;
    struct relay_flow flow;
    uint32_t handle;

    if (!is_from_caller(packet)) {
        forwarder_drop_packet(forwarder, FORWARDER_DROP_MALFORMED, packet);
        return;
    }
    if (relay_packet_is_syn(packet) && !can_route_syn(forwarder) &&
        syn_queue_put(&forwarder->early_syns, packet, now_us)) {
        return;
    }
    route = route_of(forwarder, packet);
    if (route == NULL) {
        return;
    }
    flow = relay_flow_from_caller(packet);
    handle = flow_index_find(&forwarder->flows, flow);
    if (handle != FLOW_INDEX_NONE) {
        flow_index_touch(&forwarder->flows, handle, now_us);
    }
    if (relay_packet_is_syn(packet)) {
        if (handle != FLOW_INDEX_NONE &&
            (is_port_reused(&forwarder->pins[handle], packet) ||
             forwarder->pins[handle].proved_us != 0)) {
            forwarder_forget(forwarder, handle);
            handle = FLOW_INDEX_NONE;
        }
        if (handle == FLOW_INDEX_NONE) {
            forwarder_open_flow(forwarder, packet, route, now_us);
        }
        else {
            forwarder_open_again(forwarder, handle, packet, route, now_us);
        }
    }
    else if (handle != FLOW_INDEX_NONE) {
        forwarder_forward_established(forwarder, handle, packet, now_us);
    }
    else {
        handle = forwarder_remember(forwarder, flow,
                                    route_service(route, flow), now_us);
        forwarder->pins[handle].last_ack = packet->ack;
        forwarder->pins[handle].opened = true;
        forwarder_lookup(forwarder, handle, packet, now_us);
    }
}

static void
report_level(void *data, const struct agent_row *row, uint64_t median_us)
{
    struct forwarder *forwarder = data;

    forwarder->out->ops->level_changed(forwarder->out, row, median_us);
}

/* Whether the list gives an agent that reports @service one that no route
 * names: its object is foreign. */
static bool
is_listed_wrongly(const struct forwarder *forwarder, struct addr agent,
                  uint32_t service)
{
    const struct agent_row *row = agents_find(&forwarder->agents, agent);

    return row != NULL && row->listed && !row->disputed &&
           row->health.service != service &&
           routes_name_service(&forwarder->routes, service) &&
           !routes_name_service(&forwarder->routes, row->health.service);
}

void
forwarder_status(struct forwarder *forwarder, struct addr agent,
                 const struct frame_status *status, uint64_t now_us)
{
    struct agents_observer observer = {report_level, forwarder};

    forwarder_overload_tick(forwarder, now_us);
    if (is_listed_wrongly(forwarder, agent, status->health.service)) {
        agents_dispute(&forwarder->agents, agent, 0, now_us);
    }
    agents_update_health(&forwarder->agents, agent, &status->health, now_us);
    agents_update_levels(&forwarder->agents, agent, &observer, now_us);
    if (status->heard.version > forwarder->routes.version) {
        forwarder->out->ops->newer_config(forwarder->out, &status->heard);
    }
    forwarder->out->ops->readers(forwarder->out, status->readers);
    if (status->type == FRAME_ESTABLISHED) {
        forwarder_established(forwarder, agent, status, now_us);
    }
    else if (status->type == FRAME_QUEUED) {
        forwarder_queued(forwarder, agent, status);
    }
    else if (status->type == FRAME_REDIRECTED) {
        forwarder_redirected(forwarder, agent, status, now_us);
    }
}

void
forwarder_tick(struct forwarder *forwarder, uint64_t now_us)
{
    unsigned left = AGENTS_ALL_PINGS;
    struct addr agent;
    bool unlisted;

    forwarder_overload_tick(forwarder, now_us);
    while (forwarder->syn_timer_count > 0 &&
           forwarder->syn_timers[forwarder->syn_timer_first].due_us <=
               now_us) {
        struct forwarder_syn_timer syn_timer =
            forwarder->syn_timers[forwarder->syn_timer_first];

        forwarder->syn_timer_first =
            (forwarder->syn_timer_first + 1) % FORWARDER_SYN_TIMERS_MAX;
        forwarder->syn_timer_count--;
        forwarder_syn_timeout(forwarder, &syn_timer, now_us);
    }
    while (agents_ping_due(&forwarder->agents, &left, now_us, &agent,
                           &unlisted)) {
        forwarder->out->ops->ping(forwarder->out, agent, unlisted);
    }
    if (forwarder->early_syns.count > 0) {
        send_early_syns(forwarder, now_us);
    }
    agents_tick(&forwarder->agents, now_us);
    forwarder_orphans_tick(forwarder, now_us);
    forget_idle_flows(forwarder, now_us);
}

void
forwarder_ping_witnesses(struct forwarder *forwarder)
{
    struct agents_choice witnesses;

    agents_witnesses(&forwarder->agents, &witnesses);
    for (unsigned i = 0; i < witnesses.count; i++) {
        forwarder->out->ops->ping(forwarder->out, witnesses.addrs[i], false);
    }
}

uint64_t
forwarder_next_us(const struct forwarder *forwarder)
{
    uint64_t next_us = agents_next_ping_us(&forwarder->agents);

    next_us = MIN(next_us, forwarder_orphans_next_us(forwarder));
    next_us = MIN(next_us, store_state_next_us(&forwarder->agents.store));
    if (forwarder->syn_timer_count > 0) {
        next_us = MIN(
            next_us, forwarder->syn_timers[forwarder->syn_timer_first].due_us);
    }
    return next_us;
}

bool
forwarder_ready(const struct forwarder *forwarder)
{
    const struct routes *routes = forwarder_routes_in_force(forwarder);

    for (size_t i = 0; i < routes->count; i++) {
        for (unsigned s = 0; s < routes->items[i].share_count; s++) {
            if (agents_can_serve(&forwarder->agents,
                                 routes->items[i].shares[s].service)) {
                return true;
            }
        }
    }
    return false;
}
