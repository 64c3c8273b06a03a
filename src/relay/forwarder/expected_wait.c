#include "relay/forwarder/expected_wait.h"

#include <glib.h>

#include "base/clock.h"

/* Time between two requests of a flow that is kept open. */
#define FLOW_GAP_US (1500 * USEC_PER_MSEC)

/* Wait at an endpoint whose slots are all held by hanging requests: their
 * callers give up after about as long. */
#define HANGING_US USEC_PER_SEC

/* Requests on each slot that an endpoint must be behind others to be no better
 * than one that resets requests. */
#define FAILING_REQUESTS 4

/* Round trips of a flow with one request: the handshake and the request. */
#define ROUND_TRIPS 2

/* Requests whose time an endpoint here must be behind one in another data
 * centre besides the round trips, so that balancers with old reports don't all
 * spill.
 */
#define SPILL_REQUESTS 2

/* Requests in progress on average from open flows, in 1/1000. */
static uint64_t
milli_requests_of_flows(const struct expected_wait *endpoint)
{
    return 1000 * endpoint->flows * endpoint->service_us / FLOW_GAP_US;
}

/* Requests before those of a new flow, in 1/1000: the first one meets those in
 * progress now, later ones those that the open flows bring on average. */
static uint64_t
milli_requests(const struct expected_wait *endpoint, unsigned stuck)
{
    unsigned moving = endpoint->requests - MIN(stuck, endpoint->requests);
    uint64_t average = milli_requests_of_flows(endpoint);

    return (endpoint->fresh ? 1000ull * moving : average) + average / 2;
}

uint64_t
expected_wait_us(const struct expected_wait *endpoint)
{
    unsigned slots = MAX(endpoint->slots, 1);
    unsigned stuck = MIN(endpoint->stuck, slots);
    uint64_t milli =
        milli_requests(endpoint, stuck) + 1000ull * endpoint->sent;
    uint64_t wait_us = endpoint->service_us;

    wait_us += milli * endpoint->service_us / MAX(slots - stuck, 1) / 1000;
    if (stuck == slots) {
        wait_us += HANGING_US;
    }
    if (endpoint->failing) {
        wait_us += FAILING_REQUESTS * endpoint->service_us;
    }
    if (endpoint->remote) {
        wait_us += ROUND_TRIPS * endpoint->extra_rtt_us +
                   SPILL_REQUESTS * endpoint->service_us;
    }
    return wait_us;
}
