#include "packet/packet.h"

#include <assert.h>
#include <stdbool.h>
#include <string.h>

#include "base/hash.h"

#define IP_HEADER_MIN 20
#define TCP_HEADER_MIN 20
#define UDP_HEADER 8
#define PROTO_TCP 6
#define PROTO_UDP 17
#define IP_FRAGMENT_MASK 0x3fff /* more fragments, or an offset */
#define IP_DONT_FRAGMENT 0x4000
#define IP_TTL 64

static const char *const drop_names[PACKET_DROP_COUNT] = {
    [PACKET_OK] = "ok",
    [PACKET_TRUNCATED] = "short",
    [PACKET_TOO_LONG] = "long",
    [PACKET_BAD_VERSION] = "version",
    [PACKET_BAD_HEADER] = "header",
    [PACKET_FRAGMENT] = "fragment",
    [PACKET_BAD_IP_CHECKSUM] = "ip_checksum",
    [PACKET_BAD_L4_CHECKSUM] = "l4_checksum",
    [PACKET_BAD_PROTOCOL] = "protocol",
    [PACKET_BAD_FLAGS] = "flags",
    [PACKET_NO_SERVICE] = "service",
    [PACKET_BAD_ENCAP] = "encap",
    [PACKET_NO_ENDPOINT] = "no_endpoint",
    [PACKET_HOP_LIMIT] = "hops",
    [PACKET_SEND_FAILED] = "send",
};

static uint16_t
read16(const uint8_t *p)
{
    return (uint16_t)(p[0] << 8 | p[1]);
}

static uint32_t
read32(const uint8_t *p)
{
    return (uint32_t)read16(p) << 16 | read16(p + 2);
}

static void
write16(uint8_t *p, uint16_t value)
{
    p[0] = (uint8_t)(value >> 8);
    p[1] = (uint8_t)value;
}

static void
write32(uint8_t *p, uint32_t value)
{
    write16(p, (uint16_t)(value >> 16));
    write16(p + 2, (uint16_t)value);
}

/* Adds words in host byte order; the folded sum is byte-swapped (RFC 1071). */
static uint64_t
checksum_add(uint64_t sum, const uint8_t *buf, size_t len)
{
    while (len >= 4) {
        uint32_t word;
        memcpy(&word, buf, sizeof(word));
        sum += word;
        buf += 4;
        len -= 4;
    }

    uint8_t tail[4] = {0};
    uint32_t word;
    memcpy(tail, buf, len);
    memcpy(&word, tail, sizeof(word));
    return sum + word;
}

static uint16_t
checksum_fold(uint64_t sum)
{
    while (sum >> 16 != 0)
        sum = (sum & 0xffff) + (sum >> 16);

    uint8_t bytes[2];
    uint16_t word = (uint16_t)~sum;
    memcpy(bytes, &word, sizeof(word));
    return read16(bytes);
}

/* Checksum of a TCP or UDP segment and its pseudo header */
static uint16_t
l4_checksum(const uint8_t *ip, const uint8_t *segment, size_t len)
{
    uint8_t pseudo[12];
    memcpy(pseudo, ip + 12, 8);
    pseudo[8] = 0;
    pseudo[9] = ip[9];
    write16(pseudo + 10, (uint16_t)len);

    uint64_t sum = checksum_add(0, pseudo, sizeof(pseudo));
    return checksum_fold(checksum_add(sum, segment, len));
}

/* Requires SYN, RST or ACK; rejects SYN or RST with FIN, and SYN with RST. */
static bool
flags_valid(uint8_t flags)
{
    switch (flags & (PACKET_TCP_SYN | PACKET_TCP_RST | PACKET_TCP_ACK |
                     PACKET_TCP_FIN)) {
    case PACKET_TCP_SYN:
    case PACKET_TCP_SYN | PACKET_TCP_ACK:
    case PACKET_TCP_RST:
    case PACKET_TCP_RST | PACKET_TCP_ACK:
    case PACKET_TCP_ACK:
    case PACKET_TCP_ACK | PACKET_TCP_FIN:
        return true;
    default:
        return false;
    }
}

static enum packet_drop
parse_ip(const uint8_t *buf, size_t len, size_t *header_len)
{
    if (len > PACKET_MAX)
        return PACKET_TOO_LONG;
    if (len < 1)
        return PACKET_TRUNCATED;
    if (buf[0] >> 4 != 4)
        return PACKET_BAD_VERSION;
    if (len < IP_HEADER_MIN)
        return PACKET_TRUNCATED;

    *header_len = (size_t)(buf[0] & 0x0f) * 4;
    if (*header_len < IP_HEADER_MIN)
        return PACKET_BAD_HEADER;
    if (len < *header_len || read16(buf + 2) != len)
        return PACKET_TRUNCATED;
    if (packet_checksum(buf, *header_len) != 0)
        return PACKET_BAD_IP_CHECKSUM;
    if ((read16(buf + 6) & IP_FRAGMENT_MASK) != 0)
        return PACKET_FRAGMENT;
    return PACKET_OK;
}

static enum packet_drop
parse_tcp(const uint8_t *segment, size_t len, struct packet *packet,
          size_t *header_len)
{
    if (len < TCP_HEADER_MIN)
        return PACKET_TRUNCATED;

    *header_len = (size_t)(segment[12] >> 4) * 4;
    if (*header_len < TCP_HEADER_MIN)
        return PACKET_BAD_HEADER;
    if (*header_len > len)
        return PACKET_TRUNCATED;

    packet->flags = segment[13];
    packet->seq = read32(segment + 4);
    packet->ack = read32(segment + 8);
    return flags_valid(packet->flags) ? PACKET_OK : PACKET_BAD_FLAGS;
}

static enum packet_drop
parse_udp(const uint8_t *segment, size_t len, size_t *header_len)
{
    if (len < UDP_HEADER || read16(segment + 4) != len)
        return PACKET_TRUNCATED;

    *header_len = UDP_HEADER;
    return PACKET_OK;
}

/* A UDP checksum of 0 means that the sender computed none (RFC 768). */
static bool
l4_checksum_valid(const uint8_t *ip, const uint8_t *segment, size_t len)
{
    if (ip[9] == PROTO_UDP && read16(segment + 6) == 0)
        return true;
    return l4_checksum(ip, segment, len) == 0;
}

static void
write_ip_header(uint8_t *buf, uint8_t proto, uint32_t src, uint32_t dst,
                size_t len)
{
    memset(buf, 0, IP_HEADER_MIN);
    buf[0] = 0x45;
    write16(buf + 2, (uint16_t)len);
    write16(buf + 6, IP_DONT_FRAGMENT);
    buf[8] = IP_TTL;
    buf[9] = proto;
    write32(buf + 12, src);
    write32(buf + 16, dst);
    write16(buf + 10, packet_checksum(buf, IP_HEADER_MIN));
}

enum packet_drop
packet_parse(const uint8_t *buf, size_t len, int verify_l4,
             struct packet *packet)
{
    size_t ip_len = 0;
    enum packet_drop drop = parse_ip(buf, len, &ip_len);
    if (drop != PACKET_OK)
        return drop;

    const uint8_t *segment = buf + ip_len;
    size_t segment_len = len - ip_len;
    size_t l4_len = 0;

    packet->proto = buf[9];
    packet->flags = 0;
    packet->seq = 0;
    packet->ack = 0;
    if (packet->proto == PROTO_TCP)
        drop = parse_tcp(segment, segment_len, packet, &l4_len);
    else if (packet->proto == PROTO_UDP)
        drop = parse_udp(segment, segment_len, &l4_len);
    else
        drop = PACKET_BAD_PROTOCOL;
    if (drop != PACKET_OK)
        return drop;
    if (verify_l4 && !l4_checksum_valid(buf, segment, segment_len))
        return PACKET_BAD_L4_CHECKSUM;

    packet->src = read32(buf + 12);
    packet->dst = read32(buf + 16);
    packet->sport = read16(segment);
    packet->dport = read16(segment + 2);
    packet->payload = (uint16_t)(ip_len + l4_len);
    packet->payload_len = (uint16_t)(segment_len - l4_len);
    return PACKET_OK;
}

const char *
packet_drop_name(enum packet_drop drop)
{
    assert(drop < PACKET_DROP_COUNT);
    return drop_names[drop];
}

uint64_t
packet_flow_hash(const struct packet *packet)
{
    uint64_t addresses = (uint64_t)packet->src << 32 | packet->dst;
    uint64_t ports = (uint64_t)packet->sport << 32 |
                     (uint64_t)packet->dport << 16 | packet->proto;
    return hash_pair(addresses, ports);
}

size_t
packet_build_reset(const struct packet *packet, uint8_t *buf)
{
    if (packet->proto != PROTO_TCP || (packet->flags & PACKET_TCP_RST))
        return 0;
    if (packet->src == 0 || packet->src >> 28 >= 0xe)
        return 0; /* unspecified, multicast, reserved or broadcast source */

    uint32_t consumed = packet->payload_len;
    if (packet->flags & PACKET_TCP_SYN)
        consumed++;
    if (packet->flags & PACKET_TCP_FIN)
        consumed++;

    size_t len = IP_HEADER_MIN + TCP_HEADER_MIN;
    uint8_t *segment = buf + IP_HEADER_MIN;
    write_ip_header(buf, PROTO_TCP, packet->dst, packet->src, len);
    memset(segment, 0, TCP_HEADER_MIN);
    write16(segment, packet->dport);
    write16(segment + 2, packet->sport);
    segment[12] = (TCP_HEADER_MIN / 4) << 4;
    if (packet->flags & PACKET_TCP_ACK) {
        write32(segment + 4, packet->ack);
        segment[13] = PACKET_TCP_RST;
    }
    else {
        write32(segment + 8, packet->seq + consumed);
        segment[13] = PACKET_TCP_RST | PACKET_TCP_ACK;
    }
    write16(segment + 16, l4_checksum(buf, segment, TCP_HEADER_MIN));
    return len;
}

size_t
packet_build_udp(uint32_t src, uint16_t sport, uint32_t dst, uint16_t dport,
                 const uint8_t *payload, size_t len, uint8_t *buf)
{
    if (len > PACKET_MAX - IP_HEADER_MIN - UDP_HEADER)
        return 0;

    size_t total = IP_HEADER_MIN + UDP_HEADER + len;
    uint8_t *segment = buf + IP_HEADER_MIN;
    write_ip_header(buf, PROTO_UDP, src, dst, total);
    write16(segment, sport);
    write16(segment + 2, dport);
    write16(segment + 4, (uint16_t)(UDP_HEADER + len));
    write16(segment + 6, 0);
    if (len > 0)
        memcpy(segment + UDP_HEADER, payload, len);

    uint16_t sum = l4_checksum(buf, segment, UDP_HEADER + len);
    write16(segment + 6, sum == 0 ? 0xffff : sum);
    return total;
}

uint16_t
packet_checksum(const uint8_t *buf, size_t len)
{
    return checksum_fold(checksum_add(0, buf, len));
}
