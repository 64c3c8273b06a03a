#include "relay/admission/admission_private.h"

#include <glib.h>

#include "base/clock.h"

/* Interval of announcements until a balancer is heard. After a loss of all
 * hosts balancers find agents by these while the store is down. */
#define ANNOUNCE_INTERVAL_US (100 * USEC_PER_MSEC)

/* Balancers without a frame for longer aren't notified of changes. */
#define BALANCER_IDLE_US (60 * USEC_PER_SEC)

/* Balancers without a frame for longer aren't counted as store readers: they
 * may be frozen or cut off. */
#define READER_FRESH_US (1 * USEC_PER_SEC)

/* Counts the balancers except @but that read the store, or try to. */
static struct frame_readers
count_readers(const struct admission *admission, struct addr except,
              uint64_t now_us)
{
    struct frame_readers count = {0};

    for (unsigned i = 0; i < admission->balancer_count; i++) {
        const struct admission_balancer *balancer = &admission->balancers[i];

        if (now_us - balancer->heard_us < READER_FRESH_US &&
            !addr_equal(balancer->addr, except)) {
            count.reading += balancer->view.reader == FRAME_READER_READING;
            count.trying += balancer->view.reader == FRAME_READER_TRYING;
        }
    }
    return count;
}

void
admission_notify(struct admission *admission, struct addr balancer,
                 struct frame_status *status, uint64_t now_us)
{
    status->health = endpoint_health(
        &admission->endpoint,
        admission->busy_count + admission_queue_in_time(admission, now_us));
    status->health.data_centre = admission->data_centre;
    if (admission->closed && status->health.state != ENDPOINT_GONE) {
        status->health.state = ENDPOINT_DRAINING;
    }
    if (!slow_start_allows(&admission->slow_start, now_us)) {
        /* Report full, so that balancers choose another agent. */
        status->health.busy = MAX(status->health.busy, status->health.slots);
    }
    status->health.failing = outcome_is_failing(&admission->outcome, now_us);
    admission_fill_load(admission, &status->health.load, now_us);
    status->heard = admission->heard;
    status->readers = count_readers(admission, balancer, now_us);
    admission->out->ops->notify(admission->out, balancer, status);
}

void
admission_notify_established(struct admission *admission, uint32_t handle,
                             uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];
    struct frame_status status = {
        .type = FRAME_ESTABLISHED,
        .flow = flow_index_flow(&admission->table, handle),
        .seq = flow->seq,
    };

    if (flow->origin.ip != 0) {
        admission_notify(admission, flow->origin, &status, now_us);
    }
}

void
admission_notify_redirected(struct admission *admission, struct relay_flow key,
                            struct addr origin, enum frame_reason why,
                            struct addr target, uint64_t now_us)
{
    struct frame_status status = {
        .type = FRAME_REDIRECTED,
        .reason = (uint8_t)why,
        .target = target,
        .flow = key,
    };

    if (origin.ip != 0) {
        admission_notify(admission, origin, &status, now_us);
    }
}

void
admission_notify_state(struct admission *admission, uint64_t now_us)
{
    struct frame_status status = {.type = FRAME_STATE};

    for (unsigned i = 0; i < admission->balancer_count; i++) {
        if (now_us - admission->balancers[i].heard_us < BALANCER_IDLE_US) {
            admission_notify(admission, admission->balancers[i].addr, &status,
                             now_us);
        }
    }
}

/* Number of balancers that were heard after one. */
static unsigned
count_heard_after(const struct admission *admission, unsigned at)
{
    uint64_t heard_us = admission->balancers[at].heard_us;
    unsigned count = 0;

    for (unsigned i = 0; i < admission->balancer_count; i++) {
        count += admission->balancers[i].heard_us > heard_us;
    }
    return count;
}

void
admission_notify_recent(struct admission *admission, unsigned count,
                        uint64_t now_us)
{
    struct frame_status status = {.type = FRAME_STATE};

    for (unsigned i = 0; i < admission->balancer_count; i++) {
        if (count_heard_after(admission, i) < count) {
            admission_notify(admission, admission->balancers[i].addr, &status,
                             now_us);
        }
    }
}

/* Whether @a is evicted before @b: store readers last, otherwise the one not
 * heard for longest. */
static bool
evict_before(const struct admission_balancer *a,
             const struct admission_balancer *b, uint64_t now_us)
{
    bool a_reads = a->view.reader != FRAME_READER_NONE &&
                   now_us - a->heard_us < READER_FRESH_US;
    bool b_reads = b->view.reader != FRAME_READER_NONE &&
                   now_us - b->heard_us < READER_FRESH_US;

    return a_reads != b_reads ? b_reads : a->heard_us < b->heard_us;
}

void
admission_note_balancer(struct admission *admission, struct addr balancer,
                        const struct frame_store_view *view, uint64_t now_us)
{
    unsigned slot = 0;

    /* The balancer heard last is the most likely one to be up. */
    if (view->version >= admission->heard.version) {
        admission->heard =
            (struct frame_config_version){view->version, balancer};
    }
    for (unsigned i = 0; i < admission->balancer_count; i++) {
        if (addr_equal(admission->balancers[i].addr, balancer)) {
            admission->balancers[i].heard_us = now_us;
            admission->balancers[i].view = *view;
            return;
        }
        if (evict_before(&admission->balancers[i], &admission->balancers[slot],
                         now_us)) {
            slot = i;
        }
    }
    if (admission->balancer_count < ADMISSION_BALANCERS_MAX) {
        slot = admission->balancer_count++;
    }
    admission->balancers[slot] =
        (struct admission_balancer){balancer, now_us, *view};
}

void
admission_notify_served(struct admission *admission, struct addr balancer)
{
    admission->served.service = admission->endpoint.service;
    if (admission->served.count > 0) {
        admission->out->ops->served(admission->out, balancer,
                                    &admission->served);
    }
}

/* Only flows from before this agent's start prove that the service uses the
 * address. Later ones came through a balancer, which may lack a configuration.
 */
void
admission_note_served(struct admission *admission, struct addr service)
{
    for (unsigned i = 0; i < admission->served.count; i++) {
        if (addr_equal(admission->served.addrs[i], service)) {
            return;
        }
    }
    if (admission->served.count == FRAME_SERVED_MAX) {
        return;
    }
    admission->served.addrs[admission->served.count++] = service;
    for (unsigned i = 0; i < admission->balancer_count; i++) {
        if (admission->balancers[i].view.version == 0) {
            admission_notify_served(admission, admission->balancers[i].addr);
        }
    }
}

void
admission_announce(struct admission *admission, uint64_t now_us)
{
    struct frame_status status = {.type = FRAME_STATE};

    for (unsigned i = 0; i < admission->announce_target_count; i++) {
        admission_notify(admission, admission->announce_targets[i], &status,
                         now_us);
    }
    admission->announce_us = now_us + ANNOUNCE_INTERVAL_US;
}
