/**
 * DOC: rank - table of candidate endpoints of a flow, by rendezvous hashing
 *
 * A flow's hash selects one of RANK_BUCKETS buckets; the number is constant,
 * so that a new endpoint never changes the bucket of a flow. Each bucket has
 * the endpoints with the RANK_DEPTH highest scores hash_pair(member, bucket),
 * best first. Scores have no weights, so load never changes the order; load
 * is balanced by the dispatch of requests.
 */
#ifndef SWIFTARCH_PACKET_RANK_H
#define SWIFTARCH_PACKET_RANK_H

#include <stddef.h>
#include <stdint.h>

#define RANK_DEPTH 6 /* endpoints per bucket */
#define RANK_BUCKETS 4096
#define RANK_NONE UINT16_MAX /* no handle */

/**
 * struct rank - table of one service
 * @count: number of endpoints
 * @members: member ids in ascending order; a handle is an index into them
 * @table: RANK_BUCKETS rows of RANK_DEPTH handles, best first, short rows
 *         filled up with RANK_NONE
 */
struct rank {
    uint16_t count;
    uint64_t *members;
    uint16_t *table;
};

/**
 * rank_init() - build a table
 * @members: member ids of the endpoints in any order; copied, duplicates are
 *           removed
 * @count: number of @members, at most 65534
 * @previous: earlier table, whose unchanged rows are reused, or NULL; the
 *            result doesn't depend on it
 *
 * Return: 0, -ENOMEM or -E2BIG.
 */
int
rank_init(struct rank *rank, const uint64_t *members, size_t count,
          const struct rank *previous);

/** rank_finish() - free the table */
void
rank_finish(struct rank *rank);

/** rank_score() - score of a member in a bucket; higher is better */
uint64_t
rank_score(uint64_t member, uint32_t bucket);

/** rank_bucket() - bucket of a flow, the top bits of its hash */
uint32_t
rank_bucket(uint64_t flow_hash);

/** rank_row() - RANK_DEPTH handles of a flow's bucket, best first */
const uint16_t *
rank_row(const struct rank *rank, uint64_t flow_hash);

#endif
