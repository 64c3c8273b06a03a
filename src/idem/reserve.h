/**
 * DOC: reserve - the coordinator's side: own requests from begin to end
 */
#ifndef SWIFTARCH_IDEM_RESERVE_H
#define SWIFTARCH_IDEM_RESERVE_H

#include "idem/state.h"

#define RESERVE_QUERIED_MAX (4 * IDEM_REPLICAS)
#define RESERVE_RETRY_US (100 * USEC_PER_MSEC)

/**
 * struct reserve_replica - one member that was queried for the key
 * @id: member id
 * @session: number of its session
 * @now: counts for the set of now
 * @earlier: counts for the set of a while ago
 * @now_ineligible: counts for it although not settled (nobody else was)
 * @earlier_ineligible: the same
 * @answered: its word is in, or it is this agent
 * @granted: it recorded this request's reservation
 * @incomplete: its own memory isn't settled
 * @starting: it has only just started, and never counts
 * @requeried: was queried again after a stale reservation of our own
 */
struct reserve_replica {
    uint64_t id;
    uint32_t session;
    bool now;
    bool earlier;
    bool now_ineligible;
    bool earlier_ineligible;
    bool answered;
    bool granted;
    bool incomplete;
    bool starting;
    bool requeried;
};

/**
 * struct reserve - one own request
 * @pending: place among those that aren't decided
 * @token: of the program
 * @wire_token: number in messages
 * @key: its key
 * @started_us: when it began
 * @sent_us: when the replicas were queried last
 * @running: the program was told to go on
 * @denied: some replica has no room
 * @vetoed: a record of the key is known: @veto_state, @veto_reason
 * @had_earlier: there was a set of a while ago
 * @missed: replicas that came and went since that while
 * @service_existed_earlier: its members lived that long ago already; otherwise
 * the service is younger, and they are the oldest since
 * @veto_state: the best that is known of the key's first request
 * @veto_gone: its owner is gone
 * @queried: members queried
 * @queried_count: how many
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
    bool vetoed;
    bool had_earlier;
    bool service_existed_earlier;
    size_t missed;
    enum idem_state veto_state;
    bool veto_gone;
    struct reserve_replica queried[RESERVE_QUERIED_MAX];
    size_t queried_count;
};

/** reserve_begin() - see idem_begin() */
int
reserve_begin(struct idem *idem, uint64_t token, const struct idem_key *key,
              uint64_t now_us, struct idem_actions *out);

/** reserve_end() - see idem_end() */
int
reserve_end(struct idem *idem, uint64_t token, bool not_run,
            enum idem_state state, const uint8_t *answer, size_t answer_len,
            uint64_t now_us, struct idem_actions *out);

/** reserve_receive() - GRANT, EXISTS or DENY from @from; also a RECORD that
 * another pushed for a key that is being reserved here */
void
reserve_receive(struct idem *idem, uint64_t from, const struct idem_msg *msg,
                uint64_t now_us, struct idem_actions *out);

/** reserve_tick() - ask again, give up */
void
reserve_tick(struct idem *idem, uint64_t now_us, struct idem_actions *out);

#endif
