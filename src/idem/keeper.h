/**
 * DOC: keeper - the replica's side: records kept for others
 */
#ifndef SWIFTARCH_IDEM_KEEPER_H
#define SWIFTARCH_IDEM_KEEPER_H

#include "idem/state.h"

/** keeper_reserve() - RESERVE: grant, deny, or tell what is on record */
void
keeper_reserve(struct idem *idem, uint64_t from, const struct idem_msg *msg,
               uint64_t now_us, struct idem_actions *out);

/** keeper_release() - RELEASE: the owner said that it was not run (others
 * pass that on) */
void
keeper_release(struct idem *idem, const struct idem_msg *msg);

/** keeper_record() - RECORD: take it in unless a stronger one is here */
void
keeper_record(struct idem *idem, uint64_t from, const struct idem_msg *msg,
              uint64_t now_us, struct idem_actions *out);

/** keeper_ack() - ACK: @from holds the record */
void
keeper_ack(struct idem *idem, uint64_t from, const struct idem_msg *msg);

#endif
