#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/admission/endpoint.h"

#define SUITE "/relay/endpoint"

#define EARLIER_MS 1790000000000u
#define LATER_MS 1790000004000u

/* Heartbeats are this far apart. */
#define INTERVAL_US (1200 * USEC_PER_MSEC)

/* An endpoint that was running would have been heard within this time, or
 * within the longer one if its numbers show that it may have sent many. */
#define ABSENT_LOW_US (INTERVAL_US + INTERVAL_US / 2)
#define ABSENT_US (3 * INTERVAL_US + INTERVAL_US / 2)

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
    endpoint_fixture->now_us = 10 * USEC_PER_SEC;
    endpoint_init(&endpoint_fixture->endpoint, "lots",
                  endpoint_fixture->now_us);
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
    g_assert_true(endpoint_left(&endpoint_fixture->endpoint, "i-1", EARLIER_MS,
                                endpoint_fixture->now_us));
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
    g_assert_false(endpoint_left(&endpoint_fixture->endpoint, "i-1",
                                 EARLIER_MS, endpoint_fixture->now_us));
    g_assert_false(endpoint_left(&endpoint_fixture->endpoint, "i-1", 0,
                                 endpoint_fixture->now_us));
    g_assert_cmpint(endpoint_fixture->endpoint.state, ==, ENDPOINT_READY);
    /* A draining endpoint may leave without reporting its start. */
    send_heartbeat(endpoint_fixture, "i-1", LATER_MS, 2, true);
    g_assert_true(endpoint_left(&endpoint_fixture->endpoint, "i-1", 0,
                                endpoint_fixture->now_us));
    g_assert_cmpint(endpoint_fixture->endpoint.state, ==, ENDPOINT_GONE);
}

/* Guards against an endpoint that is gone for good by a foreign goodbye
 * while it goes on reporting. */
TEST_F(endpoint_fixture, an_endpoint_that_reports_on_has_not_left)
{
    struct endpoint *endpoint = &endpoint_fixture->endpoint;

    send_heartbeat(endpoint_fixture, "i-1", 0, 40, true);
    g_assert_true(endpoint_left(endpoint, "i-1", 0, endpoint_fixture->now_us));
    g_assert_cmpint(endpoint->state, ==, ENDPOINT_GONE);
    endpoint_fixture->now_us += SILENCE_US;
    /* Not by a repeated one. */
    send_heartbeat(endpoint_fixture, "i-1", 0, 40, true);
    g_assert_cmpint(endpoint->state, ==, ENDPOINT_GONE);
    g_assert_cmpint(send_heartbeat(endpoint_fixture, "i-1", 0, 45, true), ==,
                    ENDPOINT_CHANGED);
    g_assert_cmpint(endpoint->state, ==, ENDPOINT_DRAINING);
    /* Its own goodbye counts again. */
    g_assert_true(endpoint_left(endpoint, "i-1", 0, endpoint_fixture->now_us));
}

/* It may end soon, or be an earlier one: no new flows until a heartbeat. */
TEST_F(endpoint_fixture, a_goodbye_of_an_unknown_id_only_stops_new_flows)
{
    struct endpoint *endpoint = &endpoint_fixture->endpoint;

    g_assert_true(endpoint_left(endpoint, "i-1", 0, endpoint_fixture->now_us));
    g_assert_cmpint(endpoint->state, ==, ENDPOINT_DRAINING);
    /* Late heartbeats of an endpoint that has left change nothing. */
    g_assert_cmpint(send_heartbeat(endpoint_fixture, "i-1", 0, 40, false), ==,
                    ENDPOINT_UNCHANGED);
    g_assert_cmpint(endpoint->state, ==, ENDPOINT_DRAINING);
    g_assert_cmpint(send_heartbeat(endpoint_fixture, "i-2", 0, 7, false), ==,
                    ENDPOINT_NEW_INCARNATION);
    g_assert_cmpint(endpoint->state, ==, ENDPOINT_READY);
    g_assert_false(endpoint_is_complete(endpoint));
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

/* Guards against a frozen agent that, once it wakes, believes the report of an
 * earlier endpoint, or a foreign one, before its own endpoint's. */
TEST_F(endpoint_fixture, a_pause_of_the_agent_is_no_silence_of_the_endpoint)
{
    uint64_t since_us = endpoint_fixture->now_us;

    send_heartbeat(endpoint_fixture, "i-1", LATER_MS, 40, true);
    endpoint_fixture->now_us += SILENCE_US;
    endpoint_agent_paused(&endpoint_fixture->endpoint, since_us,
                          endpoint_fixture->now_us);
    g_assert_cmpint(
        send_heartbeat(endpoint_fixture, "i-0", EARLIER_MS, 90, false), ==,
        ENDPOINT_STALE);
    g_assert_cmpint(endpoint_fixture->endpoint.state, ==, ENDPOINT_DRAINING);
}

/* Guards against a draining endpoint that is ready by a foreign report,
 * as its own ones are missing. */
TEST_F(endpoint_fixture, a_silence_is_not_ended_by_one_report_without_a_start)
{
    send_heartbeat(endpoint_fixture, "i-1", LATER_MS, 40, true);
    endpoint_fixture->now_us += SILENCE_US;
    g_assert_cmpint(send_heartbeat(endpoint_fixture, "i-9", 0, 3, false), ==,
                    ENDPOINT_STALE);
    g_assert_cmpint(send_heartbeat(endpoint_fixture, "i-9", 0, 3, false), ==,
                    ENDPOINT_STALE);
    g_assert_cmpint(send_heartbeat(endpoint_fixture, "i-8", 0, 4, false), ==,
                    ENDPOINT_STALE);
    g_assert_cmpint(endpoint_fixture->endpoint.state, ==, ENDPOINT_DRAINING);
    g_assert_cmpint(
        send_heartbeat(endpoint_fixture, "i-1", LATER_MS, 41, true), ==,
        ENDPOINT_UNCHANGED);
    /* An endpoint of a version that doesn't report it goes on reporting. */
    endpoint_fixture->now_us += SILENCE_US;
    send_heartbeat(endpoint_fixture, "i-2", 0, 1, false);
    g_assert_cmpint(send_heartbeat(endpoint_fixture, "i-2", 0, 2, false), ==,
                    ENDPOINT_NEW_INCARNATION);
    g_assert_cmpint(endpoint_fixture->endpoint.state, ==, ENDPOINT_READY);
}

TEST_F(endpoint_fixture, without_start_times_the_id_identifies_an_incarnation)
{
    g_assert_cmpint(send_heartbeat(endpoint_fixture, "i-1", 0, 40, false), ==,
                    ENDPOINT_CHANGED);
    g_assert_cmpint(send_heartbeat(endpoint_fixture, "i-1", 0, 12, true), ==,
                    ENDPOINT_UNCHANGED);
    g_assert_cmpint(send_heartbeat(endpoint_fixture, "i-2", 0, 1, false), ==,
                    ENDPOINT_NEW_INCARNATION);
    g_assert_false(endpoint_left(&endpoint_fixture->endpoint, "i-1", 0,
                                 endpoint_fixture->now_us));
    g_assert_true(endpoint_left(&endpoint_fixture->endpoint, "i-2", 0,
                                endpoint_fixture->now_us));
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

/* The agent was there for this time before the next event. */
static void
watch(struct endpoint_fixture *endpoint_fixture, uint64_t us)
{
    endpoint_fixture->now_us += us;
}

/* Guards against a restarted agent that denies the flows of an endpoint that
 * numbers its heartbeats from 0: a low number doesn't show that the agent was
 * there when the endpoint started. */
TEST_F(endpoint_fixture, a_low_number_does_not_make_an_incarnation_complete)
{
    for (uint64_t sequence = 0; sequence < 3; sequence++) {
        send_heartbeat(endpoint_fixture, "i-1", 0, sequence, false);
        g_assert_false(endpoint_is_complete(&endpoint_fixture->endpoint));
        watch(endpoint_fixture, INTERVAL_US);
    }
}

/* One that was running would have been heard, whatever its numbers. */
TEST_F(endpoint_fixture, an_incarnation_after_a_silence_is_complete)
{
    watch(endpoint_fixture, ABSENT_US);
    send_heartbeat(endpoint_fixture, "i-1", 0, 40, false);
    g_assert_true(endpoint_is_complete(&endpoint_fixture->endpoint));
    watch(endpoint_fixture, INTERVAL_US);
    send_heartbeat(endpoint_fixture, "i-1", 0, 41, false);
    g_assert_true(endpoint_is_complete(&endpoint_fixture->endpoint));
}

TEST_F(endpoint_fixture, an_incarnation_soon_after_the_start_is_not_complete)
{
    watch(endpoint_fixture, ABSENT_LOW_US - 1);
    send_heartbeat(endpoint_fixture, "i-1", 0, 1, false);
    g_assert_false(endpoint_is_complete(&endpoint_fixture->endpoint));
}

/* It may have sent number 0 before this one, but that was due in the agent's
 * time. */
TEST_F(endpoint_fixture, a_low_number_needs_a_shorter_silence)
{
    watch(endpoint_fixture, ABSENT_LOW_US);
    send_heartbeat(endpoint_fixture, "i-1", 0, 1, false);
    g_assert_true(endpoint_is_complete(&endpoint_fixture->endpoint));
}

TEST_F(endpoint_fixture, a_higher_number_needs_a_longer_silence)
{
    watch(endpoint_fixture, ABSENT_US - 1);
    send_heartbeat(endpoint_fixture, "i-1", 0, 2, false);
    g_assert_false(endpoint_is_complete(&endpoint_fixture->endpoint));
}

/* While the agent was paused, it couldn't hear one that was running. */
TEST_F(endpoint_fixture, an_incarnation_after_a_pause_is_not_complete)
{
    uint64_t since_us = endpoint_fixture->now_us + USEC_PER_MSEC;

    watch(endpoint_fixture, 2 * ABSENT_US);
    endpoint_agent_paused(&endpoint_fixture->endpoint, since_us,
                          endpoint_fixture->now_us);
    send_heartbeat(endpoint_fixture, "i-1", 0, 0, false);
    g_assert_false(endpoint_is_complete(&endpoint_fixture->endpoint));
}

/* A pause after the silence changes nothing: what started since has started
 * beside this agent. */
TEST_F(endpoint_fixture, a_pause_after_the_silence_does_no_harm)
{
    watch(endpoint_fixture, 2 * ABSENT_US);
    endpoint_agent_paused(&endpoint_fixture->endpoint,
                          endpoint_fixture->now_us - USEC_PER_SEC,
                          endpoint_fixture->now_us);
    send_heartbeat(endpoint_fixture, "i-1", 0, 7, false);
    g_assert_true(endpoint_is_complete(&endpoint_fixture->endpoint));
}

TEST_F(endpoint_fixture, the_next_of_a_complete_incarnation_is_complete)
{
    watch(endpoint_fixture, ABSENT_US);
    send_heartbeat(endpoint_fixture, "i-1", 0, 1, false);
    send_heartbeat(endpoint_fixture, "i-2", 0, 9, false);
    g_assert_true(endpoint_is_complete(&endpoint_fixture->endpoint));
    /* So is a later start of the same id. */
    send_heartbeat(endpoint_fixture, "i-2", LATER_MS, 9, false);
    g_assert_true(endpoint_is_complete(&endpoint_fixture->endpoint));
}

/* Guards against a restarted agent that denies the flows of its endpoint as it
 * hears a foreign report, with a lower number, before it. */
TEST_F(endpoint_fixture, one_with_a_start_is_not_complete_after_one_without)
{
    watch(endpoint_fixture, ABSENT_LOW_US);
    send_heartbeat(endpoint_fixture, "i-9", 0, 1, false);
    g_assert_true(endpoint_is_complete(&endpoint_fixture->endpoint));
    send_heartbeat(endpoint_fixture, "i-1", EARLIER_MS, 40, false);
    g_assert_false(endpoint_is_complete(&endpoint_fixture->endpoint));
}

/* A delayed heartbeat of an endpoint that ended before the agent's start is
 * the first of its id here, and no proof that the running one is known. */
TEST_F(endpoint_fixture, a_late_heartbeat_of_an_unknown_id_proves_nothing)
{
    send_heartbeat(endpoint_fixture, "i-2", 0, 40, false);
    for (unsigned i = 0; i < 10; i++) {
        watch(endpoint_fixture, INTERVAL_US);
        send_heartbeat(endpoint_fixture, "i-2", 0, 41 + i, false);
    }
    send_heartbeat(endpoint_fixture, "i-1", 0, 0, false);
    g_assert_false(endpoint_is_complete(&endpoint_fixture->endpoint));
    send_heartbeat(endpoint_fixture, "i-2", 0, 60, false);
    g_assert_false(endpoint_is_complete(&endpoint_fixture->endpoint));
}

/* Beside an agent that is the first one at its address, whichever of the two
 * facts is known first. */
TEST_F(endpoint_fixture, a_young_endpoint_at_a_new_address_is_complete)
{
    struct endpoint *endpoint = &endpoint_fixture->endpoint;

    send_heartbeat(endpoint_fixture, "i-1", 0, 1, false);
    g_assert_false(endpoint_is_complete(endpoint));
    endpoint_set_new_address(endpoint);
    g_assert_true(endpoint_is_complete(endpoint));
    endpoint_fixture_init(endpoint_fixture);
    endpoint_set_new_address(endpoint);
    g_assert_false(endpoint_is_complete(endpoint));
    send_heartbeat(endpoint_fixture, "i-1", 0, 1, false);
    g_assert_true(endpoint_is_complete(endpoint));
}

/* An agent without an object may have been there while the store was away. */
TEST_F(endpoint_fixture, an_older_endpoint_at_a_new_address_is_not_complete)
{
    struct endpoint *endpoint = &endpoint_fixture->endpoint;

    send_heartbeat(endpoint_fixture, "i-1", 0, 2, false);
    endpoint_set_new_address(endpoint);
    g_assert_false(endpoint_is_complete(endpoint));
    endpoint_fixture_init(endpoint_fixture);
    endpoint_set_new_address(endpoint);
    send_heartbeat(endpoint_fixture, "i-1", 0, 2, false);
    g_assert_false(endpoint_is_complete(endpoint));
}
