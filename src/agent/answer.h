/**
 * DOC: answer - HTTP answers sent to callers
 *
 * An answer is one byte array: status line, end-to-end fields,
 * Content-Length, body. The frontend adds Via and Connection when it sends it
 * on a flow.
 */
#ifndef SWIFTARCH_AGENT_ANSWER_H
#define SWIFTARCH_AGENT_ANSWER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "request/engine.h"

/** answer_refusal() - create the agent's own answer for an outcome other than
 * ENGINE_ANSWERED; @retry_after_ms is sent when a retry is safe */
GByteArray *
answer_refusal(enum engine_outcome outcome, enum engine_reason reason,
               uint32_t retry_after_ms);

/** answer_error() - create the answer to a request that could not be read */
GByteArray *
answer_error(unsigned status);

/** answer_with_field() - copy a message with @line added after its fields;
 * @line is empty or ends in CR LF */
GByteArray *
answer_with_field(const uint8_t *answer, size_t len, const char *line);

/** answer_status() - status code of an answer, 0 when it is malformed */
unsigned
answer_status(const uint8_t *answer, size_t len);

/** answer_reason_name() - name of a reason in Proxy-Status and counters */
const char *
answer_reason_name(enum engine_reason reason);

/** answer_outcome_name() - name of an outcome in Swiftarch-Outcome and
 * counters
 */
const char *
answer_outcome_name(enum engine_outcome outcome);

#endif
