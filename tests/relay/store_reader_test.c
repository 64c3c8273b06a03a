#include "base/clock.h"
#include "lib/harness.h"
#include "relay/relay_rig.h"
#include "relay/store/store_reader.h"

#define SUITE "/relay/store_reader"
#define MS USEC_PER_MSEC

/** struct site - a balancer's reader; how often it pinged the witnesses and
 * was told that the store is back, and how many of its calls failed in a row
 */
struct site {
    struct store_reader reader;
    uint64_t now_us;
    unsigned pings;
    unsigned news;
    unsigned failures;
};

static void
site_init(struct site *site)
{
    site->now_us = USEC_PER_SEC;
    store_reader_init(&site->reader, 7, site->now_us);
}

static void
site_finish(struct site *site)
{
}

/* Time passes; agents tell of other readers all the while. */
static void
pass_with(struct site *site, unsigned ms, struct frame_readers others)
{
    for (unsigned i = 0; i < ms; i++) {
        site->now_us += MS;
        site->news += store_reader_others(&site->reader, others, site->now_us);
        site->pings +=
            store_reader_tick(&site->reader, site->failures, site->now_us);
    }
}

static void
pass_ms(struct site *site, unsigned ms, unsigned reading)
{
    pass_with(site, ms, (struct frame_readers){.reading = (uint8_t)reading});
}

static enum store_read
read_now(const struct site *site)
{
    return store_reader_read(&site->reader, 0, site->now_us);
}

TEST_F(site, a_balancer_reads_when_no_other_does)
{
    pass_ms(site, 400, 0);
    g_assert_cmpint(read_now(site), ==, STORE_READ_ANY);
    pass_ms(site, 700, 0);
    g_assert_cmpint(read_now(site), ==, STORE_READ_LATEST);
}

TEST_F(site, witnesses_are_asked_before_it_reads_and_told_after)
{
    unsigned waited = 0;

    while (site->pings == 0) {
        pass_ms(site, 1, 0);
    }
    g_assert_cmpint(read_now(site), ==, STORE_READ_ANY);
    while (read_now(site) == STORE_READ_ANY) {
        pass_ms(site, 1, 0);
        waited++;
    }
    g_assert_cmpuint(waited, ==, 100);
    g_assert_cmpuint(site->pings, ==, 2);
    pass_ms(site, 1000, 1);
    g_assert_cmpuint(site->pings, ==, 4);
}

TEST_F(site, a_witness_that_knows_a_reader_is_enough)
{
    while (site->pings == 0) {
        pass_ms(site, 1, 0);
    }
    pass_ms(site, 1, 1);
    pass_ms(site, 150, 0);
    g_assert_cmpint(read_now(site), ==, STORE_READ_ANY);
}

TEST_F(site, a_balancer_that_hears_of_one_leaves_it_to_that)
{
    pass_ms(site, 5000, 2);
    g_assert_cmpint(read_now(site), ==, STORE_READ_ANY);
    pass_ms(site, 2000, 0);
    g_assert_cmpint(read_now(site), ==, STORE_READ_LATEST);
}

TEST_F(site, two_readers_stay_and_of_more_some_stop)
{
    pass_ms(site, 2000, 0);
    pass_ms(site, 20000, 1);
    g_assert_cmpint(read_now(site), ==, STORE_READ_LATEST);
    pass_ms(site, 20000, 3);
    g_assert_cmpint(read_now(site), ==, STORE_READ_ANY);
}

/* A store that doesn't answer is tried with the cheap calls, also by those
 * that are the only ones to read. */
TEST_F(site, failed_calls_are_repeated_with_cheap_ones)
{
    pass_ms(site, 2000, 0);
    g_assert_cmpint(store_reader_read(&site->reader, 1, site->now_us), ==,
                    STORE_READ_ANY);
    g_assert_cmpint(read_now(site), ==, STORE_READ_LATEST);
}

TEST_F(site, a_balancer_that_stays_behind_reads_and_then_asks)
{
    struct frame_version newer = {9, rig_addr("10.9.0.3:7720")};

    store_reader_newer(&site->reader, &newer, site->now_us);
    g_assert_cmpint(read_now(site), ==, STORE_READ_ANY);
    g_assert_cmpuint(store_reader_next_us(&site->reader, site->now_us), ==,
                     site->now_us + 300 * MS);
    pass_ms(site, 300, 1);
    g_assert_cmpint(read_now(site), ==, STORE_READ_LATEST);
    g_assert_false(store_reader_asks_peer(&site->reader, 0, site->now_us));
    g_assert_cmpuint(store_reader_next_us(&site->reader, site->now_us), <=,
                     site->now_us + 300 * MS);
    pass_ms(site, 300, 1);
    g_assert_true(store_reader_asks_peer(&site->reader, 0, site->now_us));
    store_reader_took(&site->reader, 8);
    g_assert_true(store_reader_asks_peer(&site->reader, 0, site->now_us));
    store_reader_took(&site->reader, 9);
    g_assert_false(store_reader_asks_peer(&site->reader, 0, site->now_us));
    g_assert_cmpint(read_now(site), ==, STORE_READ_ANY);
}

TEST_F(site, who_hears_of_a_reader_and_of_nothing_newer_is_current)
{
    struct frame_version newer = {9, rig_addr("10.9.0.3:7720")};

    g_assert_false(store_reader_is_current(&site->reader, 0, site->now_us));
    pass_ms(site, 1, 1);
    g_assert_true(store_reader_is_current(&site->reader, 0, site->now_us));
    store_reader_newer(&site->reader, &newer, site->now_us);
    g_assert_false(store_reader_is_current(&site->reader, 0, site->now_us));
    store_reader_took(&site->reader, 9);
    g_assert_true(store_reader_is_current(&site->reader, 0, site->now_us));
    pass_ms(site, 1001, 0);
    site->reader.reading = false;
    g_assert_false(store_reader_is_current(&site->reader, 0, site->now_us));
    site->reader.reading = true;
    g_assert_true(store_reader_is_current(&site->reader, 0, site->now_us));
    g_assert_false(store_reader_is_current(&site->reader, 1, site->now_us));
}

TEST_F(site, while_the_store_is_away_a_few_try_it)
{
    const struct frame_readers tried = {.trying = 2};

    site->failures = 1;
    pass_with(site, 20000, tried);
    g_assert_false(site->reader.reading);
    pass_with(site, 2000, (struct frame_readers){0});
    g_assert_true(site->reader.reading);
    g_assert_cmpint(store_reader_part(&site->reader, 1), ==,
                    FRAME_READER_TRIES);
    pass_with(site, 20000, (struct frame_readers){.trying = 5});
    g_assert_false(site->reader.reading);
    /* Whoever reaches it doesn't leave it to those that can't. */
    site->failures = 0;
    pass_with(site, 2000, tried);
    g_assert_true(site->reader.reading);
    g_assert_cmpint(store_reader_part(&site->reader, 0), ==,
                    FRAME_READER_READS);
}

TEST_F(site, one_that_is_cut_off_leaves_reading_to_those_that_are_not)
{
    pass_ms(site, 2000, 0);
    g_assert_true(site->reader.reading);
    site->failures = 2;
    pass_ms(site, 1100, 1);
    g_assert_false(site->reader.reading);
    g_assert_cmpint(store_reader_part(&site->reader, 2), ==,
                    FRAME_READER_NONE);
}

TEST_F(site, the_first_reader_after_a_while_is_news)
{
    pass_ms(site, 1, 1);
    g_assert_cmpuint(site->news, ==, 1);
    pass_ms(site, 5000, 1);
    g_assert_cmpuint(site->news, ==, 1);
    pass_ms(site, 1100, 0);
    pass_ms(site, 10, 2);
    g_assert_cmpuint(site->news, ==, 2);
}

TEST_F(site, without_the_store_a_peer_is_asked_at_once)
{
    struct frame_version newer = {9, rig_addr("10.9.0.3:7720")};

    g_assert_false(store_reader_asks_peer(&site->reader, 3, site->now_us));
    store_reader_newer(&site->reader, &newer, site->now_us);
    g_assert_true(store_reader_asks_peer(&site->reader, 3, site->now_us));
}

/* The first that was named may be frozen. */
TEST_F(site, the_holder_that_was_named_last_is_asked)
{
    struct frame_version first = {9, rig_addr("10.9.0.3:7720")};
    struct frame_version second = {9, rig_addr("10.9.0.4:7720")};
    struct frame_version older = {8, rig_addr("10.9.0.5:7720")};

    store_reader_newer(&site->reader, &first, site->now_us);
    store_reader_newer(&site->reader, &second, site->now_us + MS);
    store_reader_newer(&site->reader, &older, site->now_us + 2 * MS);
    g_assert_true(addr_equal(site->reader.newer.holder, second.holder));
    g_assert_cmpuint(site->reader.behind_us, ==, site->now_us);
}

/* While versions follow each other the wait isn't begun anew with each. */
TEST_F(site, newer_versions_in_a_row_do_not_put_the_read_off)
{
    struct frame_version newer = {9, rig_addr("10.9.0.3:7720")};

    for (unsigned i = 0; i < 10; i++) {
        newer.version++;
        store_reader_newer(&site->reader, &newer, site->now_us);
        pass_ms(site, 40, 1);
    }
    g_assert_cmpint(read_now(site), ==, STORE_READ_LATEST);
}

/* After a loss of all hosts some must know the latest, and not all pay. */
TEST(of_those_that_start_together_a_quarter_reads_the_latest)
{
    unsigned latest = 0;

    for (uint64_t seed = 1; seed <= 1000; seed++) {
        struct store_reader reader;

        store_reader_init(&reader, seed, USEC_PER_SEC);
        latest += store_reader_first(&reader) == STORE_READ_LATEST;
    }
    g_assert_cmpuint(latest, >=, 200);
    g_assert_cmpuint(latest, <=, 300);
}

/* Agents hear from few balancers of many: only witnesses know how few read. */
TEST_F(site, one_other_reader_is_enough_until_witnesses_say_so)
{
    for (unsigned i = 0; i < 2000 && site->pings == 0; i++) {
        pass_ms(site, 1, 1);
        g_assert_cmpint(read_now(site), ==, STORE_READ_ANY);
    }
    g_assert_cmpuint(site->pings, ==, 1);
}

TEST_F(site, who_stops_tells_the_witnesses)
{
    pass_ms(site, 1200, 0);
    g_assert_cmpint(read_now(site), ==, STORE_READ_LATEST);
    for (unsigned i = 0; i < 20000 && site->reader.reading; i++) {
        site->pings = 0;
        pass_ms(site, 1, 9);
    }
    g_assert_false(site->reader.reading);
    pass_ms(site, 1, 9);
    g_assert_cmpuint(site->pings, ==, 1);
}

/* All hear of a new configuration at once, and few have it. */
TEST(balancers_that_are_behind_do_not_ask_all_at_once)
{
    struct frame_version newer = {9, rig_addr("10.9.0.3:7720")};
    unsigned early = 0;

    for (uint64_t seed = 1; seed <= 300; seed++) {
        struct store_reader reader;

        store_reader_init(&reader, seed, USEC_PER_SEC);
        store_reader_newer(&reader, &newer, USEC_PER_SEC);
        g_assert_false(
            store_reader_asks_peer(&reader, 0, USEC_PER_SEC + 350 * MS));
        early += store_reader_asks_peer(&reader, 0, USEC_PER_SEC + 475 * MS);
        g_assert_true(
            store_reader_asks_peer(&reader, 0, USEC_PER_SEC + 600 * MS));
    }
    g_assert_cmpuint(early, >=, 120);
    g_assert_cmpuint(early, <=, 180);
}
