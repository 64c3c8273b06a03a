/**
 * DOC: rank_test - order of candidates and minimal changes of the table
 */
#include <errno.h>
#include <string.h>

#include "base/hash.h"
#include "packet/rank.h"
#include "lib/harness.h"

#define SUITE "/rank"
#define ROUNDS 60

static uint64_t
random_id(void)
{
    return (uint64_t)(uint32_t)g_test_rand_int() << 32 |
           (uint32_t)g_test_rand_int();
}

static void
shuffle(uint64_t *ids, size_t count)
{
    for (size_t i = count; i > 1; i--) {
        size_t j = (size_t)g_test_rand_int_range(0, (gint32)i);
        uint64_t swap = ids[i - 1];
        ids[i - 1] = ids[j];
        ids[j] = swap;
    }
}

static uint64_t
member_at(const struct rank *rank, uint32_t bucket, size_t position)
{
    uint16_t handle = rank->table[bucket * RANK_DEPTH + position];
    return handle == RANK_NONE ? 0 : rank->members[handle];
}

/* Checks that each position has as many members with better scores. */
static void
check_bucket_order(const struct rank *rank, uint32_t bucket)
{
    for (size_t position = 0; position < RANK_DEPTH; position++) {
        uint64_t member = member_at(rank, bucket, position);
        if (position >= rank->count) {
            g_assert_cmpuint(member, ==, 0);
            continue;
        }
        uint64_t score = rank_score(member, bucket);
        size_t better = 0;
        for (size_t i = 0; i < rank->count; i++)
            better += rank_score(rank->members[i], bucket) > score;
        g_assert_cmpuint(better, ==, position);
    }
}

TEST(order_by_score)
{
    uint64_t ids[40];
    size_t sizes[] = {0, 1, 2, 5, 6, 7, 40};

    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
        ids[i] = random_id();
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct rank rank;
        g_assert_cmpint(rank_init(&rank, ids, sizes[i], NULL), ==, 0);
        for (uint32_t bucket = 0; bucket < RANK_BUCKETS; bucket++)
            check_bucket_order(&rank, bucket);
        rank_finish(&rank);
    }
}

/* Incremental builds after joins and leaves equal full builds. */
TEST(incremental_equals_full_build)
{
    uint64_t ids[64];
    size_t count = 0;
    struct rank rank;

    g_assert_cmpint(rank_init(&rank, NULL, 0, NULL), ==, 0);
    for (int round = 0; round < ROUNDS; round++) {
        int joins = g_test_rand_int_range(0, 4);
        int leaves = g_test_rand_int_range(0, 3);
        while (leaves-- > 0 && count > 0) {
            shuffle(ids, count);
            count--;
        }
        while (joins-- > 0 && count < G_N_ELEMENTS(ids))
            ids[count++] = random_id();
        shuffle(ids, count);

        struct rank next, fresh;
        g_assert_cmpint(rank_init(&next, ids, count, &rank), ==, 0);
        shuffle(ids, count);
        g_assert_cmpint(rank_init(&fresh, ids, count, NULL), ==, 0);
        g_assert_cmpuint(next.count, ==, count);
        g_assert_cmpmem(next.members, count * sizeof(uint64_t), fresh.members,
                        count * sizeof(uint64_t));
        g_assert_cmpmem(next.table, RANK_BUCKETS * RANK_DEPTH * 2, fresh.table,
                        RANK_BUCKETS * RANK_DEPTH * 2);
        rank_finish(&fresh);
        rank_finish(&rank);
        rank = next;
    }
    rank_finish(&rank);
}

/*
 * Checks that removing @member keeps the order of all others, and that it was
 * first in its expected number of buckets.
 */
static void
check_minimal(const struct rank *with, const struct rank *without,
              uint64_t member)
{
    size_t moved = 0;

    for (uint32_t bucket = 0; bucket < RANK_BUCKETS; bucket++) {
        size_t position = 0;
        if (member_at(with, bucket, 0) == member)
            moved++;
        for (size_t i = 0; i < RANK_DEPTH; i++) {
            uint64_t id = member_at(with, bucket, i);
            if (id != member)
                g_assert_cmpuint(id, ==,
                                 member_at(without, bucket, position++));
        }
    }

    /* Within five standard deviations of the mean */
    double expected = (double)RANK_BUCKETS / with->count;
    double deviation = (double)moved - expected;
    g_assert_cmpfloat(deviation * deviation, <, 25 * expected);
}

TEST(minimal_disruption)
{
    for (size_t count = 2; count <= 50; count += 6) {
        uint64_t ids[50];
        struct rank without, joined, left;
        for (size_t i = 0; i < count; i++)
            ids[i] = random_id();

        rank_init(&without, ids, count - 1, NULL);
        rank_init(&joined, ids, count, &without);
        check_minimal(&joined, &without, ids[count - 1]);

        memmove(ids, ids + 1, (count - 1) * sizeof(*ids));
        uint64_t removed = 0;
        for (size_t i = 0; i < joined.count && removed == 0; i++) {
            removed = joined.members[i];
            for (size_t j = 0; j < count - 1; j++)
                if (ids[j] == removed)
                    removed = 0;
        }
        rank_init(&left, ids, count - 1, &joined);
        check_minimal(&joined, &left, removed);

        rank_finish(&without);
        rank_finish(&joined);
        rank_finish(&left);
    }
}

TEST(limits_and_duplicates)
{
    struct rank rank;
    uint64_t duplicates[] = {7, 9, 7};

    g_assert_cmpint(rank_init(&rank, duplicates, 70000, NULL), ==, -E2BIG);
    g_assert_cmpint(rank_init(&rank, duplicates, 3, NULL), ==, 0);
    g_assert_cmpuint(rank.count, ==, 2);
    g_assert_cmpuint(rank_bucket(0), ==, 0);
    g_assert_cmpuint(rank_bucket(UINT64_MAX), ==, RANK_BUCKETS - 1);
    g_assert_true(rank_row(&rank, UINT64_MAX) ==
                  rank.table + (RANK_BUCKETS - 1) * RANK_DEPTH);
    rank_finish(&rank);
}
