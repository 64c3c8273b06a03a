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
#include "request/queue.h"

#define ENGINE_KEYS_MAX 200000

/**
 * struct engine - one agent's engine
 * @self: own member id
 * @random: seeded random numbers
 * @entries: every request known, local and remote
 * @queue: those of them that wait
 * @idem: idempotency keys
 * @idem_out: actions of @idem not yet carried out
 * @idem_done: how many of them have been
 * @held: answers that actions of the last call point to
 * @service: service of the local upstream
 * @slots: requests the local upstream runs at once
 * @accepting: it takes new work
 * @busy: local slots in use
 * @open: local requests without a final answer
 * @stopping: a planned stop has begun
 * @now_us: time of the current call
 * @out: actions of the current call
 */
struct engine {
    uint64_t self;
    GRand *random;
    GHashTable *entries;
    struct queue queue;
    struct idem *idem;
    struct idem_actions idem_out;
    size_t idem_done;
    GPtrArray *held;
    uint32_t service;
    unsigned slots;
    bool accepting;
    unsigned busy;
    unsigned open;
    bool stopping;
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

#endif
