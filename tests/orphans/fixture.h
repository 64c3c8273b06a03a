/**
 * DOC: fixture - a backup with one owner, and messages for it
 */
#ifndef SWIFTARCH_TESTS_ORPHANS_FIXTURE_H
#define SWIFTARCH_TESTS_ORPHANS_FIXTURE_H

#include <glib.h>

#include "orphans/orphans.h"

#define SELF 7
#define OWNER 40
#define START_US (1000 * USEC_PER_SEC)
#define TICK_US (10 * USEC_PER_MSEC)
#define ALL_ROUNDS_US (BACKUP_LAST_ROUND_US + USEC_PER_SEC)

extern const struct addr fixture_service;
extern const struct addr fixture_other_service;

/** struct fixture - a backup, its view and one owner in it */
struct fixture {
    struct orphans orphans;
    struct view *view;
    struct view_member *owner;
    uint64_t now_us;
};

/** fixture_caller() - caller number @i */
struct addr
fixture_caller(unsigned i);

/** fixture_add() - add an agent to a view, alive and ready */
struct view_member *
fixture_add(struct view *view, uint64_t id, uint32_t service,
            const char *data_centre);

/** fixture_pair() - create a view of SELF and OWNER */
struct view *
fixture_pair(void);

/** fixture_batch() - create a batch of the callers from number @first on */
struct orphan_message
fixture_batch(uint64_t boot, uint32_t session, uint32_t seq, unsigned first,
              size_t opened, size_t closed);

/** fixture_init() - create the backup with a view of fixture_pair() */
void
fixture_init(struct fixture *fixture);

/** fixture_finish() - free the fixture's memory */
void
fixture_finish(struct fixture *fixture);

/** fixture_receive() - receive a message from the owner; returns 1 if the
 * reply is known, 0 if it requests all flows, -1 if there is none */
int
fixture_receive(struct fixture *fixture, struct orphan_message message);

/** fixture_apply_view() - apply the changed view */
void
fixture_apply_view(struct fixture *fixture);

/** fixture_probes() - advance the time by @us; returns the probes sent */
size_t
fixture_probes(struct fixture *fixture, uint64_t us);

#endif
