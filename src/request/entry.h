/**
 * DOC: entry - request known to the engine, and the table of requests
 *
 * The table is keyed by the accepting member and its request id.
 */
#ifndef SWIFTARCH_REQUEST_ENTRY_H
#define SWIFTARCH_REQUEST_ENTRY_H

#include <glib.h>

#include "request/engine.h"

#define ENTRY_TRIED_MAX 8

/** enum entry_state - progress of a request */
enum entry_state {
    ENTRY_WAITING, /* queued, or about to be */
    ENTRY_RUNNING, /* on the local upstream */
    ENTRY_AT_PEER, /* sent to a peer, no DONE yet */
    ENTRY_ABORTED  /* finished, but its local slot is not free yet */
};

/** struct entry_key - accepting member and its request id */
struct entry_key {
    uint64_t origin;
    uint64_t id;
};

/**
 * struct entry - request known to the engine
 * @key: key in the table (must come first)
 * @request: request as it arrived
 * @state: progress
 * @runnable: has no idempotency key, or its key is reserved
 * @maybe_started: an upstream may have started it, so it is never "not run"
 * @caller_gone: caller closed; runs on only to record the outcome of its key
 * @ran_locally: the last attempt was on the local upstream
 * @placement_tried: the policy has placed it before
 * @avoid_local_until_us: prefers peers until then, after a failed local run
 * @refused: reason of the last refusal
 * @queued: linked into the queue
 * @arrived_us: arrival at this agent
 * @started_us: start of the RUNNING, AT_PEER or ABORTED state
 * @peer: AT_PEER: member it was sent to
 * @attempts: upstreams that lost or refused it so far
 * @tried: members it was sent to; it is sent to none twice
 * @tried_count: entries in @tried
 * @prev: queue link
 * @next: queue link
 */
struct entry {
    struct entry_key key;
    struct engine_request request;
    enum entry_state state;
    bool runnable;
    bool maybe_started;
    bool caller_gone;
    bool ran_locally;
    bool placement_tried;
    uint64_t avoid_local_until_us;
    enum engine_reason refused;
    bool queued;
    uint64_t arrived_us;
    uint64_t started_us;
    uint64_t peer;
    unsigned attempts;
    uint64_t tried[ENTRY_TRIED_MAX];
    unsigned tried_count;
    struct entry *prev;
    struct entry *next;
};

/** entry_table_new() - create a table; g_hash_table_destroy() frees its
 * entries */
GHashTable *
entry_table_new(void);

/** entry_find() - look up an entry, or NULL */
struct entry *
entry_find(GHashTable *table, uint64_t origin, uint64_t id);

/** entry_keys() - keys of all entries (struct entry_key), for iteration
 * while the table changes; free with g_array_unref() */
GArray *
entry_keys(GHashTable *table);

/** entry_add() - add an entry in state ENTRY_WAITING, owned by the table */
struct entry *
entry_add(GHashTable *table, uint64_t origin,
          const struct engine_request *request, uint64_t now_us);

/** entry_remove() - remove and free @entry, which must not be queued */
void
entry_remove(GHashTable *table, struct entry *entry);

/** entry_tried() - whether @entry was sent to @member, or its list of tried
 * members is full */
bool
entry_tried(const struct entry *entry, uint64_t member);

/** entry_mark_tried() - record that @entry was sent to @member */
void
entry_mark_tried(struct entry *entry, uint64_t member);

#endif
