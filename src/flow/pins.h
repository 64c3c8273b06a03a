/**
 * DOC: pins - members that registered as owners of flows in a bucket
 *
 * The number of pins is bounded for each bucket and in total. A pin expires
 * unless it is refreshed.
 */
#ifndef SWIFTARCH_FLOW_PINS_H
#define SWIFTARCH_FLOW_PINS_H

#include <stddef.h>
#include <stdint.h>

#define PINS_MAX 16384
#define PINS_PER_BUCKET 15
#define PINS_NONE UINT32_MAX

struct pin_entry;

/**
 * struct pins - pins by bucket
 * @heads: first pin of each of RANK_BUCKETS buckets
 * @items: @allocated pins, grown up to PINS_MAX
 * @used: number of pins
 * @free: first unused pin
 */
struct pins {
    uint32_t *heads;
    struct pin_entry *items;
    size_t allocated;
    size_t used;
    uint32_t free;
};

/** pins_init() - create an empty set; returns 0 or -ENOMEM */
int
pins_init(struct pins *pins);

/** pins_finish() - free the set's memory */
void
pins_finish(struct pins *pins);

/** pins_add() - add or refresh a pin; returns 0, -ENOSPC or -ENOMEM */
int
pins_add(struct pins *pins, uint32_t bucket, uint64_t owner,
         uint64_t expires_us);

/** pins_owners() - write the owners registered for a bucket; returns their
 * count, at most PINS_PER_BUCKET */
size_t
pins_owners(const struct pins *pins, uint32_t bucket, uint64_t now_us,
            uint64_t *owners);

/** pins_expire() - remove expired pins */
void
pins_expire(struct pins *pins, uint64_t now_us);

#endif
