/**
 * DOC: quorum - which replicas a reservation queries, and whether they grant
 *
 * Both the current set of replicas and that of IDEM_ELIGIBLE_AFTER_US ago
 * must grant. See DOC of idem.h.
 */
#ifndef SWIFTARCH_IDEM_QUORUM_H
#define SWIFTARCH_IDEM_QUORUM_H

#include "idem/reservation.h"
#include "idem/state.h"

/** quorum_select() - set the members that @reserve queries: both sets, and the
 * future holders of the record */
void
quorum_select(const struct idem *idem, struct reserve *reserve,
              uint64_t now_us);

/** quorum_find() - the queried member @id, or NULL */
struct reserve_replica *
quorum_find(struct reserve *reserve, uint64_t id);

/** quorum_reached() - whether both sets have granted, and this process is
 * neither partitioned nor stale after a pause */
bool
quorum_reached(const struct idem *idem, const struct reserve *reserve,
               uint64_t now_us);

/** quorum_lost() - whether all members of the earlier set have lost their
 * memory */
bool
quorum_lost(const struct idem *idem, const struct reserve *reserve);

/** quorum_must_wait() - whether a reply of a live member of either set is
 * missing; @suspects: also wait for suspects */
bool
quorum_must_wait(const struct idem *idem, const struct reserve *reserve,
                 bool suspects);

#endif
