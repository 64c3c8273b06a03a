#include "stack_loop.h"

#include <string.h>

#include "lib/harness.h"

uint8_t
loop_pattern(size_t at)
{
    return (uint8_t)(at * 131 + (at >> 8));
}

static void
end_send(struct end *end)
{
    uint8_t buf[4096];
    size_t n;

    while (end->sent < end->to_send) {
        n = MIN(sizeof(buf), end->to_send - end->sent);
        for (size_t i = 0; i < n; i++) {
            buf[i] = loop_pattern(end->sent + i);
        }
        n = stack_write(end->conn, buf, n);
        if (n == 0) {
            return;
        }
        end->sent += n;
    }
    if (end->closes || end->eof) {
        stack_close(end->conn);
    }
}

static void
on_output(struct stack_owner *owner, const uint8_t *buf, size_t len)
{
    struct loop *loop = (struct loop *)owner;

    g_mutex_lock(&loop->lock);
    if (g_rand_double(loop->rand) < loop->loss) {
        loop->dropped++;
    }
    else if (g_rand_double(loop->rand) < loop->reorder) {
        g_queue_push_head(&loop->packets, g_bytes_new(buf, len));
    }
    else {
        g_queue_push_tail(&loop->packets, g_bytes_new(buf, len));
    }
    g_mutex_unlock(&loop->lock);
}

static void
on_open(struct stack_owner *owner, struct stack_conn *conn)
{
    struct loop *loop = (struct loop *)owner;
    struct end *end = stack_conn_data(conn);

    if (end == NULL) {
        end = g_new0(struct end, 1);
        end->server = true;
        end->conn = conn;
        end->to_send = loop->server_sends;
        end->closes = loop->server_closes;
        end->next = loop->ends;
        loop->ends = end;
        loop->accepted++;
        stack_conn_set_data(conn, end);
        stack_conn_pause(conn, loop->pause_server);
    }
    g_assert_false(end->opened);
    end->opened = true;
    loop->opened++;
    g_assert_cmphex(stack_conn_local(conn).ip, ==,
                    end->server ? LOOP_SERVER_IP : LOOP_CLIENT_IP);
    end_send(end);
}

static void
on_data(struct stack_owner *owner, struct stack_conn *conn,
        const uint8_t *data, size_t len)
{
    struct end *end = stack_conn_data(conn);

    for (size_t i = 0; i < len; i++) {
        g_assert_cmpuint(data[i], ==, loop_pattern(end->received + i));
    }
    end->received += len;
}

static void
on_writable(struct stack_owner *owner, struct stack_conn *conn)
{
    end_send(stack_conn_data(conn));
}

static void
on_eof(struct stack_owner *owner, struct stack_conn *conn)
{
    struct end *end = stack_conn_data(conn);

    end->eof = true;
    if (end->sent == end->to_send && !end->lingers) {
        stack_close(conn);
    }
}

static void
on_closed(struct stack_owner *owner, struct stack_conn *conn, int reason)
{
    struct end *end = stack_conn_data(conn);

    g_assert_false(end->closed);
    end->closed = true;
    end->reason = reason;
    end->conn = NULL;
    ((struct loop *)owner)->closed++;
}

static const struct stack_ops ops = {.output = on_output,
                                     .on_open = on_open,
                                     .on_data = on_data,
                                     .on_writable = on_writable,
                                     .on_eof = on_eof,
                                     .on_closed = on_closed};

void
loop_init(struct loop *loop, uint32_t seed)
{
    memset(loop, 0, sizeof(*loop));
    loop->owner.ops = &ops;
    loop->rand = g_rand_new_with_seed(seed);
    g_mutex_init(&loop->lock);
    g_queue_init(&loop->packets);
    loop->stack = stack_new(&loop->owner);
    g_assert_nonnull(loop->stack);
    g_assert_cmpint(stack_add_address(loop->stack, LOOP_SERVER_IP), ==, 0);
    g_assert_cmpint(stack_add_address(loop->stack, LOOP_CLIENT_IP), ==, 0);
    g_assert_cmpint(
        stack_listen(loop->stack, (struct addr){LOOP_SERVER_IP, 80}), ==, 0);
    g_test_message("seed %u", seed);
}

void
loop_finish(struct loop *loop)
{
    struct end *end;

    stack_free(loop->stack);
    g_queue_clear_full(&loop->packets, (GDestroyNotify)g_bytes_unref);
    g_rand_free(loop->rand);
    g_mutex_clear(&loop->lock);
    while (loop->ends != NULL) {
        end = loop->ends;
        loop->ends = end->next;
        g_free(end);
    }
}

void
loop_step(struct loop *loop)
{
    GBytes *packet;
    const uint8_t *data;
    gsize len;

    g_mutex_lock(&loop->lock);
    packet = g_queue_pop_head(&loop->packets);
    g_mutex_unlock(&loop->lock);
    if (packet != NULL) {
        data = g_bytes_get_data(packet, &len);
        g_assert_cmpint(stack_input(loop->stack, data, len), ==, 0);
        g_bytes_unref(packet);
    }
    else {
        g_usleep(200);
    }
    stack_poll(loop->stack);
}

struct end *
loop_connect(struct loop *loop, uint16_t port, size_t to_send)
{
    struct end *end = g_new0(struct end, 1);
    struct addr local = {LOOP_CLIENT_IP, port};

    end->to_send = to_send;
    end->conn =
        stack_connect(loop->stack, local, (struct addr){LOOP_SERVER_IP, 80});
    g_assert_nonnull(end->conn);
    stack_conn_set_data(end->conn, end);
    return end;
}

void
loop_for(struct loop *loop, gint64 duration_us)
{
    gint64 deadline = g_get_monotonic_time() + duration_us;

    while (g_get_monotonic_time() < deadline) {
        loop_step(loop);
    }
}
