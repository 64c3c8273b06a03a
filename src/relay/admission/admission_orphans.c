#include "relay/admission/admission_private.h"

#include "base/clock.h"

/* An endpoint that answers nothing for this time is down, or its host is
 * frozen. */
#define SILENT_US (1 * USEC_PER_SEC)

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

bool
admission_is_quiet(const struct admission *admission, uint64_t now_us)
{
    /* Half an interval for a heartbeat that is late. */
    return now_us >= admission->quiet_since_us +
                         admission->endpoint.interval_us +
                         admission->endpoint.interval_us / 2;
}

/* Where heartbeats are overdue, a probe tells an endpoint that has ended from
 * one that is frozen. */
static void
probe_if_due(struct admission *admission, uint64_t now_us)
{
    if (admission->endpoint.state == ENDPOINT_GONE ||
        admission->endpoint.down || !admission_is_quiet(admission, now_us) ||
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
    struct frame_query_reply reply;

    admission_note_pause(admission, now_us);
    reply = (struct frame_query_reply){
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
