/**
 * DOC: explain_request - what a request would meet, by the agent's own code
 */
#ifndef SWIFTARCH_CLI_EXPLAIN_REQUEST_H
#define SWIFTARCH_CLI_EXPLAIN_REQUEST_H

#include <glib.h>

#include "cli/snapshot.h"

/**
 * struct request_spec - a request in words
 * @service: service it is for
 * @method: HTTP method
 * @key: its Idempotency-Key, or NULL
 * @priority: its Priority field (RFC 9218), or NULL
 * @timeout_ms: its Request-Timeout-Ms, or NULL
 */
struct request_spec {
    const char *service;
    const char *method;
    const char *key;
    const char *priority;
    const char *timeout_ms;
};

/**
 * explain_request() - print to @out
 *
 * Return: 0, -ENOENT when the text has no such service, -EINVAL when the
 * request can't be read (both printed), -ENOMEM.
 */
int
explain_request(const struct snapshot *snapshot,
                const struct request_spec *spec, GString *out);

#endif
