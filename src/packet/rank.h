/**
 * DOC: rank - which endpoints may own a flow, by rendezvous hashing
 *
 * A flow's hash picks one of RANK_BUCKETS buckets (a constant, so that a
 * join never changes the bucket of a flow); each bucket holds
 * the endpoints with the RANK_DEPTH highest scores hash_pair(member,
 * bucket), best first. No weights: dispatch of requests does the
 * balancing, so a load change never re-ranks a flow.
 */
#ifndef SWIFTARCH_PACKET_RANK_H
#define SWIFTARCH_PACKET_RANK_H

#include <stddef.h>
#include <stdint.h>

#define RANK_DEPTH 6
#define RANK_BUCKETS 4096
#define RANK_NONE UINT16_MAX

/**
 * struct rank - ranks of one service
 * @count: endpoints
 * @members: member id of each endpoint (handle = index)
 * @table: RANK_BUCKETS * RANK_DEPTH handles, RANK_NONE at the end of short
 * rows
 */
struct rank {
    uint16_t count;
    uint64_t *members;
    uint16_t *table;
};

/**
 * rank_init() - build the table
 * @members: ids of the endpoints, in any order (copied)
 * @count: at most 65534
 * @previous: table of earlier members, to rebuild only what changed; or NULL
 *
 * The result depends on the set of members only, never on @previous.
 *
 * Return: 0 or -ENOMEM, -E2BIG.
 */
int
rank_init(struct rank *rank, const uint64_t *members, size_t count,
          const struct rank *previous);

/** rank_finish() - free the table */
void
rank_finish(struct rank *rank);

/** rank_score() - score of a member for a bucket, higher is better */
uint64_t
rank_score(uint64_t member, uint32_t bucket);

/** rank_bucket() - bucket of a flow (top bits of its hash) */
uint32_t
rank_bucket(uint64_t flow_hash);

/** rank_row() - RANK_DEPTH handles for a flow, best first */
const uint16_t *
rank_row(const struct rank *rank, uint64_t flow_hash);

#endif
