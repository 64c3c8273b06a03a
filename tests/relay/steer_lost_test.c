#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/relay_rig.h"
#include "relay/steer/steer.h"

#define SUITE "/relay/steer_lost"
#define AGENTS 7
#define ROUND_MS 70
#define ALL 0xffffffffu

/**
 * struct site - a balancer that has just started, and seven agents
 * @asked: agents that the last question went to
 * @questions: datagrams with a question
 * @carried_to: agent that the last packet went to
 * @carried: packets that went to some agent
 * @named: agents that the last packet's frame names beside that
 * @rounds: questions that have ended
 */
struct site {
    struct steer_out out;
    struct steer steer;
    GString *record;
    uint64_t now_us;
    bool asked[AGENTS + 1];
    struct frame_ask ask;
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
carry(struct steer_out *out, struct addr agent,
      const struct frame_carry *frame)
{
    struct site *site = (struct site *)out;

    site->carried_to = agent.ip - 0x0a000000;
    site->carried++;
    site->named = frame->next_count;
}

static void
reset(struct steer_out *out, struct relay_flow flow, uint32_t seq)
{
    rig_note(((struct site *)out)->record, "reset %u at %u", flow.caller.port,
             seq);
}

static void
ping(struct steer_out *out, struct addr agent, bool unlisted)
{
}

static void
ask(struct steer_out *out, struct addr agent, const struct frame_ask *ask)
{
    struct site *site = (struct site *)out;

    site->asked[agent.ip - 0x0a000000] = true;
    site->ask = *ask;
    site->questions++;
}

static void
confirm(struct steer_out *out, uint64_t now_us)
{
    ((struct site *)out)->confirm_us = now_us;
}

static void
behind(struct steer_out *out, const struct frame_version *newer)
{
}

static void
readers(struct steer_out *out, struct frame_readers others)
{
}

static void
dropped(struct steer_out *out, enum steer_drop why,
        const struct relay_packet *packet)
{
}

static void
decided(struct steer_out *out, enum steer_did did, struct relay_flow flow,
        struct addr agent, unsigned tries, uint64_t age_us)
{
}

static void
concluded(struct steer_out *out, const struct steer_round *round,
          unsigned over)
{
    ((struct site *)out)->rounds++;
}

static const struct steer_out_ops ops = {carry,   reset,    ping,    ask,
                                         confirm, behind,   readers, dropped,
                                         decided, concluded};

static void
hear_of(struct site *site, unsigned number, enum endpoint_state state,
        const char *service)
{
    struct frame_status status = {
        .type = FRAME_STATE,
        .health = {.service = hash_service(service),
                   .slots = 2,
                   .state = (uint8_t)state},
    };

    steer_status(&site->steer, agent_addr(number), &status, site->now_us);
}

static void
hear(struct site *site, unsigned number, enum endpoint_state state)
{
    hear_of(site, number, state, "lots");
}

static void
site_init(struct site *site, bool idempotent)
{
    struct routes routes;
    struct route *route;

    site->out.ops = &ops;
    site->record = g_string_new(NULL);
    site->now_us = USEC_PER_SEC;
    g_assert_cmpint(steer_init(&site->steer, &site->out,
                               rig_addr("10.9.0.1:7720"), "here"),
                    ==, 0);
    routes_init(&routes);
    routes.version = 5;
    route = routes_add(&routes);
    route->address = rig_flow(1).service;
    route->shares[0] = (struct route_share){hash_service("lots"), 1, 0};
    route->share_count = 1;
    route->idempotent = idempotent;
    g_assert_cmpint(routes_seal(&routes), ==, 0);
    steer_routes(&site->steer, &routes, site->now_us);
    for (unsigned i = 1; i <= AGENTS; i++) {
        agents_list(&site->steer.agents, agent_addr(i), hash_service("lots"),
                    "here", site->now_us);
        hear(site, i, ENDPOINT_READY);
    }
    agents_listed(&site->steer.agents);
}

static void
site_finish(struct site *site)
{
    steer_finish(&site->steer);
    g_string_free(site->record, TRUE);
}

static void
pass_ms(struct site *site, unsigned ms)
{
    site->now_us += ms * USEC_PER_MSEC;
    steer_tick(&site->steer, site->now_us);
}

/* A packet of a flow that was opened before this balancer's start. */
static void
send_on(struct site *site, unsigned flow)
{
    struct relay_packet packet =
        rig_from_caller(rig_flow(flow), RELAY_ACK, 101, 501, 40);

    steer_packet(&site->steer, &packet, site->now_us);
}

static void
answer(struct site *site, unsigned agent, uint32_t absent, bool silent)
{
    struct frame_absent frame = {
        .round = site->ask.round, .silent = silent, .absent = {absent}};

    steer_absent(&site->steer, agent_addr(agent), &frame, site->now_us);
}

static void
confirmed(struct site *site)
{
    steer_confirmed(&site->steer, site->confirm_us, site->now_us);
}

/* All agents but the first @but say that they lack the flows. */
static void
answer_all_but(struct site *site, unsigned but)
{
    for (unsigned i = but + 1; i <= AGENTS; i++) {
        answer(site, i, ALL, false);
    }
}

static void
open_question(struct site *site)
{
    send_on(site, 1);
    pass_ms(site, 10);
    g_assert_cmpuint(site->questions, ==, AGENTS);
    g_assert_cmpuint(site->ask.count, ==, 1);
}

TEST_F(site, a_caller_is_told_once_every_agent_says_no, false)
{
    open_question(site);
    answer_all_but(site, 0);
    rig_expect(site->record, NULL);
    confirmed(site);
    rig_expect(site->record, "reset 1001 at 501", NULL);
    /* What was on its way is told the same. */
    send_on(site, 1);
    rig_expect(site->record, "reset 1001 at 501", NULL);
}

TEST_F(site, the_order_of_the_answers_does_not_matter, false)
{
    open_question(site);
    answer(site, 3, ALL, false);
    answer(site, 3, ALL, false);
    answer_all_but(site, 1);
    g_assert_cmpuint(site->confirm_us, ==, 0);
    answer(site, 1, ALL, false);
    confirmed(site);
    rig_expect(site->record, "reset 1001 at 501", NULL);
}

TEST_F(site, without_the_list_nobody_is_told, true)
{
    open_question(site);
    answer_all_but(site, 0);
    pass_ms(site, ROUND_MS);
    rig_expect(site->record, NULL);
}

/* The store answers what it was asked before the flow's packet came. */
TEST_F(site, a_list_of_before_says_nothing, true)
{
    uint64_t before_us = site->now_us;

    pass_ms(site, 1);
    open_question(site);
    answer_all_but(site, 0);
    steer_confirmed(&site->steer, before_us, site->now_us);
    pass_ms(site, ROUND_MS);
    rig_expect(site->record, NULL);
}

TEST_F(site, one_agent_that_is_not_sure_is_enough_for_silence, true)
{
    open_question(site);
    answer_all_but(site, 1);
    answer(site, 1, 0, false);
    /* The store needn't be asked either. */
    g_assert_cmpuint(site->confirm_us, ==, 0);
    confirmed(site);
    rig_expect(site->record, NULL);
}

TEST_F(site, an_answer_to_an_earlier_question_does_not_count, true)
{
    struct frame_absent late = {.absent = {ALL}};

    open_question(site);
    late.round = site->ask.round;
    answer_all_but(site, 1);
    pass_ms(site, ROUND_MS);
    pass_ms(site, ROUND_MS);
    g_assert_cmpuint(site->ask.round, !=, late.round);
    answer_all_but(site, 1);
    steer_absent(&site->steer, agent_addr(1), &late, site->now_us);
    confirmed(site);
    rig_expect(site->record, NULL);
}

TEST_F(site, a_flow_that_was_found_is_not_asked_for, false)
{
    struct frame_status placed = {
        .type = FRAME_PLACED,
        .flow = rig_flow(1),
        .seq = 500,
        .health = {.service = hash_service("lots"),
                   .slots = 2,
                   .state = ENDPOINT_READY},
    };

    send_on(site, 1);
    steer_status(&site->steer, agent_addr(4), &placed, site->now_us);
    pass_ms(site, 10);
    g_assert_cmpuint(site->questions, ==, 0);
}

/* All agents but the first @but answer pings. */
static void
others_speak(struct site *site, unsigned but)
{
    for (unsigned i = but + 1; i <= AGENTS; i++) {
        hear(site, i, ENDPOINT_READY);
    }
}

/* Two seconds in which all agents but the first @but answer, and the store
 * too, while the caller sends on. */
static void
run(struct site *site, unsigned but)
{
    uint32_t answered = site->ask.round;

    for (unsigned ms = 0; ms < 2000; ms += 5) {
        if (ms % 100 == 0) {
            others_speak(site, but);
            send_on(site, 1);
        }
        pass_ms(site, 5);
        if (site->ask.round != answered) {
            answered = site->ask.round;
            answer_all_but(site, but);
        }
        confirmed(site);
    }
}

/* Agent 1 answers nothing: where requests may run twice, callers are told once
 * it has been silent for a second. */
static void
one_is_silent(struct site *site)
{
    run(site, 1);
}

TEST_F(site, an_idempotent_caller_does_not_wait_for_a_silent_agent, true)
{
    open_question(site);
    pass_ms(site, 600);
    rig_expect(site->record, NULL);
    one_is_silent(site);
    g_assert_nonnull(strstr(site->record->str, "reset 1001"));
}

TEST_F(site, another_caller_does, false)
{
    open_question(site);
    pass_ms(site, 600);
    one_is_silent(site);
    rig_expect(site->record, NULL);
}

/* It may be in a planned restart. */
TEST_F(site, one_that_said_that_it_closes_is_waited_for, true)
{
    hear(site, 1, ENDPOINT_DRAINING);
    open_question(site);
    pass_ms(site, 600);
    one_is_silent(site);
    rig_expect(site->record, NULL);
}

/* The balancer is cut off, or most hosts are: it can't tell which. */
TEST_F(site, a_balancer_that_reaches_few_doubts_itself, true)
{
    open_question(site);
    pass_ms(site, 600);
    /* Three of seven are too many, also one by one. */
    run(site, 1);
    g_string_truncate(site->record, 0);
    pass_ms(site, 1100);
    for (unsigned but = 1; but <= 3; but++) {
        agents_missed(&site->steer.agents, agent_addr(but), site->now_us,
                      site->now_us);
    }
    pass_ms(site, 1100);
    run(site, 3);
    rig_expect(site->record, NULL);
}

TEST_F(site, an_endpoint_that_is_silent_is_like_a_silent_agent, false)
{
    open_question(site);
    answer_all_but(site, 1);
    answer(site, 1, ALL, true);
    confirmed(site);
    rig_expect(site->record, NULL);
}

TEST_F(site, who_has_gone_is_not_asked, false)
{
    hear(site, 1, ENDPOINT_GONE);
    send_on(site, 1);
    pass_ms(site, 10);
    g_assert_cmpuint(site->questions, ==, AGENTS - 1);
    g_assert_false(site->asked[1]);
    answer_all_but(site, 1);
    confirmed(site);
    rig_expect(site->record, "reset 1001 at 501", NULL);
}

TEST_F(site, a_port_that_is_used_again_is_a_new_flow, false)
{
    struct relay_packet syn =
        rig_from_caller(rig_flow(1), RELAY_SYN, 900, 0, 0);

    open_question(site);
    answer_all_but(site, 0);
    confirmed(site);
    g_string_truncate(site->record, 0);
    steer_packet(&site->steer, &syn, site->now_us);
    send_on(site, 1);
    rig_expect(site->record, NULL);
}

TEST_F(site, a_proof_is_not_believed_for_long, false)
{
    open_question(site);
    answer_all_but(site, 0);
    confirmed(site);
    g_string_truncate(site->record, 0);
    pass_ms(site, 1100);
    send_on(site, 1);
    rig_expect(site->record, NULL);
}

/* What a loss of all hosts costs: the questions of a second are bounded by
 * the agents, not by the flows. */
TEST_F(site, many_flows_share_a_question, false)
{
    for (unsigned ms = 0; ms < 1000; ms += 10) {
        for (unsigned flow = 0; flow < 800; flow++) {
            if (flow % 20 == ms / 10 % 20) {
                send_on(site, flow);
            }
        }
        pass_ms(site, 10);
        answer_all_but(site, 0);
        confirmed(site);
    }
    /* Every one of them is told; 20 ms between two questions. */
    g_assert_cmpuint(site->rounds, <=, 50);
    g_assert_cmpuint(site->questions, <=, 50 * AGENTS);
    for (unsigned flow = 0; flow < 800; flow++) {
        char line[32];

        g_snprintf(line, sizeof(line), "reset %u ", 1000 + flow);
        g_assert_nonnull(strstr(site->record->str, line));
    }
}

static void
open_flow(struct site *site, unsigned flow)
{
    struct relay_packet syn =
        rig_from_caller(rig_flow(flow), RELAY_SYN, 100, 0, 0);

    steer_packet(&site->steer, &syn, site->now_us);
}

/* Whoever reads the list later must find there who may hold the flow. */
TEST_F(site, new_flows_go_to_agents_in_the_list, false)
{
    hear(site, 9, ENDPOINT_READY);
    for (unsigned flow = 1; flow <= 200; flow++) {
        open_flow(site, flow);
        g_assert_cmpuint(site->carried_to, <=, AGENTS);
    }
    /* Without any they are served all the same. */
    for (unsigned i = 1; i <= AGENTS; i++) {
        agents_unlist(&site->steer.agents, agent_addr(i), site->now_us);
        hear(site, i, ENDPOINT_GONE);
    }
    open_flow(site, 300);
    g_assert_cmpuint(site->carried_to, ==, 9);
}

/* A frame of whoever has the address now, or had it before: which of the two
 * the store says. */
TEST_F(site, an_agent_whose_service_is_in_doubt_is_asked, false)
{
    hear_of(site, 1, ENDPOINT_READY, "albums");
    send_on(site, 1);
    pass_ms(site, 10);
    g_assert_cmpuint(site->questions, ==, AGENTS);
    g_assert_true(site->asked[1]);
}

/* The store's answer names it too, but it wasn't asked. */
TEST_F(site, an_agent_that_comes_meanwhile_may_hold_the_flow, false)
{
    open_question(site);
    answer_all_but(site, 0);
    agents_list(&site->steer.agents, agent_addr(8), hash_service("lots"),
                "here", site->now_us);
    confirmed(site);
    rig_expect(site->record, NULL);
}

/* One that resets requests is chosen when the others have four more on each
 * slot, not before. */
TEST_F(site, a_failing_endpoint_is_chosen_last, false)
{
    struct frame_status status = {
        .type = FRAME_STATE,
        .health = {.service = hash_service("lots"),
                   .slots = 2,
                   .failing = true,
                   .state = ENDPOINT_READY},
    };

    steer_status(&site->steer, agent_addr(2), &status, site->now_us);
    for (unsigned flow = 1; flow <= 40; flow++) {
        open_flow(site, flow);
        g_assert_cmpuint(site->carried_to, !=, 2);
    }
    for (unsigned i = 1; i <= AGENTS; i++) {
        status.health.failing = i == 2;
        status.health.busy = i == 2 ? 0 : 10;
        steer_status(&site->steer, agent_addr(i), &status, site->now_us);
    }
    open_flow(site, 41);
    g_assert_cmpuint(site->carried_to, ==, 2);
}

/* Its host is taken away: it needn't be silent for a second first. */
TEST_F(site, who_had_no_endpoint_and_vanishes_is_not_waited_for, true)
{
    struct frame_absent down = {.down = true, .absent = {ALL}};

    open_question(site);
    down.round = site->ask.round;
    steer_absent(&site->steer, agent_addr(1), &down, site->now_us);
    answer_all_but(site, 1);
    confirmed(site);
    rig_expect(site->record, "reset 1001 at 501", NULL);
    send_on(site, 2);
    pass_ms(site, 30);
    answer_all_but(site, 1);
    pass_ms(site, 16);
    confirmed(site);
    rig_expect(site->record, "reset 1002 at 501", NULL);
}

TEST_F(site, unsafe_callers_wait_for_it_all_the_same, false)
{
    struct frame_absent down = {.down = true, .absent = {ALL}};

    open_question(site);
    down.round = site->ask.round;
    steer_absent(&site->steer, agent_addr(1), &down, site->now_us);
    answer_all_but(site, 1);
    confirmed(site);
    g_string_truncate(site->record, 0);
    send_on(site, 2);
    pass_ms(site, 30);
    answer_all_but(site, 1);
    pass_ms(site, 16);
    confirmed(site);
    rig_expect(site->record, NULL);
}

/* A balancer that was slow for a second takes all agents for silent; they
 * answer, and one of them holds the flow. */
TEST_F(site, who_seemed_silent_and_answers_is_believed, true)
{
    for (unsigned i = 1; i <= AGENTS; i++) {
        agents_missed(&site->steer.agents, agent_addr(i), site->now_us + 1,
                      site->now_us + 1);
    }
    pass_ms(site, 1200);
    others_speak(site, 2);
    send_on(site, 1);
    pass_ms(site, 10);
    answer_all_but(site, 2);
    answer(site, 1, 0, false);
    pass_ms(site, 16);
    confirmed(site);
    rig_expect(site->record, NULL);
}

/* The end of its question comes late: answers may lie unread, and it waits for
 * them once more. */
TEST_F(site, a_slow_balancer_does_not_conclude_at_once, true)
{
    agents_missed(&site->steer.agents, agent_addr(1), site->now_us + 1,
                  site->now_us + 1);
    pass_ms(site, 1200);
    others_speak(site, 1);
    send_on(site, 1);
    pass_ms(site, 10);
    answer_all_but(site, 1);
    pass_ms(site, 40);
    confirmed(site);
    rig_expect(site->record, NULL);
    pass_ms(site, 15);
    confirmed(site);
    rig_expect(site->record, "reset 1001 at 501", NULL);
}

/* It is the balancer that reads late when many agents seem to be. */
TEST_F(site, a_question_that_few_answer_makes_nobody_suspect, true)
{
    open_question(site);
    answer_all_but(site, 3);
    pass_ms(site, ROUND_MS);
    for (unsigned i = 1; i <= AGENTS; i++) {
        g_assert_false(
            agents_find(&site->steer.agents, agent_addr(i))->suspect);
    }
    send_on(site, 1);
    pass_ms(site, ROUND_MS);
    answer_all_but(site, 1);
    pass_ms(site, ROUND_MS);
    g_assert_true(agents_find(&site->steer.agents, agent_addr(1))->suspect);
}

/* The store came back older: its list may lack agents that live. */
TEST_F(site, nothing_is_proved_until_all_can_be_listed_again, true)
{
    struct evacuations first = {.era = 1, .revision = 90};
    struct evacuations later = {.era = 2, .revision = 40};

    steer_evacuations(&site->steer, &first, false, site->now_us);
    steer_evacuations(&site->steer, &later, false, site->now_us);
    open_question(site);
    answer_all_but(site, 0);
    confirmed(site);
    pass_ms(site, ROUND_MS);
    rig_expect(site->record, NULL);
    for (unsigned ms = 0; ms < 30000; ms += 100) {
        pass_ms(site, 100);
    }
    site->questions = 0;
    open_question(site);
    answer_all_but(site, 0);
    confirmed(site);
    rig_expect(site->record, "reset 1001 at 501", NULL);
}

/* Its own first word of the store is of that era already. */
TEST_F(site, who_has_started_since_is_told_of_it, true)
{
    struct evacuations told = {.era = 2, .unsettled_s = 7};

    steer_evacuations(&site->steer, &told, false, site->now_us);
    open_question(site);
    answer_all_but(site, 0);
    confirmed(site);
    pass_ms(site, ROUND_MS);
    rig_expect(site->record, NULL);
}

/* An agent that has started beside its endpoint doesn't know all flows there:
 * only their packets tell. The others have answered for certain. */
static void
answer_partly(struct site *site, unsigned agent)
{
    struct frame_absent frame = {.round = site->ask.round, .partial = true};

    steer_absent(&site->steer, agent_addr(agent), &frame, site->now_us);
}

TEST_F(site, who_has_denied_a_flow_gets_no_packet_of_it, true)
{
    open_question(site);
    answer_partly(site, 3);
    answer_all_but(site, 3);
    for (unsigned i = 1; i < 3; i++) {
        answer(site, i, ALL, false);
    }
    site->carried = 0;
    send_on(site, 1);
    g_assert_cmpuint(site->carried, ==, 1);
    g_assert_cmpuint(site->carried_to, ==, 3);
    g_assert_cmpuint(site->named, ==, 0);
}

TEST_F(site, who_has_not_answered_has_not_denied_it, true)
{
    open_question(site);
    answer_all_but(site, 2);
    pass_ms(site, ROUND_MS);
    site->carried = 0;
    send_on(site, 1);
    g_assert_cmpuint(site->carried, ==, 1);
    g_assert_cmpuint(site->carried_to, <=, 2);
    g_assert_cmpuint(site->named, ==, 1);
}

/* It waits for the proof, and costs nothing meanwhile. */
TEST_F(site, a_flow_that_all_have_denied_goes_nowhere, true)
{
    open_question(site);
    answer_all_but(site, 0);
    pass_ms(site, ROUND_MS);
    site->carried = 0;
    send_on(site, 1);
    g_assert_cmpuint(site->carried, ==, 0);
    pass_ms(site, ROUND_MS);
    answer_all_but(site, 0);
    confirmed(site);
    rig_expect(site->record, "reset 1001 at 501", NULL);
}

TEST_F(site, a_search_begins_at_those_that_cannot_answer, true)
{
    open_question(site);
    answer_partly(site, 5);
    for (unsigned flow = 2; flow <= 9; flow++) {
        send_on(site, flow);
        g_assert_cmpuint(site->carried_to, ==, 5);
        g_assert_cmpuint(site->named, ==, AGENTS - 1);
    }
}
