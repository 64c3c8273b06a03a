/**
 * DOC: packet - a packet of a relayed flow, as the decisions see it
 *
 * In relay mode the two ends of a flow are the caller and the endpoint
 * itself. Balancer and agent read the head of a packet to find its flow and
 * hand on the bytes unchanged.
 */
#ifndef SWIFTARCH_RELAY_WIRE_PACKET_H
#define SWIFTARCH_RELAY_WIRE_PACKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"

/* Head and data of the largest packet that a flow carries, bytes. */
#define RELAY_PACKET_MAX 1234

/** enum relay_packet_flag - what a packet says about its flow */
enum relay_packet_flag {
    RELAY_SYN = 1 << 0,     /* opens the flow */
    RELAY_ACK = 1 << 1,     /* the acknowledgement number counts */
    RELAY_FIN = 1 << 2,     /* its sender sends no more */
    RELAY_RST = 1 << 3,     /* the flow is over */
    RELAY_BOUNCED = 1 << 4, /* an endpoint could not take the packet */
};

/**
 * struct relay_packet - head of a packet, and where its bytes are
 * @from: sender's end
 * @to: the other end
 * @seq: sequence number
 * @ack: acknowledgement number; in a SYN how often it was sent before
 * @len: bytes of data behind the head
 * @flags: enum relay_packet_flag
 * @age_ms: of a SYN, how long ago its first copy was sent
 * @caller_timeout_ms: of a SYN, how long its caller waits for an answer to it
 * @bytes: the whole packet, owned by the caller of a decision
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
 * struct relay_flow - names a flow in both directions
 * @caller: the caller's end
 * @service: address and port that the caller opened
 */
struct relay_flow {
    struct addr caller;
    struct addr service;
};

/** relay_flow_equal() - whether both name the same flow */
bool
relay_flow_equal(struct relay_flow a, struct relay_flow b);

/** relay_flow_hash() - the same on each host and in each run */
uint64_t
relay_flow_hash(struct relay_flow flow);

/** relay_flow_from_caller() - flow of a packet that a caller sent */
struct relay_flow
relay_flow_from_caller(const struct relay_packet *packet);

/** relay_flow_from_endpoint() - flow of a packet that an endpoint sent */
struct relay_flow
relay_flow_from_endpoint(const struct relay_packet *packet);

/** relay_packet_is_syn() - a caller's SYN, the first or a copy */
bool
relay_packet_is_syn(const struct relay_packet *packet);

/** relay_packet_is_syn_ack() - an endpoint's SYN+ACK */
bool
relay_packet_is_syn_ack(const struct relay_packet *packet);

#endif
