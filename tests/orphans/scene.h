/**
 * DOC: scene - one backup that hears one owner, and messages for it
 */
#ifndef SWIFTARCH_TESTS_ORPHANS_SCENE_H
#define SWIFTARCH_TESTS_ORPHANS_SCENE_H

#include <glib.h>

#include "orphans/orphans.h"

#define SELF 7
#define OWNER 40
#define START_US (1000 * USEC_PER_SEC)
#define TICK_US (10 * USEC_PER_MSEC)
#define ALL_ROUNDS_US (BACKUP_LAST_ROUND_US + USEC_PER_SEC)

extern const struct addr scene_service;
extern const struct addr scene_other_service;

/** struct scene - a backup that hears one owner */
struct scene {
    struct orphans orphans;
    struct view *view;
    struct view_member *owner;
    uint64_t now_us;
};

/** scene_caller() - caller number @i */
struct addr
scene_caller(unsigned i);

/** scene_add() - add an agent that is alive and ready */
struct view_member *
scene_add(struct view *view, uint64_t id, uint32_t its_service,
          const char *data_centre);

/** scene_pair() - a view of ourselves and one owner */
struct view *
scene_pair(void);

/** scene_batch() - a batch of callers from number @first on */
struct orphan_message
scene_batch(uint64_t boot, uint32_t session, uint32_t seq, unsigned first,
            size_t opened, size_t closed);

/** scene_init() - begin */
void
scene_init(struct scene *scene);

/** scene_finish() - free it */
void
scene_finish(struct scene *scene);

/** scene_receive() - a message comes from the owner: 1 known, 0 asked anew, -1
 * no answer */
int
scene_receive(struct scene *scene, struct orphan_message message);

/** scene_apply_view() - use the changed view */
void
scene_apply_view(struct scene *scene);

/** scene_probes() - let time pass; the probes sent in it */
size_t
scene_probes(struct scene *scene, uint64_t us);

#endif
