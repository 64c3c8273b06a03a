/**
 * DOC: board - the blackboard of a process
 *
 * Controllers write, everyone reads. The view and the text are replaced
 * whole under RCU: read them between rcu_read_lock() and
 * rcu_read_unlock() on a thread registered with liburcu. The local part
 * is guarded by @lock, which is a leaf: nothing else is locked under it.
 */
#ifndef SWIFTARCH_CONTROL_BOARD_H
#define SWIFTARCH_CONTROL_BOARD_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "control/extension.h"
#include "control/view.h"
#include "text/text.h"

/**
 * struct board_local - what this process says of itself
 * @state: announced state
 * @service: agents: service of the announced upstream, or 0
 * @slots: slots of the upstream
 * @busy: slots busy now
 * @waiting: requests waiting now
 */
struct board_local {
    enum member_state state;
    uint32_t service;
    uint16_t slots;
    uint16_t busy;
    uint16_t waiting;
};

/** struct board - see DOC; @view and @text may be NULL at the start */
struct board {
    struct view *view;
    struct text *text;
    uint64_t text_since_us; /* clock when @text came in force */
    pthread_mutex_t lock;
    struct board_local local;
    struct extension *extension; /* NULL, or set before control_start() */
    uint64_t local_seq; /* grows with each board_set_local() that changed */
};

/** board_init() - an empty board, state MEMBER_WARMING */
void
board_init(struct board *board);

/** board_finish() - free what is published; no reader may be left */
void
board_finish(struct board *board);

/** board_view() - current view or NULL; inside an RCU read section */
const struct view *
board_view(struct board *board);

/** board_text() - text in force or NULL; inside an RCU read section */
const struct text *
board_text(struct board *board);

/** board_publish_view() - replace the view; frees the old one later */
void
board_publish_view(struct board *board, struct view *view);

/**
 * board_publish_text() - put @text in force if its version is higher
 *
 * Return: true if published; false leaves @text with the caller.
 */
bool
board_publish_text(struct board *board, struct text *text, uint64_t now_us);

/** board_set_local() - say something new of this process */
void
board_set_local(struct board *board, const struct board_local *local);

/** board_local() - copy of the local part, with its sequence if @seq */
struct board_local
board_local(struct board *board, uint64_t *seq);

#endif
