#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/relay_fixture.h"
#include "relay/forwarder/forwarder.h"

#define SUITE "/relay/steer_lost"
#define AGENTS 7
#define ROUND_MS 70
#define ALL 0xffffffffu

/**
 * struct fixture - a balancer that has just started, and seven agents
 * @asked: agents that the last question went to
 * @questions: datagrams with a question
 * @carried_to: agent that the last packet went to
 * @carried: packets that went to some agent
 * @named: agents that the last packet's frame names beside that
 * @rounds: questions that have ended
 */
struct fixture {
    struct forwarder_out out;
    struct forwarder forwarder;
    GString *record;
    uint64_t now_us;
    bool asked[AGENTS + 1];
    struct frame_query ask;
    unsigned questions;
    unsigned carried_to;
    unsigned carried;
    unsigned named;
    unsigned rounds;
    uint64_t confirm_us;
};

static struct addr
agent_addr(unsigned number)
{
    return (struct addr){0x0a000000 + number, 7000};
}

static void
carry(struct forwarder_out *out, struct addr agent,
      const struct frame_forward *frame)
{
    struct fixture *fixture = (struct fixture *)out;

    fixture->carried_to = agent.ip - 0x0a000000;
    fixture->carried++;
    fixture->named = frame->next_count;
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
ask(struct forwarder_out *out, struct addr agent,
    const struct frame_query *ask)
{
    struct fixture *fixture = (struct fixture *)out;

    fixture->asked[agent.ip - 0x0a000000] = true;
    fixture->ask = *ask;
    fixture->questions++;
}

static void
confirm(struct forwarder_out *out, uint64_t now_us)
{
    ((struct fixture *)out)->confirm_us = now_us;
}

static void
behind(struct forwarder_out *out, const struct frame_config_version *newer)
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
decided(struct forwarder_out *out, enum forwarder_decision did,
        struct relay_flow flow, struct addr agent, unsigned tries,
        uint64_t age_us)
{
}

static void
concluded(struct forwarder_out *out, const struct orphan_query *query,
          unsigned over)
{
    ((struct fixture *)out)->rounds++;
}

static const struct forwarder_out_ops ops = {
    carry,  reset,   ping,    ask,     confirm,
    behind, readers, dropped, decided, concluded};

static void
hear_of(struct fixture *fixture, unsigned number, enum endpoint_state state,
        const char *service)
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
hear(struct fixture *fixture, unsigned number, enum endpoint_state state)
{
    hear_of(fixture, number, state, "lots");
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
        hear(fixture, i, ENDPOINT_READY);
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
pass_ms(struct fixture *fixture, unsigned ms)
{
    fixture->now_us += ms * USEC_PER_MSEC;
    forwarder_tick(&fixture->forwarder, fixture->now_us);
}

/* A packet of a flow that was opened before this balancer's start. */
static void
send_on(struct fixture *fixture, unsigned flow)
{
    struct relay_packet packet =
        fixture_from_caller(fixture_flow(flow), RELAY_ACK, 101, 501, 40);

    forwarder_packet(&fixture->forwarder, &packet, fixture->now_us);
}

static void
answer(struct fixture *fixture, unsigned agent, uint32_t absent, bool silent)
{
    struct frame_query_reply frame = {
        .query = fixture->ask.query, .silent = silent, .absent = {absent}};

    forwarder_query_reply(&fixture->forwarder, agent_addr(agent), &frame,
                          fixture->now_us);
}

static void
confirmed(struct fixture *fixture)
{
    forwarder_confirmed(&fixture->forwarder, fixture->confirm_us,
                        fixture->now_us);
}

/* All agents but the first @but say that they lack the flows. */
static void
answer_all_but(struct fixture *fixture, unsigned but)
{
    for (unsigned i = but + 1; i <= AGENTS; i++) {
        answer(fixture, i, ALL, false);
    }
}

static void
open_question(struct fixture *fixture)
{
    send_on(fixture, 1);
    pass_ms(fixture, 10);
    g_assert_cmpuint(fixture->questions, ==, AGENTS);
    g_assert_cmpuint(fixture->ask.count, ==, 1);
}

TEST_F(fixture, a_caller_is_told_once_every_agent_says_no, false)
{
    open_question(fixture);
    answer_all_but(fixture, 0);
    fixture_expect(fixture->record, NULL);
    confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
    /* What was on its way is told the same. */
    send_on(fixture, 1);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
}

TEST_F(fixture, the_order_of_the_answers_does_not_matter, false)
{
    open_question(fixture);
    answer(fixture, 3, ALL, false);
    answer(fixture, 3, ALL, false);
    answer_all_but(fixture, 1);
    g_assert_cmpuint(fixture->confirm_us, ==, 0);
    answer(fixture, 1, ALL, false);
    confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
}

TEST_F(fixture, without_the_list_nobody_is_told, true)
{
    open_question(fixture);
    answer_all_but(fixture, 0);
    pass_ms(fixture, ROUND_MS);
    fixture_expect(fixture->record, NULL);
}

/* The store answers what it was asked before the flow's packet came. */
TEST_F(fixture, a_list_of_before_says_nothing, true)
{
    uint64_t before_us = fixture->now_us;

    pass_ms(fixture, 1);
    open_question(fixture);
    answer_all_but(fixture, 0);
    forwarder_confirmed(&fixture->forwarder, before_us, fixture->now_us);
    pass_ms(fixture, ROUND_MS);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, one_agent_that_is_not_sure_is_enough_for_silence, true)
{
    open_question(fixture);
    answer_all_but(fixture, 1);
    answer(fixture, 1, 0, false);
    /* The store needn't be asked either. */
    g_assert_cmpuint(fixture->confirm_us, ==, 0);
    confirmed(fixture);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, an_answer_to_an_earlier_question_does_not_count, true)
{
    struct frame_query_reply late = {.absent = {ALL}};

    open_question(fixture);
    late.query = fixture->ask.query;
    answer_all_but(fixture, 1);
    pass_ms(fixture, ROUND_MS);
    pass_ms(fixture, ROUND_MS);
    g_assert_cmpuint(fixture->ask.query, !=, late.query);
    answer_all_but(fixture, 1);
    forwarder_query_reply(&fixture->forwarder, agent_addr(1), &late,
                          fixture->now_us);
    confirmed(fixture);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, a_flow_that_was_found_is_not_asked_for, false)
{
    struct frame_status placed = {
        .type = FRAME_ESTABLISHED,
        .flow = fixture_flow(1),
        .seq = 500,
        .health = {.service = hash_service("lots"),
                   .slots = 2,
                   .state = ENDPOINT_READY},
    };

    send_on(fixture, 1);
    forwarder_status(&fixture->forwarder, agent_addr(4), &placed,
                     fixture->now_us);
    pass_ms(fixture, 10);
    g_assert_cmpuint(fixture->questions, ==, 0);
}

/* All agents but the first @but answer pings. */
static void
others_speak(struct fixture *fixture, unsigned but)
{
    for (unsigned i = but + 1; i <= AGENTS; i++) {
        hear(fixture, i, ENDPOINT_READY);
    }
}

/* Two seconds in which all agents but the first @but answer, and the store
 * too, while the caller sends on. */
static void
run(struct fixture *fixture, unsigned but)
{
    uint32_t answered = fixture->ask.query;

    for (unsigned ms = 0; ms < 2000; ms += 5) {
        if (ms % 100 == 0) {
            others_speak(fixture, but);
            send_on(fixture, 1);
        }
        pass_ms(fixture, 5);
        if (fixture->ask.query != answered) {
            answered = fixture->ask.query;
            answer_all_but(fixture, but);
        }
        confirmed(fixture);
    }
}

/* Agent 1 answers nothing: where requests may run twice, callers are told once
 * it has been silent for a second. */
static void
one_is_silent(struct fixture *fixture)
{
    run(fixture, 1);
}

TEST_F(fixture, an_idempotent_caller_does_not_wait_for_a_silent_agent, true)
{
    open_question(fixture);
    pass_ms(fixture, 600);
    fixture_expect(fixture->record, NULL);
    one_is_silent(fixture);
    g_assert_nonnull(strstr(fixture->record->str, "reset 1001"));
}

TEST_F(fixture, another_caller_does, false)
{
    open_question(fixture);
    pass_ms(fixture, 600);
    one_is_silent(fixture);
    fixture_expect(fixture->record, NULL);
}

/* It may be in a planned restart. */
TEST_F(fixture, one_that_said_that_it_closes_is_waited_for, true)
{
    hear(fixture, 1, ENDPOINT_DRAINING);
    open_question(fixture);
    pass_ms(fixture, 600);
    one_is_silent(fixture);
    fixture_expect(fixture->record, NULL);
}

/* The balancer is cut off, or most hosts are: it can't tell which. */
TEST_F(fixture, a_balancer_that_reaches_few_doubts_itself, true)
{
    open_question(fixture);
    pass_ms(fixture, 600);
    /* Three of seven are too many, also one by one. */
    run(fixture, 1);
    g_string_truncate(fixture->record, 0);
    pass_ms(fixture, 1100);
    for (unsigned but = 1; but <= 3; but++) {
        agents_mark_unanswered(&fixture->forwarder.agents, agent_addr(but),
                               fixture->now_us, fixture->now_us);
    }
    pass_ms(fixture, 1100);
    run(fixture, 3);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, an_endpoint_that_is_silent_is_like_a_silent_agent, false)
{
    open_question(fixture);
    answer_all_but(fixture, 1);
    answer(fixture, 1, ALL, true);
    confirmed(fixture);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, who_has_gone_is_not_asked, false)
{
    hear(fixture, 1, ENDPOINT_GONE);
    send_on(fixture, 1);
    pass_ms(fixture, 10);
    g_assert_cmpuint(fixture->questions, ==, AGENTS - 1);
    g_assert_false(fixture->asked[1]);
    answer_all_but(fixture, 1);
    confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
}

TEST_F(fixture, a_port_that_is_used_again_is_a_new_flow, false)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 900, 0, 0);

    open_question(fixture);
    answer_all_but(fixture, 0);
    confirmed(fixture);
    g_string_truncate(fixture->record, 0);
    forwarder_packet(&fixture->forwarder, &syn, fixture->now_us);
    send_on(fixture, 1);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, a_proof_is_not_believed_for_long, false)
{
    open_question(fixture);
    answer_all_but(fixture, 0);
    confirmed(fixture);
    g_string_truncate(fixture->record, 0);
    pass_ms(fixture, 1100);
    send_on(fixture, 1);
    fixture_expect(fixture->record, NULL);
}

/* What a loss of all hosts costs: the questions of a second are bounded by
 * the agents, not by the flows. */
TEST_F(fixture, many_flows_share_a_question, false)
{
    for (unsigned ms = 0; ms < 1000; ms += 10) {
        for (unsigned flow = 0; flow < 800; flow++) {
            if (flow % 20 == ms / 10 % 20) {
                send_on(fixture, flow);
            }
        }
        pass_ms(fixture, 10);
        answer_all_but(fixture, 0);
        confirmed(fixture);
    }
    /* Every one of them is told; 20 ms between two questions. */
    g_assert_cmpuint(fixture->rounds, <=, 50);
    g_assert_cmpuint(fixture->questions, <=, 50 * AGENTS);
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

/* Whoever reads the list later must find there who may hold the flow. */
TEST_F(fixture, new_flows_go_to_agents_in_the_list, false)
{
    hear(fixture, 9, ENDPOINT_READY);
    for (unsigned flow = 1; flow <= 200; flow++) {
        open_flow(fixture, flow);
        g_assert_cmpuint(fixture->carried_to, <=, AGENTS);
    }
    /* Without any they are served all the same. */
    for (unsigned i = 1; i <= AGENTS; i++) {
        agents_unlist(&fixture->forwarder.agents, agent_addr(i),
                      fixture->now_us);
        hear(fixture, i, ENDPOINT_GONE);
    }
    open_flow(fixture, 300);
    g_assert_cmpuint(fixture->carried_to, ==, 9);
}

/* A frame of whoever has the address now, or had it before: which of the two
 * the store says. */
TEST_F(fixture, an_agent_whose_service_is_in_doubt_is_asked, false)
{
    hear_of(fixture, 1, ENDPOINT_READY, "albums");
    send_on(fixture, 1);
    pass_ms(fixture, 10);
    g_assert_cmpuint(fixture->questions, ==, AGENTS);
    g_assert_true(fixture->asked[1]);
}

/* The store's answer names it too, but it wasn't asked. */
TEST_F(fixture, an_agent_that_comes_meanwhile_may_hold_the_flow, false)
{
    open_question(fixture);
    answer_all_but(fixture, 0);
    agents_list(&fixture->forwarder.agents, agent_addr(8),
                hash_service("lots"), "here", fixture->now_us);
    confirmed(fixture);
    fixture_expect(fixture->record, NULL);
}

/* One that resets requests is chosen when the others have four more on each
 * slot, not before. */
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
        g_assert_cmpuint(fixture->carried_to, !=, 2);
    }
    for (unsigned i = 1; i <= AGENTS; i++) {
        status.health.failing = i == 2;
        status.health.busy = i == 2 ? 0 : 10;
        forwarder_status(&fixture->forwarder, agent_addr(i), &status,
                         fixture->now_us);
    }
    open_flow(fixture, 41);
    g_assert_cmpuint(fixture->carried_to, ==, 2);
}

/* Its host is taken away: it needn't be silent for a second first. */
TEST_F(fixture, who_had_no_endpoint_and_vanishes_is_not_waited_for, true)
{
    struct frame_query_reply down = {.down = true, .absent = {ALL}};

    open_question(fixture);
    down.query = fixture->ask.query;
    forwarder_query_reply(&fixture->forwarder, agent_addr(1), &down,
                          fixture->now_us);
    answer_all_but(fixture, 1);
    confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
    send_on(fixture, 2);
    pass_ms(fixture, 30);
    answer_all_but(fixture, 1);
    pass_ms(fixture, 16);
    confirmed(fixture);
    fixture_expect(fixture->record, "reset 1002 at 501", NULL);
}

TEST_F(fixture, unsafe_callers_wait_for_it_all_the_same, false)
{
    struct frame_query_reply down = {.down = true, .absent = {ALL}};

    open_question(fixture);
    down.query = fixture->ask.query;
    forwarder_query_reply(&fixture->forwarder, agent_addr(1), &down,
                          fixture->now_us);
    answer_all_but(fixture, 1);
    confirmed(fixture);
    g_string_truncate(fixture->record, 0);
    send_on(fixture, 2);
    pass_ms(fixture, 30);
    answer_all_but(fixture, 1);
    pass_ms(fixture, 16);
    confirmed(fixture);
    fixture_expect(fixture->record, NULL);
}

/* A balancer that was slow for a second takes all agents for silent; they
 * answer, and one of them holds the flow. */
TEST_F(fixture, who_seemed_silent_and_answers_is_believed, true)
{
    for (unsigned i = 1; i <= AGENTS; i++) {
        agents_mark_unanswered(&fixture->forwarder.agents, agent_addr(i),
                               fixture->now_us + 1, fixture->now_us + 1);
    }
    pass_ms(fixture, 1200);
    others_speak(fixture, 2);
    send_on(fixture, 1);
    pass_ms(fixture, 10);
    answer_all_but(fixture, 2);
    answer(fixture, 1, 0, false);
    pass_ms(fixture, 16);
    confirmed(fixture);
    fixture_expect(fixture->record, NULL);
}

/* The end of its question comes late: answers may lie unread, and it waits for
 * them once more. */
TEST_F(fixture, a_slow_balancer_does_not_conclude_at_once, true)
{
    agents_mark_unanswered(&fixture->forwarder.agents, agent_addr(1),
                           fixture->now_us + 1, fixture->now_us + 1);
    pass_ms(fixture, 1200);
    others_speak(fixture, 1);
    send_on(fixture, 1);
    pass_ms(fixture, 10);
    answer_all_but(fixture, 1);
    pass_ms(fixture, 40);
    confirmed(fixture);
    fixture_expect(fixture->record, NULL);
    pass_ms(fixture, 15);
    confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
}

/* It is the balancer that reads late when many agents seem to be. */
TEST_F(fixture, a_question_that_few_answer_makes_nobody_suspect, true)
{
    open_question(fixture);
    answer_all_but(fixture, 3);
    pass_ms(fixture, ROUND_MS);
    for (unsigned i = 1; i <= AGENTS; i++) {
        g_assert_false(
            agents_find(&fixture->forwarder.agents, agent_addr(i))->suspect);
    }
    send_on(fixture, 1);
    pass_ms(fixture, ROUND_MS);
    answer_all_but(fixture, 1);
    pass_ms(fixture, ROUND_MS);
    g_assert_true(
        agents_find(&fixture->forwarder.agents, agent_addr(1))->suspect);
}

/* The store came back older: its list may lack agents that live. */
TEST_F(fixture, nothing_is_proved_until_all_can_be_listed_again, true)
{
    struct evacuations first = {.epoch = 1, .revision = 90};
    struct evacuations later = {.epoch = 2, .revision = 40};

    forwarder_evacuations(&fixture->forwarder, &first, false, fixture->now_us);
    forwarder_evacuations(&fixture->forwarder, &later, false, fixture->now_us);
    open_question(fixture);
    answer_all_but(fixture, 0);
    confirmed(fixture);
    pass_ms(fixture, ROUND_MS);
    fixture_expect(fixture->record, NULL);
    for (unsigned ms = 0; ms < 30000; ms += 100) {
        pass_ms(fixture, 100);
    }
    fixture->questions = 0;
    open_question(fixture);
    answer_all_but(fixture, 0);
    confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
}

/* Its own first word of the store is of that epoch already. */
TEST_F(fixture, who_has_started_since_is_told_of_it, true)
{
    struct evacuations told = {.epoch = 2, .recovery_s = 7};

    forwarder_evacuations(&fixture->forwarder, &told, false, fixture->now_us);
    open_question(fixture);
    answer_all_but(fixture, 0);
    confirmed(fixture);
    pass_ms(fixture, ROUND_MS);
    fixture_expect(fixture->record, NULL);
}

/* An agent that has started beside its endpoint doesn't know all flows there:
 * only their packets tell. The others have answered for certain. */
static void
answer_partly(struct fixture *fixture, unsigned agent)
{
    struct frame_query_reply frame = {.query = fixture->ask.query,
                                      .partial = true};

    forwarder_query_reply(&fixture->forwarder, agent_addr(agent), &frame,
                          fixture->now_us);
}

TEST_F(fixture, who_has_denied_a_flow_gets_no_packet_of_it, true)
{
    open_question(fixture);
    answer_partly(fixture, 3);
    answer_all_but(fixture, 3);
    for (unsigned i = 1; i < 3; i++) {
        answer(fixture, i, ALL, false);
    }
    fixture->carried = 0;
    send_on(fixture, 1);
    g_assert_cmpuint(fixture->carried, ==, 1);
    g_assert_cmpuint(fixture->carried_to, ==, 3);
    g_assert_cmpuint(fixture->named, ==, 0);
}

TEST_F(fixture, who_has_not_answered_has_not_denied_it, true)
{
    open_question(fixture);
    answer_all_but(fixture, 2);
    pass_ms(fixture, ROUND_MS);
    fixture->carried = 0;
    send_on(fixture, 1);
    g_assert_cmpuint(fixture->carried, ==, 1);
    g_assert_cmpuint(fixture->carried_to, <=, 2);
    g_assert_cmpuint(fixture->named, ==, 1);
}

/* It waits for the proof, and costs nothing meanwhile. */
TEST_F(fixture, a_flow_that_all_have_denied_goes_nowhere, true)
{
    open_question(fixture);
    answer_all_but(fixture, 0);
    pass_ms(fixture, ROUND_MS);
    fixture->carried = 0;
    send_on(fixture, 1);
    g_assert_cmpuint(fixture->carried, ==, 0);
    pass_ms(fixture, ROUND_MS);
    answer_all_but(fixture, 0);
    confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
}

TEST_F(fixture, a_search_begins_at_those_that_cannot_answer, true)
{
    open_question(fixture);
    answer_partly(fixture, 5);
    for (unsigned flow = 2; flow <= 9; flow++) {
        send_on(fixture, flow);
        g_assert_cmpuint(fixture->carried_to, ==, 5);
        g_assert_cmpuint(fixture->named, ==, AGENTS - 1);
    }
}
