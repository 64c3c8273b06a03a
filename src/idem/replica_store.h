/**
 * DOC: replica_store - the replica role: handles messages about the records
 * that this agent stores for other coordinators
 */
#ifndef SWIFTARCH_IDEM_REPLICA_STORE_H
#define SWIFTARCH_IDEM_REPLICA_STORE_H

#include "idem/state.h"

/** replica_store_reserve() - reply to RESERVE with GRANT, DENY or the existing
 * record */
void
replica_store_reserve(struct idem *idem, uint64_t from,
                      const struct idem_msg *msg, uint64_t now_us,
                      struct idem_actions *out);

/** replica_store_release() - handle RELEASE, from the owner or forwarded by
 * another replica: remove the record of a request that was not run */
void
replica_store_release(struct idem *idem, const struct idem_msg *msg);

/** replica_store_record() - handle RECORD: store it unless the present record
 * is more certain */
void
replica_store_record(struct idem *idem, uint64_t from,
                     const struct idem_msg *msg, uint64_t now_us,
                     struct idem_actions *out);

/** replica_store_ack() - handle ACK: @from holds the record */
void
replica_store_ack(struct idem *idem, uint64_t from,
                  const struct idem_msg *msg);

#endif
