/**
 * DOC: entry - one request known to the engine, and the table of them
 *
 * Entries are found by the member that accepted the request and its id.
 */
#ifndef SWIFTARCH_REQUEST_ENTRY_H
#define SWIFTARCH_REQUEST_ENTRY_H

#include <glib.h>

#include "request/engine.h"

#define ENTRY_TRIED_MAX 8

/** enum entry_state - where a request is */
enum entry_state {
    ENTRY_WAITING, /* in the queue, or about to enter it */
    ENTRY_RUNNING, /* on the local upstream */
    ENTRY_AT_PEER, /* sent to a peer, no DONE yet */
    ENTRY_ABORTED  /* answered already; its local slot is not free yet */
};

/** struct entry_key - member that accepted the request, and its id there */
struct entry_key {
    uint64_t origin;
    uint64_t id;
};

/**
 * struct entry - one request
 * @key: key in the table (must come first)
 * @request: as it arrived
 * @state: where it is
 * @runnable: it may run: no idempotency key, or the key is reserved
 * @maybe_started: some upstream may have begun it, so it is never "not run"
 * again
 * @caller_gone: its caller is gone; it ends only for the record of its key
 * @ran_locally: the last attempt was on the local upstream
 * @placement_tried: the policy has chosen a place for it once already
 * @avoid_local_until_us: goes to a peer rather than here before; here it
 * failed
 * @refused: why it came back unrun, the last time
 * @queued: linked into the queue
 * @arrived_us: when it arrived here
 * @started_us: RUNNING, AT_PEER: since when; ABORTED: when aborted
 * @peer: AT_PEER: member it was sent to
 * @attempts: upstreams that lost or refused it so far
 * @tried: members that have had it; none gets it twice
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

/** entry_table_new() - empty table; g_hash_table_destroy() frees entries */
GHashTable *
entry_table_new(void);

/** entry_find() - entry or NULL */
struct entry *
entry_find(GHashTable *table, uint64_t origin, uint64_t id);

/** entry_keys() - keys of all entries (struct entry_key), to visit them
 * while entries come and go; g_array_unref() it */
GArray *
entry_keys(GHashTable *table);

/** entry_add() - new waiting entry, owned by the table */
struct entry *
entry_add(GHashTable *table, uint64_t origin,
          const struct engine_request *request, uint64_t now_us);

/** entry_remove() - forget and free @entry, which must not be queued */
void
entry_remove(GHashTable *table, struct entry *entry);

/** entry_tried() - whether @member has had it already (or the list of
 * members is full, so that nobody may have it any more) */
bool
entry_tried(const struct entry *entry, uint64_t member);

/** entry_mark_tried() - remember that @member has had it */
void
entry_mark_tried(struct entry *entry, uint64_t member);

#endif
