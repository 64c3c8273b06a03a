/**
 * DOC: delay - packets under way, in the order in which they are due
 *
 * Packets to one destination keep their order, but for those that are put
 * in with @overtaken.
 */
#ifndef SWIFTARCH_STANDIN_FABRIC_DELAY_H
#define SWIFTARCH_STANDIN_FABRIC_DELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"

#define DELAY_PACKETS_MAX 65536

struct delay;

/**
 * struct delay_packet - one packet under way
 * @due_us: when it is to be sent
 * @order: number of its being put in
 * @to: destination
 * @len: its length
 * @bytes: what is sent
 */
struct delay_packet {
    uint64_t due_us;
    uint64_t order;
    struct addr to;
    size_t len;
    uint8_t bytes[];
};

/** delay_new() - an empty queue */
struct delay *
delay_new(void);

/** delay_free() - free it and what is in it */
void
delay_free(struct delay *delay);

/**
 * delay_put() - put a copy of a packet in
 * @due_us: when it is due; later if an earlier one to @to is
 * @overtaken: later packets may go before it
 *
 * Return: 0 or -ENOBUFS when DELAY_PACKETS_MAX are under way.
 */
int
delay_put(struct delay *delay, const uint8_t *bytes, size_t len,
          struct addr to, uint64_t due_us, bool overtaken);

/** delay_take() - next packet due at @now_us (g_free() it), or NULL */
struct delay_packet *
delay_take(struct delay *delay, uint64_t now_us);

/** delay_next_us() - when the next one is due, UINT64_MAX for never */
uint64_t
delay_next_us(const struct delay *delay);

#endif
