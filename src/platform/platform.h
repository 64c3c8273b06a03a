/**
 * DOC: platform - client of the platform's object API (HTTP or HTTPS)
 *
 *   GET /v1/objects/NAME                    200 body, ETag: "VERSION"; 404
 *   GET /v1/objects/NAME?after=V&wait=S     200 once the version is above V,
 *                                           304 after S seconds
 *   PUT /v1/objects/NAME, If-Match: "V"     200 ETag: "V+1"; 412 ETag: current
 *   PUT /v1/objects/NAME, If-None-Match: *  200 ETag: "1"; 412 if it exists
 *
 * Values are up to 1 MiB. The version grows by one with each write. The
 * configuration is the object "config"; the seed list of a cell is
 * "cell-NAME".
 */
#ifndef SWIFTARCH_PLATFORM_PLATFORM_H
#define SWIFTARCH_PLATFORM_PLATFORM_H

#include <event2/event.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

#define PLATFORM_VALUE_MAX (1u << 20) /* bytes */
#define PLATFORM_TIMEOUT_MS 2500

/**
 * struct platform_reply - result of a call
 * @status: 0, -ENOENT (404), -ESTALE (412), -EAGAIN (304), -ECONNREFUSED
 *          (nothing was sent), -EBUSY (429, 503), -EMSGSIZE (413, or a reply
 *          above 1 MiB), -EPROTO (no version in the reply), -ETIMEDOUT or
 *          another negative errno. After -ETIMEDOUT or another error a write
 *          may have taken effect: read the object.
 * @version: version of the object, 0 if unknown
 * @value: body, valid during the callback; NULL if none
 * @len: length of @value
 * @error: step, peer and reason of a failure
 */
struct platform_reply {
    int status;
    uint64_t version;
    const char *value;
    size_t len;
    struct error error;
};

/**
 * struct platform_call - a call in progress, owned by the caller
 * @done: called once with the result, on the thread of the event base
 */
struct platform_call {
    void (*done)(struct platform_call *call,
                 const struct platform_reply *reply);
};

struct platform;

/**
 * platform_new() - create a client; use it only on the thread of @base
 * @url: base URL, http:// or https://
 *
 * Return: the client or NULL with @err filled.
 */
struct platform *
platform_new(struct event_base *base, const char *url, struct error *err);

/** platform_free() - cancel all calls without their callbacks and free; not
 * to be called from a callback */
void
platform_free(struct platform *platform);

/**
 * platform_get() - read an object
 *
 * Return: 0, -EINVAL for an invalid @name, or another negative errno. @call is
 * not called back after an error. The same holds for the functions below.
 */
int
platform_get(struct platform *platform, const char *name,
             struct platform_call *call);

/** platform_watch() - wait up to @wait_s for a version above @after */
int
platform_watch(struct platform *platform, const char *name, uint64_t after,
               unsigned wait_s, struct platform_call *call);

/** platform_put() - write @name if its version is @expect, or if it doesn't
 * exist for @expect 0; -EMSGSIZE above PLATFORM_VALUE_MAX */
int
platform_put(struct platform *platform, const char *name, uint64_t expect,
             const char *value, size_t len, struct platform_call *call);

/** platform_calls() - number of calls started, watches included */
uint64_t
platform_calls(const struct platform *platform);

#endif
