#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/door.h"
#include "relay/relay_rig.h"

#define SUITE "/relay/door"
#define SELF "10.0.0.1:7000"
#define BALANCER "10.9.0.1:7720"
#define SECOND "10.0.0.2:7000"
#define THIRD "10.0.0.3:7000"

/**
 * struct site - one agent whose outputs are written down
 */
struct site {
    struct door_out out;
    struct door door;
    GString *record;
    uint64_t now_us;
};

static struct site *
of_out(struct door_out *out)
{
    return (struct site *)out;
}

static void
to_endpoint(struct door_out *out, const uint8_t *bytes, size_t size)
{
    rig_note(of_out(out)->record, "endpoint %zu", size - RIG_DATA);
}

static void
to_caller(struct door_out *out, struct addr caller, const uint8_t *bytes,
          size_t size)
{
    rig_note(of_out(out)->record, "caller %u", caller.port);
}

static void
reset(struct door_out *out, struct relay_flow flow, uint32_t seq)
{
    rig_note(of_out(out)->record, "reset %u at %u", flow.caller.port, seq);
}

static void
carry(struct door_out *out, struct addr agent, const struct frame_carry *frame)
{
    char text[ADDR_TEXT_MAX];

    rig_note(of_out(out)->record, "carry %s hops=%u left=%u%s",
             addr_format(agent, text), frame->hops, frame->next_count,
             frame->forced ? " forced" : "");
}

static void
tell(struct door_out *out, struct addr balancer,
     const struct frame_status *status)
{
    static const char *const types[] = {
        [FRAME_PLACED] = "placed",
        [FRAME_PASSED] = "passed",
        [FRAME_HELD] = "held",
        [FRAME_STATE] = "state",
    };

    rig_note(of_out(out)->record, "tell %s reason=%u on=%d busy=%u state=%u",
             types[status->type], status->reason, status->target.ip != 0,
             status->health.busy, status->health.state);
}

static void
serves(struct door_out *out, struct addr balancer,
       const struct frame_served *served)
{
    rig_note(of_out(out)->record, "serves %u", served->count);
}

static void
dropped(struct door_out *out, enum door_drop why)
{
    rig_note(of_out(out)->record, "drop %d", why);
}

static void
decided(struct door_out *out, enum door_did did, struct relay_flow flow,
        enum frame_reason why, const struct frame_carry *frame)
{
}

static const struct door_out_ops ops = {
    to_endpoint, to_caller, reset, carry, tell, serves, dropped, decided};

static void
site_init(struct site *site)
{
    site->out.ops = &ops;
    site->record = g_string_new(NULL);
    site->now_us = USEC_PER_SEC;
    g_assert_cmpint(door_init(&site->door, &site->out, rig_addr(SELF), "lots"),
                    ==, 0);
}

static void
site_finish(struct site *site)
{
    door_finish(&site->door);
    g_string_free(site->record, TRUE);
}

/* Carries a packet that may go on to @next agents, the second and third. */
static void
arrive(struct site *site, struct relay_packet packet, unsigned next,
       bool forced)
{
    struct frame_carry frame = {
        .service = hash_service("lots"),
        .origin = rig_addr(BALANCER),
        .version = 1,
        .forced = forced,
        .target_ms = 100,
        .patience_ms = 1400,
        .next = {rig_addr(SECOND), rig_addr(THIRD)},
        .next_count = (uint8_t)next,
        .bytes = packet.bytes,
        .size = packet.size,
    };

    door_carry(&site->door, &frame, &packet, site->now_us);
}

/* The same, along @next and, unless it is NULL, @last. */
static void
arrive_along(struct site *site, struct relay_packet packet, const char *next,
             const char *last)
{
    struct frame_carry frame = {
        .service = hash_service("lots"),
        .origin = rig_addr(BALANCER),
        .version = 1,
        .next = {rig_addr(next)},
        .next_count = 1,
        .bytes = packet.bytes,
        .size = packet.size,
    };

    if (last != NULL) {
        frame.next[frame.next_count++] = rig_addr(last);
    }
    door_carry(&site->door, &frame, &packet, site->now_us);
}

static void
answer(struct site *site, struct relay_packet packet)
{
    door_from_endpoint(&site->door, &packet, site->now_us);
}

static void
pass_ms(struct site *site, unsigned ms)
{
    site->now_us += ms * USEC_PER_MSEC;
    door_tick(&site->door, site->now_us);
}

/* Opens a flow that the endpoint takes. */
static void
open_flow(struct site *site, unsigned number)
{
    struct relay_flow flow = rig_flow(number);

    arrive(site, rig_from_caller(flow, RELAY_SYN, 100, 0, 0), 2, false);
    answer(site, rig_from_endpoint(flow, RELAY_SYN | RELAY_ACK, 500, 101, 0));
}

static void
heartbeat(struct site *site, const char *id, const char *service,
          bool draining, uint64_t sequence)
{
    struct heartbeat beat = {
        .service = hash_service(service),
        .draining = draining,
        .slots = 2,
        .sequence = sequence,
    };

    g_strlcpy(beat.id, id, sizeof(beat.id));
    door_heartbeat(&site->door, &beat, site->now_us);
}

TEST_F(site, a_flow_opens_and_is_answered)
{
    struct relay_flow flow = rig_flow(1);

    open_flow(site, 1);
    rig_expect(site->record, "endpoint 0",
               "tell placed reason=0 on=0 busy=1 state=0", "caller 1001",
               NULL);
    arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 501, 40), 0, false);
    answer(site, rig_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    rig_expect(site->record, "endpoint 40", "caller 1001", NULL);
    g_assert_cmpuint(site->door.busy_count, ==, 0);
}

TEST_F(site, a_syn_that_was_let_go_is_not_waited_for)
{
    struct relay_packet syn =
        rig_from_caller(rig_flow(1), RELAY_SYN, 100, 0, 0);

    arrive(site, syn, 0, false);
    answer(site, rig_bounced(syn));
    rig_expect(site->record, "endpoint 0",
               "tell state reason=0 on=0 busy=1 state=4", "drop 1",
               "tell passed reason=4 on=0 busy=0 state=4", NULL);
    pass_ms(site, 6);
    rig_expect(site->record, NULL);
}

TEST_F(site, an_endpoint_that_is_not_up_costs_one_syn)
{
    struct relay_packet syn =
        rig_from_caller(rig_flow(1), RELAY_SYN, 100, 0, 0);

    arrive(site, syn, 1, false);
    answer(site, rig_bounced(syn));
    rig_expect(site->record, "endpoint 0",
               "tell state reason=0 on=0 busy=1 state=4",
               "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=4 on=1 busy=0 state=4", NULL);
    arrive(site, rig_from_caller(rig_flow(2), RELAY_SYN, 1, 0, 0), 1, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=3 on=1 busy=0 state=4", NULL);
    heartbeat(site, "i-1", "lots", false, 1);
    g_string_truncate(site->record, 0);
    arrive(site, rig_from_caller(rig_flow(3), RELAY_SYN, 1, 0, 0), 1, false);
    rig_expect(site->record, "endpoint 0", NULL);
}

TEST_F(site, an_endpoint_that_refuses_while_idle_is_down)
{
    struct relay_packet syn =
        rig_from_caller(rig_flow(1), RELAY_SYN, 100, 0, 0);

    heartbeat(site, "i-1", "lots", false, 1);
    g_string_truncate(site->record, 0);
    arrive(site, syn, 1, false);
    answer(site, rig_bounced(syn));
    g_string_truncate(site->record, 0);
    arrive(site, rig_from_caller(rig_flow(2), RELAY_SYN, 1, 0, 0), 1, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=3 on=1 busy=0 state=4", NULL);
    heartbeat(site, "i-1", "lots", false, 2);
    g_string_truncate(site->record, 0);
    arrive(site, rig_from_caller(rig_flow(3), RELAY_SYN, 1, 0, 0), 1, false);
    rig_expect(site->record, "endpoint 0", NULL);
}

TEST_F(site, an_endpoint_that_refuses_while_busy_is_full)
{
    struct relay_packet syn;

    heartbeat(site, "i-1", "lots", false, 1);
    open_flow(site, 1);
    open_flow(site, 2);
    open_flow(site, 3);
    syn = rig_from_caller(rig_flow(4), RELAY_SYN, 100, 0, 0);
    arrive(site, syn, 0, true);
    answer(site, rig_bounced(syn));
    g_assert_cmpint(site->door.endpoint.state, ==, ENDPOINT_READY);
}

TEST_F(site, a_silent_endpoint_costs_one_syn)
{
    struct relay_flow flow = rig_flow(1);

    arrive(site, rig_from_caller(flow, RELAY_SYN, 100, 0, 0), 2, false);
    pass_ms(site, 4);
    rig_expect(site->record, "endpoint 0", NULL);
    pass_ms(site, 1);
    rig_expect(site->record, "tell state reason=0 on=0 busy=1 state=4",
               "carry 10.0.0.2:7000 hops=1 left=1",
               "tell passed reason=3 on=1 busy=0 state=4", NULL);
    arrive(site, rig_from_caller(rig_flow(2), RELAY_SYN, 1, 0, 0), 2, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=1",
               "tell passed reason=3 on=1 busy=0 state=4", NULL);
    /* Its late answer would open the flow in two places. */
    answer(site, rig_from_endpoint(flow, RELAY_SYN | RELAY_ACK, 5, 101, 0));
    rig_expect(site->record, "tell state reason=0 on=0 busy=0 state=1",
               "drop 2", NULL);
}

TEST_F(site, a_busy_endpoint_sends_new_flows_on)
{
    open_flow(site, 1);
    open_flow(site, 2);
    g_string_truncate(site->record, 0);
    arrive(site, rig_from_caller(rig_flow(3), RELAY_SYN, 1, 0, 0), 1, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=1 on=1 busy=2 state=0", NULL);
    /* Nobody else: the least busy takes it, and that is this one. */
    arrive(site, rig_from_caller(rig_flow(4), RELAY_SYN, 1, 0, 0), 0, false);
    rig_expect(site->record, "endpoint 0",
               "tell passed reason=1 on=1 busy=3 state=0", NULL);
    arrive(site, rig_from_caller(rig_flow(5), RELAY_SYN, 1, 0, 0), 1, true);
    rig_expect(site->record, "tell held reason=0 on=0 busy=3 state=0", NULL);
}

/* Carries a SYN that is to stay here, to be answered within @target_ms. */
static void
arrive_forced(struct site *site, unsigned number, unsigned target_ms,
              unsigned patience_ms, unsigned priority)
{
    struct relay_packet syn =
        rig_from_caller(rig_flow(number), RELAY_SYN, 100, 0, 0);
    struct frame_carry frame = {
        .service = hash_service("lots"),
        .origin = rig_addr(BALANCER),
        .forced = true,
        .target_ms = (uint16_t)target_ms,
        .patience_ms = (uint16_t)patience_ms,
        .priority = (uint8_t)priority,
        .bytes = syn.bytes,
        .size = syn.size,
    };

    door_carry(&site->door, &frame, &syn, site->now_us);
}

/* The endpoint answers the request of an open flow, and is given @expected
 * next. */
static void
finish_request(struct site *site, unsigned number, const char *expected)
{
    arrive(site, rig_from_caller(rig_flow(number), RELAY_ACK, 101, 501, 40), 0,
           false);
    g_string_truncate(site->record, 0);
    answer(site,
           rig_from_endpoint(rig_flow(number), RELAY_ACK, 501, 141, 900));
    if (expected != NULL) {
        rig_expect(site->record, expected, "endpoint 0", NULL);
    }
}

TEST_F(site, what_can_be_in_time_goes_before_what_is_late)
{
    for (unsigned i = 1; i <= 3; i++) {
        arrive_forced(site, i, 100, 1400, 2);
        answer(site, rig_from_endpoint(rig_flow(i), RELAY_SYN | RELAY_ACK, 500,
                                       101, 0));
    }
    arrive_forced(site, 4, 0, 800, 1);
    arrive_forced(site, 5, 100, 1400, 2);
    g_assert_cmpuint(site->door.held_count, ==, 2);
    finish_request(site, 1, "caller 1001");
    g_assert_cmpuint(site->door.held_count, ==, 1);
    answer(site,
           rig_from_endpoint(rig_flow(5), RELAY_SYN | RELAY_ACK, 500, 101, 0));
    rig_expect(site->record, "tell placed reason=0 on=0 busy=3 state=0",
               "caller 1005", NULL);
    /* The late one needs a slot that is free, not one that will be. */
    finish_request(site, 2, NULL);
    g_assert_cmpuint(site->door.held_count, ==, 1);
    finish_request(site, 3, "caller 1003");
    g_assert_cmpuint(site->door.held_count, ==, 0);
}

TEST_F(site, far_callers_do_not_leave_slots_idle)
{
    /* A handshake takes twice as long as a request. */
    site->door.pace = (struct pace){.work_us = 15000, .trip_us = 30000};
    for (unsigned i = 1; i <= 5; i++) {
        arrive(site, rig_from_caller(rig_flow(i), RELAY_SYN, 100, 0, 0), 2,
               false);
    }
    g_assert_cmpuint(site->door.busy_count, ==, 5);
    g_string_truncate(site->record, 0);
    arrive(site, rig_from_caller(rig_flow(7), RELAY_SYN, 100, 0, 0), 2, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=1",
               "tell passed reason=1 on=1 busy=5 state=0", NULL);
}

TEST_F(site, the_urgent_goes_first_among_equals)
{
    for (unsigned i = 1; i <= 3; i++) {
        arrive_forced(site, i, 100, 1400, 2);
        answer(site, rig_from_endpoint(rig_flow(i), RELAY_SYN | RELAY_ACK, 500,
                                       101, 0));
    }
    arrive_forced(site, 4, 100, 1400, 2);
    arrive_forced(site, 5, 100, 1400, 1);
    finish_request(site, 1, "caller 1001");
    g_assert_cmpuint(site->door.held_count, ==, 1);
    answer(site,
           rig_from_endpoint(rig_flow(5), RELAY_SYN | RELAY_ACK, 500, 101, 0));
    rig_expect(site->record, "tell placed reason=0 on=0 busy=3 state=0",
               "caller 1005", NULL);
}

TEST_F(site, a_held_syn_is_not_given_to_an_endpoint_after_its_caller_left)
{
    for (unsigned i = 1; i <= 3; i++) {
        arrive_forced(site, i, 100, 1400, 2);
        answer(site, rig_from_endpoint(rig_flow(i), RELAY_SYN | RELAY_ACK, 500,
                                       101, 0));
    }
    arrive_forced(site, 4, 0, 50, 2);
    g_string_truncate(site->record, 0);
    pass_ms(site, 55);
    rig_expect(site->record, "drop 3", NULL);
    g_assert_cmpuint(site->door.held_count, ==, 0);
}

TEST_F(site, a_held_syn_whose_flow_opened_elsewhere_is_let_go)
{
    struct relay_packet data =
        rig_from_caller(rig_flow(4), RELAY_ACK, 101, 900001, 40);

    for (unsigned i = 1; i <= 3; i++) {
        arrive_forced(site, i, 100, 1400, 2);
        answer(site, rig_from_endpoint(rig_flow(i), RELAY_SYN | RELAY_ACK, 500,
                                       101, 0));
    }
    arrive_forced(site, 4, 0, 1400, 2);
    g_assert_cmpuint(site->door.held_count, ==, 1);
    g_string_truncate(site->record, 0);
    /* Who sends more than a SYN has had an answer to it. */
    arrive(site, data, 1, false);
    g_assert_cmpuint(site->door.held_count, ==, 0);
    answer(site, rig_bounced(data));
    rig_expect(site->record, "endpoint 40",
               "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=4 on=1 busy=3 state=0", NULL);
}

TEST_F(site, held_syns_go_elsewhere_when_the_endpoint_leaves)
{
    for (unsigned i = 1; i <= 3; i++) {
        arrive_forced(site, i, 100, 1400, 2);
        answer(site, rig_from_endpoint(rig_flow(i), RELAY_SYN | RELAY_ACK, 500,
                                       101, 0));
    }
    arrive_forced(site, 4, 100, 1400, 2);
    heartbeat(site, "i-1", "lots", true, 1);
    g_string_truncate(site->record, 0);
    pass_ms(site, 1);
    rig_expect(site->record, "drop 1",
               "tell passed reason=2 on=0 busy=3 state=2", NULL);
}

TEST_F(site, packets_follow_a_flow_that_went_on)
{
    struct relay_flow flow = rig_flow(3);

    open_flow(site, 1);
    open_flow(site, 2);
    arrive(site, rig_from_caller(flow, RELAY_SYN, 1, 0, 0), 2, false);
    g_string_truncate(site->record, 0);
    arrive(site, rig_from_caller(flow, RELAY_ACK, 2, 7, 30), 0, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0", NULL);
}

TEST_F(site, a_leaving_endpoint_takes_nothing_new_and_keeps_its_flows)
{
    struct relay_flow flow = rig_flow(1);

    open_flow(site, 1);
    g_string_truncate(site->record, 0);
    heartbeat(site, "i-1", "lots", true, 4);
    rig_expect(site->record, "tell state reason=0 on=0 busy=1 state=2", NULL);
    arrive(site, rig_from_caller(rig_flow(2), RELAY_SYN, 1, 0, 0), 1, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=2 on=1 busy=1 state=2", NULL);
    arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 501, 40), 0, false);
    rig_expect(site->record, "endpoint 40", NULL);
}

TEST_F(site, a_flow_from_before_the_start_is_offered_first)
{
    struct relay_flow flow = rig_flow(1);
    struct relay_packet data = rig_from_caller(flow, RELAY_ACK, 101, 501, 40);

    arrive(site, data, 2, false);
    rig_expect(site->record, "endpoint 40", NULL);
    answer(site, rig_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    rig_expect(site->record, "tell placed reason=0 on=0 busy=0 state=0",
               "caller 1001", NULL);
}

TEST_F(site, only_flows_from_before_the_start_tell_what_is_served)
{
    struct frame_version nothing = {0};

    door_ping(&site->door, rig_addr(BALANCER), &nothing, false, site->now_us);
    rig_expect(site->record, "tell state reason=0 on=0 busy=0 state=0", NULL);
    open_flow(site, 1);
    g_string_truncate(site->record, 0);
    door_ping(&site->door, rig_addr(BALANCER), &nothing, false, site->now_us);
    rig_expect(site->record, "tell state reason=0 on=0 busy=1 state=0", NULL);
    answer(site, rig_from_endpoint(rig_flow(7), RELAY_ACK, 501, 141, 900));
    rig_expect(site->record, "serves 1", "caller 1007", NULL);
    door_ping(&site->door, rig_addr(BALANCER), &nothing, false, site->now_us);
    rig_expect(site->record, "tell state reason=0 on=0 busy=1 state=0",
               "serves 1", NULL);
}

TEST_F(site, an_agent_greets_until_a_balancer_speaks)
{
    struct frame_version version = {.version = 4};

    door_greet(&site->door, rig_addr(BALANCER));
    pass_ms(site, 1);
    rig_expect(site->record, "tell state reason=0 on=0 busy=0 state=0", NULL);
    pass_ms(site, 99);
    rig_expect(site->record, NULL);
    pass_ms(site, 1);
    rig_expect(site->record, "tell state reason=0 on=0 busy=0 state=0", NULL);
    door_ping(&site->door, rig_addr(BALANCER), &version, false, site->now_us);
    g_string_truncate(site->record, 0);
    pass_ms(site, 500);
    rig_expect(site->record, NULL);
}

TEST_F(site, a_flow_that_the_endpoint_lacks_is_looked_for)
{
    struct relay_packet data =
        rig_from_caller(rig_flow(1), RELAY_ACK, 101, 501, 40);

    arrive(site, data, 2, false);
    answer(site, rig_bounced(data));
    rig_expect(site->record, "endpoint 40",
               "carry 10.0.0.2:7000 hops=1 left=1",
               "tell passed reason=4 on=1 busy=0 state=0", NULL);
}

TEST_F(site, two_packets_of_a_search_go_the_same_way)
{
    struct relay_flow flow = rig_flow(1);
    struct relay_packet ack = rig_from_caller(flow, RELAY_ACK, 101, 501, 0);
    struct relay_packet fin =
        rig_from_caller(flow, RELAY_ACK | RELAY_FIN, 101, 501, 1);

    arrive(site, ack, 2, false);
    arrive(site, fin, 2, false);
    answer(site, rig_bounced(ack));
    g_string_truncate(site->record, 0);
    /* It may overtake the first, and must not end the search then. */
    answer(site, rig_bounced(fin));
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=1", NULL);
}

/* An endpoint that has just started answers data of flows that it never held
 * with a reset, where others hand it back. */
TEST_F(site, a_reset_of_an_endpoint_that_lacks_the_flow_goes_nowhere)
{
    struct relay_flow flow = rig_flow(1);
    struct relay_packet data = rig_from_caller(flow, RELAY_ACK, 101, 501, 40);

    arrive(site, data, 2, false);
    g_string_truncate(site->record, 0);
    answer(site, rig_from_endpoint(flow, RELAY_RST | RELAY_ACK, 501, 101, 0));
    rig_expect(site->record, "drop 1",
               "tell passed reason=4 on=0 busy=0 state=0", NULL);
    g_assert_cmpuint(site->door.served.count, ==, 0);
    /* The caller sends it again: it is looked for further on. */
    arrive(site, data, 2, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=1", NULL);
}

TEST_F(site, a_reset_before_the_caller_confirmed_goes_nowhere)
{
    struct relay_flow flow = rig_flow(1);
    struct relay_packet rst =
        rig_from_endpoint(flow, RELAY_RST | RELAY_ACK, 501, 101, 0);

    open_flow(site, 1);
    g_string_truncate(site->record, 0);
    /* The caller may have taken another endpoint's answer. */
    answer(site, rst);
    rig_expect(site->record, "drop 1", NULL);
    arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 501, 40), 0, false);
    g_string_truncate(site->record, 0);
    answer(site, rst);
    rig_expect(site->record, "caller 1001", NULL);
}

TEST_F(site, a_search_goes_where_its_own_frame_says)
{
    struct relay_packet data =
        rig_from_caller(rig_flow(1), RELAY_ACK, 101, 501, 40);

    arrive(site, data, 2, false);
    answer(site, rig_bounced(data));
    g_string_truncate(site->record, 0);
    /* The second agent has stopped since, and is not named any more. */
    arrive_along(site, data, THIRD, NULL);
    rig_expect(site->record, "carry 10.0.0.3:7000 hops=1 left=0", NULL);
    /* Where it went on to is named still: that is likeliest. */
    arrive(site, data, 2, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=1", NULL);
}

TEST_F(site, a_search_that_goes_the_other_way_is_not_turned_round)
{
    struct relay_packet data =
        rig_from_caller(rig_flow(1), RELAY_ACK, 101, 501, 40);

    arrive(site, data, 2, false);
    answer(site, rig_bounced(data));
    g_string_truncate(site->record, 0);
    /* The second agent, where the first packet went, may be dead. */
    arrive_along(site, data, THIRD, SECOND);
    rig_expect(site->record, "carry 10.0.0.3:7000 hops=1 left=1", NULL);
}

TEST_F(site, the_other_answer_to_a_syn_counts)
{
    struct relay_flow flow = rig_flow(1);

    open_flow(site, 1);
    g_string_truncate(site->record, 0);
    arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 900000, 40), 1, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=4 on=1 busy=0 state=0", NULL);
}

TEST_F(site, a_flow_that_is_open_elsewhere_stays_elsewhere)
{
    struct relay_flow flow = rig_flow(1);

    open_flow(site, 1);
    g_string_truncate(site->record, 0);
    /* Its balancer knows of this answer alone, the caller took another. */
    arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 900001, 40), 0, false);
    rig_expect(site->record, "drop 1",
               "tell passed reason=4 on=0 busy=0 state=0", NULL);
    /* The endpoint still waits for its own handshake, and would say nothing
     * to a packet of the other's. */
    arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 900001, 40), 2, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=1", NULL);
    arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 900001, 40), 0, false);
    rig_expect(site->record, "drop 1",
               "tell passed reason=4 on=0 busy=0 state=0", NULL);
}

TEST_F(site, a_flow_that_the_endpoint_has_not_answered_is_not_here)
{
    struct relay_flow flow = rig_flow(1);

    arrive(site, rig_from_caller(flow, RELAY_SYN, 100, 0, 0), 2, false);
    g_string_truncate(site->record, 0);
    /* Its SYN was answered elsewhere too. */
    arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 900000, 40), 1, false);
    rig_expect(site->record, "endpoint 40", NULL);
}

TEST_F(site, an_answer_to_a_syn_alone_proves_no_flow)
{
    struct relay_flow flow = rig_flow(1);

    /* The SYN went through an agent that has started anew since. */
    answer(site, rig_from_endpoint(flow, RELAY_SYN | RELAY_ACK, 500, 101, 0));
    rig_expect(site->record, "caller 1001", NULL);
    g_assert_cmpuint(site->door.served.count, ==, 0);
    /* The caller took another endpoint's answer. */
    arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 900000, 40), 1, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=4 on=1 busy=0 state=0", NULL);
}

TEST_F(site, data_that_bounces_does_not_end_the_handshake)
{
    struct relay_flow flow = rig_flow(1);
    struct relay_packet data =
        rig_from_caller(flow, RELAY_ACK, 101, 900000, 40);

    arrive(site, rig_from_caller(flow, RELAY_SYN, 100, 0, 0), 0, false);
    arrive(site, data, 1, false);
    answer(site, rig_bounced(data));
    g_string_truncate(site->record, 0);
    answer(site, rig_from_endpoint(flow, RELAY_SYN | RELAY_ACK, 500, 101, 0));
    rig_expect(site->record, "tell placed reason=0 on=0 busy=1 state=0",
               "caller 1001", NULL);
}

TEST_F(site, a_flow_whose_endpoint_started_anew_is_reset)
{
    struct relay_flow flow = rig_flow(1);
    struct relay_packet data = rig_from_caller(flow, RELAY_ACK, 101, 501, 40);

    open_flow(site, 1);
    arrive(site, data, 0, false);
    g_string_truncate(site->record, 0);
    /* Not proven open yet: it may have been answered elsewhere. */
    answer(site, rig_bounced(data));
    rig_expect(site->record, "drop 1",
               "tell passed reason=4 on=0 busy=0 state=0", NULL);
    open_flow(site, 2);
    flow = rig_flow(2);
    arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 501, 40), 0, false);
    answer(site, rig_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    g_string_truncate(site->record, 0);
    data = rig_from_caller(flow, RELAY_ACK, 141, 1401, 40);
    arrive(site, data, 0, false);
    answer(site, rig_bounced(data));
    rig_expect(site->record, "endpoint 40", "reset 1002 at 1401", NULL);
}

TEST_F(site, flows_of_an_endpoint_that_has_ended_are_reset)
{
    struct relay_flow flow = rig_flow(1);

    heartbeat(site, "i-1", "lots", false, 1);
    open_flow(site, 1);
    arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 501, 40), 0, false);
    answer(site, rig_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    door_left(&site->door, "i-1", site->now_us);
    g_string_truncate(site->record, 0);
    arrive(site, rig_from_caller(flow, RELAY_ACK, 141, 1401, 40), 0, false);
    rig_expect(site->record, "reset 1001 at 1401", NULL);
}

TEST_F(site, another_service_at_the_address_takes_no_flow_of_the_old_one)
{
    heartbeat(site, "i-9", "albums", false, 1);
    g_string_truncate(site->record, 0);
    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 1, 0, 0), 1, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=5 on=1 busy=0 state=1", NULL);
}

TEST_F(site, a_late_syn_of_an_earlier_start_is_a_new_one)
{
    heartbeat(site, "i-1", "lots", false, 1);
    open_flow(site, 1);
    heartbeat(site, "i-2", "lots", false, 1);
    heartbeat(site, "i-2", "lots", true, 2);
    g_string_truncate(site->record, 0);
    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 100, 1, 0), 1, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=2 on=1 busy=0 state=2", NULL);
}

TEST_F(site, a_late_syn_of_another_service_is_passed_on)
{
    struct relay_flow flow = rig_flow(1);

    /* A packet of the endpoint that had the address before. */
    answer(site, rig_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    heartbeat(site, "i-9", "albums", false, 1);
    g_string_truncate(site->record, 0);
    arrive(site, rig_from_caller(flow, RELAY_SYN, 100, 1, 0), 1, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=5 on=1 busy=0 state=1", NULL);
}

TEST_F(site, a_late_heartbeat_of_a_dead_start_changes_nothing)
{
    heartbeat(site, "i-1", "lots", false, 7);
    heartbeat(site, "i-2", "lots", false, 1);
    heartbeat(site, "i-1", "lots", true, 6);
    g_assert_cmpint(site->door.endpoint.state, ==, ENDPOINT_READY);
    g_assert_cmpstr(site->door.endpoint.starts[0].id, ==, "i-2");
}
