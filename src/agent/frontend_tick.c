#include "agent/frontend_private.h"

#define STATUS_TIMEOUT 408

static void
tick_conn(struct frontend_conn *fc, uint64_t now_us)
{
    struct frontend *frontend = fc->frontend;

    if (fc->stalled_us != 0 &&
        now_us - fc->stalled_us > FRONTEND_WRITE_TIMEOUT_US) {
        frontend->stats.slow++;
        stack_abort(fc->conn);
        return;
    }
    if (fc->request_start_us != 0 && !fc->ended && !fc->paused &&
        now_us - fc->request_start_us > FRONTEND_READ_TIMEOUT_US) {
        frontend->stats.slow++;
        frontend_conn_reject(fc, STATUS_TIMEOUT, now_us);
        return;
    }
    if (g_queue_is_empty(&fc->slots) && frontend_conn_backlog(fc) == 0 &&
        now_us - fc->last_io_us > frontend->limits.idle_us) {
        stack_close(fc->conn);
    }
}

/* Resets stalled flows while the backlog of all flows exceeds its limit. */
static void
trim_backlog(struct frontend *frontend)
{
    for (GList *l = frontend->conns.head;
         l != NULL && frontend->backlog > FRONTEND_BACKLOG_TOTAL_MAX;
         l = l->next) {
        struct frontend_conn *fc = l->data;
        if (fc->stalled_us != 0) {
            frontend->stats.slow++;
            frontend_conn_discard_output(fc);
            stack_abort(fc->conn);
        }
    }
}

void
frontend_tick(struct frontend *frontend, uint64_t now_us)
{
    for (GList *l = frontend->conns.head; l != NULL; l = l->next) {
        tick_conn(l->data, now_us);
    }
    trim_backlog(frontend);
}

void
frontend_abort_unless(struct frontend *frontend,
                      bool (*keep)(const void *arg, struct addr local),
                      const void *arg)
{
    for (GList *l = frontend->conns.head; l != NULL; l = l->next) {
        struct frontend_conn *fc = l->data;
        if (!keep(arg, stack_conn_local(fc->conn))) {
            frontend_conn_stop_reading(fc);
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
frontend_abort_all(struct frontend *frontend)
{
    frontend_abort_unless(frontend, keep_none, NULL);
}

void
frontend_close_idle(struct frontend *frontend)
{
    for (GList *l = frontend->conns.head; l != NULL; l = l->next) {
        struct frontend_conn *fc = l->data;
        if (g_queue_is_empty(&fc->slots) && frontend_conn_backlog(fc) == 0) {
            frontend_conn_stop_reading(fc);
            stack_close(fc->conn);
        }
    }
}
