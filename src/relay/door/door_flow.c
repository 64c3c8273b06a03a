#include "relay/door/door_private.h"

#include <string.h>

#include "base/clock.h"

/* How long an endpoint may take to answer a SYN. It does so in 0.3 ms, five
 * times as long on a slowed host, and the agent shares a small processor
 * with it. */
#define ANSWER_TIMEOUT_US (5 * USEC_PER_MSEC)

void
door_drop(struct door *door, enum door_drop why)
{
    door->out->ops->dropped(door->out, why);
}

void
door_decided(struct door *door, enum door_did did, uint32_t handle,
             enum frame_reason why)
{
    door->out->ops->decided(door->out, did,
                            flow_index_flow(&door->table, handle), why,
                            &door->flows[handle].frame);
}

void
door_expect(struct door *door, uint64_t now_us)
{
    if (door->unanswered_us == 0) {
        door->unanswered_us = now_us;
    }
}

void
door_flow_busy(struct door *door, uint32_t handle, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    flow->busy_us = now_us;
    if (flow->busy_at >= 0) {
        return;
    }
    flow->busy_at = (int)door->busy_count;
    door->busy[door->busy_count++] = handle;
}

void
door_flow_idle(struct door *door, uint32_t handle)
{
    struct door_flow *flow = &door->flows[handle];
    uint32_t last;

    if (flow->busy_at < 0) {
        return;
    }
    last = door->busy[--door->busy_count];
    door->busy[flow->busy_at] = last;
    door->flows[last].busy_at = flow->busy_at;
    flow->busy_at = -1;
}

void
door_flow_unhold(struct door *door, uint32_t handle)
{
    for (unsigned i = 0; i < door->queue_count; i++) {
        if (door->queue[i] == handle) {
            door->queue_count--;
            memmove(&door->queue[i], &door->queue[i + 1],
                    (door->queue_count - i) * sizeof(door->queue[0]));
            return;
        }
    }
}

void
door_flow_unqueue(struct door *door, uint32_t handle)
{
    struct door_flow *flow = &door->flows[handle];

    if (flow->state == DOOR_HELD || flow->queued) {
        door_flow_unhold(door, handle);
    }
    kept_drop(&door->kept, &flow->kept);
    flow->queued = false;
}

void
door_flow_forget(struct door *door, uint32_t handle)
{
    door_flow_idle(door, handle);
    door_flow_unqueue(door, handle);
    flow_index_remove(&door->table, handle);
    /* A wait for its answer that is still queued finds nothing to do. */
    door->flows[handle].state = DOOR_ELSEWHERE;
}

/* The flow is open at another endpoint, nobody knows which. It isn't
 * forgotten: this one still waits for the end of its own handshake and takes
 * packets of the other's without a word, for as long as the caller sends
 * them. */
void
door_flow_elsewhere(struct door *door, uint32_t handle)
{
    door_flow_idle(door, handle);
    door_flow_unqueue(door, handle);
    door->flows[handle].state = DOOR_ELSEWHERE;
    door->flows[handle].target = (struct addr){0};
    door->flows[handle].frame.bytes = NULL;
}

uint32_t
door_flow_remember(struct door *door, struct relay_flow key,
                   enum door_state state, uint64_t now_us)
{
    uint32_t handle;

    if (door->table.used == door->table.capacity) {
        door_flow_forget(door, flow_index_oldest(&door->table));
        door->lossy = true;
    }
    handle = flow_index_add(&door->table, key, now_us);
    door->flows[handle] = (struct door_flow){
        .state = state,
        .start = door->start,
        .busy_at = -1,
        .kept = KEPT_NONE,
    };
    return handle;
}

void
door_wait_push(struct door *door, uint32_t handle, uint64_t now_us)
{
    struct door_wait *wait;

    if (door->wait_count == DOOR_WAITS_MAX) {
        /* The balancer's own timeout takes its place. */
        return;
    }
    wait =
        &door->waits[(door->wait_first + door->wait_count) % DOOR_WAITS_MAX];
    *wait = (struct door_wait){now_us + ANSWER_TIMEOUT_US, handle, now_us};
    door->wait_count++;
}
