/**
 * DOC: blackboard - the blackboard of a process
 *
 * Controllers write, everyone reads. The view and the text are replaced
 * whole under RCU: read them between rcu_read_lock() and
 * rcu_read_unlock() on a thread registered with liburcu. The local part
 * is guarded by @lock, which is a leaf: nothing else is locked under it.
 */
#ifndef SWIFTARCH_CONTROL_BLACKBOARD_H
#define SWIFTARCH_CONTROL_BLACKBOARD_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "control/extension.h"
#include "control/view.h"
#include "service_config/service_config.h"

/**
 * struct blackboard_local - what this process says of itself
 * @state: announced state
 * @service: agents: service of the announced upstream, or 0
 * @slots: slots of the upstream
 * @busy: slots busy now
 * @waiting: requests waiting now
 */
struct blackboard_local {
    enum member_state state;
    uint32_t service;
    uint16_t slots;
    uint16_t busy;
    uint16_t waiting;
};

/** struct blackboard - see DOC; @view and @text may be NULL at the start */
struct blackboard {
    struct view *view;
    struct service_config *text;
    uint64_t config_since_us; /* clock when @text came in force */
    pthread_mutex_t lock;
    struct blackboard_local local;
    struct extension *extension; /* NULL, or set before control_start() */
    uint64_t
        local_seq; /* grows with each blackboard_set_local() that changed */
};

/** blackboard_init() - an empty blackboard, state MEMBER_WARMING */
void
blackboard_init(struct blackboard *blackboard);

/** blackboard_finish() - free what is published; no reader may be left */
void
blackboard_finish(struct blackboard *blackboard);

/** blackboard_view() - current view or NULL; inside an RCU read section */
const struct view *
blackboard_view(struct blackboard *blackboard);

/** blackboard_config() - text in force or NULL; inside an RCU read section */
const struct service_config *
blackboard_config(struct blackboard *blackboard);

/** blackboard_publish_view() - replace the view; frees the old one later */
void
blackboard_publish_view(struct blackboard *blackboard, struct view *view);

/**
 * blackboard_publish_config() - put @text in force if its version is higher
 *
 * Return: true if published; false leaves @text with the caller.
 */
bool
blackboard_publish_config(struct blackboard *blackboard,
                          struct service_config *text, uint64_t now_us);

/** blackboard_set_local() - say something new of this process */
void
blackboard_set_local(struct blackboard *blackboard,
                     const struct blackboard_local *local);

/** blackboard_local() - copy of the local part, with its sequence if @seq */
struct blackboard_local
blackboard_local(struct blackboard *blackboard, uint64_t *seq);

#endif
