/* Messages between agents survive encoding; invalid messages and announcements
 * are refused. */
#include <errno.h>
#include <string.h>

#include "agent/peer_wire.h"
#include "agent/upstream.h"
#include "lib/harness.h"

#define SUITE "/agent"

/* Monotonic clocks of the two agents. */
#define SENDER_US 5000000
#define RECEIVER_US 900000000

static struct engine_peer_msg
run_message(void)
{
    return (struct engine_peer_msg){
        .type = ENGINE_PEER_RUN,
        .origin = 0x1122334455667788,
        .request = {.id = 0xfedcba9876543210,
                    .service = 77,
                    .caller = 0x0a000001,
                    .class = SERVICE_CONFIG_ORDINARY,
                    .idempotent = true,
                    .keyed = true,
                    .key = {77, {1, 2}, 3},
                    .deadline_us = SENDER_US + 123456},
        .load = 400,
    };
}

/* Decodes @packed by the receiver's clock, and frees it; @wire is freed with
 * peer_wire_finish(). */
static void
unpack_and_free(GByteArray *packed, struct peer_wire *wire)
{
    g_assert_cmpint(
        peer_wire_unpack(packed->data, packed->len, RECEIVER_US, wire), ==, 0);
    g_byte_array_unref(packed);
}

TEST(run)
{
    struct engine_peer_msg msg = run_message();
    g_autoptr(GByteArray) http = g_byte_array_new();
    struct peer_wire wire;

    g_byte_array_append(http, (const guint8 *)"GET", 3);
    unpack_and_free(peer_wire_pack(&msg, http, "trace", SENDER_US), &wire);
    g_assert_cmpuint(wire.msg.origin, ==, msg.origin);
    g_assert_cmpuint(wire.msg.request.id, ==, msg.request.id);
    g_assert_cmpuint(wire.msg.request.service, ==, 77);
    g_assert_cmpint(wire.msg.request.class, ==, SERVICE_CONFIG_ORDINARY);
    g_assert_true(wire.msg.request.idempotent);
    g_assert_true(wire.msg.request.keyed);
    g_assert_cmpmem(&wire.msg.request.key, sizeof(struct idem_key),
                    &msg.request.key, sizeof(struct idem_key));
    g_assert_cmpuint(wire.msg.request.deadline_us, ==, RECEIVER_US + 123456);
    g_assert_cmpuint(wire.msg.load, ==, 400);
    g_assert_cmpmem(wire.bytes, wire.len, "GET", 3);
    g_assert_cmpstr(wire.traceparent, ==, "trace");
    peer_wire_finish(&wire);
}

TEST(idem)
{
    struct engine_peer_msg msg = {
        .type = ENGINE_PEER_IDEM,
        .idem = {.type = IDEM_MSG_EXISTS,
                 .key = {1, {2, 3}, 4},
                 .owner = 5,
                 .token = 6,
                 .state = IDEM_DONE,
                 .answer = (const uint8_t *)"whole",
                 .answer_len = 5},
    };
    struct peer_wire wire;

    unpack_and_free(peer_wire_pack(&msg, NULL, NULL, SENDER_US), &wire);
    g_assert_cmpint(wire.msg.idem.type, ==, IDEM_MSG_EXISTS);
    g_assert_cmpint(wire.msg.idem.state, ==, IDEM_DONE);
    g_assert_cmpuint(wire.msg.idem.token, ==, 6);
    g_assert_cmpmem(wire.msg.idem.answer, wire.msg.idem.answer_len, "whole",
                    5);
    peer_wire_finish(&wire);
}

TEST(pins)
{
    const struct flow_pin pins[] = {{1, 10}, {4095, 20}};
    struct flow_pin pin;
    struct peer_wire wire;

    unpack_and_free(peer_wire_pack_pins(pins, 2), &wire);
    g_assert_true(wire.pins);
    g_assert_true(peer_wire_pin(&wire, 1, &pin));
    g_assert_cmpuint(pin.bucket, ==, 4095);
    g_assert_cmpuint(pin.owner, ==, 20);
    g_assert_false(peer_wire_pin(&wire, 2, &pin));
    peer_wire_finish(&wire);
}

/* A mutated message is refused, or decoded with all enums in their range. */
TEST(mutations)
{
    struct engine_peer_msg msg = run_message();
    g_autoptr(GByteArray) packed = peer_wire_pack(&msg, NULL, "t", SENDER_US);
    g_autoptr(GRand) random = g_rand_new_with_seed(11);
    unsigned refused = 0;

    for (int i = 0; i < 20000; i++) {
        g_autoptr(GByteArray) copy = g_byte_array_new();
        struct peer_wire wire;
        g_byte_array_append(copy, packed->data, packed->len);
        copy->data[g_rand_int_range(random, 0, (gint)copy->len)] =
            (guint8)g_rand_int_range(random, 0, 256);
        size_t len = (size_t)g_rand_int_range(random, 0, (gint)copy->len + 1);
        if (peer_wire_unpack(copy->data, len, RECEIVER_US, &wire) < 0) {
            refused++;
        }
        else {
            g_assert_cmpint(wire.msg.type, <=, ENGINE_PEER_PROBE);
            g_assert_cmpint(wire.msg.outcome, <=, ENGINE_KEY_MISMATCH);
            g_assert_cmpint(wire.msg.reason, <, ENGINE_REASONS);
            peer_wire_finish(&wire);
        }
    }
    g_assert_cmpuint(refused, >, 0);
}

/** struct announced - a body, and the key named in its error (NULL: valid) */
struct announced {
    const char *body;
    const char *key;
};

static const struct announced bodies[] = {
    {"{\"service\":\"lots\",\"address\":\"127.0.0.1:80\",\"slots\":2,"
     "\"state\":\"ready\",\"busy\":0}",
     NULL},
    {"{\"service\":\"\",\"address\":\"127.0.0.1:80\",\"slots\":2,"
     "\"state\":\"ready\"}",
     "service"},
    {"{\"service\":\"lots\",\"address\":\"nowhere\",\"slots\":2,"
     "\"state\":\"ready\"}",
     "address"},
    {"{\"service\":\"lots\",\"address\":\"127.0.0.1:0\",\"slots\":2,"
     "\"state\":\"ready\"}",
     "address"},
    {"{\"service\":\"lots\",\"address\":\"127.0.0.1:80\",\"slots\":0,"
     "\"state\":\"ready\"}",
     "slots"},
    {"{\"service\":\"lots\",\"address\":\"127.0.0.1:80\",\"slots\":2,"
     "\"state\":\"fine\"}",
     "state"},
    {"[1]", "body"},
    {"{", "body"},
    {"", "body"},
};

TEST(announcements)
{
    for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
        struct announcement got;
        struct error err = {0};
        int ret = announcement_parse(bodies[i].body, strlen(bodies[i].body),
                                     &got, &err);
        if (bodies[i].key == NULL) {
            g_assert_cmpint(ret, ==, 0);
            g_assert_cmpstr(got.service, ==, "lots");
            g_assert_cmpuint(got.addr.port, ==, 80);
            g_assert_cmpuint(got.slots, ==, 2);
            g_assert_cmpint(got.state, ==, MEMBER_READY);
            continue;
        }
        g_assert_cmpint(ret, ==, -EINVAL);
        g_assert_cmpstr(err.peer, ==, bodies[i].key);
    }
}
