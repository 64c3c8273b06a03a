/**
 * DOC: reservation - a local request and the members queried for its key
 */
#ifndef SWIFTARCH_IDEM_RESERVATION_H
#define SWIFTARCH_IDEM_RESERVATION_H

#include <sys/queue.h>

#include "idem/types.h"

#define RESERVE_QUERIED_MAX (4 * IDEM_REPLICAS)

/**
 * struct reserve_replica - a member queried for the key
 * @id: member id
 * @session: number of its session
 * @in_current: in the current set
 * @in_earlier: in the earlier set
 * @current_ineligible: in the current set although ineligible, for lack of
 *                      eligible members
 * @earlier_ineligible: the same for the earlier set
 * @answered: its reply has arrived, or it is this agent
 * @granted: it stored this request's reservation
 * @incomplete: it considers itself ineligible
 * @starting: it is younger than IDEM_START_US; its grant doesn't count
 * @requeried: RESERVE was repeated after an abandoned reservation
 */
struct reserve_replica {
    uint64_t id;
    uint32_t session;
    bool in_current;
    bool in_earlier;
    bool current_ineligible;
    bool earlier_ineligible;
    bool answered;
    bool granted;
    bool incomplete;
    bool starting;
    bool requeried;
};

/**
 * struct reserve - a local request
 * @pending: entry in the list of undecided requests
 * @token: the caller's number of the request
 * @wire_token: number of the request in messages
 * @key: idempotency key
 * @started_us: time of reserve_begin()
 * @sent_us: when the replicas were queried last
 * @running: IDEM_PROCEED was returned
 * @denied: some replica has no room
 * @conflict: another request of the key is on record
 * @had_earlier: the earlier set wasn't empty
 * @service_existed_earlier: the service had members IDEM_ELIGIBLE_AFTER_US
 *                           ago; otherwise the earlier set holds its oldest
 *                           members since
 * @recently_ended: see replicas_recently_ended()
 * @conflict_state: most certain known state of the other request
 * @conflict_owner_gone: the process of the other request has ended
 * @queried: members queried
 * @queried_count: number of @queried
 */
struct reserve {
    TAILQ_ENTRY(reserve) pending;
    uint64_t token;
    uint64_t wire_token;
    struct idem_key key;
    uint64_t started_us;
    uint64_t sent_us;
    bool running;
    bool denied;
    bool conflict;
    bool had_earlier;
    bool service_existed_earlier;
    size_t recently_ended;
    enum idem_state conflict_state;
    bool conflict_owner_gone;
    struct reserve_replica queried[RESERVE_QUERIED_MAX];
    size_t queried_count;
};

#endif
