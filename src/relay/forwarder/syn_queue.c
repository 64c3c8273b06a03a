#include "relay/forwarder/syn_queue.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

/* The caller's next copy arrives by then, or the request misses its target. */
#define SYN_MAX_AGE_US (400 * USEC_PER_MSEC)

static bool
same_flow(const struct relay_packet *a, const struct relay_packet *b)
{
    return relay_flow_equal(relay_flow_from_caller(a),
                            relay_flow_from_caller(b));
}

/* Moves an item out of the queue. */
static void
dequeue(struct syn_queue *queue, unsigned at, struct relay_packet *packet)
{
    queue->taken = queue->items[at];
    queue->items[at] = queue->items[--queue->count];
    *packet = queue->taken.packet;
    packet->bytes = queue->taken.bytes;
}

static bool
is_expired(const struct syn_queued *item, uint64_t now_us)
{
    uint64_t caller_timeout_us =
        item->packet.caller_timeout_ms * USEC_PER_MSEC;

    return now_us - item->since_us >= MIN(caller_timeout_us, SYN_MAX_AGE_US);
}

static uint64_t
age_us(const struct syn_queued *item, uint64_t now_us)
{
    return now_us - item->since_us + item->packet.age_ms * USEC_PER_MSEC;
}

/* Index for a SYN: that of an earlier copy, or the end. */
static unsigned
index_for(const struct syn_queue *queue, const struct relay_packet *packet)
{
    unsigned at = 0;

    while (at < queue->count && !same_flow(&queue->items[at].packet, packet)) {
        at++;
    }
    return at;
}

bool
syn_queue_put(struct syn_queue *queue, const struct relay_packet *packet,
              uint64_t now_us)
{
    unsigned at = index_for(queue, packet);

    if (at == SYN_QUEUE_MAX || packet->size > SYN_QUEUE_BYTES) {
        return false;
    }
    queue->items[at] = (struct syn_queued){*packet, now_us, {0}};
    memcpy(queue->items[at].bytes, packet->bytes, packet->size);
    if (at == queue->count) {
        queue->count++;
    }
    return true;
}

bool
syn_queue_take_expired(struct syn_queue *queue, uint64_t now_us,
                       struct relay_packet *packet)
{
    for (unsigned i = 0; i < queue->count; i++) {
        if (is_expired(&queue->items[i], now_us)) {
            dequeue(queue, i, packet);
            return true;
        }
    }
    return false;
}

bool
syn_queue_take(struct syn_queue *queue, uint64_t now_us,
               struct relay_packet *packet)
{
    unsigned youngest = 0;
    uint64_t waited_ms;

    if (queue->count == 0) {
        return false;
    }
    for (unsigned i = 1; i < queue->count; i++) {
        if (age_us(&queue->items[i], now_us) <
            age_us(&queue->items[youngest], now_us)) {
            youngest = i;
        }
    }
    dequeue(queue, youngest, packet);
    waited_ms = (now_us - queue->taken.since_us) / USEC_PER_MSEC;
    packet->age_ms = (uint16_t)(packet->age_ms + waited_ms);
    packet->caller_timeout_ms =
        (uint16_t)(packet->caller_timeout_ms - waited_ms);
    return true;
}
