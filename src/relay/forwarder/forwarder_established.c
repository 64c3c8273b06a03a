#include "relay/forwarder/forwarder_private.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

/* Lookup paths of a packet without a known acceptor, each with up to 16
 * agents: the first packet takes one, as the holder is most likely among the
 * 16 best-ranked agents, and an orphan query to all agents follows within 10
 * ms. With four from the first packet on, a loss of all of 46 agents' hosts
 * put 140,000 datagrams a second on the network. Later packets take four, as
 * each further packet costs the caller a retransmission timeout of 0.2 s, then
 * 0.4 s. */
#define LOOKUP_PATHS_FIRST 1
#define LOOKUP_PATHS 4

/* How long a proof that a flow has no holder is valid. Later the port may
 * belong to a new flow, opened through another balancer. */
#define PROOF_VALID_US (1 * USEC_PER_SEC)

/* How long a SYN may be refused. Its caller's first copy leaves after 200 ms,
 * maybe through another balancer, and the reset must be there before. */
#define REFUSE_MAX_US (150 * USEC_PER_MSEC)

/* Acceptor whose data the packet acknowledges, or NULL. */
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
move_to_front(struct agents_choice *choice, struct addr agent)
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

/* A lookup path ends silently at a dead agent. Every second lookup reverses
 * the path, and the third and fourth of each four begin in the middle, so that
 * a dead agent hides the holder from one packet only. */
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

/* Forwards a packet along one path of a service's agents that rank below
 * @below; false when there are none. */
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
    move_to_front(&choice, pin->holder);
    vary_order(&choice, pin->lookups);
    frame = forwarder_frame(forwarder, service, &choice, 1, packet->bytes,
                            packet->size);
    forwarder_set_request(forwarder, packet, &frame);
    forwarder->out->ops->forward(forwarder->out, choice.addrs[0], &frame);
    return true;
}

/* Forwards a packet along up to @max_paths paths and returns their number. */
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

/* Forwards a packet along the agents of the flow's own service. */
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

/* Forwards a packet along the agents of one other service, the next one in
 * each lookup: a flow stays with its endpoint when its address moves to
 * another service. Usually the holder answers the orphan query first; this
 * finds endpoints whose agents have restarted and don't track the flow. */
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

void
forwarder_lookup(struct forwarder *forwarder, uint32_t handle,
                 const struct relay_packet *packet, uint64_t now_us)
{
    struct forwarder_pin *pin = &forwarder->pins[handle];
    unsigned paths = lookup_own_service(forwarder, pin, packet);

    if (paths == 0 && pin->lookup_below != AGENTS_ALL) {
        /* All agents were tried: start again. */
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

/* Removes an acceptor that doesn't hold its flow, so that the next packet
 * starts a lookup; false if the agent wasn't an acceptor. */
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

/* Whether the flow is established at its only acceptor for certain: its caller
 * has acknowledged that endpoint's sequence number, or the endpoint has sent
 * packets of the flow. */
static bool
is_certain_acceptor(const struct forwarder_pin *pin)
{
    return pin->acceptor_count == 1 &&
           (pin->acceptors[0].seq == 0 ||
            pin->last_ack - pin->acceptors[0].seq < FORWARDER_SEQ_WINDOW);
}

void
forwarder_reset(struct forwarder *forwarder, uint32_t handle,
                enum forwarder_decision evidence, uint64_t age_us)
{
    struct forwarder_pin *pin = &forwarder->pins[handle];
    struct relay_flow flow = flow_index_flow(&forwarder->flows, handle);

    forwarder->out->ops->reset(forwarder->out, flow, pin->last_ack);
    forwarder->out->ops->decided(forwarder->out, evidence, flow,
                                 pin->acceptors[0].agent, 0, age_us);
}

/* The agent's row if its endpoint has ended, else NULL. */
static const struct agent_row *
ended_row(const struct forwarder *forwarder, struct addr agent)
{
    const struct agent_row *row = agents_find(&forwarder->agents, agent);

    return row != NULL && row->health.state == ENDPOINT_GONE ? row : NULL;
}

void
forwarder_forward_established(struct forwarder *forwarder, uint32_t handle,
                              const struct relay_packet *packet,
                              uint64_t now_us)
{
    struct forwarder_pin *pin = &forwarder->pins[handle];
    const struct forwarder_acceptor *acceptor = acceptor_of(pin, packet);
    const struct agent_row *ended;

    pin->last_ack = packet->ack;
    pin->opened = true;
    if (pin->proved_us != 0 && now_us - pin->proved_us < PROOF_VALID_US) {
        forwarder_reset(forwarder, handle, FORWARDER_DECISION_RESET_PROVEN,
                        now_us - pin->proved_us);
        return;
    }
    pin->proved_us = 0;
    ended = is_certain_acceptor(pin)
                ? ended_row(forwarder, pin->acceptors[0].agent)
                : NULL;
    if (ended != NULL) {
        forwarder_reset(forwarder, handle, FORWARDER_DECISION_RESET_ENDED,
                        now_us - ended->health_us);
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
        /* Agents only report flows whose packets passed through here. */
        handle = forwarder_remember(forwarder, status->flow,
                                    status->health.service, now_us);
    }
    pin = &forwarder->pins[handle];
    forwarder_update_rtt(forwarder, pin, agent, now_us);
    acceptor_add(pin, agent, status->seq);
    /* The address may have moved to another service since. */
    pin->service = status->health.service;
    pin->denied = false;
    pin->proved_us = 0;
    forwarder->out->ops->decided(forwarder->out, FORWARDER_DECISION_ESTABLISH,
                                 status->flow, agent, pin->try_count,
                                 now_us - pin->since_us);
}

/* Whether a report is of a SYN that no endpoint had room for. */
static bool
is_of_busy_syn(const struct frame_status *status)
{
    return status->target.ip == 0 && (status->reason == FRAME_REASON_BUSY ||
                                      status->reason == FRAME_REASON_FULL);
}

/* Whether a report is of a SYN, and so doesn't tell whether the endpoint holds
 * the flow: an agent that has restarted refuses a copy of a flow's SYN
 * although its endpoint has the flow open. */
static bool
is_of_syn(const struct frame_status *status)
{
    return status->reason != FRAME_REASON_REFUSED &&
           status->reason != FRAME_REASON_ABSENT;
}

/* Whether no endpoint holds the flow, nor will: each way that its SYN took has
 * ended at full endpoints. */
static bool
is_refused(const struct forwarder_pin *pin, uint64_t now_us)
{
    return !pin->copied && !pin->opened && pin->acceptor_count == 0 &&
           pin->full_count == pin->try_count &&
           now_us - pin->since_us < REFUSE_MAX_US;
}

/* Resets a flow that no endpoint has room for, so that its caller may try
 * again. */
static void
refuse_full(struct forwarder *forwarder, uint32_t handle, struct addr agent,
            uint64_t now_us)
{
    const struct forwarder_pin *pin = &forwarder->pins[handle];
    struct relay_flow flow = flow_index_flow(&forwarder->flows, handle);

    forwarder->out->ops->reset(forwarder->out, flow, 0);
    forwarder->out->ops->decided(forwarder->out, FORWARDER_DECISION_REFUSE,
                                 flow, agent, pin->try_count,
                                 now_us - pin->since_us);
    forwarder_forget(forwarder, handle);
}

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
    if (pin->opened && is_of_syn(status)) {
        /* A delayed copy. */
        return;
    }
    forwarder_update_rtt(forwarder, pin, agent, now_us);
    pin->holder = status->target;
    pin->queued = false;
    if (status->target.ip == 0 && status->reason == FRAME_REASON_ABSENT &&
        is_certain_acceptor(pin) &&
        addr_equal(pin->acceptors[0].agent, agent)) {
        forwarder_reset(forwarder, handle, FORWARDER_DECISION_RESET_ABSENT, 0);
        return;
    }
    if (acceptor_remove(pin, agent) || status->target.ip != 0) {
        return;
    }
    pin->full_count += status->reason == FRAME_REASON_FULL;
    if (status->reason == FRAME_REASON_FULL && is_refused(pin, now_us)) {
        refuse_full(forwarder, handle, agent, now_us);
        return;
    }
    if (is_of_busy_syn(status)) {
        /* No endpoint had room for this late SYN: leave it at this agent; the
         * caller's next copy may find room. */
        pin->queued = true;
        pin->holder = agent;
        return;
    }
    if (pin->opened) {
        /* A path ended without finding it: continue with the next agents. */
        pin->lookup_below = pin->lookup_end;
    }
    else if (pin->acceptor_count == 0) {
        forwarder_try_next(forwarder, handle, pin->syn, pin->syn_size, now_us);
    }
}
