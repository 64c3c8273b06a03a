/**
 * DOC: answer_reader - parser of an upstream's answer to one request
 *
 * An HTTP/1.1 answer is complete only by its framing (Content-Length, chunks,
 * or no body by definition). An answer delimited by the end of its connection
 * fails, as it cannot be distinguished from a truncated one. Bytes after the
 * complete answer are ignored.
 */
#ifndef SWIFTARCH_AGENT_ANSWER_READER_H
#define SWIFTARCH_AGENT_ANSWER_READER_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>

#include "agent/fields.h"

#define ANSWER_HEADER_MAX 65536 /* bytes of field names and values */

/**
 * struct answer_reader - state of one answer
 * @parser: http_parser's state
 * @fields: its header fields
 * @phrase: reason phrase
 * @body: its body
 * @body_max: largest body accepted, bytes
 * @head: it answers HEAD: no body follows
 * @started: at least one byte was received
 * @complete: the complete answer was read
 * @failed: it is malformed, not framed or over a limit
 */
struct answer_reader {
    http_parser parser;
    struct fields fields;
    GString *phrase;
    GByteArray *body;
    size_t body_max;
    bool head;
    bool started;
    bool complete;
    bool failed;
};

/** answer_reader_init() - initialize; @head for the answer to a HEAD request
 */
void
answer_reader_init(struct answer_reader *reader, bool head, size_t body_max);

/** answer_reader_finish() - free the reader's memory */
void
answer_reader_finish(struct answer_reader *reader);

/** answer_reader_feed() - parse more bytes; sets @complete or @failed at the
 * end */
void
answer_reader_feed(struct answer_reader *reader, const char *data, size_t len);

/** answer_reader_refused() - whether the upstream refused the request without
 * starting it: complete 503 with Retry-After */
bool
answer_reader_refused(const struct answer_reader *reader);

/** answer_reader_take() - create the complete answer in the form of answer.h
 */
GByteArray *
answer_reader_take(const struct answer_reader *reader);

#endif
