#include "relay/forwarder_fixture.h"

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"

#define SELF "10.9.0.1:7720"

static void
forward(struct forwarder_out *out, struct addr agent,
        const struct frame_forward *frame)
{
    struct fixture *fixture = (struct fixture *)out;

    fixture->sent = agent;
    fixture->frame = *frame;
    fixture->forwarded++;
    fixture->named[agent.ip - FIXTURE_AGENTS_NET] = true;
    for (unsigned i = 0; i < frame->next_count; i++) {
        fixture->named[frame->next[i].ip - FIXTURE_AGENTS_NET] = true;
    }
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
    ((struct fixture *)out)->pings++;
    ((struct fixture *)out)->unlisted = unlisted;
}

static void
query(struct forwarder_out *out, struct addr agent,
      const struct frame_query *query)
{
    struct fixture *fixture = (struct fixture *)out;

    fixture->queries++;
    fixture->query = *query;
}

static void
confirm(struct forwarder_out *out, uint64_t now_us)
{
    ((struct fixture *)out)->confirms++;
}

static void
newer_config(struct forwarder_out *out,
             const struct frame_config_version *newer)
{
    fixture_record(((struct fixture *)out)->record,
                   "newer config %" G_GUINT64_FORMAT, newer->version);
}

static void
readers(struct forwarder_out *out, struct frame_readers others)
{
    ((struct fixture *)out)->readers = others.reading;
}

static void
dropped(struct forwarder_out *out, enum forwarder_drop why,
        const struct relay_packet *packet)
{
    fixture_record(((struct fixture *)out)->record, "drop %d", why);
}

static void
decided(struct forwarder_out *out, enum forwarder_decision decision,
        struct relay_flow flow, struct addr agent, unsigned tries,
        uint64_t age_us)
{
    ((struct fixture *)out)->lookups += decision == FORWARDER_DECISION_LOOKUP;
}

static void
concluded(struct forwarder_out *out, const struct orphan_query *query,
          unsigned ended)
{
}

static void
level_changed(struct forwarder_out *out, const struct agent_row *row,
              uint64_t median_us)
{
    ((struct fixture *)out)->level_changes++;
}

static const struct forwarder_out_ops ops = {
    forward, reset,   ping,    query,     confirm,      newer_config,
    readers, dropped, decided, concluded, level_changed};

void
fixture_add_route(struct routes *routes, const char *address,
                  const char *service)
{
    struct route *route = routes_add(routes);

    route->address = fixture_addr(address);
    route->shares[0] = (struct route_share){hash_service(service), 1, 0};
    route->share_count = 1;
}

void
fixture_set_routes(struct fixture *fixture, uint64_t version, bool with_albums)
{
    struct routes routes;

    routes_init(&routes);
    routes.version = version;
    fixture_add_route(&routes, "198.18.0.1:443", "lots");
    if (with_albums) {
        fixture_add_route(&routes, "198.18.0.2:443", "albums");
    }
    g_assert_cmpint(routes_seal(&routes), ==, 0);
    forwarder_routes(&fixture->forwarder, &routes, fixture->now_us);
}

struct addr
fixture_agent_addr(unsigned number)
{
    return (struct addr){FIXTURE_AGENTS_NET + number, 7000};
}

void
fixture_report(struct fixture *fixture, unsigned number,
               struct frame_status status)
{
    status.health.service = hash_service("lots");
    status.health.slots = 2;
    forwarder_status(&fixture->forwarder, fixture_agent_addr(number), &status,
                     fixture->now_us);
}

void
fixture_init(struct fixture *fixture, unsigned agents)
{
    fixture->out.ops = &ops;
    fixture->record = g_string_new(NULL);
    fixture->now_us = USEC_PER_SEC;
    g_assert_cmpint(forwarder_init(&fixture->forwarder, &fixture->out,
                                   fixture_addr(SELF), "here"),
                    ==, 0);
    fixture_set_routes(fixture, 5, true);
    for (unsigned i = 1; i <= agents; i++) {
        agents_list(&fixture->forwarder.agents, fixture_agent_addr(i),
                    hash_service("lots"), "here", fixture->now_us);
        fixture_report(fixture, i,
                       (struct frame_status){.type = FRAME_STATE,
                                             .health.state = ENDPOINT_READY});
    }
}

void
fixture_finish(struct fixture *fixture)
{
    forwarder_finish(&fixture->forwarder);
    g_string_free(fixture->record, TRUE);
}

void
fixture_receive(struct fixture *fixture, struct relay_packet packet)
{
    forwarder_packet(&fixture->forwarder, &packet, fixture->now_us);
}

void
fixture_advance_ms(struct fixture *fixture, unsigned ms)
{
    fixture->now_us += ms * USEC_PER_MSEC;
    forwarder_tick(&fixture->forwarder, fixture->now_us);
}

void
fixture_established(struct fixture *fixture, struct addr agent, unsigned flow,
                    uint32_t seq)
{
    struct frame_status status = {
        .type = FRAME_ESTABLISHED,
        .flow = fixture_flow(flow),
        .seq = seq,
        .health = {hash_service("lots"), ENDPOINT_READY, 1, 2, false},
    };

    forwarder_status(&fixture->forwarder, agent, &status, fixture->now_us);
}

unsigned
fixture_named_count(const struct fixture *fixture)
{
    unsigned count = 0;

    for (unsigned i = 1; i <= FIXTURE_AGENTS_MAX; i++) {
        count += fixture->named[i];
    }
    return count;
}

void
fixture_abandon(struct fixture *fixture, unsigned agent, unsigned flow)
{
    fixture_report(fixture, agent,
                   (struct frame_status){.type = FRAME_REDIRECTED,
                                         .reason = FRAME_REASON_REFUSED,
                                         .flow = fixture_flow(flow)});
}

bool
fixture_path_names(const struct fixture *fixture, struct addr agent)
{
    for (unsigned i = 0; i < fixture->frame.next_count; i++) {
        if (addr_equal(fixture->frame.next[i], agent)) {
            return true;
        }
    }
    return addr_equal(fixture->sent, agent);
}
