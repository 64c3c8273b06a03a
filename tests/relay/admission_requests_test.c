/* Requests on flows that stay open are held at the agent while the endpoint
 * has no room. */
#include <string.h>

#include "base/clock.h"
#include "lib/harness.h"
#include "relay/relay_fixture.h"
#include "relay/requests_fixture.h"

#define SUITE "/relay/admission_requests"

SCHEDULED_TEST(it_begins_with_the_first_flow_that_carries_a_second_request)
{
    requests_open_flows(fixture, 2);
    g_assert_false(fixture->admission.engaged);
    /* A copy of the first. */
    requests_send_request(fixture, 1, 0, REQUESTS_ORDINARY);
    g_assert_false(fixture->admission.engaged);
    requests_send_request(fixture, 1, 1, REQUESTS_ORDINARY);
    g_assert_true(fixture->admission.engaged);
}

SCHEDULED_TEST(a_request_on_an_open_flow_is_held_until_another_ends)
{
    requests_start_full(fixture, 1);
    requests_send_request(fixture, 5, 1, REQUESTS_ORDINARY);
    fixture_expect(fixture->record, NULL);
    requests_answer(fixture, 1, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 40", NULL);
    requests_answer(fixture, 5, 1);
    fixture_expect(fixture->record, "caller 1005", NULL);
    g_assert_cmpuint(fixture->admission.busy_count, ==, REQUESTS_ROOM - 1);
}

SCHEDULED_TEST(the_first_request_of_an_urgent_flow_is_held_too)
{
    requests_start_full(fixture, 0);
    requests_send_syn(fixture, 9, REQUESTS_URGENT);
    requests_answer_syn(fixture, 9);
    g_string_truncate(fixture->record, 0);
    requests_send_request(fixture, 9, 0, REQUESTS_URGENT);
    fixture_expect(fixture->record, NULL);
    requests_answer(fixture, 1, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 40", NULL);
}

SCHEDULED_TEST(an_urgent_request_goes_before_an_earlier_one)
{
    requests_start_full(fixture, 2);
    requests_send_part(fixture, 5, 1, 0, 40, 0, REQUESTS_ORDINARY);
    requests_send_part(fixture, 6, 1, 0, 60, 0, REQUESTS_URGENT);
    requests_answer(fixture, 1, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 60", NULL);
    requests_answer(fixture, 2, 1);
    fixture_expect(fixture->record, "caller 1002", "endpoint 40", NULL);
}

SCHEDULED_TEST(a_request_of_many_packets_is_kept_whole_and_in_order)
{
    requests_start_full(fixture, 1);
    for (unsigned i = 0; i < 4; i++) {
        requests_send_part(fixture, 5, 1, 1200 * i, (uint16_t)(1200 - i), 0,
                           REQUESTS_ORDINARY);
    }
    /* The caller's copies. */
    requests_send_part(fixture, 5, 1, 0, 1200, 0, REQUESTS_ORDINARY);
    requests_send_part(fixture, 5, 1, 2400, 1198, 0, REQUESTS_ORDINARY);
    fixture_expect(fixture->record, NULL);
    requests_answer(fixture, 1, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 1200",
                   "endpoint 1199", "endpoint 1198", "endpoint 1197", NULL);
    /* The rest of a request at the endpoint isn't another request. */
    requests_send_part(fixture, 5, 1, 4800, 600, 0, REQUESTS_ORDINARY);
    fixture_expect(fixture->record, "endpoint 600", NULL);
    g_assert_cmpuint(fixture->admission.scheduler.running_count, ==,
                     REQUESTS_ROOM);
}

SCHEDULED_TEST(a_fin_does_not_overtake_a_held_request_but_an_ack_does)
{
    requests_start_full(fixture, 1);
    requests_send_request(fixture, 5, 1, REQUESTS_ORDINARY);
    requests_send_part(fixture, 5, 2, 0, 0, 0, REQUESTS_ORDINARY);
    fixture_expect(fixture->record, "endpoint 0", NULL);
    requests_send_part(fixture, 5, 2, 0, 0, RELAY_FIN, REQUESTS_ORDINARY);
    requests_send_part(fixture, 5, 2, 0, 0, RELAY_FIN, REQUESTS_ORDINARY);
    fixture_expect(fixture->record, NULL);
    requests_answer(fixture, 1, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 40", "endpoint 0",
                   NULL);
    /* The half-closed flow still gets its answer. */
    requests_answer(fixture, 5, 1);
    fixture_expect(fixture->record, "caller 1005", NULL);
}

SCHEDULED_TEST(a_request_sent_ahead_stays_behind_the_one_before)
{
    requests_start_full(fixture, 1);
    requests_send_request(fixture, 5, 1, REQUESTS_ORDINARY);
    requests_send_part(fixture, 5, 2, 0, 50, 0, REQUESTS_ORDINARY);
    fixture_expect(fixture->record, NULL);
    requests_answer(fixture, 1, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 40",
                   "endpoint 50", NULL);
}

SCHEDULED_TEST(the_rest_of_an_answer_does_not_end_the_next_request)
{
    requests_start_full(fixture, 1);
    requests_answer(fixture, 1, 1);
    requests_send_request(fixture, 1, 2, REQUESTS_ORDINARY);
    g_string_truncate(fixture->record, 0);
    fixture_answer(fixture, fixture_from_endpoint(fixture_flow(1), RELAY_ACK,
                                                  501 + 2 * REQUESTS_ANSWER,
                                                  REQUESTS_SEQ(2), 600));
    fixture_expect(fixture->record, "caller 1001", NULL);
    g_assert_cmpuint(fixture->admission.scheduler.running_count, ==,
                     REQUESTS_ROOM);
}

SCHEDULED_TEST(a_callers_reset_drops_the_held_request)
{
    requests_start_full(fixture, 1);
    requests_send_request(fixture, 5, 1, REQUESTS_ORDINARY);
    requests_send_part(fixture, 5, 2, 0, 0, RELAY_RST, REQUESTS_ORDINARY);
    fixture_expect(fixture->record, "endpoint 0", NULL);
    g_assert_cmpuint(fixture->admission.scheduler.held_count, ==, 0);
    requests_answer(fixture, 1, 1);
    fixture_expect(fixture->record, "caller 1001", NULL);
}

SCHEDULED_TEST(a_request_that_would_be_late_goes_to_the_full_endpoint)
{
    requests_start_full(fixture, 1);
    requests_send_request(fixture, 5, 1, REQUESTS_ORDINARY);
    fixture_advance_ms(fixture, 200);
    fixture_expect(fixture->record, NULL);
    g_assert_cmpuint(admission_next_us(&fixture->admission), <,
                     fixture->now_us + 100 * USEC_PER_MSEC);
    fixture_advance_ms(fixture, REQUESTS_TARGET_MS - 200);
    fixture_expect(fixture->record, "endpoint 40", NULL);
    /* The endpoint rejects it: it takes no more than four. */
    requests_answer(fixture, 5, 1);
    g_assert_cmpuint(fixture->admission.scheduler.limit, ==, REQUESTS_ROOM);
    g_assert_cmpuint(fixture->admission.scheduler.running_count, ==,
                     REQUESTS_ROOM);
}

/* Also with another service time, a rejection isn't an answer. */
SCHEDULED_TEST(a_rejected_request_is_no_sample_of_the_service_time)
{
    uint64_t service_us;
    unsigned failed;

    requests_start_full(fixture, 1);
    service_us = fixture->admission.latency.service_us;
    failed = fixture->admission.outcome.failed;
    fixture->admission.outcome.at_us = 7;
    requests_answer(fixture, 4, 1);
    g_assert_cmpuint(fixture->admission.latency.service_us, ==, service_us);
    g_assert_cmpuint(fixture->admission.outcome.failed, ==, failed);
    g_assert_cmpuint(fixture->admission.outcome.at_us, ==, 7);
    requests_answer(fixture, 1, 1);
    g_assert_cmpuint(fixture->admission.outcome.at_us, ==, fixture->now_us);
}

/* The agent had no processor while the endpoint ran all four. */
SCHEDULED_TEST(answers_read_after_a_pause_of_the_agent_are_no_rejections)
{
    requests_start_full(fixture, 0);
    fixture->admission.latency.service_us = 40 * USEC_PER_MSEC;
    fixture_advance_ms(fixture, 1);
    fixture->now_us += 100 * USEC_PER_MSEC;
    for (unsigned i = 1; i <= REQUESTS_ROOM; i++) {
        requests_answer(fixture, i, 1);
    }
    g_assert_cmpuint(reject_rate_per_mille(&fixture->admission.reject_rate,
                                           fixture->now_us),
                     ==, 0);
}

/* The agent sees the first two end, and the others at the same time. */
SCHEDULED_TEST(answers_that_no_slot_ran_are_rejections_without_a_pause)
{
    requests_start_full(fixture, 0);
    fixture->admission.latency.service_us = 40 * USEC_PER_MSEC;
    fixture_advance_ms(fixture, 50);
    fixture_advance_ms(fixture, 50);
    for (unsigned i = 1; i <= REQUESTS_ROOM; i++) {
        requests_answer(fixture, i, 1);
    }
    g_assert_cmpuint(reject_rate_per_mille(&fixture->admission.reject_rate,
                                           fixture->now_us),
                     >, 0);
}

SCHEDULED_TEST(an_agent_that_starts_beside_open_flows_schedules_them)
{
    /* The endpoint's answers to requests from before. */
    for (unsigned i = 1; i <= REQUESTS_ROOM + 1; i++) {
        requests_answer(fixture, i, 0);
    }
    for (unsigned i = 1; i <= REQUESTS_ROOM; i++) {
        requests_send_request(fixture, i, 1, REQUESTS_ORDINARY);
    }
    g_string_truncate(fixture->record, 0);
    requests_send_request(fixture, REQUESTS_ROOM + 1, 1, REQUESTS_ORDINARY);
    fixture_expect(fixture->record,
                   "notify established reason=0 on=0 busy=5 state=1", NULL);
    requests_answer(fixture, 1, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 40", NULL);
}

SCHEDULED_TEST(a_held_copy_of_an_answered_request_is_dropped)
{
    requests_start_full(fixture, 0);
    /* The request went to the endpoint before this agent's start; what the
     * agent sees is its caller's copy. */
    requests_answer(fixture, 9, 0);
    requests_send_request(fixture, 9, 1, REQUESTS_ORDINARY);
    g_assert_cmpuint(fixture->admission.scheduler.held_count, ==, 1);
    g_string_truncate(fixture->record, 0);
    requests_answer(fixture, 9, 1);
    fixture_expect(fixture->record, "caller 1009", NULL);
    g_assert_cmpuint(fixture->admission.scheduler.held_count, ==, 0);
}

/* Failures. */

SCHEDULED_TEST(an_ended_endpoint_resets_the_flows_of_held_requests)
{
    requests_start_full(fixture, 1);
    requests_send_request(fixture, 5, 1, REQUESTS_ORDINARY);
    admission_endpoint_left(&fixture->admission, "i-1", 0, fixture->now_us);
    g_string_truncate(fixture->record, 0);
    fixture_advance_ms(fixture, 1);
    /* At the caller's last acknowledgement. */
    fixture_expect(fixture->record, "reset 1005 at 1401", NULL);
    g_assert_cmpuint(fixture->admission.scheduler.held_count, ==, 0);
}

/* Guards against resets because the endpoint has no listener. */
SCHEDULED_TEST(a_refused_probe_leaves_held_requests_of_a_living_endpoint)
{
    requests_start_full(fixture, 1);
    requests_send_request(fixture, 5, 1, REQUESTS_ORDINARY);
    g_string_truncate(fixture->record, 0);
    g_assert_false(
        admission_probe_refused(&fixture->admission, fixture->now_us));
    fixture_advance_ms(fixture, 1);
    fixture_expect(fixture->record, NULL);
    g_assert_cmpuint(fixture->admission.scheduler.held_count, ==, 1);
}

SCHEDULED_TEST(a_draining_agent_serves_held_requests)
{
    requests_start_full(fixture, 1);
    requests_send_request(fixture, 5, 1, REQUESTS_ORDINARY);
    admission_drain(&fixture->admission, fixture->now_us);
    g_string_truncate(fixture->record, 0);
    requests_answer(fixture, 1, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 40", NULL);
}

SCHEDULED_TEST(an_evacuation_leaves_held_requests)
{
    struct evacuations evacuations = {
        .epoch = 1,
        .revision = 2,
        .data_centres = {fixture->admission.data_centre},
        .count = 1,
    };

    requests_start_full(fixture, 1);
    requests_send_request(fixture, 5, 1, REQUESTS_ORDINARY);
    admission_handle_evacuations(&fixture->admission, &evacuations,
                                 fixture->now_us);
    g_assert_true(admission_is_evacuated(&fixture->admission));
    g_string_truncate(fixture->record, 0);
    requests_answer(fixture, 1, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 40", NULL);
}

SCHEDULED_TEST(a_request_that_does_not_fit_the_pool_is_given_whole)
{
    const unsigned large = PACKET_POOL_MAX / PACKET_POOL_CHAIN_MAX;

    requests_start_full(fixture, large + 1);
    for (unsigned i = 0; i < large; i++) {
        for (unsigned k = 0; k < PACKET_POOL_CHAIN_MAX; k++) {
            requests_send_part(fixture, REQUESTS_ROOM + 1 + i, 1, 100 * k, 100,
                               0, REQUESTS_ORDINARY);
        }
    }
    fixture_expect(fixture->record, NULL);
    requests_send_request(fixture, REQUESTS_ROOM + 1 + large, 1,
                          REQUESTS_ORDINARY);
    fixture_expect(fixture->record, "endpoint 40", NULL);
    g_assert_cmpuint(fixture->admission.scheduler.held_count, ==, large);
    /* One more packet than a chain takes. */
    requests_send_part(fixture, REQUESTS_ROOM + 1, 1, 1600, 77, 0,
                       REQUESTS_ORDINARY);
    for (unsigned k = 0; k < PACKET_POOL_CHAIN_MAX; k++) {
        g_assert_true(
            g_str_has_prefix(fixture->record->str, "endpoint 100\n"));
        g_string_erase(fixture->record, 0, (gssize)strlen("endpoint 100\n"));
    }
    fixture_expect(fixture->record, "endpoint 77", NULL);
}

SCHEDULED_TEST(after_a_paused_clock_all_held_requests_go_at_once)
{
    requests_start_full(fixture, 3);
    for (unsigned i = 5; i <= 7; i++) {
        requests_send_request(fixture, i, 1, REQUESTS_ORDINARY);
    }
    fixture->now_us += 2 * USEC_PER_SEC;
    admission_tick(&fixture->admission, fixture->now_us);
    fixture_expect(fixture->record, "endpoint 40", "endpoint 40",
                   "endpoint 40", NULL);
    g_assert_cmpuint(admission_next_us(&fixture->admission), >,
                     fixture->now_us);
}

SCHEDULED_TEST(a_restarted_endpoint_is_learned_anew)
{
    requests_start_full(fixture, 0);
    requests_answer(fixture, 4, 1);
    g_assert_cmpuint(fixture->admission.scheduler.limit, ==,
                     REQUESTS_ROOM - 1);
    fixture_starts(fixture, "i-2", 5);
    g_assert_cmpuint(fixture->admission.scheduler.limit, ==, REQUESTS_ROOM);
    g_assert_cmpuint(fixture->admission.scheduler.running_count, ==, 0);
}

SCHEDULED_TEST(a_flows_next_request_is_scheduled_after_a_restart)
{
    requests_start_full(fixture, 0);
    fixture_starts(fixture, "i-2", 2);
    requests_send_request(fixture, 1, 2, REQUESTS_ORDINARY);
    g_assert_cmpuint(fixture->admission.scheduler.running_count, ==, 1);
}

/* A reload turns the setting off: what is held goes before what comes. */
SCHEDULED_TEST(without_the_setting_any_more_held_requests_keep_their_order)
{
    requests_start_full(fixture, 1);
    requests_send_part(fixture, 5, 1, 0, 40, 0, REQUESTS_ORDINARY);
    admission_set_scheduling(&fixture->admission, false, fixture->now_us);
    requests_send_part(fixture, 5, 1, 40, 50, 0, REQUESTS_ORDINARY);
    requests_answer(fixture, 1, 1);
    fixture_expect(fixture->record, "endpoint 40", "endpoint 50",
                   "caller 1001", NULL);
    g_assert_cmpuint(fixture->admission.scheduler.held_count, ==, 0);
    g_assert_false(fixture->admission.engaged);
}

/* Without the setting, and while no flow carries a second request. */

/* Whether the flow has a request that went to the endpoint. */
static bool
is_in_progress(const struct fixture *fixture, unsigned number)
{
    struct admission_explanation explanation;

    return admission_explain(&fixture->admission, fixture_flow(number),
                             fixture->now_us, &explanation) &&
           explanation.confirmed && explanation.in_progress;
}

/* Random packets of a few flows at a full endpoint; returns what they led to.
 */
static char *
run_random(unsigned seed, bool scheduling, bool reuse)
{
    struct fixture fixture = {0};
    GRand *random = g_rand_new_with_seed(seed);
    char *record;

    fixture_init(&fixture);
    fixture.admission.scheduling = scheduling;
    fixture_heartbeat(&fixture, "i-1", "lots", false, 1);
    for (unsigned step = 0; step < 300; step++) {
        unsigned number = (unsigned)g_rand_int_range(random, 1, 12);
        unsigned before = reuse ? (unsigned)g_rand_int_range(random, 0, 3) : 0;

        switch (g_rand_int_range(random, 0, 5)) {
        case 0:
            requests_open_flow(&fixture, number);
            break;
        case 1:
            requests_send_request(&fixture, number, before, REQUESTS_URGENT);
            break;
        case 2:
            requests_send_request(&fixture, number, before, REQUESTS_ORDINARY);
            break;
        case 3:
            if (is_in_progress(&fixture, number)) {
                requests_answer(&fixture, number, before);
            }
            break;
        default:
            fixture_advance_ms(&fixture,
                               (unsigned)g_rand_int_range(random, 0, 100));
        }
    }
    g_rand_free(random);
    g_assert_true(!fixture.admission.engaged || (scheduling && reuse));
    record = g_strdup(fixture.record->str);
    fixture_finish(&fixture);
    return record;
}

TEST(with_one_request_a_flow_all_outputs_are_as_without_the_setting)
{
    for (unsigned seed = 1; seed <= 100; seed++) {
        char *with = run_random(seed, true, false);
        char *without = run_random(seed, false, false);

        g_assert_cmpstr(with, ==, without);
        g_free(with);
        g_free(without);
    }
}

TEST(without_the_setting_nothing_is_scheduled)
{
    unsigned differ = 0;

    for (unsigned seed = 1; seed <= 100; seed++) {
        char *with = run_random(seed, true, true);
        char *without = run_random(seed, false, true);

        differ += g_strcmp0(with, without) != 0;
        g_free(with);
        g_free(without);
    }
    /* Otherwise the test above would prove little. */
    g_assert_cmpuint(differ, >, 50);
}

/* The load in status frames. */

SCHEDULED_TEST(the_load_is_unknown_until_requests_are_scheduled)
{
    requests_open_flows(fixture, 1);
    g_assert_false(fixture->load.known);
}

SCHEDULED_TEST(the_load_names_wait_limit_and_rejects)
{
    struct frame_ping ping = {0};

    requests_start_full(fixture, 1);
    requests_send_request(fixture, 5, 1, REQUESTS_ORDINARY);
    requests_answer(fixture, 4, 1);
    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &ping, fixture->now_us);
    g_assert_true(fixture->load.known);
    g_assert_cmpuint(fixture->load.limit, ==, REQUESTS_ROOM - 1);
    g_assert_cmpuint(fixture->load.rejects, >, 0);
    g_assert_cmpuint(fixture->load.wait_ms, >, 0);
}
