/**
 * DOC: packet - header fields of a packet of a relayed flow
 *
 * In relay mode the two ends of a flow are the caller and the endpoint itself.
 * Balancer and agent read a packet's header to find its flow and forward the
 * bytes unchanged.
 */
#ifndef SWIFTARCH_RELAY_WIRE_PACKET_H
#define SWIFTARCH_RELAY_WIRE_PACKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"

/* Size in bytes of the largest packet, with its header. */
#define RELAY_PACKET_MAX 1234

/** enum relay_packet_flag - TCP-like flags of a packet */
enum relay_packet_flag {
    RELAY_SYN = 1 << 0, /* opens the flow */
    RELAY_ACK = 1 << 1, /* the acknowledgement number is valid */
    RELAY_FIN = 1 << 2, /* the sender sends no more data */
    RELAY_RST = 1 << 3, /* ends the flow at once */
    RELAY_BOUNCED =
        1 << 4, /* returned by an endpoint that couldn't accept it */
};

/**
 * struct relay_packet - decoded header of a packet
 * @from: address of the sender
 * @to: address of the receiver
 * @seq: sequence number
 * @ack: acknowledgement number; in a SYN the number of earlier copies
 * @len: bytes of data after the header
 * @flags: enum relay_packet_flag
 * @age_ms: of a SYN, time since its first copy was sent
 * @caller_timeout_ms: of a SYN, how long its caller still waits for an answer
 * @bytes: the whole packet; not owned
 * @size: its size in bytes
 */
struct relay_packet {
    struct addr from;
    struct addr to;
    uint32_t seq;
    uint32_t ack;
    uint16_t len;
    uint8_t flags;
    uint16_t age_ms;
    uint16_t caller_timeout_ms;
    const uint8_t *bytes;
    size_t size;
};

/**
 * struct relay_flow - key of a flow, the same for both directions
 * @caller: the caller's address
 * @service: the address that the caller connected to
 */
struct relay_flow {
    struct addr caller;
    struct addr service;
};

/** relay_flow_equal() - whether both keys name the same flow */
bool
relay_flow_equal(struct relay_flow a, struct relay_flow b);

/** relay_flow_hash() - hash of a flow, the same on each host and in each run
 */
uint64_t
relay_flow_hash(struct relay_flow flow);

/** relay_flow_from_caller() - flow of a packet that a caller sent */
struct relay_flow
relay_flow_from_caller(const struct relay_packet *packet);

/** relay_flow_from_endpoint() - flow of a packet that an endpoint sent */
struct relay_flow
relay_flow_from_endpoint(const struct relay_packet *packet);

/** relay_packet_is_syn() - whether it is a caller's SYN, the first or a copy
 */
bool
relay_packet_is_syn(const struct relay_packet *packet);

/** relay_packet_is_syn_ack() - whether it is an endpoint's SYN+ACK */
bool
relay_packet_is_syn_ack(const struct relay_packet *packet);

#endif
