/**
 * DOC: explain_request - explains how a request would be handled
 *
 * Parses the request with the agent's reader, then prints its class, limits,
 * retries, dependencies, endpoints and idempotency replicas.
 */
#ifndef SWIFTARCH_CLI_EXPLAIN_REQUEST_H
#define SWIFTARCH_CLI_EXPLAIN_REQUEST_H

#include <glib.h>

#include "cli/snapshot.h"

/**
 * struct request_spec - a request to explain
 * @service: name of the service
 * @method: HTTP method
 * @key: Idempotency-Key field, or NULL
 * @priority: Priority field (RFC 9218), or NULL
 * @timeout_ms: Request-Timeout-Ms field, or NULL
 */
struct request_spec {
    const char *service;
    const char *method;
    const char *key;
    const char *priority;
    const char *timeout_ms;
};

/**
 * explain_request() - append the explanation to @out
 *
 * Return: 0, -ENOENT if the config has no such service, -EINVAL if the
 * request can't be parsed (both with a message in @out), or -ENOMEM.
 */
int
explain_request(const struct snapshot *snapshot,
                const struct request_spec *spec, GString *out);

#endif
