/* Network: delays, orders and loses messages; addresses of all components. */
#include "relay/world_private.h"

#include <string.h>

#include "base/clock.h"
#include "base/container.h"
#include "base/hash.h"

const char *const world_services[WORLD_SERVICES] = {"lots", "albums"};

bool
world_chance(struct world *world, unsigned in_1000)
{
    return g_rand_int_range(world->rand, 0, 1000) < (gint32)in_1000;
}

void
world_violation(struct world *world, const char *fmt, ...)
{
    char text[200];
    va_list args;

    if (world->result->violation[0] != '\0') {
        return;
    }
    va_start(args, fmt);
    g_vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    g_snprintf(world->result->violation, sizeof(world->result->violation),
               "at %" G_GUINT64_FORMAT " us: %s", world->now_us, text);
}

bool
world_is_partitioned(const struct host *host, bool to_host)
{
    return host->partitioned_until_us > host->world->now_us &&
           (to_host ? host->drops_to : host->drops_from);
}

struct relay_packet
world_packet_of(const uint8_t *bytes)
{
    struct sim_packet sim_packet;

    memcpy(&sim_packet, bytes, sizeof(sim_packet));
    sim_packet.head.bytes = bytes;
    sim_packet.head.size = sizeof(sim_packet);
    return sim_packet.head;
}

unsigned
world_caller_of(const uint8_t *bytes)
{
    struct sim_packet sim_packet;

    memcpy(&sim_packet, bytes, sizeof(sim_packet));
    return sim_packet.caller;
}

static gint
compare_arrival(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct message *left = a;
    const struct message *right = b;

    if (left->due_us != right->due_us) {
        return left->due_us < right->due_us ? -1 : 1;
    }
    return left->order < right->order ? -1 : 1;
}

static void
enqueue(struct world *world, enum target target, unsigned number,
        const void *bytes, size_t size, uint64_t due_us)
{
    struct message *message = g_new(struct message, 1);

    message->due_us = due_us;
    message->order = world->order++;
    message->target = target;
    message->number = number;
    message->size = size;
    memcpy(message->bytes, bytes, size);
    g_sequence_insert_sorted(world->messages, message, compare_arrival, NULL);
}

/* Arrival time of a datagram sent now, 0 if it is lost. */
static uint64_t
arrival_us(struct world *world, GRand *rand)
{
    uint64_t delay_us = 100 + (uint64_t)g_rand_int_range(rand, 0, 2000);
    bool lost = g_rand_int_range(rand, 0, 1000) < (gint32)world->plan->loss;

    return lost ? 0 : world->now_us + delay_us;
}

void
world_post(struct world *world, enum target target, unsigned number,
           const void *bytes, size_t size, bool local)
{
    uint64_t due_us = local ? world->now_us + LOCAL_DELAY_US
                            : arrival_us(world, world->rand);

    if (due_us != 0) {
        enqueue(world, target, number, bytes, size, due_us);
    }
}

void
world_post_delayed(struct world *world, enum target target, unsigned number,
                   const void *bytes, size_t size, uint64_t earliest_us)
{
    uint64_t due_us = arrival_us(world, world->rand);

    if (due_us != 0) {
        enqueue(world, target, number, bytes, size, MAX(due_us, earliest_us));
    }
}

void
world_post_query(struct world *world, enum target target, unsigned number,
                 const void *bytes, size_t size, uint64_t earliest_us)
{
    uint64_t due_us = arrival_us(world, world->query_rand);

    if (due_us != 0) {
        enqueue(world, target, number, bytes, size, MAX(due_us, earliest_us));
    }
}

void
world_post_packet(struct world *world, enum target target, unsigned number,
                  unsigned caller, struct relay_packet head, bool local)
{
    struct sim_packet sim_packet;

    memset(&sim_packet, 0, sizeof(sim_packet));
    sim_packet.head = head;
    sim_packet.head.bytes = NULL;
    sim_packet.caller = caller;
    world_post(world, target, number, &sim_packet, sizeof(sim_packet), local);
}

struct addr
world_host_addr(unsigned number)
{
    return (struct addr){0x0a000001 + number, 7000};
}

struct addr
world_balancer_addr(unsigned number)
{
    return (struct addr){0x0a090001 + number, 7720};
}
