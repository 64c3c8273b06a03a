#define G_LOG_DOMAIN "swiftarch-control"

#include "control/control.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/random.h>
#include <unistd.h>
#include <urcu.h>

#include "base/hash.h"
#include "base/log.h"
#include "control/control_internal.h"

#define LOAD_PUBLISH_US (1 * USEC_PER_SEC)
#define TIMER_MAX_US (500 * USEC_PER_MSEC)
#define TIMER_MIN_US (1 * USEC_PER_MSEC)
#define FLUSH_TURNS 20
#define FLUSH_TURN_MS 10

/* A process isn't announced as ready before it has a configuration. */
static void
announce_local(struct control *control, uint64_t now_us)
{
    struct blackboard_local local =
        blackboard_local(control->blackboard, &control->local_seq);

    if (local.state == MEMBER_READY && control->blackboard->text == NULL)
        local.state = MEMBER_WARMING;
    member_announce(&control->members, local.state, local.service, local.slots,
                    local.busy, local.waiting, now_us);
}

static void
handle_dead_reports(struct control *control, uint64_t now_us)
{
    pthread_mutex_lock(&control->lock);
    for (size_t i = 0; i < control->report_count; i++)
        member_proven_dead(&control->members, control->reports[i].member,
                           control->reports[i].incarnation, now_us);
    control->report_count = 0;
    pthread_mutex_unlock(&control->lock);
}

static void
publish_view(struct control *control, uint64_t now_us)
{
    struct view *view;

    if (!control->members.changed &&
        (!control->members.load_changed || now_us < control->load_us))
        return;
    view = member_view(&control->members, control->view_seq + 1, now_us);
    if (view == NULL)
        return;
    control->view_seq++;
    control->members.changed = false;
    control->members.load_changed = false;
    control->load_us = now_us + LOAD_PUBLISH_US;
    blackboard_publish_view(control->blackboard, view);
}

static void
set_timer(struct control *control, uint64_t now_us)
{
    uint64_t next = member_next_us(&control->members);
    uint64_t wait;
    struct timeval timeout;

    next = MIN(next, config_next_us(&control->config, now_us));
    next = MIN(next, control->extension_us);
    wait = next > now_us ? next - now_us : 0;
    wait = CLAMP(wait, TIMER_MIN_US, TIMER_MAX_US);
    timeout.tv_sec = wait / USEC_PER_SEC;
    timeout.tv_usec = wait % USEC_PER_SEC;
    event_add(control->timer, &timeout);
}

static void
start_extension(struct control *control)
{
    struct extension *extension = control->blackboard->extension;

    control->extension_us = UINT64_MAX;
    if (extension == NULL)
        return;
    extension->control = control;
    extension->send = control_net_send_extension;
    extension->ops->on_start(extension, link_hub_addr(&control->hub));
}

static void
step_extension(struct control *control, uint64_t now_us)
{
    struct extension *extension = control->blackboard->extension;

    if (extension != NULL)
        control->extension_us =
            extension->ops->on_step(extension, now_us, control_wall_ms());
}

/* Runs the controllers, sends, publishes and sets the timer. */
static void
step(struct control *control)
{
    uint64_t now_us = control_now(control);

    announce_local(control, now_us);
    control_config_step(control);
    member_set_config(&control->members, control->config.have,
                      control->config.confirmed_us, now_us);
    if (now_us >= member_next_us(&control->members))
        member_tick(&control->members, now_us, &control->out);
    control_net_send(control);
    publish_view(control, now_us);
    step_extension(control, now_us);
    set_timer(control, now_us);
}

static void
on_peer(struct control *control, struct link_conn *conn,
        enum control_frame type, const uint8_t *body, size_t len)
{
    switch (type) {
    case CONTROL_FRAME_CONFIG_REQUEST:
        control_config_request(control, conn, body, len);
        break;
    case CONTROL_FRAME_CONFIG_REPLY:
        control_config_reply(control, body, len);
        break;
    case CONTROL_FRAME_SHOW_REQUEST:
        control_show(control, conn, body, len);
        break;
    default:
        control->bad_messages++;
        break;
    }
}

static const struct control_ops control_ops = {step, on_peer};

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    struct control *control = data;

    step(control);
    control_update_counters(control);
}

static void
on_wake(evutil_socket_t fd, short what, void *data)
{
    struct control *control = data;
    uint64_t count;

    if (read(control->wake, &count, sizeof(count)) < 0)
        return;
    handle_dead_reports(control, control_now(control));
    step(control);
    if (__atomic_load_n(&control->stopping, __ATOMIC_ACQUIRE))
        event_base_loopbreak(control->base);
}

/* Notifies the peers and waits for queued frames to be sent. */
static void
leave_cell(struct control *control)
{
    member_leave(&control->members, control_now(control), &control->out);
    control_net_send(control);
    event_del(control->timer);
    for (unsigned i = 0; i < FLUSH_TURNS; i++) {
        if (link_hub_queued(&control->hub) == 0)
            return;
        event_base_loop(control->base, EVLOOP_NONBLOCK);
        g_usleep(FLUSH_TURN_MS * USEC_PER_MSEC);
    }
}

static void *
control_thread(void *data)
{
    struct control *control = data;

    rcu_register_thread();
    start_extension(control);
    step(control);
    event_base_dispatch(control->base);
    leave_cell(control);
    control_update_counters(control);
    rcu_unregister_thread();
    return NULL;
}

static void
describe_self(const struct control *control, struct member_update *self)
{
    const struct settings *settings = control->settings;
    struct view_member *member = &self->member;

    memset(self, 0, sizeof(*self));
    member->id = hash_name(settings->name);
    g_strlcpy(member->name, settings->name, sizeof(member->name));
    g_strlcpy(member->data_centre, settings->data_centre,
              sizeof(member->data_centre));
    member->role =
        settings->role == SETTINGS_AGENT ? MEMBER_AGENT : MEMBER_BALANCER;
    member->state = MEMBER_WARMING;
    member->data = settings->data;
    member->control = link_hub_addr(&control->hub);
    self->start = control_wall_ms() * 1000;
    member->incarnation = self->start;
}

static int
start_cores(struct control *control, struct error *err)
{
    const struct settings *settings = control->settings;
    uint64_t now_us = control_now(control);
    struct member_update self;
    uint64_t seed;

    if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed))
        return error_set(err, -errno, "random", NULL,
                         "Random numbers are unavailable.");
    describe_self(control, &self);
    control->cell = hash_bytes(settings->cell, strlen(settings->cell), 0);
    if (member_core_init(&control->members, &self, control->cell, seed,
                         now_us) < 0)
        return error_set(err, -ENOMEM, "members", NULL, "Out of memory.");
    for (size_t i = 0; i < settings->seed_count; i++)
        member_add_contact(&control->members, settings->seeds[i]);
    config_core_init(&control->config, seed + 1, now_us);
    seeds_core_init(&control->seeds, seed + 2, now_us);
    return 0;
}

static int
start_events(struct control *control, struct error *err)
{
    control->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (control->wake < 0)
        return error_set(err, -errno, "eventfd", NULL,
                         "The event descriptor can't be created.");
    control->timer = evtimer_new(control->base, on_timer, control);
    control->wake_event = event_new(control->base, control->wake,
                                    EV_READ | EV_PERSIST, on_wake, control);
    if (control->timer == NULL || control->wake_event == NULL ||
        event_add(control->wake_event, NULL) < 0)
        return error_set(err, -ENOMEM, "event", NULL,
                         "The wake event can't be created.");
    return 0;
}

static void
control_free(struct control *control)
{
    if (control->platform != NULL)
        platform_free(control->platform);
    control_net_close(control);
    if (control->timer != NULL)
        event_free(control->timer);
    if (control->wake_event != NULL)
        event_free(control->wake_event);
    if (control->wake >= 0)
        close(control->wake);
    if (control->base != NULL)
        event_base_free(control->base);
    member_core_finish(&control->members);
    member_actions_finish(&control->out);
    history_finish(&control->history);
    pthread_mutex_destroy(&control->lock);
    free(control);
}

struct control *
control_start(const struct settings *settings, struct blackboard *blackboard,
              struct clock *clock, struct counter_table *counters,
              struct error *err)
{
    struct control *control = calloc(1, sizeof(*control));
    int ret;

    if (control == NULL) {
        error_set(err, -ENOMEM, "control", NULL, "Out of memory.");
        return NULL;
    }
    control->ops = &control_ops;
    control->settings = settings;
    control->blackboard = blackboard;
    control->clock = clock;
    control->counters = counters;
    control->udp = -1;
    control->wake = -1;
    pthread_mutex_init(&control->lock, NULL);
    control->base = event_base_new();
    if (control->base == NULL) {
        error_set(err, -ENOMEM, "event base", NULL,
                  "The event base can't be created.");
        goto err;
    }
    if (control_register_counters(control, err) < 0 ||
        control_net_open(control, err) < 0 || start_cores(control, err) < 0 ||
        start_events(control, err) < 0 ||
        control_config_open(control, err) < 0)
        goto err;
    ret = pthread_create(&control->thread, NULL, control_thread, control);
    if (ret != 0) {
        error_set(err, -ret, "thread", NULL,
                  "The control thread can't be created.");
        goto err;
    }
    return control;
err:
    control_free(control);
    return NULL;
}

static void
wake(struct control *control)
{
    uint64_t one = 1;
    ssize_t ret = write(control->wake, &one, sizeof(one));

    /* EAGAIN: the counter is full, so the thread is about to wake. */
    g_assert(ret == sizeof(one) || errno == EAGAIN);
}

void
control_report_dead(struct control *control, uint64_t member,
                    uint64_t incarnation)
{
    pthread_mutex_lock(&control->lock);
    /* A dropped report is repeated by the next refused connection. */
    if (control->report_count < CONTROL_REPORTS_MAX) {
        control->reports[control->report_count].member = member;
        control->reports[control->report_count].incarnation = incarnation;
        control->report_count++;
    }
    pthread_mutex_unlock(&control->lock);
    wake(control);
}

void
control_announce(struct control *control)
{
    wake(control);
}

void
control_stop(struct control *control)
{
    __atomic_store_n(&control->stopping, true, __ATOMIC_RELEASE);
    wake(control);
    pthread_join(control->thread, NULL);
    control_free(control);
}
