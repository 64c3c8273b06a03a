#include "relay/door/door_private.h"

#include <glib.h>

#include "base/clock.h"

/* How often an agent that no balancer has spoken to says that it is here.
 * After a loss of all hosts this is how balancers find agents when the store
 * is away; three datagrams each time. */
#define GREET_US (100 * USEC_PER_MSEC)

/* Balancers that were silent for longer aren't told of changes. */
#define BALANCER_IDLE_US (60 * USEC_PER_SEC)

/* A balancer that was silent for longer isn't counted as one that reads the
 * store: it may be frozen or cut off. Those with callers are heard with each
 * packet. */
#define READER_FRESH_US (1 * USEC_PER_SEC)

/* Balancers but for @but that read the latest of the store, or try to. */
static struct frame_readers
count_readers(const struct door *door, struct addr but, uint64_t now_us)
{
    struct frame_readers count = {0};

    for (unsigned i = 0; i < door->balancer_count; i++) {
        const struct door_balancer *balancer = &door->balancers[i];

        if (now_us - balancer->heard_us < READER_FRESH_US &&
            !addr_equal(balancer->addr, but)) {
            count.reading += balancer->view.reader == FRAME_READER_READS;
            count.trying += balancer->view.reader == FRAME_READER_TRIES;
        }
    }
    return count;
}

void
door_tell(struct door *door, struct addr balancer, struct frame_status *status,
          uint64_t now_us)
{
    status->health = endpoint_health(
        &door->endpoint, door->busy_count + door_queue_in_time(door, now_us));
    status->health.data_centre = door->data_centre;
    if (door->closed && status->health.state != ENDPOINT_GONE) {
        status->health.state = ENDPOINT_DRAINING;
    }
    if (!warming_has_room(&door->warming, now_us)) {
        /* As good as full, for whoever chooses among agents. */
        status->health.busy = MAX(status->health.busy, status->health.slots);
    }
    status->health.failing = outcome_is_failing(&door->outcome, now_us);
    status->heard = door->heard;
    status->readers = count_readers(door, balancer, now_us);
    door->out->ops->tell(door->out, balancer, status);
}

void
door_tell_placed(struct door *door, uint32_t handle, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];
    struct frame_status status = {
        .type = FRAME_PLACED,
        .flow = flow_index_flow(&door->table, handle),
        .seq = flow->seq,
    };

    if (flow->origin.ip != 0) {
        door_tell(door, flow->origin, &status, now_us);
    }
}

void
door_tell_passed(struct door *door, struct relay_flow key, struct addr origin,
                 enum frame_reason why, struct addr target, uint64_t now_us)
{
    struct frame_status status = {
        .type = FRAME_PASSED,
        .reason = (uint8_t)why,
        .target = target,
        .flow = key,
    };

    if (origin.ip != 0) {
        door_tell(door, origin, &status, now_us);
    }
}

/* Tells all balancers of late that the endpoint's state has changed. */
void
door_tell_state(struct door *door, uint64_t now_us)
{
    struct frame_status status = {.type = FRAME_STATE};

    for (unsigned i = 0; i < door->balancer_count; i++) {
        if (now_us - door->balancers[i].heard_us < BALANCER_IDLE_US) {
            door_tell(door, door->balancers[i].addr, &status, now_us);
        }
    }
}

/* Whether @a is to be forgotten before @b: readers last, as others ask who
 * they are, then whoever spoke last. */
static bool
is_less_wanted(const struct door_balancer *a, const struct door_balancer *b,
               uint64_t now_us)
{
    bool a_reads = a->view.reader != FRAME_READER_NONE &&
                   now_us - a->heard_us < READER_FRESH_US;
    bool b_reads = b->view.reader != FRAME_READER_NONE &&
                   now_us - b->heard_us < READER_FRESH_US;

    return a_reads != b_reads ? b_reads : a->heard_us < b->heard_us;
}

void
door_heard_from(struct door *door, struct addr balancer,
                const struct frame_store_view *view, uint64_t now_us)
{
    unsigned least = 0;

    /* Of those that have it, whoever spoke last is the likeliest to answer. */
    if (view->version >= door->heard.version) {
        door->heard = (struct frame_version){view->version, balancer};
    }
    for (unsigned i = 0; i < door->balancer_count; i++) {
        if (addr_equal(door->balancers[i].addr, balancer)) {
            door->balancers[i].heard_us = now_us;
            door->balancers[i].view = *view;
            return;
        }
        if (is_less_wanted(&door->balancers[i], &door->balancers[least],
                           now_us)) {
            least = i;
        }
    }
    if (door->balancer_count < DOOR_BALANCERS_MAX) {
        least = door->balancer_count++;
    }
    door->balancers[least] = (struct door_balancer){balancer, now_us, *view};
}

void
door_tell_served(struct door *door, struct addr balancer)
{
    door->served.service = door->endpoint.service;
    if (door->served.count > 0) {
        door->out->ops->serves(door->out, balancer, &door->served);
    }
}

/* The endpoint holds a flow from before this agent's start, so its service
 * was reached under that address. Flows that came through here prove
 * nothing: a balancer without configuration would believe itself. */
void
door_note_served(struct door *door, struct addr service)
{
    for (unsigned i = 0; i < door->served.count; i++) {
        if (addr_equal(door->served.addrs[i], service)) {
            return;
        }
    }
    if (door->served.count == FRAME_SERVED_MAX) {
        return;
    }
    door->served.addrs[door->served.count++] = service;
    for (unsigned i = 0; i < door->balancer_count; i++) {
        if (door->balancers[i].view.version == 0) {
            door_tell_served(door, door->balancers[i].addr);
        }
    }
}

void
door_greet_all(struct door *door, uint64_t now_us)
{
    struct frame_status status = {.type = FRAME_STATE};

    for (unsigned i = 0; i < door->greeter_count; i++) {
        door_tell(door, door->greeters[i], &status, now_us);
    }
    door->greet_us = now_us + GREET_US;
}
