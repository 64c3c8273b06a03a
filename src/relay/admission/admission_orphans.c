#include "relay/admission/admission_private.h"

#include "base/clock.h"

/* An endpoint that reacts to nothing for this long is down, or its host stands
 * still: it answers a packet within 1 ms, and a caller that waits for longer
 * is late. */
#define SILENT_US (1 * USEC_PER_SEC)

/* An endpoint answers a packet in 0.3 ms, five times as long on a slowed host
 * whose small processor it shares. */
#define ANSWER_US (5 * USEC_PER_MSEC)

/* A probe opens a connection, which costs an endpoint that is there about as
 * much as a flow. */
#define PROBE_INTERVAL_US (200 * USEC_PER_MSEC)

bool
admission_knows_all_flows(const struct admission *admission)
{
    return admission->endpoint.state == ENDPOINT_GONE ||
           admission->endpoint.down ||
           (endpoint_is_complete(&admission->endpoint) &&
            !admission->evicted_flows);
}

/* Whether the endpoint doesn't hold the flow, for certain. One that is being
 * opened, or was opened here, may be. */
static bool
is_absent(const struct admission *admission, uint32_t handle)
{
    if (handle == FLOW_INDEX_NONE || admission->endpoint.down ||
        admission->endpoint.state == ENDPOINT_GONE) {
        return admission_knows_all_flows(admission);
    }
    switch (admission->flows[handle].state) {
    case ADMISSION_FLOW_OPENING:
    case ADMISSION_FLOW_ESTABLISHED:
        return false;
    default:
        return admission->flows[handle].denied ||
               (!admission->flows[handle].maybe_local &&
                admission_knows_all_flows(admission));
    }
}

/* Whether the endpoint may not be there at all: it was never heard, or owes
 * an answer. */
static bool
is_suspect(const struct admission *admission, uint64_t now_us)
{
    bool owes = admission->unanswered_us != 0 &&
                now_us - admission->unanswered_us >= ANSWER_US;

    return owes || admission->endpoint.incarnation_count == 0;
}

/* The host knows at once whether the endpoint's process is there; without it
 * the endpoint's silence would have to last for a second. */
static void
probe_if_due(struct admission *admission, uint64_t now_us)
{
    if (admission->endpoint.state == ENDPOINT_GONE ||
        admission->endpoint.down || !is_suspect(admission, now_us) ||
        (admission->probed_us != 0 &&
         now_us - admission->probed_us < PROBE_INTERVAL_US)) {
        return;
    }
    admission->probed_us = now_us;
    admission->out->ops->probe(admission->out);
}

void
admission_handle_query(struct admission *admission, struct addr balancer,
                       const struct frame_query *ask, uint64_t now_us)
{
    struct frame_query_reply absent = {
        .query = ask->query,
        .down = admission->endpoint.down,
        .partial = !admission_knows_all_flows(admission),
        .silent = admission->endpoint.state != ENDPOINT_GONE &&
                  !admission->endpoint.down && admission->unanswered_us != 0 &&
                  now_us - admission->unanswered_us >= SILENT_US,
    };

    admission_note_balancer(admission, balancer, &ask->view, now_us);
    probe_if_due(admission, now_us);
    for (unsigned i = 0; i < ask->count; i++) {
        uint32_t handle = flow_index_find(&admission->table, ask->flows[i]);

        if (is_absent(admission, handle)) {
            absent.absent[i / 32] |= 1u << i % 32;
        }
        else if (handle != FLOW_INDEX_NONE && admission->flows[handle].state ==
                                                  ADMISSION_FLOW_ESTABLISHED) {
            admission->flows[handle].origin = balancer;
            admission_notify_established(admission, handle, now_us);
        }
    }
    admission->out->ops->query_reply(admission->out, balancer, &absent);
}
