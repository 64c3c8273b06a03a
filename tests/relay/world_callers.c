/* Callers: open flows, send requests, retransmit and close. */
#include "relay/world_private.h"

#include <string.h>

#include "base/clock.h"
#include "base/container.h"
#include "base/hash.h"

void
world_caller_fail(struct world *world, struct caller *caller)
{
    caller->state = CALLER_DONE;
    world->result->failed++;
}

/* Whether the host is or was recently partitioned: its flows may be reset. */
static bool
in_partition_grace(const struct host *host)
{
    return host->partitioned_until_us != 0 &&
           host->world->now_us <
               host->partitioned_until_us + PARTITION_GRACE_US;
}

void
world_check_reset(struct world *world, struct relay_flow flow,
                  const char *sender)
{
    for (unsigned i = 0; i < world->caller_count; i++) {
        struct caller *caller = &world->callers[i];

        if (!relay_flow_equal(caller->flow, flow)) {
            continue;
        }
        for (unsigned h = 0; h < WORLD_AGENTS; h++) {
            const struct host *host = &world->hosts[h];

            if (host->up && host->flows[i].open && !in_partition_grace(host) &&
                host->flows[i].seq == caller->peer_seq) {
                world_violation(world, "FLOW: %s reset flow %u, which is open",
                                sender, i);
            }
        }
        world->result->resets++;
        if (caller->state == CALLER_REQUESTING ||
            caller->state == CALLER_PAUSING) {
            world_caller_fail(world, caller);
        }
        else if (caller->state == CALLER_CLOSING) {
            caller->state = CALLER_DONE;
        }
    }
}

/* Callers. */

static unsigned
ecmp_balancer(const struct world *world, const struct caller *caller)
{
    return (unsigned)((relay_flow_hash(caller->flow) + world->ecmp_salt) %
                      WORLD_BALANCERS);
}

/* Records the first packet that a caller sends on an orphaned flow while all
 * hosts work. */
static void
record_orphaned(struct world *world, struct caller *caller)
{
    const struct host *host = &world->hosts[caller->host];

    if (caller->orphaned_us == 0 && host->up &&
        !host->flows[caller - world->callers].open &&
        world->now_us > world->fault_us + SETTLED_US) {
        caller->orphaned_us = world->now_us;
    }
}

static void
caller_send(struct world *world, struct caller *caller, unsigned flags,
            uint32_t seq, uint32_t ack, uint16_t len)
{
    struct relay_packet packet =
        fixture_from_caller(caller->flow, flags, seq, ack, len);
    unsigned number = (unsigned)(caller - world->callers);

    if (caller->host >= 0) {
        record_orphaned(world, caller);
    }
    if (relay_packet_is_syn(&packet)) {
        packet.age_ms = (uint16_t)(ack * 200);
        packet.caller_timeout_ms = (uint16_t)(1400 - packet.age_ms);
    }
    world_post_packet(world, TO_BALANCER, ecmp_balancer(world, caller), number,
                      packet, false);
}

void
world_caller_open(struct world *world)
{
    struct caller *caller = &world->callers[world->caller_count];

    if (world->caller_count == FLOWS_MAX) {
        return;
    }
    *caller = (struct caller){
        .flow = fixture_flow(world->caller_count),
        .route = (unsigned)g_rand_int_range(world->rand, 0, ROUTES),
        .active_since_us = world->now_us,
        .host = -1,
        .version = world->versions - 1,
    };
    caller->flow.service.port = (uint16_t)(8000 + caller->route);
    world->caller_count++;
    world->result->opened++;
    caller_send(world, caller, RELAY_SYN, 100, 0, 0);
    caller->next_us = world->now_us + 200 * USEC_PER_MSEC;
    caller->attempts = 1;
}

/* Sequence numbers after the last byte sent, and after the last received. */
static uint32_t
sent_end(const struct caller *caller)
{
    return 101 + caller->requests_answered * REQUEST_LEN;
}

static uint32_t
received_end(const struct caller *caller)
{
    return caller->peer_seq + 1 + caller->requests_answered * ANSWER_LEN;
}

void
world_caller_tick(struct world *world, struct caller *caller)
{
    if (caller->state == CALLER_DONE || caller->next_us > world->now_us) {
        return;
    }
    if (caller->state == CALLER_PAUSING) {
        caller->state = CALLER_REQUESTING;
        caller->active_since_us = world->now_us;
        caller->attempts = 0;
    }
    if (world->now_us - caller->active_since_us > CALLER_ABANDON_US ||
        caller->attempts > RETRANSMITS_MAX) {
        world_caller_fail(world, caller);
        return;
    }
    if (caller->state == CALLER_OPENING) {
        if (caller->attempts == 3) {
            world_caller_fail(world, caller);
            return;
        }
        caller_send(world, caller, RELAY_SYN, 100, caller->attempts, 0);
        caller->next_us = world->now_us +
                          (caller->attempts == 1 ? 400 : 800) * USEC_PER_MSEC;
        caller->attempts++;
        return;
    }
    if (caller->state == CALLER_CLOSING) {
        caller_send(world, caller, RELAY_ACK | RELAY_FIN, sent_end(caller),
                    received_end(caller), 0);
    }
    else {
        caller_send(world, caller, RELAY_ACK, sent_end(caller),
                    received_end(caller), REQUEST_LEN);
    }
    caller->next_us =
        world->now_us + (200 * USEC_PER_MSEC << MIN(caller->attempts, 3));
    caller->attempts++;
}

/* Opens the flow and finds the endpoint by the sequence number of its
 * SYN+ACK. */
static void
caller_opened(struct world *world, struct caller *caller, unsigned number,
              const struct relay_packet *packet)
{
    caller->state = CALLER_REQUESTING;
    caller->peer_seq = packet->seq;
    caller->open_us = world->now_us;
    caller->attempts = 0;
    caller->next_us = world->now_us;
    for (int i = 0; i < WORLD_AGENTS; i++) {
        if (world->hosts[i].flows[number].open &&
            world->hosts[i].flows[number].seq == packet->seq) {
            caller->host = i;
            caller->incarnation = world->hosts[i].incarnation;
        }
    }
}

/* After an answer: pauses before the next request, or acknowledges the answer
 * and closes. */
static void
caller_answered(struct world *world, struct caller *caller)
{
    caller->requests_answered++;
    if (caller->requests_answered < world->plan->requests) {
        unsigned pause_ms = (unsigned)g_rand_int_range(
            world->rand, 0, (gint32)world->plan->pause_ms);

        caller->state = CALLER_PAUSING;
        caller->next_us = world->now_us + pause_ms * USEC_PER_MSEC;
        return;
    }
    world->result->answered++;
    if (!world->plan->closing) {
        caller->state = CALLER_DONE;
        return;
    }
    caller->state = CALLER_CLOSING;
    caller->attempts = 0;
    caller->next_us = world->now_us;
    caller_send(world, caller, RELAY_ACK, sent_end(caller),
                received_end(caller), 0);
}

void
world_caller_packet(struct world *world, unsigned number, const uint8_t *bytes)
{
    struct caller *caller = &world->callers[number];
    struct relay_packet packet = world_packet_of(bytes);

    if ((packet.flags & RELAY_RST) != 0) {
        world_check_reset(world, caller->flow, "an endpoint");
        return;
    }
    if (caller->state == CALLER_OPENING && relay_packet_is_syn_ack(&packet)) {
        caller_opened(world, caller, number, &packet);
    }
    else if (caller->state == CALLER_REQUESTING && packet.len > 0) {
        if (packet.seq + ANSWER_LEN == received_end(caller)) {
            /* A duplicate of the previous answer. */
            return;
        }
        if (packet.seq != received_end(caller)) {
            world_violation(
                world, "MIXED: caller %u got another flow's answer", number);
        }
        caller_answered(world, caller);
    }
    else if (caller->state == CALLER_CLOSING && packet.len == 0 &&
             packet.seq == received_end(caller)) {
        caller->state = CALLER_DONE;
        world->result->closed++;
    }
}
