/**
 * DOC: scheduler - order and room of an endpoint's requests at its agent
 *
 * Every request that begins is given to the endpoint at once, or held while
 * the endpoint has no room. Room is how many requests the endpoint has been
 * seen to take at a time; it is learned from those that it doesn't take. When
 * room comes free, requests of higher priority go first, and among those of
 * one priority the ones that can still be answered in time.
 *
 * A request is held only if its answer is expected in time. Another is given
 * to the endpoint although it has no room: its own refusal is the only true
 * one on an open flow, and reaches the caller while there is time to try
 * elsewhere. A request above the lowest priority is held for the next free
 * place as long as its caller waits.
 *
 * The module holds no packets and knows no flows: a request is a handle.
 */
#ifndef SWIFTARCH_RELAY_SCHEDULER_SCHEDULER_H
#define SWIFTARCH_RELAY_SCHEDULER_SCHEDULER_H

#include <stdbool.h>
#include <stdint.h>

/* Requests given to the endpoint that are tracked. */
#define SCHEDULER_RUNNING_MAX 256

/* Requests held. */
#define SCHEDULER_HELD_MAX 128

#define SCHEDULER_NONE UINT32_MAX

struct scheduler;

/* Slots up to which ends in quick succession are told from rejections. */
#define SCHEDULER_SLOTS_MAX 64

/* Limits of a service's endpoints lie below: a few requests for each slot. */
#define SCHEDULER_LIMIT_MAX 64

/** enum scheduler_reason - why a request is given to the endpoint */
enum scheduler_reason {
    SCHEDULER_ROOM, /* the endpoint has room */
    SCHEDULER_TURN, /* held below higher priorities for its share of turns */
    SCHEDULER_LATE, /* it can't be answered in time any more */
    SCHEDULER_FULL, /* there is no memory to hold it */
    SCHEDULER_REASON_COUNT,
};

/** enum scheduler_end - how a request ended */
enum scheduler_end {
    SCHEDULER_ANSWERED, /* the endpoint answered */
    SCHEDULER_REJECTED, /* the endpoint answered without running it */
    SCHEDULER_CUT,      /* reset, timed out, or its flow ended */
};

/**
 * struct scheduler_request - a request that begins
 * @handle: the caller's handle, unique among requests in progress and held
 * @priority: 0 is most urgent
 * @target_us: when its answer is late
 * @abandon_us: when its caller abandons it
 */
struct scheduler_request {
    uint32_t handle;
    uint8_t priority;
    uint64_t target_us;
    uint64_t abandon_us;
};

/**
 * struct scheduler_running - a request at the endpoint
 * @handle: its handle
 * @depth: requests at the endpoint when it was given, itself included; those
 *     found rejected since don't count
 * @ended_before: value of scheduler.ended at that time
 * @since_us: when it was given
 */
struct scheduler_running {
    uint32_t handle;
    unsigned depth;
    uint64_t ended_before;
    uint64_t since_us;
};

/**
 * struct scheduler_held - a request that waits for room
 * @request: the request
 * @since_us: when it began to wait
 */
struct scheduler_held {
    struct scheduler_request request;
    uint64_t since_us;
};

/**
 * struct scheduler - state of one endpoint's requests
 * @slots: requests that the endpoint runs at a time
 * @limit: requests that it takes at a time, queued ones included
 * @proven: those that it has taken; up to @limit only requests of the lowest
 *     priority try whether it takes more
 * @service_us: mean time of a request without queueing
 * @rtt_us: time from the agent to a caller and back
 * @end_us: when the last requests were answered, a ring
 * @end_next: next index in @end_us
 * @resumed_us: when the agent last resumed after a pause of its own
 * @ended: requests that have left the endpoint, without the rejected ones
 * @lowest: lowest priority that was seen in this and in the last period
 * @lowest_since_us: when this period began
 * @answered_at_limit: answered requests since the last change of @limit that
 *     were given at the limit
 * @raise_after: number of them that raises the limit
 * @running: requests at the endpoint
 * @running_count: number of @running
 * @held: requests held, in order of arrival
 * @held_count: number of @held
 * @turns: requests of the highest held priority given since the last one of a
 *     lower priority
 */
struct scheduler {
    unsigned slots;
    unsigned limit;
    unsigned proven;
    uint64_t service_us;
    uint64_t rtt_us;
    uint64_t end_us[SCHEDULER_SLOTS_MAX];
    unsigned end_next;
    uint64_t resumed_us;
    uint64_t ended;
    uint8_t lowest[2];
    uint64_t lowest_since_us;
    unsigned answered_at_limit;
    unsigned raise_after;
    struct scheduler_running running[SCHEDULER_RUNNING_MAX];
    unsigned running_count;
    struct scheduler_held held[SCHEDULER_HELD_MAX];
    unsigned held_count;
    unsigned turns;
};

/** scheduler_init() - set up for an endpoint of @slots without requests;
 * @slots is 1 at least */
void
scheduler_init(struct scheduler *scheduler, unsigned slots);

/** scheduler_set_slots() - the endpoint reported its slots */
void
scheduler_set_slots(struct scheduler *scheduler, unsigned slots);

/** scheduler_restart() - the endpoint has restarted: forget the requests that
 * were there; held ones stay */
void
scheduler_restart(struct scheduler *scheduler);

/** scheduler_begin() - a request begins; returns whether to give it to the
 * endpoint now, with @reason set, or else it is held */
bool
scheduler_begin(struct scheduler *scheduler,
                const struct scheduler_request *request, uint64_t now_us,
                enum scheduler_reason *reason);

/**
 * scheduler_end() - a request at the endpoint has ended
 * @cut: it was reset, timed out, or its flow ended
 *
 * One that was answered at once, while the endpoint had others to end first,
 * was rejected: the endpoint takes no more than were there without it. So was
 * one that was answered when no slot can have run it, as each has just ended
 * another; of when it was rejected nothing is known. Answers read after a
 * pause of the agent don't tell when a slot ended one.
 */
enum scheduler_end
scheduler_end(struct scheduler *scheduler, uint32_t handle, bool cut,
              uint64_t now_us);

/** scheduler_resumed() - the agent handles events again after a pause of its
 * own; answers that it reads now came earlier */
void
scheduler_resumed(struct scheduler *scheduler, uint64_t now_us);

/** scheduler_drop() - forget a request, held or at the endpoint */
void
scheduler_drop(struct scheduler *scheduler, uint32_t handle);

/** scheduler_give() - give a held request that can't be kept to the endpoint;
 * false if it isn't held */
bool
scheduler_give(struct scheduler *scheduler, uint32_t handle, uint64_t now_us);

/** scheduler_is_held() - whether a request is held */
bool
scheduler_is_held(const struct scheduler *scheduler, uint32_t handle);

/** scheduler_next() - take the next held request to give to the endpoint now;
 * SCHEDULER_NONE if none */
uint32_t
scheduler_next(struct scheduler *scheduler, uint64_t now_us,
               enum scheduler_reason *reason);

/** scheduler_before() - number of held requests that go before a held one,
 * apart from turns of lower priorities */
unsigned
scheduler_before(const struct scheduler *scheduler, uint32_t handle,
                 uint64_t now_us);

/** scheduler_next_us() - when scheduler_next() is due without another event,
 * UINT64_MAX for never */
uint64_t
scheduler_next_us(const struct scheduler *scheduler);

/** scheduler_see_priority() - the endpoint is asked for requests of @priority;
 * scheduler_begin() calls it for its request */
void
scheduler_see_priority(struct scheduler *scheduler, uint8_t priority,
                       uint64_t now_us);

/** scheduler_lowest() - the lowest priority that was seen lately, 0 if none
 * below the most urgent one was */
uint8_t
scheduler_lowest(const struct scheduler *scheduler);

/** scheduler_wait_us() - how long a new request of @priority would wait until
 * the endpoint runs it */
uint64_t
scheduler_wait_us(const struct scheduler *scheduler, uint8_t priority);

#endif
