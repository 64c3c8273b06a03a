/* A balancer's refusals of new flows while a service is under pressure. */
#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/forwarder_fixture.h"

#define SUITE "/relay/forwarder_overload"

#define AGENTS 4
#define BUDGET_MS 1500
#define TARGET_MS 100
#define DROPPED_OVERLOAD "drop 6"
#define RESET_FLOW_1 "reset 1001 at 0"

static void
report_load(struct fixture *fixture, unsigned agent, unsigned busy,
            unsigned wait_ms)
{
    fixture_report(fixture, agent,
                   (struct frame_status){
                       .type = FRAME_STATE,
                       .health = {.state = ENDPOINT_READY,
                                  .busy = (uint8_t)busy,
                                  .load = {.known = true,
                                           .limit = 8,
                                           .service_time = 200,
                                           .wait_ms = (uint16_t)wait_ms}},
                   });
}

static void
report_all(struct fixture *fixture, unsigned wait_ms)
{
    for (unsigned i = 1; i <= AGENTS; i++) {
        report_load(fixture, i, wait_ms > 0 ? 8 : 0, wait_ms);
    }
}

/* Turns refusals on, and lets the balancer run for a second. */
static void
turn_on(struct fixture *fixture, struct overload *overload)
{
    struct route *route = &fixture->forwarder.routes.items[0];

    overload_init(overload, 1, 32, fixture->now_us);
    fixture->forwarder.overload = overload;
    fixture->forwarder.current = true;
    route->timeout_ms = BUDGET_MS;
    route->target_ms = TARGET_MS;
    for (unsigned i = 0; i < 10; i++) {
        fixture_advance_ms(fixture, 100);
    }
    g_string_truncate(fixture->record, 0);
    fixture->forwarded = 0;
}

static void
receive_copy(struct fixture *fixture, unsigned flow, unsigned age_ms)
{
    struct relay_packet packet =
        fixture_from_caller(fixture_flow(flow), RELAY_SYN, 9, age_ms / 200, 0);

    packet.age_ms = (uint16_t)age_ms;
    packet.caller_timeout_ms = (uint16_t)(1400 - age_ms);
    fixture_receive(fixture, packet);
}

static bool
is_refused(struct fixture *fixture, unsigned flow)
{
    unsigned before = fixture->forwarded;

    receive_copy(fixture, flow, 0);
    return fixture->forwarded == before;
}

TEST_F(fixture, a_flow_of_a_crowd_that_cannot_be_in_time_is_reset_at_once,
       AGENTS)
{
    struct overload overload;

    turn_on(fixture, &overload);
    report_all(fixture, BUDGET_MS + 100);
    g_assert_true(is_refused(fixture, 1));
    fixture_expect(fixture->record, DROPPED_OVERLOAD, RESET_FLOW_1, NULL);
    g_assert_cmpuint(overload.verdicts[OVERLOAD_REFUSE_WAIT], ==, 1);
    /* No agent gets it later either. */
    fixture_advance_ms(fixture, 100);
    g_assert_cmpuint(fixture->forwarded, ==, 0);
}

TEST_F(fixture, with_the_setting_off_a_crowd_is_forwarded_as_before, AGENTS)
{
    struct overload overload;

    turn_on(fixture, &overload);
    fixture->forwarder.overload = NULL;
    report_all(fixture, BUDGET_MS + 100);
    g_assert_false(is_refused(fixture, 1));
    g_assert_cmpuint(fixture->frame.next_count, ==, AGENTS - 1);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, a_flow_of_a_crowd_is_forwarded_unchanged_unless_refused,
       AGENTS)
{
    struct fixture off = {0};
    struct overload overload;

    turn_on(fixture, &overload);
    fixture_init(&off, AGENTS);
    turn_on(&off, &overload);
    off.forwarder.overload = NULL;
    report_all(fixture, BUDGET_MS - 100);
    report_all(&off, BUDGET_MS - 100);
    g_assert_false(is_refused(fixture, 1));
    g_assert_false(is_refused(&off, 1));
    g_assert_true(addr_equal(fixture->sent, off.sent));
    fixture->frame.bytes = off.frame.bytes = NULL;
    g_assert_cmpmem(&fixture->frame, sizeof(fixture->frame), &off.frame,
                    sizeof(off.frame));
    fixture_finish(&off);
}

/* Order of events: the first copy is refused and reset by one balancer and is
 * at no endpoint. If the reset is lost, copies reach other balancers, which
 * can't know that and forward them. */
TEST_F(fixture, copies_of_a_refused_syn_are_not_reset_by_other_balancers,
       AGENTS)
{
    struct fixture other = {0};
    struct overload overload;
    struct overload others;

    turn_on(fixture, &overload);
    report_all(fixture, 3000);
    g_assert_true(is_refused(fixture, 1));
    fixture_init(&other, AGENTS);
    turn_on(&other, &others);
    report_all(&other, 3000);
    receive_copy(&other, 1, 200);
    g_assert_cmpuint(other.forwarded, ==, 1);
    receive_copy(fixture, 1, 600);
    g_assert_cmpuint(fixture->forwarded, ==, 1);
    fixture_expect(other.record, NULL);
    fixture_expect(fixture->record, DROPPED_OVERLOAD, RESET_FLOW_1, NULL);
    fixture_finish(&other);
}

/* Order of events: one balancer forwards the SYN, an agent queues it, the
 * service becomes crowded, copies arrive. */
TEST_F(fixture, copies_of_a_queued_syn_are_not_reset_in_a_crowd, AGENTS)
{
    struct fixture other = {0};
    struct overload overload;
    struct overload others;
    struct addr holder;

    turn_on(fixture, &overload);
    report_all(fixture, 0);
    receive_copy(fixture, 1, 0);
    holder = fixture->sent;
    fixture_report(fixture, holder.ip - FIXTURE_AGENTS_NET,
                   (struct frame_status){.type = FRAME_QUEUED,
                                         .flow = fixture_flow(1),
                                         .health.state = ENDPOINT_READY});
    fixture_init(&other, AGENTS);
    turn_on(&other, &others);
    fixture_advance_ms(fixture, 200);
    report_all(fixture, 3000);
    report_all(&other, 3000);
    g_assert_true(is_refused(&other, 2));
    g_string_truncate(other.record, 0);
    receive_copy(fixture, 1, 200);
    g_assert_true(addr_equal(fixture->sent, holder));
    receive_copy(&other, 1, 200);
    receive_copy(&other, 1, 600);
    g_assert_cmpuint(fixture->forwarded, ==, 2);
    g_assert_cmpuint(other.forwarded, >=, 1);
    fixture_expect(fixture->record, NULL);
    fixture_expect(other.record, NULL);
    fixture_finish(&other);
}

TEST_F(fixture, a_retransmission_at_age_0_of_a_known_flow_is_not_reset, AGENTS)
{
    struct overload overload;

    turn_on(fixture, &overload);
    report_all(fixture, 0);
    receive_copy(fixture, 1, 0);
    report_all(fixture, 3000);
    /* The network delivers the first copy twice. */
    receive_copy(fixture, 1, 0);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, nothing_of_a_crowd_is_refused_while_an_agent_reports_room,
       AGENTS)
{
    struct overload overload;

    turn_on(fixture, &overload);
    report_all(fixture, 3000);
    report_load(fixture, 2, 1, 0);
    g_assert_false(is_refused(fixture, 1));
}

TEST_F(fixture, a_balancer_cut_off_from_most_agents_refuses_nothing, AGENTS)
{
    struct overload overload;

    turn_on(fixture, &overload);
    report_all(fixture, 3000);
    g_assert_true(is_refused(fixture, 1));
    for (unsigned i = 1; i <= 3; i++) {
        agents_mark_unanswered(&fixture->forwarder.agents,
                               fixture_agent_addr(i), fixture->now_us,
                               fixture->now_us);
    }
    g_assert_false(is_refused(fixture, 2));
}

TEST_F(fixture, a_silent_agent_holds_no_refusal_up, AGENTS)
{
    struct overload overload;

    turn_on(fixture, &overload);
    for (unsigned i = 2; i <= AGENTS; i++) {
        report_load(fixture, i, 8, 3000);
    }
    /* It may have room until it has missed a reply. */
    g_assert_false(is_refused(fixture, 1));
    agents_mark_unanswered(&fixture->forwarder.agents, fixture_agent_addr(1),
                           fixture->now_us, fixture->now_us);
    for (unsigned i = 2; i <= AGENTS; i++) {
        report_load(fixture, i, 8, 3000);
    }
    g_assert_true(is_refused(fixture, 2));
}

TEST_F(fixture, a_balancer_frozen_for_2_s_refuses_nothing_for_a_second, AGENTS)
{
    struct overload overload;

    turn_on(fixture, &overload);
    fixture->now_us += 2 * USEC_PER_SEC;
    /* Frames that waited in its socket come first. */
    report_all(fixture, 3000);
    g_assert_false(is_refused(fixture, 1));
    for (unsigned i = 0; i < 10; i++) {
        fixture_advance_ms(fixture, 100);
    }
    report_all(fixture, 3000);
    g_assert_true(is_refused(fixture, 2));
}

TEST_F(fixture, an_outdated_configuration_refuses_nothing, AGENTS)
{
    struct overload overload;

    turn_on(fixture, &overload);
    report_all(fixture, 3000);
    fixture->forwarder.current = false;
    g_assert_false(is_refused(fixture, 1));
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, refusing_a_crowd_needs_neither_the_store_nor_a_message, AGENTS)
{
    struct overload overload;

    turn_on(fixture, &overload);
    report_all(fixture, 3000);
    g_assert_true(is_refused(fixture, 1));
    g_assert_cmpuint(fixture->confirms, ==, 0);
    g_assert_cmpuint(fixture->pings, ==, 0);
}

TEST_F(fixture, a_crowd_from_one_address_is_reset_beyond_its_share, AGENTS)
{
    struct overload overload;
    unsigned refused = 0;
    unsigned others = 0;

    turn_on(fixture, &overload);
    for (unsigned ms = 0; ms < 4000; ms++) {
        struct relay_flow one = {{0x14000000 + ms / 10 % 300, 1000},
                                 fixture_flow(0).service};

        fixture_advance_ms(fixture, 1);
        report_all(fixture, 60);
        refused += is_refused(fixture, 1 + ms % 900);
        if (ms % 10 != 0) {
            continue;
        }
        report_all(fixture, 60);
        fixture->forwarded = 0;
        one.caller.port = (uint16_t)(1000 + ms / 3000);
        fixture_receive(fixture,
                        fixture_from_caller(one, RELAY_SYN, ms, 0, 0));
        others += fixture->forwarded == 0;
    }
    g_assert_cmpuint(refused, >, 2000);
    g_assert_cmpuint(others, ==, 0);
    g_assert_cmpuint(overload.verdicts[OVERLOAD_REFUSE_SHARE], ==, refused);
}
