#define G_LOG_DOMAIN "swiftarch-caller"

#include "caller/flow.h"

#include <errno.h>

#include "base/log.h"
#include "caller/caller.h"
#include "caller/load.h"

#define OPEN_TIMEOUT_US (5 * USEC_PER_SEC)

static uint64_t
now_of(const struct flow *flow)
{
    return clock_now_us(&flow->load->caller->clock);
}

static void
flush_out(struct flow *flow)
{
    size_t taken;

    if (!flow->open || flow->out->len == 0)
        return;
    taken = stack_write(flow->conn, flow->out->data, flow->out->len);
    if (taken > 0)
        g_byte_array_remove_range(flow->out, 0, (guint)taken);
}

static void
expect_next(struct flow *flow)
{
    struct request *request = g_queue_peek_head(&flow->in_progress);

    if (request != NULL)
        answer_expect(&flow->answer, request);
    else
        flow->answer.request = NULL;
}

/* The oldest request is over, as @flow->answer.line says. */
static void
finish_oldest(struct flow *flow)
{
    struct request *request = g_queue_pop_head(&flow->in_progress);
    struct request_line line = flow->answer.line;

    line.flow = flow->number;
    line.src = flow->src;
    if (flow->answer.via[0] != '\0')
        g_strlcpy(flow->via, flow->answer.via, sizeof(flow->via));
    expect_next(flow);
    load_on_outcome(flow->load, request, &line);
}

/* All requests in progress end without an answer. */
static void
lose_requests(struct flow *flow, enum result oldest)
{
    enum result result = oldest;

    while (!g_queue_is_empty(&flow->in_progress)) {
        flow->answer.line.truncated = flow->answer.begun;
        flow->answer.line.result = result;
        finish_oldest(flow);
        result = RESULT_BROKEN;
    }
}

static void
end_flow(struct flow *flow)
{
    if (!flow->ending) {
        flow->ending = true;
        load_on_flow_ending(flow->load, flow);
    }
}

static void
give_up(struct flow *flow, enum result oldest)
{
    flow->closed_by_us = true;
    end_flow(flow);
    lose_requests(flow, oldest);
    stack_abort(flow->conn);
}

static void
close_if_done(struct flow *flow)
{
    if (!flow->ending || flow->closed_by_us ||
        !g_queue_is_empty(&flow->in_progress))
        return;
    flow->closed_by_us = true;
    stack_close(flow->conn);
}

static void
take_answer(struct flow *flow)
{
    if (answer_closes(&flow->answer)) {
        end_flow(flow);
        finish_oldest(flow);
        /* Those behind it won't be answered any more. */
        lose_requests(flow, RESULT_BROKEN);
    }
    else {
        finish_oldest(flow);
    }
    close_if_done(flow);
    load_dispatch(flow->load);
}

struct flow *
flow_open(struct load *load, int64_t number, struct addr src)
{
    struct flow *flow = g_new0(struct flow, 1);

    flow->load = load;
    flow->number = number;
    flow->src = src;
    flow->open_us = clock_now_us(&load->caller->clock);
    flow->conn = stack_connect(load->caller->stack, src, load->settings->to);
    if (flow->conn == NULL) {
        flow_record(flow, FLOW_OPEN_FAILED);
        g_free(flow);
        return NULL;
    }
    flow->out = g_byte_array_new();
    g_queue_init(&flow->in_progress);
    answer_init(&flow->answer, load->settings);
    stack_conn_set_data(flow->conn, flow);
    flow->link.data = flow;
    g_queue_push_tail_link(&load->flows, &flow->link);
    return flow;
}

void
flow_free(struct flow *flow)
{
    struct request *request;

    g_queue_unlink(&flow->load->flows, &flow->link);
    while ((request = g_queue_pop_head(&flow->in_progress)) != NULL)
        g_free(request);
    answer_finish(&flow->answer);
    g_byte_array_unref(flow->out);
    g_free(flow);
}

bool
flow_has_room(const struct flow *flow)
{
    return flow->open && !flow->ending &&
           flow->in_progress.length < flow->load->settings->pipeline;
}

void
flow_send(struct flow *flow, struct request *request)
{
    unsigned most = flow->load->settings->flow_requests;

    request_write(request, flow->load->settings, now_of(flow), flow->out);
    g_queue_push_tail(&flow->in_progress, request);
    if (flow->in_progress.length == 1)
        expect_next(flow);
    flow->requests++;
    if (most > 0 && flow->requests >= most)
        end_flow(flow);
    flush_out(flow);
}

void
flow_finish(struct flow *flow)
{
    enum flow_end end = FLOW_ALIVE;

    if (!flow->open)
        end = FLOW_OPEN_FAILED;
    else if (flow->timed_out)
        end = FLOW_TIMEOUT;
    else if (flow->closed_by_us || flow->peer_closed)
        end = FLOW_CLOSED;
    flow->ending = true;
    lose_requests(flow, RESULT_TIMEOUT);
    /* One that was still opening has neither failed nor lived. */
    if (flow->open || flow->closed_by_us)
        flow_record(flow, end);
    close_if_done(flow);
}

static uint64_t
patience_us(const struct flow *flow)
{
    return flow->load->settings->patience_ms * USEC_PER_MSEC;
}

void
flow_check_timeout(struct flow *flow, uint64_t now_us)
{
    const struct request *oldest = g_queue_peek_head(&flow->in_progress);

    if (!flow->open && !flow->closed_by_us &&
        now_us >= flow->open_us + OPEN_TIMEOUT_US) {
        give_up(flow, RESULT_BROKEN);
        return;
    }
    if (oldest == NULL || now_us < oldest->deadline_us + patience_us(flow))
        return;
    flow->timed_out = true;
    give_up(flow, RESULT_TIMEOUT);
}

void
flow_record(const struct flow *flow, enum flow_end end)
{
    struct flow_line line = {
        .flow = flow->number,
        .service = flow->load->settings->service,
        .src = flow->src,
        .via = flow->via,
        .open_us = flow->open_us,
        .end_us = now_of(flow),
        .end = end,
        .peer_closed = flow->peer_closed,
        .requests = flow->requests,
    };

    record_flow(&flow->load->caller->record, &line);
}

void
flow_on_open(struct flow *flow)
{
    flow->open = true;
    load_on_flow_open(flow->load);
}

void
flow_on_data(struct flow *flow, const uint8_t *data, size_t len)
{
    while (len > 0 && !flow->closed_by_us) {
        int used;

        if (flow->answer.request == NULL) {
            g_warning("Flow %" G_GINT64_FORMAT " got %zu bytes unasked.",
                      flow->number, len);
            give_up(flow, RESULT_BROKEN);
            return;
        }
        used = answer_read(&flow->answer, data, len);
        if (used < 0) {
            g_warning("Flow %" G_GINT64_FORMAT " got what isn't HTTP.",
                      flow->number);
            give_up(flow, RESULT_BROKEN);
            return;
        }
        data += used;
        len -= (size_t)used;
        if (flow->answer.complete)
            take_answer(flow);
    }
}

void
flow_on_writable(struct flow *flow)
{
    flush_out(flow);
}

void
flow_on_eof(struct flow *flow)
{
    if (!flow->closed_by_us)
        flow->peer_closed = true;
    end_flow(flow);
    /* An answer without a length ends with the stream. */
    if (flow->answer.request != NULL && flow->answer.begun &&
        answer_read(&flow->answer, NULL, 0) == 0 && flow->answer.complete)
        finish_oldest(flow);
    lose_requests(flow, RESULT_BROKEN);
    close_if_done(flow);
}

static enum flow_end
end_of(const struct flow *flow, int reason)
{
    if (flow->timed_out)
        return FLOW_TIMEOUT;
    if (!flow->open)
        return FLOW_OPEN_FAILED;
    /* Once we had closed, a slow end of the closing breaks nothing. */
    if (reason == 0 || (flow->closed_by_us && reason == -ETIMEDOUT))
        return FLOW_CLOSED;
    return reason == -ETIMEDOUT ? FLOW_TIMEOUT : FLOW_RESET;
}

void
flow_on_closed(struct flow *flow, int reason)
{
    end_flow(flow);
    lose_requests(flow, RESULT_BROKEN);
    load_on_flow_closed(flow->load, flow, end_of(flow, reason));
    flow_free(flow);
}
