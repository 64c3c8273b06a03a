#include "standin/fabric/delay.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

/**
 * struct delay - the queue
 * @packets: by time, then by order
 * @last: latest due time for each destination
 * @next_order: number for the next packet
 */
struct delay {
    GSequence *packets;
    GHashTable *last;
    uint64_t next_order;
};

static void
free_packet(gpointer packet, gpointer data)
{
    g_free(packet);
}

static gint
compare_packets(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct delay_packet *x = a;
    const struct delay_packet *y = b;

    if (x->due_us != y->due_us)
        return x->due_us < y->due_us ? -1 : 1;
    return x->order < y->order ? -1 : x->order > y->order;
}

/* Due time kept for a destination, which is made if need be */
static uint64_t *
last_due(struct delay *delay, struct addr to)
{
    gint64 key = (gint64)((uint64_t)to.ip << 16 | to.port);
    uint64_t *due = g_hash_table_lookup(delay->last, &key);

    if (due == NULL) {
        due = g_new0(uint64_t, 1);
        g_hash_table_insert(delay->last, g_memdup2(&key, sizeof(key)), due);
    }
    return due;
}

struct delay *
delay_new(void)
{
    struct delay *delay = g_new0(struct delay, 1);

    delay->packets = g_sequence_new(NULL);
    delay->last =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return delay;
}

void
delay_free(struct delay *delay)
{
    g_sequence_foreach(delay->packets, free_packet, NULL);
    g_sequence_free(delay->packets);
    g_hash_table_destroy(delay->last);
    g_free(delay);
}

int
delay_put(struct delay *delay, const uint8_t *bytes, size_t len,
          struct addr to, uint64_t due_us, bool overtaken)
{
    struct delay_packet *packet;

    if (g_sequence_get_length(delay->packets) >= DELAY_PACKETS_MAX)
        return -ENOBUFS;
    if (!overtaken) {
        uint64_t *last = last_due(delay, to);
        due_us = MAX(due_us, *last);
        *last = due_us;
    }
    packet = g_malloc(sizeof(*packet) + len);
    packet->due_us = due_us;
    packet->order = delay->next_order++;
    packet->to = to;
    packet->len = len;
    memcpy(packet->bytes, bytes, len);
    g_sequence_insert_sorted(delay->packets, packet, compare_packets, NULL);
    return 0;
}

struct delay_packet *
delay_take(struct delay *delay, uint64_t now_us)
{
    GSequenceIter *first = g_sequence_get_begin_iter(delay->packets);
    struct delay_packet *packet;

    if (g_sequence_iter_is_end(first))
        return NULL;
    packet = g_sequence_get(first);
    if (packet->due_us > now_us)
        return NULL;

    g_sequence_remove(first);
    return packet;
}

uint64_t
delay_next_us(const struct delay *delay)
{
    GSequenceIter *first = g_sequence_get_begin_iter(delay->packets);

    if (g_sequence_iter_is_end(first))
        return UINT64_MAX;
    return ((const struct delay_packet *)g_sequence_get(first))->due_us;
}
