/**
 * DOC: reserve - the coordinator's side: own requests from begin to end
 */
#ifndef SWIFTARCH_IDEM_RESERVE_H
#define SWIFTARCH_IDEM_RESERVE_H

#include "idem/state.h"

#define RESERVE_ASKED_MAX (4 * IDEM_REPLICAS)
#define RESERVE_AGAIN_US (100 * USEC_PER_MSEC)

/**
 * struct reserve_asked - one member that was asked for the key
 * @id: member id
 * @life: number of its life
 * @now: counts for the set of now
 * @earlier: counts for the set of a while ago
 * @now_unsettled: counts for it although not settled (nobody else was)
 * @earlier_unsettled: the same
 * @answered: its word is in, or it is this agent
 * @granted: it recorded this request's reservation
 * @young: its own memory isn't settled
 * @starting: it has only just started, and never counts
 * @asked_again: was asked again after a stale reservation of our own
 */
struct reserve_asked {
    uint64_t id;
    uint32_t life;
    bool now;
    bool earlier;
    bool now_unsettled;
    bool earlier_unsettled;
    bool answered;
    bool granted;
    bool young;
    bool starting;
    bool asked_again;
};

/**
 * struct reserve - one own request
 * @pending: place among those that aren't decided
 * @token: of the program
 * @wire: number in messages
 * @key: its key
 * @started_us: when it began
 * @sent_us: when the replicas were asked last
 * @running: the program was told to go on
 * @denied: some replica has no room
 * @vetoed: a record of the key is known: @veto_state, @veto_reason
 * @had_earlier: there was a set of a while ago
 * @missed: replicas that came and went since that while
 * @lived_earlier: its members lived that long ago already; otherwise the
 *                 service is younger, and they are the oldest since
 * @veto_state: the best that is known of the key's first request
 * @veto_gone: its owner is gone
 * @asked: members asked
 * @asked_count: how many
 */
struct reserve {
    TAILQ_ENTRY(reserve) pending;
    uint64_t token;
    uint64_t wire;
    struct idem_key key;
    uint64_t started_us;
    uint64_t sent_us;
    bool running;
    bool denied;
    bool vetoed;
    bool had_earlier;
    bool lived_earlier;
    size_t missed;
    enum idem_state veto_state;
    bool veto_gone;
    struct reserve_asked asked[RESERVE_ASKED_MAX];
    size_t asked_count;
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
