/**
 * DOC: latency - moving averages of service and round-trip times
 *
 * They estimate whether a request that is given to the endpoint now is
 * answered in time.
 */
#ifndef SWIFTARCH_RELAY_ADMISSION_LATENCY_H
#define SWIFTARCH_RELAY_ADMISSION_LATENCY_H

#include <stdint.h>

/**
 * struct latency - the averages
 * @service_us: time that the endpoint takes for a request, without queueing
 * @rtt_us: time from a SYN+ACK to the caller's next packet
 */
struct latency {
    uint64_t service_us;
    uint64_t rtt_us;
};

/** latency_init() - set initial values for use before the first sample */
void
latency_init(struct latency *latency);

/** latency_add_rtt() - add a round-trip time, from the SYN+ACK to the caller's
 * next packet */
void
latency_add_rtt(struct latency *latency, uint64_t rtt_us);

/**
 * latency_add_service() - add the service time of an answered request
 * @elapsed_us: time since it was given to the endpoint
 * @depth: requests in progress at that time, this one included
 * @slots: requests that the endpoint runs at a time
 */
void
latency_add_service(struct latency *latency, uint64_t elapsed_us,
                    unsigned depth, unsigned slots);

/**
 * latency_overcommit() - number of flows to open beyond an endpoint's slots
 *
 * A flow occupies no slot during its handshake, so as many flows may be open
 * beyond the slots as requests are served in a round trip, less a half.
 */
unsigned
latency_overcommit(const struct latency *latency, unsigned slots);

/**
 * latency_estimate() - time until the caller of a flow that is opened now has
 * its answer
 * @busy: requests in progress without it
 * @slots: requests that the endpoint runs at a time
 *
 * Return: the time in microseconds.
 */
uint64_t
latency_estimate(const struct latency *latency, unsigned busy, unsigned slots);

#endif
