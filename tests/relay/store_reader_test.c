#include "base/clock.h"
#include "lib/harness.h"
#include "relay/relay_fixture.h"
#include "relay/store/store_reader.h"

#define SUITE "/relay/store_reader"
#define MS USEC_PER_MSEC

/** struct fixture - a balancer's reader; how often it pinged the witnesses and
 * was told that the store is back, and how many of its calls failed in a row
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

/* Time passes; agents tell of other readers all the while. */
static void
advance_with(struct fixture *fixture, unsigned ms, struct frame_readers others)
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
    advance_with(fixture, ms,
                 (struct frame_readers){.reading = (uint8_t)reading});
}

static enum store_read_mode
read_now(const struct fixture *fixture)
{
    return store_reader_next_mode(&fixture->reader, 0, fixture->now_us);
}

TEST_F(fixture, a_balancer_reads_when_no_other_does)
{
    advance_ms(fixture, 400, 0);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_STALE);
    advance_ms(fixture, 700, 0);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_LATEST);
}

TEST_F(fixture, witnesses_are_asked_before_it_reads_and_told_after)
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

TEST_F(fixture, a_witness_that_knows_a_reader_is_enough)
{
    while (fixture->pings == 0) {
        advance_ms(fixture, 1, 0);
    }
    advance_ms(fixture, 1, 1);
    advance_ms(fixture, 150, 0);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_STALE);
}

TEST_F(fixture, a_balancer_that_hears_of_one_leaves_it_to_that)
{
    advance_ms(fixture, 5000, 2);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_STALE);
    advance_ms(fixture, 2000, 0);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_LATEST);
}

TEST_F(fixture, two_readers_stay_and_of_more_some_stop)
{
    advance_ms(fixture, 2000, 0);
    advance_ms(fixture, 20000, 1);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_LATEST);
    advance_ms(fixture, 20000, 3);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_STALE);
}

/* A store that doesn't answer is tried with the cheap calls, also by those
 * that are the only ones to read. */
TEST_F(fixture, failed_calls_are_repeated_with_cheap_ones)
{
    advance_ms(fixture, 2000, 0);
    g_assert_cmpint(
        store_reader_next_mode(&fixture->reader, 1, fixture->now_us), ==,
        STORE_READ_STALE);
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_LATEST);
}

TEST_F(fixture, a_balancer_that_stays_behind_reads_and_then_asks)
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

TEST_F(fixture, while_the_store_is_away_a_few_try_it)
{
    const struct frame_readers tried = {.trying = 2};

    fixture->failures = 1;
    advance_with(fixture, 20000, tried);
    g_assert_false(fixture->reader.reading);
    advance_with(fixture, 2000, (struct frame_readers){0});
    g_assert_true(fixture->reader.reading);
    g_assert_cmpint(store_reader_state(&fixture->reader, 1), ==,
                    FRAME_READER_TRYING);
    advance_with(fixture, 20000, (struct frame_readers){.trying = 5});
    g_assert_false(fixture->reader.reading);
    /* Whoever reaches it doesn't leave it to those that can't. */
    fixture->failures = 0;
    advance_with(fixture, 2000, tried);
    g_assert_true(fixture->reader.reading);
    g_assert_cmpint(store_reader_state(&fixture->reader, 0), ==,
                    FRAME_READER_READING);
}

TEST_F(fixture, one_that_is_cut_off_leaves_reading_to_those_that_are_not)
{
    advance_ms(fixture, 2000, 0);
    g_assert_true(fixture->reader.reading);
    fixture->failures = 2;
    advance_ms(fixture, 1100, 1);
    g_assert_false(fixture->reader.reading);
    g_assert_cmpint(store_reader_state(&fixture->reader, 2), ==,
                    FRAME_READER_NONE);
}

TEST_F(fixture, the_first_reader_after_a_while_is_news)
{
    advance_ms(fixture, 1, 1);
    g_assert_cmpuint(fixture->store_returns, ==, 1);
    advance_ms(fixture, 5000, 1);
    g_assert_cmpuint(fixture->store_returns, ==, 1);
    advance_ms(fixture, 1100, 0);
    advance_ms(fixture, 10, 2);
    g_assert_cmpuint(fixture->store_returns, ==, 2);
}

TEST_F(fixture, without_the_store_a_peer_is_asked_at_once)
{
    struct frame_config_version newer = {9, fixture_addr("10.9.0.3:7720")};

    g_assert_false(
        store_reader_needs_peer(&fixture->reader, 3, fixture->now_us));
    store_reader_notify_newer(&fixture->reader, &newer, fixture->now_us);
    g_assert_true(
        store_reader_needs_peer(&fixture->reader, 3, fixture->now_us));
}

/* The first that was named may be frozen. */
TEST_F(fixture, the_holder_that_was_named_last_is_asked)
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

/* While versions follow each other the wait isn't begun anew with each. */
TEST_F(fixture, newer_versions_in_a_row_do_not_put_the_read_off)
{
    struct frame_config_version newer = {9, fixture_addr("10.9.0.3:7720")};

    for (unsigned i = 0; i < 10; i++) {
        newer.version++;
        store_reader_notify_newer(&fixture->reader, &newer, fixture->now_us);
        advance_ms(fixture, 40, 1);
    }
    g_assert_cmpint(read_now(fixture), ==, STORE_READ_LATEST);
}

/* After a loss of all hosts some must know the latest, and not all pay. */
TEST(of_those_that_start_together_a_quarter_reads_the_latest)
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

/* Agents hear from few balancers of many: only witnesses know how few read. */
TEST_F(fixture, one_other_reader_is_enough_until_witnesses_say_so)
{
    for (unsigned i = 0; i < 2000 && fixture->pings == 0; i++) {
        advance_ms(fixture, 1, 1);
        g_assert_cmpint(read_now(fixture), ==, STORE_READ_STALE);
    }
    g_assert_cmpuint(fixture->pings, ==, 1);
}

TEST_F(fixture, a_reader_that_stops_notifies_witnesses)
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

/* All hear of a new configuration at once, and few have it. */
TEST(balancers_that_are_behind_do_not_ask_all_at_once)
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
