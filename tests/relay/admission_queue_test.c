#include <string.h>

#include "base/clock.h"
#include "lib/harness.h"
#include "relay/admission_fixture.h"
#include "relay/relay_fixture.h"

#define SUITE "/relay/admission_queue"

/* A new flow at a full endpoint is opened at once and its request is queued,
 * as a queued SYN would be sent again as a flow of unknown age. */

#define REQUEST_TIMEOUT_MS 3000

static void
receive_syn(struct fixture *fixture, unsigned number, unsigned target_ms)
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
        .request_timeout_ms = REQUEST_TIMEOUT_MS,
        .bytes = syn.bytes,
        .size = syn.size,
    };

    admission_handle_forward(&fixture->admission, &frame, &syn,
                             fixture->now_us);
}

/* Opens a flow whose request will be queued. */
static void
open_queued(struct fixture *fixture, unsigned number, unsigned target_ms)
{
    receive_syn(fixture, number, target_ms);
    fixture_answer(fixture,
                   fixture_from_endpoint(fixture_flow(number),
                                         RELAY_SYN | RELAY_ACK, 500, 101, 0));
}

static void
send_request(struct fixture *fixture, unsigned number, uint32_t seq,
             uint16_t len)
{
    fixture_receive(
        fixture,
        fixture_from_caller(fixture_flow(number), RELAY_ACK, seq, 501, len), 0,
        false);
}

/* The endpoint answers an open flow's request. */
static void
finish_request(struct fixture *fixture, unsigned number)
{
    g_string_truncate(fixture->record, 0);
    fixture_answer(fixture, fixture_from_endpoint(fixture_flow(number),
                                                  RELAY_ACK, 501, 141, 900));
}

static void
start_full(struct fixture *fixture)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_fill(fixture);
    for (unsigned i = 1; i <= 3; i++) {
        send_request(fixture, i, 101, 40);
    }
    send_request(fixture, FIXTURE_FILL_LAST, 101, 40);
    g_string_truncate(fixture->record, 0);
}

TEST_F(fixture, a_flow_is_opened_and_its_request_queued)
{
    start_full(fixture);
    open_queued(fixture, 4, 100);
    fixture_expect(fixture->record, "endpoint 0",
                   "notify established reason=0 on=0 busy=4 state=1",
                   "caller 1004", NULL);
    send_request(fixture, 4, 101, 50);
    fixture_expect(fixture->record, NULL);
    finish_request(fixture, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 50", NULL);
    g_assert_cmpuint(fixture->admission.busy_count, ==, 4);
}

/* Guards against a tick that repeats without delay. */
TEST_F(fixture, a_queued_request_needs_no_tick)
{
    start_full(fixture);
    open_queued(fixture, 4, 100);
    send_request(fixture, 4, 101, 50);
    fixture_advance_ms(fixture, 1);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 1);
    g_assert_cmpuint(admission_next_us(&fixture->admission), >,
                     fixture->now_us);
}

TEST_F(fixture, the_last_packet_of_the_handshake_is_not_queued)
{
    start_full(fixture);
    open_queued(fixture, 4, 100);
    g_string_truncate(fixture->record, 0);
    send_request(fixture, 4, 101, 0);
    fixture_expect(fixture->record, "endpoint 0", NULL);
}

TEST_F(fixture, a_repeated_request_is_queued_once)
{
    start_full(fixture);
    open_queued(fixture, 4, 1000);
    send_request(fixture, 4, 101, 50);
    fixture_advance_ms(fixture, 200);
    g_string_truncate(fixture->record, 0);
    send_request(fixture, 4, 101, 50);
    fixture_expect(fixture->record, NULL);
    finish_request(fixture, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 50", NULL);
    /* Later packets aren't queued. */
    send_request(fixture, 4, 101, 50);
    fixture_expect(fixture->record, "endpoint 50", NULL);
}

TEST_F(fixture, packets_of_a_request_are_delivered_in_order)
{
    start_full(fixture);
    open_queued(fixture, 4, 1000);
    send_request(fixture, 4, 101, 1200);
    send_request(fixture, 4, 1301, 300);
    finish_request(fixture, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 1200",
                   "endpoint 300", NULL);
}

TEST_F(fixture, requests_in_time_are_admitted_before_late_ones)
{
    start_full(fixture);
    open_queued(fixture, 4, 0);
    send_request(fixture, 4, 101, 44);
    open_queued(fixture, 5, 200);
    send_request(fixture, 5, 101, 55);
    finish_request(fixture, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 55", NULL);
}

/* A SYN that no agent had capacity for. Its frame names another agent as the
 * least busy, with a load of 36/16: between four and five requests on two
 * slots. */
static void
receive_syn_with_best(struct fixture *fixture, unsigned number)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(number), RELAY_SYN, 100, 0, 0);
    struct frame_forward frame = {
        .service = fixture->admission.endpoint.service,
        .origin = fixture_addr(FIXTURE_BALANCER),
        .target_ms = 200,
        .caller_timeout_ms = 1400,
        .request_timeout_ms = REQUEST_TIMEOUT_MS,
        .best = fixture_addr(FIXTURE_SECOND),
        .best_load = 36,
        .bytes = syn.bytes,
        .size = syn.size,
    };

    g_string_truncate(fixture->record, 0);
    admission_handle_forward(&fixture->admission, &frame, &syn,
                             fixture->now_us);
}

TEST_F(fixture, a_queued_request_in_time_counts_as_load)
{
    start_full(fixture);
    open_queued(fixture, 4, 200);
    send_request(fixture, 4, 101, 44);
    receive_syn_with_best(fixture, 5);
    fixture_expect(fixture->record,
                   "forward 10.0.0.2:7000 hops=1 left=0 forced",
                   "notify redirected reason=1 on=1 busy=5 state=1", NULL);
}

TEST_F(fixture, a_late_queued_request_does_not_count_as_load)
{
    start_full(fixture);
    open_queued(fixture, 4, 0);
    send_request(fixture, 4, 101, 44);
    receive_syn_with_best(fixture, 5);
    fixture_expect(fixture->record, "endpoint 0",
                   "notify redirected reason=1 on=1 busy=4 state=1", NULL);
}

/* Both are late; the second one's caller waits longer. */
TEST_F(fixture, the_late_request_abandoned_first_is_admitted_first)
{
    start_full(fixture);
    open_queued(fixture, 4, 0);
    send_request(fixture, 4, 101, 44);
    fixture_advance_ms(fixture, 20);
    open_queued(fixture, 5, 0);
    send_request(fixture, 5, 101, 55);
    /* Late ones need a free slot, without the extra room. */
    finish_request(fixture, 1);
    finish_request(fixture, 2);
    finish_request(fixture, 3);
    fixture_expect(fixture->record, "caller 1003", "endpoint 44", NULL);
}

/* A request that its caller abandoned must not take a slot. */
TEST_F(fixture, an_abandoned_request_is_dropped)
{
    start_full(fixture);
    open_queued(fixture, 4, 100);
    send_request(fixture, 4, 101, 50);
    fixture_advance_ms(fixture, REQUEST_TIMEOUT_MS / 2);
    for (unsigned i = 1; i <= 3; i++) {
        /* These requests are in progress. */
        send_request(fixture, i, 141, 40);
    }
    send_request(fixture, FIXTURE_FILL_LAST, 141, 40);
    g_string_truncate(fixture->record, 0);
    fixture_advance_ms(fixture, REQUEST_TIMEOUT_MS / 2);
    fixture_expect(fixture->record, "drop 3", NULL);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 0);
}

/* A caller may keep an idle flow open before it sends a request. */
TEST_F(fixture, a_request_long_after_its_syn_is_not_queued)
{
    start_full(fixture);
    open_queued(fixture, 4, 100);
    fixture_advance_ms(fixture, REQUEST_TIMEOUT_MS);
    g_string_truncate(fixture->record, 0);
    send_request(fixture, 4, 101, 50);
    fixture_expect(fixture->record, "endpoint 50", NULL);
}

/* Its packets have left before, so that none is lost and none comes twice. */
TEST_F(fixture, a_request_that_does_not_fit_the_pool_is_given_whole)
{
    start_full(fixture);
    open_queued(fixture, 4, 1000);
    g_string_truncate(fixture->record, 0);
    for (unsigned i = 0; i < PACKET_POOL_CHAIN_MAX; i++) {
        send_request(fixture, 4, 101 + 10 * i, 10);
    }
    fixture_expect(fixture->record, NULL);
    send_request(fixture, 4, 101 + 10 * PACKET_POOL_CHAIN_MAX, 77);
    for (unsigned i = 0; i < PACKET_POOL_CHAIN_MAX; i++) {
        g_assert_true(g_str_has_prefix(fixture->record->str, "endpoint 10\n"));
        g_string_erase(fixture->record, 0, (gssize)strlen("endpoint 10\n"));
    }
    fixture_expect(fixture->record, "endpoint 77", NULL);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 0);
}

TEST_F(fixture, a_request_that_finds_the_pool_full_is_not_queued)
{
    int chain = PACKET_POOL_NONE;
    unsigned left = PACKET_POOL_MAX;
    struct relay_packet packet =
        fixture_from_caller(fixture_flow(1), RELAY_ACK, 1, 1, 10);

    start_full(fixture);
    open_queued(fixture, 4, 1000);
    while (left-- > 0) {
        chain = PACKET_POOL_NONE;
        g_assert_cmpint(packet_pool_append(&fixture->admission.packet_pool,
                                           &chain, &packet),
                        ==, 0);
    }
    g_string_truncate(fixture->record, 0);
    send_request(fixture, 4, 101, 50);
    send_request(fixture, 4, 101, 50);
    /* Given at once, as is the caller's copy. */
    fixture_expect(fixture->record, "endpoint 50", "endpoint 50", NULL);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 0);
}

TEST_F(fixture, queued_requests_are_reset_when_the_endpoint_ends)
{
    start_full(fixture);
    open_queued(fixture, 4, 100);
    send_request(fixture, 4, 101, 50);
    g_string_truncate(fixture->record, 0);
    admission_endpoint_left(&fixture->admission, "i-1", 0, fixture->now_us);
    fixture_advance_ms(fixture, 1);
    fixture_expect(fixture->record,
                   "notify state reason=0 on=0 busy=5 state=3",
                   "reset 1004 at 500", NULL);
}

/* Neither a planned stop nor an evacuation ends an open flow. */
TEST_F(fixture, queued_requests_are_served_while_draining_or_evacuated)
{
    struct evacuations evacuations = {.revision = 5};

    evacuations_add(&evacuations, evacuations_key("here"));
    start_full(fixture);
    open_queued(fixture, 4, 100);
    send_request(fixture, 4, 101, 50);
    open_queued(fixture, 5, 100);
    send_request(fixture, 5, 101, 55);
    admission_handle_evacuations(&fixture->admission, &evacuations,
                                 fixture->now_us);
    admission_drain(&fixture->admission, fixture->now_us);
    finish_request(fixture, 1);
    fixture_expect(fixture->record, "caller 1001", "endpoint 50", NULL);
    finish_request(fixture, 2);
    fixture_expect(fixture->record, "caller 1002", "endpoint 55", NULL);
}

TEST_F(fixture, a_flow_accepted_elsewhere_leaves_the_queue)
{
    start_full(fixture);
    open_queued(fixture, 4, 100);
    g_string_truncate(fixture->record, 0);
    fixture_receive(
        fixture,
        fixture_from_caller(fixture_flow(4), RELAY_ACK, 101, 90000001, 50), 1,
        false);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 0);
    finish_request(fixture, 1);
    fixture_expect(fixture->record, "caller 1001", NULL);
}

TEST_F(fixture, a_bounced_syn_leaves_nothing_queued)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(4), RELAY_SYN, 100, 0, 0);

    start_full(fixture);
    receive_syn(fixture, 4, 100);
    fixture_answer(fixture, fixture_bounced(syn));
    g_assert_cmpuint(fixture->admission.queue_count, ==, 0);
    finish_request(fixture, 1);
    fixture_expect(fixture->record, "caller 1001", NULL);
}
