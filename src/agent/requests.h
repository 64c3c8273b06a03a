/**
 * DOC: requests - the bytes and sockets behind the engine's requests
 *
 * Holds each request's bytes by its origin and id, hands events to the
 * engine and carries out its actions: runs at the upstream, messages to
 * peers, final answers to callers.
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
 * struct requests - all requests here, of own callers and of peers
 * @frontend_owner: what the frontend calls; first member
 * @backend_owner: what the back calls
 * @agent: the program
 * @engine: decides
 * @out: its actions
 * @table: struct request by origin and id
 * @deferred: events that arose while actions were carried out
 * @ended: struct ended_run to report with the next tick
 * @acting: actions are being carried out
 * @next_id: id of the next local request
 * @outcomes: counter handles by outcome
 * @reasons: counter handles by reason
 * @runs: counter handle
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
    bool acting;
    uint64_t next_id;
    int outcomes[REQUESTS_OUTCOMES];
    int reasons[REQUESTS_REASONS];
    int runs;
};

/** requests_register() - register the counters; before any thread */
void
requests_register(struct agent *agent);

/**
 * requests_init() - begin without requests
 * @salt: high half of the ids given here; random, so that a restarted
 *        agent never gives an id twice
 *
 * Return: 0 or -ENOMEM.
 */
int
requests_init(struct agent *agent, uint32_t salt);

/** requests_finish() - free all requests and the engine */
void
requests_finish(struct agent *agent);

/** requests_execute_actions() - carry out the actions that the last engine
 * call left; call after each engine call made elsewhere */
void
requests_execute_actions(struct agent *agent);

/** requests_peer() - a message of a peer; @http goes with RUN, @answer with
 * DONE, both may be NULL */
void
requests_peer(struct agent *agent, uint64_t from,
              const struct engine_peer_msg *msg, const uint8_t *bytes,
              size_t len, const char *traceparent);

/** requests_peer_lost() - the connection to a peer broke */
void
requests_peer_lost(struct agent *agent, uint64_t member);

/** requests_unsent() - RUN of local request @id never left for @member */
void
requests_unsent(struct agent *agent, uint64_t member, uint64_t id);

/** requests_tick() - drive the engine's time; every 10 ms */
void
requests_tick(struct agent *agent);

/** requests_sweep() - drop bytes that the engine has forgotten; about once a
 * second */
void
requests_sweep(struct agent *agent);

#endif
