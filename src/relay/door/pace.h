/**
 * DOC: pace - how long an endpoint works on a request, and its callers' way
 *
 * Moving averages of what an agent sees. They tell whether a request that is
 * given to the endpoint now is answered in time.
 */
#ifndef SWIFTARCH_RELAY_DOOR_PACE_H
#define SWIFTARCH_RELAY_DOOR_PACE_H

#include <stdint.h>

/**
 * struct pace - the averages
 * @work_us: time that the endpoint takes for a request by itself
 * @trip_us: from its SYN+ACK to the caller's next packet
 */
struct pace {
    uint64_t work_us;
    uint64_t trip_us;
};

/** pace_init() - before anything was seen */
void
pace_init(struct pace *pace);

/** pace_trip() - a caller's next packet came after @trip_us */
void
pace_trip(struct pace *pace, uint64_t trip_us);

/**
 * pace_answer() - a request was answered
 * @took_us: after it was given to the endpoint
 * @depth: requests that were in progress then, itself included
 * @slots: requests that the endpoint runs at a time
 */
void
pace_answer(struct pace *pace, uint64_t took_us, unsigned depth,
            unsigned slots);

/**
 * pace_ahead() - how many flows may be opened beyond an endpoint's slots
 *
 * While a caller answers the handshake its request occupies no slot: as many
 * may be on their way as the slots work off meanwhile, less a half.
 */
unsigned
pace_ahead(const struct pace *pace, unsigned slots);

/**
 * pace_expect() - how long until the answer to a flow that is opened now
 * @busy: requests in progress without it
 * @slots: requests that the endpoint runs at a time
 *
 * Return: time until its caller has the answer.
 */
uint64_t
pace_expect(const struct pace *pace, unsigned busy, unsigned slots);

#endif
