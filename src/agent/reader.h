/**
 * DOC: reader - requests of one caller's flow, read from its bytes
 *
 * Parses HTTP/1.1 (http_parser), keeps within limits, and hands out each
 * whole request in the form in which it goes to an upstream: end-to-end
 * fields only, body with Content-Length.
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

#define READER_HEADER_MAX 16384
#define READER_KEY_MAX 255
#define READER_URGENCY_DEFAULT 3
#define READER_TIMEOUT_MS_MAX 3600000
#define TRACEPARENT_MAX 64

/**
 * struct reader_request - one whole request
 * @idempotent: its method may be run twice
 * @keep_alive: the flow may carry another request after it
 * @keyed: has an Idempotency-Key
 * @key_hash: 128-bit hash of that key
 * @fingerprint: hash of method, target and body
 * @urgency: u= of its Priority field, 0 (most urgent) to 7
 * @timeout_ms: its Request-Timeout-Ms, 0 without
 * @traceparent: W3C trace context, or empty
 * @http: the request as it goes to an upstream; taken over by the receiver
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

/** struct reader_ops - what the owner of a reader is told */
struct reader_ops {
    /** @on_request: a whole request; may call reader_pause() */
    void (*on_request)(struct reader_owner *owner,
                       struct reader_request *request);
    /** @on_continue: the caller waits for "100 Continue" */
    void (*on_continue)(struct reader_owner *owner);
};

/** struct reader_owner - owner of a reader; the vtable comes first */
struct reader_owner {
    const struct reader_ops *ops;
};

/**
 * struct reader - state of one flow's parser
 * @owner: told of requests
 * @parser: http_parser's state
 * @fields: header fields of the request being read
 * @target: its target, NULL before it began
 * @body: its body, NULL while there is none
 * @body_max: largest body taken, bytes
 * @status: HTTP status that answers a bad request, 0 while all is well
 * @in_message: between the first byte and the end of a request
 * @headers_done: its header was read whole
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

/** reader_class() - class of a request of a service: urgent work may call
 * itself less urgent, ordinary work stays ordinary */
static inline enum service_config_class
reader_class(enum service_config_class service, unsigned urgency)
{
    return urgency <= READER_URGENCY_DEFAULT ? service
                                             : SERVICE_CONFIG_ORDINARY;
}

/** reader_init() - begin to read a flow */
void
reader_init(struct reader *reader, struct reader_owner *owner,
            size_t body_max);

/** reader_finish() - free what is held */
void
reader_finish(struct reader *reader);

/**
 * reader_feed() - read more bytes of the flow
 *
 * Return: bytes taken; fewer than @len after reader_pause(), or when
 * reader->status says why nothing further can be read.
 */
size_t
reader_feed(struct reader *reader, const char *data, size_t len);

/** reader_pause() - stop after the present request; feed the rest again
 * later */
void
reader_pause(struct reader *reader);

/** reader_urgency() - u= of a Priority field (RFC 9218), default 3 */
unsigned
reader_urgency(const char *priority);

#endif
