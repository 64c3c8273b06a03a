#include "packet/rank.h"

#include <assert.h>
#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define BUCKET_BITS 12
#define MEMBERS_MAX 65534

/* Above one added member in this many a full build is cheaper than a patch. */
#define FULL_REBUILD_RATIO 4

_Static_assert(RANK_BUCKETS == 1 << BUCKET_BITS, "bucket bits");

/**
 * struct row - members of a bucket during a build
 * @count: number of members
 * @scores: scores of the members, best first
 * @handles: indices into rank.members, best first
 */
struct row {
    size_t count;
    uint64_t scores[RANK_DEPTH];
    uint16_t handles[RANK_DEPTH];
};

/**
 * struct change - difference of the members from those of the previous table
 * @new_handles: new handle by previous handle, RANK_NONE if removed
 * @joined: handles of added members
 * @joined_count: number of @joined
 */
struct change {
    uint16_t *new_handles;
    uint16_t *joined;
    size_t joined_count;
};

static int
compare_members(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;
    return (x > y) - (x < y);
}

/* Members are sorted, so ties have the same order in every process. */
static bool
row_before(uint64_t score, uint16_t handle, uint64_t other_score,
           uint16_t other)
{
    return score > other_score || (score == other_score && handle < other);
}

static void
row_insert(struct row *row, uint64_t score, uint16_t handle)
{
    size_t i = row->count;
    if (i == RANK_DEPTH) {
        i--;
        if (!row_before(score, handle, row->scores[i], row->handles[i]))
            return;
    }
    else
        row->count++;

    for (; i > 0; i--) {
        if (!row_before(score, handle, row->scores[i - 1],
                        row->handles[i - 1]))
            break;
        row->scores[i] = row->scores[i - 1];
        row->handles[i] = row->handles[i - 1];
    }
    row->scores[i] = score;
    row->handles[i] = handle;
}

static void
row_store(const struct row *row, uint16_t *out)
{
    for (size_t i = 0; i < RANK_DEPTH; i++)
        out[i] = i < row->count ? row->handles[i] : RANK_NONE;
}

static void
build_row(struct rank *rank, uint32_t bucket)
{
    struct row row = {0};
    for (size_t i = 0; i < rank->count; i++)
        row_insert(&row, rank_score(rank->members[i], bucket), (uint16_t)i);
    row_store(&row, &rank->table[(size_t)bucket * RANK_DEPTH]);
}

/* Computes the scores of a row; called only if a member is added to it. */
static void
row_load(struct row *row, const struct rank *rank, uint32_t bucket,
         const uint16_t *handles, size_t count)
{
    row->count = count;
    for (size_t i = 0; i < count; i++) {
        row->handles[i] = handles[i];
        row->scores[i] = rank_score(rank->members[handles[i]], bucket);
    }
}

static void
merge_joined(struct rank *rank, uint32_t bucket, const struct change *change,
             const uint16_t *handles, size_t count)
{
    uint16_t *out = &rank->table[(size_t)bucket * RANK_DEPTH];
    struct row row = {0};
    bool loaded = false;
    uint64_t last = 0;

    if (count == RANK_DEPTH)
        last = rank_score(rank->members[handles[count - 1]], bucket);
    for (size_t i = 0; i < change->joined_count; i++) {
        uint16_t handle = change->joined[i];
        uint64_t score = rank_score(rank->members[handle], bucket);
        if (!loaded && count == RANK_DEPTH &&
            !row_before(score, handle, last, handles[count - 1]))
            continue;
        if (!loaded)
            row_load(&row, rank, bucket, handles, count);
        loaded = true;
        row_insert(&row, score, handle);
    }

    if (loaded) {
        row_store(&row, out);
        return;
    }
    for (size_t i = 0; i < RANK_DEPTH; i++)
        out[i] = i < count ? handles[i] : RANK_NONE;
}

/*
 * Updates a row of the previous table. A row that lost a member is rebuilt
 * from all members, unless it already contained all of them.
 */
static void
patch_row(struct rank *rank, uint32_t bucket, const struct rank *previous,
          const struct change *change)
{
    const uint16_t *old = &previous->table[(size_t)bucket * RANK_DEPTH];
    uint16_t handles[RANK_DEPTH];
    size_t count = 0;
    bool lost = false;

    for (size_t i = 0; i < RANK_DEPTH && old[i] != RANK_NONE; i++) {
        uint16_t handle = change->new_handles[old[i]];
        if (handle == RANK_NONE)
            lost = true;
        else
            handles[count++] = handle;
    }
    if (lost && previous->count > RANK_DEPTH)
        build_row(rank, bucket);
    else
        merge_joined(rank, bucket, change, handles, count);
}

static int
change_init(struct change *change, const struct rank *rank,
            const struct rank *previous)
{
    change->joined_count = 0;
    change->new_handles =
        calloc((size_t)previous->count + 1, sizeof(uint16_t));
    change->joined = calloc((size_t)rank->count + 1, sizeof(uint16_t));
    if (change->new_handles == NULL || change->joined == NULL) {
        free(change->new_handles);
        free(change->joined);
        return -ENOMEM;
    }

    size_t i = 0;
    size_t j = 0;
    while (i < previous->count || j < rank->count) {
        if (j == rank->count ||
            (i < previous->count && previous->members[i] < rank->members[j]))
            change->new_handles[i++] = RANK_NONE;
        else if (i == previous->count ||
                 rank->members[j] < previous->members[i])
            change->joined[change->joined_count++] = (uint16_t)j++;
        else
            change->new_handles[i++] = (uint16_t)j++;
    }
    return 0;
}

static void
change_finish(struct change *change)
{
    free(change->new_handles);
    free(change->joined);
}

static size_t
sort_unique(uint64_t *members, size_t count)
{
    size_t unique_count = 0;
    if (count > 0)
        qsort(members, count, sizeof(*members), compare_members);
    for (size_t i = 0; i < count; i++)
        if (i == 0 || members[i] != members[unique_count - 1])
            members[unique_count++] = members[i];
    return unique_count;
}

static int
fill_table(struct rank *rank, const struct rank *previous)
{
    struct change change = {0};
    bool patch = false;

    if (previous != NULL) {
        int result = change_init(&change, rank, previous);
        if (result < 0)
            return result;
        patch = change.joined_count * FULL_REBUILD_RATIO <= rank->count;
    }
    for (uint32_t bucket = 0; bucket < RANK_BUCKETS; bucket++) {
        if (patch)
            patch_row(rank, bucket, previous, &change);
        else
            build_row(rank, bucket);
    }
    change_finish(&change);
    return 0;
}

int
rank_init(struct rank *rank, const uint64_t *members, size_t count,
          const struct rank *previous)
{
    int result = -ENOMEM;

    memset(rank, 0, sizeof(*rank));
    if (count > MEMBERS_MAX)
        return -E2BIG;

    rank->members = calloc(count + 1, sizeof(*members));
    rank->table = calloc((size_t)RANK_BUCKETS * RANK_DEPTH, sizeof(uint16_t));
    if (rank->members == NULL || rank->table == NULL)
        goto err;
    if (count > 0)
        memcpy(rank->members, members, count * sizeof(*members));
    rank->count = (uint16_t)sort_unique(rank->members, count);

    result = fill_table(rank, previous);
    if (result < 0)
        goto err;
    return 0;

err:
    rank_finish(rank);
    return result;
}

void
rank_finish(struct rank *rank)
{
    free(rank->members);
    free(rank->table);
    memset(rank, 0, sizeof(*rank));
}

uint64_t
rank_score(uint64_t member, uint32_t bucket)
{
    return hash_pair(member, bucket);
}

uint32_t
rank_bucket(uint64_t flow_hash)
{
    return (uint32_t)(flow_hash >> (64 - BUCKET_BITS));
}

const uint16_t *
rank_row(const struct rank *rank, uint64_t flow_hash)
{
    assert(rank->table != NULL);
    return &rank->table[(size_t)rank_bucket(flow_hash) * RANK_DEPTH];
}
