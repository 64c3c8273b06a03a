#include "idem/record.h"

#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define BUCKETS_MIN 64

int
record_table_init(struct record_table *table)
{
    *table = (struct record_table){.bucket_count = BUCKETS_MIN};
    table->buckets = calloc(BUCKETS_MIN, sizeof(struct record *));
    TAILQ_INIT(&table->answers);
    TAILQ_INIT(&table->queue);
    return table->buckets != NULL ? 0 : -ENOMEM;
}

void
record_table_finish(struct record_table *table)
{
    for (size_t i = 0; i < table->count; i++) {
        free(table->items[i]->answer);
        free(table->items[i]);
    }
    free(table->items);
    free(table->buckets);
    *table = (struct record_table){0};
}

static struct record **
bucket(const struct record_table *table, const struct idem_key *key)
{
    uint64_t hash = key->hash[1] ^ key->service;

    return &table->buckets[hash & (table->bucket_count - 1)];
}

bool
record_same_key(const struct idem_key *a, const struct idem_key *b)
{
    return a->service == b->service && a->hash[0] == b->hash[0] &&
           a->hash[1] == b->hash[1];
}

struct record *
record_find(const struct record_table *table, const struct idem_key *key)
{
    struct record *record = *bucket(table, key);

    while (record != NULL && !record_same_key(&record->key, key)) {
        record = record->next;
    }
    return record;
}

/* Doubles the buckets. Without memory the chains grow longer instead. */
static void
grow_buckets(struct record_table *table)
{
    size_t count = 2 * table->bucket_count;
    struct record **buckets;

    assert(count > 0);
    buckets = calloc(count, sizeof(struct record *));
    if (buckets == NULL) {
        return;
    }
    free(table->buckets);
    table->buckets = buckets;
    table->bucket_count = count;
    for (size_t i = 0; i < table->count; i++) {
        struct record *record = table->items[i];
        struct record **head = bucket(table, &record->key);

        record->next = *head;
        *head = record;
    }
}

static int
grow_items(struct record_table *table)
{
    size_t capacity = table->capacity > 0 ? 2 * table->capacity : 64;
    struct record **items;

    items = realloc(table->items, capacity * sizeof(struct record *));
    if (items == NULL) {
        return -ENOMEM;
    }
    table->items = items;
    table->capacity = capacity;
    return 0;
}

struct record *
record_add(struct record_table *table, const struct idem_key *key,
           uint64_t owner, uint64_t token, uint64_t now_us)
{
    struct record *record;
    struct record **head;

    assert(record_find(table, key) == NULL);
    if (table->count == table->capacity && grow_items(table) < 0) {
        return NULL;
    }
    if (table->count >= table->bucket_count) {
        grow_buckets(table);
    }
    record = calloc(1, sizeof(*record));
    if (record == NULL) {
        return NULL;
    }
    record->key = *key;
    record->owner = owner;
    record->token = token;
    record->updated_us = now_us;
    record->state = IDEM_STARTED;
    record->index = table->count;
    record_set_unacked(table, record, true);
    table->items[table->count++] = record;
    head = bucket(table, key);
    record->next = *head;
    *head = record;
    return record;
}

static void
drop_answer(struct record_table *table, struct record *record)
{
    if (record->answer == NULL) {
        return;
    }
    TAILQ_REMOVE(&table->answers, record, answers);
    table->answer_bytes -= record->answer_len;
    free(record->answer);
    record->answer = NULL;
    record->answer_len = 0;
}

void
record_remove(struct record_table *table, struct record *record)
{
    struct record **link = bucket(table, &record->key);
    struct record *last = table->items[table->count - 1];

    while (*link != record) {
        link = &(*link)->next;
    }
    *link = record->next;
    last->index = record->index;
    table->items[last->index] = last;
    table->count--;
    record_set_unacked(table, record, false);
    record_unqueue(table, record);
    drop_answer(table, record);
    free(record);
}

void
record_set_state(struct record_table *table, struct record *record,
                 enum idem_state state, uint64_t now_us)
{
    record->state = (uint8_t)state;
    record->updated_us = now_us;
    record_reset_holders(record);
    record_set_unacked(table, record, true);
}

void
record_set_answer(struct record_table *table, struct record *record,
                  const uint8_t *answer, size_t len)
{
    uint8_t *copy;

    drop_answer(table, record);
    if (answer == NULL || len == 0 || len > IDEM_ANSWER_MAX) {
        return;
    }
    copy = malloc(len);
    if (copy == NULL) {
        return;
    }
    memcpy(copy, answer, len);
    while (table->answer_bytes + len > IDEM_ANSWERS_BYTES_MAX) {
        drop_answer(table, TAILQ_LAST(&table->answers, record_list));
    }
    record->answer = copy;
    record->answer_len = (uint32_t)len;
    TAILQ_INSERT_HEAD(&table->answers, record, answers);
    table->answer_bytes += len;
}

bool
record_is_held_by(const struct record *record, uint32_t session, bool full)
{
    for (size_t i = 0; i < REPLICAS_TARGETS_MAX; i++) {
        const struct record_holder *holder = &record->holders[i];

        if (holder->session == session) {
            return holder->acked && (!full || holder->full);
        }
    }
    return false;
}

static bool
is_target(const struct replica_set *targets, uint32_t session)
{
    for (size_t i = 0; i < targets->count; i++) {
        if (targets->sessions[i]->number == session) {
            return true;
        }
    }
    return false;
}

void
record_mark_sent(struct record *record, uint32_t session, bool full,
                 const struct replica_set *targets)
{
    struct record_holder *slot = NULL;

    for (size_t i = 0; i < REPLICAS_TARGETS_MAX; i++) {
        struct record_holder *holder = &record->holders[i];

        if (holder->session == session) {
            holder->full |= full;
            return;
        }
        if (slot == NULL && !is_target(targets, holder->session)) {
            slot = holder;
        }
    }
    if (slot != NULL) {
        *slot = (struct record_holder){.session = session, .full = full};
    }
}

void
record_mark_acked(struct record *record, uint32_t session)
{
    for (size_t i = 0; i < REPLICAS_TARGETS_MAX; i++) {
        if (record->holders[i].session == session) {
            record->holders[i].acked = true;
        }
    }
}

void
record_assume_held(struct record *record, const struct replica_set *targets)
{
    for (size_t i = 0; i < targets->count; i++) {
        record_mark_sent(record, targets->sessions[i]->number, true, targets);
        record_mark_acked(record, targets->sessions[i]->number);
    }
    record->holders_assumed = true;
}

void
record_reset_holders(struct record *record)
{
    memset(record->holders, 0, sizeof(record->holders));
    record->holders_assumed = false;
}

void
record_set_unacked(struct record_table *table, struct record *record,
                   bool unacked)
{
    if (record->unacked == unacked) {
        return;
    }
    record->unacked = unacked;
    if (unacked) {
        table->unacked++;
    }
    else {
        table->unacked--;
    }
}

void
record_queue(struct record_table *table, struct record *record,
             uint64_t due_us)
{
    record_unqueue(table, record);
    record->queued = true;
    record->due_us = due_us;
    TAILQ_INSERT_TAIL(&table->queue, record, queue);
}

void
record_unqueue(struct record_table *table, struct record *record)
{
    if (record->queued) {
        record->queued = false;
        TAILQ_REMOVE(&table->queue, record, queue);
    }
}
