#include "lib/segment.h"

#include <glib.h>
#include <string.h>

#define IP_LEN 20
#define HEADERS_LEN 40
#define PSEUDO_LEN 12
#define PROTO_TCP 6

static void
put16(uint8_t *at, uint32_t value)
{
    at[0] = (uint8_t)(value >> 8);
    at[1] = (uint8_t)value;
}

static void
put32(uint8_t *at, uint32_t value)
{
    put16(at, value >> 16);
    put16(at + 2, value);
}

size_t
segment_tcp(uint8_t *buf, const struct packet *packet, const char *payload)
{
    size_t len = HEADERS_LEN + strlen(payload);
    uint8_t checksummed[PSEUDO_LEN + PACKET_MAX] = {0};
    uint8_t *tcp = buf + IP_LEN;

    g_assert_cmpuint(len, <=, PACKET_MAX);
    memset(buf, 0, HEADERS_LEN);
    buf[0] = 0x45;
    put16(buf + 2, (uint32_t)len);
    buf[8] = 64;
    buf[9] = PROTO_TCP;
    put32(buf + 12, packet->src);
    put32(buf + 16, packet->dst);
    put16(buf + 10, packet_checksum(buf, IP_LEN));
    put16(tcp, packet->sport);
    put16(tcp + 2, packet->dport);
    put32(tcp + 4, packet->seq);
    put32(tcp + 8, packet->ack);
    tcp[12] = 0x50;
    tcp[13] = packet->flags;
    put16(tcp + 14, UINT16_MAX);
    memcpy(buf + HEADERS_LEN, payload, len - HEADERS_LEN);
    memcpy(checksummed, buf + 12, 8);
    checksummed[9] = PROTO_TCP;
    put16(checksummed + 10, (uint32_t)(len - IP_LEN));
    memcpy(checksummed + PSEUDO_LEN, tcp, len - IP_LEN);
    put16(tcp + 16, packet_checksum(checksummed, PSEUDO_LEN + len - IP_LEN));
    return len;
}
