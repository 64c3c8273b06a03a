#include "agent/front_private.h"

#define STATUS_TIMEOUT 408

static void
tick_conn(struct front_conn *fc, uint64_t now_us)
{
    struct front *front = fc->front;

    if (fc->stalled_us != 0 &&
        now_us - fc->stalled_us > FRONT_WRITE_TIMEOUT_US) {
        front->stats.slow++;
        stack_abort(fc->conn);
        return;
    }
    if (fc->request_us != 0 && !fc->ended && !fc->paused &&
        now_us - fc->request_us > FRONT_READ_TIMEOUT_US) {
        front->stats.slow++;
        front_conn_answer_bad(fc, STATUS_TIMEOUT, now_us);
        return;
    }
    if (g_queue_is_empty(&fc->slots) && front_conn_backlog(fc) == 0 &&
        now_us - fc->bytes_us > front->limits.idle_us) {
        stack_close(fc->conn);
    }
}

/* Over the common bound, flows that take nothing go first. */
static void
trim_backlog(struct front *front)
{
    for (GList *l = front->conns.head;
         l != NULL && front->backlog > FRONT_BACKLOG_ALL_MAX; l = l->next) {
        struct front_conn *fc = l->data;
        if (fc->stalled_us != 0) {
            front->stats.slow++;
            front_conn_drop_out(fc);
            stack_abort(fc->conn);
        }
    }
}

void
front_tick(struct front *front, uint64_t now_us)
{
    for (GList *l = front->conns.head; l != NULL; l = l->next) {
        tick_conn(l->data, now_us);
    }
    trim_backlog(front);
}

void
front_abort_unless(struct front *front,
                   bool (*is_kept)(const void *arg, struct addr local),
                   const void *arg)
{
    for (GList *l = front->conns.head; l != NULL; l = l->next) {
        struct front_conn *fc = l->data;
        if (!is_kept(arg, stack_conn_local(fc->conn))) {
            front_conn_end_reading(fc);
            stack_abort(fc->conn);
        }
    }
}

static bool
keep_none(const void *arg, struct addr local)
{
    return false;
}

void
front_abort_all(struct front *front)
{
    front_abort_unless(front, keep_none, NULL);
}

void
front_close_idle(struct front *front)
{
    for (GList *l = front->conns.head; l != NULL; l = l->next) {
        struct front_conn *fc = l->data;
        if (g_queue_is_empty(&fc->slots) && front_conn_backlog(fc) == 0) {
            front_conn_end_reading(fc);
            stack_close(fc->conn);
        }
    }
}
