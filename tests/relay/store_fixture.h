/**
 * DOC: store_fixture - a store that only writes down what it is asked, and is
 * answered by the test
 */
#ifndef SWIFTARCH_TESTS_RELAY_STORE_RIG_H
#define SWIFTARCH_TESTS_RELAY_STORE_RIG_H

#include <glib.h>

#include "relay/store/store.h"

/**
 * struct store_fixture - the store
 * @store: what is tested calls it
 * @call: the open call, or NULL
 * @record: a line for each call
 * @wait_ms: how long the last watch waits
 * @epoch: epoch of all answers, 0 for none
 */
struct store_fixture {
    struct store store;
    struct store_call *call;
    GString *record;
    unsigned wait_ms;
    uint32_t epoch;
};

/** store_fixture_init() - nothing asked yet */
void
store_fixture_init(struct store_fixture *fixture);

/** store_fixture_finish() - free the record */
void
store_fixture_finish(struct store_fixture *fixture);

/** store_fixture_reply() - end the open call; @name of one object, or NULL */
void
store_fixture_reply(struct store_fixture *fixture, int status,
                    uint64_t revision, const char *name, bool more);

#endif
