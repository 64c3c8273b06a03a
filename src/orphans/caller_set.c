#include "orphans/caller_set.h"

#include <errno.h>
#include <stdlib.h>

#include "base/hash.h"

#define SLOTS_INITIAL 16
#define SERVICE_SHIFT 48
#define FLAGS_SHIFT 56

static uint64_t
key_of(struct caller caller)
{
    return (uint64_t)caller.service << SERVICE_SHIFT |
           (uint64_t)caller.addr.ip << 16 | caller.addr.port;
}

static uint64_t
slot_key(uint64_t slot)
{
    return slot & ((UINT64_C(1) << FLAGS_SHIFT) - 1);
}

static size_t
home_slot(const struct caller_set *set, uint64_t key)
{
    return (size_t)hash_pair(key, 0) & (set->allocated - 1);
}

/* The slot of @key, or the free slot to insert it at. */
static size_t
find_slot(const struct caller_set *set, uint64_t key)
{
    size_t at = home_slot(set, key);

    while (set->slots[at] != 0 && slot_key(set->slots[at]) != key) {
        at = (at + 1) & (set->allocated - 1);
    }
    return at;
}

static int
resize(struct caller_set *set, size_t allocated)
{
    struct caller_set other = {.allocated = allocated, .used = set->used};
    size_t i;

    other.slots = calloc(allocated, sizeof(other.slots[0]));
    if (other.slots == NULL) {
        return -ENOMEM;
    }
    for (i = 0; i < set->allocated; i++) {
        if (set->slots[i] != 0) {
            other.slots[find_slot(&other, slot_key(set->slots[i]))] =
                set->slots[i];
        }
    }
    free(set->slots);
    *set = other;
    return 0;
}

/* Makes room for one more member; at most 3/4 of the slots are used. */
static int
reserve_slot(struct caller_set *set)
{
    if (set->allocated == 0) {
        return resize(set, SLOTS_INITIAL);
    }
    if ((set->used + 1) * 4 > set->allocated * 3) {
        return resize(set, set->allocated * 2);
    }
    return 0;
}

void
caller_set_init(struct caller_set *set)
{
    *set = (struct caller_set){0};
}

void
caller_set_finish(struct caller_set *set)
{
    free(set->slots);
    caller_set_init(set);
}

bool
caller_set_flags(const struct caller_set *set, struct caller caller,
                 uint8_t *flags)
{
    uint64_t slot;

    if (set->used == 0) {
        return false;
    }
    slot = set->slots[find_slot(set, key_of(caller))];
    if (slot == 0) {
        return false;
    }
    if (flags != NULL) {
        *flags = (uint8_t)(slot >> FLAGS_SHIFT);
    }
    return true;
}

int
caller_set_put(struct caller_set *set, struct caller caller, uint8_t flags)
{
    uint64_t key = key_of(caller);
    size_t at;
    int ret;

    if (caller.addr.ip == 0 && caller.addr.port == 0) {
        return -EINVAL;
    }
    if (!caller_set_flags(set, caller, NULL)) {
        ret = reserve_slot(set);
        if (ret < 0) {
            return ret;
        }
        set->used++;
    }
    at = find_slot(set, key);
    set->slots[at] = key | (uint64_t)flags << FLAGS_SHIFT;
    return 0;
}

/* Whether a member with home slot @home must not move from @at to @hole. */
static bool
must_stay(size_t home, size_t hole, size_t at)
{
    if (hole <= at) {
        return hole < home && home <= at;
    }
    return hole < home || home <= at;
}

/* Frees slot @hole and moves later members of its probe sequence back. */
static void
close_hole(struct caller_set *set, size_t hole)
{
    size_t at = hole;

    for (;;) {
        set->slots[hole] = 0;
        do {
            at = (at + 1) & (set->allocated - 1);
            if (set->slots[at] == 0) {
                return;
            }
        } while (
            must_stay(home_slot(set, slot_key(set->slots[at])), hole, at));
        set->slots[hole] = set->slots[at];
        hole = at;
    }
}

void
caller_set_remove(struct caller_set *set, struct caller caller)
{
    size_t at;

    if (set->used == 0) {
        return;
    }
    at = find_slot(set, key_of(caller));
    if (set->slots[at] == 0) {
        return;
    }
    close_hole(set, at);
    set->used--;
    if (set->used == 0) {
        caller_set_finish(set);
    }
    else if (set->allocated > SLOTS_INITIAL &&
             set->used * 8 < set->allocated) {
        /* On failure the table stays larger than needed. */
        (void)resize(set, set->allocated / 2);
    }
}

bool
caller_set_next(const struct caller_set *set, size_t *cursor,
                struct caller *caller)
{
    for (; *cursor < set->allocated; (*cursor)++) {
        uint64_t key = slot_key(set->slots[*cursor]);

        if (key != 0) {
            caller->addr = (struct addr){(uint32_t)(key >> 16), (uint16_t)key};
            caller->service = (uint8_t)(key >> SERVICE_SHIFT);
            (*cursor)++;
            return true;
        }
    }
    return false;
}
