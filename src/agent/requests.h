/**
 * DOC: requests - connects the request engine with flows, upstream and peers
 *
 * Stores each request's bytes by its origin and id, passes events to the
 * engine and executes its actions: runs at the upstream, messages to peers,
 * final answers to callers.
 */
#ifndef SWIFTARCH_AGENT_REQUESTS_H
#define SWIFTARCH_AGENT_REQUESTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "agent/backend.h"
#include "agent/frontend.h"
#include "request/engine.h"

struct agent;

#define REQUESTS_OUTCOMES ENGINE_OUTCOMES
#define REQUESTS_REASONS ENGINE_REASONS

/**
 * struct requests - requests of this agent's callers and of peers
 * @frontend_owner: receives the frontend's events; first member
 * @backend_owner: receives the backend's events
 * @agent: the agent it belongs to
 * @engine: the request engine
 * @out: actions of the engine not executed yet
 * @table: struct request by origin and id
 * @deferred: struct deferred, events that occurred while actions executed
 * @ended: struct ended_run, reported to the engine with the next tick
 * @executing: actions are being executed
 * @next_id: id of the next local request
 * @outcomes: counter handles of requests_total by outcome
 * @reasons: counter handles of requests_by_reason_total by reason
 * @runs: counter handle of upstream_runs_total
 */
struct requests {
    struct frontend_owner frontend_owner;
    struct backend_owner backend_owner;
    struct agent *agent;
    struct engine *engine;
    struct engine_actions out;
    GHashTable *table;
    GQueue deferred;
    GQueue ended;
    bool executing;
    uint64_t next_id;
    int outcomes[REQUESTS_OUTCOMES];
    int reasons[REQUESTS_REASONS];
    int runs;
};

/** requests_register() - register the counters; called before any thread
 * starts */
void
requests_register(struct agent *agent);

/**
 * requests_init() - create the engine and an empty table
 * @salt: high half of this agent's request ids; random, so that a restarted
 *        agent does not reuse ids
 *
 * Return: 0 or -ENOMEM.
 */
int
requests_init(struct agent *agent, uint32_t salt);

/** requests_finish() - free all requests and the engine */
void
requests_finish(struct agent *agent);

/** requests_execute_actions() - execute the actions of the last engine call,
 * then the deferred events; called after every engine call */
void
requests_execute_actions(struct agent *agent);

/** requests_peer() - handle a message of peer @from; @bytes is the request of
 * a RUN or the answer of a DONE, and may be NULL */
void
requests_peer(struct agent *agent, uint64_t from,
              const struct engine_peer_msg *msg, const uint8_t *bytes,
              size_t len, const char *traceparent);

/** requests_peer_lost() - the connection to a peer broke */
void
requests_peer_lost(struct agent *agent, uint64_t member);

/** requests_unsent() - RUN of local request @id could not be sent to @member
 */
void
requests_unsent(struct agent *agent, uint64_t member, uint64_t id);

/** requests_tick() - report ended runs and advance the engine's time; called
 * every 10 ms */
void
requests_tick(struct agent *agent);

/** requests_sweep() - free requests that are long past their deadline and have
 * neither run nor caller; called about once a second */
void
requests_sweep(struct agent *agent);

#endif
