/* The store: evacuations set by operators, restores of the store from older
 * snapshots, and the checks on evacuated data centres. */
#include "relay/world_private.h"

#include "base/clock.h"

/* Balancers that read the store; the others are notified by agents. */
#define STORE_READERS 2

static unsigned
data_centre_number(const struct host *host)
{
    return host->number / (WORLD_AGENTS / WORLD_DATA_CENTRES);
}

/* Without evacuations in the plan, all hosts are in one data centre. */
const char *
world_data_centre(const struct world *world, const struct host *host)
{
    static const char *const names[] = {"here", "east", "west"};

    return world->plan->evacuate > 0 ? names[data_centre_number(host)]
                                     : "here";
}

static uint32_t
data_centre_key(const struct world *world, unsigned data_centre)
{
    const struct host *host =
        &world->hosts[data_centre * (WORLD_AGENTS / WORLD_DATA_CENTRES)];

    return evacuations_key(world_data_centre(world, host));
}

static void
remove_evacuation(struct evacuations *evacuations, uint32_t key)
{
    for (unsigned i = 0; i < evacuations->count; i++) {
        if (evacuations->data_centres[i] == key) {
            evacuations->data_centres[i] =
                evacuations->data_centres[--evacuations->count];
            return;
        }
    }
}

void
world_evacuations_schedule(struct balancer *balancer)
{
    uint64_t due_us;

    if (balancer->number >= STORE_READERS) {
        return;
    }
    due_us =
        balancer->world->now_us +
        (uint64_t)g_rand_int_range(balancer->world->evacuations_rand, 0, 500) *
            USEC_PER_MSEC;
    /* A later change doesn't put off a read that is due, as the first one
     * after a start. */
    if (balancer->evacuations_us == 0 || due_us < balancer->evacuations_us) {
        balancer->evacuations_us = due_us;
    }
}

void
world_evacuations_read(struct balancer *balancer)
{
    balancer->evacuations_us = 0;
    world_trace(balancer->world,
                "balancer-%u reads %u evacuations of epoch %u",
                balancer->number, balancer->world->evacuations.count,
                balancer->world->evacuations.epoch);
    forwarder_evacuations(&balancer->forwarder, &balancer->world->evacuations,
                          true, balancer->world->now_us);
}

/* Advances the revision and schedules the balancers' reads. */
static void
publish_evacuations(struct world *world)
{
    world->evacuations.revision += 2;
    for (unsigned i = 0; i < WORLD_BALANCERS; i++) {
        world_evacuations_schedule(&world->balancers[i]);
    }
}

void
world_evacuate(struct world *world)
{
    unsigned number = (unsigned)g_rand_int_range(world->evacuations_rand, 0,
                                                 WORLD_DATA_CENTRES);
    struct evacuations *desired = &world->desired;
    uint32_t key = data_centre_key(world, number);

    if (evacuations_contains(desired, key)) {
        remove_evacuation(desired, key);
        remove_evacuation(&world->evacuations, key);
    }
    else if (desired->count < world->plan->evacuated_max) {
        evacuations_add(desired, key);
        evacuations_add(&world->evacuations, key);
    }
    else {
        return;
    }
    world->evacuated_us[number] = world->now_us;
    world_trace(world, "operators: data centre %u is %s", number,
                evacuations_contains(desired, key) ? "evacuated" : "back");
    publish_evacuations(world);
}

void
world_store_snapshot(struct world *world)
{
    world->snapshot = world->evacuations;
}

static uint64_t
random_rewrite_us(struct world *world)
{
    return world->now_us + (uint64_t)g_rand_int_range(world->evacuations_rand,
                                                      REWRITE_MIN_MS,
                                                      REWRITE_MAX_MS) *
                               USEC_PER_MSEC;
}

void
world_store_restore(struct world *world)
{
    uint32_t epoch = world->evacuations.epoch + 1;

    world->evacuations = world->snapshot;
    world->evacuations.epoch = epoch;
    world_trace(world, "fault: the store comes back older, epoch %u", epoch);
    if (world->rewrite_us == 0 &&
        world->now_us >= world->rewritten_us + EVACUATION_BOUND_US) {
        world->store_lost_us = world->now_us;
    }
    world->restored_us = world->now_us;
    world->rewrite_us = random_rewrite_us(world);
    for (unsigned i = 0; i < WORLD_BALANCERS; i++) {
        world_evacuations_schedule(&world->balancers[i]);
    }
    for (unsigned i = 0; i < WORLD_AGENTS; i++) {
        struct host *host = &world->hosts[i];

        if (g_rand_boolean(world->evacuations_rand)) {
            host->unregistered_until_us = random_rewrite_us(world);
            world_registration_changed(host);
        }
    }
}

void
world_store_tick(struct world *world)
{
    if (world->rewrite_us != 0 && world->now_us >= world->rewrite_us) {
        uint64_t revision = world->evacuations.revision;
        uint32_t epoch = world->evacuations.epoch;

        world->rewrite_us = 0;
        world_trace(world, "operators: lost evacuations are written again");
        world->rewritten_us = world->now_us;
        world->evacuations = world->desired;
        world->evacuations.epoch = epoch;
        world->evacuations.revision = revision;
        publish_evacuations(world);
    }
    for (unsigned i = 0; i < WORLD_AGENTS; i++) {
        struct host *host = &world->hosts[i];

        if (host->unregistered_until_us != 0 &&
            world->now_us >= host->unregistered_until_us) {
            host->unregistered_until_us = 0;
            world_registration_changed(host);
        }
    }
}

/* Whether a host may lack an evacuation that the store has lost: a host that
 * started since then, or any host if it was written just before the loss. */
static bool
may_miss_evacuation(const struct host *host)
{
    const struct world *world = host->world;
    uint64_t propagated_us =
        world->evacuated_us[data_centre_number(host)] + EVACUATION_BOUND_US;
    bool rewritten =
        world->rewrite_us == 0 &&
        world->now_us >= world->rewritten_us + EVACUATION_BOUND_US;
    bool unreported = host->fault_us >= world->store_lost_us ||
                      propagated_us >= world->store_lost_us;

    for (unsigned i = 0; i < WORLD_BALANCERS; i++) {
        unreported |= world->balancers[i].fault_us >= world->store_lost_us;
    }
    return world->store_lost_us != 0 && unreported && !rewritten;
}

/* Whether the last evacuation of the host's data centre, or its end, must have
 * reached all hosts. */
static bool
is_propagated(const struct host *host)
{
    const struct world *world = host->world;

    for (unsigned i = 0; i < WORLD_BALANCERS; i++) {
        if (world->now_us < world->balancers[i].fault_us + STARTUP_SYNC_US) {
            return false;
        }
    }
    return world->now_us >= host->fault_us + STARTUP_SYNC_US &&
           world->now_us >= world->evacuated_us[data_centre_number(host)] +
                                EVACUATION_BOUND_US;
}

static bool
is_evacuated(const struct host *host)
{
    return evacuations_contains(
        &host->world->desired,
        data_centre_key(host->world, data_centre_number(host)));
}

void
world_check_syn(struct host *host, unsigned caller)
{
    if (host->world->plan->evacuate > 0 && is_evacuated(host) &&
        is_propagated(host) && !may_miss_evacuation(host)) {
        world_violation(host->world,
                        "EVACUATED: SYN of flow %u sent to evacuated endpoint "
                        "%u",
                        caller, host->number);
    }
}

void
world_check_refusal(struct host *host)
{
    const struct world *world = host->world;
    bool old_epoch =
        world->restored_us != 0 &&
        world->now_us < world->restored_us + OLD_EPOCH_US + STARTUP_SYNC_US;

    if (!is_evacuated(host) && is_propagated(host) && !old_epoch) {
        world_violation(host->world,
                        "RETURNED: agent %u refuses SYNs after its evacuation",
                        host->number);
    }
}
