#include "relay/admission/admission_private.h"

#include <string.h>

#include "base/clock.h"

/* Timeout of an endpoint's answer to a SYN. It answers in 0.3 ms, on a slowed
 * host in five times that, and the agent shares its small processor. */
#define ANSWER_TIMEOUT_US (5 * USEC_PER_MSEC)

void
admission_drop(struct admission *admission, enum admission_drop why)
{
    admission->out->ops->dropped(admission->out, why);
}

void
admission_decided(struct admission *admission,
                  enum admission_decision decision, uint32_t handle,
                  enum frame_reason why)
{
    admission->out->ops->decided(admission->out, decision,
                                 flow_index_flow(&admission->table, handle),
                                 why, &admission->flows[handle].frame);
}

void
admission_expect_reply(struct admission *admission, uint64_t now_us)
{
    if (admission->unanswered_us == 0) {
        admission->unanswered_us = now_us;
    }
}

void
admission_flow_set_busy(struct admission *admission, uint32_t handle,
                        uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];

    flow->busy_us = now_us;
    if (flow->busy_index >= 0) {
        return;
    }
    flow->busy_index = (int)admission->busy_count;
    admission->busy[admission->busy_count++] = handle;
}

void
admission_flow_set_idle(struct admission *admission, uint32_t handle)
{
    struct admission_flow *flow = &admission->flows[handle];
    uint32_t last;

    if (flow->busy_index < 0) {
        return;
    }
    last = admission->busy[--admission->busy_count];
    admission->busy[flow->busy_index] = last;
    admission->flows[last].busy_index = flow->busy_index;
    flow->busy_index = -1;
}

void
admission_begin_request(struct admission *admission, uint32_t handle,
                        uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];

    admission_flow_set_busy(admission, handle, now_us);
    flow->request_start_us = now_us;
    flow->depth = admission->busy_count;
    capacity_flow_used(&admission->capacity, &flow->used_us, now_us);
}

void
admission_forget_request(struct admission *admission, uint32_t handle)
{
    struct admission_flow *flow = &admission->flows[handle];

    if (!admission->engaged) {
        return;
    }
    scheduler_drop(&admission->scheduler, handle);
    flow->request_start_us = 0;
    if (flow->held) {
        packet_pool_release(&admission->packet_pool, &flow->packets);
        flow->held = false;
    }
}

enum frame_reason
admission_end_reason(const struct admission *admission)
{
    return admission->endpoint.state == ENDPOINT_GONE ? FRAME_REASON_LEAVING
                                                      : FRAME_REASON_SILENT;
}

void
admission_reset_flow(struct admission *admission, uint32_t handle,
                     uint32_t seq, enum frame_reason why)
{
    struct relay_flow key = flow_index_flow(&admission->table, handle);

    admission_decided(admission, ADMISSION_DECISION_RESET, handle, why);
    admission->out->ops->reset(admission->out, key, seq);
    admission->flows[handle].closed = true;
    admission_flow_set_idle(admission, handle);
    admission_forget_request(admission, handle);
}

void
admission_queue_remove(struct admission *admission, uint32_t handle)
{
    for (unsigned i = 0; i < admission->queue_count; i++) {
        if (admission->queue[i] == handle) {
            admission->queue_count--;
            memmove(&admission->queue[i], &admission->queue[i + 1],
                    (admission->queue_count - i) *
                        sizeof(admission->queue[0]));
            return;
        }
    }
}

void
admission_flow_dequeue(struct admission *admission, uint32_t handle)
{
    struct admission_flow *flow = &admission->flows[handle];

    admission_forget_request(admission, handle);
    if (flow->state == ADMISSION_FLOW_QUEUED || flow->queued) {
        admission_queue_remove(admission, handle);
    }
    packet_pool_release(&admission->packet_pool, &flow->packets);
    flow->queued = false;
}

void
admission_flow_remove(struct admission *admission, uint32_t handle)
{
    admission_flow_set_idle(admission, handle);
    admission_flow_dequeue(admission, handle);
    capacity_flow_ended(&admission->capacity,
                        &admission->flows[handle].used_us);
    flow_index_remove(&admission->table, handle);
    /* A pending SYN timer of the handle finds the state changed and does
     * nothing. */
    admission->flows[handle].state = ADMISSION_FLOW_REMOTE;
}

void
admission_flow_set_remote(struct admission *admission, uint32_t handle)
{
    admission_flow_set_idle(admission, handle);
    admission_flow_dequeue(admission, handle);
    capacity_flow_ended(&admission->capacity,
                        &admission->flows[handle].used_us);
    admission->flows[handle].state = ADMISSION_FLOW_REMOTE;
    admission->flows[handle].target = (struct addr){0};
    admission->flows[handle].frame.bytes = NULL;
}

uint32_t
admission_flow_add(struct admission *admission, struct relay_flow key,
                   enum admission_flow_state state, uint64_t now_us)
{
    uint32_t handle;

    if (admission->table.used == admission->table.capacity) {
        admission_flow_remove(admission, flow_index_oldest(&admission->table));
        admission->evicted_flows = true;
    }
    handle = flow_index_add(&admission->table, key, now_us);
    admission->flows[handle] = (struct admission_flow){
        .state = state,
        .incarnation = admission->incarnation,
        .busy_index = -1,
        .packets = PACKET_POOL_NONE,
    };
    return handle;
}

void
admission_syn_timer_add(struct admission *admission, uint32_t handle,
                        uint64_t now_us)
{
    struct admission_syn_timer *timer;

    if (admission->syn_timer_count == ADMISSION_SYN_TIMERS_MAX) {
        /* The balancer's own timeout covers this SYN. */
        return;
    }
    timer = &admission->syn_timers[(admission->syn_timer_first +
                                    admission->syn_timer_count) %
                                   ADMISSION_SYN_TIMERS_MAX];
    *timer = (struct admission_syn_timer){now_us + ANSWER_TIMEOUT_US, handle,
                                          now_us};
    admission->syn_timer_count++;
}
