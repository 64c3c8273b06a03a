/**
 * DOC: gue - headers of Generic UDP Encapsulation between hosts
 *
 * Fabric to balancer and agent to fabric: the bare 4-byte GUE header
 * (version 0, Hlen 0, protocol 4). Balancer to agent and agent to agent: a
 * header with private data (flag P), which is the hop list: flags (1),
 * index (1), count (1), layout tag (1), service id (4), and for each hop its
 * member id (8), address (4) and port (2), padded to 4 bytes.
 */
#ifndef SWIFTARCH_PACKET_GUE_H
#define SWIFTARCH_PACKET_GUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"

#define GUE_HOPS_MAX 6
#define GUE_HEADER_MAX 116 /* bytes */

/** Flags of struct gue */
#define GUE_OPEN 0x01     /* the receiver may open a flow with this packet */
#define GUE_SUSPECTS 0x02 /* a hop is suspected to be dead */

/** Flags that only agents set and read (flow/flow.h) */
#define GUE_AGENT_FLAGS 0x3c

/**
 * struct gue_hop - agent that may own the flow
 * @member: its member id
 * @data: its UDP address for packets
 */
struct gue_hop {
    uint64_t member;
    struct addr data;
};

/**
 * struct gue - private data of a header
 * @service: service id found by the balancer, verified by the agent
 * @flags: GUE_*
 * @index: hop that the packet is sent to
 * @count: number of @hops, 0 for a bare header
 * @hops: candidate owners, most likely first
 */
struct gue {
    uint32_t service;
    uint8_t flags;
    uint8_t index;
    uint8_t count;
    struct gue_hop hops[GUE_HOPS_MAX];
};

/**
 * gue_encode() - write the header of an inner packet
 * @gue: hop list, or NULL for a bare header
 * @buf: result, GUE_HEADER_MAX bytes
 *
 * Return: header length in bytes.
 */
size_t
gue_encode(const struct gue *gue, uint8_t *buf);

/**
 * gue_decode() - parse a header
 * @gue: hop list; count is 0 for a bare header and after an error
 *
 * Return: length of the header, which the inner packet follows, or -EBADMSG.
 */
int
gue_decode(const uint8_t *buf, size_t len, struct gue *gue);

#endif
