/* Hosts: outputs of the agents, and simulated endpoints that answer requests,
 * bounce packets of unknown flows and send heartbeats. */
#include "relay/world_private.h"

#include <string.h>

#include "base/clock.h"
#include "base/container.h"
#include "base/hash.h"

/* Outputs of agents. */

static void
send_to_endpoint(struct admission_out *out, const uint8_t *bytes, size_t size)
{
    struct host *host = container_of(out, struct host, out);
    struct relay_packet packet = world_packet_of(bytes);

    /* A duplicate SYN of an open flow doesn't open another. */
    if (relay_packet_is_syn(&packet) && host->draining_reported &&
        !host->flows[world_caller_of(bytes)].open) {
        world_violation(host->world,
                        "DRAIN: SYN of flow %u sent to draining endpoint %u",
                        world_caller_of(bytes), host->number);
    }
    if (relay_packet_is_syn(&packet) &&
        !host->flows[world_caller_of(bytes)].open) {
        world_check_syn(host, world_caller_of(bytes));
    }
    world_post(host->world, TO_ENDPOINT, host->number, bytes, size, true);
}

static void
send_to_caller(struct admission_out *out, struct addr caller,
               const uint8_t *bytes, size_t size)
{
    struct host *host = container_of(out, struct host, out);

    world_post(host->world, TO_CALLER, world_caller_of(bytes), bytes, size,
               false);
}

static void
send_reset(struct admission_out *out, struct relay_flow flow, uint32_t seq)
{
    struct host *host = container_of(out, struct host, out);

    world_trace_flow(host->world, flow, "agent-%u resets", host->number);
    world_check_reset(host->world, flow, "an agent");
}

static void
send_forward(struct admission_out *out, struct addr agent,
             const struct frame_forward *frame)
{
    struct host *host = container_of(out, struct host, out);
    uint8_t bytes[FRAME_MAX];
    size_t size =
        frame_forward_encode(frame, &host->admission.store.latest, bytes);

    world_post(host->world, TO_AGENT, agent.ip - world_host_addr(0).ip, bytes,
               size, false);
}

static void
send_status(struct admission_out *out, struct addr balancer,
            const struct frame_status *status)
{
    struct host *host = container_of(out, struct host, out);
    uint8_t bytes[FRAME_MAX + 1];
    size_t size =
        frame_status_encode(status, &host->admission.store.latest, bytes);

    if (world_is_partitioned(host, false)) {
        return;
    }
    /* The sender's number stands in for its address. */
    bytes[size] = (uint8_t)host->number;
    world_post(host->world, TO_BALANCER_FRAME,
               balancer.ip - world_balancer_addr(0).ip, bytes, size + 1,
               false);
}

static void
send_served(struct admission_out *out, struct addr balancer,
            const struct frame_served *served)
{
}

static void
send_query_reply(struct admission_out *out, struct addr balancer,
                 const struct frame_query_reply *reply)
{
    struct host *host = container_of(out, struct host, out);
    uint8_t bytes[FRAME_MAX + 1];
    size_t size =
        frame_query_reply_encode(reply, &host->admission.store.latest, bytes);

    if (world_is_partitioned(host, false)) {
        return;
    }
    bytes[size] = (uint8_t)host->number;
    world_post_query(host->world, TO_BALANCER_FRAME,
                     balancer.ip - world_balancer_addr(0).ip, bytes, size + 1,
                     0);
}

static bool
accepts_probe(const struct host *host)
{
    bool is_starting =
        host->world->now_us < host->started_us + LISTENS_AFTER_US;

    return host->up && !(host->world->plan->closed_listeners &&
                         (host->draining || is_starting));
}

static void
probe_endpoint(struct admission_out *out)
{
    struct host *host = container_of(out, struct host, out);
    struct world *world = host->world;

    host->probe_refused = !accepts_probe(host);
    host->probe_due_us = world->now_us;
    if (world->plan->closed_listeners) {
        host->probe_due_us +=
            (uint64_t)g_rand_int_range(world->query_rand, 0, PROBE_MAX_US);
    }
}

static void
admission_dropped(struct admission_out *out, enum admission_drop reason)
{
}

static void
admission_decided(struct admission_out *out, enum admission_decision decision,
                  struct relay_flow flow, enum frame_reason reason,
                  const struct frame_forward *frame)
{
    struct host *host = container_of(out, struct host, out);

    world_trace_flow(host->world, flow, "agent-%u decides %d reason %d",
                     host->number, (int)decision, (int)reason);
    if (reason == FRAME_REASON_EVACUATED) {
        world_check_refusal(host);
    }
}

static void
admission_scheduled(struct admission_out *out, struct relay_flow flow,
                    const struct admission_scheduled *scheduled)
{
}

const struct admission_out_ops world_admission_ops = {
    send_to_endpoint,  send_to_caller,    send_reset,         send_forward,
    send_status,       send_served,       send_query_reply,   probe_endpoint,
    admission_dropped, admission_decided, admission_scheduled};

static void
send_from_endpoint(struct host *host, unsigned caller, unsigned flags,
                   uint32_t seq, uint32_t ack, uint16_t len)
{
    struct relay_flow flow = host->world->callers[caller].flow;

    world_post_packet(host->world, TO_OUTBOUND, host->number, caller,
                      fixture_from_endpoint(flow, flags, seq, ack, len), true);
}

static void
check_route(struct host *host, const struct relay_packet *packet)
{
    struct world *world = host->world;

    for (unsigned i = 0; i < world->versions; i++) {
        if (world_served_at(world, i, packet) == (int)host->service) {
            return;
        }
    }
    world_violation(
        world, "ROUTE: endpoint %u of %s accepts a flow to port %u",
        host->number, world_services[host->service], packet->to.port);
}

static unsigned
running_count(const struct host *host)
{
    unsigned count = 0;

    for (unsigned i = 0; i < host->world->caller_count; i++) {
        count += host->flows[i].open && host->flows[i].answer_us != 0;
    }
    return count;
}

static void
bounce(struct host *host, const uint8_t *bytes)
{
    struct relay_packet packet = world_packet_of(bytes);

    packet.flags |= RELAY_BOUNCED;
    world_post_packet(host->world, TO_OUTBOUND, host->number,
                      world_caller_of(bytes), packet, true);
}

/* Bounces a packet of an unknown flow to the agent. Within STARTUP_RESET_US of
 * the endpoint's start, data is reset. */
static void
reject_unknown_flow(struct host *host, const uint8_t *bytes)
{
    struct relay_packet packet = world_packet_of(bytes);

    if (packet.len > 0 &&
        host->world->now_us < host->started_us + STARTUP_RESET_US) {
        send_from_endpoint(host, world_caller_of(bytes), RELAY_RST | RELAY_ACK,
                           packet.ack, packet.seq, 0);
        return;
    }
    bounce(host, bytes);
}

/* Whether a fault was less than 2 s ago, or has not ended. */
static bool
is_recent(const struct world *world, uint64_t fault_us)
{
    return world->now_us < fault_us + 2 * USEC_PER_SEC;
}

/* Counts a packet of an open flow that reached the wrong endpoint. */
static void
record_misrouted(struct host *host, unsigned number)
{
    struct world *world = host->world;
    struct caller *caller = &world->callers[number];
    struct host *own;

    if ((caller->state != CALLER_REQUESTING &&
         caller->state != CALLER_CLOSING) ||
        caller->host < 0) {
        return;
    }
    own = &world->hosts[caller->host];
    if (!own->up || own->incarnation != caller->incarnation ||
        is_recent(world, own->fault_us) || is_recent(world, world->fault_us)) {
        caller->misrouted = 0;
        return;
    }
    if (caller->misrouted++ == 0) {
        caller->misrouted_us = world->now_us;
    }
}

static uint64_t
work_us(const struct world *world)
{
    return world->plan->work_ms > 0 ? world->plan->work_ms * USEC_PER_MSEC
                                    : REQUEST_WORK_US;
}

/* Whether a packet holds the request after the last one started. */
static bool
is_next_request(const struct endpoint_flow *flow,
                const struct relay_packet *packet)
{
    return flow->answer_us == 0 &&
           packet->seq == 101 + flow->requests_started * REQUEST_LEN;
}

/* Answers the request started last. */
static void
send_answer(struct host *host, unsigned caller)
{
    const struct endpoint_flow *flow = &host->flows[caller];

    send_from_endpoint(host, caller, RELAY_ACK,
                       flow->seq + 1 +
                           (flow->requests_started - 1) * ANSWER_LEN,
                       101 + flow->requests_started * REQUEST_LEN, ANSWER_LEN);
}

void
world_endpoint_packet(struct host *host, const uint8_t *bytes)
{
    struct relay_packet packet = world_packet_of(bytes);
    unsigned number = world_caller_of(bytes);
    struct endpoint_flow *flow = &host->flows[number];
    struct caller *caller = &host->world->callers[number];

    if (!host->up) {
        return;
    }
    if (relay_packet_is_syn(&packet)) {
        if (!flow->open && running_count(host) >= ENDPOINT_CAPACITY) {
            bounce(host, bytes);
            return;
        }
        if (!flow->open) {
            check_route(host, &packet);
            *flow = (struct endpoint_flow){.open = true,
                                           .seq = host->next_seq += 1000003};
        }
        send_from_endpoint(host, number, RELAY_SYN | RELAY_ACK, flow->seq,
                           packet.seq + 1, 0);
        return;
    }
    if (!flow->open) {
        record_misrouted(host, number);
        reject_unknown_flow(host, bytes);
        return;
    }
    if (packet.ack - flow->seq > 100000) {
        /* Acknowledges another endpoint's SYN+ACK: dropped while this
         * endpoint's own handshake is pending. */
        record_misrouted(host, number);
        return;
    }
    caller->misrouted = 0;
    if ((packet.flags & RELAY_FIN) != 0) {
        send_from_endpoint(host, number, RELAY_ACK,
                           flow->seq + 1 + flow->requests_started * ANSWER_LEN,
                           packet.seq + 1, 0);
        return;
    }
    if (packet.len > 0 && is_next_request(flow, &packet)) {
        flow->requests_started++;
        flow->answer_us = host->world->now_us + work_us(host->world);
        caller->requests_started++;
        if (caller->requests_started > caller->requests_answered + 1) {
            world_violation(host->world,
                            "UNASKED: caller %u: a request ran twice", number);
        }
    }
    else if (flow->requests_started > 0 && flow->answer_us == 0) {
        send_answer(host, number);
    }
}

void
world_endpoint_work(struct host *host)
{
    if (!host->up) {
        return;
    }
    for (unsigned i = 0; i < host->world->caller_count; i++) {
        struct endpoint_flow *flow = &host->flows[i];

        if (flow->open && flow->answer_us != 0 &&
            flow->answer_us <= host->world->now_us) {
            flow->answer_us = 0;
            send_answer(host, i);
        }
    }
}

void
world_heartbeat(struct host *host)
{
    struct heartbeat beat = {
        .service = hash_service(world_services[host->service]),
        .draining = host->draining,
        .slots = 2,
        .sequence = host->sequence++,
    };

    if (host->number % 2 == 0) {
        /* Each incarnation has a new id. */
        g_snprintf(beat.id, sizeof(beat.id), "i-%u-%u", host->number,
                   host->incarnation);
    }
    else {
        /* The id stays the same; a later start time and a restarted
         * sequence mark the incarnation. */
        g_snprintf(beat.id, sizeof(beat.id), "i-%u", host->number);
        beat.started_ms = 1000 + host->incarnation;
    }
    if (host->draining && !host->draining_reported) {
        world_trace(host->world, "agent-%u hears that its endpoint drains",
                    host->number);
    }
    admission_handle_heartbeat(&host->admission, &beat, host->world->now_us);
    host->draining_reported = host->draining;
    host->heartbeat_us = host->world->now_us + HEARTBEAT_US;
}

void
world_endpoint_start(struct host *host)
{
    memset(host->flows, 0, sizeof(host->flows));
    host->incarnation++;
    /* Numbers begin with 0, 1 or 2. */
    host->sequence = (host->number + host->incarnation) % 3;
    host->up = true;
    host->draining = false;
    host->fault_us = host->world->now_us;
    host->started_us = host->world->now_us;
    world_trace(host->world, "endpoint-%u starts", host->number);
    world_heartbeat(host);
}

void
world_agent_start(struct host *host)
{
    struct evacuations latest = {.epoch = host->world->evacuations.epoch};

    g_assert_cmpint(admission_init(&host->admission, &host->out, host->addr,
                                   world_data_centre(host->world, host),
                                   world_services[host->service],
                                   host->world->now_us),
                    ==, 0);
    host->admission.scheduling = host->world->plan->scheduling;
    host->admission.endpoint.interval_us = HEARTBEAT_US;
    host->draining_reported = false;
    host->heartbeat_us = 0;
    host->probe_due_us = 0;
    /* The agent reads its own object first, and writes it if it is missing. */
    admission_handle_evacuations(&host->admission, &latest,
                                 host->world->now_us);
    if (host->unregistered_until_us != 0) {
        host->unregistered_until_us =
            host->world->now_us + REGISTRATION_CHECK_US;
    }
}
