/**
 * DOC: member - membership of a cell (SWIM), a pure core
 *
 * Each member probes two others each MEMBER_PERIOD_US: the next in the order
 * of a random permutation, and the one that follows it in the order of ids,
 * so that everybody is probed in every period by one that doesn't change.
 * It pings them directly, then through MEMBER_INDIRECT_PROBES others. A
 * failed round makes a suspect; the change_seq of it is pushed at once, so new
 * flows stop soon. Death comes only from proof (connection refused, a
 * left_cleanly) or from MEMBER_CONFIRM_US without a refutation, longer than a
 * freeze of 5 s and the way of its refutation through the cell. The
 * MEMBER_CONFIRMERS highest-ranked members for a suspect probe it again
 * before they declare it; the others wait MEMBER_SUSPECT_TIMEOUT_US for that
 * word.
 *
 * What is known of a member is two values that only grow: its announcement
 * by (start, revision), its health by (incarnation, health). Merging is
 * thus the same in any order. Changes ride on probes, newest first, each
 * 3 log2(n) times less those that it came back from others; a digest of the
 * list in each message finds what was missed, which a sync over a stream then
 * repairs.
 *
 * Events and the time go in, messages to send come out; no sockets, threads
 * or clocks here.
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
#define MEMBER_DATAGRAM_MAX 1200
#define MEMBER_GOSSIP_RATE 2500 /* bytes a second of updates */
#define MEMBER_GOSSIP_BURST 32768
#define MEMBER_SYNC_RATE 4096   /* bytes a second of syncs served */
#define MEMBER_SYNC_BURST 65536 /* some lists of a cell fit */
#define MEMBER_JOIN_RATE 5      /* joins answered a second */
#define MEMBER_JOIN_BURST 40

/** enum member_kind - messages between members */
enum member_kind {
    MEMBER_PING,         /* are you there? */
    MEMBER_ACK,          /* @target is here, answer to probe @seq */
    MEMBER_WRONG_TARGET, /* @target is not at this address */
    MEMBER_PING_REQ,     /* ping @target for me */
    MEMBER_PUSH,         /* change_seq, unasked */
    MEMBER_JOIN,         /* I know nobody: tell me some members */
    MEMBER_JOIN_REPLY,   /* some members */
    MEMBER_SYNC_SUMMARY, /* stream: a summary of my list */
    MEMBER_SYNC_REPLY,   /* stream: what you lack, what I want */
    MEMBER_SYNC_PUSH,    /* stream: what you wanted */
    MEMBER_KINDS
};

/**
 * struct member_update - what is told of one member
 * @member: announcement, health and incarnation (@since_us, @busy, @waiting
 *          and @config_version aren't told)
 * @start: start of its process, wall clock in microseconds
 * @revision: grows with each change it announces
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

/** struct member_msg - one message; member_msg_finish() frees its arrays */
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

/** struct member_actions - list that grows; the caller owns and empties it */
struct member_actions {
    struct member_action *items;
    size_t count;
    size_t capacity;
};

/** struct member_entry - what this process knows of one member */
struct member_entry {
    struct view_member member;
    uint64_t start;
    uint32_t revision;
    uint32_t digest;          /* its share of the list's digest */
    uint64_t health_since_us; /* when it became suspect or dead here */
    uint64_t confirm_us;      /* next probe before declaring it dead */
    uint64_t change_seq;      /* order of its last change, newer is higher */
    uint16_t sends_left;      /* times its change_seq is still to be sent */
    bool urgent;
    bool left_cleanly; /* left by itself */
};

/** struct member_probe - a probe under way */
struct member_probe {
    bool active;
    uint64_t target;
    uint64_t incarnation;
    uint32_t seq;
    uint64_t start_us;
    uint64_t resend_us;
    bool indirect_sent; /* helpers were asked */
};

/** struct member_relay - a ping sent for another member */
struct member_relay {
    uint64_t target;
    uint32_t seq; /* own number of the ping */
    struct addr requester;
    uint32_t requester_seq; /* the requester's number */
    uint64_t resend_us;
    unsigned tries_left;
};

/** struct member_stats - counts since the start */
struct member_stats {
    uint64_t probes;
    uint64_t failed_probes;
    uint64_t suspicions;
    uint64_t refuted; /* suspicions and deaths of others taken back */
    uint64_t self_refutations;
    uint64_t deaths; /* by timeout, declared here */
    uint64_t proven; /* deaths by proof, seen here */
    uint64_t refused_full;
    uint64_t refused_joins;
    uint64_t syncs;
    uint64_t stalls;
    uint64_t late_periods; /* ended too late to judge by */
    uint64_t name_conflicts;
    uint64_t other_cell; /* messages from members of other cells */
};

/**
 * struct member_core - membership as one process sees it
 * @cell: hash of the cell's name; messages of other cells are dropped
 * @self: slot of the own entry
 * @entries: table by slot; an entry with id 0 is free
 * @order: slots sorted by id
 * @probe_order: slots in the order in which they are probed
 * @config_version: own version, told in each message
 * @confirmed_us: when the version was last confirmed, 0 for never
 * @changed: the view should be published again
 * @load_changed: only loads or configuration versions in it changed
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
    uint64_t period_us; /* start of the next probe */
    uint64_t dead_probe_us;
    uint64_t push_us; /* 0: nothing to push */
    uint64_t mismatch_us;
    unsigned matches; /* of digests, in a row */
    uint64_t sync_us;
    uint64_t tick_us;
    struct bucket gossip_bucket;
    struct bucket push_bucket;
    struct bucket sync_bucket;
    struct bucket join_bucket;
    uint64_t config_version;
    uint64_t confirmed_us;
    bool joined; /* the list was synced with another member */
    bool left;
    bool changed;
    bool load_changed;
    struct member_stats stats;
};

/**
 * member_core_init() - a cell of one
 * @self: own announcement; @self->member.incarnation is its start too
 * @cell: hash of the cell's name
 * @seed: of the random choices
 *
 * Return: 0 or -ENOMEM.
 */
int
member_core_init(struct member_core *core, const struct member_update *self,
                 uint32_t cell, uint64_t seed, uint64_t now_us);

/** member_core_finish() - free the tables */
void
member_core_finish(struct member_core *core);

/** member_add_contact() - an address to join through; own ones are skipped */
void
member_add_contact(struct member_core *core, struct addr contact);

/** member_receive() - a message came from address @from */
void
member_receive(struct member_core *core, const struct member_msg *msg,
               struct addr from, uint64_t now_us, struct member_actions *out);

/** member_tick() - do what is due; call at member_next_us() or before */
void
member_tick(struct member_core *core, uint64_t now_us,
            struct member_actions *out);

/** member_next_us() - when member_tick() has something to do */
uint64_t
member_next_us(const struct member_core *core);

/** member_proven_dead() - @id is gone for certain, if still at @incarnation */
void
member_proven_dead(struct member_core *core, uint64_t id, uint64_t incarnation,
                   uint64_t now_us);

/** member_refused() - nobody listens at the control address @at any more */
void
member_refused(struct member_core *core, struct addr at, uint64_t now_us);

/** member_announce() - own state, service or slots; busy and waiting ride
 * on each message and make no change_seq */
void
member_announce(struct member_core *core, enum member_state state,
                uint32_t service, uint16_t slots, uint16_t busy,
                uint16_t waiting, uint64_t now_us);

/** member_set_config() - own version; a higher one is pushed at once */
void
member_set_config(struct member_core *core, uint64_t version,
                  uint64_t confirmed_us, uint64_t now_us);

/** member_leave() - say left_cleanly to some members; nothing is sent after */
void
member_leave(struct member_core *core, uint64_t now_us,
             struct member_actions *out);

/** member_find() - entry of @id or NULL */
const struct member_entry *
member_find(const struct member_core *core, uint64_t id);

/** member_view() - a view of the list, or NULL when memory is short */
struct view *
member_view(const struct member_core *core, uint64_t seq, uint64_t now_us);

/** member_alive_count() - members alive, self included */
size_t
member_alive_count(const struct member_core *core);

/** member_rank() - how many members alive and not leaving rank before this
 * one by rendezvous hashing with @key; @alive, if not NULL, is set to the
 * number of those that are ranked */
size_t
member_rank(const struct member_core *core, uint64_t key, size_t *alive);

/** member_random_alive() - a random other member that is alive, or NULL */
const struct member_entry *
member_random_alive(struct member_core *core);

/** member_msg_finish() - free the arrays of a message */
void
member_msg_finish(struct member_msg *msg);

/** member_actions_clear() - empty the list, freeing its messages */
void
member_actions_clear(struct member_actions *out);

/** member_actions_finish() - free the list */
void
member_actions_finish(struct member_actions *out);

#endif
