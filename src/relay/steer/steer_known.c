#include "relay/steer/steer_private.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

/* Chains of agents that a packet of a flow without a place goes along at
 * once, 64 agents in all. One after another, each costs a retransmission of
 * the caller's: 0.2 s, then 0.4 s more. The first packet goes along one: the
 * holder is nearly always among the 16 that rank highest, and whoever else
 * holds the flow says so when all are asked for lost flows, 10 ms later. With
 * four, a day of total loss at 46 agents had 140,000 datagrams a second on the
 * way, and earned 0.004 less. */
#define SEARCH_CHAINS_FIRST 1
#define SEARCH_CHAINS 4

/* How long a proof that nobody holds a flow is believed: while its caller
 * still sends what was on its way. Later its port may be used again, for a
 * flow that was opened through another balancer. */
#define OVER_KEPT_US (1 * USEC_PER_SEC)

/* Place whose bytes the packet acknowledges, or NULL. */
static const struct steer_place *
place_of(const struct steer_pin *pin, const struct relay_packet *packet)
{
    if (pin->place_count == 1) {
        return &pin->places[0];
    }
    for (unsigned i = 0; i < pin->place_count; i++) {
        if (packet->ack - pin->places[i].seq < STEER_SEQ_WINDOW) {
            return &pin->places[i];
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
 * search of a flow goes the other way round, and the third and fourth begin
 * in the middle: one dead agent hides a flow for one packet, not for good. */
static void
turn_round(struct agents_choice *choice, unsigned searches)
{
    unsigned half = choice->count / 2;

    if ((searches & 2) != 0) {
        reverse(choice->addrs, half);
        reverse(choice->addrs + half, choice->count - half);
        reverse(choice->addrs, choice->count);
    }
    if ((searches & 1) != 0) {
        reverse(choice->addrs, choice->count);
    }
}

/* Sends a packet along one chain of a service's agents that rank below
 * @below; false when there are no more. */
static bool
search_chain(struct steer *steer, const struct steer_pin *pin,
             const struct relay_packet *packet, uint32_t service,
             uint64_t *below)
{
    const struct route *route =
        routes_find(steer_routes_in_force(steer), packet->to);
    uint64_t hash = relay_flow_hash(relay_flow_from_caller(packet));
    struct agents_choice choice;
    struct frame_carry frame;

    if (route == NULL ||
        !agents_for_known(&steer->agents, service, &route->homes, hash,
                          pin->denied, below, &choice)) {
        return false;
    }
    put_first(&choice, pin->holder);
    turn_round(&choice, pin->searches);
    frame =
        steer_frame(steer, service, &choice, 1, packet->bytes, packet->size);
    steer->out->ops->carry(steer->out, choice.addrs[0], &frame);
    return true;
}

/* Sends a packet along up to @most chains of a service's agents; how many
 * there were. */
static unsigned
search_chains(struct steer *steer, const struct steer_pin *pin,
              const struct relay_packet *packet, uint32_t service,
              unsigned most, uint64_t *below)
{
    unsigned chains = 0;

    while (chains < most && search_chain(steer, pin, packet, service, below)) {
        chains++;
    }
    return chains;
}

/* Sends a packet along the agents of the flow's own service. */
static unsigned
search_own(struct steer *steer, struct steer_pin *pin,
           const struct relay_packet *packet)
{
    unsigned most = pin->searches == 0 ? SEARCH_CHAINS_FIRST : SEARCH_CHAINS;

    if (pin->denied) {
        pin->search_below = AGENTS_ALL;
    }
    pin->search_end = pin->search_below;
    return search_chains(steer, pin, packet, pin->service, most,
                         &pin->search_end);
}

/*
 * Sends a packet along the agents of another service, the next one with each
 * search: an address that has gone to another service leaves its open flows
 * where they are. Agents that know of the flow answer the question to all of
 * them before that; this is for those that have started beside an endpoint
 * that holds it.
 */
static void
search_other(struct steer *steer, struct steer_pin *pin,
             const struct relay_packet *packet, uint64_t now_us)
{
    const struct route *route =
        routes_find(steer_routes_in_force(steer), packet->to);
    uint64_t below = AGENTS_ALL;

    if ((pin->searches == 0 && !pin->denied) || route == NULL ||
        agents_count(&steer->agents) > STEER_ASK_AGENTS_MOST ||
        steer_is_settled(route, now_us)) {
        return;
    }
    pin->searched_service = agents_next_service(
        &steer->agents, pin->searched_service, pin->service);
    if (pin->searched_service != pin->service) {
        (void)search_chains(steer, pin, packet, pin->searched_service,
                            SEARCH_CHAINS, &below);
    }
}

/* Sends a packet of an open flow along the agents that may hold it. */
void
steer_search(struct steer *steer, uint32_t handle,
             const struct relay_packet *packet, uint64_t now_us)
{
    struct steer_pin *pin = &steer->pins[handle];
    unsigned chains = search_own(steer, pin, packet);

    if (chains == 0 && pin->search_below != AGENTS_ALL) {
        /* All were asked: some may know better by now. */
        pin->search_below = AGENTS_ALL;
        chains = search_own(steer, pin, packet);
    }
    search_other(steer, pin, packet, now_us);
    if (chains == 0 && !pin->denied) {
        steer_drop_packet(steer, STEER_DROP_NO_AGENT, packet);
        return;
    }
    pin->searches++;
    steer_lost_note(steer, handle, now_us);
    steer->out->ops->decided(steer->out, STEER_DID_SEARCH,
                             relay_flow_from_caller(packet), pin->holder,
                             pin->searches, now_us - pin->since_us);
}

/* An agent doesn't hold a flow that was placed there: its next packet looks
 * for it. False when it wasn't placed there. */
static bool
place_remove(struct steer_pin *pin, struct addr agent)
{
    for (unsigned i = 0; i < pin->place_count; i++) {
        if (addr_equal(pin->places[i].agent, agent)) {
            pin->places[i] = pin->places[--pin->place_count];
            return true;
        }
    }
    return false;
}

/* Whether the flow was open at its one place for certain: its caller has
 * acknowledged that endpoint's number, or the endpoint has sent packets of
 * it. */
static bool
is_sure(const struct steer_pin *pin)
{
    return pin->place_count == 1 &&
           (pin->places[0].seq == 0 ||
            pin->last_ack - pin->places[0].seq < STEER_SEQ_WINDOW);
}

void
steer_reset(struct steer *steer, uint32_t handle, uint64_t now_us)
{
    struct steer_pin *pin = &steer->pins[handle];
    struct relay_flow flow = flow_index_flow(&steer->flows, handle);

    /* Its caller learns it at once instead of by its timeout, and may try
     * anew. */
    steer->out->ops->reset(steer->out, flow, pin->last_ack);
    steer->out->ops->decided(steer->out, STEER_DID_RESET, flow,
                             pin->places[0].agent, 0, now_us - pin->since_us);
}

static bool
has_ended(const struct steer *steer, struct addr agent)
{
    const struct agent_row *row = agents_find(&steer->agents, agent);

    return row != NULL && row->health.state == ENDPOINT_GONE;
}

void
steer_carry_known(struct steer *steer, uint32_t handle,
                  const struct relay_packet *packet, uint64_t now_us)
{
    struct steer_pin *pin = &steer->pins[handle];
    const struct steer_place *place = place_of(pin, packet);

    pin->last_ack = packet->ack;
    pin->opened = true;
    if (pin->over_us != 0 && now_us - pin->over_us < OVER_KEPT_US) {
        steer_reset(steer, handle, now_us);
        return;
    }
    pin->over_us = 0;
    if (is_sure(pin) && has_ended(steer, pin->places[0].agent)) {
        steer_reset(steer, handle, now_us);
    }
    else if (place != NULL) {
        steer_carry_to(steer, pin, place->agent, packet);
    }
    else {
        steer_search(steer, handle, packet, now_us);
    }
}

static void
place_add(struct steer_pin *pin, struct addr agent, uint32_t seq)
{
    struct steer_place place = {agent, seq};

    for (unsigned i = 0; i < pin->place_count; i++) {
        if (addr_equal(pin->places[i].agent, agent)) {
            pin->places[i] = place;
            return;
        }
    }
    if (pin->place_count < STEER_PLACES_MAX) {
        pin->places[pin->place_count++] = place;
    }
    else {
        pin->places[STEER_PLACES_MAX - 1] = place;
    }
}

void
steer_placed(struct steer *steer, struct addr agent,
             const struct frame_status *status, uint64_t now_us)
{
    uint32_t handle = flow_index_find(&steer->flows, status->flow);
    struct steer_pin *pin;

    if (handle == FLOW_INDEX_NONE) {
        /* Its packets came here, or the agent wouldn't tell. */
        handle = steer_remember(steer, status->flow, status->health.service,
                                now_us);
    }
    pin = &steer->pins[handle];
    steer_note_trip(steer, pin, agent, now_us);
    place_add(pin, agent, status->seq);
    /* Its address may have gone to another service since it was opened. */
    pin->service = status->health.service;
    pin->denied = false;
    pin->over_us = 0;
    steer->out->ops->decided(steer->out, STEER_DID_PLACE, status->flow, agent,
                             pin->try_count, now_us - pin->since_us);
}

/* An agent sent a flow on, or let go of it: then it is tried at once. */
void
steer_passed(struct steer *steer, struct addr agent,
             const struct frame_status *status, uint64_t now_us)
{
    uint32_t handle = flow_index_find(&steer->flows, status->flow);
    struct steer_pin *pin;

    if (handle == FLOW_INDEX_NONE) {
        return;
    }
    pin = &steer->pins[handle];
    steer_note_trip(steer, pin, agent, now_us);
    pin->holder = status->target;
    pin->held = false;
    if (status->target.ip == 0 && is_sure(pin) &&
        addr_equal(pin->places[0].agent, agent)) {
        steer_reset(steer, handle, now_us);
        return;
    }
    if (place_remove(pin, agent) || status->target.ip != 0) {
        return;
    }
    if (status->reason == FRAME_REASON_BUSY) {
        /* No room for what is late anyway; the caller's next copy may find
         * some. */
        pin->held = true;
        pin->holder = agent;
        return;
    }
    if (pin->opened) {
        /* A chain ended without finding it: the next search asks others. */
        pin->search_below = pin->search_end;
    }
    else if (pin->place_count == 0) {
        steer_try_next(steer, handle, pin->syn, pin->syn_size, now_us);
    }
}
