/**
 * DOC: platform_loop - drives libcurl's transfers from a libevent base
 */
#ifndef SWIFTARCH_PLATFORM_PLATFORM_LOOP_H
#define SWIFTARCH_PLATFORM_PLATFORM_LOOP_H

#include <curl/curl.h>
#include <event2/event.h>

struct platform_loop;

/** struct platform_loop_ops - what the loop's owner is told */
struct platform_loop_ops {
    /** @done: a transfer ended; it is already off the loop */
    void (*done)(struct platform_loop *loop, CURL *easy, CURLcode result);
};

/** struct platform_loop - the vtable comes first */
struct platform_loop {
    const struct platform_loop_ops *ops;
    struct event_base *base;
    struct event *timer;
    CURLM *multi;
};

/** platform_loop_init() - 0 or -ENOMEM */
int
platform_loop_init(struct platform_loop *loop,
                   const struct platform_loop_ops *ops,
                   struct event_base *base);

/** platform_loop_finish() - free; no transfer may be left on it */
void
platform_loop_finish(struct platform_loop *loop);

/** platform_loop_add() - start a transfer; 0 or -ENOMEM */
int
platform_loop_add(struct platform_loop *loop, CURL *easy);

/** platform_loop_remove() - stop a transfer without telling the owner */
void
platform_loop_remove(struct platform_loop *loop, CURL *easy);

#endif
