#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/relay_rig.h"
#include "relay/steer/steer.h"

#define SUITE "/relay/steer"
#define SELF "10.9.0.1:7720"
#define AGENTS_MOST 100
#define AGENTS_NET 0x0a000000

/**
 * struct site - one balancer whose outputs are written down
 * @sent: agent that the last packet went to
 * @frame: what it went with
 * @searches: searches that were told of
 * @readers: other readers of the store that were told of
 * @named: agents that any frame since a clearing was for
 */
struct site {
    struct steer_out out;
    struct steer steer;
    GString *record;
    uint64_t now_us;
    struct addr sent;
    struct frame_carry frame;
    unsigned carried;
    unsigned pings;
    unsigned searches;
    unsigned asked;
    unsigned confirms;
    struct frame_ask ask;
    unsigned readers;
    bool unlisted;
    bool named[AGENTS_MOST + 1];
};

static void
carry(struct steer_out *out, struct addr agent,
      const struct frame_carry *frame)
{
    struct site *site = (struct site *)out;

    site->sent = agent;
    site->frame = *frame;
    site->carried++;
    site->named[agent.ip - AGENTS_NET] = true;
    for (unsigned i = 0; i < frame->next_count; i++) {
        site->named[frame->next[i].ip - AGENTS_NET] = true;
    }
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
    ((struct site *)out)->pings++;
    ((struct site *)out)->unlisted = unlisted;
}

static void
ask(struct steer_out *out, struct addr agent, const struct frame_ask *ask)
{
    struct site *site = (struct site *)out;

    site->asked++;
    site->ask = *ask;
}

static void
confirm(struct steer_out *out, uint64_t now_us)
{
    ((struct site *)out)->confirms++;
}

static void
behind(struct steer_out *out, const struct frame_version *newer)
{
    rig_note(((struct site *)out)->record, "behind %" G_GUINT64_FORMAT,
             newer->version);
}

static void
readers(struct steer_out *out, struct frame_readers others)
{
    ((struct site *)out)->readers = others.reading;
}

static void
dropped(struct steer_out *out, enum steer_drop why,
        const struct relay_packet *packet)
{
    rig_note(((struct site *)out)->record, "drop %d", why);
}

static void
decided(struct steer_out *out, enum steer_did did, struct relay_flow flow,
        struct addr agent, unsigned tries, uint64_t age_us)
{
    ((struct site *)out)->searches += did == STEER_DID_SEARCH;
}

static void
concluded(struct steer_out *out, const struct steer_round *round,
          unsigned over)
{
}

static const struct steer_out_ops ops = {carry,   reset,    ping,    ask,
                                         confirm, behind,   readers, dropped,
                                         decided, concluded};

static void
add_route(struct routes *routes, const char *address, const char *service)
{
    struct route *route = routes_add(routes);

    route->address = rig_addr(address);
    route->shares[0] = (struct route_share){hash_service(service), 1, 0};
    route->share_count = 1;
}

static void
set_routes(struct site *site, uint64_t version, bool with_albums)
{
    struct routes routes;

    routes_init(&routes);
    routes.version = version;
    add_route(&routes, "198.18.0.1:443", "lots");
    if (with_albums) {
        add_route(&routes, "198.18.0.2:443", "albums");
    }
    g_assert_cmpint(routes_seal(&routes), ==, 0);
    steer_routes(&site->steer, &routes);
}

static struct addr
agent_addr(unsigned number)
{
    return (struct addr){AGENTS_NET + number, 7000};
}

static void
say(struct site *site, unsigned number, struct frame_status status)
{
    status.health.service = hash_service("lots");
    status.health.slots = 2;
    steer_status(&site->steer, agent_addr(number), &status, site->now_us);
}

static void
site_init(struct site *site, unsigned agents)
{
    site->out.ops = &ops;
    site->record = g_string_new(NULL);
    site->now_us = USEC_PER_SEC;
    g_assert_cmpint(
        steer_init(&site->steer, &site->out, rig_addr(SELF), "here"), ==, 0);
    set_routes(site, 5, true);
    for (unsigned i = 1; i <= agents; i++) {
        agents_list(&site->steer.agents, agent_addr(i), hash_service("lots"),
                    "here", site->now_us);
        say(site, i,
            (struct frame_status){.type = FRAME_STATE,
                                  .health.state = ENDPOINT_READY});
    }
}

static void
site_finish(struct site *site)
{
    steer_finish(&site->steer);
    g_string_free(site->record, TRUE);
}

static void
arrive(struct site *site, struct relay_packet packet)
{
    steer_packet(&site->steer, &packet, site->now_us);
}

static void
pass_ms(struct site *site, unsigned ms)
{
    site->now_us += ms * USEC_PER_MSEC;
    steer_tick(&site->steer, site->now_us);
}

static void
placed(struct site *site, struct addr agent, unsigned flow, uint32_t seq)
{
    struct frame_status status = {
        .type = FRAME_PLACED,
        .flow = rig_flow(flow),
        .seq = seq,
        .health = {hash_service("lots"), ENDPOINT_READY, 1, 2, false},
    };

    steer_status(&site->steer, agent, &status, site->now_us);
}

static unsigned
named_count(const struct site *site)
{
    unsigned count = 0;

    for (unsigned i = 1; i <= AGENTS_MOST; i++) {
        count += site->named[i];
    }
    return count;
}

static void
let_go(struct site *site, unsigned agent, unsigned flow)
{
    say(site, agent,
        (struct frame_status){.type = FRAME_PASSED,
                              .reason = FRAME_REASON_REFUSED,
                              .flow = rig_flow(flow)});
}

static bool
chain_names(const struct site *site, struct addr agent)
{
    for (unsigned i = 0; i < site->frame.next_count; i++) {
        if (addr_equal(site->frame.next[i], agent)) {
            return true;
        }
    }
    return addr_equal(site->sent, agent);
}

TEST_F(site, a_flow_stays_where_it_was_placed, 4)
{
    struct relay_flow flow = rig_flow(1);

    arrive(site, rig_from_caller(flow, RELAY_SYN, 9, 0, 0));
    g_assert_cmpuint(site->carried, ==, 1);
    g_assert_cmpuint(site->frame.next_count, ==, 3);
    placed(site, agent_addr(3), 1, 500);
    arrive(site, rig_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_true(addr_equal(site->sent, agent_addr(3)));
    g_assert_cmpuint(site->frame.next_count, ==, 0);
}

TEST_F(site, an_agent_that_does_not_answer_costs_15_ms_once, 3)
{
    struct addr first;

    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    first = site->sent;
    pass_ms(site, 14);
    g_assert_cmpuint(site->carried, ==, 1);
    pass_ms(site, 1);
    g_assert_cmpuint(site->carried, ==, 2);
    g_assert_false(addr_equal(site->sent, first));
    g_assert_false(chain_names(site, first));
    for (unsigned i = 2; i < 30; i++) {
        arrive(site, rig_from_caller(rig_flow(i), RELAY_SYN, 9, 0, 0));
        g_assert_false(chain_names(site, first));
    }
}

TEST_F(site, far_agents_are_given_time_to_answer, 3)
{
    /* They take 18 ms each time. */
    for (unsigned i = 1; i <= 40; i++) {
        arrive(site, rig_from_caller(rig_flow(i), RELAY_SYN, 9, 0, 0));
        site->now_us += 18 * USEC_PER_MSEC;
        placed(site, site->sent, i, 500);
    }
    pass_ms(site, 100);
    site->carried = 0;
    arrive(site, rig_from_caller(rig_flow(90), RELAY_SYN, 9, 0, 0));
    pass_ms(site, 30);
    g_assert_cmpuint(site->carried, ==, 1);
    pass_ms(site, 10);
    g_assert_cmpuint(site->carried, ==, 2);
}

TEST_F(site, whoever_has_the_syn_last_is_blamed, 3)
{
    struct frame_status passed = {
        .type = FRAME_PASSED,
        .reason = FRAME_REASON_BUSY,
        .flow = rig_flow(1),
        .health.state = ENDPOINT_READY,
    };
    struct addr first, second;

    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    first = site->sent;
    second = site->frame.next[0];
    passed.target = second;
    say(site, first.ip - 0x0a000000, passed);
    pass_ms(site, 15);
    g_assert_cmpuint(site->carried, ==, 2);
    arrive(site, rig_from_caller(rig_flow(2), RELAY_SYN, 9, 0, 0));
    g_assert_false(chain_names(site, second));
    g_assert_true(chain_names(site, first));
}

TEST_F(site, an_agent_that_never_spoke_ends_no_chain, 2)
{
    agents_list(&site->steer.agents, agent_addr(9), hash_service("lots"),
                "here", site->now_us);
    for (unsigned i = 1; i < 30; i++) {
        arrive(site, rig_from_caller(rig_flow(i), RELAY_SYN, 9, 0, 0));
        g_assert_false(chain_names(site, agent_addr(9)));
    }
}

TEST_F(site, an_agent_that_answers_is_pinged_no_more, 3)
{
    agents_list(&site->steer.agents, agent_addr(9), hash_service("lots"),
                "here", site->now_us);
    pass_ms(site, 1);
    g_assert_cmpuint(site->pings, ==, 1);
    say(site, 9,
        (struct frame_status){.type = FRAME_STATE,
                              .health.state = ENDPOINT_READY});
    for (unsigned i = 0; i < 3000; i++) {
        pass_ms(site, 1);
    }
    g_assert_cmpuint(site->pings, ==, 1);
    g_assert_cmpuint(steer_next_us(&site->steer), ==, UINT64_MAX);
}

TEST_F(site, an_agent_whose_object_is_gone_is_told, 3)
{
    agents_unlist(&site->steer.agents, agent_addr(2), site->now_us);
    pass_ms(site, 1);
    g_assert_cmpuint(site->pings, ==, 1);
    g_assert_true(site->unlisted);
    /* It serves on while it answers. */
    say(site, 2,
        (struct frame_status){.type = FRAME_STATE,
                              .health.state = ENDPOINT_READY});
    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    g_assert_true(chain_names(site, agent_addr(2)));
}

TEST_F(site, a_silent_agent_is_pinged_more_and_more_rarely, 3)
{
    agents_list(&site->steer.agents, agent_addr(9), hash_service("lots"),
                "here", site->now_us);
    for (unsigned i = 0; i < 20000; i++) {
        pass_ms(site, 1);
    }
    g_assert_cmpuint(site->pings, >=, 12);
    g_assert_cmpuint(site->pings, <=, 16);
}

TEST_F(site, an_agent_that_lets_go_is_followed_by_the_next, 2)
{
    struct frame_status passed = {
        .type = FRAME_PASSED,
        .reason = FRAME_REASON_LEAVING,
        .flow = rig_flow(1),
        .health.state = ENDPOINT_DRAINING,
    };
    struct addr first;

    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    first = site->sent;
    say(site, first.ip - 0x0a000000, passed);
    g_assert_cmpuint(site->carried, ==, 2);
    g_assert_false(addr_equal(site->sent, first));
}

TEST_F(site, a_flow_of_another_balancer_is_looked_for, 4)
{
    struct relay_flow flow = rig_flow(1);

    arrive(site, rig_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(site->frame.next_count, ==, 3);
    placed(site, agent_addr(2), 1, 500);
    arrive(site, rig_from_caller(flow, RELAY_ACK, 30, 501, 0));
    g_assert_true(addr_equal(site->sent, agent_addr(2)));
}

TEST_F(site, a_search_names_every_agent_that_may_hold_the_flow, 16)
{
    arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 20));
    for (unsigned i = 1; i <= 16; i++) {
        g_assert_true(chain_names(site, agent_addr(i)));
    }
}

/* The first packet goes to the likeliest; before the caller sends again every
 * agent is asked, and who holds the flow says so. */
TEST_F(site, every_agent_is_asked_before_the_second_packet, 100)
{
    arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(site->carried, ==, 1);
    g_assert_cmpuint(named_count(site), ==, 16);
    g_assert_cmpuint(site->searches, ==, 1);
    pass_ms(site, 10);
    g_assert_cmpuint(site->asked, ==, 100);
}

TEST_F(site, a_second_search_goes_to_64_agents_at_once, 64)
{
    arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 20));
    site->carried = 0;
    arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(site->carried, ==, 4);
    g_assert_cmpuint(named_count(site), ==, 64);
    g_assert_cmpuint(site->searches, ==, 2);
}

TEST_F(site, a_search_that_ends_goes_on_with_the_others, 100)
{
    for (unsigned packet = 0; packet < 3; packet++) {
        arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 20));
        for (unsigned chain = 1; chain <= 4; chain++) {
            let_go(site, chain, 1);
        }
    }
    g_assert_cmpuint(named_count(site), ==, 100);
}

TEST_F(site, two_packets_of_a_search_skip_no_agents, 100)
{
    arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 0));
    arrive(site, rig_from_caller(rig_flow(1), RELAY_FIN, 10, 501, 0));
    for (unsigned chain = 1; chain <= 8; chain++) {
        let_go(site, chain, 1);
    }
    arrive(site, rig_from_caller(rig_flow(1), RELAY_FIN, 10, 501, 0));
    g_assert_cmpuint(named_count(site), ==, 100);
}

/* An agent that is dead ends each chain that comes to it. */
TEST_F(site, the_next_search_goes_the_other_way, 4)
{
    struct frame_carry frame;
    struct addr first;

    arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 20));
    first = site->sent;
    frame = site->frame;
    arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 20));
    g_assert_true(addr_equal(site->sent, frame.next[2]));
    g_assert_true(addr_equal(site->frame.next[0], frame.next[1]));
    g_assert_true(addr_equal(site->frame.next[2], first));
}

TEST_F(site, an_open_flow_without_a_place_is_looked_for, 4)
{
    struct relay_flow flow = rig_flow(1);
    struct frame_status refused = {
        .type = FRAME_PASSED,
        .reason = FRAME_REASON_REFUSED,
        .flow = flow,
        .health.state = ENDPOINT_READY,
    };
    struct addr first;

    /* This balancer was cut off; the flow opened through another one. */
    arrive(site, rig_from_caller(flow, RELAY_SYN, 9, 0, 0));
    first = site->sent;
    site->now_us += 4 * USEC_PER_SEC;
    arrive(site, rig_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_true(addr_equal(site->sent, first));
    g_assert_cmpuint(site->frame.next_count, ==, 3);
    /* Its SYN is history, whatever the agents say. */
    site->carried = 0;
    say(site, first.ip - 0x0a000000, refused);
    pass_ms(site, 50);
    g_assert_cmpuint(site->carried, ==, 0);
}

TEST_F(site, a_late_copy_of_an_open_flows_syn_goes_nowhere, 4)
{
    struct relay_flow flow = rig_flow(1);

    arrive(site, rig_from_caller(flow, RELAY_SYN, 9, 0, 0));
    arrive(site, rig_from_caller(flow, RELAY_ACK, 10, 501, 20));
    site->carried = 0;
    arrive(site, rig_from_caller(flow, RELAY_SYN, 9, 1, 0));
    pass_ms(site, 50);
    g_assert_cmpuint(site->carried, ==, 0);
}

TEST_F(site, a_lost_place_is_looked_for_again, 4)
{
    struct relay_flow flow = rig_flow(1);

    arrive(site, rig_from_caller(flow, RELAY_SYN, 9, 0, 0));
    placed(site, agent_addr(2), 1, 500);
    say(site, 2,
        (struct frame_status){.type = FRAME_PASSED,
                              .reason = FRAME_REASON_REFUSED,
                              .flow = flow});
    arrive(site, rig_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(site->frame.next_count, ==, 3);
}

TEST_F(site, a_flow_whose_endpoint_is_no_more_is_reset, 4)
{
    struct frame_status refused = {
        .type = FRAME_PASSED,
        .reason = FRAME_REASON_REFUSED,
        .flow = rig_flow(1),
    };
    struct frame_status gone = {
        .type = FRAME_STATE,
        .health.state = ENDPOINT_GONE,
    };

    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    placed(site, agent_addr(2), 1, 500);
    arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 20));
    /* Another agent doesn't hold it: that says nothing. */
    say(site, 3, refused);
    rig_expect(site->record, NULL);
    say(site, 2, refused);
    rig_expect(site->record, "reset 1001 at 501", NULL);
    arrive(site, rig_from_caller(rig_flow(2), RELAY_SYN, 9, 0, 0));
    placed(site, agent_addr(4), 2, 500);
    arrive(site, rig_from_caller(rig_flow(2), RELAY_ACK, 10, 501, 20));
    say(site, 4, gone);
    arrive(site, rig_from_caller(rig_flow(2), RELAY_ACK, 30, 777, 20));
    rig_expect(site->record, "reset 1002 at 777", NULL);
}

TEST_F(site, two_answers_to_a_syn_are_told_apart, 4)
{
    struct relay_flow flow = rig_flow(1);

    arrive(site, rig_from_caller(flow, RELAY_SYN, 9, 0, 0));
    placed(site, agent_addr(1), 1, 500);
    placed(site, agent_addr(2), 1, 4000000);
    arrive(site, rig_from_caller(flow, RELAY_ACK, 10, 4000001, 20));
    g_assert_true(addr_equal(site->sent, agent_addr(2)));
    arrive(site, rig_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_true(addr_equal(site->sent, agent_addr(1)));
}

TEST_F(site, a_flow_is_explained, 4)
{
    struct relay_flow flow = rig_flow(1);
    struct steer_explanation told;

    steer_explain(&site->steer, flow, site->now_us, &told);
    g_assert_false(told.known);
    g_assert_nonnull(told.route);
    g_assert_cmpuint(told.service, ==, hash_service("lots"));
    g_assert_cmpuint(told.next.count, ==, 4);
    arrive(site, rig_from_caller(flow, RELAY_SYN, 9, 0, 0));
    g_assert_true(addr_equal(site->sent, told.next.addrs[0]));
    placed(site, site->sent, 1, 500);
    pass_ms(site, 7);
    steer_explain(&site->steer, flow, site->now_us, &told);
    g_assert_true(told.known);
    g_assert_false(told.opened);
    g_assert_cmpuint(told.tries, ==, 1);
    g_assert_cmpuint(told.age_us, ==, 7 * USEC_PER_MSEC);
    g_assert_cmpuint(told.place_count, ==, 1);
    g_assert_true(addr_equal(told.places[0], site->sent));
    flow.service.port++;
    steer_explain(&site->steer, flow, site->now_us, &told);
    g_assert_null(told.route);
    g_assert_cmpuint(told.next.count, ==, 0);
}

TEST_F(site, a_port_used_again_is_another_flow, 4)
{
    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    placed(site, agent_addr(1), 1, 500);
    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 1, 0));
    g_assert_true(addr_equal(site->sent, agent_addr(1)));
    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 700, 0, 0));
    g_assert_cmpuint(site->frame.next_count, ==, 3);
}

TEST_F(site, configuration_never_goes_back, 2)
{
    struct relay_flow flow = rig_flow(1);

    flow.service = rig_addr("198.18.0.2:443");
    set_routes(site, 6, false);
    set_routes(site, 5, true);
    g_assert_cmpuint(site->steer.routes.version, ==, 6);
    arrive(site, rig_from_caller(flow, RELAY_SYN, 9, 0, 0));
    rig_expect(site->record, "drop 2", NULL);
}

TEST_F(site, without_configuration_agents_tell_what_they_serve, 2)
{
    struct frame_served served = {
        .service = hash_service("lots"),
        .addrs = {rig_addr("198.18.0.1:443")},
        .count = 1,
    };
    struct relay_packet syn = rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0);

    routes_finish(&site->steer.routes);
    arrive(site, syn);
    rig_expect(site->record, NULL);
    site->now_us += 400 * USEC_PER_MSEC;
    steer_tick(&site->steer, site->now_us);
    rig_expect(site->record, "drop 1", NULL);
    g_assert_false(steer_ready(&site->steer));
    steer_served(&site->steer, agent_addr(1), &served);
    steer_served(&site->steer, agent_addr(1), &served);
    g_assert_true(steer_ready(&site->steer));
    g_assert_cmpuint(site->steer.learned.count, ==, 1);
    arrive(site, syn);
    g_assert_cmpuint(site->carried, ==, 1);
    /* A configuration replaces all of it. */
    set_routes(site, 3, false);
    g_assert_cmpuint(site->steer.learned.count, ==, 0);
    served.addrs[0] = rig_addr("198.18.0.9:443");
    steer_served(&site->steer, agent_addr(1), &served);
    g_assert_cmpuint(site->steer.learned.count, ==, 0);
}

/* A host that starts takes packets before it has read the configuration. */
TEST_F(site, early_syns_are_sent_once_a_configuration_is_known, 2)
{
    struct relay_packet syn = rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0);
    struct relay_packet ack =
        rig_from_caller(rig_flow(2), RELAY_ACK, 9, 77, 40);

    routes_finish(&site->steer.routes);
    syn.patience_ms = 1400;
    arrive(site, syn);
    arrive(site, ack);
    /* Only an endpoint can say what becomes of a flow that is open. */
    rig_expect(site->record, "drop 1", NULL);
    site->now_us += 50 * USEC_PER_MSEC;
    steer_tick(&site->steer, site->now_us);
    g_assert_cmpuint(site->carried, ==, 0);
    set_routes(site, 3, false);
    steer_tick(&site->steer, site->now_us);
    g_assert_cmpuint(site->carried, ==, 1);
    g_assert_cmpuint(site->frame.patience_ms, ==, 1350);
    steer_tick(&site->steer, site->now_us);
    g_assert_cmpuint(site->carried, ==, 1);
}

TEST_F(site, early_syns_wait_for_the_list_of_agents_too, 0)
{
    struct relay_packet syn = rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0);

    syn.patience_ms = 1400;
    site->steer.agents.listed_once = false;
    arrive(site, syn);
    rig_expect(site->record, NULL);
    agents_list(&site->steer.agents, agent_addr(1), hash_service("lots"),
                "here", site->now_us);
    steer_tick(&site->steer, site->now_us);
    g_assert_cmpuint(site->carried, ==, 1);
}

TEST_F(site, callers_of_an_address_without_a_route_are_refused_at_once, 2)
{
    struct relay_flow flow = rig_flow(1);
    struct relay_packet syn;

    flow.service = rig_addr("198.18.0.9:443");
    syn = rig_from_caller(flow, RELAY_SYN, 9, 0, 0);
    /* A newer configuration may have the route. */
    arrive(site, syn);
    rig_expect(site->record, "drop 2", NULL);
    site->steer.current = true;
    arrive(site, syn);
    rig_expect(site->record, "drop 2", "reset 1001 at 0", NULL);
    /* The first copy may have found an endpoint through another balancer. */
    syn.age_ms = 200;
    arrive(site, syn);
    rig_expect(site->record, "drop 2", NULL);
    /* A flow that is open may be of a route that was here. */
    arrive(site, rig_from_caller(flow, RELAY_ACK, 9, 77, 40));
    rig_expect(site->record, "drop 2", NULL);
}

TEST_F(site, a_newer_configuration_elsewhere_is_told, 2)
{
    say(site, 1,
        (struct frame_status){.type = FRAME_STATE,
                              .health.state = ENDPOINT_READY,
                              .heard = {7, rig_addr("10.9.0.2:8166")}});
    rig_expect(site->record, "behind 7", NULL);
}

/* A list may be older than the object of an agent that has just started. */
TEST_F(site, an_agent_that_the_store_never_named_is_not_told_so, 2)
{
    struct addr fresh = agent_addr(7);

    agents_heard(&site->steer.agents, fresh,
                 &(struct frame_health){.service = hash_service("lots")},
                 site->now_us);
    agents_unlist(&site->steer.agents, fresh, site->now_us);
    steer_tick(&site->steer, site->now_us);
    g_assert_cmpuint(site->pings, >, 0);
    g_assert_false(site->unlisted);
}

TEST_F(site, how_many_others_read_the_store_is_told, 2)
{
    say(site, 1,
        (struct frame_status){.type = FRAME_STATE,
                              .health.state = ENDPOINT_READY,
                              .readers = {3, 1}});
    g_assert_cmpuint(site->readers, ==, 3);
}

TEST_F(site, witnesses_are_the_same_for_all_balancers, 20)
{
    struct agents_choice here;
    struct agents_choice there;
    struct agents_choice again;

    agents_witnesses(&site->steer.agents, &here);
    g_assert_cmpuint(here.count, ==, AGENTS_WITNESSES);
    agents_witnesses(&site->steer.agents, &again);
    g_assert_cmpmem(&here.addrs, sizeof(here.addrs[0]) * here.count,
                    &again.addrs, sizeof(again.addrs[0]) * again.count);
    /* One that doesn't answer is replaced, and the others stay. */
    agents_missed(&site->steer.agents, here.addrs[0], site->now_us,
                  site->now_us);
    agents_witnesses(&site->steer.agents, &there);
    g_assert_true(addr_equal(there.addrs[0], here.addrs[1]));
    g_assert_true(addr_equal(there.addrs[1], here.addrs[2]));
    steer_ping_witnesses(&site->steer);
    g_assert_cmpuint(site->pings, ==, AGENTS_WITNESSES);
}

TEST_F(site, frames_say_how_the_balancer_keeps_up_with_the_store, 2)
{
    site->steer.reader = FRAME_READER_READS;
    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 100, 0, 0));
    g_assert_cmpuint(site->frame.view.reader, ==, FRAME_READER_READS);
    g_assert_cmpuint(site->frame.view.version, ==, site->steer.routes.version);
}

TEST_F(site, what_no_caller_sends_is_dropped, 2)
{
    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN | RELAY_ACK, 9, 0, 0));
    arrive(site,
           rig_bounced(rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0)));
    rig_expect(site->record, "drop 0", "drop 0", NULL);
    g_assert_cmpuint(site->carried, ==, 0);
}

static void
evacuate(struct site *site, uint64_t revision, const char *data_centre,
         bool first)
{
    struct evacuations told = {.revision = revision};

    if (data_centre != NULL) {
        evacuations_add(&told, evacuations_key(data_centre));
    }
    steer_evacuations(&site->steer, &told, first, site->now_us);
}

/* Puts an agent into another data centre. */
static void
move_to(struct site *site, unsigned number, const char *data_centre)
{
    agents_list(&site->steer.agents, agent_addr(number), hash_service("lots"),
                data_centre, site->now_us);
}

TEST_F(site, new_flows_go_round_an_evacuated_data_centre, 6)
{
    for (unsigned i = 1; i <= 3; i++) {
        move_to(site, i, "east");
    }
    evacuate(site, 5, "here", false);
    for (unsigned flow = 1; flow <= 20; flow++) {
        arrive(site, rig_from_caller(rig_flow(flow), RELAY_SYN, 9, 0, 0));
        /* At once: no agent there is asked first, or named for later. */
        g_assert_cmpuint(site->frame.next_count, ==, 2);
    }
    for (unsigned i = 4; i <= 6; i++) {
        g_assert_false(site->named[i]);
    }
    evacuate(site, 6, NULL, false);
    arrive(site, rig_from_caller(rig_flow(21), RELAY_SYN, 9, 0, 0));
    g_assert_cmpuint(site->frame.next_count, ==, 5);
}

TEST_F(site, flows_in_an_evacuated_data_centre_go_on, 2)
{
    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    placed(site, agent_addr(2), 1, 500);
    evacuate(site, 5, "here", false);
    arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 20));
    g_assert_true(addr_equal(site->sent, agent_addr(2)));
}

TEST_F(site, callers_are_refused_at_once_while_all_is_evacuated, 2)
{
    evacuate(site, 5, "here", false);
    site->steer.current = true;
    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    rig_expect(site->record, "drop 4", "reset 1001 at 0", NULL);
    g_assert_cmpuint(site->carried, ==, 0);
    /* Not by a balancer that may not have heard of its end. */
    site->steer.current = false;
    arrive(site, rig_from_caller(rig_flow(2), RELAY_SYN, 9, 0, 0));
    rig_expect(site->record, "drop 4", NULL);
}

/* The other data centre's endpoints may take it soon. */
TEST_F(site, callers_are_not_refused_while_another_data_centre_drains, 3)
{
    move_to(site, 3, "east");
    say(site, 3,
        (struct frame_status){.type = FRAME_STATE,
                              .health.state = ENDPOINT_DRAINING});
    evacuate(site, 5, "here", false);
    site->steer.current = true;
    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    rig_expect(site->record, "drop 3", NULL);
}

TEST_F(site, an_agent_that_comes_later_is_evacuated_too, 2)
{
    evacuate(site, 5, "east", false);
    move_to(site, 1, "east");
    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    g_assert_true(addr_equal(site->sent, agent_addr(2)));
    g_assert_cmpuint(site->frame.next_count, ==, 0);
}

/* The store tells that two data centres are evacuated. */
static void
evacuate_two(struct site *site, uint64_t revision, const char *one,
             const char *other)
{
    struct evacuations told = {.revision = revision};

    evacuations_add(&told, evacuations_key(one));
    evacuations_add(&told, evacuations_key(other));
    steer_evacuations(&site->steer, &told, true, site->now_us);
}

TEST_F(site, who_reads_of_an_evacuation_tells_the_agents_there, 6)
{
    for (unsigned i = 1; i <= 4; i++) {
        move_to(site, i, "east");
    }
    pass_ms(site, 1);
    site->pings = 0;
    evacuate(site, 5, "east", true);
    pass_ms(site, 1);
    g_assert_cmpuint(site->pings, ==, 4);
    /* Others may have heard that the first was back in between. */
    site->pings = 0;
    for (unsigned i = 1; i <= 6; i++) {
        say(site, i, (struct frame_status){.type = FRAME_STATE});
    }
    evacuate_two(site, 9, "east", "here");
    pass_ms(site, 1);
    g_assert_cmpuint(site->pings, ==, 6);
    /* Whoever is told by others leaves that to them. */
    site->pings = 0;
    evacuate(site, 10, "here", false);
    for (unsigned i = 1; i <= 6; i++) {
        say(site, i, (struct frame_status){.type = FRAME_STATE});
    }
    pass_ms(site, 1);
    g_assert_cmpuint(site->pings, ==, 0);
}

TEST_F(site, a_syn_says_how_much_a_cold_endpoint_bears, 2)
{
    struct routes routes;

    routes_init(&routes);
    routes.version = 6;
    add_route(&routes, "198.18.0.1:443", "lots");
    routes.items[0].shares[0].warming_per_s = 5;
    g_assert_cmpint(routes_seal(&routes), ==, 0);
    steer_routes(&site->steer, &routes);
    site->steer.warming = (struct steer_warming){.over = 1.5, .slack = 5};
    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    g_assert_cmpuint(site->frame.warming_limit, ==, 12);
    /* Each copy: the agent that held the flow may have forgotten it. */
    say(site, 1,
        (struct frame_status){.type = FRAME_HELD, .flow = rig_flow(1)});
    site->frame.warming_limit = 0;
    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 1, 0));
    g_assert_cmpuint(site->frame.warming_limit, ==, 12);
    placed(site, agent_addr(1), 1, 500);
    site->frame.warming_limit = 0;
    arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 2, 0));
    g_assert_cmpuint(site->frame.warming_limit, ==, 12);
}

/* Lays agents 1 to 3 into one region and the others into another. */
static void
split_regions(struct site *site, unsigned agents)
{
    struct regions regions = {
        .items = {{evacuations_key("here"), homes_key("coast")},
                  {evacuations_key("east"), homes_key("inland")}},
        .count = 2,
    };

    agents_set_regions(&site->steer.agents, &regions);
    for (unsigned i = 1; i <= agents; i++) {
        move_to(site, i, i <= 3 ? "here" : "east");
    }
}

static void
set_home(struct site *site, const char *region)
{
    struct routes routes;

    routes_init(&routes);
    routes.version = 6;
    add_route(&routes, "198.18.0.1:443", "lots");
    homes_add(&routes.items[0].homes, homes_key(region));
    g_assert_cmpint(routes_seal(&routes), ==, 0);
    steer_routes(&site->steer, &routes);
}

TEST_F(site, flows_of_a_route_with_homes_stay_in_them, 6)
{
    split_regions(site, 6);
    set_home(site, "inland");
    for (unsigned flow = 1; flow <= 20; flow++) {
        arrive(site, rig_from_caller(rig_flow(flow), RELAY_SYN, 9, 0, 0));
        g_assert_cmpuint(site->frame.next_count, ==, 2);
    }
    /* Nor is it looked for elsewhere: the packet holds the request. */
    arrive(site, rig_from_caller(rig_flow(30), RELAY_ACK, 9, 77, 40));
    for (unsigned i = 1; i <= 3; i++) {
        g_assert_false(site->named[i]);
    }
    g_assert_cmpuint(site->searches, ==, 1);
}

TEST_F(site, an_agent_of_an_unknown_region_is_at_no_home, 6)
{
    split_regions(site, 6);
    move_to(site, 5, "nowhere");
    set_home(site, "inland");
    for (unsigned flow = 1; flow <= 20; flow++) {
        arrive(site, rig_from_caller(rig_flow(flow), RELAY_SYN, 9, 0, 0));
    }
    g_assert_false(site->named[5]);
    g_assert_true(site->named[4]);
}

TEST_F(site, what_is_learned_is_served_where_it_was_served, 6)
{
    struct frame_served served = {
        .service = hash_service("lots"),
        .addrs = {rig_addr("198.18.0.1:443")},
        .count = 1,
    };

    split_regions(site, 6);
    routes_finish(&site->steer.routes);
    steer_served(&site->steer, agent_addr(2), &served);
    for (unsigned flow = 1; flow <= 20; flow++) {
        arrive(site, rig_from_caller(rig_flow(flow), RELAY_SYN, 9, 0, 0));
    }
    for (unsigned i = 4; i <= 6; i++) {
        g_assert_false(site->named[i]);
    }
    /* Nor anywhere while nobody knows where it was. */
    served.addrs[0] = rig_addr("198.18.0.7:443");
    steer_served(&site->steer, agent_addr(9), &served);
    g_assert_cmpuint(site->steer.learned.count, ==, 1);
    served.addrs[0] = rig_addr("198.18.0.1:443");
    /* Another region's endpoint tells of it too. */
    steer_served(&site->steer, agent_addr(5), &served);
    arrive(site, rig_from_caller(rig_flow(21), RELAY_SYN, 9, 0, 0));
    g_assert_cmpuint(site->frame.next_count, ==, 5);
}

/* After a loss of all hosts while the store is away no list names them. */
TEST_F(site, an_agent_says_itself_where_it_stands, 1)
{
    const struct agent_row *row;
    struct frame_status status = {
        .type = FRAME_STATE,
        .health.state = ENDPOINT_READY,
        .health.data_centre = evacuations_key("east"),
    };

    split_regions(site, 1);
    evacuate(site, 5, "east", false);
    say(site, 9, status);
    row = agents_find(&site->steer.agents, agent_addr(9));
    g_assert_cmpuint(row->region, ==, homes_key("inland"));
    g_assert_true(row->evacuated);
}
