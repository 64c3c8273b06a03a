#include <errno.h>
#include <lwip/tcpip.h>
#include <string.h>

#include "lib/harness.h"
#include "stack/stack_private.h"
#include "stack_loop.h"

#define SUITE "/stack"
#define TRANSFER_SIZE 200000

/* All bytes arrive in both directions despite lost and reordered packets. */
TEST_F(loop, loss_and_reordering, 4711)
{
    struct end *clients[20];
    struct end *server;

    loop->loss = 0.01;
    loop->reorder = 0.02;
    loop->server_sends = TRANSFER_SIZE;
    loop->server_closes = true;
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        clients[i] = loop_connect(loop, 0, TRANSFER_SIZE / 2);
    }
    LOOP_UNTIL(loop, loop->closed == 2 * G_N_ELEMENTS(clients));
    g_assert_cmpuint(loop->dropped, >, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        g_assert_cmpint(clients[i]->reason, ==, 0);
        g_assert_cmpuint(clients[i]->received, ==, TRANSFER_SIZE);
        g_free(clients[i]);
    }
    for (server = loop->ends; server != NULL; server = server->next) {
        g_assert_cmpint(server->reason, ==, 0);
    }
    g_test_message("%zu packets lost", loop->dropped);
}

/* An abort is reported to both ends, with the reason. */
TEST_F(loop, abort, 1)
{
    g_autofree struct end *client = NULL;

    client = loop_connect(loop, 40000, 0);
    LOOP_UNTIL(loop, loop->accepted == 1 && client->opened);
    stack_abort(loop->ends->conn);
    LOOP_UNTIL(loop, loop->closed == 2);
    g_assert_cmpint(loop->ends->reason, ==, -ECONNABORTED);
    g_assert_cmpint(client->reason, ==, -ECONNRESET);
    /* The second call finds no listener. */
    g_assert_cmpint(
        stack_unlisten(loop->stack, (struct addr){LOOP_SERVER_IP, 80}), ==, 0);
    g_assert_cmpint(
        stack_unlisten(loop->stack, (struct addr){LOOP_SERVER_IP, 80}), ==,
        -ENOENT);
}

/* A connection whose caller sends FIN first closes without an error. */
TEST_F(loop, half_close, 2)
{
    g_autofree struct end *client = NULL;

    loop->server_sends = 0;
    client = loop_connect(loop, 40000, 1000);
    client->closes = true;
    LOOP_UNTIL(loop, loop->accepted == 1 && loop->ends->closed);
    LOOP_UNTIL(loop, client->closed);
    g_assert_true(loop->ends->eof);
    g_assert_cmpuint(loop->ends->received, ==, 1000);
    g_assert_cmpint(loop->ends->reason, ==, 0);
    g_assert_cmpint(client->reason, ==, 0);
}

/* A closed connection isn't aborted while its peer still reads slowly. */
TEST_F(loop, slow_reader, 10)
{
    g_autofree struct end *client = NULL;
    struct end *server;

    loop->server_sends = 100000;
    loop->server_closes = true;
    client = loop_connect(loop, 40000, 0);
    client->lingers = true;
    stack_conn_pause(client->conn, true);
    LOOP_UNTIL(loop, loop->ends != NULL && loop->ends->sent == 100000);
    server = loop->ends;
    g_assert_true(server->conn->closing);
    LOCK_TCPIP_CORE();
    server->conn->close_ticks -= 100000; /* hours ago */
    UNLOCK_TCPIP_CORE();
    loop_for(loop, G_USEC_PER_SEC);
    g_assert_false(server->closed);
    stack_conn_pause(client->conn, false);
    LOOP_UNTIL(loop, client->eof || client->closed);
    loop_for(loop, G_USEC_PER_SEC);
    g_assert_false(client->closed);
    g_assert_cmpuint(client->received, ==, 100000);
    stack_close(client->conn);
    LOOP_UNTIL(loop, client->closed && server->closed);
    g_assert_cmpint(client->reason, ==, 0);
    g_assert_cmpint(server->reason, ==, 0);
}

/* A caller can reuse its port at once while the server is in TIME-WAIT. */
TEST_F(loop, port_reuse, 3)
{
    struct end *client;

    loop->server_sends = 100;
    loop->server_closes = true;
    for (int i = 0; i < 5; i++) {
        client = loop_connect(loop, 40000, 0);
        LOOP_UNTIL(loop,
                   client->closed && loop->ends != NULL && loop->ends->closed);
        g_assert_cmpint(client->reason, ==, 0);
        g_assert_cmpuint(client->received, ==, 100);
        g_free(client);
    }
    g_assert_cmpuint(loop->accepted, ==, 5);
}

/* A paused reader stops the writer after about one receive window. */
TEST_F(loop, pause, 5)
{
    g_autofree struct end *client = NULL;
    size_t sent_while_paused;

    loop->pause_server = true;
    client = loop_connect(loop, 40000, 10 * TRANSFER_SIZE);
    LOOP_UNTIL(loop, client->sent > 65535);
    for (int i = 0; i < 500; i++) {
        loop_step(loop);
    }
    sent_while_paused = client->sent;
    g_assert_cmpuint(sent_while_paused, <=, 2 * 65535);
    g_assert_cmpuint(loop->ends->received, ==, 0);
    stack_conn_pause(loop->ends->conn, false);
    LOOP_UNTIL(loop, loop->ends->received == 10 * TRANSFER_SIZE);
}

/* Open flows continue after stack_unlisten(); stack_listen() accepts new ones
 * again. */
TEST_F(loop, unlisten, 6)
{
    g_autofree struct end *client = NULL;
    g_autofree struct end *second = NULL;
    struct addr addr = {LOOP_SERVER_IP, 80};
    uint8_t byte = loop_pattern(0);

    g_assert_cmpint(stack_listen(loop->stack, addr), ==, -EADDRINUSE);
    client = loop_connect(loop, 40000, 0);
    LOOP_UNTIL(loop, loop->accepted == 1);
    g_assert_cmpint(stack_unlisten(loop->stack, addr), ==, 0);
    g_assert_cmpuint(stack_write(client->conn, &byte, 1), ==, 1);
    LOOP_UNTIL(loop, loop->ends->received == 1);
    g_assert_cmpint(stack_listen(loop->stack, addr), ==, 0);
    second = loop_connect(loop, 40001, 0);
    LOOP_UNTIL(loop, second->opened);
}

/* Invalid packets are rejected with the matching error. */
TEST_F(loop, bad_input, 7)
{
    uint8_t buf[60] = {0x45, 0, 0, 40, 0,  0, 0, 0, 64, 6, 0, 0,
                       10,   9, 0, 1,  10, 0, 0, 2, 0,  1, 0, 80};

    g_assert_cmpint(stack_input(loop->stack, buf, 39), ==, -EINVAL);
    g_assert_cmpint(stack_input(loop->stack, buf, 40), ==, -EADDRNOTAVAIL);
    buf[9] = 17;
    g_assert_cmpint(stack_input(loop->stack, buf, 40), ==, -EPROTONOSUPPORT);
    buf[9] = 6;
    buf[6] = 0x20;
    g_assert_cmpint(stack_input(loop->stack, buf, 40), ==, -EPROTONOSUPPORT);
    buf[0] = 0x4f;
    g_assert_cmpint(stack_input(loop->stack, buf, 40), ==, -EINVAL);
    g_assert_cmpint(stack_input(loop->stack, buf, 0), ==, -EINVAL);
    g_assert_null(stack_new(&loop->owner)); /* one per process */
}
