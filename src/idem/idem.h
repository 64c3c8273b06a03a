/**
 * DOC: idem - at-most-once execution of requests with an idempotency key
 *
 * The record of a key is replicated on the IDEM_REPLICAS highest-ranked
 * eligible agents of its service. The agent that accepts a request (its
 * coordinator) reserves the key at all replicas before the request may run.
 * It needs IDEM_QUORUM grants (all replicas, when there are fewer) and no
 * conflicting record. A replica that already has a record replies with it:
 * the earlier answer, in progress, or unknown. Records are copied to the new
 * replicas when the ranking changes. No reservation ends by time alone, so a
 * paused coordinator is harmless.
 *
 * Two sets of replicas must grant: the current one, and the one of
 * IDEM_ELIGIBLE_AFTER_US ago, which includes members that died since. In the
 * earlier set at least one member must survive, and all survivors must grant
 * when fewer than IDEM_QUORUM are left. Coordinators whose views differ by
 * less than IDEM_ELIGIBLE_AFTER_US therefore share a set, and a death or a
 * join never hides a record before it has been copied.
 *
 * A member is eligible for the current set IDEM_ELIGIBLE_AFTER_US after its
 * process started, or reappeared after it was declared dead. While fewer than
 * IDEM_REPLICAS are eligible (a service that is starting), the oldest other
 * members fill the set.
 *
 * A coordinator starts no request
 * - while it is younger than IDEM_START_US and a replica isn't eligible: it
 *   may not have heard of all members yet;
 * - while half of the service's agents have just fallen silent: they may
 *   run on the other side of a network partition;
 * - for 2 * IDEM_ELIGIBLE_AFTER_US after a pause of IDEM_STALE_US: members
 *   that joined during the pause are eligible for others before they are
 *   eligible here.
 *
 * All survivors of the earlier set must grant while the coordinator is
 * younger than 2 * IDEM_ELIGIBLE_AFTER_US, because it may have missed a
 * death before its start (unless no member lived then), and while a replica
 * that is in neither set has ended within IDEM_ELIGIBLE_AFTER_US.
 *
 * Assumptions: views differ by less than IDEM_ELIGIBLE_AFTER_US (by less
 * than IDEM_START_US while a service starts), and fewer than IDEM_QUORUM of
 * a key's replicas lose their memory within the time it takes to detect a
 * death, become eligible and copy records (15 s after detection). See
 * docs/design-idempotency.md.
 *
 * The module does no I/O: one struct idem holds both roles (coordinator of
 * its own requests, replica for others); events go in, actions come out.
 */
#ifndef SWIFTARCH_IDEM_IDEM_H
#define SWIFTARCH_IDEM_IDEM_H

#include "control/view.h"
#include "idem/types.h"

struct idem;

/**
 * idem_new() - create the state of member @self
 * @max_records: records stored at most; at this bound new keys are refused,
 *               old records are never evicted
 *
 * Return: NULL without memory.
 */
struct idem *
idem_new(uint64_t self, size_t max_records);
void
idem_free(struct idem *idem);

/** idem_set_view() - take a new member list: copy records to new replicas and
 * stop waiting for dead ones; 0 or a negative errno value */
int
idem_set_view(struct idem *idem, const struct view *view, uint64_t now_us,
              struct idem_actions *out);

/** idem_begin() - reserve the key of a new request; @token is the caller's
 * number of the request. 0, or -EEXIST when @token is in use */
int
idem_begin(struct idem *idem, uint64_t token, const struct idem_key *key,
           uint64_t now_us, struct idem_actions *out);

/** idem_end() - end request @token: IDEM_DONE with its answer, IDEM_UNKNOWN,
 * or @not_run, which releases the key for another try. 0, -ENOENT for an
 * unknown @token, -EINVAL for IDEM_STARTED, -EEXIST when the outcome can't be
 * stored */
int
idem_end(struct idem *idem, uint64_t token, bool not_run,
         enum idem_state state, const uint8_t *answer, size_t answer_len,
         uint64_t now_us, struct idem_actions *out);

/** idem_receive() - handle a message from member @from; 0, or -EINVAL for an
 * invalid message */
int
idem_receive(struct idem *idem, uint64_t from, const struct idem_msg *msg,
             uint64_t now_us, struct idem_actions *out);

/** idem_tick() - run timeouts; call about every 50 ms. A gap of IDEM_PAUSE_US
 * without any call counts as a pause of the process */
int
idem_tick(struct idem *idem, uint64_t now_us, struct idem_actions *out);

/** idem_unacked_records() - stored records that some replica hasn't
 * acknowledged; a stopping process waits for 0, for a bounded time */
size_t
idem_unacked_records(const struct idem *idem);

/** idem_records() - number of stored records */
size_t
idem_records(const struct idem *idem);

#endif
