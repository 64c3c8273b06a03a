#include "agent/backend.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#include "agent/answer.h"
#include "agent/answer_reader.h"

/* State of a run; no byte is sent before BACKEND_SENT. */
enum backend_state { BACKEND_CONNECTING, BACKEND_SENT };

struct backend_run {
    struct backend *backend;
    struct bufferevent *bev;
    struct answer_reader reader;
    enum backend_state state;
    GByteArray *request;
    void *data;
    GList link;
};

static void
run_free(struct backend_run *run)
{
    g_queue_unlink(&run->backend->runs, &run->link);
    if (run->bev != NULL) {
        bufferevent_free(run->bev);
    }
    if (run->request != NULL) {
        g_byte_array_unref(run->request);
    }
    answer_reader_finish(&run->reader);
    g_free(run);
}

static void
run_end(struct backend_run *run, enum engine_upstream how)
{
    struct backend_owner *owner = run->backend->owner;
    void *data = run->data;
    GByteArray *answer = NULL;

    if (how == ENGINE_UP_ANSWERED) {
        answer = answer_reader_take(&run->reader);
    }
    run_free(run);
    owner->ops->on_end(owner, data, how, answer);
}

static void
on_readable(struct bufferevent *bev, void *arg)
{
    struct backend_run *run = arg;
    struct evbuffer *input = bufferevent_get_input(bev);

    while (evbuffer_get_length(input) > 0 && !run->reader.complete &&
           !run->reader.failed) {
        size_t len = evbuffer_get_contiguous_space(input);
        const char *data = (const char *)evbuffer_pullup(input, (long)len);
        answer_reader_feed(&run->reader, data, len);
        evbuffer_drain(input, len);
    }
    if (run->reader.complete) {
        run_end(run, answer_reader_refused(&run->reader) ? ENGINE_UP_REFUSED
                                                         : ENGINE_UP_ANSWERED);
    }
    else if (run->reader.failed) {
        run_end(run, ENGINE_UP_TRUNCATED);
    }
}

static void
send_request(struct backend_run *run)
{
    run->state = BACKEND_SENT;
    bufferevent_set_timeouts(run->bev, NULL, NULL);
    bufferevent_write(run->bev, run->request->data, run->request->len);
    g_byte_array_unref(run->request);
    run->request = NULL;
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    struct backend_run *run = arg;

    if ((what & BEV_EVENT_CONNECTED) != 0) {
        send_request(run);
        return;
    }
    if (run->state == BACKEND_CONNECTING) {
        run_end(run, ENGINE_UP_UNREACHED);
        return;
    }
    run_end(run, run->reader.started ? ENGINE_UP_TRUNCATED : ENGINE_UP_LOST);
}

static bool
run_connect(struct backend_run *run, struct addr upstream)
{
    const struct timeval timeout = {0, BACKEND_CONNECT_TIMEOUT_MS * 1000L};
    struct sockaddr_in sin = addr_to_sockaddr(upstream);

    /* Callbacks are deferred until backend_start() has returned. */
    run->bev = bufferevent_socket_new(run->backend->base, -1,
                                      BEV_OPT_CLOSE_ON_FREE |
                                          BEV_OPT_DEFER_CALLBACKS);
    if (run->bev == NULL) {
        return false;
    }
    bufferevent_setcb(run->bev, on_readable, NULL, on_event, run);
    bufferevent_set_timeouts(run->bev, NULL, &timeout);
    bufferevent_enable(run->bev, EV_READ | EV_WRITE);
    return bufferevent_socket_connect(run->bev, (struct sockaddr *)&sin,
                                      sizeof(sin)) == 0;
}

void
backend_init(struct backend *backend, struct event_base *base,
             struct backend_owner *owner)
{
    *backend = (struct backend){.base = base, .owner = owner};
    g_queue_init(&backend->runs);
}

void
backend_finish(struct backend *backend)
{
    struct backend_run *run;

    while ((run = g_queue_peek_head(&backend->runs)) != NULL) {
        run_free(run);
    }
}

struct backend_run *
backend_start(struct backend *backend, struct addr upstream,
              const GByteArray *http, const char *lines, size_t body_max,
              void *data)
{
    struct backend_run *run = g_new0(struct backend_run, 1);
    bool head = http->len >= 5 && memcmp(http->data, "HEAD ", 5) == 0;

    run->backend = backend;
    run->data = data;
    run->link.data = run;
    run->request = answer_with_field(http->data, http->len, lines);
    answer_reader_init(&run->reader, head, body_max);
    g_queue_push_tail_link(&backend->runs, &run->link);
    if (!run_connect(run, upstream)) {
        run_free(run);
        return NULL;
    }
    return run;
}

void
backend_abort(struct backend_run *run)
{
    run_free(run);
}
