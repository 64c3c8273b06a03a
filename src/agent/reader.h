/**
 * DOC: reader - parser of the HTTP/1.1 requests of one caller's flow
 *
 * Enforces size limits and passes each complete request to its owner in the
 * form sent to an upstream: end-to-end fields only, body with Content-Length.
 */
#ifndef SWIFTARCH_AGENT_READER_H
#define SWIFTARCH_AGENT_READER_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "agent/fields.h"
#include "service_config/service_config.h"

#define READER_HEADER_MAX 16384  /* bytes of field names and values */
#define READER_KEY_MAX 255       /* bytes of an Idempotency-Key */
#define READER_URGENCY_DEFAULT 3 /* RFC 9218 */
#define READER_TIMEOUT_MS_MAX 3600000
#define TRACEPARENT_MAX 64 /* bytes, with NUL */

/**
 * struct reader_request - one complete request
 * @idempotent: its method is idempotent
 * @keep_alive: another request may follow on the flow
 * @keyed: has an Idempotency-Key
 * @key_hash: 128-bit hash of that key
 * @fingerprint: hash of method, target and body, set with @keyed
 * @urgency: u= of its Priority field, 0 (most urgent) to 7
 * @timeout_ms: its Request-Timeout-Ms, 0 without one
 * @traceparent: W3C trace context, or empty
 * @http: the request as sent to an upstream; owned by the receiver
 */
struct reader_request {
    bool idempotent;
    bool keep_alive;
    bool keyed;
    uint64_t key_hash[2];
    uint64_t fingerprint;
    unsigned urgency;
    uint32_t timeout_ms;
    char traceparent[TRACEPARENT_MAX];
    GByteArray *http;
};

struct reader;
struct reader_owner;

/** struct reader_ops - events for the owner of a reader */
struct reader_ops {
    /** @on_request: a complete request; may call reader_pause() */
    void (*on_request)(struct reader_owner *owner,
                       struct reader_request *request);
    /** @on_continue: the caller expects "100 Continue" */
    void (*on_continue)(struct reader_owner *owner);
};

/** struct reader_owner - owner of a reader; the vtable comes first */
struct reader_owner {
    const struct reader_ops *ops;
};

/**
 * struct reader - state of one flow's parser
 * @owner: receives requests
 * @parser: http_parser's state
 * @fields: header fields of the request being read
 * @target: its target, NULL between requests
 * @body: its body, NULL while there is none
 * @body_max: largest body accepted, bytes
 * @status: HTTP status for a bad request, 0 without an error
 * @in_message: between the first byte and the end of a request
 * @headers_done: its header section is complete
 */
struct reader {
    struct reader_owner *owner;
    http_parser parser;
    struct fields fields;
    GString *target;
    GByteArray *body;
    size_t body_max;
    unsigned status;
    bool in_message;
    bool headers_done;
};

/** reader_class() - class of a request: that of its service, or ordinary when
 * it is less urgent than the default */
static inline enum service_config_class
reader_class(enum service_config_class service, unsigned urgency)
{
    return urgency <= READER_URGENCY_DEFAULT ? service
                                             : SERVICE_CONFIG_ORDINARY;
}

/** reader_init() - initialize the reader of a flow */
void
reader_init(struct reader *reader, struct reader_owner *owner,
            size_t body_max);

/** reader_finish() - free the partially read request */
void
reader_finish(struct reader *reader);

/**
 * reader_feed() - parse more bytes of the flow
 *
 * Return: bytes consumed; fewer than @len after reader_pause(), or after an
 * error (reader->status is not 0).
 */
size_t
reader_feed(struct reader *reader, const char *data, size_t len);

/** reader_pause() - stop after the current request; the caller feeds the rest
 * again later */
void
reader_pause(struct reader *reader);

/** reader_urgency() - u= of a Priority field (RFC 9218), or
 * READER_URGENCY_DEFAULT; @priority may be NULL */
unsigned
reader_urgency(const char *priority);

#endif
