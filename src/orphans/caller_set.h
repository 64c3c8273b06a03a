/**
 * DOC: caller_set - set of the callers of flows, eight bytes each
 *
 * A hash table with open addressing. A slot holds the caller's address (48
 * bits), the index of the service's address (8 bits) and some flags (8
 * bits), and is 0 when free; a caller with address 0 and port 0 cannot be a
 * member. The table grows by doubling and shrinks when members are removed.
 */
#ifndef SWIFTARCH_ORPHANS_CALLER_SET_H
#define SWIFTARCH_ORPHANS_CALLER_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"

/**
 * struct caller - the caller of a flow
 * @addr: address of the caller
 * @service: index of the address it has called, see orphans/service_addrs.h
 */
struct caller {
    struct addr addr;
    uint8_t service;
};

/**
 * struct caller_set - hash table of callers
 * @slots: @allocated slots, a power of two, or NULL
 * @used: number of members
 */
struct caller_set {
    uint64_t *slots;
    size_t allocated;
    size_t used;
};

/** caller_set_init() - create an empty set; allocates nothing */
void
caller_set_init(struct caller_set *set);

/** caller_set_finish() - remove all members and free the memory */
void
caller_set_finish(struct caller_set *set);

/** caller_set_flags() - get the flags of a member; false when @caller is none.
 * @flags may be NULL */
bool
caller_set_flags(const struct caller_set *set, struct caller caller,
                 uint8_t *flags);

/** caller_set_put() - add a member or change its flags; returns 0, -ENOMEM, or
 * -EINVAL for address 0 port 0 */
int
caller_set_put(struct caller_set *set, struct caller caller, uint8_t flags);

/** caller_set_remove() - remove @caller if it is a member */
void
caller_set_remove(struct caller_set *set, struct caller caller);

/**
 * caller_set_next() - get the first member at or after slot *@cursor
 *
 * Members may be repeated or skipped if the set changes between two calls.
 *
 * Return: false at the end; otherwise *@cursor is the slot to continue at.
 */
bool
caller_set_next(const struct caller_set *set, size_t *cursor,
                struct caller *caller);

#endif
