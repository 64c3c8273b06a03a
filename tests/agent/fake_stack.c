#include "tests/agent/fake_stack.h"

void
fake_conn_init(struct stack_conn *conn, uint32_t ip)
{
    *conn = (struct stack_conn){.peer = {ip, 4000},
                                .written = g_string_new(NULL),
                                .writable = SIZE_MAX};
}

void
fake_conn_finish(struct stack_conn *conn)
{
    g_string_free(conn->written, TRUE);
}

size_t
stack_write(struct stack_conn *conn, const uint8_t *data, size_t len)
{
    size_t taken = MIN(len, conn->writable);

    g_assert_false(conn->closed);
    g_string_append_len(conn->written, (const char *)data, (gssize)taken);
    conn->writable -= taken;
    return taken;
}

void
stack_close(struct stack_conn *conn)
{
    conn->closed = true;
}

void
stack_abort(struct stack_conn *conn)
{
    conn->aborted = true;
}

struct addr
stack_conn_peer(const struct stack_conn *conn)
{
    return conn->peer;
}

struct addr
stack_conn_local(const struct stack_conn *conn)
{
    return (struct addr){0x0a000001, 80};
}

void
stack_conn_set_data(struct stack_conn *conn, void *data)
{
    conn->data = data;
}

void *
stack_conn_data(const struct stack_conn *conn)
{
    return conn->data;
}

void
stack_conn_pause(struct stack_conn *conn, bool paused)
{
    conn->paused = paused;
}
