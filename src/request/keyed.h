/**
 * DOC: keyed - connects requests with an idempotency key to src/idem
 *
 * The key is reserved while the request is queued. The token of a reservation
 * is the request id.
 */
#ifndef SWIFTARCH_REQUEST_KEYED_H
#define SWIFTARCH_REQUEST_KEYED_H

#include "request/state.h"

/** keyed_begin() - reserve the key of local @entry; may end the request at
 * once */
void
keyed_begin(struct engine *engine, struct entry *entry);

/** keyed_end() - record the final answer of @entry or release its key;
 * @answer is the HTTP answer for ENGINE_ANSWERED */
void
keyed_end(struct engine *engine, const struct entry *entry,
          enum engine_outcome outcome, const uint8_t *answer,
          size_t answer_len);

/** keyed_receive() - process an IDEM message of member @from */
void
keyed_receive(struct engine *engine, uint64_t from,
              const struct idem_msg *msg);

/** keyed_set_view() - apply a new membership view */
void
keyed_set_view(struct engine *engine, const struct view *view);

/** keyed_tick() - process timeouts of reservations */
void
keyed_tick(struct engine *engine);

#endif
