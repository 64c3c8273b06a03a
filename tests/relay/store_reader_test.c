#include "base/clock.h"
#include "lib/harness.h"
#include "relay/relay_fixture.h"
#include "relay/store/store_reader.h"

#define SUITE "/relay/store_reader"
#define MS USEC_PER_MSEC

/**
 * struct fixture - one balancer's store reader
 * @reader: the reader
 * @now_us: current time
 * @pings: pings to the witnesses
 * @store_returns: reports that the store answers again
 * @failures: consecutive failed calls to the store
 */
struct fixture {
    struct store_reader reader;
    uint64_t now_us;
    unsigned pings;
    unsigned store_returns;
    unsigned failures;
};

static void
fixture_init(struct fixture *fixture)
{
    fixture->now_us = USEC_PER_SEC;
    store_reader_init(&fixture->reader, 7, fixture->now_us);
}

static void
fixture_finish(struct fixture *fixture)
{
}

/* Advances the time; every ms an agent reports @others. */
static void
advance_reporting(struct fixture *fixture, unsigned ms,
                  struct frame_readers others)
{
    for (unsigned i = 0; i < ms; i++) {
        fixture->now_us += MS;
        fixture->store_returns +=
            store_reader_report(&fixture->reader, others, fixture->now_us);
        fixture->pings += store_reader_tick(
            &fixture->reader, fixture->failures, fixture->now_us);
    }
}

static void
advance_ms(struct fixture *fixture, unsigned ms, unsigned reading)
{
    advance_reporting(fixture, ms,
                      (struct frame_readers){.reading = (uint8_t)reading});
}

static enum store_read_mode
read_now(const struct fixture *fixture)
{
    return store_reader_next_mode(&fixture->reader, 0, fixture->now_us);
}

TEST_F(fixture, balancer_without_readers_becomes_one)
{
    advance_ms(fixture, 400, 0);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_STALE);
    advance_ms(fixture, 700, 0);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_LATEST);
}

TEST_F(fixture, witnesses_are_pinged_before_and_while_reading)
{
    unsigned waited = 0;

    while (fixture->pings == 0) {
        advance_ms(fixture, 1, 0);
    }
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_STALE);
    while (read_now(fixture) == STORE_READ_STALE) {
        advance_ms(fixture, 1, 0);
        waited++;
    }
    g_assert_cmpuint(waited, ==, 100);
    g_assert_cmpuint(fixture->pings, ==, 2);
    advance_ms(fixture, 1000, 1);
    g_assert_cmpuint(fixture->pings, ==, 4);
}

TEST_F(fixture, reader_known_to_a_witness_is_enough)
{
    while (fixture->pings == 0) {
        advance_ms(fixture, 1, 0);
    }
    advance_ms(fixture, 1, 1);
    advance_ms(fixture, 150, 0);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_STALE);
}

TEST_F(fixture, reported_readers_keep_a_balancer_from_reading)
{
    advance_ms(fixture, 5000, 2);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_STALE);
    advance_ms(fixture, 2000, 0);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_LATEST);
}

TEST_F(fixture, surplus_readers_stop)
{
    advance_ms(fixture, 2000, 0);
    advance_ms(fixture, 20000, 1);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_LATEST);
    advance_ms(fixture, 20000, 3);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_STALE);
}

/* A store that doesn't answer is tried with stale reads, also by the only
 * reader. */
TEST_F(fixture, failed_reads_are_retried_as_stale)
{
    advance_ms(fixture, 2000, 0);
    g_assert_cmpint(
        store_reader_next_mode(&fixture->reader, 1, fixture->now_us), ==,
        STORE_READ_STALE);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_LATEST);
}

TEST_F(fixture, outdated_balancer_reads_the_latest_then_queries_a_peer)
{
    struct frame_config_version newer = {9, fixture_addr("10.9.0.3:7720")};

    store_reader_notify_newer(&fixture->reader, &newer, fixture->now_us);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_STALE);
    g_assert_cmpuint(store_reader_next_us(&fixture->reader, fixture->now_us),
                     ==, fixture->now_us + 300 * MS);
    advance_ms(fixture, 300, 1);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_LATEST);
    g_assert_false(
        store_reader_needs_peer(&fixture->reader, 0, fixture->now_us));
    g_assert_cmpuint(store_reader_next_us(&fixture->reader, fixture->now_us),
                     <=, fixture->now_us + 300 * MS);
    advance_ms(fixture, 300, 1);
    g_assert_true(
        store_reader_needs_peer(&fixture->reader, 0, fixture->now_us));
    store_reader_applied(&fixture->reader, 8);
    g_assert_true(
        store_reader_needs_peer(&fixture->reader, 0, fixture->now_us));
    store_reader_applied(&fixture->reader, 9);
    g_assert_false(
        store_reader_needs_peer(&fixture->reader, 0, fixture->now_us));
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_STALE);
}

TEST_F(fixture, reports_of_a_reader_keep_a_balancer_current)
{
    struct frame_config_version newer = {9, fixture_addr("10.9.0.3:7720")};

    g_assert_false(
        store_reader_is_current(&fixture->reader, 0, fixture->now_us));
    advance_ms(fixture, 1, 1);
    g_assert_true(
        store_reader_is_current(&fixture->reader, 0, fixture->now_us));
    store_reader_notify_newer(&fixture->reader, &newer, fixture->now_us);
    g_assert_false(
        store_reader_is_current(&fixture->reader, 0, fixture->now_us));
    store_reader_applied(&fixture->reader, 9);
    g_assert_true(
        store_reader_is_current(&fixture->reader, 0, fixture->now_us));
    advance_ms(fixture, 1001, 0);
    fixture->reader.reading = false;
    g_assert_false(
        store_reader_is_current(&fixture->reader, 0, fixture->now_us));
    fixture->reader.reading = true;
    g_assert_true(
        store_reader_is_current(&fixture->reader, 0, fixture->now_us));
    g_assert_false(
        store_reader_is_current(&fixture->reader, 1, fixture->now_us));
}

TEST_F(fixture, few_readers_retry_while_the_store_is_down)
{
    const struct frame_readers tried = {.trying = 2};

    fixture->failures = 1;
    advance_reporting(fixture, 20000, tried);
    g_assert_false(fixture->reader.reading);
    advance_reporting(fixture, 2000, (struct frame_readers){0});
    g_assert_true(fixture->reader.reading);
    g_assert_cmpint(store_reader_state(&fixture->reader, 1), ==,
                    FRAME_READER_TRYING);
    advance_reporting(fixture, 20000, (struct frame_readers){.trying = 5});
    g_assert_false(fixture->reader.reading);
    /* A reader that reaches the store continues when the others don't. */
    fixture->failures = 0;
    advance_reporting(fixture, 2000, tried);
    g_assert_true(fixture->reader.reading);
    g_assert_cmpint(store_reader_state(&fixture->reader, 0), ==,
                    FRAME_READER_READING);
}

TEST_F(fixture, reader_cut_off_from_the_store_stops)
{
    advance_ms(fixture, 2000, 0);
    g_assert_true(fixture->reader.reading);
    fixture->failures = 2;
    advance_ms(fixture, 1100, 1);
    g_assert_false(fixture->reader.reading);
    g_assert_cmpint(store_reader_state(&fixture->reader, 2), ==,
                    FRAME_READER_NONE);
}

TEST_F(fixture, first_reader_after_a_pause_reports_the_stores_return)
{
    advance_ms(fixture, 1, 1);
    g_assert_cmpuint(fixture->store_returns, ==, 1);
    advance_ms(fixture, 5000, 1);
    g_assert_cmpuint(fixture->store_returns, ==, 1);
    advance_ms(fixture, 1100, 0);
    advance_ms(fixture, 10, 2);
    g_assert_cmpuint(fixture->store_returns, ==, 2);
}

TEST_F(fixture, peer_is_queried_at_once_while_the_store_is_down)
{
    struct frame_config_version newer = {9, fixture_addr("10.9.0.3:7720")};

    g_assert_false(
        store_reader_needs_peer(&fixture->reader, 3, fixture->now_us));
    store_reader_notify_newer(&fixture->reader, &newer, fixture->now_us);
    g_assert_true(
        store_reader_needs_peer(&fixture->reader, 3, fixture->now_us));
}

/* The first holder may be frozen. */
TEST_F(fixture, last_reported_holder_is_queried)
{
    struct frame_config_version first = {9, fixture_addr("10.9.0.3:7720")};
    struct frame_config_version second = {9, fixture_addr("10.9.0.4:7720")};
    struct frame_config_version older = {8, fixture_addr("10.9.0.5:7720")};

    store_reader_notify_newer(&fixture->reader, &first, fixture->now_us);
    store_reader_notify_newer(&fixture->reader, &second, fixture->now_us + MS);
    store_reader_notify_newer(&fixture->reader, &older,
                              fixture->now_us + 2 * MS);
    g_assert_true(addr_equal(fixture->reader.newer.holder, second.holder));
    g_assert_cmpuint(fixture->reader.behind_us, ==, fixture->now_us);
}

/* A newer version doesn't restart the delay. */
TEST_F(fixture, newer_versions_in_a_row_do_not_delay_the_read)
{
    struct frame_config_version newer = {9, fixture_addr("10.9.0.3:7720")};

    for (unsigned i = 0; i < 10; i++) {
        newer.version++;
        store_reader_notify_newer(&fixture->reader, &newer, fixture->now_us);
        advance_ms(fixture, 40, 1);
    }
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_LATEST);
}

/* When all hosts restart, some must read the latest but not all of them. */
TEST(a_quarter_of_starting_balancers_reads_the_latest)
{
    unsigned latest = 0;

    for (uint64_t seed = 1; seed <= 1000; seed++) {
        struct store_reader reader;

        store_reader_init(&reader, seed, USEC_PER_SEC);
        latest += store_reader_initial_mode(&reader) == STORE_READ_LATEST;
    }
    g_assert_cmpuint(latest, >=, 200);
    g_assert_cmpuint(latest, <=, 300);
}

/* Agents receive frames from few balancers; only witnesses can report too few
 * readers. */
TEST_F(fixture, one_reader_is_enough_until_witnesses_report)
{
    for (unsigned i = 0; i < 2000 && fixture->pings == 0; i++) {
        advance_ms(fixture, 1, 1);
        g_assert_cmpint(read_now(fixture), ==, STORE_READ_STALE);
    }
    g_assert_cmpuint(fixture->pings, ==, 1);
}

TEST_F(fixture, stopping_reader_notifies_witnesses)
{
    advance_ms(fixture, 1200, 0);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_LATEST);
    for (unsigned i = 0; i < 20000 && fixture->reader.reading; i++) {
        fixture->pings = 0;
        advance_ms(fixture, 1, 9);
    }
    g_assert_false(fixture->reader.reading);
    advance_ms(fixture, 1, 9);
    g_assert_cmpuint(fixture->pings, ==, 1);
}

/* All balancers learn of a new configuration at once, but few have it. */
TEST(outdated_balancers_query_at_different_times)
{
    struct frame_config_version newer = {9, fixture_addr("10.9.0.3:7720")};
    unsigned early = 0;

    for (uint64_t seed = 1; seed <= 300; seed++) {
        struct store_reader reader;

        store_reader_init(&reader, seed, USEC_PER_SEC);
        store_reader_notify_newer(&reader, &newer, USEC_PER_SEC);
        g_assert_false(
            store_reader_needs_peer(&reader, 0, USEC_PER_SEC + 350 * MS));
        early += store_reader_needs_peer(&reader, 0, USEC_PER_SEC + 475 * MS);
        g_assert_true(
            store_reader_needs_peer(&reader, 0, USEC_PER_SEC + 600 * MS));
    }
    g_assert_cmpuint(early, >=, 120);
    g_assert_cmpuint(early, <=, 180);
}
