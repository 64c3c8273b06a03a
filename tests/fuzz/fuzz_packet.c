#include <glib.h>
#include <string.h>

#include "mutate.h"
#include "packet/gue.h"
#include "packet/packet.h"

#define SUITE "/fuzz"
#define RUNS 200000

static void
check_packet(const uint8_t *data, size_t len)
{
    struct packet packet;
    uint8_t reset[40];

    for (int verify = 0; verify < 2; verify++) {
        memset(&packet, 0, sizeof(packet));
        if (packet_parse(data, len, verify, &packet) != PACKET_OK) {
            continue;
        }
        g_assert_cmpuint(packet.payload, <=, len);
        g_assert_cmpuint(packet.payload_len, <=, len - packet.payload);
        g_assert_true(packet.proto == 6 || packet.proto == 17);
        g_assert_cmpuint(packet_build_reset(&packet, reset), <=,
                         sizeof(reset));
        (void)packet_flow_hash(&packet);
    }
}

/* Parses the input as it is, and with a valid length and header checksum to
 * reach the later checks. */
static void
decode_packet(const uint8_t *data, size_t len)
{
    size_t header = len > 0 ? (size_t)(data[0] & 0x0f) * 4 : 0;
    uint8_t *copy;
    uint16_t sum;

    check_packet(data, len);
    if (header < 20 || header > len) {
        return;
    }
    copy = g_memdup2(data, len);
    copy[2] = (uint8_t)(len >> 8);
    copy[3] = (uint8_t)len;
    copy[10] = 0;
    copy[11] = 0;
    sum = packet_checksum(copy, header);
    copy[10] = (uint8_t)(sum >> 8);
    copy[11] = (uint8_t)sum;
    check_packet(copy, len);
    g_free(copy);
}

static void
decode_gue(const uint8_t *data, size_t len)
{
    struct gue gue;
    uint8_t again[GUE_HEADER_MAX];
    int header = gue_decode(data, len, &gue);

    if (header < 0) {
        return;
    }
    g_assert_cmpuint((size_t)header, <=, len);
    g_assert_cmpuint(gue.count, <=, GUE_HOPS_MAX);
    g_assert_true(gue.count == 0 || gue.index < gue.count);
    if (gue.count > 0) {
        struct gue copy;
        size_t written = gue_encode(&gue, again);

        g_assert_cmpint(gue_decode(again, written, &copy), ==, (int)written);
        g_assert_cmpmem(&copy.hops, sizeof(copy.hops[0]) * copy.count,
                        &gue.hops, sizeof(gue.hops[0]) * gue.count);
    }
}

TEST(packet)
{
    static const uint8_t body[] = "hello";
    uint8_t udp[PACKET_MAX];
    uint8_t tcp[40];
    struct packet segment = {
        .src = 0x0a000001,
        .dst = 0x0a000002,
        .sport = 4000,
        .dport = 80,
        .proto = 6,
        .flags = PACKET_TCP_ACK,
        .ack = 7,
    };
    struct mutate_sample samples[] = {
        {udp, packet_build_udp(1, 2, 3, 4, body, sizeof(body), udp)},
        {tcp, packet_build_reset(&segment, tcp)},
    };

    MUTATE("packet_parse", samples, RUNS, decode_packet);
}

TEST(gue)
{
    static const uint8_t bare[] = {0, 4, 0, 0, 0x45};
    uint8_t header[GUE_HEADER_MAX];
    struct gue gue = {.service = 9, .flags = GUE_OPEN, .index = 1, .count = 3};
    struct mutate_sample samples[2] = {{bare, sizeof(bare)}};

    for (unsigned i = 0; i < gue.count; i++) {
        gue.hops[i] = (struct gue_hop){i + 1, {0x7f000001, (uint16_t)(i + 1)}};
    }
    samples[1] = (struct mutate_sample){header, gue_encode(&gue, header)};
    MUTATE("gue_decode", samples, RUNS, decode_gue);
}
