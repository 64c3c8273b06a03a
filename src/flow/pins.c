#include "flow/pins.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "packet/rank.h"

#define PINS_INITIAL 64

/**
 * struct pin_entry - one pin
 * @owner: member id
 * @expires_us: time of expiry
 * @next: next pin of the same bucket, or next unused pin
 */
struct pin_entry {
    uint64_t owner;
    uint64_t expires_us;
    uint32_t next;
};

int
pins_init(struct pins *pins)
{
    memset(pins, 0, sizeof(*pins));
    pins->free = PINS_NONE;
    pins->heads = malloc(RANK_BUCKETS * sizeof(*pins->heads));
    if (pins->heads == NULL) {
        return -ENOMEM;
    }
    memset(pins->heads, 0xff, RANK_BUCKETS * sizeof(*pins->heads));
    return 0;
}

void
pins_finish(struct pins *pins)
{
    free(pins->heads);
    free(pins->items);
    memset(pins, 0, sizeof(*pins));
}

static int
pins_grow(struct pins *pins)
{
    size_t allocated =
        pins->allocated == 0 ? PINS_INITIAL : 2 * pins->allocated;
    struct pin_entry *items;
    size_t i;

    if (allocated > PINS_MAX) {
        return -ENOSPC;
    }
    items = realloc(pins->items, allocated * sizeof(*items));
    if (items == NULL) {
        return -ENOMEM;
    }
    pins->items = items;
    for (i = pins->allocated; i < allocated; i++) {
        items[i].next = pins->free;
        pins->free = (uint32_t)i;
    }
    pins->allocated = allocated;
    return 0;
}

int
pins_add(struct pins *pins, uint32_t bucket, uint64_t owner,
         uint64_t expires_us)
{
    struct pin_entry *pin;
    size_t count = 0;
    uint32_t at;
    int rc;

    for (at = pins->heads[bucket]; at != PINS_NONE; at = pin->next) {
        pin = &pins->items[at];
        if (pin->owner == owner) {
            pin->expires_us = expires_us;
            return 0;
        }
        count++;
    }
    if (count == PINS_PER_BUCKET) {
        return -ENOSPC;
    }
    if (pins->free == PINS_NONE) {
        rc = pins_grow(pins);
        if (rc < 0) {
            return rc;
        }
    }
    at = pins->free;
    pin = &pins->items[at];
    pins->free = pin->next;
    pin->owner = owner;
    pin->expires_us = expires_us;
    pin->next = pins->heads[bucket];
    pins->heads[bucket] = at;
    pins->used++;
    return 0;
}

size_t
pins_owners(const struct pins *pins, uint32_t bucket, uint64_t now_us,
            uint64_t *owners)
{
    const struct pin_entry *pin;
    size_t count = 0;
    uint32_t at;

    for (at = pins->heads[bucket]; at != PINS_NONE; at = pin->next) {
        pin = &pins->items[at];
        if (pin->expires_us > now_us) {
            owners[count++] = pin->owner;
        }
    }
    return count;
}

static void
expire_bucket(struct pins *pins, uint32_t *at, uint64_t now_us)
{
    while (*at != PINS_NONE) {
        struct pin_entry *pin = &pins->items[*at];
        uint32_t index = *at;

        if (pin->expires_us > now_us) {
            at = &pin->next;
            continue;
        }
        *at = pin->next;
        pin->next = pins->free;
        pins->free = index;
        pins->used--;
    }
}

void
pins_expire(struct pins *pins, uint64_t now_us)
{
    uint32_t bucket;

    for (bucket = 0; pins->used > 0 && bucket < RANK_BUCKETS; bucket++) {
        expire_bucket(pins, &pins->heads[bucket], now_us);
    }
}
