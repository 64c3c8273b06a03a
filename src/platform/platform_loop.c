#include "platform/platform_loop.h"

#include <errno.h>

#include "base/clock.h"

static void
tell_done(struct platform_loop *loop)
{
    CURLMsg *msg;
    int left;

    while ((msg = curl_multi_info_read(loop->multi, &left)) != NULL) {
        CURL *easy = msg->easy_handle;
        CURLcode result = msg->data.result;

        if (msg->msg == CURLMSG_DONE) {
            curl_multi_remove_handle(loop->multi, easy);
            loop->ops->done(loop, easy, result);
        }
    }
}

static void
on_socket_event(evutil_socket_t fd, short events, void *arg)
{
    struct platform_loop *loop = arg;
    int running;
    int mask = 0;

    mask |= events & EV_READ ? CURL_CSELECT_IN : 0;
    mask |= events & EV_WRITE ? CURL_CSELECT_OUT : 0;
    curl_multi_socket_action(loop->multi, fd, mask, &running);
    tell_done(loop);
}

static void
on_timer(evutil_socket_t fd, short events, void *arg)
{
    struct platform_loop *loop = arg;
    int running;

    curl_multi_socket_action(loop->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    tell_done(loop);
}

static int
watch_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *assigned)
{
    struct platform_loop *loop = arg;
    struct event *event = assigned;
    short events = EV_PERSIST;

    if (event != NULL) {
        event_free(event);
        curl_multi_assign(loop->multi, fd, NULL);
    }
    if (what == CURL_POLL_REMOVE) {
        return 0;
    }
    events |= what & CURL_POLL_IN ? EV_READ : 0;
    events |= what & CURL_POLL_OUT ? EV_WRITE : 0;
    event = event_new(loop->base, fd, events, on_socket_event, loop);
    if (event == NULL || event_add(event, NULL) < 0) {
        return -1;
    }
    curl_multi_assign(loop->multi, fd, event);
    return 0;
}

static int
set_timer(CURLM *multi, long timeout_ms, void *arg)
{
    struct platform_loop *loop = arg;
    struct timeval wait = {
        .tv_sec = timeout_ms / 1000,
        .tv_usec = timeout_ms % 1000 * (long)USEC_PER_MSEC,
    };

    if (timeout_ms < 0) {
        evtimer_del(loop->timer);
    }
    else {
        evtimer_add(loop->timer, &wait);
    }
    return 0;
}

int
platform_loop_init(struct platform_loop *loop,
                   const struct platform_loop_ops *ops,
                   struct event_base *base)
{
    *loop = (struct platform_loop){.ops = ops, .base = base};
    loop->timer = evtimer_new(base, on_timer, loop);
    loop->multi = curl_multi_init();
    if (loop->timer == NULL || loop->multi == NULL) {
        platform_loop_finish(loop);
        return -ENOMEM;
    }
    curl_multi_setopt(loop->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
    curl_multi_setopt(loop->multi, CURLMOPT_SOCKETDATA, loop);
    curl_multi_setopt(loop->multi, CURLMOPT_TIMERFUNCTION, set_timer);
    curl_multi_setopt(loop->multi, CURLMOPT_TIMERDATA, loop);
    return 0;
}

void
platform_loop_finish(struct platform_loop *loop)
{
    if (loop->multi != NULL) {
        curl_multi_cleanup(loop->multi);
    }
    if (loop->timer != NULL) {
        event_free(loop->timer);
    }
    loop->multi = NULL;
    loop->timer = NULL;
}

int
platform_loop_add(struct platform_loop *loop, CURL *easy)
{
    return curl_multi_add_handle(loop->multi, easy) == CURLM_OK ? 0 : -ENOMEM;
}

void
platform_loop_remove(struct platform_loop *loop, CURL *easy)
{
    curl_multi_remove_handle(loop->multi, easy);
}
