/**
 * DOC: keyed - requests with an idempotency key, between engine and idem
 *
 * The key is reserved while the request queues; the token of a reservation
 * is the id of the request.
 */
#ifndef SWIFTARCH_REQUEST_KEYED_H
#define SWIFTARCH_REQUEST_KEYED_H

#include "request/state.h"

/** keyed_begin() - reserve the key of local @entry; may finish it at once */
void
keyed_begin(struct engine *engine, struct entry *entry);

/** keyed_end() - @entry gets its final answer; record it or release the
 * key. @answer is the HTTP answer for ENGINE_ANSWERED. */
void
keyed_end(struct engine *engine, const struct entry *entry,
          enum engine_outcome outcome, const uint8_t *answer,
          size_t answer_len);

/** keyed_receive() - a message for idem */
void
keyed_receive(struct engine *engine, uint64_t from,
              const struct idem_msg *msg);

/** keyed_set_view() - members changed */
void
keyed_set_view(struct engine *engine, const struct view *view);

/** keyed_tick() - timeouts of reservations */
void
keyed_tick(struct engine *engine);

#endif
