#include <string.h>

#include <glib.h>

#include "base/addr.h"
#include "control/member_internal.h"

static void
shuffle(struct member_core *core)
{
    core->probe_count = 0;
    core->probe_next = 0;
    for (size_t i = 0; i < core->count; i++)
        core->probe_order[core->probe_count++] = core->order[i];
    for (size_t i = core->probe_count; i > 1; i--) {
        size_t j = random_below(&core->random, i);
        uint16_t slot = core->probe_order[i - 1];

        core->probe_order[i - 1] = core->probe_order[j];
        core->probe_order[j] = slot;
    }
}

/* Next member of the permutation that isn't dead, or NULL. */
static struct member_entry *
next_target(struct member_core *core)
{
    for (size_t pass = 0; pass < 2; pass++) {
        while (core->probe_next < core->probe_count) {
            uint16_t slot = core->probe_order[core->probe_next++];
            struct member_entry *entry = &core->entries[slot];

            if (slot != core->self && entry->member.id != 0 &&
                entry->member.health != MEMBER_DEAD)
                return entry;
        }
        shuffle(core);
    }
    return NULL;
}

/* A ping carries the target's suspicion, so that it can refute it. */
static void
send_ping(struct member_core *core, struct member_entry *entry, uint32_t seq,
          uint64_t now_us, struct member_actions *out)
{
    struct member_msg *msg =
        member_send(core, MEMBER_PING, entry->member.control, now_us, out);
    bool include_entry = entry->member.health != MEMBER_ALIVE;

    msg->target = entry->member.id;
    msg->seq = seq;
    member_attach(core, msg, include_entry ? entry : NULL, now_us);
}

/* The live member with the next higher id, cyclically, or NULL. */
static struct member_entry *
successor(struct member_core *core)
{
    uint64_t self = member_self(core)->member.id;
    size_t own = 0;

    while (core->entries[core->order[own]].member.id != self)
        own++;
    for (size_t i = 1; i < core->count; i++) {
        uint16_t slot = core->order[(own + i) % core->count];

        if (core->entries[slot].member.health == MEMBER_ALIVE)
            return &core->entries[slot];
    }
    return NULL;
}

static void
start_probe(struct member_core *core, struct member_probe *probe,
            struct member_entry *entry, uint64_t now_us,
            struct member_actions *out)
{
    probe->active = true;
    probe->target = entry->member.id;
    probe->incarnation = entry->member.incarnation;
    probe->seq = ++core->next_seq;
    probe->start_us = now_us;
    probe->resend_us = now_us + MEMBER_RESEND_US;
    probe->indirect_sent = false;
    core->stats.probes++;
    send_ping(core, entry, probe->seq, now_us, out);
}

static void
start_probes(struct member_core *core, uint64_t now_us,
             struct member_actions *out)
{
    struct member_entry *first = next_target(core);
    struct member_entry *second = successor(core);

    if (first != NULL)
        start_probe(core, &core->probes[0], first, now_us, out);
    if (second != NULL && second != first)
        start_probe(core, &core->probes[1], second, now_us, out);
}

static void
fail_probe(struct member_core *core, struct member_probe *probe,
           uint64_t now_us)
{
    struct member_entry *entry = member_lookup(core, probe->target);

    probe->active = false;
    core->stats.failed_probes++;
    if (entry == NULL || entry->member.health != MEMBER_ALIVE ||
        entry->member.incarnation != probe->incarnation)
        return;
    core->stats.suspicions++;
    member_worsen_health(core, entry, MEMBER_SUSPECT, now_us);
}

static void
send_ping_reqs(struct member_core *core, struct member_probe *probe,
               uint64_t now_us, struct member_actions *out)
{
    uint64_t asked[MEMBER_INDIRECT_PROBES];
    size_t count = 0;

    probe->indirect_sent = true;
    for (size_t i = 0;
         i < 2 * MEMBER_INDIRECT_PROBES && count < MEMBER_INDIRECT_PROBES;
         i++) {
        const struct member_entry *helper = member_random_alive(core);
        struct member_msg *msg;
        bool duplicate = false;

        if (helper == NULL)
            return;
        for (size_t j = 0; j < count; j++)
            duplicate |= asked[j] == helper->member.id;
        if (duplicate || helper->member.id == probe->target)
            continue;
        asked[count++] = helper->member.id;
        msg = member_send(core, MEMBER_PING_REQ, helper->member.control,
                          now_us, out);
        msg->target = probe->target;
        msg->seq = probe->seq;
        member_attach(core, msg, NULL, now_us);
    }
}

static void
continue_probe(struct member_core *core, struct member_probe *probe,
               uint64_t now_us, struct member_actions *out)
{
    struct member_entry *entry = member_lookup(core, probe->target);

    if (entry == NULL) {
        probe->active = false;
        return;
    }
    /* Confirmers ping a suspect again: see member_expire(). */
    if (entry->member.health != MEMBER_ALIVE) {
        probe->indirect_sent = true;
        probe->resend_us = core->period_us;
        return;
    }
    if (now_us >= probe->resend_us) {
        probe->resend_us = now_us + MEMBER_RESEND_US;
        send_ping(core, entry, probe->seq, now_us, out);
    }
    if (!probe->indirect_sent &&
        now_us >= probe->start_us + MEMBER_INDIRECT_DELAY_US)
        send_ping_reqs(core, probe, now_us, out);
}

static void
tick_relays(struct member_core *core, uint64_t now_us,
            struct member_actions *out)
{
    for (size_t i = 0; i < MEMBER_RELAYS_MAX; i++) {
        struct member_relay *relay = &core->relays[i];
        struct member_entry *entry;

        if (relay->tries_left == 0 || now_us < relay->resend_us)
            continue;
        relay->tries_left--;
        relay->resend_us = now_us + MEMBER_RESEND_US;
        entry = member_lookup(core, relay->target);
        if (entry != NULL && relay->tries_left > 0)
            send_ping(core, entry, relay->seq, now_us, out);
    }
}

/* After a long partition a dead member may be back without this one in its
 * list. */
static void
probe_dead(struct member_core *core, uint64_t now_us,
           struct member_actions *out)
{
    size_t first;

    if (now_us < core->dead_probe_us)
        return;
    core->dead_probe_us =
        now_us + random_between(&core->random, MEMBER_DEAD_PROBE_US / 2,
                                MEMBER_DEAD_PROBE_US * 3 / 2);
    first = random_below(&core->random, core->entry_count);
    for (size_t i = 0; i < core->entry_count; i++) {
        size_t slot = (first + i) % core->entry_count;
        struct member_entry *entry = &core->entries[slot];

        if (entry->member.id == 0 || entry->left_cleanly ||
            entry->member.health != MEMBER_DEAD)
            continue;
        send_ping(core, entry, ++core->next_seq, now_us, out);
        return;
    }
}

void
member_probe_stop(struct member_core *core, uint64_t now_us)
{
    memset(core->probes, 0, sizeof(core->probes));
    memset(core->relays, 0, sizeof(core->relays));
    core->period_us = now_us;
}

static void
end_period(struct member_core *core, uint64_t now_us,
           struct member_actions *out)
{
    /* If the timer runs late, an ACK may be unread: don't judge. */
    bool late = now_us >= core->period_us + MEMBER_TICK_DELAY_MAX_US;

    for (size_t i = 0; i < MEMBER_PROBES; i++) {
        if (core->probes[i].active && !late)
            fail_probe(core, &core->probes[i], now_us);
        core->probes[i].active = false;
    }
    if (late)
        core->stats.late_periods++;
    core->period_us += MEMBER_PERIOD_US;
    if (core->period_us <= now_us)
        core->period_us = now_us + MEMBER_PERIOD_US;
    start_probes(core, now_us, out);
    probe_dead(core, now_us, out);
}

void
member_probe_tick(struct member_core *core, uint64_t now_us,
                  struct member_actions *out)
{
    tick_relays(core, now_us, out);
    if (now_us >= core->period_us) {
        end_period(core, now_us, out);
        return;
    }
    for (size_t i = 0; i < MEMBER_PROBES; i++) {
        if (core->probes[i].active)
            continue_probe(core, &core->probes[i], now_us, out);
    }
}

/* Whether the message has an update on this process: suspect or dead. */
static bool
mentions_self(const struct member_core *core, const struct member_msg *msg)
{
    uint64_t self = core->entries[core->self].member.id;

    for (size_t i = 0; i < msg->update_count; i++) {
        if (msg->updates[i].member.id == self)
            return true;
    }
    return false;
}

static void
receive_ping(struct member_core *core, const struct member_msg *msg,
             struct addr from, uint64_t now_us, struct member_actions *out)
{
    struct member_entry *self = member_self(core);
    struct member_entry *first = member_lookup(core, msg->from);
    bool mine = msg->target == self->member.id;
    struct member_msg *reply;

    /* A refutation goes first, before a suspicion of the sender. It is sent
     * even if it is no longer pending: this sender hasn't received it. */
    if (first != NULL && first->member.health == MEMBER_ALIVE)
        first = NULL;
    if (self->urgent || mentions_self(core, msg))
        first = self;
    reply = member_send(core, mine ? MEMBER_ACK : MEMBER_WRONG_TARGET, from,
                        now_us, out);
    reply->target = msg->target;
    reply->seq = msg->seq;
    member_attach(core, reply, first, now_us);
}

static void
receive_ping_req(struct member_core *core, const struct member_msg *msg,
                 struct addr from, uint64_t now_us, struct member_actions *out)
{
    struct member_entry *entry = member_lookup(core, msg->target);
    struct member_relay *relay = NULL;

    for (size_t i = 0; i < MEMBER_RELAYS_MAX && relay == NULL; i++) {
        if (core->relays[i].tries_left == 0)
            relay = &core->relays[i];
    }
    if (entry == NULL || relay == NULL || entry == member_self(core))
        return;
    relay->target = msg->target;
    relay->seq = ++core->next_seq;
    relay->requester = from;
    relay->requester_seq = msg->seq;
    relay->resend_us = now_us + MEMBER_RESEND_US;
    relay->tries_left = MEMBER_RELAY_TRIES;
    send_ping(core, entry, relay->seq, now_us, out);
}

static void
relay_ack(struct member_core *core, const struct member_msg *msg,
          uint64_t now_us, struct member_actions *out)
{
    for (size_t i = 0; i < MEMBER_RELAYS_MAX; i++) {
        struct member_relay *relay = &core->relays[i];
        struct member_msg *reply;

        if (relay->tries_left == 0 || relay->seq != msg->seq ||
            relay->target != msg->target)
            continue;
        relay->tries_left = 0;
        reply = member_send(core, MEMBER_ACK, relay->requester, now_us, out);
        reply->target = relay->target;
        reply->seq = relay->requester_seq;
        member_attach(core, reply, NULL, now_us);
    }
}

static void
receive_ack(struct member_core *core, const struct member_msg *msg,
            uint64_t now_us, struct member_actions *out)
{
    for (size_t i = 0; i < MEMBER_PROBES; i++) {
        if (core->probes[i].seq == msg->seq &&
            core->probes[i].target == msg->target)
            core->probes[i].active = false;
    }
    relay_ack(core, msg, now_us, out);
}

/* Another process uses the address of @target: proof of its death. */
static void
receive_wrong_target(struct member_core *core, const struct member_msg *msg,
                     struct addr from, uint64_t now_us)
{
    const struct member_entry *entry = member_lookup(core, msg->target);

    if (entry != NULL && addr_equal(entry->member.control, from))
        member_proven_dead(core, msg->target, entry->member.incarnation,
                           now_us);
}

void
member_probe_receive(struct member_core *core, const struct member_msg *msg,
                     struct addr from, uint64_t now_us,
                     struct member_actions *out)
{
    switch (msg->kind) {
    case MEMBER_PING:
        receive_ping(core, msg, from, now_us, out);
        break;
    case MEMBER_PING_REQ:
        receive_ping_req(core, msg, from, now_us, out);
        break;
    case MEMBER_ACK:
        receive_ack(core, msg, now_us, out);
        break;
    case MEMBER_WRONG_TARGET:
        receive_wrong_target(core, msg, from, now_us);
        break;
    default:
        break;
    }
}
