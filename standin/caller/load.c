#include "caller/load.h"

#include <errno.h>
#include <math.h>

#include "base/clock.h"
#include "base/hash.h"
#include "caller/caller.h"

/* Flows opened at one tick, so that opening packets don't burst. */
#define OPENS_MIN 4
#define OPENS_SHARE 50
#define OPEN_DELAY_MIN_US (50 * USEC_PER_MSEC)
#define OPEN_DELAY_MAX_US (2 * USEC_PER_SEC)
#define RETRY_DELAY_US (200 * USEC_PER_MSEC)

static void
free_requests(GQueue *queue)
{
    struct request *request;

    while ((request = g_queue_pop_head(queue)) != NULL)
        g_free(request);
}

static uint64_t
deadline_of(const struct load *load, uint64_t start_us)
{
    return start_us + load->settings->deadline_ms * USEC_PER_MSEC;
}

static void
begin_attempt(struct load *load, struct request *request, uint64_t start_us)
{
    /* A bijection of the count, so no id comes twice. */
    request->ids[request->attempt++] =
        hash_pair(load->id_seed, ++load->id_count);
    request->start_us = start_us;
    request->deadline_us = deadline_of(load, start_us);
    trace_root(&load->caller->trace, &request->trace);
    if (!trace_sampled(&load->caller->trace, request_id(request)))
        request->trace.flags = 0;
}

static struct request *
request_new(struct load *load, uint64_t start_us)
{
    struct request *request = g_new0(struct request, 1);

    request->last_flow = RECORD_NO_FLOW;
    request->post = g_rand_double(load->rand) < load->settings->post_share;
    begin_attempt(load, request, start_us);
    return request;
}

/* A free flow other than the one that has just failed the request. */
static struct flow *
pick_flow(struct load *load, int64_t avoid)
{
    unsigned count = load->settings->flows;
    struct flow *best = NULL;

    for (unsigned i = 0; i < count; i++) {
        unsigned slot = (load->next_slot + i) % count;
        struct flow *flow = load->slots[slot];

        if (flow == NULL || !flow_has_room(flow) ||
            (count > 1 && flow->number == avoid))
            continue;
        if (best == NULL ||
            flow->in_progress.length < best->in_progress.length)
            best = flow;
        if (best->in_progress.length == 0) {
            load->next_slot = slot + 1;
            return best;
        }
    }
    return best;
}

static void
arm_timer(struct load *load, uint64_t now_us)
{
    uint64_t delay = load->next_us > now_us ? load->next_us - now_us : 0;
    struct timeval tv = {.tv_sec = (time_t)(delay / USEC_PER_SEC),
                         .tv_usec = (suseconds_t)(delay % USEC_PER_SEC)};

    event_add(load->timer, &tv);
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    struct load *load = data;
    uint64_t now_us = clock_now_us(&load->caller->clock);

    (void)fd;
    (void)what;
    while (load->next_us <= now_us) {
        g_queue_push_tail(&load->waiting, request_new(load, load->next_us));
        load->next_us += load_next_arrival(load->rand, load->settings->rate);
    }
    load_dispatch(load);
    arm_timer(load, now_us);
}

static void
delay_opens(struct load *load)
{
    load->open_after_us =
        clock_now_us(&load->caller->clock) + load->open_delay_us;
    load->open_delay_us = MIN(load->open_delay_us * 2, OPEN_DELAY_MAX_US);
}

static void
open_slot(struct load *load, unsigned slot)
{
    struct addr src;
    int64_t number = caller_next_flow(load->caller, &src);

    load->slots[slot] = flow_open(load, number, src);
    if (load->slots[slot] == NULL)
        delay_opens(load);
}

static void
open_missing(struct load *load, uint64_t now_us)
{
    unsigned count = load->settings->flows;
    unsigned budget = MAX(OPENS_MIN, count / OPENS_SHARE);

    if (now_us < load->open_after_us)
        return;
    for (unsigned slot = 0; slot < count && budget > 0; slot++) {
        if (load->slots[slot] != NULL)
            continue;
        open_slot(load, slot);
        budget--;
    }
}

static void
release_retries(struct load *load, uint64_t now_us)
{
    struct request *request;

    while ((request = g_queue_peek_head(&load->retries)) != NULL &&
           request->start_us <= now_us)
        g_queue_push_tail(&load->waiting, g_queue_pop_head(&load->retries));
}

/* Whoever waits past the deadline gives up without having been sent. */
static void
expire_waiting(struct load *load, uint64_t now_us)
{
    struct request *request;

    while ((request = g_queue_peek_head(&load->waiting)) != NULL &&
           request->deadline_us <= now_us) {
        struct request_line line = {.flow = RECORD_NO_FLOW,
                                    .result = RESULT_TIMEOUT};

        g_queue_pop_head(&load->waiting);
        load->in_progress++;
        load_on_outcome(load, request, &line);
    }
}

static int
by_start(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct request *first = a;
    const struct request *second = b;

    (void)data;
    return first->start_us < second->start_us ? -1 : 1;
}

static uint64_t
retry_time(const struct request_line *line)
{
    if (line->retry_after_ms > 0)
        return line->end_us + line->retry_after_ms * USEC_PER_MSEC;
    return line->end_us + RETRY_DELAY_US;
}

static bool
may_retry(const struct load *load, const struct request *request,
          const struct request_line *line)
{
    return request->post && request->attempt < REQUEST_ATTEMPTS_MAX &&
           line->result != RESULT_ANSWERED && line->flow != RECORD_NO_FLOW &&
           retry_time(line) < load->caller->close_us;
}

static void
retry(struct load *load, struct request *request,
      const struct request_line *line)
{
    request->last_flow = line->flow;
    begin_attempt(load, request, retry_time(line));
    g_queue_insert_sorted(&load->retries, request, by_start, NULL);
}

static void
complete_line(const struct load *load, const struct request *request,
              struct request_line *line)
{
    line->id = request_id(request);
    line->service = load->settings->service;
    line->urgent = load->settings->urgent;
    line->post = request->post;
    line->key = request->ids[0];
    line->attempt = request->attempt;
    line->start_us = request->start_us;
    line->deadline_us = request->deadline_us;
    line->end_us = clock_now_us(&load->caller->clock);
}

int
load_init(struct load *load, struct caller *caller,
          const struct load_settings *settings, unsigned index)
{
    load->caller = caller;
    load->settings = settings;
    load->id_seed = hash_pair(caller->settings->seed, index + 1);
    load->rand = g_rand_new_with_seed((guint32)load->id_seed);
    load->open_delay_us = OPEN_DELAY_MIN_US;
    g_queue_init(&load->flows);
    load->slots = g_new0(struct flow *, settings->flows);
    g_queue_init(&load->waiting);
    g_queue_init(&load->retries);
    load->timer = evtimer_new(caller->event_base, on_timer, load);
    return load->timer != NULL ? 0 : -ENOMEM;
}

void
load_finish(struct load *load)
{
    if (load->timer != NULL)
        event_free(load->timer);
    while (load->flows.head != NULL)
        flow_free(load->flows.head->data);
    free_requests(&load->waiting);
    free_requests(&load->retries);
    g_rand_free(load->rand);
    g_free(load->slots);
}

uint64_t
load_next_arrival(GRand *rand, double rate)
{
    double wait_s = -log1p(-g_rand_double(rand)) / rate;

    return (uint64_t)(wait_s * (double)USEC_PER_SEC);
}

void
load_start(struct load *load, uint64_t now_us)
{
    load->next_us =
        now_us + load_next_arrival(load->rand, load->settings->rate);
    arm_timer(load, now_us);
}

void
load_stop(struct load *load)
{
    event_del(load->timer);
}

void
load_tick(struct load *load, uint64_t now_us)
{
    for (GList *at = load->flows.head; at != NULL; at = at->next)
        flow_check_timeout(at->data, now_us);
    open_missing(load, now_us);
    release_retries(load, now_us);
    load_dispatch(load);
    expire_waiting(load, now_us);
}

bool
load_is_open(const struct load *load)
{
    for (unsigned slot = 0; slot < load->settings->flows; slot++) {
        if (load->slots[slot] == NULL || !load->slots[slot]->open)
            return false;
    }
    return true;
}

bool
load_is_idle(const struct load *load)
{
    return load->in_progress == 0 && load->waiting.length == 0 &&
           load->retries.length == 0;
}

void
load_close_flows(struct load *load)
{
    expire_waiting(load, UINT64_MAX);
    for (GList *at = load->flows.head; at != NULL; at = at->next)
        flow_finish(at->data);
}

void
load_dispatch(struct load *load)
{
    struct request *request;

    while ((request = g_queue_peek_head(&load->waiting)) != NULL) {
        struct flow *flow = pick_flow(load, request->last_flow);

        if (flow == NULL)
            return;
        g_queue_pop_head(&load->waiting);
        load->in_progress++;
        flow_send(flow, request);
    }
}

void
load_on_outcome(struct load *load, struct request *request,
                struct request_line *line)
{
    load->in_progress--;
    complete_line(load, request, line);
    record_request(&load->caller->record, line);
    trace_span(&load->caller->trace, &request->trace, NULL, "caller",
               line->start_us, line->end_us, result_name(line->result));
    if (may_retry(load, request, line))
        retry(load, request, line);
    else
        g_free(request);
}

void
load_on_flow_open(struct load *load)
{
    load->open_delay_us = OPEN_DELAY_MIN_US;
    load_dispatch(load);
}

void
load_on_flow_ending(struct load *load, struct flow *flow)
{
    for (unsigned slot = 0; slot < load->settings->flows; slot++) {
        if (load->slots[slot] != flow)
            continue;
        load->slots[slot] = NULL;
        /* Only a flow that did its work is replaced at once. */
        if (flow->open && !load->caller->closing)
            open_slot(load, slot);
        return;
    }
}

void
load_on_flow_closed(struct load *load, struct flow *flow, enum flow_end end)
{
    if (load->caller->closing)
        return;
    if (end != FLOW_CLOSED)
        delay_opens(load);
    flow_record(flow, end);
}
