/**
 * DOC: expected_wait - how long a new flow's request would take at an agent
 *
 * The requests that the endpoint has or will have soon, over its rate, plus
 * the round trips to another data centre.
 */
#ifndef SWIFTARCH_RELAY_FORWARDER_EXPECTED_WAIT_H
#define SWIFTARCH_RELAY_FORWARDER_EXPECTED_WAIT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct expected_wait - what is known of an endpoint
 * @fresh: @requests is up to date
 * @requests: in progress and queued, as reported
 * @sent: new flows that this balancer has sent since the report
 * @flows: open flows that had a request lately
 * @slots: requests that it runs at a time
 * @stuck: of these, those that hang
 * @service_us: time of a request without queueing
 * @failing: it resets a large part of its requests
 * @remote: it is in another data centre
 * @extra_rtt_us: additional round trip to that data centre
 */
struct expected_wait {
    bool fresh;
    unsigned requests;
    unsigned sent;
    unsigned flows;
    unsigned slots;
    unsigned stuck;
    uint64_t service_us;
    bool failing;
    bool remote;
    uint64_t extra_rtt_us;
};

/** expected_wait_us() - time until a new flow's request is answered, in
 * microseconds */
uint64_t
expected_wait_us(const struct expected_wait *endpoint);

#endif
