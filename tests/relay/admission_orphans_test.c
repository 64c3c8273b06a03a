#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/admission_fixture.h"

#define SUITE "/relay/door_lost"

/* A balancer asks for @count flows from @first on. */
static void
ask_from(struct fixture *fixture, unsigned first, unsigned count)
{
    struct frame_query question = {.query = 7, .view.version = 1};

    for (unsigned i = 0; i < count; i++) {
        question.flows[question.count++] = fixture_flow(first + i);
    }
    admission_handle_query(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                           &question, fixture->now_us);
}

static void
ask(struct fixture *fixture, unsigned count)
{
    ask_from(fixture, 1, count);
}

/* A packet of a flow that is looked for, and the endpoint hands it back. */
static void
search_in_vain(struct fixture *fixture, unsigned flow)
{
    struct relay_packet data =
        fixture_from_caller(fixture_flow(flow), RELAY_ACK, 101, 501, 40);

    fixture_receive(fixture, data, 0, false);
    fixture_answer(fixture, fixture_bounced(data));
}

TEST_F(fixture, who_heard_the_endpoint_start_knows_all_its_flows)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_open_flow(fixture, 1);
    g_string_truncate(fixture->record, 0);
    ask(fixture, 3);
    fixture_expect(fixture->record, "tell placed reason=0 on=0 busy=1 state=1",
                   "absent 6", NULL);
}

TEST_F(fixture, who_came_later_does_not)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 12);
    g_string_truncate(fixture->record, 0);
    ask(fixture, 3);
    fixture_expect(fixture->record, "absent 0", NULL);
}

TEST_F(fixture, what_the_endpoint_handed_back_it_does_not_hold)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 12);
    search_in_vain(fixture, 2);
    g_string_truncate(fixture->record, 0);
    ask(fixture, 3);
    fixture_expect(fixture->record, "absent 2", NULL);
}

/* A SYN that is handed back says only that the endpoint is full. */
TEST_F(fixture, a_syn_that_was_handed_back_proves_nothing)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 100, 0, 0);

    fixture_heartbeat(fixture, "i-1", "lots", false, 12);
    fixture_receive(fixture, syn, 0, false);
    fixture_answer(fixture, fixture_bounced(syn));
    g_string_truncate(fixture->record, 0);
    ask(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
}

TEST_F(fixture, a_flow_that_is_being_opened_may_be_held)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 100, 0, 0),
                    0, false);
    g_string_truncate(fixture->record, 0);
    ask(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
}

/* Its first heartbeat came before this agent's start, its second is heard. */
TEST_F(fixture, a_later_start_is_known_whole_again)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 12);
    fixture_heartbeat(fixture, "i-2", "lots", false, 1);
    g_string_truncate(fixture->record, 0);
    ask(fixture, 1);
    fixture_expect(fixture->record, "absent 1", NULL);
}

TEST_F(fixture, an_endpoint_that_has_ended_holds_nothing)
{
    fixture_heartbeat(fixture, "i-1", "lots", true, 12);
    fixture_open_flow(fixture, 1);
    admission_endpoint_left(&fixture->admission, "i-1", 0, fixture->now_us);
    g_string_truncate(fixture->record, 0);
    ask(fixture, 1);
    fixture_expect(fixture->record, "absent 1", NULL);
}

TEST_F(fixture, a_full_table_has_forgotten_some)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    for (unsigned i = 0; i <= ADMISSION_FLOWS_MAX; i++) {
        fixture_answer(fixture, fixture_from_endpoint(fixture_flow(i),
                                                      RELAY_ACK, 1, 1, 100));
    }
    g_string_truncate(fixture->record, 0);
    ask_from(fixture, ADMISSION_FLOWS_MAX + 5, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
}

TEST_F(fixture, the_host_is_asked_for_an_endpoint_that_was_never_heard)
{
    ask(fixture, 1);
    fixture_expect(fixture->record, "probe", "absent 0", NULL);
    ask(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
    admission_endpoint_down(&fixture->admission, fixture->now_us);
    g_string_truncate(fixture->record, 0);
    ask(fixture, 1);
    fixture_expect(fixture->record, "absent 1", NULL);
    /* What starts there now is seen from its first moment. */
    fixture_heartbeat(fixture, "i-1", "lots", false, 3);
    g_string_truncate(fixture->record, 0);
    ask(fixture, 1);
    fixture_expect(fixture->record, "absent 1", NULL);
}

TEST_F(fixture, an_endpoint_that_owes_an_answer_is_silent_in_the_end)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 12);
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 40),
        0, false);
    g_string_truncate(fixture->record, 0);
    ask(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
    fixture->now_us += 6 * USEC_PER_MSEC;
    ask(fixture, 1);
    fixture_expect(fixture->record, "probe", "absent 0", NULL);
    fixture->now_us += USEC_PER_SEC;
    ask(fixture, 1);
    fixture_expect(fixture->record, "probe", "absent 0 silent", NULL);
    fixture_heartbeat(fixture, "i-1", "lots", false, 13);
    ask(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
}

/* Nothing answers a lone acknowledgement. */
TEST_F(fixture, an_endpoint_that_owes_nothing_is_not_silent)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 12);
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 0),
        0, false);
    fixture->now_us += 2 * USEC_PER_SEC;
    g_string_truncate(fixture->record, 0);
    ask(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
}

/* It may have been opened at the new start, before that one's first heartbeat
 * was heard: it isn't called absent until the endpoint hands it back, and its
 * packets are offered there. */
TEST_F(fixture, a_flow_of_an_earlier_start_whose_syn_comes_again_is_in_doubt)
{
    struct relay_packet data =
        fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 40);

    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_open_flow(fixture, 1);
    fixture_heartbeat(fixture, "i-2", "lots", false, 1);
    fixture_heartbeat(fixture, "i-2", "lots", true, 2);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 100, 1, 0),
                    1, false);
    g_string_truncate(fixture->record, 0);
    ask(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
    fixture_receive(fixture, data, 1, false);
    fixture_expect(fixture->record, "endpoint 40", NULL);
    ask(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
    fixture_answer(fixture, fixture_bounced(data));
    g_string_truncate(fixture->record, 0);
    ask(fixture, 1);
    fixture_expect(fixture->record, "absent 1", NULL);
}
