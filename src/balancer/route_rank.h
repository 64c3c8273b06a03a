/**
 * DOC: route_rank - reference-counted ranks shared by route tables
 *
 * The counts are not atomic: only the thread that builds tables uses them.
 */
#ifndef SWIFTARCH_BALANCER_ROUTE_RANK_H
#define SWIFTARCH_BALANCER_ROUTE_RANK_H

#include <stddef.h>
#include <stdint.h>

#include "packet/rank.h"

/**
 * struct route_rank - a rank and its reference count
 * @rank: immutable rank
 * @refs: number of references
 */
struct route_rank {
    struct rank rank;
    unsigned refs;
};

/**
 * route_rank_new() - create a rank or share an equal one
 * @members: sorted, distinct member ids
 * @count: number of members
 * @previous: rank to share if its members are equal, else to build upon; or
 *            NULL
 * @result: set to the rank, with one reference for the caller
 *
 * Return: 0, -ENOMEM, or -E2BIG for too many members.
 */
int
route_rank_new(const uint64_t *members, size_t count,
               struct route_rank *previous, struct route_rank **result);

/** route_rank_ref() - add a reference */
struct route_rank *
route_rank_ref(struct route_rank *rank);

/** route_rank_unref() - drop a reference and free with the last; NULL is
 * allowed */
void
route_rank_unref(struct route_rank *rank);

/** route_rank_bytes() - memory of a rank in bytes; 0 for NULL */
size_t
route_rank_bytes(const struct route_rank *rank);

#endif
