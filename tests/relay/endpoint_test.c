#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/admission/endpoint.h"

#define SUITE "/relay/endpoint"

#define EARLIER_MS 1790000000000u
#define LATER_MS 1790000004000u

/* Longer than any heartbeat is held up. */
#define SILENCE_US (6 * USEC_PER_SEC)

/** struct site - an endpoint of "lots" whose agent has just started */
struct site {
    struct endpoint endpoint;
    uint64_t now_us;
};

static void
site_init(struct site *site)
{
    endpoint_init(&site->endpoint, "lots");
    site->now_us = 10 * USEC_PER_SEC;
}

static void
site_finish(struct site *site)
{
}

static enum endpoint_update
beat(struct site *site, const char *id, uint64_t started_ms, uint64_t sequence,
     bool draining)
{
    struct heartbeat heartbeat = {
        .started_ms = started_ms,
        .service = hash_service("lots"),
        .draining = draining,
        .slots = 2,
        .sequence = sequence,
    };

    g_strlcpy(heartbeat.id, id, sizeof(heartbeat.id));
    return endpoint_heartbeat(&site->endpoint, &heartbeat, site->now_us);
}

TEST_F(site, the_same_id_starts_again_and_counts_anew)
{
    g_assert_cmpint(beat(site, "i-1", EARLIER_MS, 40, false), ==,
                    ENDPOINT_CHANGED);
    g_assert_cmpint(beat(site, "i-1", LATER_MS, 1, false), ==,
                    ENDPOINT_NEW_INCARNATION);
    g_assert_cmpint(beat(site, "i-1", LATER_MS, 2, true), ==,
                    ENDPOINT_CHANGED);
    g_assert_cmpint(site->endpoint.state, ==, ENDPOINT_DRAINING);
}

TEST_F(site, one_that_said_goodbye_may_start_again)
{
    beat(site, "i-1", EARLIER_MS, 7, false);
    g_assert_true(endpoint_left(&site->endpoint, "i-1", EARLIER_MS));
    g_assert_cmpint(beat(site, "i-1", EARLIER_MS, 8, false), ==,
                    ENDPOINT_UNCHANGED);
    g_assert_cmpint(site->endpoint.state, ==, ENDPOINT_GONE);
    g_assert_cmpint(beat(site, "i-1", LATER_MS, 1, false), ==,
                    ENDPOINT_NEW_INCARNATION);
    g_assert_cmpint(site->endpoint.state, ==, ENDPOINT_READY);
}

TEST_F(site, a_late_heartbeat_of_an_earlier_start_changes_nothing)
{
    beat(site, "i-1", EARLIER_MS, 40, false);
    beat(site, "i-1", LATER_MS, 1, false);
    g_assert_cmpint(beat(site, "i-1", EARLIER_MS, 41, true), ==,
                    ENDPOINT_STALE);
    /* The same of another id, and of a writer that names no start. */
    g_assert_cmpint(beat(site, "i-0", EARLIER_MS, 90, true), ==,
                    ENDPOINT_STALE);
    g_assert_cmpint(beat(site, "i-1", 0, 91, true), ==, ENDPOINT_STALE);
    g_assert_cmpint(site->endpoint.state, ==, ENDPOINT_READY);
    g_assert_cmpint(beat(site, "i-1", LATER_MS, 2, false), ==,
                    ENDPOINT_UNCHANGED);
}

TEST_F(site, a_late_goodbye_of_an_earlier_start_changes_nothing)
{
    beat(site, "i-1", EARLIER_MS, 40, true);
    beat(site, "i-1", LATER_MS, 1, false);
    g_assert_false(endpoint_left(&site->endpoint, "i-1", EARLIER_MS));
    g_assert_false(endpoint_left(&site->endpoint, "i-1", 0));
    g_assert_cmpint(site->endpoint.state, ==, ENDPOINT_READY);
    /* One that has said that it drains may leave without naming its start. */
    beat(site, "i-1", LATER_MS, 2, true);
    g_assert_true(endpoint_left(&site->endpoint, "i-1", 0));
    g_assert_cmpint(site->endpoint.state, ==, ENDPOINT_GONE);
}

/* The time of day went back between two starts. */
TEST_F(site, a_start_that_seems_earlier_is_believed_when_the_other_is_silent)
{
    beat(site, "i-1", LATER_MS, 40, false);
    g_assert_cmpint(beat(site, "i-1", EARLIER_MS, 1, true), ==,
                    ENDPOINT_STALE);
    site->now_us += SILENCE_US;
    g_assert_cmpint(beat(site, "i-1", EARLIER_MS, 6, true), ==,
                    ENDPOINT_NEW_INCARNATION);
    g_assert_cmpint(site->endpoint.state, ==, ENDPOINT_DRAINING);
}

TEST_F(site, without_a_time_the_id_tells_starts_apart)
{
    g_assert_cmpint(beat(site, "i-1", 0, 40, false), ==, ENDPOINT_CHANGED);
    g_assert_cmpint(beat(site, "i-1", 0, 12, true), ==, ENDPOINT_UNCHANGED);
    g_assert_cmpint(beat(site, "i-2", 0, 1, false), ==,
                    ENDPOINT_NEW_INCARNATION);
    g_assert_false(endpoint_left(&site->endpoint, "i-1", 0));
    g_assert_true(endpoint_left(&site->endpoint, "i-2", 0));
}
