#include "balancer/route_rank.h"

#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

int
route_rank_new(const uint64_t *members, size_t count,
               struct route_rank *previous, struct route_rank **result)
{
    if (previous != NULL && previous->rank.count == count &&
        memcmp(previous->rank.members, members, count * sizeof(*members)) ==
            0) {
        *result = route_rank_ref(previous);
        return 0;
    }

    struct route_rank *rank = calloc(1, sizeof(*rank));
    if (rank == NULL)
        return -ENOMEM;

    int code = rank_init(&rank->rank, members, count,
                         previous != NULL ? &previous->rank : NULL);
    if (code < 0) {
        free(rank);
        return code;
    }
    assert(rank->rank.count == count);
    rank->refs = 1;
    *result = rank;
    return 0;
}

struct route_rank *
route_rank_ref(struct route_rank *rank)
{
    rank->refs++;
    return rank;
}

void
route_rank_unref(struct route_rank *rank)
{
    if (rank == NULL || --rank->refs > 0)
        return;
    rank_finish(&rank->rank);
    free(rank);
}

size_t
route_rank_bytes(const struct route_rank *rank)
{
    if (rank == NULL)
        return 0;
    return sizeof(*rank) + rank->rank.count * sizeof(*rank->rank.members) +
           (size_t)RANK_BUCKETS * RANK_DEPTH * sizeof(*rank->rank.table);
}
