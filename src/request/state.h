/**
 * DOC: state - internal state of an engine (private to src/request)
 *
 * During a call into the engine, @now_us and @out hold the arguments of that
 * call.
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
 * struct dispatch - state of the dispatch policy
 * @announced: queued requests by class in the last announcement
 * @announced_at_us: time of the last announcement
 * @announce_at_us: time of the next announcement
 * @announce_gap_us: interval of announcements, grows until a PULL comes
 * @slot_advert_at_us: time of the last slot advert for balance
 * @slot_advert_interval_us: interval of slot adverts, grows while unused
 * @load_report_at_us: time of the next load report
 * @pulled_at_us: time of the last PULL
 * @slots_requested: requests pulled that have not arrived
 * @hold_until_us: a slot is held for a peer's request until then
 * @local_starts: local starts since a slot was last held
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
 * struct engine - engine of one agent
 * @ops: dispatch policy (must come first)
 * @self: own member id
 * @random: seeded random generator
 * @services: service configuration, NULL before the first
 * @entries: all known requests, local and remote
 * @queue: requests waiting to run
 * @quota: open requests by caller
 * @retry: retry budget
 * @estimate: run time and queue estimates
 * @peers: other agents
 * @upstream: local upstream
 * @seen: recently received requests of peers
 * @dispatch: state of the dispatch policy
 * @idem: idempotency keys
 * @idem_out: actions of @idem
 * @idem_done: actions in @idem_out already applied
 * @copied_answers: answers referenced by actions of the last call
 * @open: local requests without a final answer
 * @next_retry_at_us: latest retry time given to a refused caller
 * @stopping: engine_stop() was called
 * @counters: totals
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

/** engine_emit() - append an action of @type, other fields zero */
struct engine_action *
engine_emit(struct engine *engine, enum engine_action_type type);

/** engine_send() - append a message of @type to member @to, about @entry
 * unless NULL */
struct engine_action *
engine_send(struct engine *engine, uint64_t to, enum engine_peer_type type,
            const struct entry *entry);

/** engine_is_local() - whether @entry was accepted by this agent */
static inline bool
engine_is_local(const struct engine *engine, const struct entry *entry)
{
    return entry->key.origin == engine->self;
}

/** engine_dependency_down() - whether a dependency of @service has lost all
 * its working agents */
bool
engine_dependency_down(const struct engine *engine, uint32_t service);

#endif
