/**
 * DOC: answer_reader - one upstream's answer to one request
 *
 * Reads a single HTTP/1.1 answer. It is complete only when its own framing
 * says so (Content-Length, chunks, or no body by definition); an answer
 * that ends with its connection cannot be told from a cut one and counts
 * as cut. Bytes after the complete answer are never read.
 */
#ifndef SWIFTARCH_AGENT_ANSWER_READER_H
#define SWIFTARCH_AGENT_ANSWER_READER_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>

#include "agent/fields.h"

#define ANSWER_HEADER_MAX 65536

/**
 * struct answer_reader - state of one answer
 * @parser: http_parser's state
 * @fields: its header fields
 * @phrase: reason phrase
 * @body: its body
 * @body_max: largest body taken, bytes
 * @head: it answers HEAD: no body follows
 * @started: at least one byte came
 * @complete: the complete answer was read
 * @failed: it is malformed or over a limit
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

/** answer_reader_init() - begin to read the answer */
void
answer_reader_init(struct answer_reader *reader, bool head, size_t body_max);

/** answer_reader_finish() - free what is held */
void
answer_reader_finish(struct answer_reader *reader);

/** answer_reader_feed() - read more bytes; sets complete or failed */
void
answer_reader_feed(struct answer_reader *reader, const char *data, size_t len);

/** answer_reader_refused() - complete, and it says "not begun": 503 with
 * Retry-After */
bool
answer_reader_refused(const struct answer_reader *reader);

/** answer_reader_take() - the complete answer in the form of answer.h */
GByteArray *
answer_reader_take(const struct answer_reader *reader);

#endif
