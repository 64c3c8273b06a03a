#include "relay/steer_site.h"

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"

#define SELF "10.9.0.1:7720"

static void
carry(struct steer_out *out, struct addr agent,
      const struct frame_carry *frame)
{
    struct site *site = (struct site *)out;

    site->sent = agent;
    site->frame = *frame;
    site->carried++;
    site->named[agent.ip - SITE_AGENTS_NET] = true;
    for (unsigned i = 0; i < frame->next_count; i++) {
        site->named[frame->next[i].ip - SITE_AGENTS_NET] = true;
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

void
site_add_route(struct routes *routes, const char *address, const char *service)
{
    struct route *route = routes_add(routes);

    route->address = rig_addr(address);
    route->shares[0] = (struct route_share){hash_service(service), 1, 0};
    route->share_count = 1;
}

void
site_set_routes(struct site *site, uint64_t version, bool with_albums)
{
    struct routes routes;

    routes_init(&routes);
    routes.version = version;
    site_add_route(&routes, "198.18.0.1:443", "lots");
    if (with_albums) {
        site_add_route(&routes, "198.18.0.2:443", "albums");
    }
    g_assert_cmpint(routes_seal(&routes), ==, 0);
    steer_routes(&site->steer, &routes, site->now_us);
}

struct addr
site_agent_addr(unsigned number)
{
    return (struct addr){SITE_AGENTS_NET + number, 7000};
}

void
site_say(struct site *site, unsigned number, struct frame_status status)
{
    status.health.service = hash_service("lots");
    status.health.slots = 2;
    steer_status(&site->steer, site_agent_addr(number), &status, site->now_us);
}

void
site_init(struct site *site, unsigned agents)
{
    site->out.ops = &ops;
    site->record = g_string_new(NULL);
    site->now_us = USEC_PER_SEC;
    g_assert_cmpint(
        steer_init(&site->steer, &site->out, rig_addr(SELF), "here"), ==, 0);
    site_set_routes(site, 5, true);
    for (unsigned i = 1; i <= agents; i++) {
        agents_list(&site->steer.agents, site_agent_addr(i),
                    hash_service("lots"), "here", site->now_us);
        site_say(site, i,
                 (struct frame_status){.type = FRAME_STATE,
                                       .health.state = ENDPOINT_READY});
    }
}

void
site_finish(struct site *site)
{
    steer_finish(&site->steer);
    g_string_free(site->record, TRUE);
}

void
site_arrive(struct site *site, struct relay_packet packet)
{
    steer_packet(&site->steer, &packet, site->now_us);
}

void
site_pass_ms(struct site *site, unsigned ms)
{
    site->now_us += ms * USEC_PER_MSEC;
    steer_tick(&site->steer, site->now_us);
}

void
site_placed(struct site *site, struct addr agent, unsigned flow, uint32_t seq)
{
    struct frame_status status = {
        .type = FRAME_PLACED,
        .flow = rig_flow(flow),
        .seq = seq,
        .health = {hash_service("lots"), ENDPOINT_READY, 1, 2, false},
    };

    steer_status(&site->steer, agent, &status, site->now_us);
}

unsigned
site_named_count(const struct site *site)
{
    unsigned count = 0;

    for (unsigned i = 1; i <= SITE_AGENTS_MOST; i++) {
        count += site->named[i];
    }
    return count;
}

void
site_let_go(struct site *site, unsigned agent, unsigned flow)
{
    site_say(site, agent,
             (struct frame_status){.type = FRAME_PASSED,
                                   .reason = FRAME_REASON_REFUSED,
                                   .flow = rig_flow(flow)});
}

bool
site_chain_names(const struct site *site, struct addr agent)
{
    for (unsigned i = 0; i < site->frame.next_count; i++) {
        if (addr_equal(site->frame.next[i], agent)) {
            return true;
        }
    }
    return addr_equal(site->sent, agent);
}
