/**
 * DOC: member_internal - what the parts of the membership core share
 */
#ifndef SWIFTARCH_CONTROL_MEMBER_INTERNAL_H
#define SWIFTARCH_CONTROL_MEMBER_INTERNAL_H

#include "control/member.h"

/* member_table.c */

/** member_lookup() - entry of @id to change, or NULL */
struct member_entry *
member_lookup(struct member_core *core, uint64_t id);

/** member_insert() - a new entry for @id, or NULL when the list is full */
struct member_entry *
member_insert(struct member_core *core, uint64_t id, uint64_t now_us);

/** member_remove() - forget an entry */
void
member_remove(struct member_core *core, struct member_entry *entry);

/** member_mark_changed() - an entry changed: its digest, and news to spread */
void
member_mark_changed(struct member_core *core, struct member_entry *entry,
                    bool urgent, uint64_t now_us);

/** member_self() - own entry */
struct member_entry *
member_self(struct member_core *core);

/* member_merge.c */

/** member_merge() - take in an update; true when it said something new */
bool
member_merge(struct member_core *core, const struct member_update *update,
             uint64_t now_us);

/** member_worsen_health() - set the health of another member */
void
member_worsen_health(struct member_core *core, struct member_entry *entry,
                     enum member_health health, uint64_t now_us);

/** member_expire() - declare the suspects whose time is up, forget old
 * tombstones, probe suspects before their end */
void
member_expire(struct member_core *core, uint64_t now_us,
              struct member_actions *out);

/* member_gossip.c */

/** member_send() - queue a message of @kind; the caller fills the rest */
struct member_msg *
member_send(struct member_core *core, enum member_kind kind, struct addr to,
            uint64_t now_us, struct member_actions *out);

/** member_attach() - put news on @msg, after the entry @first if not NULL */
void
member_attach(struct member_core *core, struct member_msg *msg,
              struct member_entry *first, uint64_t now_us);

/** member_attach_sample() - put random members on @msg */
void
member_attach_sample(struct member_core *core, struct member_msg *msg);

/** member_count_send() - the news of @entry was sent once more, or came
 * back from another */
void
member_count_send(struct member_core *core, struct member_entry *entry);

/** member_update_of() - what is told of an entry */
struct member_update
member_update_of(const struct member_entry *entry);

/** member_push() - send urgent news to a few members when due */
void
member_push(struct member_core *core, uint64_t now_us,
            struct member_actions *out);

/* member_probe.c */

/** member_probe_tick() - begin, go on with or fail probes */
void
member_probe_tick(struct member_core *core, uint64_t now_us,
                  struct member_actions *out);

/** member_probe_receive() - PING, ACK, NOT_ME and PING_FOR */
void
member_probe_receive(struct member_core *core, const struct member_msg *msg,
                     struct addr from, uint64_t now_us,
                     struct member_actions *out);

/** member_probe_stop() - give up probe and relays after a stall */
void
member_probe_stop(struct member_core *core, uint64_t now_us);

/* member_sync.c */

/** member_sync_start() - compare lists with a member over a stream */
void
member_sync_start(struct member_core *core, struct addr to, uint64_t now_us,
                  struct member_actions *out);

/** member_sync_receive() - JOIN, WELCOME and the SYNC kinds */
void
member_sync_receive(struct member_core *core, const struct member_msg *msg,
                    struct addr from, uint64_t now_us,
                    struct member_actions *out);

/** member_sync_digest() - a known member's digest was seen */
void
member_sync_digest(struct member_core *core, const struct member_entry *peer,
                   uint64_t digest, uint64_t now_us,
                   struct member_actions *out);

/** member_contact_tick() - try a contact that isn't in the list */
void
member_contact_tick(struct member_core *core, uint64_t now_us,
                    struct member_actions *out);

#endif
