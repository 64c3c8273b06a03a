#include "relay/admission/admission_private.h"

#include <string.h>

#include "base/clock.h"

/* How long an endpoint may take to answer a SYN. It does so in 0.3 ms, five
 * times as long on a slowed host, and the agent shares a small processor
 * with it. */
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
    if (flow->busy_at >= 0) {
        return;
    }
    flow->busy_at = (int)admission->busy_count;
    admission->busy[admission->busy_count++] = handle;
}

void
admission_flow_set_idle(struct admission *admission, uint32_t handle)
{
    struct admission_flow *flow = &admission->flows[handle];
    uint32_t last;

    if (flow->busy_at < 0) {
        return;
    }
    last = admission->busy[--admission->busy_count];
    admission->busy[flow->busy_at] = last;
    admission->flows[last].busy_at = flow->busy_at;
    flow->busy_at = -1;
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

    if (flow->state == ADMISSION_FLOW_QUEUED || flow->queued) {
        admission_queue_remove(admission, handle);
    }
    packet_pool_release(&admission->packet_pool, &flow->packet_pool);
    flow->queued = false;
}

void
admission_flow_remove(struct admission *admission, uint32_t handle)
{
    admission_flow_set_idle(admission, handle);
    admission_flow_dequeue(admission, handle);
    flow_index_remove(&admission->table, handle);
    /* A wait for its answer that is still queued finds nothing to do. */
    admission->flows[handle].state = ADMISSION_FLOW_REMOTE;
}

/* The flow is open at another endpoint, nobody knows which. It isn't
 * forgotten: this one still syn_timers for the end of its own handshake and
 * takes packets of the other's without a word, for as long as the caller sends
 * them. */
void
admission_flow_set_remote(struct admission *admission, uint32_t handle)
{
    admission_flow_set_idle(admission, handle);
    admission_flow_dequeue(admission, handle);
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
        .busy_at = -1,
        .packet_pool = PACKET_POOL_NONE,
    };
    return handle;
}

void
admission_syn_timer_add(struct admission *admission, uint32_t handle,
                        uint64_t now_us)
{
    struct admission_syn_timer *wait;

    if (admission->syn_timer_count == ADMISSION_SYN_TIMERS_MAX) {
        /* The balancer's own timeout takes its place. */
        return;
    }
    wait = &admission->syn_timers[(admission->syn_timer_first +
                                   admission->syn_timer_count) %
                                  ADMISSION_SYN_TIMERS_MAX];
    *wait = (struct admission_syn_timer){now_us + ANSWER_TIMEOUT_US, handle,
                                         now_us};
    admission->syn_timer_count++;
}
