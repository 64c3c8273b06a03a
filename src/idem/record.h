/**
 * DOC: record - the table of records that an agent holds
 *
 * Records are found by key, and visited from the last to the first while
 * others are removed. Answers share a budget of bytes: the ones that ended
 * longest ago are dropped first, their records stay.
 */
#ifndef SWIFTARCH_IDEM_RECORD_H
#define SWIFTARCH_IDEM_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "idem/idem.h"
#include "idem/replicas.h"

/**
 * struct record_holder - what another member holds of a record
 * @session: number of its session, 0 for an unused slot
 * @full: the answer was sent along
 * @acked: it said that it holds the record
 */
struct record_holder {
    uint32_t session : 30;
    uint32_t full : 1;
    uint32_t acked : 1;
};

/**
 * struct record - one key
 * @next: next in the hash chain
 * @answers: place among those with an answer, newest first
 * @queue: place among those to be visited again, by @due_us
 * @index: where it stands in the table
 * @key: key
 * @owner: member id of the coordinator
 * @token: its number on the wire
 * @updated_us: when the state changed last, own clock
 * @answer: HTTP answer, or NULL
 * @answer_len: bytes
 * @state: what is holder
 * @queued: in the queue
 * @holders_assumed: @holder goes by the owner's word, which ends with its
 * session
 * @unacked: some target hasn't said yet that it holds the record
 * @due_us: when to visit it again
 * @holder: who holds this state too
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
    struct record_holder holder[REPLICAS_TARGETS_MAX];
};

TAILQ_HEAD(record_list, record);

/**
 * struct record_table - all records
 * @buckets: hash chains, a power of two
 * @bucket_count: how many
 * @items: all records, in no order
 * @count: records
 * @capacity: room in @items
 * @answer_bytes: bytes of answers held
 * @answers: those with an answer, newest first
 * @queue: those to be visited again, soonest first
 * @unacked: how many are unacked
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

/** record_table_init() - an empty table; 0 or -ENOMEM */
int
record_table_init(struct record_table *table);

/** record_table_finish() - free all */
void
record_table_finish(struct record_table *table);

/** record_same_key() - same service and key, whatever the fingerprint */
bool
record_same_key(const struct idem_key *a, const struct idem_key *b);

/** record_find() - record of @key (its fingerprint isn't compared) or NULL */
struct record *
record_find(const struct record_table *table, const struct idem_key *key);

/** record_add() - a new record of @key, which has none; NULL: no memory */
struct record *
record_add(struct record_table *table, const struct idem_key *key,
           uint64_t owner, uint64_t token, uint64_t now_us);

/** record_remove() - forget @record */
void
record_remove(struct record_table *table, struct record *record);

/** record_set_state() - the state became another; nobody else knows yet */
void
record_set_state(struct record_table *table, struct record *record,
                 enum idem_state state, uint64_t now_us);

/** record_set_answer() - keep a copy of the answer, if it isn't too long */
void
record_set_answer(struct record_table *table, struct record *record,
                  const uint8_t *answer, size_t len);

/** record_is_held_by() - whether @session said that it holds the record, with
 * the answer if @full */
bool
record_is_held_by(const struct record *record, uint32_t session, bool full);

/** record_mark_sent() - the record went to @session; takes the place of one
 * that isn't among @targets when there is no room */
void
record_mark_sent(struct record *record, uint32_t session, bool full,
                 const struct replica_set *targets);

/** record_mark_acked() - @session holds the record */
void
record_mark_acked(struct record *record, uint32_t session);

/** record_assume_held() - the owner itself brings the record to all @targets
 */
void
record_assume_held(struct record *record, const struct replica_set *targets);

/** record_reset_holders() - nothing is holder of who holds it */
void
record_reset_holders(struct record *record);

/** record_set_unacked() - whether some target isn't holder to hold it */
void
record_set_unacked(struct record_table *table, struct record *record,
                   bool unacked);

/** record_queue() - visit it at @due_us, which never falls from one call to
 * the next */
void
record_queue(struct record_table *table, struct record *record,
             uint64_t due_us);

/** record_unqueue() - take it out of the queue */
void
record_unqueue(struct record_table *table, struct record *record);

#endif
