/**
 * DOC: answer - the answers that callers get
 *
 * An answer is held whole and in one form: status line, end-to-end
 * fields, Content-Length, body. Connection is set when it is written to a
 * flow.
 */
#ifndef SWIFTARCH_AGENT_ANSWER_H
#define SWIFTARCH_AGENT_ANSWER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "request/engine.h"

/** answer_refusal() - an answer of our own for an outcome that is not
 * ENGINE_ANSWERED */
GByteArray *
answer_refusal(enum engine_outcome outcome, enum engine_reason reason,
               uint32_t retry_after_ms);

/** answer_error() - an answer to a request that could not be read */
GByteArray *
answer_error(unsigned status);

/** answer_with_field() - copy of a message with @line put after its fields;
 * @line ends in CR LF */
GByteArray *
answer_with_field(const uint8_t *answer, size_t len, const char *line);

/** answer_status() - status code of an answer, 0 when it has none */
unsigned
answer_status(const uint8_t *answer, size_t len);

/** answer_reason_name() - name of a reason, for Proxy-Status and counters */
const char *
answer_reason_name(enum engine_reason reason);

/** answer_outcome_name() - name of an outcome */
const char *
answer_outcome_name(enum engine_outcome outcome);

#endif
