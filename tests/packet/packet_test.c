/**
 * DOC: packet_test - parsing, validation and building of IPv4 packets
 */
#include <stdbool.h>
#include <string.h>

#include "packet/packet.h"
#include "lib/harness.h"

#define SUITE "/packet"
#define CALLER 0x0a090001u
#define SERVICE 0x0a640001u
#define MUTATIONS 300000

static const uint8_t zeros[PACKET_MAX];

static void
set16(uint8_t *p, unsigned value)
{
    p[0] = (uint8_t)(value >> 8);
    p[1] = (uint8_t)value;
}

static void
set_ip_checksum(uint8_t *buf)
{
    set16(buf + 10, 0);
    set16(buf + 10, packet_checksum(buf, (size_t)(buf[0] & 15) * 4));
}

/* Checksum of RFC 1071 by single bytes, as reference */
static uint16_t
reference_checksum(const uint8_t *buf, size_t len)
{
    uint32_t sum = 0;
    for (size_t i = 0; i < len; i++)
        sum += i % 2 == 0 ? (uint32_t)buf[i] << 8 : buf[i];
    while (sum >> 16 != 0)
        sum = (sum & 0xffff) + (sum >> 16);
    return (uint16_t)~sum;
}

static void
set_l4_checksum(uint8_t *buf, size_t len)
{
    uint8_t pseudo[12 + PACKET_MAX] = {0};
    size_t at = buf[9] == 6 ? 36 : 26;

    set16(buf + at, 0);
    memcpy(pseudo, buf + 12, 8);
    pseudo[9] = buf[9];
    set16(pseudo + 10, (unsigned)(len - 20));
    memcpy(pseudo + 12, buf + 20, len - 20);
    set16(buf + at, reference_checksum(pseudo, 12 + len - 20));
}

static size_t
build_tcp(uint8_t *buf, uint8_t flags, size_t payload)
{
    static const uint8_t addresses[] = {10, 9, 0, 1, 10, 100, 0, 1};
    static const uint8_t numbers[] = {1, 2, 3, 4, 0xff, 0xff, 0xff, 0xfe};
    size_t len = 40 + payload;
    memset(buf, 0, len);
    buf[0] = 0x45;
    set16(buf + 2, (unsigned)len);
    buf[8] = 64;
    buf[9] = 6;
    memcpy(buf + 12, addresses, sizeof(addresses));
    set16(buf + 20, 40001);
    set16(buf + 22, 80);
    memcpy(buf + 24, numbers, sizeof(numbers));
    buf[32] = 0x50;
    buf[33] = flags;
    for (size_t i = 0; i < payload; i++)
        buf[40 + i] = (uint8_t)(i * 7 + 1);
    set_ip_checksum(buf);
    set_l4_checksum(buf, len);
    return len;
}

/* Parses an exact heap block, so that overreads are detected */
static enum packet_drop
parse_exact(const uint8_t *buf, size_t len, struct packet *packet)
{
    g_autofree uint8_t *copy = g_memdup2(buf, len);
    enum packet_drop drop = packet_parse(copy, len, 1, packet);
    return drop;
}

TEST(parses_fields)
{
    uint8_t buf[PACKET_MAX];
    struct packet p;

    size_t len = build_tcp(buf, PACKET_TCP_ACK, 13);
    g_assert_cmpint(parse_exact(buf, len, &p), ==, PACKET_OK);
    g_assert_cmpuint(p.src, ==, CALLER);
    g_assert_cmpuint(p.dst, ==, SERVICE);
    g_assert_cmpuint(p.sport, ==, 40001);
    g_assert_cmpuint(p.dport, ==, 80);
    g_assert_cmpuint(p.proto, ==, 6);
    g_assert_cmpuint(p.flags, ==, PACKET_TCP_ACK);
    g_assert_cmpuint(p.seq, ==, 0x01020304);
    g_assert_cmpuint(p.ack, ==, 0xfffffffe);
    g_assert_cmpuint(p.payload, ==, 40);
    g_assert_cmpuint(p.payload_len, ==, 13);

    len = packet_build_udp(CALLER, 1, SERVICE, 53, (uint8_t *)"hello", 5, buf);
    g_assert_cmpuint(len, ==, 33);
    g_assert_cmpint(parse_exact(buf, len, &p), ==, PACKET_OK);
    g_assert_cmpuint(p.proto, ==, 17);
    g_assert_cmpuint(p.payload, ==, 28);
    g_assert_cmpuint(p.payload_len, ==, 5);
}

/** struct patch - change to a valid packet and the expected result */
struct patch {
    const char *name;
    int at;
    uint8_t value;
    bool fix_ip;
    bool fix_l4;
    enum packet_drop drop;
};

static const struct patch patches[] = {
    {"version 6", 0, 0x65, true, false, PACKET_BAD_VERSION},
    {"header of 16", 0, 0x44, true, false, PACKET_BAD_HEADER},
    {"total too large", 3, 54, true, false, PACKET_TRUNCATED},
    {"total too small", 3, 52, true, false, PACKET_TRUNCATED},
    {"more fragments", 6, 0x20, true, false, PACKET_FRAGMENT},
    {"last fragment", 7, 0x01, true, false, PACKET_FRAGMENT},
    {"do not fragment", 6, 0x40, true, false, PACKET_OK},
    {"ip checksum", 8, 63, false, false, PACKET_BAD_IP_CHECKSUM},
    {"tcp checksum", 45, 0xee, false, false, PACKET_BAD_L4_CHECKSUM},
    {"icmp", 9, 1, true, false, PACKET_BAD_PROTOCOL},
    {"sctp", 9, 132, true, false, PACKET_BAD_PROTOCOL},
    {"tcp header of 16", 32, 0x40, false, true, PACKET_BAD_HEADER},
    {"tcp header cut", 32, 0xf0, false, true, PACKET_TRUNCATED},
    {"no flags", 33, 0, false, true, PACKET_BAD_FLAGS},
    {"syn", 33, 0x02, false, true, PACKET_OK},
    {"syn ece cwr", 33, 0xc2, false, true, PACKET_OK},
    {"syn ack", 33, 0x12, false, true, PACKET_OK},
    {"syn fin", 33, 0x03, false, true, PACKET_BAD_FLAGS},
    {"syn rst", 33, 0x06, false, true, PACKET_BAD_FLAGS},
    {"syn fin ack", 33, 0x13, false, true, PACKET_BAD_FLAGS},
    {"fin alone", 33, 0x01, false, true, PACKET_BAD_FLAGS},
    {"fin ack", 33, 0x11, false, true, PACKET_OK},
    {"fin rst", 33, 0x05, false, true, PACKET_BAD_FLAGS},
    {"rst", 33, 0x04, false, true, PACKET_OK},
    {"rst ack", 33, 0x14, false, true, PACKET_OK},
    {"psh alone", 33, 0x08, false, true, PACKET_BAD_FLAGS},
    {"psh ack", 33, 0x18, false, true, PACKET_OK},
    {"xmas", 33, 0x29, false, true, PACKET_BAD_FLAGS},
    {"all flags", 33, 0xff, false, true, PACKET_BAD_FLAGS},
};

TEST(validates_headers)
{
    for (size_t i = 0; i < G_N_ELEMENTS(patches); i++) {
        const struct patch *patch = &patches[i];
        uint8_t buf[PACKET_MAX];
        struct packet p;
        size_t len = build_tcp(buf, PACKET_TCP_ACK, 13);

        g_test_message("%s", patch->name);
        buf[patch->at] = patch->value;
        if (patch->fix_ip)
            set_ip_checksum(buf);
        if (patch->fix_l4)
            set_l4_checksum(buf, len);
        g_assert_cmpint(parse_exact(buf, len, &p), ==, patch->drop);
    }
}

TEST(udp_lengths)
{
    uint8_t buf[PACKET_MAX + 1] = {0};
    struct packet p;
    size_t len = packet_build_udp(CALLER, 1, SERVICE, 2, zeros, 9, buf);

    buf[25] = 16; /* the datagram has 17 */
    set_l4_checksum(buf, len);
    g_assert_cmpint(parse_exact(buf, len, &p), ==, PACKET_TRUNCATED);

    len = packet_build_udp(CALLER, 1, SERVICE, 2, zeros, 9, buf);
    buf[30] ^= 1;
    g_assert_cmpint(parse_exact(buf, len, &p), ==, PACKET_BAD_L4_CHECKSUM);
    g_assert_cmpint(packet_parse(buf, len, 0, &p), ==, PACKET_OK);
    set16(buf + 26, 0);
    g_assert_cmpint(parse_exact(buf, len, &p), ==, PACKET_OK);

    g_assert_cmpuint(packet_build_udp(1, 1, 2, 2, zeros, 1472, buf), ==, 1500);
    g_assert_cmpuint(packet_build_udp(1, 1, 2, 2, zeros, 1473, buf), ==, 0);
    g_assert_cmpint(parse_exact(buf, PACKET_MAX + 1, &p), ==, PACKET_TOO_LONG);
}

/* A sum of 0 is sent as all ones, since 0 means no checksum. */
TEST(udp_checksum_of_zero)
{
    size_t ones = 0;

    for (unsigned value = 0; value <= UINT16_MAX; value++) {
        uint8_t buf[64];
        uint8_t payload[2];
        struct packet p;
        set16(payload, value);
        size_t len = packet_build_udp(CALLER, 1, SERVICE, 2, payload, 2, buf);
        g_assert_false(buf[26] == 0 && buf[27] == 0);
        ones += buf[26] == 0xff && buf[27] == 0xff;
        g_assert_cmpint(packet_parse(buf, len, 1, &p), ==, PACKET_OK);
    }
    g_assert_cmpuint(ones, >, 0);
}

TEST(rejects_truncated_packet)
{
    uint8_t buf[PACKET_MAX];
    struct packet p;
    size_t len = build_tcp(buf, PACKET_TCP_ACK, 60);

    for (size_t cut = 0; cut < len; cut++) {
        g_assert_cmpint(parse_exact(buf, cut, &p), ==, PACKET_TRUNCATED);

        /* IP length and checksum match the truncated packet. */
        uint8_t shorter[PACKET_MAX];
        memcpy(shorter, buf, len);
        set16(shorter + 2, (unsigned)cut);
        set_ip_checksum(shorter);
        enum packet_drop drop = parse_exact(shorter, cut, &p);
        g_assert_cmpint(drop, ==,
                        cut < 40 ? PACKET_TRUNCATED : PACKET_BAD_L4_CHECKSUM);
    }
}

/* Mutated packets are dropped, or have their payload inside the buffer. */
TEST(random_mutation)
{
    size_t seen[PACKET_DROP_COUNT] = {0};

    for (int i = 0; i < MUTATIONS; i++) {
        uint8_t buf[PACKET_MAX];
        struct packet p;
        size_t payload = (size_t)g_test_rand_int_range(0, 80);
        size_t len = build_tcp(buf, PACKET_TCP_ACK, payload);
        if (g_test_rand_bit())
            len = packet_build_udp(1, 2, 3, 4, zeros, payload, buf);

        for (int n = g_test_rand_int_range(1, 4); n > 0; n--)
            buf[g_test_rand_int_range(0, 40) % (int)len] =
                (uint8_t)g_test_rand_int();
        if (g_test_rand_bit())
            set_ip_checksum(buf);

        g_autofree uint8_t *copy = g_memdup2(buf, len);
        enum packet_drop drop = packet_parse(copy, len, i & 1, &p);
        seen[drop]++;
        if (drop == PACKET_OK)
            g_assert_cmpuint((size_t)p.payload + p.payload_len, ==, len);
    }
    for (int i = PACKET_OK; i <= PACKET_BAD_FLAGS; i++)
        if (i != PACKET_TOO_LONG)
            g_assert_cmpuint(seen[i], >, 0);
}

TEST(checksum_matches_reference)
{
    uint8_t buf[300];
    for (size_t i = 0; i < sizeof(buf); i++)
        buf[i] = (uint8_t)g_test_rand_int();
    for (size_t at = 0; at < 8; at++)
        for (size_t len = 0; at + len <= sizeof(buf); len++)
            g_assert_cmpuint(packet_checksum(buf + at, len), ==,
                             reference_checksum(buf + at, len));
}

static void
check_reset(uint8_t flags, size_t payload, uint32_t seq, uint32_t ack,
            uint8_t reset_flags)
{
    uint8_t buf[PACKET_MAX];
    uint8_t reset[40];
    struct packet in, out;

    packet_parse(buf, build_tcp(buf, PACKET_TCP_ACK, payload), 1, &in);
    in.flags = flags;
    g_assert_cmpuint(packet_build_reset(&in, reset), ==, 40);
    g_assert_cmpint(parse_exact(reset, 40, &out), ==, PACKET_OK);
    g_assert_cmpuint(out.src, ==, in.dst);
    g_assert_cmpuint(out.dst, ==, in.src);
    g_assert_cmpuint(out.sport, ==, in.dport);
    g_assert_cmpuint(out.dport, ==, in.sport);
    g_assert_cmpuint(out.flags, ==, reset_flags);
    g_assert_cmpuint(out.seq, ==, seq);
    g_assert_cmpuint(out.ack, ==, ack);
}

/* RFC 9293, 3.10.7.1: <SEQ=SEG.ACK><CTL=RST>, or without an ACK
 * <SEQ=0><ACK=SEG.SEQ+SEG.LEN><CTL=RST,ACK> where SYN and FIN count. */
TEST(builds_reset)
{
    check_reset(PACKET_TCP_ACK, 5, 0xfffffffe, 0, PACKET_TCP_RST);
    check_reset(PACKET_TCP_SYN | PACKET_TCP_ACK, 0, 0xfffffffe, 0,
                PACKET_TCP_RST);
    check_reset(PACKET_TCP_FIN | PACKET_TCP_ACK, 9, 0xfffffffe, 0,
                PACKET_TCP_RST);
    check_reset(PACKET_TCP_SYN, 0, 0, 0x01020305,
                PACKET_TCP_RST | PACKET_TCP_ACK);
    check_reset(PACKET_TCP_SYN, 4, 0, 0x01020309,
                PACKET_TCP_RST | PACKET_TCP_ACK);
    check_reset(PACKET_TCP_FIN, 4, 0, 0x01020309,
                PACKET_TCP_RST | PACKET_TCP_ACK);

    struct packet p = {.src = CALLER, .proto = 6, .flags = PACKET_TCP_RST};
    uint8_t buf[40];
    g_assert_cmpuint(packet_build_reset(&p, buf), ==, 0);
    p.flags = PACKET_TCP_RST | PACKET_TCP_ACK;
    g_assert_cmpuint(packet_build_reset(&p, buf), ==, 0);
    p.flags = PACKET_TCP_ACK;
    p.src = 0xe0000001;
    g_assert_cmpuint(packet_build_reset(&p, buf), ==, 0);
    p = (struct packet){.src = CALLER, .proto = 17};
    g_assert_cmpuint(packet_build_reset(&p, buf), ==, 0);
}

TEST(flow_hash_covers_five_tuple)
{
    struct packet a = {
        .src = 1, .dst = 2, .sport = 3, .dport = 4, .proto = 6, .seq = 5};
    struct packet b = a;
    uint64_t hash = packet_flow_hash(&a);

    b.seq = 99;
    b.flags = PACKET_TCP_FIN;
    g_assert_cmpuint(packet_flow_hash(&b), ==, hash);
    b.proto = 17;
    g_assert_cmpuint(packet_flow_hash(&b), !=, hash);
    b = a;
    b.sport++;
    g_assert_cmpuint(packet_flow_hash(&b), !=, hash);
    b = a;
    b.src = 2;
    b.dst = 1;
    g_assert_cmpuint(packet_flow_hash(&b), !=, hash);

    for (int i = 0; i < PACKET_DROP_COUNT; i++)
        g_assert_nonnull(packet_drop_name((enum packet_drop)i));
}
