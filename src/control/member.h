/**
 * DOC: member - membership of a cell (SWIM)
 *
 * Each member probes two others per MEMBER_PERIOD_US: the next of a random
 * permutation, and its successor in the order of ids, so that each member is
 * probed in every period by the same one. It pings them directly, then through
 * MEMBER_INDIRECT_PROBES others. A failed probe makes the target a suspect,
 * which is pushed at once, so that it gets no new flows. A member is declared
 * dead only on proof (connection refused, clean leave) or after
 * MEMBER_CONFIRM_US without a refutation, which covers a freeze of 5 s and the
 * time that a refutation takes through the cell. The MEMBER_CONFIRMERS
 * highest-ranked members for a suspect probe it again before they declare it
 * dead; the others wait MEMBER_SUSPECT_TIMEOUT_US for their update.
 *
 * The state of a member is two values that only increase: its announcement,
 * ordered by (start, revision), and its health, ordered by (incarnation,
 * health). Merging is therefore independent of the order. Updates are
 * piggybacked on probes, newest first, 3 log2(n) times each, less the times
 * that they are received from others. Each message carries a digest of the
 * list; a lasting mismatch starts a sync over a stream.
 *
 * Pure logic: no sockets, threads or clocks.
 */
#ifndef SWIFTARCH_CONTROL_MEMBER_H
#define SWIFTARCH_CONTROL_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/clock.h"
#include "control/bucket.h"
#include "control/random.h"
#include "control/view.h"

#define MEMBER_PERIOD_US (500 * USEC_PER_MSEC)
#define MEMBER_RESEND_US (70 * USEC_PER_MSEC)
#define MEMBER_INDIRECT_DELAY_US (140 * USEC_PER_MSEC)
#define MEMBER_INDIRECT_PROBES 3
#define MEMBER_PROBES 2
#define MEMBER_RELAYS_MAX 16
#define MEMBER_RELAY_TRIES 4
#define MEMBER_CONFIRMERS 3
#define MEMBER_CONFIRM_PROBE_US (8 * USEC_PER_SEC)
#define MEMBER_CONFIRM_US (10 * USEC_PER_SEC)
#define MEMBER_SUSPECT_TIMEOUT_US (16 * USEC_PER_SEC)
#define MEMBER_TICK_DELAY_MAX_US (100 * USEC_PER_MSEC)
#define MEMBER_STALL_US (1500 * USEC_PER_MSEC)
#define MEMBER_TOMBSTONE_US (2 * 3600 * USEC_PER_SEC)
#define MEMBER_LEFT_TOMBSTONE_US (600 * USEC_PER_SEC)
#define MEMBER_DEAD_VISIBLE_US (60 * USEC_PER_SEC)
#define MEMBER_DEAD_PROBE_US (10 * USEC_PER_SEC)
#define MEMBER_PUSH_FANOUT 3
#define MEMBER_PUSH_DELAY_US (10 * USEC_PER_MSEC)
#define MEMBER_SYNC_AFTER_US (2 * USEC_PER_SEC)
#define MEMBER_SYNC_MATCHES 8
#define MEMBER_SYNC_RETRY_US (1 * USEC_PER_SEC)
#define MEMBER_SYNC_INTERVAL_US (5 * USEC_PER_SEC)
#define MEMBER_CONTACT_INTERVAL_US (20 * USEC_PER_SEC)
#define MEMBER_CONTACTS_MAX 32
#define MEMBER_DATAGRAM_MAX 1200  /* bytes, sealed */
#define MEMBER_GOSSIP_RATE 2500   /* bytes of updates per second */
#define MEMBER_GOSSIP_BURST 32768 /* bytes */
#define MEMBER_SYNC_RATE 4096     /* bytes of sync replies per second */
#define MEMBER_SYNC_BURST 65536   /* bytes, several full lists of a cell */
#define MEMBER_JOIN_RATE 5        /* join replies per second */
#define MEMBER_JOIN_BURST 40      /* join replies */

/** enum member_kind - messages between members */
enum member_kind {
    MEMBER_PING,         /* probe of @target */
    MEMBER_ACK,          /* reply to probe @seq: @target is alive */
    MEMBER_WRONG_TARGET, /* @target is not at this address */
    MEMBER_PING_REQ,     /* request to probe @target for the sender */
    MEMBER_PUSH,         /* urgent updates */
    MEMBER_JOIN,         /* request for some members */
    MEMBER_JOIN_REPLY,   /* sample of the members */
    MEMBER_SYNC_SUMMARY, /* stream: summary of the sender's list */
    MEMBER_SYNC_REPLY,   /* stream: missing updates, and wanted ids */
    MEMBER_SYNC_PUSH,    /* stream: the wanted updates */
    MEMBER_KINDS
};

/**
 * struct member_update - state of one member, as sent to others
 * @member: announcement, health and incarnation (@since_us, @busy, @waiting
 *          and @config_version aren't sent)
 * @start: start of its process, wall clock in microseconds
 * @revision: raised by each change that it announces
 */
struct member_update {
    struct view_member member;
    uint64_t start;
    uint32_t revision;
};

/** struct member_summary - id and digest of one entry */
struct member_summary {
    uint64_t id;
    uint32_t digest;
};

/**
 * struct member_msg - one message; member_msg_finish() frees its arrays
 * @from: id of the sender
 * @cell: hash of the sender's cell name
 * @seq: number of the probe
 * @target: id of the member that the probe is about
 * @digest: digest of the sender's list
 * @incarnation: incarnation of the sender
 * @config_version: configuration version in force at the sender
 * @word_age_ms: time since that version was confirmed, UINT32_MAX: never
 * @busy: slots in use at the sender
 * @waiting: requests queued at the sender
 * @summary: sync: entries of the sender's list
 * @want: sync: ids that the sender requests
 */
struct member_msg {
    enum member_kind kind;
    uint64_t from;
    uint32_t cell;
    uint32_t seq;
    uint64_t target;
    uint64_t digest;
    uint64_t incarnation;
    uint64_t config_version;
    uint32_t word_age_ms;
    uint16_t busy;
    uint16_t waiting;
    struct member_update *updates;
    size_t update_count;
    struct member_summary *summary;
    size_t summary_count;
    uint64_t *want;
    size_t want_count;
};

/** struct member_action - send @msg to @to, as a datagram or on a stream */
struct member_action {
    bool stream;
    struct addr to;
    struct member_msg msg;
};

/** struct member_actions - growing list; the caller owns and clears it */
struct member_actions {
    struct member_action *items;
    size_t count;
    size_t capacity;
};

/** struct member_entry - state of one member as this process tracks it */
struct member_entry {
    struct view_member member;
    uint64_t start;
    uint32_t revision;
    uint32_t digest;          /* contributes to the list's digest */
    uint64_t health_since_us; /* when its health last changed here */
    uint64_t confirm_us;      /* next probe before declaring it dead */
    uint64_t change_seq;      /* sequence of its last change */
    uint16_t sends_left;      /* remaining transmissions of its update */
    bool urgent;
    bool left_cleanly; /* announced that it leaves */
};

/** struct member_probe - a pending probe */
struct member_probe {
    bool active;
    uint64_t target;
    uint64_t incarnation;
    uint32_t seq;
    uint64_t start_us;
    uint64_t resend_us;
    bool indirect_sent; /* PING_REQs were sent */
};

/** struct member_relay - a ping sent for another member */
struct member_relay {
    uint64_t target;
    uint32_t seq; /* own probe number */
    struct addr requester;
    uint32_t requester_seq; /* the requester's probe number */
    uint64_t resend_us;
    unsigned tries_left;
};

/** struct member_stats - counts since member_core_init() */
struct member_stats {
    uint64_t probes;
    uint64_t failed_probes;
    uint64_t suspicions;
    uint64_t refuted; /* refuted suspicions and deaths of others */
    uint64_t self_refutations;
    uint64_t deaths;        /* declared here after a timeout */
    uint64_t proven;        /* declared here on proof */
    uint64_t refused_full;  /* members that the full list couldn't take */
    uint64_t refused_joins; /* joins above MEMBER_JOIN_RATE */
    uint64_t syncs;
    uint64_t stalls;
    uint64_t
        late_periods; /* periods whose timer ran late: probes not judged */
    uint64_t name_conflicts;
    uint64_t other_cell; /* messages from members of other cells */
};

/**
 * struct member_core - membership of one process
 * @cell: hash of the cell's name; messages of other cells are dropped
 * @self: slot of this process
 * @entries: table by slot; an entry with id 0 is free
 * @order: slots sorted by id
 * @probe_order: permutation of slots for probing
 * @config_version: own version, sent in each message
 * @confirmed_us: when the version was last confirmed, 0 for never
 * @changed: members changed since the last published view
 * @load_changed: loads or configuration versions changed since then
 */
struct member_core {
    uint32_t cell;
    uint16_t self;
    struct member_entry *entries;
    size_t entry_count;
    size_t entry_capacity;
    uint16_t *order;
    size_t count;
    uint16_t *probe_order;
    size_t probe_count;
    size_t probe_next;
    uint64_t digest;
    uint64_t change_seq;
    size_t pending; /* entries with sends left */
    struct random random;
    uint32_t next_seq;
    struct member_probe probes[MEMBER_PROBES];
    struct member_relay relays[MEMBER_RELAYS_MAX];
    struct addr contacts[MEMBER_CONTACTS_MAX];
    size_t contact_count;
    size_t contact_next;
    uint64_t contact_us;
    uint64_t contact_interval_us;
    uint64_t period_us; /* start of the next period */
    uint64_t dead_probe_us;
    uint64_t push_us; /* next push, 0: none */
    uint64_t mismatch_us;
    unsigned matches; /* matching digests in a row */
    uint64_t sync_us;
    uint64_t tick_us;
    struct bucket gossip_bucket;
    struct bucket push_bucket;
    struct bucket sync_bucket;
    struct bucket join_bucket;
    uint64_t config_version;
    uint64_t confirmed_us;
    bool joined; /* synced with another member */
    bool left;
    bool changed;
    bool load_changed;
    struct member_stats stats;
};

/**
 * member_core_init() - start with this process as the only member
 * @self: own announcement; the incarnation starts at @self->start
 * @cell: hash of the cell's name
 * @seed: seed of the random numbers
 *
 * Return: 0 or -ENOMEM.
 */
int
member_core_init(struct member_core *core, const struct member_update *self,
                 uint32_t cell, uint64_t seed, uint64_t now_us);

/** member_core_finish() - free the tables */
void
member_core_finish(struct member_core *core);

/** member_add_contact() - add an address to join through; the own one is
 * ignored */
void
member_add_contact(struct member_core *core, struct addr contact);

/** member_receive() - handle a message from address @from */
void
member_receive(struct member_core *core, const struct member_msg *msg,
               struct addr from, uint64_t now_us, struct member_actions *out);

/** member_tick() - run what is due; call at member_next_us() or earlier */
void
member_tick(struct member_core *core, uint64_t now_us,
            struct member_actions *out);

/** member_next_us() - when to call member_tick() next */
uint64_t
member_next_us(const struct member_core *core);

/** member_proven_dead() - declare @id dead on proof, unless its incarnation is
 * above @incarnation */
void
member_proven_dead(struct member_core *core, uint64_t id, uint64_t incarnation,
                   uint64_t now_us);

/** member_refused() - declare the member with control address @at dead: the
 * connection was refused */
void
member_refused(struct member_core *core, struct addr at, uint64_t now_us);

/** member_announce() - set the own state, service and slots; @busy and
 * @waiting are sent in each message and cause no update */
void
member_announce(struct member_core *core, enum member_state state,
                uint32_t service, uint16_t slots, uint16_t busy,
                uint16_t waiting, uint64_t now_us);

/** member_set_config() - set the own version; a higher one is pushed at once
 */
void
member_set_config(struct member_core *core, uint64_t version,
                  uint64_t confirmed_us, uint64_t now_us);

/** member_leave() - notify some members of a clean leave; nothing is sent
 * after it */
void
member_leave(struct member_core *core, uint64_t now_us,
             struct member_actions *out);

/** member_find() - entry of @id or NULL */
const struct member_entry *
member_find(const struct member_core *core, uint64_t id);

/** member_view() - snapshot of the list, or NULL if out of memory */
struct view *
member_view(const struct member_core *core, uint64_t seq, uint64_t now_us);

/** member_alive_count() - live members, including this one */
size_t
member_alive_count(const struct member_core *core);

/** member_rank() - number of live members, not leaving, that rank before this
 * one by rendezvous hashing with @key; @alive, if not NULL, is set to the
 * number of ranked members */
size_t
member_rank(const struct member_core *core, uint64_t key, size_t *alive);

/** member_random_alive() - a random live member other than this one, or NULL
 */
const struct member_entry *
member_random_alive(struct member_core *core);

/** member_msg_finish() - free the arrays of a message */
void
member_msg_finish(struct member_msg *msg);

/** member_actions_clear() - clear the list and free its messages */
void
member_actions_clear(struct member_actions *out);

/** member_actions_finish() - free the list */
void
member_actions_finish(struct member_actions *out);

#endif
