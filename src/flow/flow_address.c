#include "flow/flow_address.h"

#define PROTO_UDP 17

static struct flow_decision
drop(enum packet_drop reason)
{
    return (struct flow_decision){.verdict = FLOW_DROP, .drop = reason};
}

static struct flow_decision
forward_to_next(const struct gue *gue)
{
    struct flow_decision decision = {.verdict = FLOW_FORWARD, .gue = *gue};

    if (gue->index + 1 >= gue->count) {
        return drop(PACKET_NO_SERVICE);
    }
    decision.gue.index++;
    return decision;
}

static bool
is_syn(const struct packet *packet)
{
    return (packet->flags & (PACKET_TCP_SYN | PACKET_TCP_ACK)) ==
           PACKET_TCP_SYN;
}

/* Drops a datagram to a retired address when no agent on its list has its
 * flow, which shows in the decision to open one. */
static struct flow_decision
decide_retired_datagram(struct flow_table *table, const struct packet *packet,
                        const struct gue *gue,
                        const struct flow_decision *decision)
{
    if (decision->verdict == FLOW_OPEN) {
        flow_close(table, packet);
        return drop(PACKET_NO_ENDPOINT);
    }
    if (decision->verdict == FLOW_FORWARD &&
        (decision->gue.flags & FLOW_GUE_OPEN_NOW) != 0 &&
        (gue->flags & FLOW_GUE_OPEN_NOW) == 0) {
        return drop(PACKET_NO_ENDPOINT);
    }
    return *decision;
}

static struct flow_decision
decide_retired(struct flow_table *table, const struct packet *packet,
               const struct gue *gue, uint64_t now_us)
{
    struct gue closed = *gue;
    struct flow_decision decision;

    closed.flags &= (uint8_t)~GUE_OPEN;
    decision = flow_decide(table, packet, &closed, now_us);
    if (packet->proto == PROTO_UDP) {
        return decide_retired_datagram(table, packet, gue, &decision);
    }
    if (decision.verdict == FLOW_DROP && is_syn(packet)) {
        return (struct flow_decision){.verdict = FLOW_RESET};
    }
    return decision;
}

static struct flow_decision
decide_expired(struct flow_table *table, const struct packet *packet,
               const struct gue *gue, uint64_t now_us)
{
    struct flow_decision decision = decide_retired(table, packet, gue, now_us);

    return decision.verdict == FLOW_RESET ? drop(PACKET_NO_SERVICE) : decision;
}

struct flow_decision
flow_address_decide(struct flow_table *table, enum flow_address address,
                    const struct packet *packet, const struct gue *gue,
                    uint64_t now_us)
{
    switch (address) {
    case FLOW_ADDRESS_CURRENT:
        return flow_decide(table, packet, gue, now_us);
    case FLOW_ADDRESS_RETIRED:
        return decide_retired(table, packet, gue, now_us);
    case FLOW_ADDRESS_EXPIRED:
        return decide_expired(table, packet, gue, now_us);
    default:
        return forward_to_next(gue);
    }
}
