/**
 * DOC: latency - how long an endpoint works on a request, and its callers' way
 *
 * Moving averages of what an agent sees. They notify whether a request that is
 * given to the endpoint now is answered in time.
 */
#ifndef SWIFTARCH_RELAY_ADMISSION_LATENCY_H
#define SWIFTARCH_RELAY_ADMISSION_LATENCY_H

#include <stdint.h>

/**
 * struct latency - the averages
 * @service_us: time that the endpoint takes for a request by itself
 * @rtt_us: from its SYN+ACK to the caller's next packet
 */
struct latency {
    uint64_t service_us;
    uint64_t rtt_us;
};

/** latency_init() - before anything was seen */
void
latency_init(struct latency *latency);

/** latency_add_rtt() - a caller's next packet came after @rtt_us */
void
latency_add_rtt(struct latency *latency, uint64_t rtt_us);

/**
 * latency_add_service() - a request was answered
 * @took_us: after it was given to the endpoint
 * @depth: requests that were in progress then, itself included
 * @slots: requests that the endpoint runs at a time
 */
void
latency_add_service(struct latency *latency, uint64_t took_us, unsigned depth,
                    unsigned slots);

/**
 * latency_overcommit() - how many flows may be opened beyond an endpoint's
 * slots
 *
 * While a caller answers the handshake its request occupies no slot: as many
 * may be on their way as the slots work off meanwhile, less a half.
 */
unsigned
latency_overcommit(const struct latency *latency, unsigned slots);

/**
 * latency_estimate() - how long until the answer to a flow that is opened now
 * @busy: requests in progress without it
 * @slots: requests that the endpoint runs at a time
 *
 * Return: time until its caller has the answer.
 */
uint64_t
latency_estimate(const struct latency *latency, unsigned busy, unsigned slots);

#endif
