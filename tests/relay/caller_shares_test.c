#include "base/clock.h"
#include "lib/harness.h"
#include "relay/overload/caller_shares.h"

#define SUITE "/relay/caller_shares"

#define START_US (100 * USEC_PER_SEC)
#define SERVICE 7
#define HEAVY 0x0a000001
#define OTHERS 0x14000000
#define BESIDE 0x15000000
#define SECONDS 10

/** struct fixture - shares of callers of one service that stays full */
struct fixture {
    struct caller_shares shares;
    uint64_t now_us;
    bool pressed;
    bool full;
};

static void
fixture_init(struct fixture *fixture, unsigned prefix_bits)
{
    fixture->now_us = START_US;
    fixture->pressed = true;
    fixture->full = true;
    caller_shares_init(&fixture->shares, 1, prefix_bits, START_US);
}

static bool
allow(struct fixture *fixture, uint32_t ip, bool urgent)
{
    return caller_shares_allow(&fixture->shares, SERVICE, ip, urgent,
                               fixture->pressed, fixture->full,
                               fixture->now_us);
}

/* Counts admitted flows of @count callers from @ip on that open @per_ms flows
 * each millisecond, one after another, beside 50 others of 20 a second. */
static unsigned
open_flows(struct fixture *fixture, uint32_t ip, unsigned count,
           unsigned per_ms, unsigned ms)
{
    unsigned admitted = 0;

    for (unsigned i = 0; i < per_ms * ms; i++) {
        if (i % per_ms == 0) {
            allow(fixture, BESIDE + (i / per_ms % 50 << 8), false);
        }
        admitted += allow(fixture, ip + i % count, false);
        fixture->now_us += USEC_PER_MSEC / per_ms;
    }
    return admitted;
}

TEST(without_pressure_a_crowd_from_one_address_is_not_limited)
{
    struct fixture fixture;

    fixture_init(&fixture, 32);
    fixture.pressed = fixture.full = false;
    g_assert_cmpuint(open_flows(&fixture, HEAVY, 1, 5, 5000), ==, 25000);
    g_assert_cmpfloat(
        caller_shares_level(&fixture.shares, SERVICE, fixture.now_us), ==, 0);
}

TEST(a_crowd_from_one_address_falls_to_its_share_and_others_are_admitted)
{
    struct fixture fixture;
    unsigned last_second = 0;

    fixture_init(&fixture, 32);
    for (unsigned ms = 0; ms < SECONDS * 1000; ms++) {
        unsigned admitted = open_flows(&fixture, HEAVY, 1, 4, 1);

        last_second += ms >= (SECONDS - 1) * 1000 ? admitted : 0;
        if (ms % 2 == 0) {
            g_assert_true(allow(&fixture, OTHERS + ms / 2 % 200, false));
        }
    }
    /* Pressure that doesn't end takes the level to its least, four times what
     * others open, 2.5 to 20 a second. */
    g_assert_cmpuint(last_second, >=, 4 * 2);
    g_assert_cmpuint(last_second, <=, 4 * 20);
}

TEST(a_crowd_of_equal_callers_is_not_refused_whatever_its_rate)
{
    struct fixture fixture;

    fixture_init(&fixture, 32);
    for (unsigned per_ms = 1; per_ms <= 16; per_ms *= 4) {
        g_assert_cmpuint(open_flows(&fixture, OTHERS, 100, per_ms, 5000), ==,
                         5000 * per_ms);
    }
}

TEST(a_level_holds_while_requests_are_in_time)
{
    struct fixture fixture;
    double before;

    fixture_init(&fixture, 32);
    open_flows(&fixture, HEAVY, 1, 4, 1000);
    fixture.pressed = false;
    before = caller_shares_level(&fixture.shares, SERVICE, fixture.now_us);
    open_flows(&fixture, HEAVY, 1, 4, 500);
    g_assert_cmpfloat(
        caller_shares_level(&fixture.shares, SERVICE, fixture.now_us), >,
        before);
    g_assert_cmpfloat(
        caller_shares_level(&fixture.shares, SERVICE, fixture.now_us), <,
        2 * before);
}

TEST(a_caller_is_admitted_beyond_its_share_while_an_agent_has_room)
{
    struct fixture fixture;

    fixture_init(&fixture, 32);
    open_flows(&fixture, HEAVY, 1, 4, 2000);
    g_assert_cmpuint(open_flows(&fixture, HEAVY, 1, 4, 100), <, 100);
    fixture.full = false;
    g_assert_cmpuint(open_flows(&fixture, HEAVY, 1, 4, 100), ==, 400);
}

TEST(urgent_flows_of_a_crowd_are_refused_after_its_ordinary_ones)
{
    struct fixture fixture;
    unsigned admitted[2] = {0};

    fixture_init(&fixture, 32);
    for (unsigned ms = 0; ms < 3000; ms++) {
        allow(&fixture, BESIDE + (ms % 50 << 8), false);
        for (unsigned i = 0; i < 4; i++) {
            admitted[i % 2] += allow(&fixture, HEAVY, i % 2 == 1);
        }
        fixture.now_us += USEC_PER_MSEC;
    }
    g_assert_cmpuint(admitted[1], >=, admitted[0]);
}

TEST(a_crowd_spread_over_a_prefix_counts_as_one_caller)
{
    struct fixture fixture;

    fixture_init(&fixture, 24);
    /* Four times what the others open. */
    open_flows(&fixture, HEAVY & 0xffffff00, 250, 4, 3000);
    g_assert_cmpuint(open_flows(&fixture, HEAVY & 0xffffff00, 250, 4, 1000),
                     <=, 4 * 20);
    fixture_init(&fixture, 32);
    open_flows(&fixture, HEAVY & 0xffffff00, 2000, 4, 3000);
    g_assert_cmpuint(open_flows(&fixture, HEAVY & 0xffffff00, 2000, 4, 1000),
                     ==, 4000);
}

TEST(a_crowd_of_addresses_does_not_hide_a_heavy_one)
{
    struct fixture fixture;
    const struct caller_share *heaviest[3];

    fixture_init(&fixture, 32);
    fixture.pressed = fixture.full = false;
    for (unsigned i = 0; i < 100000; i++) {
        allow(&fixture, OTHERS + i * 2654435761u % 1000000, false);
        if (i % 20 == 0) {
            allow(&fixture, HEAVY, false);
        }
        fixture.now_us += 50;
    }
    g_assert_cmpuint(
        caller_shares_heaviest(&fixture.shares, SERVICE, heaviest, 3), ==, 3);
    g_assert_cmphex(heaviest[0]->prefix, ==, HEAVY);
    /* It opens 1,000 flows a second. */
    g_assert_cmpfloat(
        caller_share_per_s(heaviest[0]->offered - heaviest[0]->error), >, 900);
    g_assert_cmpfloat(
        caller_share_per_s(heaviest[1]->offered - heaviest[1]->error), <, 50);
}

TEST(a_single_caller_among_a_crowd_of_addresses_is_never_refused)
{
    struct fixture fixture;

    fixture_init(&fixture, 32);
    for (unsigned i = 0; i < 200000; i++) {
        g_assert_true(
            allow(&fixture, OTHERS + i * 2654435761u % 1000000, false));
        allow(&fixture, HEAVY, false);
        fixture.now_us += 50;
    }
}

TEST(a_clock_that_stood_still_forgets_the_crowd)
{
    struct fixture fixture;

    fixture_init(&fixture, 32);
    open_flows(&fixture, HEAVY, 1, 4, 2000);
    fixture.now_us += 3600 * USEC_PER_SEC;
    g_assert_true(allow(&fixture, HEAVY, false));
}
