/**
 * DOC: quorum - whom a reservation must ask, and whether they let it run
 *
 * Two sets of replicas have a say: that of now and that of
 * IDEM_ELIGIBLE_AFTER_US ago. See DOC of idem.h.
 */
#ifndef SWIFTARCH_IDEM_QUORUM_H
#define SWIFTARCH_IDEM_QUORUM_H

#include "idem/reserve.h"

/** quorum_choose() - fill in whom @reserve asks: both sets, and those who
 * will hold the record later */
void
quorum_choose(const struct idem *idem, struct reserve *reserve,
              uint64_t now_us);

/** quorum_find() - the entry of member @id, or NULL */
struct reserve_replica *
quorum_find(struct reserve *reserve, uint64_t id);

/** quorum_reached() - whether both sets granted, and this process isn't cut
 * off or just back from a long pause */
bool
quorum_reached(const struct idem *idem, const struct reserve *reserve,
               uint64_t now_us);

/** quorum_lost() - whether nobody of the earlier set is left */
bool
quorum_lost(const struct idem *idem, const struct reserve *reserve);

/** quorum_must_wait() - whether the word of somebody who has a say is still
 * out; @suspects: that of suspects too */
bool
quorum_must_wait(const struct idem *idem, const struct reserve *reserve,
                 bool suspects);

#endif
