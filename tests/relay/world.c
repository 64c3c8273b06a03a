/* Main loop of the simulation: injects faults, delivers messages and advances
 * all components in steps of STEP_US. */
#include "relay/world.h"

#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "relay/world_private.h"

/* Faults. */

static struct host *
random_host(struct world *world)
{
    return &world->hosts[g_rand_int_range(world->rand, 0, WORLD_AGENTS)];
}

static void
agent_restart(struct world *world)
{
    struct host *host = random_host(world);

    world_trace(world, "fault: agent-%u restarts", host->number);
    admission_finish(&host->admission);
    world_agent_start(host);
    host->fault_us = world->now_us;
    world->fault_us = world->now_us;
}

static void
endpoint_stop(struct world *world, bool reuse)
{
    struct host *host = random_host(world);

    if (!host->up) {
        return;
    }
    world_trace(world, "fault: endpoint-%u ends%s", host->number,
                reuse ? ", its address is reused" : "");
    host->up = false;
    host->restart_us = world->now_us + RESTART_US;
    host->fault_us = world->now_us;
    world->fault_us = world->now_us;
    if (reuse) {
        /* The address now belongs to another host with its own agent. */
        host->service = (host->service + 1) % WORLD_SERVICES;
        admission_finish(&host->admission);
        world_agent_start(host);
        host->registration_us = world->now_us + (uint64_t)g_rand_int_range(
                                                    world->query_rand, 1, 50) *
                                                    USEC_PER_MSEC;
    }
}

static struct balancer *
random_balancer(struct world *world)
{
    return &world
                ->balancers[g_rand_int_range(world->rand, 0, WORLD_BALANCERS)];
}

static void
balancer_restart(struct world *world)
{
    struct balancer *balancer = random_balancer(world);

    world_trace(world, "fault: balancer-%u restarts", balancer->number);
    forwarder_finish(&balancer->forwarder);
    world_balancer_start(balancer);
    world->fault_us = world->now_us;
}

/* Partitions agents from the balancers until the plan's number is reached. */
static void
start_partition(struct world *world)
{
    unsigned ms = (unsigned)g_rand_int_range(world->rand, PARTITION_MIN_MS,
                                             PARTITION_MAX_MS);
    unsigned direction = (unsigned)g_rand_int_range(world->rand, 0, 3);
    unsigned left = world->plan->partitioned_agents;

    for (unsigned i = 0; i < WORLD_AGENTS; i++) {
        left -=
            left > 0 && world->hosts[i].partitioned_until_us > world->now_us;
    }
    while (left > 0) {
        struct host *host = random_host(world);

        if (host->partitioned_until_us > world->now_us) {
            continue;
        }
        host->partitioned_until_us = world->now_us + ms * USEC_PER_MSEC;
        host->drops_from = direction != 1;
        host->drops_to = direction != 0;
        world->fault_us = host->partitioned_until_us;
        left--;
    }
}

static void
inject_faults(struct world *world)
{
    const struct world_plan *plan = world->plan;

    if (world_chance(world, plan->rehash)) {
        world->ecmp_salt++;
    }
    if (world_chance(world, plan->agent_restart)) {
        agent_restart(world);
    }
    if (world_chance(world, plan->balancer_restart)) {
        balancer_restart(world);
    }
    if (world_chance(world, plan->endpoint_crash)) {
        endpoint_stop(world, false);
    }
    if (world_chance(world, plan->reuse)) {
        endpoint_stop(world, true);
    }
    if (world_chance(world, plan->endpoint_drain)) {
        struct host *host = random_host(world);

        world_trace(world, "fault: endpoint-%u drains", host->number);
        host->draining = true;
    }
    if (world_chance(world, plan->freeze)) {
        struct host *host = random_host(world);

        world_trace(world, "fault: host %u freezes", host->number);
        host->frozen_until_us = world->now_us + FREEZE_US;
        host->fault_us = host->frozen_until_us;
        world->fault_us = host->frozen_until_us;
    }
    if (world_chance(world, plan->config)) {
        world_change_config(world);
    }
    if (plan->route_moves > 0 && world_chance(world, plan->route_moves)) {
        world_move_route(world);
    }
    if (plan->partition > 0 && world_chance(world, plan->partition)) {
        start_partition(world);
    }
    if (plan->evacuate > 0 &&
        g_rand_int_range(world->evacuations_rand, 0, 1000) <
            (gint32)plan->evacuate) {
        world_evacuate(world);
    }
    if (plan->store_restore > 0 &&
        g_rand_int_range(world->evacuations_rand, 0, 1000) <
            (gint32)plan->store_restore) {
        world_store_restore(world);
    }
    if (plan->stall > 0 && world_chance(world, plan->stall)) {
        struct balancer *balancer = random_balancer(world);

        world_trace(world, "fault: balancer-%u stalls", balancer->number);
        balancer->stalled_until_us = world->now_us + STALL_US;
    }
}

/* Time. */

/* Applies the evacuations in a frame's header, before the frame itself. */
static void
apply_evacuations(struct world *world, const struct message *message)
{
    struct evacuations reported;

    if (message->target != TO_BALANCER_FRAME && message->target != TO_AGENT) {
        return;
    }
    frame_evacuations_decode(message->bytes, &reported);
    if (message->target == TO_AGENT) {
        admission_handle_evacuations(&world->hosts[message->number].admission,
                                     &reported, world->now_us);
    }
    else {
        forwarder_evacuations(&world->balancers[message->number].forwarder,
                              &reported, false, world->now_us);
    }
}

static void
deliver(struct world *world, const struct message *message)
{
    struct frame_forward frame;
    struct frame_status status;
    struct frame_ping ping;
    struct relay_packet packet;
    struct host *host = &world->hosts[message->number % WORLD_AGENTS];

    struct frame_query query;
    struct frame_query_reply query_reply;

    world_trace_message(world, message);
    apply_evacuations(world, message);
    switch (message->target) {
    case TO_BALANCER:
        packet = world_packet_of(message->bytes);
        forwarder_packet(&world->balancers[message->number].forwarder, &packet,
                         world->now_us);
        return;
    case TO_BALANCER_FRAME:
        if (frame_type(message->bytes, message->size - 1) ==
            FRAME_QUERY_REPLY) {
            g_assert_cmpint(frame_query_reply_decode(message->bytes,
                                                     message->size - 1,
                                                     &query_reply),
                            ==, 0);
            forwarder_query_reply(
                &world->balancers[message->number].forwarder,
                world_host_addr(message->bytes[message->size - 1]),
                &query_reply, world->now_us);
            return;
        }
        g_assert_cmpint(
            frame_status_decode(message->bytes, message->size - 1, &status),
            ==, 0);
        forwarder_status(&world->balancers[message->number].forwarder,
                         world_host_addr(message->bytes[message->size - 1]),
                         &status, world->now_us);
        return;
    case TO_AGENT:
        if (frame_type(message->bytes, message->size) == FRAME_PING) {
            g_assert_cmpint(
                frame_ping_decode(message->bytes, message->size - 1, &ping),
                ==, 0);
            admission_handle_ping(
                &host->admission,
                world_balancer_addr(message->bytes[message->size - 1]), &ping,
                world->now_us);
            return;
        }
        if (frame_type(message->bytes, message->size) == FRAME_QUERY) {
            g_assert_cmpint(
                frame_query_decode(message->bytes, message->size - 1, &query),
                ==, 0);
            admission_handle_query(
                &host->admission,
                world_balancer_addr(message->bytes[message->size - 1]), &query,
                world->now_us);
            return;
        }
        g_assert_cmpint(
            frame_forward_decode(message->bytes, message->size, &frame), ==,
            0);
        packet = world_packet_of(frame.bytes);
        admission_handle_forward(&host->admission, &frame, &packet,
                                 world->now_us);
        return;
    case TO_ENDPOINT:
        world_endpoint_packet(host, message->bytes);
        return;
    case TO_OUTBOUND:
        packet = world_packet_of(message->bytes);
        admission_handle_endpoint_packet(&host->admission, &packet,
                                         world->now_us);
        return;
    case TO_CALLER:
        world_caller_packet(world, message->number, message->bytes);
        return;
    }
}

static bool
is_frozen(const struct world *world, const struct message *message)
{
    if (message->target != TO_AGENT && message->target != TO_OUTBOUND &&
        message->target != TO_ENDPOINT) {
        return false;
    }
    return world->hosts[message->number].frozen_until_us > world->now_us;
}

static void
deliver_due(struct world *world)
{
    GSequenceIter *iter = g_sequence_get_begin_iter(world->messages);

    while (!g_sequence_iter_is_end(iter)) {
        struct message *message = g_sequence_get(iter);

        if (message->due_us > world->now_us) {
            return;
        }
        if (is_frozen(world, message)) {
            iter = g_sequence_iter_next(iter);
            continue;
        }
        deliver(world, message);
        g_sequence_remove(iter);
        iter = g_sequence_get_begin_iter(world->messages);
    }
}

static void
end_probe(struct host *host)
{
    struct world *world = host->world;

    if (host->probe_due_us == 0 || host->probe_due_us > world->now_us) {
        return;
    }
    host->probe_due_us = 0;
    if (host->probe_refused) {
        world_trace(world, "agent-%u finds no listener at its endpoint",
                    host->number);
        (void)admission_probe_refused(&host->admission, world->now_us);
    }
}

static void
tick_hosts(struct world *world)
{
    for (unsigned i = 0; i < WORLD_AGENTS; i++) {
        struct host *host = &world->hosts[i];

        if (host->frozen_until_us > world->now_us) {
            continue;
        }
        if (!host->up && host->restart_us <= world->now_us) {
            world_endpoint_start(host);
        }
        if (host->up && host->heartbeat_us <= world->now_us) {
            world_heartbeat(host);
        }
        end_probe(host);
        world_endpoint_work(host);
        admission_tick(&host->admission, world->now_us);
    }
}

static void
tick_balancers(struct world *world)
{
    world_registration_tick(world);
    for (unsigned i = 0; i < WORLD_BALANCERS; i++) {
        struct balancer *balancer = &world->balancers[i];

        if (balancer->version + 1 < world->versions &&
            balancer->config_due_us <= world->now_us) {
            world_apply_config(balancer, world->versions - 1);
        }
        world_balancer_tick(balancer);
    }
}

/* Whether a configuration has dropped the flow's route since it opened, so
 * that its packets may be dropped. */
static bool
route_was_dropped(const struct world *world, const struct caller *caller)
{
    for (unsigned i = caller->version; i < world->versions; i++) {
        if (world->served[i][caller->route] < 0) {
            return true;
        }
    }
    return false;
}

/* All agents, endpoints and balancers restart without any flow state. */
static void
restart_all_hosts(struct world *world)
{
    uint64_t restart_us = world->now_us + RESTART_US;

    for (unsigned i = 0; i < WORLD_AGENTS; i++) {
        struct host *host = &world->hosts[i];

        world_trace(world, "fault: host %u restarts", i);
        host->up = false;
        host->restart_us = restart_us;
        host->frozen_until_us = restart_us;
        host->fault_us = restart_us;
        admission_finish(&host->admission);
        world_agent_start(host);
    }
    for (unsigned i = 0; i < WORLD_BALANCERS; i++) {
        forwarder_finish(&world->balancers[i].forwarder);
        world_balancer_start(&world->balancers[i]);
    }
    world->fault_us = restart_us;
}

/* An orphaned flow is reset within ORPHAN_REPORT_US of its caller's packet. */
static void
check_orphan_reported(struct world *world, unsigned number)
{
    const struct caller *caller = &world->callers[number];

    if (world->plan->reported && caller->orphaned_us != 0 &&
        (caller->state == CALLER_REQUESTING ||
         caller->state == CALLER_CLOSING) &&
        world->now_us - caller->orphaned_us > ORPHAN_REPORT_US) {
        world_violation(world,
                        "LOST: caller %u of an orphaned flow was not reset",
                        number);
    }
}

static void
check_callers(struct world *world)
{
    for (unsigned i = 0; i < world->caller_count; i++) {
        struct caller *caller = &world->callers[i];

        world_caller_tick(world, caller);
        check_orphan_reported(world, i);
        if (caller->misrouted >= MISROUTED_MAX &&
            world->now_us - caller->misrouted_us > MISROUTED_US &&
            !route_was_dropped(world, caller)) {
            world_violation(
                world, "FLOW: %u packets of flow %u reached other endpoints",
                caller->misrouted, i);
        }
    }
}

static void
run_until(struct world *world, uint64_t end_us, bool faulty)
{
    while (world->now_us < end_us && world->result->violation[0] == '\0') {
        world->now_us += STEP_US;
        if (world->now_us % FAULT_INTERVAL_US == 0 && faulty) {
            inject_faults(world);
        }
        if (world->now_us % FAULT_INTERVAL_US == 0 &&
            world_chance(world, world->plan->new_flows)) {
            world_caller_open(world);
        }
        if (world->now_us % SNAPSHOT_US == 0) {
            world_store_snapshot(world);
        }
        world_store_tick(world);
        deliver_due(world);
        tick_hosts(world);
        tick_balancers(world);
        check_callers(world);
    }
}

static void
world_init(struct world *world, uint32_t seed, const struct world_plan *plan,
           struct world_result *result)
{
    world->rand = g_rand_new_with_seed(seed);
    world->query_rand = g_rand_new_with_seed(seed + 1);
    world->evacuations_rand = g_rand_new_with_seed(seed + 2);
    world->evacuations = (struct evacuations){.epoch = 1, .revision = 1};
    world_store_snapshot(world);
    world->plan = plan;
    world->result = result;
    world->now_us = 10 * USEC_PER_SEC;
    world_trace_init(world);
    world->messages = g_sequence_new(g_free);
    world->versions = 1;
    for (unsigned i = 0; i < ROUTES; i++) {
        world->served[0][i] = (int)(i % WORLD_SERVICES);
    }
    for (unsigned i = 0; i < WORLD_AGENTS; i++) {
        struct host *host = &world->hosts[i];

        host->out.ops = &world_admission_ops;
        host->world = world;
        host->number = i;
        host->addr = world_host_addr(i);
        host->service = i % 3 == 2 ? 1 : 0;
        host->registered_service = host->service;
        host->next_seq = i * 77777777u;
        world_agent_start(host);
        /* Later agents at the address find its object. */
        endpoint_set_new_address(&host->admission.endpoint);
        world_endpoint_start(host);
        host->fault_us = 0;
        host->started_us = 0;
    }
    for (unsigned i = 0; i < WORLD_BALANCERS; i++) {
        world->balancers[i].out.ops = &world_forwarder_ops;
        world->balancers[i].world = world;
        world->balancers[i].number = i;
        world_balancer_start(&world->balancers[i]);
    }
}

static void
world_finish(struct world *world)
{
    for (unsigned i = 0; i < WORLD_AGENTS; i++) {
        admission_finish(&world->hosts[i].admission);
    }
    for (unsigned i = 0; i < WORLD_BALANCERS; i++) {
        forwarder_finish(&world->balancers[i].forwarder);
    }
    g_sequence_free(world->messages);
    g_rand_free(world->rand);
    g_rand_free(world->query_rand);
    g_rand_free(world->evacuations_rand);
}

void
world_run(uint32_t seed, const struct world_plan *plan, unsigned faulty_ms,
          struct world_result *result)
{
    struct world *world = g_new0(struct world, 1);

    memset(result, 0, sizeof(*result));
    world_init(world, seed, plan, result);
    if (plan->restart_all) {
        run_until(world, world->now_us + faulty_ms * USEC_PER_MSEC / 2, true);
        restart_all_hosts(world);
        faulty_ms /= 2;
    }
    run_until(world, world->now_us + faulty_ms * USEC_PER_MSEC, true);
    run_until(world, world->now_us + FAULT_FREE_US, false);
    world_finish(world);
    g_free(world);
}
