#include "agent/front.h"

#include <string.h>

#include "agent/answer.h"
#include "agent/front_private.h"

#define STATUS_UNAVAILABLE 503
#define CONNECTION_CLOSE "Connection: close\r\n"

size_t
front_conn_backlog(const struct front_conn *fc)
{
    return fc->out == NULL ? 0 : fc->out->len - fc->out_pos;
}

void
front_conn_drop_out(struct front_conn *fc)
{
    if (fc->out != NULL) {
        fc->front->backlog -= front_conn_backlog(fc);
        g_byte_array_unref(fc->out);
        fc->out = NULL;
        fc->out_pos = 0;
    }
}

/* Hands the stack what it takes, and closes once all is taken. */
static void
flush(struct front_conn *fc, uint64_t now_us)
{
    while (front_conn_backlog(fc) > 0) {
        size_t taken = stack_write(fc->conn, fc->out->data + fc->out_pos,
                                   front_conn_backlog(fc));
        if (taken == 0) {
            if (fc->stalled_us == 0) {
                fc->stalled_us = now_us;
            }
            return;
        }
        fc->out_pos += taken;
        fc->front->backlog -= taken;
        fc->bytes_us = now_us;
        fc->stalled_us = 0;
    }
    front_conn_drop_out(fc);
    if (fc->close_after) {
        stack_close(fc->conn);
    }
}

static void
append_out(struct front_conn *fc, const uint8_t *data, size_t len)
{
    if (fc->out == NULL) {
        fc->out = g_byte_array_sized_new((guint)len);
    }
    g_byte_array_append(fc->out, data, (guint)len);
    fc->front->backlog += len;
}

static void
append_answer(struct front_conn *fc, const GByteArray *answer, bool last)
{
    char lines[FRONT_VIA_MAX + sizeof(CONNECTION_CLOSE)];

    g_snprintf(lines, sizeof(lines), "%s%s", fc->front->via,
               last ? CONNECTION_CLOSE : "");
    GByteArray *whole = answer_with_field(answer->data, answer->len, lines);
    append_out(fc, whole->data, whole->len);
    g_byte_array_unref(whole);
}

void
front_conn_end_reading(struct front_conn *fc)
{
    fc->ended = true;
    fc->front->held -= fc->held;
    fc->held = 0;
    reader_finish(&fc->reader);
    if (fc->in != NULL) {
        g_byte_array_unref(fc->in);
        fc->in = NULL;
    }
}

/* Sends the answers that have come up to the first that has not. */
static void
send_answers(struct front_conn *fc, uint64_t now_us)
{
    struct front *front = fc->front;

    while (!g_queue_is_empty(&fc->slots)) {
        struct front_slot *slot = g_queue_peek_head(&fc->slots);
        if (slot->answer == NULL) {
            break;
        }
        g_queue_pop_head(&fc->slots);
        /* A stopping agent says so on the last answer it owes. */
        bool last =
            slot->last || (front->stopping && g_queue_is_empty(&fc->slots));
        append_answer(fc, slot->answer, last);
        g_byte_array_unref(slot->answer);
        g_free(slot);
        if (last) {
            front_conn_end_reading(fc);
            fc->close_after = true;
            break;
        }
    }
    flush(fc, now_us);
}

static bool
must_pause(const struct front_conn *fc)
{
    return fc->slots.length >= FRONT_PIPELINE_MAX ||
           front_conn_backlog(fc) > FRONT_BACKLOG_MAX;
}

static void
set_paused(struct front_conn *fc, bool paused)
{
    if (fc->paused != paused) {
        fc->paused = paused;
        stack_conn_pause(fc->conn, paused);
    }
}

/* An unreadable request gets its answer after those before it. */
void
front_conn_answer_bad(struct front_conn *fc, unsigned status, uint64_t now_us)
{
    struct front_slot *slot = g_new0(struct front_slot, 1);

    fc->front->stats.bad_requests++;
    slot->conn = fc;
    slot->last = true;
    slot->answer = answer_error(status);
    g_queue_push_tail(&fc->slots, slot);
    front_conn_end_reading(fc);
    send_answers(fc, now_us);
}

static void
on_request(struct reader_owner *owner, struct reader_request *request)
{
    struct front_conn *fc = (struct front_conn *)owner;
    struct front *front = fc->front;
    struct front_slot *slot = g_new0(struct front_slot, 1);

    slot->conn = fc;
    slot->last = !request->keep_alive;
    g_queue_push_tail(&fc->slots, slot);
    fc->request_us = 0;
    if (slot->last) {
        fc->ended = true;
    }
    front->owner->ops->on_request(front->owner, slot, request,
                                  stack_conn_peer(fc->conn),
                                  stack_conn_local(fc->conn));
    /* The owner may have answered at once, and closed the flow with it. */
    if (fc->ended || must_pause(fc)) {
        reader_pause(&fc->reader);
    }
}

static void
on_continue(struct reader_owner *owner)
{
    static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
    struct front_conn *fc = (struct front_conn *)owner;

    /* Behind an open answer it would be out of order; the caller's own
     * timeout then lets the body come. */
    if (g_queue_is_empty(&fc->slots)) {
        append_out(fc, (const uint8_t *)interim, sizeof(interim) - 1);
        flush(fc, fc->now_us);
    }
}

static const struct reader_ops reader_ops = {
    .on_request = on_request,
    .on_continue = on_continue,
};

/* Keeps count of what half-read requests hold, over all flows. */
static void
count_held(struct front_conn *fc)
{
    size_t held = fc->reader.fields.bytes;

    if (fc->reader.body != NULL) {
        held += fc->reader.body->len;
    }
    fc->front->held += held - fc->held;
    fc->held = held;
}

/* Reads @data; what the reader does not take yet is kept in fc->in. */
static void
read_bytes(struct front_conn *fc, const uint8_t *data, size_t len,
           uint64_t now_us)
{
    size_t taken = reader_feed(&fc->reader, (const char *)data, len);

    count_held(fc);
    if (fc->reader.in_message && fc->request_us == 0) {
        fc->request_us = now_us;
    }
    if (fc->ended) {
        return;
    }
    if (fc->front->held > fc->front->held_max && fc->held > 0) {
        front_conn_answer_bad(fc, STATUS_UNAVAILABLE, now_us);
        return;
    }
    if (fc->reader.status != 0) {
        front_conn_answer_bad(fc, fc->reader.status, now_us);
        return;
    }
    if (taken < len) {
        fc->in = g_byte_array_new();
        g_byte_array_append(fc->in, data + taken, (guint)(len - taken));
    }
}

/* Goes on with kept bytes as far as the bounds allow. */
static void
read_kept(struct front_conn *fc, uint64_t now_us)
{
    while (fc->in != NULL && !fc->ended && !must_pause(fc)) {
        GByteArray *in = fc->in;
        fc->in = NULL;
        read_bytes(fc, in->data, in->len, now_us);
        g_byte_array_unref(in);
    }
    set_paused(fc, !fc->ended && must_pause(fc));
}

static void
conn_free(struct front_conn *fc)
{
    struct front_slot *slot;

    while ((slot = g_queue_pop_head(&fc->slots)) != NULL) {
        if (slot->answer != NULL) {
            g_byte_array_unref(slot->answer);
        }
        g_free(slot);
    }
    front_conn_end_reading(fc);
    front_conn_drop_out(fc);
    g_queue_unlink(&fc->front->conns, &fc->link);
    g_free(fc);
}

void
front_init(struct front *front, struct front_owner *owner, const char *name)
{
    *front = (struct front){.owner = owner, .held_max = FRONT_HELD_ALL_MAX};
    g_snprintf(front->via, sizeof(front->via), "Via: 1.1 %s\r\n", name);
    g_queue_init(&front->conns);
    front->callers = g_hash_table_new(g_direct_hash, g_direct_equal);
}

void
front_finish(struct front *front)
{
    struct front_conn *fc;

    while ((fc = g_queue_peek_head(&front->conns)) != NULL) {
        conn_free(fc);
    }
    g_hash_table_unref(front->callers);
}

void
front_open(struct front *front, struct stack_conn *conn, uint64_t now_us)
{
    struct addr caller = stack_conn_peer(conn);

    front->owner->ops->on_flow(front->owner, caller, stack_conn_local(conn),
                               true);
    if (!front_may_open(front, caller.ip)) {
        front->stats.refused++;
        stack_abort(conn);
        return;
    }
    struct front_conn *fc = g_new0(struct front_conn, 1);
    fc->reader_owner.ops = &reader_ops;
    fc->front = front;
    fc->conn = conn;
    fc->bytes_us = now_us;
    fc->link.data = fc;
    g_queue_init(&fc->slots);
    reader_init(&fc->reader, &fc->reader_owner, front->limits.body_max);
    g_queue_push_tail_link(&front->conns, &fc->link);
    stack_conn_set_data(conn, fc);
    front_count_caller(front, caller.ip, 1);
    front->stats.opened++;
}

void
front_data(struct front *front, struct stack_conn *conn, const uint8_t *data,
           size_t len, uint64_t now_us)
{
    struct front_conn *fc = stack_conn_data(conn);

    if (fc == NULL || fc->ended) {
        return;
    }
    fc->bytes_us = now_us;
    fc->now_us = now_us;
    if (fc->in == NULL && must_pause(fc)) {
        fc->in = g_byte_array_new();
    }
    if (fc->in != NULL) {
        g_byte_array_append(fc->in, data, (guint)len);
    }
    else {
        read_bytes(fc, data, len, now_us);
    }
    read_kept(fc, now_us);
}

void
front_writable(struct front *front, struct stack_conn *conn, uint64_t now_us)
{
    struct front_conn *fc = stack_conn_data(conn);

    if (fc != NULL) {
        fc->now_us = now_us;
        flush(fc, now_us);
        read_kept(fc, now_us);
    }
}

void
front_eof(struct front *front, struct stack_conn *conn)
{
    struct front_conn *fc = stack_conn_data(conn);

    if (fc == NULL) {
        stack_close(conn);
        return;
    }
    front_conn_end_reading(fc);
    if (g_queue_is_empty(&fc->slots)) {
        fc->close_after = true;
        flush(fc, fc->bytes_us);
        return;
    }
    struct front_slot *slot = g_queue_peek_tail(&fc->slots);
    slot->last = true; /* half-closed: what it asked for is still owed */
}

void
front_closed(struct front *front, struct stack_conn *conn)
{
    struct front_conn *fc = stack_conn_data(conn);
    struct addr caller = stack_conn_peer(conn);

    if (fc != NULL) {
        front_count_caller(front, caller.ip, -1);
        for (GList *l = fc->slots.head; l != NULL; l = l->next) {
            struct front_slot *slot = l->data;
            if (slot->answer == NULL) {
                front->owner->ops->on_gone(front->owner, slot);
            }
        }
        conn_free(fc);
        stack_conn_set_data(conn, NULL);
    }
    front->owner->ops->on_flow(front->owner, caller, stack_conn_local(conn),
                               false);
}

void
front_answer(struct front *front, struct front_slot *slot, GByteArray *answer,
             uint64_t now_us)
{
    struct front_conn *fc = slot->conn;

    slot->answer = answer;
    send_answers(fc, now_us);
    /* Within on_request() the reader is in the middle of its bytes. */
    if (fc->in != NULL) {
        read_kept(fc, now_us);
    }
    else {
        set_paused(fc, !fc->ended && must_pause(fc));
    }
}

size_t
front_count(const struct front *front)
{
    return front->conns.length;
}
