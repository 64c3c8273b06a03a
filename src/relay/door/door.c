#include "relay/door/door.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "relay/door/door_private.h"

/* A request is taken as over after this long without a sign of it: callers
 * that never sent one after the handshake, or whose answer was lost. */
#define BUSY_MAX_US (2 * USEC_PER_SEC)

/* A flow whose caller doesn't go on after the handshake for this long, some
 * ten round trips, was opened elsewhere: its SYN had two answers. */
#define UNCONFIRMED_MAX_US (60 * USEC_PER_MSEC)

#define SWEEP_US (50 * USEC_PER_MSEC)

/* A flow that was quiet for this long is forgotten; the endpoint itself
 * still holds it, and a packet of it is offered there first. */
#define IDLE_US (60 * USEC_PER_SEC)

static void
wait_over(struct door *door, const struct door_wait *wait, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[wait->handle];

    if (flow->state != DOOR_OPENING || flow->tried_us != wait->tried_us) {
        return;
    }
    if (endpoint_silent(&door->endpoint)) {
        warming_in_doubt(&door->warming);
        door_tell_state(door, now_us);
    }
    flow->frame.best.ip = 0;
    door_pass_on(door, wait->handle, FRAME_REASON_SILENT, now_us);
}

static void
sweep(struct door *door, uint64_t now_us)
{
    unsigned at = 0;
    uint32_t oldest;

    while (at < door->busy_count) {
        uint32_t handle = door->busy[at];

        uint64_t most_us =
            door->flows[handle].confirmed ? BUSY_MAX_US : UNCONFIRMED_MAX_US;

        if (now_us - door->flows[handle].busy_us > most_us) {
            door_flow_idle(door, handle);
        }
        else {
            at++;
        }
    }
    door_queue_expire(door, now_us);
    oldest = flow_index_oldest(&door->table);
    while (oldest != FLOW_INDEX_NONE &&
           now_us - flow_index_used_us(&door->table, oldest) > IDLE_US) {
        door_flow_forget(door, oldest);
        oldest = flow_index_oldest(&door->table);
    }
    door->sweep_us = now_us + SWEEP_US;
}

int
door_init(struct door *door, struct door_out *out, struct addr self,
          const char *data_centre, const char *service, uint64_t now_us)
{
    memset(door, 0, sizeof(*door));
    door->out = out;
    door->self = self;
    door->data_centre = evacuations_key(data_centre);
    endpoint_init(&door->endpoint, service);
    pace_init(&door->pace);
    warming_init(&door->warming, now_us);
    door->warmer_us = UINT64_MAX;
    door->flows = calloc(DOOR_FLOWS_MAX, sizeof(*door->flows));
    door->busy = calloc(DOOR_FLOWS_MAX, sizeof(*door->busy));
    if (door->flows == NULL || door->busy == NULL ||
        kept_init(&door->kept) < 0 ||
        flow_index_init(&door->table, DOOR_FLOWS_MAX) < 0) {
        door_finish(door);
        return -ENOMEM;
    }
    return 0;
}

void
door_greet(struct door *door, struct addr balancer)
{
    if (door->greeter_count < DOOR_GREETERS_MAX) {
        door->greeters[door->greeter_count++] = balancer;
    }
}

void
door_finish(struct door *door)
{
    flow_index_finish(&door->table);
    kept_finish(&door->kept);
    free(door->flows);
    free(door->busy);
}

void
door_carry(struct door *door, const struct frame_carry *frame,
           const struct relay_packet *packet, uint64_t now_us)
{
    uint32_t handle =
        flow_index_find(&door->table, relay_flow_from_caller(packet));

    door_heard_from(door, frame->origin, &frame->view, now_us);
    if (frame->hops > DOOR_HOPS_MAX) {
        door_drop(door, DOOR_DROP_NOBODY);
        return;
    }
    if (relay_packet_opens(packet)) {
        if (handle == FLOW_INDEX_NONE) {
            door_open_flow(door, frame, packet, now_us);
        }
        else {
            door_open_again(door, handle, frame, packet, now_us);
        }
    }
    else if (handle == FLOW_INDEX_NONE) {
        door_ask_endpoint(door, frame, packet, now_us);
    }
    else {
        door_carry_known(door, handle, frame, packet, now_us);
    }
    door_queue_admit(door, now_us);
}

bool
door_is_evacuated(const struct door *door)
{
    return store_state_evacuated(&door->store, door->data_centre);
}

bool
door_evacuations(struct door *door, const struct evacuations *told,
                 uint64_t now_us)
{
    bool was_evacuated = door_is_evacuated(door);

    if (!store_state_take(&door->store, told, now_us) ||
        door_is_evacuated(door) == was_evacuated) {
        return false;
    }
    door_queue_admit(door, now_us);
    return true;
}

void
door_ping(struct door *door, struct addr balancer,
          const struct frame_ping *ping, uint64_t now_us)
{
    struct frame_status status = {.type = FRAME_STATE};

    door->unlisted = door->unlisted || ping->unlisted;
    door_heard_from(door, balancer, &ping->view, now_us);
    door_tell(door, balancer, &status, now_us);
    if (ping->view.version == 0) {
        door_tell_served(door, balancer);
    }
}

void
door_from_endpoint(struct door *door, const struct relay_packet *packet,
                   uint64_t now_us)
{
    door->unanswered_us = 0;
    if ((packet->flags & RELAY_BOUNCED) != 0) {
        door_bounced(door, packet, now_us);
        return;
    }
    if (endpoint_answered(&door->endpoint)) {
        door_tell_state(door, now_us);
    }
    if (door_answered(door, packet, now_us)) {
        door->out->ops->to_caller(door->out, packet->to, packet->bytes,
                                  packet->size);
    }
    door_queue_admit(door, now_us);
}

/* What the endpoint did before its start is over. Callers learn it with their
 * next packet, which it bounces: those that were opened between its start and
 * its first heartbeat live, and nothing here tells which those are. */
static void
void_earlier(struct door *door)
{
    door->start++;
    while (door->busy_count > 0) {
        door_flow_idle(door, door->busy[0]);
    }
    pace_init(&door->pace);
    door->outcome = (struct outcome){0};
    door->lossy = false;
}

bool
door_heartbeat(struct door *door, const struct heartbeat *heartbeat,
               uint64_t now_us)
{
    enum endpoint_news news =
        endpoint_heartbeat(&door->endpoint, heartbeat, now_us);

    if (news != ENDPOINT_EARLIER) {
        door->unanswered_us = 0;
        warming_told(&door->warming, heartbeat->warming_ms, now_us);
    }
    if (news == ENDPOINT_STARTED) {
        void_earlier(door);
    }
    if (news == ENDPOINT_STARTED || news == ENDPOINT_CHANGED) {
        door_tell_state(door, now_us);
    }
    return news != ENDPOINT_EARLIER;
}

void
door_left(struct door *door, const char *id, uint64_t born_ms, uint64_t now_us)
{
    if (endpoint_left(&door->endpoint, id, born_ms)) {
        door_tell_state(door, now_us);
    }
}

void
door_down(struct door *door, uint64_t now_us)
{
    if (endpoint_down(&door->endpoint)) {
        warming_in_doubt(&door->warming);
        void_earlier(door);
        door_tell_state(door, now_us);
    }
}

void
door_close(struct door *door, uint64_t now_us)
{
    door->closed = true;
    door_tell_state(door, now_us);
}

void
door_tick(struct door *door, uint64_t now_us)
{
    while (door->wait_count > 0 &&
           door->waits[door->wait_first].due_us <= now_us) {
        struct door_wait wait = door->waits[door->wait_first];

        door->wait_first = (door->wait_first + 1) % DOOR_WAITS_MAX;
        door->wait_count--;
        wait_over(door, &wait, now_us);
    }
    if (now_us >= door->sweep_us) {
        sweep(door, now_us);
    }
    if (door->balancer_count == 0 && now_us >= door->greet_us) {
        door_greet_all(door, now_us);
    }
    (void)store_state_tick(&door->store, now_us);
    door_queue_admit(door, now_us);
}

uint64_t
door_next_us(const struct door *door)
{
    uint64_t next_us = door->sweep_us;

    if (door->wait_count > 0 &&
        door->waits[door->wait_first].due_us < next_us) {
        next_us = door->waits[door->wait_first].due_us;
    }
    next_us = MIN(next_us, store_state_next_us(&door->store));
    return MIN(next_us, door->warmer_us);
}
