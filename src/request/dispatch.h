/**
 * DOC: dispatch - decides where each queued request runs
 *
 * The policy is a vtable: it places the next queued request, acts once no more
 * requests can be started, and processes reports of peers.
 */
#ifndef SWIFTARCH_REQUEST_DISPATCH_H
#define SWIFTARCH_REQUEST_DISPATCH_H

#include "request/state.h"

/**
 * struct dispatch_ops - a dispatch policy
 * @name: see engine_policy_name()
 * @place: member that runs @entry now: engine->self, a peer, or 0 to keep
 *   it queued
 * @after_dispatch: called at the end of dispatch_run(), or NULL
 * @on_report: called for a STATUS, a PULL or a DONE with free slots from
 *   @peer, or NULL
 */
struct dispatch_ops {
    const char *name;
    uint64_t (*place)(struct engine *engine, struct entry *entry);
    void (*after_dispatch)(struct engine *engine);
    void (*on_report)(struct engine *engine, struct peer *peer,
                      const struct engine_peer_msg *msg);
};

extern const struct dispatch_ops dispatch_local;
extern const struct dispatch_ops dispatch_two_choices;
extern const struct dispatch_ops dispatch_idle_queue;
extern const struct dispatch_ops dispatch_probe;
extern const struct dispatch_ops dispatch_pull;

/** dispatch_ops_of() - vtable of @policy, NULL if unknown */
const struct dispatch_ops *
dispatch_ops_of(enum engine_policy policy);

/** dispatch_run() - drop requests that can't be served, then start as many
 * as possible */
void
dispatch_run(struct engine *engine);

/** dispatch_free_slots() - local slots free for @entry; 0 while it avoids
 * the local upstream */
unsigned
dispatch_free_slots(const struct engine *engine, const struct entry *entry);

/** dispatch_may_send() - whether @peer may be sent @entry now */
bool
dispatch_may_send(const struct engine *engine, const struct entry *entry,
                  const struct peer *peer);

/** dispatch_random() - random peer that may be sent @entry, or NULL */
struct peer *
dispatch_random(struct engine *engine, const struct entry *entry);

/**
 * dispatch_default() - where @entry runs without a hint from the policy
 *
 * Return: engine->self if a local slot is free, 0 to wait for the local
 * upstream if it serves the request, else a random untried peer or 0
 */
uint64_t
dispatch_default(struct engine *engine, struct entry *entry);

/** dispatch_on_report() - pass report @msg of @peer to the policy */
void
dispatch_on_report(struct engine *engine, struct peer *peer,
                   const struct engine_peer_msg *msg);

/** dispatch_send_status() - send a STATUS of this agent to @peer */
void
dispatch_send_status(struct engine *engine, struct peer *peer);

/** dispatch_on_remote_run() - update the pull state: a RUN of a peer
 * arrived */
void
dispatch_on_remote_run(struct engine *engine);

#endif
