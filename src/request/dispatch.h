/**
 * DOC: dispatch - where a request runs
 *
 * A policy is a vtable. It places the next waiting request, says what else
 * to do once nothing more can be started, and hears what peers tell.
 */
#ifndef SWIFTARCH_REQUEST_DISPATCH_H
#define SWIFTARCH_REQUEST_DISPATCH_H

#include "request/state.h"

/**
 * struct dispatch_ops - a policy
 * @name: its name
 * @place: member to run @entry now: engine->self, a peer, or 0 to wait
 * @after_dispatch: called after all starts of a call, or NULL
 * @on_report: a STATUS, a PULL or a DONE with free slots came from @peer, or
 * NULL
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

/** dispatch_ops_of() - vtable of a policy */
const struct dispatch_ops *
dispatch_ops_of(enum engine_policy policy);

/** dispatch_run() - start what can be started, give up what is hopeless */
void
dispatch_run(struct engine *engine);

/** dispatch_free_slots() - local slots free for @entry */
unsigned
dispatch_free_slots(const struct engine *engine, const struct entry *entry);

/** dispatch_may_send() - whether @peer may be sent @entry now */
bool
dispatch_may_send(const struct engine *engine, const struct entry *entry,
                  const struct peer *peer);

/** dispatch_random() - some peer that may be sent @entry, or NULL */
struct peer *
dispatch_random(struct engine *engine, const struct entry *entry);

/** dispatch_default() - place of @entry: here if a slot is free; to wait if
 * the local upstream will serve it; else random peers one after the other, 0
 * when none is left */
uint64_t
dispatch_default(struct engine *engine, struct entry *entry);

/** dispatch_on_report() - the policy hears of @msg from @peer */
void
dispatch_on_report(struct engine *engine, struct peer *peer,
                   const struct engine_peer_msg *msg);

/** dispatch_send_status() - send our status to @peer */
void
dispatch_send_status(struct engine *engine, struct peer *peer);

/** dispatch_on_remote_run() - a peer sent a request to be run here */
void
dispatch_on_remote_run(struct engine *engine);

#endif
