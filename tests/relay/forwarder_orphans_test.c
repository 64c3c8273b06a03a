/* Guards against resetting a flow that an endpoint holds, and against
 * callers that wait for a flow that no endpoint holds. */
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/relay_fixture.h"
#include "relay/forwarder/forwarder.h"

#define SUITE "/relay/forwarder_orphans"
#define AGENTS 7
#define QUERY_MS 70
#define ALL 0xffffffffu

/**
 * struct fixture - a balancer that has just started, with recorded outputs
 * @queried: agents that received a query
 * @query: last query frame
 * @queries: number of query frames
 * @forwarded_to: agent that the last packet was forwarded to
 * @forwarded: number of packets forwarded
 * @next_count: further stops in the last packet's frame
 * @ended_queries: number of queries that have ended
 * @confirm_us: when the store was last asked to confirm the list, 0 for never
 */
struct fixture {
    struct forwarder_out out;
    struct forwarder forwarder;
    GString *record;
    uint64_t now_us;
    bool queried[AGENTS + 1];
    struct frame_query query;
    unsigned queries;
    unsigned forwarded_to;
    unsigned forwarded;
    unsigned next_count;
    unsigned ended_queries;
    uint64_t confirm_us;
};

static struct addr
agent_addr(unsigned number)
{
    return (struct addr){0x0a000000 + number, 7000};
}

static void
forward(struct forwarder_out *out, struct addr agent,
        const struct frame_forward *frame)
{
    struct fixture *fixture = (struct fixture *)out;

    fixture->forwarded_to = agent.ip - 0x0a000000;
    fixture->forwarded++;
    fixture->next_count = frame->next_count;
}

static void
reset(struct forwarder_out *out, struct relay_flow flow, uint32_t seq)
{
    fixture_record(((struct fixture *)out)->record, "reset %u at %u",
                   flow.caller.port, seq);
}

static void
ping(struct forwarder_out *out, struct addr agent, bool unlisted)
{
}

static void
query(struct forwarder_out *out, struct addr agent,
      const struct frame_query *query)
{
    struct fixture *fixture = (struct fixture *)out;

    fixture->queried[agent.ip - 0x0a000000] = true;
    fixture->query = *query;
    fixture->queries++;
}

static void
confirm(struct forwarder_out *out, uint64_t now_us)
{
    ((struct fixture *)out)->confirm_us = now_us;
}

static void
newer_config(struct forwarder_out *out,
             const struct frame_config_version *newer)
{
}

static void
readers(struct forwarder_out *out, struct frame_readers others)
{
}

static void
dropped(struct forwarder_out *out, enum forwarder_drop why,
        const struct relay_packet *packet)
{
}

static void
decided(struct forwarder_out *out, enum forwarder_decision decision,
        struct relay_flow flow, struct addr agent, unsigned tries,
        uint64_t age_us)
{
}

static void
concluded(struct forwarder_out *out, const struct orphan_query *query,
          unsigned ended)
{
    ((struct fixture *)out)->ended_queries++;
}

static void
level_changed(struct forwarder_out *out, const struct agent_row *row,
              uint64_t median_us)
{
}

static const struct forwarder_out_ops ops = {
    forward, reset,   ping,    query,     confirm,      newer_config,
    readers, dropped, decided, concluded, level_changed};

static void
report_health_of(struct fixture *fixture, unsigned number,
                 enum endpoint_state state, const char *service)
{
    struct frame_status status = {
        .type = FRAME_STATE,
        .health = {.service = hash_service(service),
                   .slots = 2,
                   .state = (uint8_t)state},
    };

    forwarder_status(&fixture->forwarder, agent_addr(number), &status,
                     fixture->now_us);
}

static void
report_health(struct fixture *fixture, unsigned number,
              enum endpoint_state state)
{
    report_health_of(fixture, number, state, "lots");
}

static void
fixture_init(struct fixture *fixture, bool idempotent)
{
    struct routes routes;
    struct route *route;

    fixture->out.ops = &ops;
    fixture->record = g_string_new(NULL);
    fixture->now_us = USEC_PER_SEC;
    g_assert_cmpint(forwarder_init(&fixture->forwarder, &fixture->out,
                                   fixture_addr("10.9.0.1:7720"), "here"),
                    ==, 0);
    routes_init(&routes);
    routes.version = 5;
    route = routes_add(&routes);
    route->address = fixture_flow(1).service;
    route->shares[0] = (struct route_share){hash_service("lots"), 1, 0};
    route->share_count = 1;
    route->idempotent = idempotent;
    g_assert_cmpint(routes_seal(&routes), ==, 0);
    forwarder_routes(&fixture->forwarder, &routes, fixture->now_us);
    for (unsigned i = 1; i <= AGENTS; i++) {
        agents_list(&fixture->forwarder.agents, agent_addr(i),
                    hash_service("lots"), "here", fixture->now_us);
        report_health(fixture, i, ENDPOINT_READY);
    }
    agents_list_complete(&fixture->forwarder.agents);
}

static void
fixture_finish(struct fixture *fixture)
{
    forwarder_finish(&fixture->forwarder);
    g_string_free(fixture->record, TRUE);
}

static void
advance_ms(struct fixture *fixture, unsigned ms)
{
    fixture->now_us += ms * USEC_PER_MSEC;
    forwarder_tick(&fixture->forwarder, fixture->now_us);
}

/* Sends a packet of a flow that was opened before this balancer started. */
static void
send_established(struct fixture *fixture, unsigned flow)
{
    struct relay_packet packet =
        fixture_from_caller(fixture_flow(flow), RELAY_ACK, 101, 501, 40);

    forwarder_packet(&fixture->forwarder, &packet, fixture->now_us);
}

static void
reply(struct fixture *fixture, unsigned agent, uint32_t absent, bool silent)
{
    struct frame_query_reply frame = {
        .query = fixture->query.query, .silent = silent, .absent = {absent}};

    forwarder_query_reply(&fixture->forwarder, agent_addr(agent), &frame,
                          fixture->now_us);
}

static void
confirmed(struct fixture *fixture)
{
    forwarder_confirmed(&fixture->forwarder, fixture->confirm_us,
                        fixture->now_us);
}

/* All agents after the first @except reply that they don't hold the flows. */
static void
reply_all_except(struct fixture *fixture, unsigned except)
{
    for (unsigned i = except + 1; i <= AGENTS; i++) {
        reply(fixture, i, ALL, false);
    }
}

static void
start_query(struct fixture *fixture)
{
    send_established(fixture, 1);
    advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->queries, ==, AGENTS);
    g_assert_cmpuint(fixture->query.count, ==, 1);
}

TEST_F(fixture, a_caller_is_reset_once_every_agent_denies_its_flow, false)
{
    start_query(fixture);
    reply_all_except(fixture, 0);
    fixture_expect(fixture->record, NULL);
    confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
    /* Further packets of the flow get the same reply. */
    send_established(fixture, 1);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
}

TEST_F(fixture, the_order_of_replies_does_not_matter, false)
{
    start_query(fixture);
    reply(fixture, 3, ALL, false);
    reply(fixture, 3, ALL, false);
    reply_all_except(fixture, 1);
    g_assert_cmpuint(fixture->confirm_us, ==, 0);
    reply(fixture, 1, ALL, false);
    confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
}

TEST_F(fixture, no_caller_is_reset_without_a_confirmed_list, true)
{
    start_query(fixture);
    reply_all_except(fixture, 0);
    advance_ms(fixture, QUERY_MS);
    fixture_expect(fixture->record, NULL);
}

/* The store's reply to a request from before the flow's packet isn't
 * accepted. */
TEST_F(fixture, a_list_from_before_the_packet_proves_nothing, true)
{
    uint64_t before_us = fixture->now_us;

    advance_ms(fixture, 1);
    start_query(fixture);
    reply_all_except(fixture, 0);
    forwarder_confirmed(&fixture->forwarder, before_us, fixture->now_us);
    advance_ms(fixture, QUERY_MS);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, one_uncertain_agent_prevents_a_reset, true)
{
    start_query(fixture);
    reply_all_except(fixture, 1);
    reply(fixture, 1, 0, false);
    /* The store isn't asked either. */
    g_assert_cmpuint(fixture->confirm_us, ==, 0);
    confirmed(fixture);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, a_reply_to_an_earlier_query_does_not_count, true)
{
    struct frame_query_reply late = {.absent = {ALL}};

    start_query(fixture);
    late.query = fixture->query.query;
    reply_all_except(fixture, 1);
    advance_ms(fixture, QUERY_MS);
    advance_ms(fixture, QUERY_MS);
    g_assert_cmpuint(fixture->query.query, !=, late.query);
    reply_all_except(fixture, 1);
    forwarder_query_reply(&fixture->forwarder, agent_addr(1), &late,
                          fixture->now_us);
    confirmed(fixture);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, a_found_flow_is_not_queried_for, false)
{
    struct frame_status established = {
        .type = FRAME_ESTABLISHED,
        .flow = fixture_flow(1),
        .seq = 500,
        .health = {.service = hash_service("lots"),
                   .slots = 2,
                   .state = ENDPOINT_READY},
    };

    send_established(fixture, 1);
    forwarder_status(&fixture->forwarder, agent_addr(4), &established,
                     fixture->now_us);
    advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->queries, ==, 0);
}

/* All agents after the first @except report that they are ready. */
static void
report_others_ready(struct fixture *fixture, unsigned except)
{
    for (unsigned i = except + 1; i <= AGENTS; i++) {
        report_health(fixture, i, ENDPOINT_READY);
    }
}

/* Runs for two seconds in which all agents after the first @except and the
 * store reply, while the caller keeps sending. */
static void
run_2_s(struct fixture *fixture, unsigned except)
{
    uint32_t replied = fixture->query.query;

    for (unsigned ms = 0; ms < 2000; ms += 5) {
        if (ms % 100 == 0) {
            report_others_ready(fixture, except);
            send_established(fixture, 1);
        }
        advance_ms(fixture, 5);
        if (fixture->query.query != replied) {
            replied = fixture->query.query;
            reply_all_except(fixture, except);
        }
        confirmed(fixture);
    }
}

/* Agent 1 stays silent: for idempotent requests callers are reset after a
 * second. */
static void
run_with_one_silent(struct fixture *fixture)
{
    run_2_s(fixture, 1);
}

TEST_F(fixture, idempotent_requests_do_not_wait_for_a_silent_agent, true)
{
    start_query(fixture);
    advance_ms(fixture, 600);
    fixture_expect(fixture->record, NULL);
    run_with_one_silent(fixture);
    g_assert_nonnull(strstr(fixture->record->str, "reset 1001"));
}

TEST_F(fixture, other_requests_wait_for_a_silent_agent, false)
{
    start_query(fixture);
    advance_ms(fixture, 600);
    run_with_one_silent(fixture);
    fixture_expect(fixture->record, NULL);
}

/* It may be in a planned restart. */
TEST_F(fixture, a_draining_agent_is_waited_for, true)
{
    report_health(fixture, 1, ENDPOINT_DRAINING);
    start_query(fixture);
    advance_ms(fixture, 600);
    run_with_one_silent(fixture);
    fixture_expect(fixture->record, NULL);
}

/* The balancer may be cut off, or most hosts may have failed. */
TEST_F(fixture, a_balancer_that_reaches_few_agents_proves_nothing, true)
{
    start_query(fixture);
    advance_ms(fixture, 600);
    /* Three of seven are too many, even one by one. */
    run_2_s(fixture, 1);
    g_string_truncate(fixture->record, 0);
    advance_ms(fixture, 1100);
    for (unsigned except = 1; except <= 3; except++) {
        agents_mark_unanswered(&fixture->forwarder.agents, agent_addr(except),
                               fixture->now_us, fixture->now_us);
    }
    advance_ms(fixture, 1100);
    run_2_s(fixture, 3);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, a_silent_endpoint_counts_as_a_silent_agent, false)
{
    start_query(fixture);
    reply_all_except(fixture, 1);
    reply(fixture, 1, ALL, true);
    confirmed(fixture);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, an_agent_with_an_ended_endpoint_is_not_queried, false)
{
    report_health(fixture, 1, ENDPOINT_GONE);
    send_established(fixture, 1);
    advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->queries, ==, AGENTS - 1);
    g_assert_false(fixture->queried[1]);
    reply_all_except(fixture, 1);
    confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
}

TEST_F(fixture, a_reused_port_is_a_new_flow, false)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 900, 0, 0);

    start_query(fixture);
    reply_all_except(fixture, 0);
    confirmed(fixture);
    g_string_truncate(fixture->record, 0);
    forwarder_packet(&fixture->forwarder, &syn, fixture->now_us);
    send_established(fixture, 1);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, a_proof_expires, false)
{
    start_query(fixture);
    reply_all_except(fixture, 0);
    confirmed(fixture);
    g_string_truncate(fixture->record, 0);
    advance_ms(fixture, 1100);
    send_established(fixture, 1);
    fixture_expect(fixture->record, NULL);
}

/* After a loss of all hosts the number of queries must be bounded by the
 * agents, not by the flows. */
TEST_F(fixture, many_flows_share_a_query, false)
{
    for (unsigned ms = 0; ms < 1000; ms += 10) {
        for (unsigned flow = 0; flow < 800; flow++) {
            if (flow % 20 == ms / 10 % 20) {
                send_established(fixture, flow);
            }
        }
        advance_ms(fixture, 10);
        reply_all_except(fixture, 0);
        confirmed(fixture);
    }
    /* Every caller is reset, with at least 20 ms between two queries. */
    g_assert_cmpuint(fixture->ended_queries, <=, 50);
    g_assert_cmpuint(fixture->queries, <=, 50 * AGENTS);
    for (unsigned flow = 0; flow < 800; flow++) {
        char line[32];

        g_snprintf(line, sizeof(line), "reset %u ", 1000 + flow);
        g_assert_nonnull(strstr(fixture->record->str, line));
    }
}

static void
open_flow(struct fixture *fixture, unsigned flow)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(flow), RELAY_SYN, 100, 0, 0);

    forwarder_packet(&fixture->forwarder, &syn, fixture->now_us);
}

/* Other balancers must find the holder of each flow in the list. */
TEST_F(fixture, new_flows_go_to_listed_agents, false)
{
    report_health(fixture, 9, ENDPOINT_READY);
    for (unsigned flow = 1; flow <= 200; flow++) {
        open_flow(fixture, flow);
        g_assert_cmpuint(fixture->forwarded_to, <=, AGENTS);
    }
    /* Without listed agents, others take new flows. */
    for (unsigned i = 1; i <= AGENTS; i++) {
        agents_unlist(&fixture->forwarder.agents, agent_addr(i),
                      fixture->now_us);
        report_health(fixture, i, ENDPOINT_GONE);
    }
    open_flow(fixture, 300);
    g_assert_cmpuint(fixture->forwarded_to, ==, 9);
}

/* The frame may be from the previous or the next host with the address; the
 * store's list decides. */
TEST_F(fixture, an_agent_with_a_conflicting_service_is_queried, false)
{
    report_health_of(fixture, 1, ENDPOINT_READY, "albums");
    send_established(fixture, 1);
    advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->queries, ==, AGENTS);
    g_assert_true(fixture->queried[1]);
}

/* The confirmed list contains it, but it wasn't queried. */
TEST_F(fixture, an_agent_added_during_a_query_may_hold_the_flow, false)
{
    start_query(fixture);
    reply_all_except(fixture, 0);
    agents_list(&fixture->forwarder.agents, agent_addr(8),
                hash_service("lots"), "here", fixture->now_us);
    confirmed(fixture);
    fixture_expect(fixture->record, NULL);
}

/* An endpoint that resets requests is chosen only if the others have four more
 * requests on each slot. */
TEST_F(fixture, a_failing_endpoint_is_chosen_last, false)
{
    struct frame_status status = {
        .type = FRAME_STATE,
        .health = {.service = hash_service("lots"),
                   .slots = 2,
                   .failing = true,
                   .state = ENDPOINT_READY},
    };

    forwarder_status(&fixture->forwarder, agent_addr(2), &status,
                     fixture->now_us);
    for (unsigned flow = 1; flow <= 40; flow++) {
        open_flow(fixture, flow);
        g_assert_cmpuint(fixture->forwarded_to, !=, 2);
    }
    for (unsigned i = 1; i <= AGENTS; i++) {
        status.health.failing = i == 2;
        status.health.busy = i == 2 ? 0 : 10;
        forwarder_status(&fixture->forwarder, agent_addr(i), &status,
                         fixture->now_us);
    }
    open_flow(fixture, 41);
    g_assert_cmpuint(fixture->forwarded_to, ==, 2);
}

/* Its host is being removed: its reply is optional before it has been silent
 * for a second. */
TEST_F(fixture, a_silent_agent_without_an_endpoint_is_not_waited_for, true)
{
    struct frame_query_reply down = {.down = true, .absent = {ALL}};

    start_query(fixture);
    down.query = fixture->query.query;
    forwarder_query_reply(&fixture->forwarder, agent_addr(1), &down,
                          fixture->now_us);
    reply_all_except(fixture, 1);
    confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
    send_established(fixture, 2);
    advance_ms(fixture, 30);
    reply_all_except(fixture, 1);
    advance_ms(fixture, 16);
    confirmed(fixture);
    fixture_expect(fixture->record, "reset 1002 at 501", NULL);
}

TEST_F(fixture, other_requests_wait_for_an_agent_without_an_endpoint, false)
{
    struct frame_query_reply down = {.down = true, .absent = {ALL}};

    start_query(fixture);
    down.query = fixture->query.query;
    forwarder_query_reply(&fixture->forwarder, agent_addr(1), &down,
                          fixture->now_us);
    reply_all_except(fixture, 1);
    confirmed(fixture);
    g_string_truncate(fixture->record, 0);
    send_established(fixture, 2);
    advance_ms(fixture, 30);
    reply_all_except(fixture, 1);
    advance_ms(fixture, 16);
    confirmed(fixture);
    fixture_expect(fixture->record, NULL);
}

/* A balancer that was slow for a second takes all agents for silent; they
 * reply, and one of them holds the flow. */
TEST_F(fixture, a_reply_from_a_seemingly_silent_agent_counts, true)
{
    for (unsigned i = 1; i <= AGENTS; i++) {
        agents_mark_unanswered(&fixture->forwarder.agents, agent_addr(i),
                               fixture->now_us + 1, fixture->now_us + 1);
    }
    advance_ms(fixture, 1200);
    report_others_ready(fixture, 2);
    send_established(fixture, 1);
    advance_ms(fixture, 10);
    reply_all_except(fixture, 2);
    reply(fixture, 1, 0, false);
    advance_ms(fixture, 16);
    confirmed(fixture);
    fixture_expect(fixture->record, NULL);
}

/* The tick is late: replies may be unread, so that the balancer waits for them
 * once more. */
TEST_F(fixture, a_slow_balancer_does_not_conclude_at_once, true)
{
    agents_mark_unanswered(&fixture->forwarder.agents, agent_addr(1),
                           fixture->now_us + 1, fixture->now_us + 1);
    advance_ms(fixture, 1200);
    report_others_ready(fixture, 1);
    send_established(fixture, 1);
    advance_ms(fixture, 10);
    reply_all_except(fixture, 1);
    advance_ms(fixture, 40);
    confirmed(fixture);
    fixture_expect(fixture->record, NULL);
    advance_ms(fixture, 15);
    confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
}

/* When many agents seem silent, the balancer itself is slow. */
TEST_F(fixture, a_query_with_few_replies_makes_no_agent_suspect, true)
{
    start_query(fixture);
    reply_all_except(fixture, 3);
    advance_ms(fixture, QUERY_MS);
    for (unsigned i = 1; i <= AGENTS; i++) {
        g_assert_false(
            agents_find(&fixture->forwarder.agents, agent_addr(i))->suspect);
    }
    send_established(fixture, 1);
    advance_ms(fixture, QUERY_MS);
    reply_all_except(fixture, 1);
    advance_ms(fixture, QUERY_MS);
    g_assert_true(
        agents_find(&fixture->forwarder.agents, agent_addr(1))->suspect);
}

/* The store came back from an older copy: its list may lack live agents. */
TEST_F(fixture, nothing_is_proved_until_all_can_be_listed_again, true)
{
    struct evacuations first = {.epoch = 1, .revision = 90};
    struct evacuations later = {.epoch = 2, .revision = 40};

    forwarder_evacuations(&fixture->forwarder, &first, false, fixture->now_us);
    forwarder_evacuations(&fixture->forwarder, &later, false, fixture->now_us);
    start_query(fixture);
    reply_all_except(fixture, 0);
    confirmed(fixture);
    advance_ms(fixture, QUERY_MS);
    fixture_expect(fixture->record, NULL);
    for (unsigned ms = 0; ms < 30000; ms += 100) {
        advance_ms(fixture, 100);
    }
    fixture->queries = 0;
    start_query(fixture);
    reply_all_except(fixture, 0);
    confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
}

/* The balancer's first reading of the store is of the new epoch. */
TEST_F(fixture, a_balancer_started_after_a_rollback_proves_nothing, true)
{
    struct evacuations reported = {.epoch = 2, .recovery_s = 7};

    forwarder_evacuations(&fixture->forwarder, &reported, false,
                          fixture->now_us);
    start_query(fixture);
    reply_all_except(fixture, 0);
    confirmed(fixture);
    advance_ms(fixture, QUERY_MS);
    fixture_expect(fixture->record, NULL);
}

/* An agent that has restarted doesn't track all flows of its endpoint and
 * can't deny them. */
static void
reply_partial(struct fixture *fixture, unsigned agent)
{
    struct frame_query_reply frame = {.query = fixture->query.query,
                                      .partial = true};

    forwarder_query_reply(&fixture->forwarder, agent_addr(agent), &frame,
                          fixture->now_us);
}

TEST_F(fixture, an_agent_that_denied_a_flow_gets_no_packet_of_it, true)
{
    start_query(fixture);
    reply_partial(fixture, 3);
    reply_all_except(fixture, 3);
    for (unsigned i = 1; i < 3; i++) {
        reply(fixture, i, ALL, false);
    }
    fixture->forwarded = 0;
    send_established(fixture, 1);
    g_assert_cmpuint(fixture->forwarded, ==, 1);
    g_assert_cmpuint(fixture->forwarded_to, ==, 3);
    g_assert_cmpuint(fixture->next_count, ==, 0);
}

TEST_F(fixture, an_agent_that_did_not_reply_still_gets_packets, true)
{
    start_query(fixture);
    reply_all_except(fixture, 2);
    advance_ms(fixture, QUERY_MS);
    fixture->forwarded = 0;
    send_established(fixture, 1);
    g_assert_cmpuint(fixture->forwarded, ==, 1);
    g_assert_cmpuint(fixture->forwarded_to, <=, 2);
    g_assert_cmpuint(fixture->next_count, ==, 1);
}

/* Only the orphan query decides on it. */
TEST_F(fixture, a_flow_denied_by_all_agents_is_not_forwarded, true)
{
    start_query(fixture);
    reply_all_except(fixture, 0);
    advance_ms(fixture, QUERY_MS);
    fixture->forwarded = 0;
    send_established(fixture, 1);
    g_assert_cmpuint(fixture->forwarded, ==, 0);
    advance_ms(fixture, QUERY_MS);
    reply_all_except(fixture, 0);
    confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
}

TEST_F(fixture, a_lookup_begins_at_partial_agents, true)
{
    start_query(fixture);
    reply_partial(fixture, 5);
    for (unsigned flow = 2; flow <= 9; flow++) {
        send_established(fixture, flow);
        g_assert_cmpuint(fixture->forwarded_to, ==, 5);
        g_assert_cmpuint(fixture->next_count, ==, AGENTS - 1);
    }
}
