#include "relay/forwarder/forwarder_private.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

/* Chains of agents that a packet of a flow without a acceptor goes along at
 * once, 64 agents in all. One after another, each costs a retransmission of
 * the caller's: 0.2 s, then 0.4 s more. The first packet goes along one: the
 * holder is nearly always among the 16 that rank highest, and whoever else
 * holds the flow says so when all are queried for orphaned flows, 10 ms later.
 * With four, a day of total loss at 46 agents had 140,000 datagrams a second
 * on the way, and earned 0.004 less. */
#define LOOKUP_PATHS_FIRST 1
#define LOOKUP_PATHS 4

/* How long a proof that nobody holds a flow is believed: while its caller
 * still sends what was on its way. Later its port may be used again, for a
 * flow that was opened through another balancer. */
#define PROOF_VALID_US (1 * USEC_PER_SEC)

/* Place whose bytes the packet acknowledges, or NULL. */
static const struct forwarder_acceptor *
acceptor_of(const struct forwarder_pin *pin, const struct relay_packet *packet)
{
    if (pin->acceptor_count == 1) {
        return &pin->acceptors[0];
    }
    for (unsigned i = 0; i < pin->acceptor_count; i++) {
        if (packet->ack - pin->acceptors[i].seq < FORWARDER_SEQ_WINDOW) {
            return &pin->acceptors[i];
        }
    }
    return NULL;
}

/* Moves an agent of the choice to its front. */
static void
put_first(struct agents_choice *choice, struct addr agent)
{
    for (unsigned i = 0; i < choice->count; i++) {
        if (addr_equal(choice->addrs[i], agent)) {
            memmove(&choice->addrs[1], &choice->addrs[0],
                    i * sizeof(choice->addrs[0]));
            choice->addrs[0] = agent;
            return;
        }
    }
}

static void
reverse(struct addr *addrs, unsigned count)
{
    for (unsigned i = 0; i < count / 2; i++) {
        struct addr addr = addrs[i];

        addrs[i] = addrs[count - 1 - i];
        addrs[count - 1 - i] = addr;
    }
}

/* A chain ends at an agent that is dead, and nobody tells. So every second
 * search of a flow goes the other way query, and the third and fourth begin
 * in the middle: one dead agent hides a flow for one packet, not for good. */
static void
vary_order(struct agents_choice *choice, unsigned lookups)
{
    unsigned half = choice->count / 2;

    if ((lookups & 2) != 0) {
        reverse(choice->addrs, half);
        reverse(choice->addrs + half, choice->count - half);
        reverse(choice->addrs, choice->count);
    }
    if ((lookups & 1) != 0) {
        reverse(choice->addrs, choice->count);
    }
}

/* Sends a packet along one chain of a service's agents that rank below
 * @below; false when there are no more. */
static bool
lookup_along_path(struct forwarder *forwarder, const struct forwarder_pin *pin,
                  const struct relay_packet *packet, uint32_t service,
                  uint64_t *below)
{
    const struct route *route =
        routes_find(forwarder_routes_in_force(forwarder), packet->to);
    uint64_t hash = relay_flow_hash(relay_flow_from_caller(packet));
    struct agents_choice choice;
    struct frame_forward frame;

    if (route == NULL ||
        !agents_for_established(&forwarder->agents, service,
                                &route->region_affinity, hash, pin->denied,
                                below, &choice)) {
        return false;
    }
    put_first(&choice, pin->holder);
    vary_order(&choice, pin->lookups);
    frame = forwarder_frame(forwarder, service, &choice, 1, packet->bytes,
                            packet->size);
    forwarder->out->ops->forward(forwarder->out, choice.addrs[0], &frame);
    return true;
}

/* Sends a packet along up to @max_paths paths of a service's agents; how many
 * there were. */
static unsigned
lookup_along_paths(struct forwarder *forwarder,
                   const struct forwarder_pin *pin,
                   const struct relay_packet *packet, uint32_t service,
                   unsigned max_paths, uint64_t *below)
{
    unsigned paths = 0;

    while (paths < max_paths &&
           lookup_along_path(forwarder, pin, packet, service, below)) {
        paths++;
    }
    return paths;
}

/* Sends a packet along the agents of the flow's own service. */
static unsigned
lookup_own_service(struct forwarder *forwarder, struct forwarder_pin *pin,
                   const struct relay_packet *packet)
{
    unsigned max_paths = pin->lookups == 0 ? LOOKUP_PATHS_FIRST : LOOKUP_PATHS;

    if (pin->denied) {
        pin->lookup_below = AGENTS_ALL;
    }
    pin->lookup_end = pin->lookup_below;
    return lookup_along_paths(forwarder, pin, packet, pin->service, max_paths,
                              &pin->lookup_end);
}

/*
 * Sends a packet along the agents of another service, the next one with each
 * search: an address that has gone to another service leaves its open flows
 * where they are. Agents that know of the flow answer the question to all of
 * them before that; this is for those that have started beside an endpoint
 * that holds it.
 */
static void
lookup_other_service(struct forwarder *forwarder, struct forwarder_pin *pin,
                     const struct relay_packet *packet, uint64_t now_us)
{
    const struct route *route =
        routes_find(forwarder_routes_in_force(forwarder), packet->to);
    uint64_t below = AGENTS_ALL;

    if ((pin->lookups == 0 && !pin->denied) || route == NULL ||
        agents_count(&forwarder->agents) > FORWARDER_QUERY_AGENTS_MAX ||
        forwarder_is_settled(route, now_us)) {
        return;
    }
    pin->lookup_service = agents_next_service(
        &forwarder->agents, pin->lookup_service, pin->service);
    if (pin->lookup_service != pin->service) {
        (void)lookup_along_paths(forwarder, pin, packet, pin->lookup_service,
                                 LOOKUP_PATHS, &below);
    }
}

/* Sends a packet of an open flow along the agents that may hold it. */
void
forwarder_lookup(struct forwarder *forwarder, uint32_t handle,
                 const struct relay_packet *packet, uint64_t now_us)
{
    struct forwarder_pin *pin = &forwarder->pins[handle];
    unsigned paths = lookup_own_service(forwarder, pin, packet);

    if (paths == 0 && pin->lookup_below != AGENTS_ALL) {
        /* All were queried: some may know better by now. */
        pin->lookup_below = AGENTS_ALL;
        paths = lookup_own_service(forwarder, pin, packet);
    }
    lookup_other_service(forwarder, pin, packet, now_us);
    if (paths == 0 && !pin->denied) {
        forwarder_drop_packet(forwarder, FORWARDER_DROP_NO_AGENT, packet);
        return;
    }
    pin->lookups++;
    forwarder_orphans_add(forwarder, handle, now_us);
    forwarder->out->ops->decided(forwarder->out, FORWARDER_DECISION_LOOKUP,
                                 relay_flow_from_caller(packet), pin->holder,
                                 pin->lookups, now_us - pin->since_us);
}

/* An agent doesn't hold a flow that was placed there: its next packet looks
 * for it. False when it wasn't placed there. */
static bool
acceptor_remove(struct forwarder_pin *pin, struct addr agent)
{
    for (unsigned i = 0; i < pin->acceptor_count; i++) {
        if (addr_equal(pin->acceptors[i].agent, agent)) {
            pin->acceptors[i] = pin->acceptors[--pin->acceptor_count];
            return true;
        }
    }
    return false;
}

/* Whether the flow was open at its one acceptor for certain: its caller has
 * acknowledged that endpoint's number, or the endpoint has sent packets of
 * it. */
static bool
is_certain_acceptor(const struct forwarder_pin *pin)
{
    return pin->acceptor_count == 1 &&
           (pin->acceptors[0].seq == 0 ||
            pin->last_ack - pin->acceptors[0].seq < FORWARDER_SEQ_WINDOW);
}

void
forwarder_reset(struct forwarder *forwarder, uint32_t handle, uint64_t now_us)
{
    struct forwarder_pin *pin = &forwarder->pins[handle];
    struct relay_flow flow = flow_index_flow(&forwarder->flows, handle);

    /* Its caller learns it at once instead of by its timeout, and may try
     * anew. */
    forwarder->out->ops->reset(forwarder->out, flow, pin->last_ack);
    forwarder->out->ops->decided(forwarder->out, FORWARDER_DECISION_RESET,
                                 flow, pin->acceptors[0].agent, 0,
                                 now_us - pin->since_us);
}

static bool
has_ended(const struct forwarder *forwarder, struct addr agent)
{
    const struct agent_row *row = agents_find(&forwarder->agents, agent);

    return row != NULL && row->health.state == ENDPOINT_GONE;
}

void
forwarder_forward_established(struct forwarder *forwarder, uint32_t handle,
                              const struct relay_packet *packet,
                              uint64_t now_us)
{
    struct forwarder_pin *pin = &forwarder->pins[handle];
    const struct forwarder_acceptor *acceptor = acceptor_of(pin, packet);

    pin->last_ack = packet->ack;
    pin->opened = true;
    if (pin->proved_us != 0 && now_us - pin->proved_us < PROOF_VALID_US) {
        forwarder_reset(forwarder, handle, now_us);
        return;
    }
    pin->proved_us = 0;
    if (is_certain_acceptor(pin) &&
        has_ended(forwarder, pin->acceptors[0].agent)) {
        forwarder_reset(forwarder, handle, now_us);
    }
    else if (acceptor != NULL) {
        forwarder_forward_to(forwarder, pin, acceptor->agent, packet);
    }
    else {
        forwarder_lookup(forwarder, handle, packet, now_us);
    }
}

static void
acceptor_add(struct forwarder_pin *pin, struct addr agent, uint32_t seq)
{
    struct forwarder_acceptor acceptor = {agent, seq};

    for (unsigned i = 0; i < pin->acceptor_count; i++) {
        if (addr_equal(pin->acceptors[i].agent, agent)) {
            pin->acceptors[i] = acceptor;
            return;
        }
    }
    if (pin->acceptor_count < FORWARDER_ACCEPTORS_MAX) {
        pin->acceptors[pin->acceptor_count++] = acceptor;
    }
    else {
        pin->acceptors[FORWARDER_ACCEPTORS_MAX - 1] = acceptor;
    }
}

void
forwarder_established(struct forwarder *forwarder, struct addr agent,
                      const struct frame_status *status, uint64_t now_us)
{
    uint32_t handle = flow_index_find(&forwarder->flows, status->flow);
    struct forwarder_pin *pin;

    if (handle == FLOW_INDEX_NONE) {
        /* Its packets came here, or the agent wouldn't tell. */
        handle = forwarder_remember(forwarder, status->flow,
                                    status->health.service, now_us);
    }
    pin = &forwarder->pins[handle];
    forwarder_update_rtt(forwarder, pin, agent, now_us);
    acceptor_add(pin, agent, status->seq);
    /* Its address may have gone to another service since it was opened. */
    pin->service = status->health.service;
    pin->denied = false;
    pin->proved_us = 0;
    forwarder->out->ops->decided(forwarder->out, FORWARDER_DECISION_ESTABLISH,
                                 status->flow, agent, pin->try_count,
                                 now_us - pin->since_us);
}

/* An agent sent a flow on, or let go of it: then it is tried at once. */
void
forwarder_redirected(struct forwarder *forwarder, struct addr agent,
                     const struct frame_status *status, uint64_t now_us)
{
    uint32_t handle = flow_index_find(&forwarder->flows, status->flow);
    struct forwarder_pin *pin;

    if (handle == FLOW_INDEX_NONE) {
        return;
    }
    pin = &forwarder->pins[handle];
    forwarder_update_rtt(forwarder, pin, agent, now_us);
    pin->holder = status->target;
    pin->queued = false;
    if (status->target.ip == 0 && is_certain_acceptor(pin) &&
        addr_equal(pin->acceptors[0].agent, agent)) {
        forwarder_reset(forwarder, handle, now_us);
        return;
    }
    if (acceptor_remove(pin, agent) || status->target.ip != 0) {
        return;
    }
    if (status->reason == FRAME_REASON_BUSY) {
        /* No room for what is late anyway; the caller's next copy may find
         * some. */
        pin->queued = true;
        pin->holder = agent;
        return;
    }
    if (pin->opened) {
        /* A chain ended without finding it: the next search asks others. */
        pin->lookup_below = pin->lookup_end;
    }
    else if (pin->acceptor_count == 0) {
        forwarder_try_next(forwarder, handle, pin->syn, pin->syn_size, now_us);
    }
}
