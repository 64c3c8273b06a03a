#include "base/clock.h"
#include "lib/harness.h"
#include "relay/admission_fixture.h"
#include "relay/relay_fixture.h"

#define SUITE "/relay/door_queue"

/* A caller whose SYN waits comes again after 1.4 s as a new flow, and nobody
 * knows how old its request is. So the flow of one that has to wait is opened
 * at once, and its request waits. */

#define BUDGET_MS 3000

static void
arrive_full(struct fixture *fixture, unsigned number, unsigned target_ms)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(number), RELAY_SYN, 100, 0, 0);
    struct frame_forward frame = {
        .service = fixture->admission.endpoint.service,
        .origin = fixture_addr(FIXTURE_BALANCER),
        .view.version = 1,
        .forced = true,
        .target_ms = (uint16_t)target_ms,
        .caller_timeout_ms = 1400,
        .request_timeout_ms = BUDGET_MS,
        .bytes = syn.bytes,
        .size = syn.size,
    };

    admission_handle_forward(&fixture->admission, &frame, &syn,
                             fixture->now_us);
}

/* Opens a flow whose request has to wait. */
static void
open_waiting(struct fixture *fixture, unsigned number, unsigned target_ms)
{
    arrive_full(fixture, number, target_ms);
    fixture_answer(fixture,
                   fixture_from_endpoint(fixture_flow(number),
                                         RELAY_SYN | RELAY_ACK, 500, 101, 0));
}

static void
ask(struct fixture *fixture, unsigned number, uint32_t seq, uint16_t len)
{
    fixture_receive(
        fixture,
        fixture_from_caller(fixture_flow(number), RELAY_ACK, seq, 501, len), 0,
        false);
}

/* The endpoint answers the request of an open flow. */
static void
finish(struct fixture *fixture, unsigned number)
{
    g_string_truncate(fixture->record, 0);
    fixture_answer(fixture, fixture_from_endpoint(fixture_flow(number),
                                                  RELAY_ACK, 501, 141, 900));
}

static void
start(struct fixture *fixture)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_fill(fixture);
    for (unsigned i = 1; i <= 3; i++) {
        ask(fixture, i, 101, 40);
    }
    ask(fixture, FIXTURE_FILL_LAST, 101, 40);
    g_string_truncate(fixture->record, 0);
}

TEST_F(fixture, the_flow_opens_and_its_request_waits)
{
    start(fixture);
    open_waiting(fixture, 4, 100);
    fixture_expect(fixture->record, "endpoint 0",
                   "tell placed reason=0 on=0 busy=4 state=1", "caller 1004",
                   NULL);
    ask(fixture, 4, 101, 50);
    fixture_expect(fixture->record, NULL);
    finish(fixture, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 50", NULL);
    g_assert_cmpuint(fixture->admission.busy_count, ==, 4);
}

/* The agent's processor is for packets. */
TEST_F(fixture, what_waits_wakes_nobody)
{
    start(fixture);
    open_waiting(fixture, 4, 100);
    ask(fixture, 4, 101, 50);
    fixture_advance_ms(fixture, 1);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 1);
    g_assert_cmpuint(admission_next_us(&fixture->admission), >,
                     fixture->now_us);
}

TEST_F(fixture, the_end_of_the_handshake_goes_through)
{
    start(fixture);
    open_waiting(fixture, 4, 100);
    g_string_truncate(fixture->record, 0);
    ask(fixture, 4, 101, 0);
    fixture_expect(fixture->record, "endpoint 0", NULL);
}

TEST_F(fixture, a_request_that_is_sent_again_waits_once)
{
    start(fixture);
    open_waiting(fixture, 4, 1000);
    ask(fixture, 4, 101, 50);
    fixture_advance_ms(fixture, 200);
    g_string_truncate(fixture->record, 0);
    ask(fixture, 4, 101, 50);
    fixture_expect(fixture->record, NULL);
    finish(fixture, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 50", NULL);
    /* What comes later goes through. */
    ask(fixture, 4, 101, 50);
    fixture_expect(fixture->record, "endpoint 50", NULL);
}

TEST_F(fixture, a_request_of_several_packets_goes_in_order)
{
    start(fixture);
    open_waiting(fixture, 4, 1000);
    ask(fixture, 4, 101, 1200);
    ask(fixture, 4, 1301, 300);
    finish(fixture, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 1200",
                   "endpoint 300", NULL);
}

TEST_F(fixture, what_can_be_in_time_goes_before_what_is_late_in_the_queue_too)
{
    start(fixture);
    open_waiting(fixture, 4, 0);
    ask(fixture, 4, 101, 44);
    open_waiting(fixture, 5, 200);
    ask(fixture, 5, 101, 55);
    finish(fixture, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 55", NULL);
}

/* A SYN that nobody had room for, and where it is to wait: here or at another
 * agent, whose load of 36 sixteenths lies between four requests on two slots
 * and five. */
static void
arrive_for_best(struct fixture *fixture, unsigned number)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(number), RELAY_SYN, 100, 0, 0);
    struct frame_forward frame = {
        .service = fixture->admission.endpoint.service,
        .origin = fixture_addr(FIXTURE_BALANCER),
        .target_ms = 200,
        .caller_timeout_ms = 1400,
        .request_timeout_ms = BUDGET_MS,
        .best = fixture_addr(FIXTURE_SECOND),
        .best_load = 36,
        .bytes = syn.bytes,
        .size = syn.size,
    };

    g_string_truncate(fixture->record, 0);
    admission_handle_forward(&fixture->admission, &frame, &syn,
                             fixture->now_us);
}

TEST_F(fixture, one_that_waits_in_time_sends_the_next_to_another_agent)
{
    start(fixture);
    open_waiting(fixture, 4, 200);
    ask(fixture, 4, 101, 44);
    arrive_for_best(fixture, 5);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=0 forced",
                   "tell passed reason=1 on=1 busy=5 state=1", NULL);
}

TEST_F(fixture, one_that_is_late_sends_nobody_away)
{
    start(fixture);
    open_waiting(fixture, 4, 0);
    ask(fixture, 4, 101, 44);
    arrive_for_best(fixture, 5);
    fixture_expect(fixture->record, "endpoint 0",
                   "tell passed reason=1 on=1 busy=4 state=1", NULL);
}

/* Both are late; the other's caller waits longer. */
TEST_F(fixture, of_the_late_the_one_that_ends_first_goes_first)
{
    start(fixture);
    open_waiting(fixture, 4, 0);
    ask(fixture, 4, 101, 44);
    fixture_advance_ms(fixture, 20);
    open_waiting(fixture, 5, 0);
    ask(fixture, 5, 101, 55);
    /* The late need a slot that is free, not one that will be. */
    finish(fixture, 1);
    finish(fixture, 2);
    finish(fixture, 3);
    fixture_expect(fixture->record, "caller 1003", "endpoint 44", NULL);
}

/* Its caller waits no more: no slot is spent on it. */
TEST_F(fixture, a_request_whose_time_is_over_is_not_run)
{
    start(fixture);
    open_waiting(fixture, 4, 100);
    ask(fixture, 4, 101, 50);
    fixture_advance_ms(fixture, BUDGET_MS / 2);
    for (unsigned i = 1; i <= 3; i++) {
        /* The endpoint still works on these. */
        ask(fixture, i, 141, 40);
    }
    ask(fixture, FIXTURE_FILL_LAST, 141, 40);
    g_string_truncate(fixture->record, 0);
    fixture_advance_ms(fixture, BUDGET_MS / 2);
    fixture_expect(fixture->record, "drop 3", NULL);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 0);
}

/* A caller that keeps its flow open for later is none that waits. */
TEST_F(fixture, a_request_long_after_its_syn_goes_through)
{
    start(fixture);
    open_waiting(fixture, 4, 100);
    fixture_advance_ms(fixture, BUDGET_MS);
    g_string_truncate(fixture->record, 0);
    ask(fixture, 4, 101, 50);
    fixture_expect(fixture->record, "endpoint 50", NULL);
}

TEST_F(fixture, callers_that_wait_for_an_endpoint_that_ends_are_told)
{
    start(fixture);
    open_waiting(fixture, 4, 100);
    ask(fixture, 4, 101, 50);
    g_string_truncate(fixture->record, 0);
    admission_endpoint_left(&fixture->admission, "i-1", 0, fixture->now_us);
    fixture_advance_ms(fixture, 1);
    fixture_expect(fixture->record, "tell state reason=0 on=0 busy=5 state=3",
                   "reset 1004 at 500", NULL);
}

/* Its flow is open: neither a planned stop nor an evacuation ends it. */
TEST_F(fixture, a_request_that_waits_is_served_though_nothing_new_is_taken)
{
    struct evacuations told = {.revision = 5};

    evacuations_add(&told, evacuations_key("here"));
    start(fixture);
    open_waiting(fixture, 4, 100);
    ask(fixture, 4, 101, 50);
    open_waiting(fixture, 5, 100);
    ask(fixture, 5, 101, 55);
    admission_handle_evacuations(&fixture->admission, &told, fixture->now_us);
    admission_drain(&fixture->admission, fixture->now_us);
    finish(fixture, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 50", NULL);
    finish(fixture, 2);
    fixture_expect(fixture->record, "caller 1002", "endpoint 55", NULL);
}

TEST_F(fixture, a_caller_that_took_another_answer_waits_here_no_more)
{
    start(fixture);
    open_waiting(fixture, 4, 100);
    g_string_truncate(fixture->record, 0);
    fixture_receive(
        fixture,
        fixture_from_caller(fixture_flow(4), RELAY_ACK, 101, 90000001, 50), 1,
        false);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 0);
    finish(fixture, 1);
    fixture_expect(fixture->record, "caller 1001", NULL);
}

TEST_F(fixture, an_endpoint_that_refuses_the_syn_leaves_nothing_behind)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(4), RELAY_SYN, 100, 0, 0);

    start(fixture);
    arrive_full(fixture, 4, 100);
    fixture_answer(fixture, fixture_bounced(syn));
    g_assert_cmpuint(fixture->admission.queue_count, ==, 0);
    finish(fixture, 1);
    fixture_expect(fixture->record, "caller 1001", NULL);
}
