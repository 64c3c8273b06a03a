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
    steer_evacuations(&front->steer, &front->world->evacuations, true,
                      front->world->now_us);
}

void
world_evacuate(struct world *world)
{
    unsigned number = (unsigned)g_rand_int_range(world->evacuations_rand, 0,
                                                 WORLD_DATA_CENTRES);
    struct evacuations *evacuations = &world->evacuations;
    uint32_t key = key_of(world, number);

    if (evacuations_has(evacuations, key)) {
        take_back(evacuations, key);
    }
    else if (evacuations->count < world->plan->evacuated_most) {
        evacuations_add(evacuations, key);
    }
    else {
        return;
    }
    evacuations->revision += 2;
    world->evacuated_us[number] = world->now_us;
    for (unsigned i = 0; i < WORLD_BALANCERS; i++) {
        world_evacuations_soon(&world->fronts[i]);
    }
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
    return evacuations_has(&host->world->evacuations,
                           key_of(host->world, number_of(host)));
}

void
world_check_offer(struct host *host)
{
    if (host->world->plan->evacuate > 0 && is_evacuated(host) &&
        is_settled(host)) {
        world_breach(host->world, "EVACUATED: a SYN goes to endpoint %u",
                     host->number);
    }
}

void
world_check_evacuated(struct host *host)
{
    if (!is_evacuated(host) && is_settled(host)) {
        world_breach(host->world, "RETURNED: agent %u still refuses SYNs",
                     host->number);
    }
}
