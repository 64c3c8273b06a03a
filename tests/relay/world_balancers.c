/* Balancers: their outputs, configuration, and reads of agents' objects. */
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
send_reset(struct forwarder_out *out, struct relay_flow flow, uint32_t seq)
{
    struct balancer *balancer = container_of(out, struct balancer, out);

    world_trace_flow(balancer->world, flow, "balancer-%u resets",
                     balancer->number);
    world_check_reset(balancer->world, flow, "a balancer");
}

/* Whether frames to an agent are dropped. */
static bool
is_partitioned(const struct balancer *balancer, struct addr agent)
{
    return world_is_partitioned(
        &balancer->world->hosts[agent.ip - world_host_addr(0).ip], true);
}

/* A SYN is forwarded to the service of its route in the configuration in
 * force. */
static void
check_service(const struct balancer *balancer,
              const struct frame_forward *frame,
              const struct relay_packet *packet)
{
    int served = world_served_at(balancer->world, balancer->version, packet);

    if (served < 0) {
        world_violation(balancer->world,
                        "CONFIG: a SYN of a dropped route is forwarded");
    }
    else if (frame->service != hash_service(world_services[served])) {
        world_violation(balancer->world,
                        "CONFIG: a SYN is forwarded to the service "
                        "that its route had before");
    }
}

static void
send_forward(struct forwarder_out *out, struct addr agent,
             const struct frame_forward *frame)
{
    struct balancer *balancer = container_of(out, struct balancer, out);
    struct relay_packet packet = world_packet_of(frame->bytes);
    uint8_t bytes[FRAME_MAX];
    size_t size = frame_forward_encode(
        frame, &balancer->forwarder.agents.store.latest, bytes);

    if (relay_packet_is_syn(&packet)) {
        check_service(balancer, frame, &packet);
    }
    if (is_partitioned(balancer, agent)) {
        return;
    }
    world_post_delayed(balancer->world, TO_AGENT,
                       agent.ip - world_host_addr(0).ip, bytes, size,
                       balancer->stalled_until_us);
}

static void
send_ping(struct forwarder_out *out, struct addr agent, bool unlisted)
{
    struct balancer *balancer = container_of(out, struct balancer, out);
    struct frame_ping ping = {
        .view = {.version = balancer->version},
        .unlisted = unlisted,
    };
    uint8_t bytes[FRAME_HEADER_MAX + 1];
    size_t size = frame_ping_encode(
        &ping, &balancer->forwarder.agents.store.latest, bytes);

    if (is_partitioned(balancer, agent)) {
        return;
    }
    /* The sender's number stands in for its address. */
    bytes[size] = (uint8_t)balancer->number;
    world_post_delayed(balancer->world, TO_AGENT,
                       agent.ip - world_host_addr(0).ip, bytes, size + 1,
                       balancer->stalled_until_us);
}

static void
send_query(struct forwarder_out *out, struct addr agent,
           const struct frame_query *query)
{
    struct balancer *balancer = container_of(out, struct balancer, out);
    uint8_t bytes[FRAME_MAX];
    size_t size = frame_query_encode(
        query, &balancer->forwarder.agents.store.latest, bytes);

    if (is_partitioned(balancer, agent)) {
        return;
    }
    /* The sender's number stands in for its address. */
    bytes[size] = (uint8_t)balancer->number;
    world_post_query(balancer->world, TO_AGENT,
                     agent.ip - world_host_addr(0).ip, bytes, size + 1,
                     balancer->stalled_until_us);
}

static void
confirm(struct forwarder_out *out, uint64_t now_us)
{
    struct balancer *balancer = container_of(out, struct balancer, out);

    balancer->confirm_us = now_us;
}

static void
newer_config(struct forwarder_out *out,
             const struct frame_config_version *newer)
{
}

static void
readers(struct forwarder_out *out, struct frame_readers others)
{
}

static void
forwarder_dropped(struct forwarder_out *out, enum forwarder_drop reason,
                  const struct relay_packet *packet)
{
}

static void
forwarder_decided(struct forwarder_out *out, enum forwarder_decision decision,
                  struct relay_flow flow, struct addr agent, unsigned tries,
                  uint64_t age_us)
{
    const struct balancer *balancer = container_of(out, struct balancer, out);

    world_trace_flow(balancer->world, flow, "balancer-%u decides %d agent %u",
                     balancer->number, (int)decision,
                     agent.ip != 0 ? agent.ip - world_host_addr(0).ip : 99);
}

static void
forwarder_concluded(struct forwarder_out *out,
                    const struct orphan_query *query, unsigned ended)
{
}

static void
level_changed(struct forwarder_out *out, const struct agent_row *row,
              uint64_t median_us)
{
}

const struct forwarder_out_ops world_forwarder_ops = {
    send_forward,      send_reset,          send_ping,    send_query,
    confirm,           newer_config,        readers,      forwarder_dropped,
    forwarder_decided, forwarder_concluded, level_changed};

/* Configuration and registrations. */

void
world_apply_config(struct balancer *balancer, unsigned version)
{
    struct world *world = balancer->world;
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
        route->timeout_ms = world->plan->timeout_ms;
        route->idempotent = i % 2 == 0;
    }
    g_assert_cmpint(routes_seal(&routes), ==, 0);
    if (forwarder_routes(&balancer->forwarder, &routes, world->now_us)) {
        balancer->version = version;
    }
}

/* Every reply of the store carries its epoch. */
static void
receive_epoch(struct balancer *balancer)
{
    struct evacuations latest = {.epoch = balancer->world->evacuations.epoch};

    forwarder_evacuations(&balancer->forwarder, &latest, false,
                          balancer->world->now_us);
}

/* Reads an agent's object from the store. */
static void
read_registration(struct balancer *balancer, const struct host *host)
{
    balancer->registration_versions[host->number] = host->registration_version;
    receive_epoch(balancer);
    if (host->unregistered_until_us != 0) {
        agents_unlist(&balancer->forwarder.agents, host->addr,
                      balancer->world->now_us);
        return;
    }
    agents_list(&balancer->forwarder.agents, host->addr,
                hash_service(world_services[host->registered_service]),
                world_data_centre(balancer->world, host),
                balancer->world->now_us);
}

void
world_balancer_start(struct balancer *balancer)
{
    struct world *world = balancer->world;

    g_assert_cmpint(forwarder_init(&balancer->forwarder, &balancer->out,
                                   world_balancer_addr(balancer->number),
                                   "here"),
                    ==, 0);
    balancer->version = 0;
    balancer->confirm_us = 0;
    balancer->evacuations_us = 0;
    balancer->fault_us = world->now_us;
    world_apply_config(balancer, world->versions - 1);
    for (unsigned i = 0; i < WORLD_AGENTS; i++) {
        read_registration(balancer, &world->hosts[i]);
    }
    agents_list_complete(&balancer->forwarder.agents);
    if (world->plan->evacuate > 0) {
        balancer->forwarder.current = true;
        world_evacuations_schedule(balancer);
    }
}

/* Whether the balancer has read the latest object of every agent. */
static bool
has_all_registrations(const struct balancer *balancer)
{
    const struct store_state *store = &balancer->forwarder.agents.store;

    if (store->latest.epoch != balancer->world->evacuations.epoch) {
        return false;
    }
    for (unsigned i = 0; i < WORLD_AGENTS; i++) {
        if (balancer->registration_versions[i] !=
            balancer->world->hosts[i].registration_version) {
            return false;
        }
    }
    return true;
}

void
world_balancer_tick(struct balancer *balancer)
{
    struct world *world = balancer->world;

    for (unsigned i = 0; i < WORLD_AGENTS; i++) {
        if (balancer->registration_versions[i] !=
                world->hosts[i].registration_version &&
            world->now_us >= balancer->registration_us[i]) {
            read_registration(balancer, &world->hosts[i]);
        }
    }
    if (balancer->confirm_us != 0 &&
        world->now_us >= balancer->confirm_us + CONFIRM_DELAY_US) {
        if (has_all_registrations(balancer)) {
            forwarder_confirmed(&balancer->forwarder, balancer->confirm_us,
                                world->now_us);
        }
        balancer->confirm_us = 0;
    }
    if (balancer->evacuations_us != 0 &&
        world->now_us >= balancer->evacuations_us) {
        world_evacuations_read(balancer);
    }
    forwarder_tick(&balancer->forwarder, world->now_us);
}

void
world_registration_changed(struct host *host)
{
    struct world *world = host->world;

    host->registration_version++;
    for (unsigned f = 0; f < WORLD_BALANCERS; f++) {
        world->balancers[f].registration_us[host->number] =
            world->now_us +
            (uint64_t)g_rand_int_range(world->query_rand, 0, 500) *
                USEC_PER_MSEC;
    }
}

void
world_registration_tick(struct world *world)
{
    for (unsigned i = 0; i < WORLD_AGENTS; i++) {
        struct host *host = &world->hosts[i];

        if (host->registration_us == 0 ||
            host->registration_us > world->now_us) {
            continue;
        }
        host->registration_us = 0;
        host->registered_service = host->service;
        world_registration_changed(host);
    }
}

/* A copy of the last configuration as the next one, or NULL when there are
 * VERSIONS_MAX. */
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
publish_version(struct world *world)
{
    world->versions++;
    for (unsigned i = 0; i < WORLD_BALANCERS; i++) {
        world->balancers[i].config_due_us =
            world->now_us +
            (uint64_t)g_rand_int_range(world->rand, 0, 500) * USEC_PER_MSEC;
    }
}

void
world_change_config(struct world *world)
{
    unsigned route = (unsigned)g_rand_int_range(world->rand, 1, ROUTES);
    int *served = next_version(world);

    if (served != NULL) {
        served[route] = served[route] < 0 ? (int)(route % WORLD_SERVICES) : -1;
        publish_version(world);
    }
}

void
world_move_route(struct world *world)
{
    unsigned route = (unsigned)g_rand_int_range(world->rand, 0, ROUTES);
    int *served = next_version(world);

    if (served != NULL && served[route] >= 0) {
        served[route] = (served[route] + 1) % WORLD_SERVICES;
        publish_version(world);
    }
}
