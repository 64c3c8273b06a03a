#include "relay/admission/admission_private.h"

#include "base/clock.h"

/* An endpoint that answers nothing for this time is down, or its host is
 * frozen. */
#define SILENT_US (1 * USEC_PER_SEC)

/* Time after which an unanswered packet makes the endpoint suspect. Allows for
 * a slow host whose processor the agent shares. */
#define ANSWER_TIMEOUT_US (5 * USEC_PER_MSEC)

/* Interval of probes. Each opens a connection to the endpoint. */
#define PROBE_INTERVAL_US (200 * USEC_PER_MSEC)

bool
admission_knows_all_flows(const struct admission *admission)
{
    return admission->endpoint.state == ENDPOINT_GONE ||
           admission->endpoint.down ||
           (endpoint_is_complete(&admission->endpoint) &&
            !admission->evicted_flows);
}

bool
admission_is_absent(const struct admission *admission, uint32_t handle)
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
        return admission->flows[handle].rejected ||
               (!admission->flows[handle].maybe_local &&
                admission_knows_all_flows(admission));
    }
}

/* Whether the endpoint may be down: no heartbeat came yet, or an answer is
 * overdue. */
static bool
may_be_down(const struct admission *admission, uint64_t now_us)
{
    bool is_overdue = admission->unanswered_us != 0 &&
                      now_us - admission->unanswered_us >= ANSWER_TIMEOUT_US;

    return is_overdue || admission->endpoint.incarnation_count == 0;
}

/* A probe detects an endpoint that is down sooner than SILENT_US does. */
static void
probe_if_due(struct admission *admission, uint64_t now_us)
{
    if (admission->endpoint.state == ENDPOINT_GONE ||
        admission->endpoint.down || !may_be_down(admission, now_us) ||
        (admission->probed_us != 0 &&
         now_us - admission->probed_us < PROBE_INTERVAL_US)) {
        return;
    }
    admission->probed_us = now_us;
    admission->out->ops->probe(admission->out);
}

void
admission_handle_query(struct admission *admission, struct addr balancer,
                       const struct frame_query *query, uint64_t now_us)
{
    struct frame_query_reply reply = {
        .query = query->query,
        .down = admission->endpoint.down,
        .partial = !admission_knows_all_flows(admission),
        .silent = admission->endpoint.state != ENDPOINT_GONE &&
                  !admission->endpoint.down && admission->unanswered_us != 0 &&
                  now_us - admission->unanswered_us >= SILENT_US,
    };

    admission_note_balancer(admission, balancer, &query->view, now_us);
    probe_if_due(admission, now_us);
    for (unsigned i = 0; i < query->count; i++) {
        uint32_t handle = flow_index_find(&admission->table, query->flows[i]);

        if (admission_is_absent(admission, handle)) {
            reply.absent[i / 32] |= 1u << i % 32;
        }
        else if (handle != FLOW_INDEX_NONE && admission->flows[handle].state ==
                                                  ADMISSION_FLOW_ESTABLISHED) {
            admission->flows[handle].origin = balancer;
            admission_notify_established(admission, handle, now_us);
        }
    }
    admission->out->ops->query_reply(admission->out, balancer, &reply);
}
