#include "flow/flow.h"

#include "flow/flow_private.h"
#include "flow/walk.h"

#define PROTO_TCP 6
#define PROTO_UDP 17

/* A flood of openings or of datagrams displaces only its own kind. */
#define EMBRYO_SHARE 4
#define DATAGRAM_SHARE 2

static struct flow_decision
pass_on(const struct walk *walk)
{
    return (struct flow_decision){.verdict = FLOW_PASS, .gue = walk->gue};
}

static struct flow_decision
take(enum flow_verdict verdict)
{
    return (struct flow_decision){.verdict = verdict};
}

static struct flow_decision
drop(enum packet_drop reason)
{
    return (struct flow_decision){.verdict = FLOW_DROP, .drop = reason};
}

static void
walk_begin(struct walk *walk, const struct flow_table *table,
           const struct packet *packet, const struct gue *gue, uint64_t now_us)
{
    walk->members = &table->members;
    walk->pins = &table->pins;
    walk->self = table->self;
    walk->now_us = now_us;
    walk->bucket = rank_bucket(packet_flow_hash(packet));
    walk_init(walk, gue);
}

static bool
is_open(const struct packet *packet)
{
    return packet->proto == PROTO_TCP &&
           (packet->flags & (PACKET_TCP_SYN | PACKET_TCP_ACK)) ==
               PACKET_TCP_SYN;
}

/*
 * Whether an embryo's packet proves that the caller talks to us: another
 * agent may have answered the same SYN, with another sequence number.
 */
static bool
acknowledges(const struct entry *entry, const struct packet *packet)
{
    if ((packet->flags & PACKET_TCP_ACK) != 0) {
        return entry->answered && packet->ack == entry->isn + 1;
    }
    return (packet->flags & PACKET_TCP_RST) != 0 &&
           packet->seq == entry->caller_isn + 1;
}

/* Whether a known flow takes the packet. */
static bool
take_known(struct flow_table *table, struct entry *entry,
           const struct packet *packet, uint64_t now_us)
{
    switch (entry->state) {
    case ENTRY_ESTABLISHED:
        return true;
    case ENTRY_DATAGRAM:
        entries_use(&table->entries, entry, ENTRY_DATAGRAM, now_us);
        return true;
    default:
        break;
    }
    if (is_open(packet)) {
        entries_use(&table->entries, entry, ENTRY_EMBRYO, now_us);
        return true;
    }
    if (!acknowledges(entry, packet)) {
        return false;
    }
    if ((packet->flags & PACKET_TCP_RST) == 0) {
        entries_use(&table->entries, entry, ENTRY_ESTABLISHED, now_us);
    }
    return true;
}

/* Makes room for one more entry of @state; false when there is none. */
static bool
make_room(struct flow_table *table, enum entry_state state)
{
    struct entries *entries = &table->entries;
    size_t share = state == ENTRY_EMBRYO ? EMBRYO_SHARE : DATAGRAM_SHARE;
    size_t bound = (entries->capacity + share - 1) / share;

    if (entries->lists[state].count >= bound) {
        entries_remove(entries, entries_oldest(entries, state));
    }
    else if (entries->used == entries->capacity) {
        struct entry *embryo = entries_oldest(entries, ENTRY_EMBRYO);

        if (embryo == NULL) {
            return false;
        }
        entries_remove(entries, embryo);
    }
    return true;
}

static struct flow_decision
open_here(struct flow_table *table, const struct packet *packet,
          uint64_t now_us)
{
    enum entry_state state =
        packet->proto == PROTO_UDP ? ENTRY_DATAGRAM : ENTRY_EMBRYO;
    struct entry *entry = NULL;

    if (make_room(table, state)) {
        entry = entries_add(&table->entries, packet, table->service, state,
                            now_us);
    }
    if (entry == NULL) {
        return drop(PACKET_NO_ENDPOINT);
    }
    registrar_mark(&table->registrar, entry->bucket);
    return take(FLOW_OPEN);
}

static bool
may_open(const struct flow_table *table)
{
    const struct entries *entries = &table->entries;

    return table->accept && entries->lists[ENTRY_ESTABLISHED].count +
                                    entries->lists[ENTRY_DATAGRAM].count <
                                entries->capacity;
}

/* An older agent in whatever state: it may not have heard of us yet, and
 * reset what we own. At a cold start there is none. */
static bool
has_elder(const struct flow_table *table)
{
    const struct members *members = &table->members;
    const struct member_copy *self = members_find(members, table->self);
    size_t i;

    for (i = 0; self != NULL && i < members->count; i++) {
        const struct member_copy *member = &members->items[i];

        if (member->health != MEMBER_DEAD &&
            member->incarnation + FLOW_HOLD_US < self->incarnation) {
            return true;
        }
    }
    return false;
}

static bool
is_held(const struct flow_table *table, uint64_t now_us)
{
    return now_us < table->hold_until_us && has_elder(table);
}

/*
 * A packet that opens a flow. When nobody takes it, it is dropped rather
 * than reset: draining, full and new are states that pass, and the caller's
 * retransmission finds another list.
 */
static struct flow_decision
decide_open(struct flow_table *table, const struct packet *packet,
            const struct gue *gue, uint64_t now_us)
{
    struct walk walk;

    if (may_open(table) && (gue->flags & GUE_OPEN) != 0 &&
        !is_held(table, now_us)) {
        return open_here(table, packet, now_us);
    }
    walk_begin(&walk, table, packet, gue, now_us);
    walk_keep_openers(&walk);
    if (walk_step(&walk)) {
        return pass_on(&walk);
    }
    walk_append(&walk, true);
    if (walk_step(&walk)) {
        return pass_on(&walk);
    }
    return drop(PACKET_NO_ENDPOINT);
}

/* Continuations cost hops, and forged packets ask for them too. */
static bool
stage_allowed(struct flow_table *table, uint64_t now_us)
{
    uint64_t filled =
        (now_us - table->stages_us) * FLOW_STAGES_PER_S / USEC_PER_SEC;

    if (now_us < table->stages_us) {
        return false;
    }
    if (filled > 0) {
        table->stages += filled;
        table->stages_us = now_us;
    }
    if (table->stages > FLOW_STAGES_PER_S) {
        table->stages = FLOW_STAGES_PER_S;
    }
    if (table->stages == 0) {
        return false;
    }
    table->stages--;
    return true;
}

/* Nobody that was asked knows the flow. */
static struct flow_decision
decide_exhausted(const struct flow_table *table, const struct packet *packet,
                 const struct walk *walk, bool rest, uint64_t now_us)
{
    bool settled = now_us >= table->members.joined_us + FLOW_SETTLE_US;

    if ((packet->flags & PACKET_TCP_RST) != 0 || is_open(packet)) {
        return drop(PACKET_HOP_LIMIT);
    }
    if ((walk->gue.flags & GUE_SUSPECTS) != 0 || table->members.suspects) {
        return drop(PACKET_HOP_LIMIT);
    }
    /* A newcomer may not have heard of all members yet. */
    if (now_us < table->hold_until_us && !settled) {
        return drop(PACKET_HOP_LIMIT);
    }
    /* Not all were asked: only pins tell that the others own nothing. */
    if (rest && !settled) {
        return drop(PACKET_HOP_LIMIT);
    }
    return take(FLOW_RESET);
}

static struct flow_decision
decide_walk(struct flow_table *table, const struct packet *packet,
            const struct gue *gue, uint64_t now_us)
{
    struct walk walk;
    bool rest;

    walk_begin(&walk, table, packet, gue, now_us);
    if (walk_stage(&walk) == 0) {
        walk_merge(&walk);
    }
    if (walk_order(&walk) && walk_step(&walk)) {
        return pass_on(&walk);
    }
    rest = walk_append(&walk, false);
    if (walk_step(&walk)) {
        return pass_on(&walk);
    }
    if (rest && walk_stage(&walk) < FLOW_STAGES_MAX &&
        stage_allowed(table, now_us)) {
        walk_continue(&walk);
        if (walk_step(&walk)) {
            return pass_on(&walk);
        }
    }
    return decide_exhausted(table, packet, &walk, rest, now_us);
}

/* The second round of a datagram without an owner: the first to take it. */
static struct flow_decision
decide_datagram_open(struct flow_table *table, const struct packet *packet,
                     struct walk *walk, uint64_t now_us)
{
    if (may_open(table)) {
        return open_here(table, packet, now_us);
    }
    walk_keep_openers(walk);
    return walk_step(walk) ? pass_on(walk) : drop(PACKET_NO_ENDPOINT);
}

static struct flow_decision
decide_datagram(struct flow_table *table, const struct packet *packet,
                const struct gue *gue, uint64_t now_us)
{
    struct walk walk;

    walk_begin(&walk, table, packet, gue, now_us);
    if ((gue->flags & FLOW_GUE_OPEN_NOW) != 0) {
        return decide_datagram_open(table, packet, &walk, now_us);
    }
    walk_merge(&walk);
    if (walk_order(&walk) && walk_step(&walk)) {
        return pass_on(&walk);
    }
    walk_append(&walk, false);
    if (walk_step(&walk)) {
        return pass_on(&walk);
    }
    walk.gue.flags |= FLOW_GUE_OPEN_NOW;
    walk.gue.index = 0;
    if (walk.gue.hops[0].member == table->self) {
        return decide_datagram_open(table, packet, &walk, now_us);
    }
    return pass_on(&walk);
}

/* A packet for another service than ours is never taken here. */
static struct flow_decision
decide_foreign(const struct flow_table *table, const struct packet *packet,
               const struct gue *gue, uint64_t now_us)
{
    struct walk walk;

    walk_begin(&walk, table, packet, gue, now_us);
    return walk_step(&walk) ? pass_on(&walk) : drop(PACKET_NO_SERVICE);
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
        take_known(table, entry, packet, now_us)) {
        return take(FLOW_TAKE);
    }
    if (gue->service != table->service ||
        (entry != NULL && entry->service != gue->service)) {
        return decide_foreign(table, packet, gue, now_us);
    }
    if (packet->proto == PROTO_UDP) {
        return decide_datagram(table, packet, gue, now_us);
    }
    if (is_open(packet)) {
        return decide_open(table, packet, gue, now_us);
    }
    return decide_walk(table, packet, gue, now_us);
}
