/**
 * DOC: caller_set - callers of flows, eight bytes each
 *
 * A hash table with open addressing. A slot holds the caller's address (48
 * bits), the index of the service's address (8 bits) and some flags (8
 * bits), and is 0 when free, for which reason a caller with address 0 and
 * port 0 can't be a member. It grows by doubling and shrinks when emptied.
 */
#ifndef SWIFTARCH_ORPHANS_CALLER_SET_H
#define SWIFTARCH_ORPHANS_CALLER_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"

/**
 * struct caller - the caller of a flow
 * @addr: its address
 * @service: index of the address that it service_addrs, see
 * notice/service_addrs.h
 */
struct caller {
    struct addr addr;
    uint8_t service;
};

/**
 * struct caller_set - the table
 * @slots: @allocated slots, a power of two, or NULL
 * @used: members
 */
struct caller_set {
    uint64_t *slots;
    size_t allocated;
    size_t used;
};

/** caller_set_init() - an empty set; holds no memory yet */
void
caller_set_init(struct caller_set *set);

/** caller_set_finish() - free it; it is empty afterwards */
void
caller_set_finish(struct caller_set *set);

/** caller_set_flags() - flags of a member; false when it is none. @flags may
 * be NULL */
bool
caller_set_flags(const struct caller_set *set, struct caller caller,
                 uint8_t *flags);

/** caller_set_put() - add a member or change its flags; 0, -ENOMEM, or
 * -EINVAL for address 0 port 0 */
int
caller_set_put(struct caller_set *set, struct caller caller, uint8_t flags);

/** caller_set_remove() - take a member out, if it is one */
void
caller_set_remove(struct caller_set *set, struct caller caller);

/**
 * caller_set_next() - the member at or after slot *@cursor
 *
 * Return: false at the end; otherwise *@cursor is the slot to go on with.
 * A change of the set between two calls may repeat or skip members.
 */
bool
caller_set_next(const struct caller_set *set, size_t *cursor,
                struct caller *caller);

#endif
