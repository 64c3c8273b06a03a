#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/door_site.h"

#define SUITE "/relay/door_lost"

/* A balancer asks for @count flows from @first on. */
static void
ask_from(struct site *site, unsigned first, unsigned count)
{
    struct frame_ask question = {.query = 7, .view.version = 1};

    for (unsigned i = 0; i < count; i++) {
        question.flows[question.count++] = rig_flow(first + i);
    }
    door_asked(&site->door, rig_addr(SITE_BALANCER), &question, site->now_us);
}

static void
ask(struct site *site, unsigned count)
{
    ask_from(site, 1, count);
}

/* A packet of a flow that is looked for, and the endpoint hands it back. */
static void
search_in_vain(struct site *site, unsigned flow)
{
    struct relay_packet data =
        rig_from_caller(rig_flow(flow), RELAY_ACK, 101, 501, 40);

    site_arrive(site, data, 0, false);
    site_answer(site, rig_bounced(data));
}

TEST_F(site, who_heard_the_endpoint_start_knows_all_its_flows)
{
    site_heartbeat(site, "i-1", "lots", false, 1);
    site_open_flow(site, 1);
    g_string_truncate(site->record, 0);
    ask(site, 3);
    rig_expect(site->record, "tell placed reason=0 on=0 busy=1 state=1",
               "absent 6", NULL);
}

TEST_F(site, who_came_later_does_not)
{
    site_heartbeat(site, "i-1", "lots", false, 12);
    g_string_truncate(site->record, 0);
    ask(site, 3);
    rig_expect(site->record, "absent 0", NULL);
}

TEST_F(site, what_the_endpoint_handed_back_it_does_not_hold)
{
    site_heartbeat(site, "i-1", "lots", false, 12);
    search_in_vain(site, 2);
    g_string_truncate(site->record, 0);
    ask(site, 3);
    rig_expect(site->record, "absent 2", NULL);
}

/* A SYN that is handed back says only that the endpoint is full. */
TEST_F(site, a_syn_that_was_handed_back_proves_nothing)
{
    struct relay_packet syn =
        rig_from_caller(rig_flow(1), RELAY_SYN, 100, 0, 0);

    site_heartbeat(site, "i-1", "lots", false, 12);
    site_arrive(site, syn, 0, false);
    site_answer(site, rig_bounced(syn));
    g_string_truncate(site->record, 0);
    ask(site, 1);
    rig_expect(site->record, "absent 0", NULL);
}

TEST_F(site, a_flow_that_is_being_opened_may_be_held)
{
    site_heartbeat(site, "i-1", "lots", false, 1);
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 100, 0, 0), 0,
                false);
    g_string_truncate(site->record, 0);
    ask(site, 1);
    rig_expect(site->record, "absent 0", NULL);
}

/* Its first heartbeat came before this agent's start, its second is heard. */
TEST_F(site, a_later_start_is_known_whole_again)
{
    site_heartbeat(site, "i-1", "lots", false, 12);
    site_heartbeat(site, "i-2", "lots", false, 1);
    g_string_truncate(site->record, 0);
    ask(site, 1);
    rig_expect(site->record, "absent 1", NULL);
}

TEST_F(site, an_endpoint_that_has_ended_holds_nothing)
{
    site_heartbeat(site, "i-1", "lots", true, 12);
    site_open_flow(site, 1);
    door_left(&site->door, "i-1", 0, site->now_us);
    g_string_truncate(site->record, 0);
    ask(site, 1);
    rig_expect(site->record, "absent 1", NULL);
}

TEST_F(site, a_full_table_has_forgotten_some)
{
    site_heartbeat(site, "i-1", "lots", false, 1);
    for (unsigned i = 0; i <= DOOR_FLOWS_MAX; i++) {
        site_answer(site,
                    rig_from_endpoint(rig_flow(i), RELAY_ACK, 1, 1, 100));
    }
    g_string_truncate(site->record, 0);
    ask_from(site, DOOR_FLOWS_MAX + 5, 1);
    rig_expect(site->record, "absent 0", NULL);
}

TEST_F(site, the_host_is_asked_for_an_endpoint_that_was_never_heard)
{
    ask(site, 1);
    rig_expect(site->record, "probe", "absent 0", NULL);
    ask(site, 1);
    rig_expect(site->record, "absent 0", NULL);
    door_down(&site->door, site->now_us);
    g_string_truncate(site->record, 0);
    ask(site, 1);
    rig_expect(site->record, "absent 1", NULL);
    /* What starts there now is seen from its first moment. */
    site_heartbeat(site, "i-1", "lots", false, 3);
    g_string_truncate(site->record, 0);
    ask(site, 1);
    rig_expect(site->record, "absent 1", NULL);
}

TEST_F(site, an_endpoint_that_owes_an_answer_is_silent_in_the_end)
{
    site_heartbeat(site, "i-1", "lots", false, 12);
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 101, 501, 40), 0,
                false);
    g_string_truncate(site->record, 0);
    ask(site, 1);
    rig_expect(site->record, "absent 0", NULL);
    site->now_us += 6 * USEC_PER_MSEC;
    ask(site, 1);
    rig_expect(site->record, "probe", "absent 0", NULL);
    site->now_us += USEC_PER_SEC;
    ask(site, 1);
    rig_expect(site->record, "probe", "absent 0 silent", NULL);
    site_heartbeat(site, "i-1", "lots", false, 13);
    ask(site, 1);
    rig_expect(site->record, "absent 0", NULL);
}

/* Nothing answers a lone acknowledgement. */
TEST_F(site, an_endpoint_that_owes_nothing_is_not_silent)
{
    site_heartbeat(site, "i-1", "lots", false, 12);
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 101, 501, 0), 0,
                false);
    site->now_us += 2 * USEC_PER_SEC;
    g_string_truncate(site->record, 0);
    ask(site, 1);
    rig_expect(site->record, "absent 0", NULL);
}

/* It may have been opened at the new start, before that one's first heartbeat
 * was heard: it isn't called absent until the endpoint hands it back, and its
 * packets are offered there. */
TEST_F(site, a_flow_of_an_earlier_start_whose_syn_comes_again_is_in_doubt)
{
    struct relay_packet data =
        rig_from_caller(rig_flow(1), RELAY_ACK, 101, 501, 40);

    site_heartbeat(site, "i-1", "lots", false, 1);
    site_open_flow(site, 1);
    site_heartbeat(site, "i-2", "lots", false, 1);
    site_heartbeat(site, "i-2", "lots", true, 2);
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 100, 1, 0), 1,
                false);
    g_string_truncate(site->record, 0);
    ask(site, 1);
    rig_expect(site->record, "absent 0", NULL);
    site_arrive(site, data, 1, false);
    rig_expect(site->record, "endpoint 40", NULL);
    ask(site, 1);
    rig_expect(site->record, "absent 0", NULL);
    site_answer(site, rig_bounced(data));
    g_string_truncate(site->record, 0);
    ask(site, 1);
    rig_expect(site->record, "absent 1", NULL);
}
