/**
 * DOC: blackboard - state that the controllers of a process publish
 *
 * The view and the configuration are replaced as a unit under RCU: read them
 * between rcu_read_lock() and rcu_read_unlock() on a thread registered with
 * liburcu. The local part is guarded by @lock, a leaf lock: no other lock is
 * taken while it is held.
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
 * struct blackboard_local - state that this process announces to its cell
 * @state: announced state
 * @service: agents: service id of the announced upstream, or 0
 * @slots: slots of the upstream
 * @busy: slots in use
 * @waiting: requests queued
 */
struct blackboard_local {
    enum member_state state;
    uint32_t service;
    uint16_t slots;
    uint16_t busy;
    uint16_t waiting;
};

/**
 * struct blackboard - see DOC
 * @view: members of the cell, NULL before the first view
 * @text: configuration in force, NULL before the first one
 * @config_since_us: clock when @text came into force
 * @lock: guards @local and @local_seq
 * @local: state that this process announces
 * @extension: NULL, or set before control_start()
 * @local_seq: raised by each blackboard_set_local() that changes @local
 */
struct blackboard {
    struct view *view;
    struct service_config *text;
    uint64_t config_since_us;
    pthread_mutex_t lock;
    struct blackboard_local local;
    struct extension *extension;
    uint64_t local_seq;
};

/** blackboard_init() - empty the blackboard; the state is MEMBER_WARMING */
void
blackboard_init(struct blackboard *blackboard);

/** blackboard_finish() - free the published data; no reader may be left */
void
blackboard_finish(struct blackboard *blackboard);

/** blackboard_view() - current view or NULL; call in an RCU read section */
const struct view *
blackboard_view(struct blackboard *blackboard);

/** blackboard_config() - configuration in force or NULL; call in an RCU read
 * section */
const struct service_config *
blackboard_config(struct blackboard *blackboard);

/** blackboard_publish_view() - replace the view; the old one is freed
 * after a grace period */
void
blackboard_publish_view(struct blackboard *blackboard, struct view *view);

/**
 * blackboard_publish_config() - replace the configuration
 * @config: ignored unless its version is higher than the one in force
 * @now_us: recorded as the time when it came into force
 *
 * Return: true if published; false leaves @config with the caller.
 */
bool
blackboard_publish_config(struct blackboard *blackboard,
                          struct service_config *config, uint64_t now_us);

/** blackboard_set_local() - set the state that this process announces */
void
blackboard_set_local(struct blackboard *blackboard,
                     const struct blackboard_local *local);

/** blackboard_local() - copy the local part, and its sequence to @seq if set
 */
struct blackboard_local
blackboard_local(struct blackboard *blackboard, uint64_t *seq);

#endif
