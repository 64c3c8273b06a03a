#include "orphans/segment.h"

#include <string.h>

#include "packet/packet.h"

#define IP_HEADER 20
#define TCP_HEADER 20
#define IP_DONT_FRAGMENT 0x4000
#define PROBE_TTL 64
#define PROTO_TCP 6
#define PSEUDO_HEADER 12

/* Large, since callers may update their send window from any segment. */
#define PROBE_WINDOW 0xffff

static void
write16(uint8_t *at, uint16_t value)
{
    at[0] = (uint8_t)(value >> 8);
    at[1] = (uint8_t)value;
}

static void
write32(uint8_t *at, uint32_t value)
{
    write16(at, (uint16_t)(value >> 16));
    write16(at + 2, (uint16_t)value);
}

static uint16_t
tcp_checksum(const uint8_t *ip, const uint8_t *segment)
{
    uint8_t pseudo[PSEUDO_HEADER + TCP_HEADER];

    memcpy(pseudo, ip + 12, 8);
    write16(pseudo + 8, PROTO_TCP);
    write16(pseudo + 10, TCP_HEADER);
    memcpy(pseudo + PSEUDO_HEADER, segment, TCP_HEADER);
    return packet_checksum(pseudo, sizeof(pseudo));
}

size_t
segment_build_probe(struct addr service, struct addr caller, uint32_t number,
                    uint8_t *buf)
{
    uint8_t *segment = buf + IP_HEADER;

    memset(buf, 0, SEGMENT_PROBE_LEN);
    buf[0] = 0x45;
    write16(buf + 2, SEGMENT_PROBE_LEN);
    write16(buf + 6, IP_DONT_FRAGMENT);
    buf[8] = PROBE_TTL;
    buf[9] = PROTO_TCP;
    write32(buf + 12, service.ip);
    write32(buf + 16, caller.ip);
    write16(buf + 10, packet_checksum(buf, IP_HEADER));
    write16(segment, service.port);
    write16(segment + 2, caller.port);
    write32(segment + 4, number);
    write32(segment + 8, number);
    segment[12] = (TCP_HEADER / 4) << 4;
    segment[13] = PACKET_TCP_SYN | PACKET_TCP_ACK;
    write16(segment + 14, PROBE_WINDOW);
    write16(segment + 16, tcp_checksum(buf, segment));
    return SEGMENT_PROBE_LEN;
}
