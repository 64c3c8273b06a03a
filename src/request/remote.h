/**
 * DOC: remote - handles messages between engines and lost peers
 */
#ifndef SWIFTARCH_REQUEST_REMOTE_H
#define SWIFTARCH_REQUEST_REMOTE_H

#include "request/state.h"

/** remote_receive() - process a message of member @from; -EPROTO if it is
 * an IDEM, or if its origin doesn't fit sender and type */
int
remote_receive(struct engine *engine, uint64_t from,
               const struct engine_peer_msg *msg, const uint8_t *answer,
               size_t answer_len);

/** remote_peer_lost() - fail the requests exchanged with @member, whose
 * connection broke */
void
remote_peer_lost(struct engine *engine, uint64_t member);

/** remote_send_failed() - the RUN of local @entry was never sent */
void
remote_send_failed(struct engine *engine, struct entry *entry);

/** remote_detach() - @entry is no longer in progress at its peer */
void
remote_detach(struct engine *engine, struct entry *entry);

#endif
