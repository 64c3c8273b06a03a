/**
 * DOC: route_rank - ranks that route tables share
 *
 * Counted references, taken and dropped by the thread that builds tables.
 */
#ifndef SWIFTARCH_BALANCER_ROUTE_RANK_H
#define SWIFTARCH_BALANCER_ROUTE_RANK_H

#include <stddef.h>
#include <stdint.h>

#include "packet/rank.h"

/**
 * struct route_rank - a rank and how many tables use it
 * @rank: the rank, never changed
 * @refs: references
 */
struct route_rank {
    struct rank rank;
    unsigned refs;
};

/**
 * route_rank_new() - a rank of @members, which are sorted and distinct
 * @previous: an earlier rank: shared when its members are the same, else
 *            patched; or NULL
 * @result: holds one reference
 *
 * Return: 0, -ENOMEM or -E2BIG.
 */
int
route_rank_new(const uint64_t *members, size_t count,
               struct route_rank *previous, struct route_rank **result);

/** route_rank_ref() - one more reference */
struct route_rank *
route_rank_ref(struct route_rank *rank);

/** route_rank_unref() - drop a reference; frees with the last; NULL is fine */
void
route_rank_unref(struct route_rank *rank);

/** route_rank_bytes() - memory held by a rank; 0 for NULL */
size_t
route_rank_bytes(const struct route_rank *rank);

#endif
