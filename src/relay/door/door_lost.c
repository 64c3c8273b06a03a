#include "relay/door/door_private.h"

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
#define PROBE_GAP_US (200 * USEC_PER_MSEC)

bool
door_lacks_unknown(const struct door *door)
{
    return door->endpoint.state == ENDPOINT_GONE || door->endpoint.down ||
           (endpoint_is_whole(&door->endpoint) && !door->lossy);
}

/* Whether the endpoint doesn't hold the flow, for certain. One that is being
 * opened, or was opened here, may be. */
static bool
is_absent(const struct door *door, uint32_t handle)
{
    if (handle == FLOW_INDEX_NONE || door->endpoint.down ||
        door->endpoint.state == ENDPOINT_GONE) {
        return door_lacks_unknown(door);
    }
    switch (door->flows[handle].state) {
    case DOOR_OPENING:
    case DOOR_HERE:
        return false;
    default:
        return door->flows[handle].denied ||
               (!door->flows[handle].doubtful && door_lacks_unknown(door));
    }
}

/* Whether the endpoint may not be there at all: it was never heard, or owes
 * an answer. */
static bool
may_be_down(const struct door *door, uint64_t now_us)
{
    bool owes =
        door->unanswered_us != 0 && now_us - door->unanswered_us >= ANSWER_US;

    return owes || door->endpoint.start_count == 0;
}

/* The host knows at once whether the endpoint's process is there; without it
 * the endpoint's silence would have to last for a second. */
static void
probe_if_due(struct door *door, uint64_t now_us)
{
    if (door->endpoint.state == ENDPOINT_GONE || door->endpoint.down ||
        !may_be_down(door, now_us) ||
        (door->probed_us != 0 && now_us - door->probed_us < PROBE_GAP_US)) {
        return;
    }
    door->probed_us = now_us;
    door->out->ops->probe(door->out);
}

void
door_asked(struct door *door, struct addr balancer,
           const struct frame_ask *ask, uint64_t now_us)
{
    struct frame_absent absent = {
        .query = ask->query,
        .down = door->endpoint.down,
        .partial = !door_lacks_unknown(door),
        .silent = door->endpoint.state != ENDPOINT_GONE &&
                  !door->endpoint.down && door->unanswered_us != 0 &&
                  now_us - door->unanswered_us >= SILENT_US,
    };

    door_heard_from(door, balancer, &ask->view, now_us);
    probe_if_due(door, now_us);
    for (unsigned i = 0; i < ask->count; i++) {
        uint32_t handle = flow_index_find(&door->table, ask->flows[i]);

        if (is_absent(door, handle)) {
            absent.absent[i / 32] |= 1u << i % 32;
        }
        else if (handle != FLOW_INDEX_NONE &&
                 door->flows[handle].state == DOOR_HERE) {
            door->flows[handle].origin = balancer;
            door_tell_placed(door, handle, now_us);
        }
    }
    door->out->ops->absent(door->out, balancer, &absent);
}
