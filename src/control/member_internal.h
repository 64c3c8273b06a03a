/**
 * DOC: member_internal - declarations shared by the membership core's files
 */
#ifndef SWIFTARCH_CONTROL_MEMBER_INTERNAL_H
#define SWIFTARCH_CONTROL_MEMBER_INTERNAL_H

#include "control/member.h"

/* member_table.c */

/** member_lookup() - mutable entry of @id, or NULL */
struct member_entry *
member_lookup(struct member_core *core, uint64_t id);

/** member_insert() - add an entry for @id; NULL if the list is full */
struct member_entry *
member_insert(struct member_core *core, uint64_t id, uint64_t now_us);

/** member_remove() - remove an entry */
void
member_remove(struct member_core *core, struct member_entry *entry);

/** member_mark_changed() - update the digest and queue the entry for gossip;
 * @urgent: push it at once */
void
member_mark_changed(struct member_core *core, struct member_entry *entry,
                    bool urgent, uint64_t now_us);

/** member_self() - entry of this process */
struct member_entry *
member_self(struct member_core *core);

/* member_merge.c */

/** member_merge() - apply an update; true if it was newer */
bool
member_merge(struct member_core *core, const struct member_update *update,
             uint64_t now_us);

/** member_worsen_health() - set the health of another member, if it is worse
 */
void
member_worsen_health(struct member_core *core, struct member_entry *entry,
                     enum member_health health, uint64_t now_us);

/** member_expire() - declare timed-out suspects dead, remove old tombstones,
 * probe suspects before their timeout */
void
member_expire(struct member_core *core, uint64_t now_us,
              struct member_actions *out);

/* member_gossip.c */

/** member_send() - queue a message of @kind; the caller fills in the body */
struct member_msg *
member_send(struct member_core *core, enum member_kind kind, struct addr to,
            uint64_t now_us, struct member_actions *out);

/** member_attach() - add pending updates to @msg, after @first if not NULL */
void
member_attach(struct member_core *core, struct member_msg *msg,
              struct member_entry *first, uint64_t now_us);

/** member_attach_sample() - add random live members to @msg */
void
member_attach_sample(struct member_core *core, struct member_msg *msg);

/** member_count_send() - count one transmission of the update of @entry, or
 * its receipt from another member */
void
member_count_send(struct member_core *core, struct member_entry *entry);

/** member_update_of() - update that describes an entry */
struct member_update
member_update_of(const struct member_entry *entry);

/** member_push() - send urgent updates to a few members when due */
void
member_push(struct member_core *core, uint64_t now_us,
            struct member_actions *out);

/* member_probe.c */

/** member_probe_tick() - start, continue or fail probes */
void
member_probe_tick(struct member_core *core, uint64_t now_us,
                  struct member_actions *out);

/** member_probe_receive() - handle PING, ACK, WRONG_TARGET and PING_REQ */
void
member_probe_receive(struct member_core *core, const struct member_msg *msg,
                     struct addr from, uint64_t now_us,
                     struct member_actions *out);

/** member_probe_stop() - abandon probes and relays after a stall; @now_us:
 * start of the next period */
void
member_probe_stop(struct member_core *core, uint64_t now_us);

/* member_sync.c */

/** member_sync_start() - start a sync with a member over a stream */
void
member_sync_start(struct member_core *core, struct addr to, uint64_t now_us,
                  struct member_actions *out);

/** member_sync_receive() - handle JOIN, JOIN_REPLY and the SYNC kinds */
void
member_sync_receive(struct member_core *core, const struct member_msg *msg,
                    struct addr from, uint64_t now_us,
                    struct member_actions *out);

/** member_sync_digest() - compare a member's digest; sync after a lasting
 * mismatch */
void
member_sync_digest(struct member_core *core, const struct member_entry *peer,
                   uint64_t digest, uint64_t now_us,
                   struct member_actions *out);

/** member_contact_tick() - send a JOIN to a contact that isn't in the list */
void
member_contact_tick(struct member_core *core, uint64_t now_us,
                    struct member_actions *out);

#endif
