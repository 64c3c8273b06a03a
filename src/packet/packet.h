/**
 * DOC: packet - parses, validates and builds IPv4 packets with TCP or UDP
 */
#ifndef SWIFTARCH_PACKET_PACKET_H
#define SWIFTARCH_PACKET_PACKET_H

#include <stddef.h>
#include <stdint.h>

#define PACKET_MAX 1500 /* bytes with the IP header */
#define PACKET_TCP_FIN 0x01
#define PACKET_TCP_SYN 0x02
#define PACKET_TCP_RST 0x04
#define PACKET_TCP_ACK 0x10

/** enum packet_drop - reasons for dropping a packet, each with a counter */
enum packet_drop {
    PACKET_OK,
    PACKET_TRUNCATED,       /* too short, or a wrong length field */
    PACKET_TOO_LONG,        /* longer than PACKET_MAX */
    PACKET_BAD_VERSION,     /* not IPv4 */
    PACKET_BAD_HEADER,      /* IP or TCP header length below 20 */
    PACKET_FRAGMENT,        /* fragment, may lack the ports */
    PACKET_BAD_IP_CHECKSUM, /* wrong IP header checksum */
    PACKET_BAD_L4_CHECKSUM, /* wrong TCP or UDP checksum */
    PACKET_BAD_PROTOCOL,    /* neither TCP nor UDP */
    PACKET_BAD_FLAGS,       /* invalid combination of TCP flags */
    PACKET_NO_SERVICE,      /* no service at address and port */
    PACKET_BAD_ENCAP,       /* malformed encapsulation */
    PACKET_NO_ENDPOINT,     /* no usable endpoint of the service */
    PACKET_HOP_LIMIT,       /* redirected too often */
    PACKET_SEND_FAILED,     /* send error of the socket */
    PACKET_DROP_COUNT
};

/**
 * struct packet - parsed header fields, host byte order
 * @src: source address
 * @dst: destination address
 * @sport: source port
 * @dport: destination port
 * @proto: 6 (TCP) or 17 (UDP)
 * @flags: TCP flags, 0 for UDP
 * @seq: TCP sequence number
 * @ack: TCP acknowledgement number
 * @payload: offset of the payload in the packet, bytes
 * @payload_len: length of the payload, bytes
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
 * packet_parse() - validate and parse an IPv4 packet
 * @verify_l4: verify the TCP or UDP checksum (agents do, balancers don't)
 *
 * Return: PACKET_OK or the reason to drop the packet.
 */
enum packet_drop
packet_parse(const uint8_t *buf, size_t len, int verify_l4,
             struct packet *packet);

/** packet_drop_name() - metric label of a reason */
const char *
packet_drop_name(enum packet_drop drop);

/** packet_flow_hash() - hash of the five-tuple, the same in all processes */
uint64_t
packet_flow_hash(const struct packet *packet);

/**
 * packet_build_reset() - build the RST for @packet (RFC 9293, 3.10.7.1)
 * @buf: result, at least 40 bytes
 *
 * Return: length of the RST; 0 if none may be sent, since @packet is UDP, an
 * RST, or not from a unicast address.
 */
size_t
packet_build_reset(const struct packet *packet, uint8_t *buf);

/**
 * packet_build_udp() - build an IPv4/UDP packet with checksums
 * @buf: result, PACKET_MAX bytes
 *
 * Return: length of the packet, or 0 if it would exceed PACKET_MAX.
 */
size_t
packet_build_udp(uint32_t src, uint16_t sport, uint32_t dst, uint16_t dport,
                 const uint8_t *payload, size_t len, uint8_t *buf);

/** packet_checksum() - Internet checksum of @len bytes, host byte order */
uint16_t
packet_checksum(const uint8_t *buf, size_t len);

#endif
