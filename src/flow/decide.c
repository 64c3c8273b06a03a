/*
 * Decides for each packet whether this agent delivers it, opens its flow,
 * forwards it along the hop list, resets the caller or drops it.
 */
#include "flow/flow.h"

#include "flow/flow_private.h"
#include "flow/hop_list.h"

#define PROTO_TCP 6
#define PROTO_UDP 17

/* Half-open flows fill at most 1/4 of the table and datagram flows 1/2, so
 * that a flood of either evicts only flows of its own kind. */
#define HALF_OPEN_DIVISOR 4
#define DATAGRAM_DIVISOR 2

static struct flow_decision
forward_to_hop(const struct hop_list *hop_list)
{
    return (struct flow_decision){.verdict = FLOW_FORWARD,
                                  .gue = hop_list->gue};
}

static struct flow_decision
make_decision(enum flow_verdict verdict)
{
    return (struct flow_decision){.verdict = verdict};
}

static struct flow_decision
drop(enum packet_drop reason)
{
    return (struct flow_decision){.verdict = FLOW_DROP, .drop = reason};
}

static void
hop_list_begin(struct hop_list *hop_list, const struct flow_table *table,
               const struct packet *packet, const struct gue *gue,
               uint64_t now_us)
{
    hop_list->members = &table->members;
    hop_list->pins = &table->pins;
    hop_list->self = table->self;
    hop_list->now_us = now_us;
    hop_list->bucket = rank_bucket(packet_flow_hash(packet));
    hop_list_init(hop_list, gue);
}

static bool
is_syn(const struct packet *packet)
{
    return packet->proto == PROTO_TCP &&
           (packet->flags & (PACKET_TCP_SYN | PACKET_TCP_ACK)) ==
               PACKET_TCP_SYN;
}

/*
 * Whether a packet of a half-open flow belongs to this agent's handshake.
 * Another agent may have answered the same SYN with another sequence number.
 */
static bool
matches_handshake(const struct entry *entry, const struct packet *packet)
{
    if ((packet->flags & PACKET_TCP_ACK) != 0) {
        return entry->isn_known && packet->ack == entry->isn + 1;
    }
    return (packet->flags & PACKET_TCP_RST) != 0 &&
           packet->seq == entry->caller_isn + 1;
}

/* Whether the packet is delivered to the flow; updates the flow's state. */
static bool
accept_existing(struct flow_table *table, struct entry *entry,
                const struct packet *packet, uint64_t now_us)
{
    switch (entry->state) {
    case ENTRY_ESTABLISHED:
        return true;
    case ENTRY_DATAGRAM:
        entries_touch(&table->entries, entry, ENTRY_DATAGRAM, now_us);
        return true;
    default:
        break;
    }
    if (is_syn(packet)) {
        entries_touch(&table->entries, entry, ENTRY_HALF_OPEN, now_us);
        return true;
    }
    if (!matches_handshake(entry, packet)) {
        return false;
    }
    if ((packet->flags & PACKET_TCP_RST) == 0) {
        entries_touch(&table->entries, entry, ENTRY_ESTABLISHED, now_us);
    }
    return true;
}

/* Evicts the oldest flow if needed to make room for one of @state. Returns
 * false when the table holds established and datagram flows only. */
static bool
reserve_entry(struct flow_table *table, enum entry_state state)
{
    struct entries *entries = &table->entries;
    size_t divisor =
        state == ENTRY_HALF_OPEN ? HALF_OPEN_DIVISOR : DATAGRAM_DIVISOR;
    size_t bound = (entries->capacity + divisor - 1) / divisor;

    if (entries->lists[state].count >= bound) {
        entries_remove(entries, entries_oldest(entries, state));
    }
    else if (entries->used == entries->capacity) {
        struct entry *oldest = entries_oldest(entries, ENTRY_HALF_OPEN);

        if (oldest == NULL) {
            return false;
        }
        entries_remove(entries, oldest);
    }
    return true;
}

static struct flow_decision
open_new_flow(struct flow_table *table, const struct packet *packet,
              uint64_t now_us)
{
    enum entry_state state =
        packet->proto == PROTO_UDP ? ENTRY_DATAGRAM : ENTRY_HALF_OPEN;
    struct entry *entry = NULL;

    if (reserve_entry(table, state)) {
        entry = entries_add(&table->entries, packet, table->service, state,
                            now_us);
    }
    if (entry == NULL) {
        return drop(PACKET_NO_ENDPOINT);
    }
    registrar_mark(&table->registrar, entry->bucket);
    return make_decision(FLOW_OPEN);
}

static bool
may_open(const struct flow_table *table)
{
    const struct entries *entries = &table->entries;

    return table->accept && entries->lists[ENTRY_ESTABLISHED].count +
                                    entries->lists[ENTRY_DATAGRAM].count <
                                entries->capacity;
}

/*
 * Whether an agent of an earlier incarnation is not dead, in any state. It may
 * not have this agent in its view yet and would reset this agent's flows.
 */
static bool
has_older_agent(const struct flow_table *table)
{
    const struct members *members = &table->members;
    const struct member_copy *self = members_find(members, table->self);
    size_t i;

    for (i = 0; self != NULL && i < members->count; i++) {
        const struct member_copy *member = &members->items[i];

        if (member->health != MEMBER_DEAD &&
            member->incarnation + FLOW_START_DELAY_US < self->incarnation) {
            return true;
        }
    }
    return false;
}

static bool
is_start_delayed(const struct flow_table *table, uint64_t now_us)
{
    return now_us < table->start_delay_until_us && has_older_agent(table);
}

/*
 * Decides on a SYN. When no agent accepts it, it is dropped and not reset:
 * draining, full and newly started agents are temporary, and the caller
 * retransmits.
 */
static struct flow_decision
decide_open(struct flow_table *table, const struct packet *packet,
            const struct gue *gue, uint64_t now_us)
{
    struct hop_list hop_list;

    if (may_open(table) && (gue->flags & GUE_OPEN) != 0 &&
        !is_start_delayed(table, now_us)) {
        return open_new_flow(table, packet, now_us);
    }
    hop_list_begin(&hop_list, table, packet, gue, now_us);
    hop_list_keep_accepting(&hop_list);
    if (hop_list_advance(&hop_list)) {
        return forward_to_hop(&hop_list);
    }
    hop_list_append(&hop_list, true);
    if (hop_list_advance(&hop_list)) {
        return forward_to_hop(&hop_list);
    }
    return drop(PACKET_NO_ENDPOINT);
}

/* Rate limit: forged packets also cause continuations, which cost hops. */
static bool
may_continue_list(struct flow_table *table, uint64_t now_us)
{
    uint64_t filled = (now_us - table->continuation_tokens_us) *
                      FLOW_CONTINUATIONS_PER_S / USEC_PER_SEC;

    if (now_us < table->continuation_tokens_us) {
        return false;
    }
    if (filled > 0) {
        table->continuation_tokens += filled;
        table->continuation_tokens_us = now_us;
    }
    if (table->continuation_tokens > FLOW_CONTINUATIONS_PER_S) {
        table->continuation_tokens = FLOW_CONTINUATIONS_PER_S;
    }
    if (table->continuation_tokens == 0) {
        return false;
    }
    table->continuation_tokens--;
    return true;
}

/* No agent on the hop list has the flow: resets or drops the packet. */
static struct flow_decision
decide_exhausted(const struct flow_table *table, const struct packet *packet,
                 const struct hop_list *hop_list, bool unlisted,
                 uint64_t now_us)
{
    bool pins_complete =
        now_us >= table->members.joined_us + FLOW_JOIN_GRACE_US;

    if ((packet->flags & PACKET_TCP_RST) != 0 || is_syn(packet)) {
        return drop(PACKET_HOP_LIMIT);
    }
    if ((hop_list->gue.flags & GUE_SUSPECTS) != 0 || table->members.suspects) {
        return drop(PACKET_HOP_LIMIT);
    }
    /* The view of a newly started agent may lack members. */
    if (now_us < table->start_delay_until_us && !pins_complete) {
        return drop(PACKET_HOP_LIMIT);
    }
    /* Some agents were not on the list. Only complete pins show that they
     * do not own the flow. */
    if (unlisted && !pins_complete) {
        return drop(PACKET_HOP_LIMIT);
    }
    return make_decision(FLOW_RESET);
}

static struct flow_decision
decide_existing(struct flow_table *table, const struct packet *packet,
                const struct gue *gue, uint64_t now_us)
{
    struct hop_list hop_list;
    bool unlisted;

    hop_list_begin(&hop_list, table, packet, gue, now_us);
    if (hop_list_continuations(&hop_list) == 0) {
        hop_list_merge(&hop_list);
    }
    if (hop_list_order(&hop_list) && hop_list_advance(&hop_list)) {
        return forward_to_hop(&hop_list);
    }
    unlisted = hop_list_append(&hop_list, false);
    if (hop_list_advance(&hop_list)) {
        return forward_to_hop(&hop_list);
    }
    if (unlisted &&
        hop_list_continuations(&hop_list) < FLOW_CONTINUATIONS_MAX &&
        may_continue_list(table, now_us)) {
        hop_list_continue(&hop_list);
        if (hop_list_advance(&hop_list)) {
            return forward_to_hop(&hop_list);
        }
    }
    return decide_exhausted(table, packet, &hop_list, unlisted, now_us);
}

/* The list found no owner of the datagram: on a second pass, the first agent
 * that accepts flows opens one. */
static struct flow_decision
decide_datagram_open(struct flow_table *table, const struct packet *packet,
                     struct hop_list *hop_list, uint64_t now_us)
{
    if (may_open(table)) {
        return open_new_flow(table, packet, now_us);
    }
    hop_list_keep_accepting(hop_list);
    return hop_list_advance(hop_list) ? forward_to_hop(hop_list)
                                      : drop(PACKET_NO_ENDPOINT);
}

static struct flow_decision
decide_datagram(struct flow_table *table, const struct packet *packet,
                const struct gue *gue, uint64_t now_us)
{
    struct hop_list hop_list;

    hop_list_begin(&hop_list, table, packet, gue, now_us);
    if ((gue->flags & FLOW_GUE_OPEN_NOW) != 0) {
        return decide_datagram_open(table, packet, &hop_list, now_us);
    }
    hop_list_merge(&hop_list);
    if (hop_list_order(&hop_list) && hop_list_advance(&hop_list)) {
        return forward_to_hop(&hop_list);
    }
    hop_list_append(&hop_list, false);
    if (hop_list_advance(&hop_list)) {
        return forward_to_hop(&hop_list);
    }
    hop_list.gue.flags |= FLOW_GUE_OPEN_NOW;
    hop_list.gue.index = 0;
    if (hop_list.gue.hops[0].member == table->self) {
        return decide_datagram_open(table, packet, &hop_list, now_us);
    }
    return forward_to_hop(&hop_list);
}

/* Forwards or drops a packet of a service that this agent does not serve. */
static struct flow_decision
decide_other_service(const struct flow_table *table,
                     const struct packet *packet, const struct gue *gue,
                     uint64_t now_us)
{
    struct hop_list hop_list;

    hop_list_begin(&hop_list, table, packet, gue, now_us);
    return hop_list_advance(&hop_list) ? forward_to_hop(&hop_list)
                                       : drop(PACKET_NO_SERVICE);
}

struct flow_decision
flow_decide(struct flow_table *table, const struct packet *packet,
            const struct gue *gue, uint64_t now_us)
{
    struct entry *entry = entries_find(&table->entries, packet);

    table->now_us = now_us;
    if (gue->service == 0 || gue->count == 0) {
        return drop(PACKET_NO_SERVICE);
    }
    if (entry != NULL && entry->service == gue->service &&
        accept_existing(table, entry, packet, now_us)) {
        return make_decision(FLOW_DELIVER);
    }
    if (gue->service != table->service ||
        (entry != NULL && entry->service != gue->service)) {
        return decide_other_service(table, packet, gue, now_us);
    }
    if (packet->proto == PROTO_UDP) {
        return decide_datagram(table, packet, gue, now_us);
    }
    if (is_syn(packet)) {
        return decide_open(table, packet, gue, now_us);
    }
    return decide_existing(table, packet, gue, now_us);
}
