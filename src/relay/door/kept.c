#include "relay/door/kept.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

int
kept_init(struct kept *kept)
{
    *kept = (struct kept){.free = KEPT_NONE};
    kept->items = calloc(KEPT_MAX, sizeof(*kept->items));
    return kept->items != NULL ? 0 : -ENOMEM;
}

void
kept_finish(struct kept *kept)
{
    free(kept->items);
    kept->items = NULL;
}

static int
place_take(struct kept *kept)
{
    int place = kept->free;

    if (place != KEPT_NONE) {
        kept->free = kept->items[place].next;
        return place;
    }
    return kept->used < KEPT_MAX ? (int)kept->used++ : KEPT_NONE;
}

bool
kept_add(struct kept *kept, int *chain, const struct relay_packet *packet)
{
    unsigned count = 0;
    struct kept_packet *item;
    int *end = chain;
    int place;

    while (*end != KEPT_NONE) {
        item = &kept->items[*end];
        if (item->seq == packet->seq || ++count == KEPT_CHAIN_MAX) {
            return false;
        }
        end = &item->next;
    }
    place = place_take(kept);
    if (place == KEPT_NONE) {
        return false;
    }
    item = &kept->items[place];
    item->next = KEPT_NONE;
    item->seq = packet->seq;
    item->size = (uint16_t)packet->size;
    memcpy(item->bytes, packet->bytes, packet->size);
    *end = place;
    return true;
}

const struct kept_packet *
kept_take(struct kept *kept, int *chain)
{
    struct kept_packet *item;
    int place = *chain;

    if (place == KEPT_NONE) {
        return NULL;
    }
    item = &kept->items[place];
    *chain = item->next;
    item->next = kept->free;
    kept->free = place;
    return item;
}

void
kept_drop(struct kept *kept, int *chain)
{
    while (kept_take(kept, chain) != NULL) {
    }
}
