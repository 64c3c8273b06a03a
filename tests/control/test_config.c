/* The configuration core: versions, confirmations, rate of platform calls. */
#include <errno.h>
#include <inttypes.h>

#include "cell.h"
#include "lib/harness.h"

#define SUITE "/config"
#define HOUR_S 3600

static const struct addr peer_a = {0x0a000001, 7000};
static const struct addr peer_b = {0x0a000002, 7000};

static void
publish(struct cell *cell, uint64_t version)
{
    cell->version = version;
    cell->served_version = version;
}

/* Measures a cell's calls per second when idle and in an outage of an hour. */
static void
measure(size_t count, double *idle, double *outage, uint32_t *peak)
{
    struct cell *cell = g_new0(struct cell, 1);

    cell_init(cell, count, 11 + count);
    publish(cell, 1);
    cell_run(cell, 100);
    g_assert_cmpuint(cell_count_outdated(cell), ==, 0);
    *idle = cell_calls(cell, 30, 70) / 70.0;
    cell->down = true;
    cell_run(cell, HOUR_S);
    *outage = cell_calls(cell, 100, HOUR_S) / (double)HOUR_S;
    /* After the outage calls don't burst, and the change arrives soon. */
    cell->down = false;
    publish(cell, 2);
    cell_run(cell, 30);
    *peak = cell_peak(cell, 100 + HOUR_S, 30);
    g_assert_cmpuint(cell_count_outdated(cell), ==, 0);
    /* Substitute readers stop when the readers work again. */
    cell_run(cell, 300);
    g_assert_cmpfloat(cell_calls(cell, 230 + HOUR_S, 200) / 200.0, <, 0.7);
    cell_finish(cell);
    g_free(cell);
}

TEST(call_rate_independent_of_size)
{
    static const size_t sizes[] = {10, 25, 50, 100, 200};
    double idle[G_N_ELEMENTS(sizes)];
    double outage[G_N_ELEMENTS(sizes)];
    uint32_t peak[G_N_ELEMENTS(sizes)];

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        measure(sizes[i], &idle[i], &outage[i], &peak[i]);
        g_test_message("%zu members: %.2f calls/s idle, %.2f in an "
                       "outage, peak %u in the 30 s after it",
                       sizes[i], idle[i], outage[i], peak[i]);
        g_assert_cmpfloat(idle[i], <, 0.7);
        g_assert_cmpfloat(outage[i], <, 1.0);
        g_assert_cmpuint(peak[i], <=, 6);
        g_assert_cmpfloat(idle[i], <, idle[0] * 1.3);
        g_assert_cmpfloat(outage[i], <, outage[0] * 1.5);
    }
}

/* A change is in force everywhere within 14 s despite one fault. */
static void
run_fault(const char *name, void (*set)(struct cell *), uint64_t seed)
{
    struct cell *cell = g_new0(struct cell, 1);
    unsigned seconds = 0;

    cell_init(cell, 50, seed);
    publish(cell, 1);
    cell_run(cell, 30);
    set(cell);
    cell_run(cell, 30);
    for (uint64_t version = 2; version < 12; version++) {
        unsigned waited = 0;

        publish(cell, version);
        while (cell_count_outdated(cell) > 0 && waited < 60) {
            cell_run(cell, 1);
            waited++;
        }
        seconds = MAX(seconds, waited);
        cell_run(cell, random_below(&cell->random, 10));
    }
    g_test_message(
        "%s: in force everywhere within %u s, %.2f calls/s", name, seconds,
        cell_calls(cell, 60, cell->second - 60) / (double)(cell->second - 60));
    g_assert_cmpuint(seconds, <=, 14);
    g_assert_cmpuint(cell_calls(cell, 60, cell->second - 60), <,
                     2 * (cell->second - 60) + 10);
    cell_finish(cell);
    g_free(cell);
}

static void
set_slow(struct cell *cell)
{
    cell->answer_us = 2 * USEC_PER_SEC;
}

static void
set_lost(struct cell *cell)
{
    cell->lost = 5; /* of 1000 per step of 50 ms */
}

static void
set_ends(struct cell *cell)
{
    cell->watch_ends = 20;
}

static void
set_skips(struct cell *cell)
{
    cell->watch_skips = 1000;
}

TEST(change_despite_platform_faults)
{
    for (uint64_t seed = 1; seed <= 5; seed++) {
        run_fault("answers of 2 s", set_slow, seed);
        run_fault("lost answers", set_lost, seed);
        run_fault("watches end", set_ends, seed);
        run_fault("watches skip", set_skips, seed);
    }
}

/* Only one member reaches the platform, and it isn't a reader. */
TEST_F(cell, readers_unreachable, 20, 5)
{
    publish(cell, 1);
    cell_run(cell, 30);
    for (size_t i = 0; i < 19; i++)
        cell->nodes[i].platform_unreachable = true;
    /* 20 members, one self-read per 5 s on average: at most 150 s. */
    cell_run(cell, 165);
    publish(cell, 2);
    cell_run(cell, 14);
    g_assert_cmpuint(cell_count_outdated(cell), ==, 0);
    g_assert_cmpuint(cell_peak(cell, 30, 179), <=, 5);
}

/* An older version from the platform is ignored. */
TEST(older_version_ignored)
{
    struct config_core core;

    config_core_init(&core, 1, USEC_PER_SEC);
    g_assert_true(config_handle_platform_reply(&core, 0, 5, 2 * USEC_PER_SEC));
    config_applied(&core, 5, 2 * USEC_PER_SEC);
    g_assert_false(
        config_handle_platform_reply(&core, 0, 4, 3 * USEC_PER_SEC));
    g_assert_cmpuint(core.stats.stale, ==, 1);
    /* It doesn't confirm the version in force either. */
    g_assert_cmpuint(core.confirmed_us, ==, 2 * USEC_PER_SEC);
    g_assert_false(
        config_handle_platform_reply(&core, -ENOENT, 0, 4 * USEC_PER_SEC));
    g_assert_cmpuint(core.confirmed_us, ==, 2 * USEC_PER_SEC);
    config_handle_peer_version(&core, peer_a, 4, 0, 5 * USEC_PER_SEC);
    g_assert_cmpuint(core.source_count, ==, 0);
    g_assert_cmpuint(core.confirmed_us, ==, 2 * USEC_PER_SEC);
    g_assert_false(config_handle_fetch_reply(&core, 4, 5 * USEC_PER_SEC));
    g_assert_cmpuint(core.have, ==, 5);
}

/* A failed fetch is retried from another source. */
TEST(failed_fetch_retried_elsewhere)
{
    struct config_membership membership = {
        .rank = 9, .alive = 10, .joined = true};
    struct config_actions actions;
    struct config_core core;
    uint64_t now = USEC_PER_SEC;

    config_core_init(&core, 1, now);
    config_set_membership(&core, &membership);
    config_handle_peer_version(&core, peer_a, 8, UINT32_MAX, now);
    config_handle_peer_version(&core, peer_b, 8, UINT32_MAX, now);
    config_tick(&core, now, &actions);
    g_assert_cmpuint(actions.count, ==, 1);
    g_assert_cmpint(actions.items[0].type, ==, CONFIG_FETCH);
    g_assert_true(addr_equal(actions.items[0].from, peer_a));
    now += CONFIG_FETCH_TIMEOUT_US;
    config_tick(&core, now, &actions);
    g_assert_cmpuint(actions.count, ==, 1);
    g_assert_true(addr_equal(actions.items[0].from, peer_b));
    g_assert_true(config_handle_fetch_reply(&core, 8, now));
    config_applied(&core, 8, 0);
    config_tick(&core, now, &actions);
    g_assert_cmpuint(actions.count, ==, 0);
    g_assert_cmpuint(core.stats.failed_fetches, ==, 1);
}

/* A confirmation dates from the peer's message, although the body arrives
 * later; a confirmation of another version doesn't count. */
TEST(confirmation_of_fetched_version)
{
    struct config_membership membership = {
        .rank = 9, .alive = 10, .joined = true};
    struct config_actions actions;
    struct config_core core;
    uint64_t now = 10 * USEC_PER_SEC;

    config_core_init(&core, 1, now);
    config_set_membership(&core, &membership);
    config_handle_peer_version(&core, peer_a, 7, 0, now);
    config_handle_peer_version(&core, peer_b, 8, 500, now);
    config_handle_peer_version(&core, peer_b, 8, UINT32_MAX, now);
    config_tick(&core, now, &actions);
    g_assert_cmpuint(actions.count, ==, 1);
    g_assert_true(config_handle_fetch_reply(&core, 8, now + USEC_PER_SEC));
    config_applied(&core, 8, 0);
    g_assert_cmpuint(core.confirmed_us, ==, now - 500 * USEC_PER_MSEC);
    g_assert_cmpuint(core.peer_confirmed_us, ==, now - 500 * USEC_PER_MSEC);

    config_handle_peer_version(&core, peer_a, 9, 0, now + USEC_PER_SEC);
    config_applied(&core, 10, 0);
    g_assert_cmpuint(core.confirmed_us, ==, now - 500 * USEC_PER_MSEC);
}

/* An invalid body isn't fetched again. */
TEST(invalid_body_not_refetched)
{
    struct config_membership membership = {
        .rank = 0, .alive = 1, .joined = true};
    struct config_actions actions;
    struct config_core core;

    config_core_init(&core, 1, USEC_PER_SEC);
    config_set_membership(&core, &membership);
    g_assert_true(config_handle_platform_reply(&core, 0, 3, USEC_PER_SEC));
    config_refuse(&core, 3);
    config_handle_peer_version(&core, peer_a, 3, 0, USEC_PER_SEC);
    config_tick(&core, 2 * USEC_PER_SEC, &actions);
    g_assert_cmpuint(actions.count, ==, 1);
    g_assert_cmpint(actions.items[0].type, ==, CONFIG_WATCH);
    g_assert_cmpuint(actions.items[0].after, ==, 3);
    g_assert_cmpuint(core.have, ==, 0);
    config_handle_peer_version(&core, peer_a, 4, 0, USEC_PER_SEC);
    g_assert_cmpuint(core.source_count, ==, 1);
}

/* A process that ranks first only until it has the full list stops reading
 * the platform then. */
TEST_F(cell, early_readers_stop, 40, 6)
{
    publish(cell, 1);
    for (size_t i = 0; i < 40; i++) {
        struct config_membership membership = {.alive = 1,
                                               .has_contacts = true};

        config_set_membership(&cell->nodes[i].config, &membership);
    }
    cell_run(cell, 2);
    for (size_t i = 0; i < 40; i++) {
        struct config_membership membership = {
            .alive = 2, .joined = true, .has_contacts = true};

        config_set_membership(&cell->nodes[i].config, &membership);
    }
    cell_run(cell, 5);
    for (size_t i = 0; i < 40; i++) {
        struct config_membership membership = {
            .rank = i, .alive = 40, .joined = true, .has_contacts = true};

        config_set_membership(&cell->nodes[i].config, &membership);
    }
    cell_run(cell, 100);
    g_assert_cmpfloat(cell_calls(cell, 27, 80) / 80.0, <, 0.7);
}

/* 2,000 processes of a starting data centre, without reachable contacts,
 * spread their reads. */
TEST(isolated_reads_spread)
{
    enum { PROCESSES = 2000 };
    struct cell *cell = g_new0(struct cell, 1);

    cell_init(cell, PROCESSES, 3);
    for (size_t i = 0; i < PROCESSES; i++) {
        struct config_membership membership = {.alive = 1,
                                               .has_contacts = true};

        config_set_membership(&cell->nodes[i].config, &membership);
    }
    cell->down = true;
    cell_run(cell, 120);
    g_test_message(
        "%u isolated processes: peak %u calls/s, mean %.0f after 30 s",
        PROCESSES, cell_peak(cell, 0, 120), cell_calls(cell, 30, 90) / 90.0);
    g_assert_cmpuint(cell_peak(cell, 0, 120), <, PROCESSES / 8);
    g_assert_cmpuint(cell_calls(cell, 30, 90), <, 90 * PROCESSES / 20);
    cell_finish(cell);
    g_free(cell);
}
