/**
 * DOC: platform - client of the platform's object API (HTTP or HTTPS)
 *
 *   GET /v1/objects/NAME                    200 body, ETag: "VERSION"; 404
 *   GET /v1/objects/NAME?after=V&wait=S     200 once the version is above V,
 *                                           304 when S seconds passed
 *   PUT /v1/objects/NAME, If-Match: "V"     200 ETag: "V+1"; 412 ETag: now
 *   PUT /v1/objects/NAME, If-None-Match: *  200 ETag: "1"; 412 if it exists
 *
 * Values are up to 1 MiB. Versions grow by one with each write and never
 * go back. Statuses of their own: -ECONNREFUSED (nothing was sent), -EBUSY
 * (429, 503), -EMSGSIZE (413, or an answer above 1 MiB), -EPROTO (no
 * version in the answer). The configuration is the object "config"; the seed
 * list of a cell is "cell-NAME".
 */
#ifndef SWIFTARCH_PLATFORM_PLATFORM_H
#define SWIFTARCH_PLATFORM_PLATFORM_H

#include <event2/event.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

#define PLATFORM_VALUE_MAX (1u << 20)
#define PLATFORM_TIMEOUT_MS 2500

/**
 * struct platform_reply - what came back
 * @status: 0, -ENOENT, -ESTALE (412), -EAGAIN (304), -ETIMEDOUT, or another
 *          negative errno: for a write, whether it took effect is then
 *          unknown and must be settled by reading
 * @version: version of the object, 0 if unknown
 * @value: body (valid during the callback), NULL if none
 * @len: its length
 * @error: step and peer of a failure
 */
struct platform_reply {
    int status;
    uint64_t version;
    const char *value;
    size_t len;
    struct error error;
};

/** struct platform_call - caller-owned; @done is told once, at the end */
struct platform_call {
    void (*done)(struct platform_call *call,
                 const struct platform_reply *reply);
};

struct platform;

/**
 * platform_new() - a client on @base (all calls from that thread)
 * @url: base URL
 *
 * Return: the client or NULL with @err filled.
 */
struct platform *
platform_new(struct event_base *base, const char *url, struct error *err);

/** platform_free() - cancel what is open (no callback) and free; not from
 * inside a callback */
void
platform_free(struct platform *platform);

/** platform_get() - read an object */
int
platform_get(struct platform *platform, const char *name,
             struct platform_call *call);

/** platform_watch() - wait up to @wait_s for a version above @after */
int
platform_watch(struct platform *platform, const char *name, uint64_t after,
               unsigned wait_s, struct platform_call *call);

/** platform_put() - conditional write; @expect 0 means it must not exist */
int
platform_put(struct platform *platform, const char *name, uint64_t expect,
             const char *value, size_t len, struct platform_call *call);

/** platform_calls() - calls made so far, watches included */
uint64_t
platform_calls(const struct platform *platform);

#endif
