#include "base/clock.h"
#include "lib/harness.h"
#include "relay/door_site.h"
#include "relay/relay_rig.h"

#define SUITE "/relay/door_queue"

/* A caller whose SYN waits comes again after 1.4 s as a new flow, and nobody
 * knows how old its request is. So the flow of one that has to wait is opened
 * at once, and its request waits. */

#define BUDGET_MS 3000

static void
arrive_full(struct site *site, unsigned number, unsigned target_ms)
{
    struct relay_packet syn =
        rig_from_caller(rig_flow(number), RELAY_SYN, 100, 0, 0);
    struct frame_carry frame = {
        .service = site->door.endpoint.service,
        .origin = rig_addr(SITE_BALANCER),
        .view.version = 1,
        .forced = true,
        .target_ms = (uint16_t)target_ms,
        .patience_ms = 1400,
        .budget_ms = BUDGET_MS,
        .bytes = syn.bytes,
        .size = syn.size,
    };

    door_carry(&site->door, &frame, &syn, site->now_us);
}

/* Opens a flow whose request has to wait. */
static void
open_waiting(struct site *site, unsigned number, unsigned target_ms)
{
    arrive_full(site, number, target_ms);
    site_answer(site, rig_from_endpoint(rig_flow(number),
                                        RELAY_SYN | RELAY_ACK, 500, 101, 0));
}

static void
ask(struct site *site, unsigned number, uint32_t seq, uint16_t len)
{
    site_arrive(site,
                rig_from_caller(rig_flow(number), RELAY_ACK, seq, 501, len), 0,
                false);
}

/* The endpoint answers the request of an open flow. */
static void
finish(struct site *site, unsigned number)
{
    g_string_truncate(site->record, 0);
    site_answer(site,
                rig_from_endpoint(rig_flow(number), RELAY_ACK, 501, 141, 900));
}

static void
start(struct site *site)
{
    site_heartbeat(site, "i-1", "lots", false, 1);
    site_fill(site);
    for (unsigned i = 1; i <= 3; i++) {
        ask(site, i, 101, 40);
    }
    ask(site, SITE_FILL_LAST, 101, 40);
    g_string_truncate(site->record, 0);
}

TEST_F(site, the_flow_opens_and_its_request_waits)
{
    start(site);
    open_waiting(site, 4, 100);
    rig_expect(site->record, "endpoint 0",
               "tell placed reason=0 on=0 busy=4 state=1", "caller 1004",
               NULL);
    ask(site, 4, 101, 50);
    rig_expect(site->record, NULL);
    finish(site, 1);
    rig_expect(site->record, "caller 1001", "endpoint 50", NULL);
    g_assert_cmpuint(site->door.busy_count, ==, 4);
}

/* The agent's processor is for packets. */
TEST_F(site, what_waits_wakes_nobody)
{
    start(site);
    open_waiting(site, 4, 100);
    ask(site, 4, 101, 50);
    site_pass_ms(site, 1);
    g_assert_cmpuint(site->door.queue_count, ==, 1);
    g_assert_cmpuint(door_next_us(&site->door), >, site->now_us);
}

TEST_F(site, the_end_of_the_handshake_goes_through)
{
    start(site);
    open_waiting(site, 4, 100);
    g_string_truncate(site->record, 0);
    ask(site, 4, 101, 0);
    rig_expect(site->record, "endpoint 0", NULL);
}

TEST_F(site, a_request_that_is_sent_again_waits_once)
{
    start(site);
    open_waiting(site, 4, 1000);
    ask(site, 4, 101, 50);
    site_pass_ms(site, 200);
    g_string_truncate(site->record, 0);
    ask(site, 4, 101, 50);
    rig_expect(site->record, NULL);
    finish(site, 1);
    rig_expect(site->record, "caller 1001", "endpoint 50", NULL);
    /* What comes later goes through. */
    ask(site, 4, 101, 50);
    rig_expect(site->record, "endpoint 50", NULL);
}

TEST_F(site, a_request_of_several_packets_goes_in_order)
{
    start(site);
    open_waiting(site, 4, 1000);
    ask(site, 4, 101, 1200);
    ask(site, 4, 1301, 300);
    finish(site, 1);
    rig_expect(site->record, "caller 1001", "endpoint 1200", "endpoint 300",
               NULL);
}

TEST_F(site, what_can_be_in_time_goes_before_what_is_late_in_the_queue_too)
{
    start(site);
    open_waiting(site, 4, 0);
    ask(site, 4, 101, 44);
    open_waiting(site, 5, 200);
    ask(site, 5, 101, 55);
    finish(site, 1);
    rig_expect(site->record, "caller 1001", "endpoint 55", NULL);
}

/* A SYN that nobody had room for, and where it is to wait: here or at another
 * agent, whose load of 36 sixteenths lies between four requests on two slots
 * and five. */
static void
arrive_for_best(struct site *site, unsigned number)
{
    struct relay_packet syn =
        rig_from_caller(rig_flow(number), RELAY_SYN, 100, 0, 0);
    struct frame_carry frame = {
        .service = site->door.endpoint.service,
        .origin = rig_addr(SITE_BALANCER),
        .target_ms = 200,
        .patience_ms = 1400,
        .budget_ms = BUDGET_MS,
        .best = rig_addr(SITE_SECOND),
        .best_load = 36,
        .bytes = syn.bytes,
        .size = syn.size,
    };

    g_string_truncate(site->record, 0);
    door_carry(&site->door, &frame, &syn, site->now_us);
}

TEST_F(site, one_that_waits_in_time_sends_the_next_to_another_agent)
{
    start(site);
    open_waiting(site, 4, 200);
    ask(site, 4, 101, 44);
    arrive_for_best(site, 5);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0 forced",
               "tell passed reason=1 on=1 busy=5 state=1", NULL);
}

TEST_F(site, one_that_is_late_sends_nobody_away)
{
    start(site);
    open_waiting(site, 4, 0);
    ask(site, 4, 101, 44);
    arrive_for_best(site, 5);
    rig_expect(site->record, "endpoint 0",
               "tell passed reason=1 on=1 busy=4 state=1", NULL);
}

/* Both are late; the other's caller waits longer. */
TEST_F(site, of_the_late_the_one_that_ends_first_goes_first)
{
    start(site);
    open_waiting(site, 4, 0);
    ask(site, 4, 101, 44);
    site_pass_ms(site, 20);
    open_waiting(site, 5, 0);
    ask(site, 5, 101, 55);
    /* The late need a slot that is free, not one that will be. */
    finish(site, 1);
    finish(site, 2);
    finish(site, 3);
    rig_expect(site->record, "caller 1003", "endpoint 44", NULL);
}

/* Its caller waits no more: no slot is spent on it. */
TEST_F(site, a_request_whose_time_is_over_is_not_run)
{
    start(site);
    open_waiting(site, 4, 100);
    ask(site, 4, 101, 50);
    site_pass_ms(site, BUDGET_MS / 2);
    for (unsigned i = 1; i <= 3; i++) {
        /* The endpoint still works on these. */
        ask(site, i, 141, 40);
    }
    ask(site, SITE_FILL_LAST, 141, 40);
    g_string_truncate(site->record, 0);
    site_pass_ms(site, BUDGET_MS / 2);
    rig_expect(site->record, "drop 3", NULL);
    g_assert_cmpuint(site->door.queue_count, ==, 0);
}

/* A caller that keeps its flow open for later is none that waits. */
TEST_F(site, a_request_long_after_its_syn_goes_through)
{
    start(site);
    open_waiting(site, 4, 100);
    site_pass_ms(site, BUDGET_MS);
    g_string_truncate(site->record, 0);
    ask(site, 4, 101, 50);
    rig_expect(site->record, "endpoint 50", NULL);
}

TEST_F(site, callers_that_wait_for_an_endpoint_that_ends_are_told)
{
    start(site);
    open_waiting(site, 4, 100);
    ask(site, 4, 101, 50);
    g_string_truncate(site->record, 0);
    door_left(&site->door, "i-1", 0, site->now_us);
    site_pass_ms(site, 1);
    rig_expect(site->record, "tell state reason=0 on=0 busy=5 state=3",
               "reset 1004 at 500", NULL);
}

/* Its flow is open: neither a planned stop nor an evacuation ends it. */
TEST_F(site, a_request_that_waits_is_served_though_nothing_new_is_taken)
{
    struct evacuations told = {.revision = 5};

    evacuations_add(&told, evacuations_key("here"));
    start(site);
    open_waiting(site, 4, 100);
    ask(site, 4, 101, 50);
    open_waiting(site, 5, 100);
    ask(site, 5, 101, 55);
    door_evacuations(&site->door, &told, site->now_us);
    door_close(&site->door, site->now_us);
    finish(site, 1);
    rig_expect(site->record, "caller 1001", "endpoint 50", NULL);
    finish(site, 2);
    rig_expect(site->record, "caller 1002", "endpoint 55", NULL);
}

TEST_F(site, a_caller_that_took_another_answer_waits_here_no_more)
{
    start(site);
    open_waiting(site, 4, 100);
    g_string_truncate(site->record, 0);
    site_arrive(site,
                rig_from_caller(rig_flow(4), RELAY_ACK, 101, 90000001, 50), 1,
                false);
    g_assert_cmpuint(site->door.queue_count, ==, 0);
    finish(site, 1);
    rig_expect(site->record, "caller 1001", NULL);
}

TEST_F(site, an_endpoint_that_refuses_the_syn_leaves_nothing_behind)
{
    struct relay_packet syn =
        rig_from_caller(rig_flow(4), RELAY_SYN, 100, 0, 0);

    start(site);
    arrive_full(site, 4, 100);
    site_answer(site, rig_bounced(syn));
    g_assert_cmpuint(site->door.queue_count, ==, 0);
    finish(site, 1);
    rig_expect(site->record, "caller 1001", NULL);
}
