/**
 * DOC: state - what the parts of one engine share (private to src/request)
 *
 * During a call into the engine, @now_us and @out hold the arguments of
 * that call, so the parts need not pass them on.
 */
#ifndef SWIFTARCH_REQUEST_STATE_H
#define SWIFTARCH_REQUEST_STATE_H

#include <glib.h>

#include "request/engine.h"
#include "request/entry.h"
#include "request/estimate.h"
#include "request/quota.h"
#include "request/peers.h"
#include "request/queue.h"
#include "request/retry.h"
#include "request/seen.h"
#include "request/services.h"
#include "request/upstream.h"

#define ENGINE_KEYS_MAX 200000

struct dispatch_ops;

/**
 * struct dispatch - what the dispatch policy remembers
 * @announced: urgent and ordinary waiting, as last announced
 * @announced_at_us: when that was
 * @announce_at_us: when peers are told next that requests wait here
 * @announce_gap_us: time until then grows while nobody comes for them
 * @slot_advert_at_us: when a slot was last offered for balance
 * @slot_advert_interval_us: time until the next offer grows while none is
 * taken
 * @load_report_at_us: when some peers are told our load next
 * @pulled_at_us: when a peer was last slots_requested for waiting work
 * @slots_requested: requests slots_requested for that have not come
 * @hold_until_us: a slot is kept for a request of a peer until then
 * @local_starts: local starts since a slot was last kept
 */
struct dispatch {
    unsigned announced[2];
    uint64_t announced_at_us;
    uint64_t announce_at_us;
    uint64_t announce_gap_us;
    uint64_t slot_advert_at_us;
    uint64_t slot_advert_interval_us;
    uint64_t load_report_at_us;
    uint64_t pulled_at_us;
    unsigned slots_requested;
    uint64_t hold_until_us;
    unsigned local_starts;
};

/**
 * struct engine - one agent's engine
 * @ops: dispatch policy (must come first)
 * @self: own member id
 * @random: seeded random numbers
 * @services: the configuration, NULL before there is one
 * @entries: every request known, local and remote
 * @queue: those of them that wait
 * @quota: open requests by caller
 * @retry: budget for retries
 * @estimate: of run and waiting times
 * @peers: other agents
 * @upstream: local upstream
 * @seen: requests of peers decided here
 * @dispatch: what the policy remembers
 * @idem: idempotency keys
 * @idem_out: actions of @idem not yet carried out
 * @idem_done: how many of them have been
 * @copied_answers: answers that actions of the last call point to
 * @open: local requests without a final answer
 * @next_retry_at_us: refused callers have been told to come back until then
 * @stopping: a planned stop has begun
 * @counters: what happened so far
 * @now_us: time of the current call
 * @out: actions of the current call
 */
struct engine {
    const struct dispatch_ops *ops;
    uint64_t self;
    GRand *random;
    GHashTable *services;
    GHashTable *entries;
    struct queue queue;
    struct quota quota;
    struct retry retry;
    struct estimate estimate;
    struct peers peers;
    struct upstream upstream;
    struct seen seen;
    struct dispatch dispatch;
    struct idem *idem;
    struct idem_actions idem_out;
    size_t idem_done;
    GPtrArray *copied_answers;
    unsigned open;
    uint64_t next_retry_at_us;
    bool stopping;
    struct engine_counters counters;
    uint64_t now_us;
    struct engine_actions *out;
};

/** engine_emit() - append an action of @type, zeroed otherwise */
struct engine_action *
engine_emit(struct engine *engine, enum engine_action_type type);

/** engine_send() - append a message of @type about @entry (or NULL) to @to */
struct engine_action *
engine_send(struct engine *engine, uint64_t to, enum engine_peer_type type,
            const struct entry *entry);

/** engine_is_local() - whether @entry was accepted by this agent */
static inline bool
engine_is_local(const struct engine *engine, const struct entry *entry)
{
    return entry->key.origin == engine->self;
}

/** engine_dependency_down() - a service that @service depends on has no
 * working upstream any more */
bool
engine_dependency_down(const struct engine *engine, uint32_t service);

#endif
