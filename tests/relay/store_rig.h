/**
 * DOC: store_rig - a store that only writes down what it is asked, and is
 * answered by the test
 */
#ifndef SWIFTARCH_TESTS_RELAY_STORE_RIG_H
#define SWIFTARCH_TESTS_RELAY_STORE_RIG_H

#include <glib.h>

#include "relay/store/store.h"

/**
 * struct store_rig - the store
 * @store: what is tested calls it
 * @call: the open call, or NULL
 * @record: a line for each call
 * @wait_ms: how long the last watch waits
 * @era: era of all answers, 0 for none
 */
struct store_rig {
    struct store store;
    struct store_call *call;
    GString *record;
    unsigned wait_ms;
    uint32_t era;
};

/** store_rig_init() - nothing asked yet */
void
store_rig_init(struct store_rig *rig);

/** store_rig_finish() - free the record */
void
store_rig_finish(struct store_rig *rig);

/** store_rig_answer() - end the open call; @name of one object, or NULL */
void
store_rig_answer(struct store_rig *rig, int status, uint64_t revision,
                 const char *name, bool more);

#endif
