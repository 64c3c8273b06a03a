/**
 * DOC: request - one request of a load and the check of its answer
 */
#ifndef STANDIN_CALLER_REQUEST_H
#define STANDIN_CALLER_REQUEST_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/trace.h"
#include "caller/record.h"
#include "caller/settings.h"

#define REQUEST_ATTEMPTS_MAX 3

/**
 * struct request - a request, sent up to REQUEST_ATTEMPTS_MAX times
 * @ids: X-Request-Id of each attempt; the first is the idempotency key too
 * @attempt: attempts made, this one included
 * @post: with an idempotency key, and retried
 * @start_us: intended start of this attempt
 * @deadline_us: of this attempt
 * @last_flow: flow of the attempt before, or RECORD_NO_FLOW
 * @trace: span of this attempt
 */
struct request {
    uint64_t ids[REQUEST_ATTEMPTS_MAX];
    unsigned attempt;
    bool post;
    uint64_t start_us;
    uint64_t deadline_us;
    int64_t last_flow;
    struct trace_context trace;
};

/** request_id() - X-Request-Id of the current attempt */
uint64_t
request_id(const struct request *request);

/** request_write() - append the HTTP text of the current attempt */
void
request_write(const struct request *request, const struct load_settings *load,
              uint64_t now_us, GByteArray *out);

/** request_body_byte() - byte @at of the answer to the attempt @id */
uint8_t
request_body_byte(uint64_t id, size_t at);

/**
 * struct answer - an answer while it is read
 * @parser: libhttp_parser's state
 * @request: whose answer comes next, NULL when none is due
 * @load: its load
 * @name: header name being read
 * @value: header value being read
 * @begun: some of the answer came
 * @complete: all of it came
 * @line: what was found out; result, status and checks
 * @id: X-Request-Id that it carries
 * @has_id: it carries one
 * @has_service: it carries X-Service
 * @replayed: it is the stored answer of an earlier attempt
 * @outcome: value of Swiftarch-Outcome
 * @via: name in the last Via: the host that owns the flow
 * @body: bytes of body so far
 */
struct answer {
    http_parser parser;
    const struct request *request;
    const struct load_settings *load;
    GString *name;
    GString *value;
    bool begun;
    bool complete;
    struct request_line line;
    uint64_t id;
    bool has_id;
    bool has_service;
    bool replayed;
    char outcome[16];
    char via[RECORD_VIA_MAX];
    size_t body;
};

/** answer_init() - prepare for the answers of a flow */
void
answer_init(struct answer *answer, const struct load_settings *load);

/** answer_finish() - free what it holds */
void
answer_finish(struct answer *answer);

/** answer_expect() - the next bytes answer @request */
void
answer_expect(struct answer *answer, const struct request *request);

/**
 * answer_read() - take bytes up to the end of one answer
 * @len: 0 at the end of the stream
 *
 * Return: bytes used, or -EBADMSG when they aren't HTTP.
 */
int
answer_read(struct answer *answer, const uint8_t *data, size_t len);

/** answer_closes() - the flow ends with this complete answer */
bool
answer_closes(const struct answer *answer);

#endif
