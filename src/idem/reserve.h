/**
 * DOC: reserve - the coordinator role: reserves the keys of local requests and
 * reports their outcomes
 */
#ifndef SWIFTARCH_IDEM_RESERVE_H
#define SWIFTARCH_IDEM_RESERVE_H

#include "idem/state.h"

/** reserve_begin() - see idem_begin() */
int
reserve_begin(struct idem *idem, uint64_t token, const struct idem_key *key,
              uint64_t now_us, struct idem_actions *out);

/** reserve_end() - see idem_end() */
int
reserve_end(struct idem *idem, uint64_t token, bool not_run,
            enum idem_state state, const uint8_t *answer, size_t answer_len,
            uint64_t now_us, struct idem_actions *out);

/** reserve_receive() - handle GRANT, EXISTS, DENY, and a RECORD of a key that
 * is being reserved here */
void
reserve_receive(struct idem *idem, uint64_t from, const struct idem_msg *msg,
                uint64_t now_us, struct idem_actions *out);

/** reserve_tick() - repeat queries and time out pending requests */
void
reserve_tick(struct idem *idem, uint64_t now_us, struct idem_actions *out);

#endif
