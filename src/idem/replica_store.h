/**
 * DOC: keeper - the replica's side: records kept for others
 */
#ifndef SWIFTARCH_IDEM_KEEPER_H
#define SWIFTARCH_IDEM_KEEPER_H

#include "idem/state.h"

/** replica_store_reserve() - RESERVE: grant, deny, or tell what is on record
 */
void
replica_store_reserve(struct idem *idem, uint64_t from,
                      const struct idem_msg *msg, uint64_t now_us,
                      struct idem_actions *out);

/** replica_store_release() - RELEASE: the owner said that it was not run
 * (others pass that on) */
void
replica_store_release(struct idem *idem, const struct idem_msg *msg);

/** replica_store_record() - RECORD: take it in unless a stronger one is here
 */
void
replica_store_record(struct idem *idem, uint64_t from,
                     const struct idem_msg *msg, uint64_t now_us,
                     struct idem_actions *out);

/** replica_store_ack() - ACK: @from holds the record */
void
replica_store_ack(struct idem *idem, uint64_t from,
                  const struct idem_msg *msg);

#endif
