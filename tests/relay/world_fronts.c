#include "relay/world_private.h"

#include <string.h>

#include "base/clock.h"
#include "base/container.h"
#include "base/hash.h"

int
world_served_at(const struct world *world, unsigned version,
                const struct relay_packet *packet)
{
    return world->served[version][packet->to.port - 8000];
}

static void
forwarder_resets(struct forwarder_out *out, struct relay_flow flow,
                 uint32_t seq)
{
    world_check_reset(container_of(out, struct front, out)->world, flow,
                      "a balancer");
}

/* Whether what is sent to an agent is lost. */
static bool
is_cut(const struct front *front, struct addr agent)
{
    return world_is_cut(&front->world->hosts[agent.ip - world_host_addr(0).ip],
                        true);
}

/* A SYN goes where the configuration in force says. */
static void
check_service(const struct front *front, const struct frame_forward *frame,
              const struct relay_packet *packet)
{
    int served = world_served_at(front->world, front->version, packet);

    if (served < 0) {
        world_breach(front->world,
                     "CONFIG: a SYN of a dropped route is carried");
    }
    else if (frame->service != hash_service(world_services[served])) {
        world_breach(front->world, "CONFIG: a SYN is carried to the service "
                                   "that its route had before");
    }
}

static void
forwarder_forwards(struct forwarder_out *out, struct addr agent,
                   const struct frame_forward *frame)
{
    struct front *front = container_of(out, struct front, out);
    struct relay_packet packet = world_packet_of(frame->bytes);
    uint8_t bytes[FRAME_MAX];
    size_t size = frame_forward_encode(
        frame, &front->forwarder.agents.store.latest, bytes);

    if (relay_packet_is_syn(&packet)) {
        check_service(front, frame, &packet);
    }
    if (is_cut(front, agent)) {
        return;
    }
    world_post_late(front->world, TO_AGENT, agent.ip - world_host_addr(0).ip,
                    bytes, size, front->stalled_until_us);
}

static void
ping(struct forwarder_out *out, struct addr agent, bool unlisted)
{
    struct front *front = container_of(out, struct front, out);
    struct frame_ping ping = {
        .view = {.version = front->version},
        .unlisted = unlisted,
    };
    uint8_t bytes[FRAME_HEADER_MAX + 1];
    size_t size =
        frame_ping_encode(&ping, &front->forwarder.agents.store.latest, bytes);

    if (is_cut(front, agent)) {
        return;
    }
    /* The sender's number stands in for its address. */
    bytes[size] = (uint8_t)front->number;
    world_post_late(front->world, TO_AGENT, agent.ip - world_host_addr(0).ip,
                    bytes, size + 1, front->stalled_until_us);
}

static void
ask(struct forwarder_out *out, struct addr agent,
    const struct frame_query *ask)
{
    struct front *front = container_of(out, struct front, out);
    uint8_t bytes[FRAME_MAX];
    size_t size =
        frame_query_encode(ask, &front->forwarder.agents.store.latest, bytes);

    if (is_cut(front, agent)) {
        return;
    }
    /* The sender's number stands in for its address. */
    bytes[size] = (uint8_t)front->number;
    world_post_lost(front->world, TO_AGENT, agent.ip - world_host_addr(0).ip,
                    bytes, size + 1, front->stalled_until_us);
}

static void
confirm(struct forwarder_out *out, uint64_t now_us)
{
    struct front *front = container_of(out, struct front, out);

    front->confirm_us = now_us;
}

static void
behind(struct forwarder_out *out, const struct frame_config_version *newer)
{
}

static void
readers(struct forwarder_out *out, struct frame_readers others)
{
}

static void
forwarder_dropped(struct forwarder_out *out, enum forwarder_drop why,
                  const struct relay_packet *packet)
{
}

static void
forwarder_decided(struct forwarder_out *out, enum forwarder_decision did,
                  struct relay_flow flow, struct addr agent, unsigned tries,
                  uint64_t age_us)
{
}

static void
forwarder_concluded(struct forwarder_out *out,
                    const struct orphan_query *query, unsigned over)
{
}

const struct forwarder_out_ops world_forwarder_ops = {forwarder_forwards,
                                                      forwarder_resets,
                                                      ping,
                                                      ask,
                                                      confirm,
                                                      behind,
                                                      readers,
                                                      forwarder_dropped,
                                                      forwarder_decided,
                                                      forwarder_concluded};

/* Configuration and membership. */

void
world_follow_config(struct front *front, unsigned version)
{
    struct world *world = front->world;
    struct routes routes;

    routes_init(&routes);
    routes.version = version + 1;
    for (unsigned i = 0; i < ROUTES; i++) {
        struct route *route;

        if (world->served[version][i] < 0) {
            continue;
        }
        route = routes_add(&routes);
        route->address = fixture_flow(0).service;
        route->address.port = (uint16_t)(8000 + i);
        route->shares[0] = (struct route_share){
            hash_service(world_services[world->served[version][i]]), 1};
        route->share_count = 1;
        route->target_ms = 100;
        route->timeout_ms = world->plan->budget_ms;
        route->idempotent = i % 2 == 0;
    }
    g_assert_cmpint(routes_seal(&routes), ==, 0);
    if (forwarder_routes(&front->forwarder, &routes, world->now_us)) {
        front->version = version;
    }
}

/* All that the store says names its epoch. */
static void
see_era(struct front *front)
{
    struct evacuations latest = {.epoch = front->world->evacuations.epoch};

    forwarder_evacuations(&front->forwarder, &latest, false,
                          front->world->now_us);
}

/* The front learns what the store says of an agent. */
static void
see_listing(struct front *front, const struct host *host)
{
    front->listings[host->number] = host->listing;
    see_era(front);
    if (host->lost_until_us != 0) {
        agents_unlist(&front->forwarder.agents, host->addr,
                      front->world->now_us);
        return;
    }
    agents_list(&front->forwarder.agents, host->addr,
                hash_service(world_services[host->listed_service]),
                world_data_centre(front->world, host), front->world->now_us);
}

void
world_front_start(struct front *front)
{
    struct world *world = front->world;

    g_assert_cmpint(forwarder_init(&front->forwarder, &front->out,
                                   world_front_addr(front->number), "here"),
                    ==, 0);
    front->version = 0;
    front->confirm_us = 0;
    front->fault_us = world->now_us;
    world_follow_config(front, world->versions - 1);
    for (unsigned i = 0; i < WORLD_AGENTS; i++) {
        see_listing(front, &world->hosts[i]);
    }
    agents_list_complete(&front->forwarder.agents);
    if (world->plan->evacuate > 0) {
        front->forwarder.current = true;
        world_evacuations_soon(front);
    }
}

/* Whether the front knows what the store says of the agents. */
static bool
knows_list(const struct front *front)
{
    const struct store_state *store = &front->forwarder.agents.store;

    if (store->latest.epoch != front->world->evacuations.epoch) {
        return false;
    }
    for (unsigned i = 0; i < WORLD_AGENTS; i++) {
        if (front->listings[i] != front->world->hosts[i].listing) {
            return false;
        }
    }
    return true;
}

void
world_front_tick(struct front *front)
{
    struct world *world = front->world;

    for (unsigned i = 0; i < WORLD_AGENTS; i++) {
        if (front->listings[i] != world->hosts[i].listing &&
            world->now_us >= front->list_us[i]) {
            see_listing(front, &world->hosts[i]);
        }
    }
    if (front->confirm_us != 0 &&
        world->now_us >= front->confirm_us + CONFIRM_US) {
        if (knows_list(front)) {
            forwarder_confirmed(&front->forwarder, front->confirm_us,
                                world->now_us);
        }
        front->confirm_us = 0;
    }
    if (front->evacuations_us != 0 && world->now_us >= front->evacuations_us) {
        world_evacuations_read(front);
    }
    forwarder_tick(&front->forwarder, world->now_us);
}

void
world_list_changed(struct host *host)
{
    struct world *world = host->world;

    host->listing++;
    for (unsigned f = 0; f < WORLD_BALANCERS; f++) {
        world->fronts[f].list_us[host->number] =
            world->now_us +
            (uint64_t)g_rand_int_range(world->lost_rand, 0, 500) *
                USEC_PER_MSEC;
    }
}

void
world_list_tick(struct world *world)
{
    for (unsigned i = 0; i < WORLD_AGENTS; i++) {
        struct host *host = &world->hosts[i];

        if (host->list_us == 0 || host->list_us > world->now_us) {
            continue;
        }
        host->list_us = 0;
        host->listed_service = host->service;
        world_list_changed(host);
    }
}

/* The next version, equal to the last so far, or NULL when there are too
 * many. */
static int *
next_version(struct world *world)
{
    unsigned next = world->versions;

    if (next == VERSIONS_MAX) {
        return NULL;
    }
    memcpy(world->served[next], world->served[next - 1],
           sizeof(world->served[next]));
    return world->served[next];
}

static void
acknowledge_version(struct world *world)
{
    world->versions++;
    for (unsigned i = 0; i < WORLD_BALANCERS; i++) {
        world->fronts[i].follow_us =
            world->now_us +
            (uint64_t)g_rand_int_range(world->rand, 0, 500) * USEC_PER_MSEC;
    }
}

/* Drops a route or brings it back; routes keep their service. */
void
world_change_config(struct world *world)
{
    unsigned route = (unsigned)g_rand_int_range(world->rand, 1, ROUTES);
    int *served = next_version(world);

    if (served != NULL) {
        served[route] = served[route] < 0 ? (int)(route % WORLD_SERVICES) : -1;
        acknowledge_version(world);
    }
}

void
world_move_route(struct world *world)
{
    unsigned route = (unsigned)g_rand_int_range(world->rand, 0, ROUTES);
    int *served = next_version(world);

    if (served != NULL && served[route] >= 0) {
        served[route] = (served[route] + 1) % WORLD_SERVICES;
        acknowledge_version(world);
    }
}
