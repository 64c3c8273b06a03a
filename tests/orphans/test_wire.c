/* Messages between owners and backups must survive encoding, and bad ones must
 * be rejected. */
#include <errno.h>
#include <string.h>

#include "agent/orphan_wire.h"
#include "agent/peer.pb-c.h"
#include "base/link_wire.h"
#include "lib/harness.h"

#define SUITE "/orphans/wire"

static struct orphan_message
example(size_t opened, size_t closed)
{
    struct orphan_message message = {.type = ORPHAN_MESSAGE_FLOWS,
                                     .boot = 1764700000000000,
                                     .session = 3,
                                     .seq = 70000,
                                     .service = {0x0a000001, 443},
                                     .opened = opened,
                                     .closed = closed};

    for (size_t i = 0; i < opened + closed; i++) {
        message.callers[i] =
            (struct addr){0xfffefdfc - (uint32_t)i, (uint16_t)(65535 - i)};
    }
    return message;
}

/* Encodes and decodes a message and compares; returns its encoded size. */
static size_t
encode_decode(const struct orphan_message *message)
{
    g_autoptr(GByteArray) packed = orphan_wire_pack(message);
    struct orphan_message read;
    struct peer_wire wire;
    size_t len = packed->len;

    g_assert_cmpint(peer_wire_unpack(packed->data, len, 1, &wire), ==, 0);
    g_assert_true(wire.notice);
    g_assert_false(wire.pins);
    g_assert_cmpint(orphan_wire_read(&wire, &read), ==, 0);
    g_assert_cmpint(read.type, ==, message->type);
    g_assert_cmpint(read.known, ==, message->known);
    g_assert_cmpuint(read.boot, ==, message->boot);
    g_assert_cmpuint(read.session, ==, message->session);
    g_assert_cmpuint(read.seq, ==, message->seq);
    g_assert_true(addr_equal(read.service, message->service));
    g_assert_cmpuint(read.opened, ==, message->opened);
    g_assert_cmpuint(read.closed, ==, message->closed);
    for (size_t i = 0; i < read.opened + read.closed; i++) {
        g_assert_true(addr_equal(read.callers[i], message->callers[i]));
    }
    peer_wire_finish(&wire);
    return len;
}

TEST(round_trip)
{
    struct orphan_message ack = {.type = ORPHAN_MESSAGE_ACK,
                                 .known = true,
                                 .boot = 9,
                                 .session = 1,
                                 .seq = 2};
    struct orphan_message message = example(0, 0);

    encode_decode(&message);
    message = example(ORPHAN_BATCH_MAX, 0);
    encode_decode(&message);
    message = example(0, ORPHAN_BATCH_MAX);
    encode_decode(&message);
    message = example(100, 28);
    encode_decode(&message);
    encode_decode(&ack);
}

/* Bounds the bytes per second of an agent that opens and closes 21 flows a
 * second, in five batches to each of two backups. */
TEST(bytes_per_second)
{
    struct orphan_message message = example(5, 4);
    struct orphan_message ack = {.type = ORPHAN_MESSAGE_ACK,
                                 .known = true,
                                 .boot = 9,
                                 .session = 3,
                                 .seq = 70000};
    size_t sent = encode_decode(&message) + LINK_WIRE_OVERHEAD;
    size_t received = encode_decode(&ack) + LINK_WIRE_OVERHEAD;

    g_test_message("a batch takes %zu bytes, its acknowledgement %zu", sent,
                   received);
    g_assert_cmpuint(2 * 5 * (sent + received), <, 3000);
}

static void
expect_bad_message(const Swiftarch__PeerMessage *raw)
{
    g_autoptr(GByteArray) packed = peer_wire_pack_raw(raw);
    struct orphan_message read;
    struct peer_wire wire;

    g_assert_cmpint(peer_wire_unpack(packed->data, packed->len, 1, &wire), ==,
                    0);
    g_assert_cmpint(orphan_wire_read(&wire, &read), ==, -EBADMSG);
    peer_wire_finish(&wire);
}

TEST(bad_messages)
{
    uint8_t bytes[(ORPHAN_BATCH_MAX + 1) * 6] = {0};
    Swiftarch__PeerMessage raw = SWIFTARCH__PEER_MESSAGE__INIT;
    Swiftarch__PeerNotice notice = SWIFTARCH__PEER_NOTICE__INIT;

    raw.type = PEER_WIRE_ORPHANS;
    expect_bad_message(&raw); /* without a notice */
    raw.notice = &notice;
    notice.type = 2;
    expect_bad_message(&raw);
    notice.type = ORPHAN_MESSAGE_FLOWS;
    notice.port = 65536;
    expect_bad_message(&raw);
    notice.port = 80;
    notice.opened = (ProtobufCBinaryData){7, bytes};
    expect_bad_message(&raw);
    notice.opened = (ProtobufCBinaryData){sizeof(bytes), bytes};
    expect_bad_message(&raw);
    notice.opened = (ProtobufCBinaryData){sizeof(bytes) - 6, bytes};
    notice.closed = (ProtobufCBinaryData){6, bytes};
    expect_bad_message(&raw);
}

/* Random bytes give an error or a message within bounds. */
TEST(mutated_messages)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(11);
    struct orphan_message message = example(9, 5);
    g_autoptr(GByteArray) packed = orphan_wire_pack(&message);
    unsigned accepted = 0;

    for (unsigned i = 0; i < 20000; i++) {
        g_autofree uint8_t *bytes = g_memdup2(packed->data, packed->len);
        struct orphan_message read;
        struct peer_wire wire;
        unsigned n;

        for (n = 0; n < 1 + i % 3; n++) {
            bytes[g_rand_int_range(rand, 0, (gint32)packed->len)] =
                (uint8_t)g_rand_int(rand);
        }
        if (peer_wire_unpack(bytes, packed->len, 1, &wire) < 0) {
            continue;
        }
        if (wire.notice && orphan_wire_read(&wire, &read) == 0) {
            accepted++;
            g_assert_cmpuint(read.opened + read.closed, <=, ORPHAN_BATCH_MAX);
        }
        peer_wire_finish(&wire);
    }
    g_assert_cmpuint(accepted, >, 100);
}
