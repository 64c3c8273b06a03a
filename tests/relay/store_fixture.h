/**
 * DOC: store_fixture - a store that records its calls; the test sends the
 * replies
 */
#ifndef SWIFTARCH_TESTS_RELAY_STORE_FIXTURE_H
#define SWIFTARCH_TESTS_RELAY_STORE_FIXTURE_H

#include <glib.h>

#include "relay/store/store.h"

/**
 * struct store_fixture - the store
 * @store: passed to the code under test
 * @call: the open call, or NULL
 * @record: one line for each call
 * @wait_ms: wait of the last watch
 * @epoch: epoch of all replies, 0 for none
 */
struct store_fixture {
    struct store store;
    struct store_call *call;
    GString *record;
    unsigned wait_ms;
    uint32_t epoch;
};

/** store_fixture_init() - starts with an empty record */
void
store_fixture_init(struct store_fixture *fixture);

/** store_fixture_finish() - frees the record */
void
store_fixture_finish(struct store_fixture *fixture);

/**
 * store_fixture_reply() - ends the open call
 * @status: 0 or a negative errno
 * @revision: revision of the reply and of its object
 * @name: name of the one object in the reply, or NULL for none
 * @more: the list continues
 */
void
store_fixture_reply(struct store_fixture *fixture, int status,
                    uint64_t revision, const char *name, bool more);

#endif
