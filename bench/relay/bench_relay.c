/**
 * DOC: bench_relay - processor time and memory of the relay mode's decisions
 *
 * Runs in one thread without sockets. At the balancer, "open" is a new flow's
 * SYN with the agent's status, "estab" a packet of a pinned flow and "lookup"
 * a packet of a flow without a pin. At the agent, "open" is a SYN with the
 * endpoint's SYN-ACK and reply, and "estab" a packet of an established flow.
 * Columns "agents" and "service" are all agents and those of the flows'
 * service.
 */
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "base/clock.h"
#include "base/hash.h"
#include "relay/admission/admission.h"
#include "relay/forwarder/forwarder.h"

#define FLOWS 8192
#define REPEATS 7
#define PACKET_SIZE 74
#define OTHER_SERVICES 1000

static uint8_t bytes[PACKET_SIZE];
static uint64_t forwarded_bytes;
static const struct evacuations no_evacuations = {.revision = 1};

static void
forwarder_forward(struct forwarder_out *out, struct addr agent,
                  const struct frame_forward *frame)
{
    static uint8_t frame_bytes[FRAME_MAX];

    forwarded_bytes +=
        frame_forward_encode(frame, &no_evacuations, frame_bytes);
}

static void
forwarder_reset(struct forwarder_out *out, struct relay_flow flow,
                uint32_t seq)
{
}

static void
forwarder_ping(struct forwarder_out *out, struct addr agent, bool unlisted)
{
}

static void
forwarder_query(struct forwarder_out *out, struct addr agent,
                const struct frame_query *query)
{
}

static void
forwarder_confirm(struct forwarder_out *out, uint64_t now_us)
{
}

static void
forwarder_newer_config(struct forwarder_out *out,
                       const struct frame_config_version *newer)
{
}

static void
forwarder_readers(struct forwarder_out *out, struct frame_readers others)
{
}

static void
forwarder_dropped(struct forwarder_out *out, enum forwarder_drop why,
                  const struct relay_packet *packet)
{
    g_error("a packet was dropped");
}

static void
forwarder_decided(struct forwarder_out *out, enum forwarder_decision decision,
                  struct relay_flow flow, struct addr agent, unsigned tries,
                  uint64_t age_us)
{
}

static void
forwarder_concluded(struct forwarder_out *out,
                    const struct orphan_query *query, unsigned ended)
{
}

static const struct forwarder_out_ops forwarder_ops = {
    forwarder_forward,  forwarder_reset,   forwarder_ping,
    forwarder_query,    forwarder_confirm, forwarder_newer_config,
    forwarder_readers,  forwarder_dropped, forwarder_decided,
    forwarder_concluded};

static void
admission_to_endpoint(struct admission_out *out, const uint8_t *packet,
                      size_t size)
{
    forwarded_bytes += size;
}

static void
admission_to_caller(struct admission_out *out, struct addr caller,
                    const uint8_t *packet, size_t size)
{
    forwarded_bytes += size;
}

static void
admission_reset(struct admission_out *out, struct relay_flow flow,
                uint32_t seq)
{
}

static void
admission_forward_next(struct admission_out *out, struct addr agent,
                       const struct frame_forward *frame)
{
    g_error("a flow was redirected");
}

static void
admission_notify(struct admission_out *out, struct addr balancer,
                 const struct frame_status *status)
{
    static uint8_t frame_bytes[FRAME_HEADER_MAX];

    forwarded_bytes +=
        frame_status_encode(status, &no_evacuations, frame_bytes);
}

static void
admission_served(struct admission_out *out, struct addr balancer,
                 const struct frame_served *served)
{
}

static void
admission_query_reply(struct admission_out *out, struct addr balancer,
                      const struct frame_query_reply *reply)
{
}

static void
admission_probe(struct admission_out *out)
{
}

static void
admission_dropped(struct admission_out *out, enum admission_drop why)
{
    g_error("a packet was dropped");
}

static void
admission_decided(struct admission_out *out, enum admission_decision decision,
                  struct relay_flow flow, enum frame_reason why,
                  const struct frame_forward *frame)
{
}

static void
admission_scheduled(struct admission_out *out, struct relay_flow flow,
                    const struct admission_scheduled *scheduled)
{
}

static const struct admission_out_ops admission_ops = {
    admission_to_endpoint,  admission_to_caller, admission_reset,
    admission_forward_next, admission_notify,    admission_served,
    admission_query_reply,  admission_probe,     admission_dropped,
    admission_decided,      admission_scheduled};

static uint64_t
now_ns(void)
{
    struct timespec time;

    clock_gettime(CLOCK_MONOTONIC, &time);
    return (uint64_t)time.tv_sec * 1000000000 + (uint64_t)time.tv_nsec;
}

static struct relay_packet
packet_of(unsigned flow, unsigned flags, uint32_t seq, uint32_t ack,
          uint16_t len)
{
    return (struct relay_packet){
        .from = {0x64400000 + flow / 1000, (uint16_t)(1000 + flow % 1000)},
        .to = {0xc6120001, 443},
        .seq = seq,
        .ack = ack,
        .len = len,
        .flags = (uint8_t)flags,
        .caller_timeout_ms = 1400,
        .bytes = bytes,
        .size = sizeof(bytes),
    };
}

static struct addr
agent_addr(size_t number)
{
    return (struct addr){0x0a000000 + (uint32_t)number, 7000};
}

static void
fill_forwarder(struct forwarder *forwarder, size_t agents,
               size_t service_agents)
{
    struct routes routes;
    struct route *route;

    routes_init(&routes);
    routes.version = 1;
    route = routes_add(&routes);
    route->address = (struct addr){0xc6120001, 443};
    route->shares[0] = (struct route_share){hash_service("lots"), 1, 0};
    route->share_count = 1;
    route->target_ms = 100;
    (void)routes_seal(&routes);
    forwarder_routes(forwarder, &routes, 0);
    for (size_t i = 0; i < agents; i++) {
        struct frame_status status = {
            .type = FRAME_STATE,
            .health = {hash_service("lots"), ENDPOINT_READY, 0, 2, false},
        };

        if (i >= service_agents) {
            status.health.service = (uint32_t)(1 + i % OTHER_SERVICES);
        }
        agents_list(&forwarder->agents, agent_addr(i), status.health.service,
                    "here", 1);
        forwarder_status(forwarder, agent_addr(i), &status, 1);
    }
}

static double
per_flow(uint64_t since_ns)
{
    return (double)(now_ns() - since_ns) / FLOWS;
}

static void
keep_min(double *value, double sample)
{
    if (*value == 0 || sample < *value) {
        *value = sample;
    }
}

/* One pass over all flows at a balancer; keeps the shortest times, in ns. */
static void
pass_forwarder(struct forwarder *forwarder, uint64_t now_us, double *open,
               double *established, double *lookup)
{
    uint64_t since = now_ns();

    for (unsigned i = 0; i < FLOWS; i++) {
        struct relay_packet ack = packet_of(i, RELAY_ACK, 2, 9, 40);

        forwarder_packet(forwarder, &ack, now_us);
    }
    keep_min(lookup, per_flow(since));
    since = now_ns();
    for (unsigned i = 0; i < FLOWS; i++) {
        struct relay_packet syn =
            packet_of(i, RELAY_SYN, (uint32_t)now_us, 0, 0);
        struct frame_status status = {
            .type = FRAME_ESTABLISHED,
            .flow = relay_flow_from_caller(&syn),
            .seq = 8,
            .health = {hash_service("lots"), ENDPOINT_READY, 1, 2, false},
        };

        forwarder_packet(forwarder, &syn, now_us);
        forwarder_status(forwarder, agent_addr(i % 7), &status, now_us);
    }
    keep_min(open, per_flow(since));
    since = now_ns();
    for (unsigned i = 0; i < FLOWS; i++) {
        struct relay_packet ack = packet_of(i, RELAY_ACK, 2, 9, 40);

        forwarder_packet(forwarder, &ack, now_us);
    }
    keep_min(established, per_flow(since));
    /* Expires all flows before the next pass. */
    forwarder_tick(forwarder, now_us + 100 * USEC_PER_SEC);
}

static void
bench_forwarder(size_t agents, size_t service_agents)
{
    struct forwarder_out out = {&forwarder_ops};
    struct addr self = {0x0a090001, 7720};
    double open = 0, established = 0, lookup = 0;
    struct forwarder forwarder;
    size_t before, used;

    if (forwarder_init(&forwarder, &out, self, "here") < 0) {
        g_error("no memory");
    }
    before = mallinfo2().uordblks;
    fill_forwarder(&forwarder, agents, service_agents);
    used = mallinfo2().uordblks - before;
    for (unsigned i = 0; i < REPEATS; i++) {
        pass_forwarder(&forwarder, (i + 1) * 1000 * USEC_PER_SEC, &open,
                       &established, &lookup);
    }
    printf("balancer  %8zu %8zu %8.0f %8.0f %8.0f %10zu\n", agents,
           service_agents, open, established, lookup, used / agents);
    forwarder_finish(&forwarder);
}

static void
bench_admission(void)
{
    struct admission_out out = {&admission_ops};
    struct frame_forward frame = {
        .service = hash_service("lots"),
        .origin = {0x0a090001, 7720},
        .view.version = 1,
        .target_ms = 100,
        .caller_timeout_ms = 1400,
        .bytes = bytes,
        .size = sizeof(bytes),
    };
    struct heartbeat heartbeat = {.id = "i-1",
                                  .service = hash_service("lots"),
                                  .slots = 1024,
                                  .sequence = 1};
    double open = 0, established = 0;

    for (unsigned repeat = 0; repeat < REPEATS; repeat++) {
        struct admission admission;
        uint64_t since;

        if (admission_init(&admission, &out, agent_addr(1), "here", "lots",
                           1) < 0) {
            g_error("no memory");
        }
        admission_handle_heartbeat(&admission, &heartbeat, 1);
        since = now_ns();
        for (unsigned i = 0; i < FLOWS; i++) {
            struct relay_packet syn = packet_of(i, RELAY_SYN, 1, 0, 0);
            struct relay_packet syn_ack =
                packet_of(i, RELAY_SYN | RELAY_ACK, 8, 2, 0);
            struct relay_packet reply = packet_of(i, RELAY_ACK, 9, 2, 40);
            struct addr caller = syn_ack.from;

            syn_ack.from = reply.from = syn_ack.to;
            syn_ack.to = reply.to = caller;
            admission_handle_forward(&admission, &frame, &syn, 1000 + i);
            admission_handle_endpoint_packet(&admission, &syn_ack, 1000 + i);
            admission_handle_endpoint_packet(&admission, &reply, 1000 + i);
        }
        keep_min(&open, per_flow(since));
        since = now_ns();
        for (unsigned i = 0; i < FLOWS; i++) {
            struct relay_packet ack = packet_of(i, RELAY_ACK, 2, 9, 0);

            admission_handle_forward(&admission, &frame, &ack, 20000 + i);
        }
        keep_min(&established, per_flow(since));
        admission_finish(&admission);
    }
    printf("agent     %8s %8s %8.0f %8.0f\n", "-", "-", open, established);
}

int
main(void)
{
    static const struct {
        size_t agents;
        size_t service_agents;
    } sizes[] = {{10, 7},    {40, 7},     {160, 7},     {1000, 7},
                 {10000, 7}, {110000, 7}, {110000, 70}, {110000, 700}};

    printf("role        agents  service  open ns estab ns lookup ns  "
           "bytes/agent\n");
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        bench_forwarder(sizes[i].agents, sizes[i].service_agents);
    }
    bench_admission();
    printf("%" G_GUINT64_FORMAT " bytes forwarded\n", forwarded_bytes);
    return 0;
}
