/**
 * DOC: remote - messages between engines
 */
#ifndef SWIFTARCH_REQUEST_REMOTE_H
#define SWIFTARCH_REQUEST_REMOTE_H

#include "request/state.h"

/** remote_receive() - a message other than IDEM came from member @from;
 * -EPROTO when it speaks for somebody else */
int
remote_receive(struct engine *engine, uint64_t from,
               const struct engine_peer_msg *msg, const uint8_t *answer,
               size_t answer_len);

/** remote_peer_lost() - @member is gone, and with it all that it had of ours
 */
void
remote_peer_lost(struct engine *engine, uint64_t member);

/** remote_send_failed() - a RUN for local @entry never left for its peer */
void
remote_send_failed(struct engine *engine, struct entry *entry);

/** remote_detach() - @entry is not at its peer any more */
void
remote_detach(struct engine *engine, struct entry *entry);

#endif
