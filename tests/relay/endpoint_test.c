#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/admission/endpoint.h"

#define SUITE "/relay/endpoint"

#define EARLIER_MS 1790000000000u
#define LATER_MS 1790000004000u

/* Longer than a heartbeat can be delayed. */
#define SILENCE_US (6 * USEC_PER_SEC)

/** struct endpoint_fixture - an endpoint of "lots" whose agent has just
 * started */
struct endpoint_fixture {
    struct endpoint endpoint;
    uint64_t now_us;
};

static void
endpoint_fixture_init(struct endpoint_fixture *endpoint_fixture)
{
    endpoint_init(&endpoint_fixture->endpoint, "lots");
    endpoint_fixture->now_us = 10 * USEC_PER_SEC;
}

static void
endpoint_fixture_finish(struct endpoint_fixture *endpoint_fixture)
{
}

static enum endpoint_update
send_heartbeat(struct endpoint_fixture *endpoint_fixture, const char *id,
               uint64_t started_ms, uint64_t sequence, bool draining)
{
    struct heartbeat heartbeat = {
        .started_ms = started_ms,
        .service = hash_service("lots"),
        .draining = draining,
        .slots = 2,
        .sequence = sequence,
    };

    g_strlcpy(heartbeat.id, id, sizeof(heartbeat.id));
    return endpoint_heartbeat(&endpoint_fixture->endpoint, &heartbeat,
                              endpoint_fixture->now_us);
}

TEST_F(endpoint_fixture, the_same_id_may_start_again)
{
    g_assert_cmpint(
        send_heartbeat(endpoint_fixture, "i-1", EARLIER_MS, 40, false), ==,
        ENDPOINT_CHANGED);
    g_assert_cmpint(
        send_heartbeat(endpoint_fixture, "i-1", LATER_MS, 1, false), ==,
        ENDPOINT_NEW_INCARNATION);
    g_assert_cmpint(send_heartbeat(endpoint_fixture, "i-1", LATER_MS, 2, true),
                    ==, ENDPOINT_CHANGED);
    g_assert_cmpint(endpoint_fixture->endpoint.state, ==, ENDPOINT_DRAINING);
}

TEST_F(endpoint_fixture, an_endpoint_that_left_may_start_again)
{
    send_heartbeat(endpoint_fixture, "i-1", EARLIER_MS, 7, false);
    g_assert_true(
        endpoint_left(&endpoint_fixture->endpoint, "i-1", EARLIER_MS));
    g_assert_cmpint(
        send_heartbeat(endpoint_fixture, "i-1", EARLIER_MS, 8, false), ==,
        ENDPOINT_UNCHANGED);
    g_assert_cmpint(endpoint_fixture->endpoint.state, ==, ENDPOINT_GONE);
    g_assert_cmpint(
        send_heartbeat(endpoint_fixture, "i-1", LATER_MS, 1, false), ==,
        ENDPOINT_NEW_INCARNATION);
    g_assert_cmpint(endpoint_fixture->endpoint.state, ==, ENDPOINT_READY);
}

TEST_F(endpoint_fixture, a_late_heartbeat_of_an_earlier_incarnation_is_stale)
{
    send_heartbeat(endpoint_fixture, "i-1", EARLIER_MS, 40, false);
    send_heartbeat(endpoint_fixture, "i-1", LATER_MS, 1, false);
    g_assert_cmpint(
        send_heartbeat(endpoint_fixture, "i-1", EARLIER_MS, 41, true), ==,
        ENDPOINT_STALE);
    /* The same for another id, and for a heartbeat without a start time. */
    g_assert_cmpint(
        send_heartbeat(endpoint_fixture, "i-0", EARLIER_MS, 90, true), ==,
        ENDPOINT_STALE);
    g_assert_cmpint(send_heartbeat(endpoint_fixture, "i-1", 0, 91, true), ==,
                    ENDPOINT_STALE);
    g_assert_cmpint(endpoint_fixture->endpoint.state, ==, ENDPOINT_READY);
    g_assert_cmpint(
        send_heartbeat(endpoint_fixture, "i-1", LATER_MS, 2, false), ==,
        ENDPOINT_UNCHANGED);
}

TEST_F(endpoint_fixture, a_late_goodbye_of_an_earlier_incarnation_is_ignored)
{
    send_heartbeat(endpoint_fixture, "i-1", EARLIER_MS, 40, true);
    send_heartbeat(endpoint_fixture, "i-1", LATER_MS, 1, false);
    g_assert_false(
        endpoint_left(&endpoint_fixture->endpoint, "i-1", EARLIER_MS));
    g_assert_false(endpoint_left(&endpoint_fixture->endpoint, "i-1", 0));
    g_assert_cmpint(endpoint_fixture->endpoint.state, ==, ENDPOINT_READY);
    /* A draining endpoint may leave without reporting its start. */
    send_heartbeat(endpoint_fixture, "i-1", LATER_MS, 2, true);
    g_assert_true(endpoint_left(&endpoint_fixture->endpoint, "i-1", 0));
    g_assert_cmpint(endpoint_fixture->endpoint.state, ==, ENDPOINT_GONE);
}

/* The clock was set back between two starts. */
TEST_F(endpoint_fixture, an_earlier_start_time_is_accepted_after_silence)
{
    send_heartbeat(endpoint_fixture, "i-1", LATER_MS, 40, false);
    g_assert_cmpint(
        send_heartbeat(endpoint_fixture, "i-1", EARLIER_MS, 1, true), ==,
        ENDPOINT_STALE);
    endpoint_fixture->now_us += SILENCE_US;
    g_assert_cmpint(
        send_heartbeat(endpoint_fixture, "i-1", EARLIER_MS, 6, true), ==,
        ENDPOINT_NEW_INCARNATION);
    g_assert_cmpint(endpoint_fixture->endpoint.state, ==, ENDPOINT_DRAINING);
}

TEST_F(endpoint_fixture, without_start_times_the_id_identifies_an_incarnation)
{
    g_assert_cmpint(send_heartbeat(endpoint_fixture, "i-1", 0, 40, false), ==,
                    ENDPOINT_CHANGED);
    g_assert_cmpint(send_heartbeat(endpoint_fixture, "i-1", 0, 12, true), ==,
                    ENDPOINT_UNCHANGED);
    g_assert_cmpint(send_heartbeat(endpoint_fixture, "i-2", 0, 1, false), ==,
                    ENDPOINT_NEW_INCARNATION);
    g_assert_false(endpoint_left(&endpoint_fixture->endpoint, "i-1", 0));
    g_assert_true(endpoint_left(&endpoint_fixture->endpoint, "i-2", 0));
}

/* Guards against SYNs to a draining endpoint: silence hides that it drains
 * only until its next answer. */
TEST_F(endpoint_fixture, a_draining_endpoint_that_answers_still_drains)
{
    struct endpoint *endpoint = &endpoint_fixture->endpoint;

    (void)send_heartbeat(endpoint_fixture, "i-1", EARLIER_MS, 1, true);
    g_assert_true(endpoint_down(endpoint));
    g_assert_cmpint(endpoint->state, ==, ENDPOINT_SILENT);
    g_assert_true(endpoint_answered(endpoint));
    g_assert_cmpint(endpoint->state, ==, ENDPOINT_DRAINING);
}
