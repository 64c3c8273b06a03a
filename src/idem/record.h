/**
 * DOC: record - the table of records that an agent stores
 *
 * Records are found by key, and may be removed during a pass from the last to
 * the first. Answers share IDEM_ANSWERS_BYTES_MAX: the oldest are dropped
 * first, their records stay.
 */
#ifndef SWIFTARCH_IDEM_RECORD_H
#define SWIFTARCH_IDEM_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "idem/types.h"
#include "idem/replicas.h"

/**
 * struct record_holder - a copy of a record at another member
 * @session: number of the member's session, 0 for an unused slot
 * @full: the answer was sent with the record
 * @acked: the member acknowledged the record
 */
struct record_holder {
    uint32_t session : 30;
    uint32_t full : 1;
    uint32_t acked : 1;
};

/**
 * struct record - state of a key
 * @next: next in the hash chain
 * @answers: entry in the table's list of answers
 * @queue: entry in the table's queue
 * @index: index in the table's items
 * @key: key
 * @owner: member id of the coordinator
 * @token: the coordinator's number of the reservation
 * @updated_us: last change of the state, monotonic clock
 * @answer: HTTP response, or NULL
 * @answer_len: bytes of @answer
 * @state: enum idem_state
 * @queued: in the queue
 * @holders_assumed: @holders assumes that the owner sends the record to all
 *                   targets; reset when the owner's process ends
 * @unacked: some target hasn't acknowledged the record
 * @due_us: when to visit the record again
 * @holders: copies of this state at other members
 */
struct record {
    struct record *next;
    TAILQ_ENTRY(record) answers;
    TAILQ_ENTRY(record) queue;
    size_t index;
    struct idem_key key;
    uint64_t owner;
    uint64_t token;
    uint64_t updated_us;
    uint8_t *answer;
    uint32_t answer_len;
    uint8_t state;
    bool queued;
    bool holders_assumed;
    bool unacked;
    uint64_t due_us;
    struct record_holder holders[REPLICAS_TARGETS_MAX];
};

TAILQ_HEAD(record_list, record);

/**
 * struct record_table - all records of an agent
 * @buckets: hash chains
 * @bucket_count: number of @buckets, a power of two
 * @items: all records, unordered
 * @count: number of records
 * @capacity: allocated entries of @items
 * @answer_bytes: total bytes of the stored answers
 * @answers: records with an answer, newest first
 * @queue: records to visit again, soonest first
 * @unacked: number of records with unacked set
 */
struct record_table {
    struct record **buckets;
    size_t bucket_count;
    struct record **items;
    size_t count;
    size_t capacity;
    size_t answer_bytes;
    struct record_list answers;
    struct record_list queue;
    size_t unacked;
};

/** record_table_init() - initialize an empty table; 0 or -ENOMEM */
int
record_table_init(struct record_table *table);

/** record_table_finish() - free all records and the table */
void
record_table_finish(struct record_table *table);

/** record_same_key() - whether service and hash match; ignores the fingerprint
 */
bool
record_same_key(const struct idem_key *a, const struct idem_key *b);

/** record_find() - the record of @key, or NULL; ignores the fingerprint */
struct record *
record_find(const struct record_table *table, const struct idem_key *key);

/** record_add() - add a record of @key, which must have none; NULL without
 * memory */
struct record *
record_add(struct record_table *table, const struct idem_key *key,
           uint64_t owner, uint64_t token, uint64_t now_us);

/** record_remove() - remove and free @record */
void
record_remove(struct record_table *table, struct record *record);

/** record_set_state() - change the state; no other member holds it yet */
void
record_set_state(struct record_table *table, struct record *record,
                 enum idem_state state, uint64_t now_us);

/** record_set_answer() - replace the answer by a copy of @answer; none is
 * stored when it is longer than IDEM_ANSWER_MAX */
void
record_set_answer(struct record_table *table, struct record *record,
                  const uint8_t *answer, size_t len);

/** record_is_held_by() - whether @session acknowledged the record, with @full:
 * including the answer */
bool
record_is_held_by(const struct record *record, uint32_t session, bool full);

/** record_mark_sent() - note that the record was sent to @session; reuses the
 * slot of a session that isn't in @targets */
void
record_mark_sent(struct record *record, uint32_t session, bool full,
                 const struct replica_set *targets);

/** record_mark_acked() - note that @session acknowledged the record */
void
record_mark_acked(struct record *record, uint32_t session);

/** record_assume_held() - treat the record as acknowledged by all @targets,
 * since its owner sends it to them */
void
record_assume_held(struct record *record, const struct replica_set *targets);

/** record_reset_holders() - clear the copies at other members */
void
record_reset_holders(struct record *record);

/** record_set_unacked() - set whether some target hasn't acknowledged the
 * record */
void
record_set_unacked(struct record_table *table, struct record *record,
                   bool unacked);

/** record_queue() - queue the record for a visit at @due_us, which must not
 * decrease between calls */
void
record_queue(struct record_table *table, struct record *record,
             uint64_t due_us);

/** record_unqueue() - remove the record from the queue */
void
record_unqueue(struct record_table *table, struct record *record);

#endif
