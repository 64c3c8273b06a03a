/**
 * DOC: packet - reading and checking whole IPv4 packets
 */
#ifndef SWIFTARCH_PACKET_PACKET_H
#define SWIFTARCH_PACKET_PACKET_H

#include <stddef.h>
#include <stdint.h>

#define PACKET_MAX 1500
#define PACKET_TCP_FIN 0x01
#define PACKET_TCP_SYN 0x02
#define PACKET_TCP_RST 0x04
#define PACKET_TCP_ACK 0x10

/** enum packet_drop - why a packet was dropped, one counter each */
enum packet_drop {
    PACKET_OK,
    PACKET_TRUNCATED,       /* cut: lengths disagree with what came */
    PACKET_TOO_LONG,        /* longer than PACKET_MAX */
    PACKET_BAD_VERSION,     /* not IPv4 */
    PACKET_BAD_HEADER,      /* header length impossible */
    PACKET_FRAGMENT,        /* fragments carry no ports */
    PACKET_BAD_IP_CHECKSUM, /* wrong header checksum */
    PACKET_BAD_L4_CHECKSUM, /* wrong TCP or UDP checksum */
    PACKET_BAD_PROTOCOL,    /* neither TCP nor UDP */
    PACKET_BAD_FLAGS,       /* TCP flags that no stack sends */
    PACKET_NO_SERVICE,      /* address and port of no service */
    PACKET_BAD_ENCAP,       /* malformed encapsulation */
    PACKET_NO_ENDPOINT,     /* service without a usable endpoint */
    PACKET_HOP_LIMIT,       /* passed on too often */
    PACKET_SEND_FAILED,     /* the socket refused it */
    PACKET_DROP_COUNT
};

/**
 * struct packet - what a decision needs of a packet; host byte order
 * @src: source address
 * @dst: destination address
 * @sport: source port
 * @dport: destination port
 * @proto: 6 or 17
 * @flags: TCP flags, 0 for UDP
 * @seq: TCP sequence number
 * @ack: TCP acknowledgement number
 * @payload: offset of the payload in the packet
 * @payload_len: its length
 */
struct packet {
    uint32_t src;
    uint32_t dst;
    uint16_t sport;
    uint16_t dport;
    uint8_t proto;
    uint8_t flags;
    uint32_t seq;
    uint32_t ack;
    uint16_t payload;
    uint16_t payload_len;
};

/**
 * packet_parse() - check and read an IPv4 packet
 * @verify_l4: also verify the TCP or UDP checksum (agents do; balancers
 *             forward and leave that to the agent)
 */
enum packet_drop
packet_parse(const uint8_t *buf, size_t len, int verify_l4,
             struct packet *packet);

/** packet_drop_name() - label of a reason, for counters */
const char *
packet_drop_name(enum packet_drop drop);

/** packet_flow_hash() - hash of the five-tuple, same on every process */
uint64_t
packet_flow_hash(const struct packet *packet);

/**
 * packet_build_reset() - RST that answers @packet (RFC 9293, 3.10.7.1)
 *
 * Return: its length in @buf (of at least 40 bytes); 0 when @packet must
 * not be answered by a reset (UDP, or itself a reset).
 */
size_t
packet_build_reset(const struct packet *packet, uint8_t *buf);

/**
 * packet_build_udp() - an IPv4/UDP packet with checksums
 *
 * Return: total length in @buf, or 0 when it would exceed PACKET_MAX.
 */
size_t
packet_build_udp(uint32_t src, uint16_t sport, uint32_t dst, uint16_t dport,
                 const uint8_t *payload, size_t len, uint8_t *buf);

/** packet_checksum() - Internet checksum of @len bytes, host order */
uint16_t
packet_checksum(const uint8_t *buf, size_t len);

#endif
