#include "agent/frontend.h"

#include <string.h>

#include "agent/answer.h"
#include "agent/frontend_private.h"

#define STATUS_UNAVAILABLE 503
#define CONNECTION_CLOSE "Connection: close\r\n"

size_t
frontend_conn_backlog(const struct frontend_conn *fc)
{
    return fc->output == NULL ? 0 : fc->output->len - fc->output_pos;
}

void
frontend_conn_discard_output(struct frontend_conn *fc)
{
    if (fc->output != NULL) {
        fc->frontend->backlog -= frontend_conn_backlog(fc);
        g_byte_array_unref(fc->output);
        fc->output = NULL;
        fc->output_pos = 0;
    }
}

/* Writes pending output to the stack; closes the flow after the last byte when
 * close_after is set. */
static void
flush_output(struct frontend_conn *fc, uint64_t now_us)
{
    while (frontend_conn_backlog(fc) > 0) {
        size_t taken = stack_write(fc->conn, fc->output->data + fc->output_pos,
                                   frontend_conn_backlog(fc));
        if (taken == 0) {
            if (fc->stalled_us == 0) {
                fc->stalled_us = now_us;
            }
            return;
        }
        fc->output_pos += taken;
        fc->frontend->backlog -= taken;
        fc->last_io_us = now_us;
        fc->stalled_us = 0;
    }
    frontend_conn_discard_output(fc);
    if (fc->close_after) {
        stack_close(fc->conn);
    }
}

static void
append_output(struct frontend_conn *fc, const uint8_t *data, size_t len)
{
    if (fc->output == NULL) {
        fc->output = g_byte_array_sized_new((guint)len);
    }
    g_byte_array_append(fc->output, data, (guint)len);
    fc->frontend->backlog += len;
}

static void
append_answer(struct frontend_conn *fc, const GByteArray *answer, bool last)
{
    char lines[FRONTEND_VIA_MAX + sizeof(CONNECTION_CLOSE)];

    g_snprintf(lines, sizeof(lines), "%s%s", fc->frontend->via,
               last ? CONNECTION_CLOSE : "");
    GByteArray *message = answer_with_field(answer->data, answer->len, lines);
    append_output(fc, message->data, message->len);
    g_byte_array_unref(message);
}

void
frontend_conn_stop_reading(struct frontend_conn *fc)
{
    fc->ended = true;
    fc->frontend->partial_bytes -= fc->partial_bytes;
    fc->partial_bytes = 0;
    reader_finish(&fc->reader);
    if (fc->input != NULL) {
        g_byte_array_unref(fc->input);
        fc->input = NULL;
    }
}

/* Sends answers in request order, up to the first one still missing. */
static void
send_answers(struct frontend_conn *fc, uint64_t now_us)
{
    struct frontend *frontend = fc->frontend;

    while (!g_queue_is_empty(&fc->slots)) {
        struct frontend_slot *slot = g_queue_peek_head(&fc->slots);
        if (slot->answer == NULL) {
            break;
        }
        g_queue_pop_head(&fc->slots);
        /* A stopping agent closes the flow with its last pending answer. */
        bool last =
            slot->last || (frontend->stopping && g_queue_is_empty(&fc->slots));
        append_answer(fc, slot->answer, last);
        g_byte_array_unref(slot->answer);
        g_free(slot);
        if (last) {
            frontend_conn_stop_reading(fc);
            fc->close_after = true;
            break;
        }
    }
    flush_output(fc, now_us);
}

static bool
must_pause(const struct frontend_conn *fc)
{
    return fc->slots.length >= FRONTEND_PIPELINE_MAX ||
           frontend_conn_backlog(fc) > FRONTEND_BACKLOG_MAX;
}

static void
set_paused(struct frontend_conn *fc, bool paused)
{
    if (fc->paused != paused) {
        fc->paused = paused;
        stack_conn_pause(fc->conn, paused);
    }
}

void
frontend_conn_reject(struct frontend_conn *fc, unsigned status,
                     uint64_t now_us)
{
    struct frontend_slot *slot = g_new0(struct frontend_slot, 1);

    fc->frontend->stats.bad_requests++;
    slot->conn = fc;
    slot->last = true;
    slot->answer = answer_error(status);
    g_queue_push_tail(&fc->slots, slot);
    frontend_conn_stop_reading(fc);
    send_answers(fc, now_us);
}

static void
on_request(struct reader_owner *owner, struct reader_request *request)
{
    struct frontend_conn *fc = (struct frontend_conn *)owner;
    struct frontend *frontend = fc->frontend;
    struct frontend_slot *slot = g_new0(struct frontend_slot, 1);

    slot->conn = fc;
    slot->last = !request->keep_alive;
    g_queue_push_tail(&fc->slots, slot);
    fc->request_start_us = 0;
    if (slot->last) {
        fc->ended = true;
    }
    frontend->owner->ops->on_request(frontend->owner, slot, request,
                                     stack_conn_peer(fc->conn),
                                     stack_conn_local(fc->conn));
    /* The owner may have answered in the callback and so ended the flow. */
    if (fc->ended || must_pause(fc)) {
        reader_pause(&fc->reader);
    }
}

static void
on_continue(struct reader_owner *owner)
{
    static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
    struct frontend_conn *fc = (struct frontend_conn *)owner;

    /* While an earlier answer is pending, 100 Continue would be out of order;
     * the caller then sends the body after its own timeout. */
    if (g_queue_is_empty(&fc->slots)) {
        append_output(fc, (const uint8_t *)interim, sizeof(interim) - 1);
        flush_output(fc, fc->now_us);
    }
}

static const struct reader_ops reader_ops = {
    .on_request = on_request,
    .on_continue = on_continue,
};

/* Updates the count of partially read bytes of this flow and of all flows. */
static void
count_partial_bytes(struct frontend_conn *fc)
{
    size_t partial_bytes = fc->reader.fields.bytes;

    if (fc->reader.body != NULL) {
        partial_bytes += fc->reader.body->len;
    }
    fc->frontend->partial_bytes += partial_bytes - fc->partial_bytes;
    fc->partial_bytes = partial_bytes;
}

/* Feeds @data to the reader; stores the bytes it does not take in fc->input.
 */
static void
read_bytes(struct frontend_conn *fc, const uint8_t *data, size_t len,
           uint64_t now_us)
{
    size_t taken = reader_feed(&fc->reader, (const char *)data, len);

    count_partial_bytes(fc);
    if (fc->reader.in_message && fc->request_start_us == 0) {
        fc->request_start_us = now_us;
    }
    if (fc->ended) {
        return;
    }
    if (fc->frontend->partial_bytes > fc->frontend->partial_bytes_max &&
        fc->partial_bytes > 0) {
        frontend_conn_reject(fc, STATUS_UNAVAILABLE, now_us);
        return;
    }
    if (fc->reader.status != 0) {
        frontend_conn_reject(fc, fc->reader.status, now_us);
        return;
    }
    if (taken < len) {
        fc->input = g_byte_array_new();
        g_byte_array_append(fc->input, data + taken, (guint)(len - taken));
    }
}

/* Reads stored input until a pipelining or backlog limit pauses the flow. */
static void
read_pending(struct frontend_conn *fc, uint64_t now_us)
{
    while (fc->input != NULL && !fc->ended && !must_pause(fc)) {
        GByteArray *input = fc->input;
        fc->input = NULL;
        read_bytes(fc, input->data, input->len, now_us);
        g_byte_array_unref(input);
    }
    set_paused(fc, !fc->ended && must_pause(fc));
}

static void
conn_free(struct frontend_conn *fc)
{
    struct frontend_slot *slot;

    while ((slot = g_queue_pop_head(&fc->slots)) != NULL) {
        if (slot->answer != NULL) {
            g_byte_array_unref(slot->answer);
        }
        g_free(slot);
    }
    frontend_conn_stop_reading(fc);
    frontend_conn_discard_output(fc);
    g_queue_unlink(&fc->frontend->conns, &fc->link);
    g_free(fc);
}

void
frontend_init(struct frontend *frontend, struct frontend_owner *owner,
              const char *name)
{
    *frontend = (struct frontend){
        .owner = owner, .partial_bytes_max = FRONTEND_PARTIAL_BYTES_MAX};
    g_snprintf(frontend->via, sizeof(frontend->via), "Via: 1.1 %s\r\n", name);
    g_queue_init(&frontend->conns);
    frontend->callers = g_hash_table_new(g_direct_hash, g_direct_equal);
}

void
frontend_finish(struct frontend *frontend)
{
    struct frontend_conn *fc;

    while ((fc = g_queue_peek_head(&frontend->conns)) != NULL) {
        conn_free(fc);
    }
    g_hash_table_unref(frontend->callers);
}

void
frontend_open(struct frontend *frontend, struct stack_conn *conn,
              uint64_t now_us)
{
    struct addr caller = stack_conn_peer(conn);

    frontend->owner->ops->on_flow(frontend->owner, caller,
                                  stack_conn_local(conn), true);
    if (!frontend_can_open(frontend, caller.ip)) {
        frontend->stats.refused++;
        stack_abort(conn);
        return;
    }
    struct frontend_conn *fc = g_new0(struct frontend_conn, 1);
    fc->reader_owner.ops = &reader_ops;
    fc->frontend = frontend;
    fc->conn = conn;
    fc->last_io_us = now_us;
    fc->link.data = fc;
    g_queue_init(&fc->slots);
    reader_init(&fc->reader, &fc->reader_owner, frontend->limits.body_max);
    g_queue_push_tail_link(&frontend->conns, &fc->link);
    stack_conn_set_data(conn, fc);
    frontend_count_caller(frontend, caller.ip, 1);
    frontend->stats.opened++;
}

void
frontend_data(struct frontend *frontend, struct stack_conn *conn,
              const uint8_t *data, size_t len, uint64_t now_us)
{
    struct frontend_conn *fc = stack_conn_data(conn);

    if (fc == NULL || fc->ended) {
        return;
    }
    fc->last_io_us = now_us;
    fc->now_us = now_us;
    if (fc->input == NULL && must_pause(fc)) {
        fc->input = g_byte_array_new();
    }
    if (fc->input != NULL) {
        g_byte_array_append(fc->input, data, (guint)len);
    }
    else {
        read_bytes(fc, data, len, now_us);
    }
    read_pending(fc, now_us);
}

void
frontend_writable(struct frontend *frontend, struct stack_conn *conn,
                  uint64_t now_us)
{
    struct frontend_conn *fc = stack_conn_data(conn);

    if (fc != NULL) {
        fc->now_us = now_us;
        flush_output(fc, now_us);
        read_pending(fc, now_us);
    }
}

void
frontend_eof(struct frontend *frontend, struct stack_conn *conn)
{
    struct frontend_conn *fc = stack_conn_data(conn);

    if (fc == NULL) {
        stack_close(conn);
        return;
    }
    frontend_conn_stop_reading(fc);
    if (g_queue_is_empty(&fc->slots)) {
        fc->close_after = true;
        flush_output(fc, fc->last_io_us);
        return;
    }
    struct frontend_slot *slot = g_queue_peek_tail(&fc->slots);
    slot->last = true; /* half-closed: pending answers are still sent */
}

void
frontend_closed(struct frontend *frontend, struct stack_conn *conn)
{
    struct frontend_conn *fc = stack_conn_data(conn);
    struct addr caller = stack_conn_peer(conn);

    if (fc != NULL) {
        frontend_count_caller(frontend, caller.ip, -1);
        for (GList *l = fc->slots.head; l != NULL; l = l->next) {
            struct frontend_slot *slot = l->data;
            if (slot->answer == NULL) {
                frontend->owner->ops->on_gone(frontend->owner, slot);
            }
        }
        conn_free(fc);
        stack_conn_set_data(conn, NULL);
    }
    frontend->owner->ops->on_flow(frontend->owner, caller,
                                  stack_conn_local(conn), false);
}

void
frontend_answer(struct frontend *frontend, struct frontend_slot *slot,
                GByteArray *answer, uint64_t now_us)
{
    struct frontend_conn *fc = slot->conn;

    slot->answer = answer;
    send_answers(fc, now_us);
    /* During on_request() fc->input is NULL: read_bytes() is still running. */
    if (fc->input != NULL) {
        read_pending(fc, now_us);
    }
    else {
        set_paused(fc, !fc->ended && must_pause(fc));
    }
}

size_t
frontend_count(const struct frontend *frontend)
{
    return frontend->conns.length;
}
