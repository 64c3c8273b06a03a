#include "relay/orphans_fixture.h"

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"

struct addr
fixture_agent_addr(unsigned number)
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

void
fixture_report_health_of(struct fixture *fixture, unsigned number,
                         enum endpoint_state state, const char *service)
{
    struct frame_status status = {
        .type = FRAME_STATE,
        .health = {.service = hash_service(service),
                   .slots = 2,
                   .state = (uint8_t)state},
    };

    forwarder_status(&fixture->forwarder, fixture_agent_addr(number), &status,
                     fixture->now_us);
}

void
fixture_report_health(struct fixture *fixture, unsigned number,
                      enum endpoint_state state)
{
    fixture_report_health_of(fixture, number, state, "lots");
}

void
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
    for (unsigned i = 1; i <= FIXTURE_AGENTS; i++) {
        agents_list(&fixture->forwarder.agents, fixture_agent_addr(i),
                    hash_service("lots"), "here", fixture->now_us);
        fixture_report_health(fixture, i, ENDPOINT_READY);
    }
    agents_list_complete(&fixture->forwarder.agents);
}

void
fixture_finish(struct fixture *fixture)
{
    forwarder_finish(&fixture->forwarder);
    g_string_free(fixture->record, TRUE);
}

void
fixture_advance_ms(struct fixture *fixture, unsigned ms)
{
    fixture->now_us += ms * USEC_PER_MSEC;
    forwarder_tick(&fixture->forwarder, fixture->now_us);
}

void
fixture_send_established(struct fixture *fixture, unsigned flow)
{
    struct relay_packet packet =
        fixture_from_caller(fixture_flow(flow), RELAY_ACK, 101, 501, 40);

    forwarder_packet(&fixture->forwarder, &packet, fixture->now_us);
}

void
fixture_reply(struct fixture *fixture, unsigned agent, uint32_t absent,
              bool silent)
{
    struct frame_query_reply frame = {
        .query = fixture->query.query, .silent = silent, .absent = {absent}};

    forwarder_query_reply(&fixture->forwarder, fixture_agent_addr(agent),
                          &frame, fixture->now_us);
}

void
fixture_confirmed(struct fixture *fixture)
{
    forwarder_confirmed(&fixture->forwarder, fixture->confirm_us,
                        fixture->now_us);
}

void
fixture_reply_all_except(struct fixture *fixture, unsigned except)
{
    for (unsigned i = except + 1; i <= FIXTURE_AGENTS; i++) {
        fixture_reply(fixture, i, FIXTURE_ALL, false);
    }
}

void
fixture_start_query(struct fixture *fixture)
{
    fixture_send_established(fixture, 1);
    fixture_advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->queries, ==, FIXTURE_AGENTS);
    g_assert_cmpuint(fixture->query.count, ==, 1);
}

void
fixture_report_others_ready(struct fixture *fixture, unsigned except)
{
    for (unsigned i = except + 1; i <= FIXTURE_AGENTS; i++) {
        fixture_report_health(fixture, i, ENDPOINT_READY);
    }
}

void
fixture_run_2_s(struct fixture *fixture, unsigned except)
{
    uint32_t replied = fixture->query.query;

    for (unsigned ms = 0; ms < 2000; ms += 5) {
        if (ms % 100 == 0) {
            fixture_report_others_ready(fixture, except);
            fixture_send_established(fixture, 1);
        }
        fixture_advance_ms(fixture, 5);
        if (fixture->query.query != replied) {
            replied = fixture->query.query;
            fixture_reply_all_except(fixture, except);
        }
        fixture_confirmed(fixture);
    }
}
