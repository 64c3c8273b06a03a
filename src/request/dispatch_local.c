/**
 * DOC: dispatch_local - a request runs where its flow ends (hash only)
 *
 * Peers get requests only when no local upstream serves them.
 */
#include "request/dispatch.h"

static uint64_t
place(struct engine *engine, struct entry *entry)
{
    if (dispatch_free(engine, entry) > 0) {
        return engine->self;
    }
    return dispatch_no_home(engine, entry);
}

static void
settle(struct engine *engine)
{
}

static void
told(struct engine *engine, struct peer *peer,
     const struct engine_peer_msg *msg)
{
}

const struct dispatch_ops dispatch_local = {
    .name = "local",
    .place = place,
    .settle = settle,
    .told = told,
};
