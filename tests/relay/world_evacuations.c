#include "relay/world_private.h"

#include "base/clock.h"

/* Balancers that read the store's latest: the others are told by agents. */
#define READERS 2

static unsigned
number_of(const struct host *host)
{
    return host->number / (WORLD_AGENTS / WORLD_DATA_CENTRES);
}

/* Data centres matter only where they are evacuated: without that, all hosts
 * stand in one. */
const char *
world_data_centre(const struct world *world, const struct host *host)
{
    static const char *const names[] = {"here", "east", "west"};

    return world->plan->evacuate > 0 ? names[number_of(host)] : "here";
}

static uint32_t
key_of(const struct world *world, unsigned data_centre)
{
    const struct host *host =
        &world->hosts[data_centre * (WORLD_AGENTS / WORLD_DATA_CENTRES)];

    return evacuations_key(world_data_centre(world, host));
}

static void
take_back(struct evacuations *evacuations, uint32_t key)
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
world_evacuations_soon(struct front *front)
{
    if (front->number < READERS) {
        front->evacuations_us = front->world->now_us +
                                (uint64_t)g_rand_int_range(
                                    front->world->evacuations_rand, 0, 500) *
                                    USEC_PER_MSEC;
    }
}

void
world_evacuations_read(struct front *front)
{
    front->evacuations_us = 0;
    forwarder_evacuations(&front->forwarder, &front->world->evacuations, true,
                          front->world->now_us);
}

/* Operators have written to the store. */
static void
note_written(struct world *world)
{
    world->evacuations.revision += 2;
    for (unsigned i = 0; i < WORLD_BALANCERS; i++) {
        world_evacuations_soon(&world->fronts[i]);
    }
}

void
world_evacuate(struct world *world)
{
    unsigned number = (unsigned)g_rand_int_range(world->evacuations_rand, 0,
                                                 WORLD_DATA_CENTRES);
    struct evacuations *wanted = &world->wanted;
    uint32_t key = key_of(world, number);

    if (evacuations_contains(wanted, key)) {
        take_back(wanted, key);
        take_back(&world->evacuations, key);
    }
    else if (wanted->count < world->plan->evacuated_most) {
        evacuations_add(wanted, key);
        evacuations_add(&world->evacuations, key);
    }
    else {
        return;
    }
    world->evacuated_us[number] = world->now_us;
    note_written(world);
}

void
world_store_copy(struct world *world)
{
    world->copy = world->evacuations;
}

static uint64_t
soon_us(struct world *world)
{
    return world->now_us + (uint64_t)g_rand_int_range(world->evacuations_rand,
                                                      REWRITE_LEAST_MS,
                                                      REWRITE_MOST_MS) *
                               USEC_PER_MSEC;
}

void
world_store_older(struct world *world)
{
    uint32_t epoch = world->evacuations.epoch + 1;

    world->evacuations = world->copy;
    world->evacuations.epoch = epoch;
    if (world->rewrite_us == 0 &&
        world->now_us >= world->rewritten_us + EVACUATED_US) {
        world->lost_us = world->now_us;
    }
    world->older_us = world->now_us;
    world->rewrite_us = soon_us(world);
    for (unsigned i = 0; i < WORLD_BALANCERS; i++) {
        world_evacuations_soon(&world->fronts[i]);
    }
    for (unsigned i = 0; i < WORLD_AGENTS; i++) {
        struct host *host = &world->hosts[i];

        if (g_rand_boolean(world->evacuations_rand)) {
            host->lost_until_us = soon_us(world);
            world_list_changed(host);
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
        world->rewritten_us = world->now_us;
        world->evacuations = world->wanted;
        world->evacuations.epoch = epoch;
        world->evacuations.revision = revision;
        note_written(world);
    }
    for (unsigned i = 0; i < WORLD_AGENTS; i++) {
        struct host *host = &world->hosts[i];

        if (host->lost_until_us != 0 && world->now_us >= host->lost_until_us) {
            host->lost_until_us = 0;
            world_list_changed(host);
        }
    }
}

/* Whether some host may not know of an evacuation that the store has lost: one
 * that has started since, or any, if it was written just before that. */
static bool
may_not_know(const struct host *host)
{
    const struct world *world = host->world;
    uint64_t told_us = world->evacuated_us[number_of(host)] + EVACUATED_US;
    bool rewritten = world->rewrite_us == 0 &&
                     world->now_us >= world->rewritten_us + EVACUATED_US;
    bool unheard =
        host->fault_us >= world->lost_us || told_us >= world->lost_us;

    for (unsigned i = 0; i < WORLD_BALANCERS; i++) {
        unheard |= world->fronts[i].fault_us >= world->lost_us;
    }
    return world->lost_us != 0 && unheard && !rewritten;
}

/* Whether all hosts should know by now what was done last to a host's data
 * centre. */
static bool
is_settled(const struct host *host)
{
    const struct world *world = host->world;

    for (unsigned i = 0; i < WORLD_BALANCERS; i++) {
        if (world->now_us < world->fronts[i].fault_us + HEARD_US) {
            return false;
        }
    }
    return world->now_us >= host->fault_us + HEARD_US &&
           world->now_us >=
               world->evacuated_us[number_of(host)] + EVACUATED_US;
}

static bool
is_evacuated(const struct host *host)
{
    return evacuations_contains(&host->world->wanted,
                                key_of(host->world, number_of(host)));
}

void
world_check_offer(struct host *host)
{
    if (host->world->plan->evacuate > 0 && is_evacuated(host) &&
        is_settled(host) && !may_not_know(host)) {
        world_breach(host->world, "EVACUATED: a SYN goes to endpoint %u",
                     host->number);
    }
}

void
world_check_evacuated(struct host *host)
{
    const struct world *world = host->world;
    bool kept = world->older_us != 0 &&
                world->now_us < world->older_us + EARLIER_US + HEARD_US;

    if (!is_evacuated(host) && is_settled(host) && !kept) {
        world_breach(host->world, "RETURNED: agent %u still refuses SYNs",
                     host->number);
    }
}
