#include "control/board.h"

#include <stdlib.h>
#include <string.h>
#include <urcu.h>

static void
free_view(struct rcu_head *head)
{
    free(caa_container_of(head, struct view, rcu));
}

static void
free_text(struct rcu_head *head)
{
    text_free(caa_container_of(head, struct text, rcu));
}

static bool
local_equal(const struct board_local *a, const struct board_local *b)
{
    return a->state == b->state && a->service == b->service &&
           a->slots == b->slots && a->busy == b->busy &&
           a->waiting == b->waiting;
}

void
board_init(struct board *board)
{
    memset(board, 0, sizeof(*board));
    pthread_mutex_init(&board->lock, NULL);
    board->local.state = MEMBER_WARMING;
}

void
board_finish(struct board *board)
{
    /* Deferred frees of older views and texts end first. */
    rcu_barrier();
    free(board->view);
    text_free(board->text);
    board->view = NULL;
    board->text = NULL;
    pthread_mutex_destroy(&board->lock);
}

const struct view *
board_view(struct board *board)
{
    return rcu_dereference(board->view);
}

const struct text *
board_text(struct board *board)
{
    return rcu_dereference(board->text);
}

void
board_publish_view(struct board *board, struct view *view)
{
    struct view *old = rcu_xchg_pointer(&board->view, view);

    if (old != NULL)
        call_rcu(&old->rcu, free_view);
}

bool
board_publish_text(struct board *board, struct text *text, uint64_t now_us)
{
    struct text *old;

    pthread_mutex_lock(&board->lock);
    old = board->text;
    if (old != NULL && old->version >= text->version) {
        pthread_mutex_unlock(&board->lock);
        return false;
    }
    __atomic_store_n(&board->text_since_us, now_us, __ATOMIC_RELAXED);
    rcu_assign_pointer(board->text, text);
    pthread_mutex_unlock(&board->lock);
    if (old != NULL)
        call_rcu(&old->rcu, free_text);
    return true;
}

void
board_set_local(struct board *board, const struct board_local *local)
{
    pthread_mutex_lock(&board->lock);
    if (!local_equal(&board->local, local)) {
        board->local = *local;
        board->local_seq++;
    }
    pthread_mutex_unlock(&board->lock);
}

struct board_local
board_local(struct board *board, uint64_t *seq)
{
    struct board_local local;

    pthread_mutex_lock(&board->lock);
    local = board->local;
    if (seq != NULL)
        *seq = board->local_seq;
    pthread_mutex_unlock(&board->lock);
    return local;
}
