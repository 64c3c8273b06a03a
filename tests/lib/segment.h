/**
 * DOC: segment - TCP segments as callers send them
 */
#ifndef SWIFTARCH_TESTS_LIB_SEGMENT_H
#define SWIFTARCH_TESTS_LIB_SEGMENT_H

#include "packet/packet.h"

/** segment_tcp() - write an IPv4 packet with the addresses, ports, numbers
 * and flags of @packet, checksums right; returns its length, at most
 * PACKET_MAX */
size_t
segment_tcp(uint8_t *buf, const struct packet *packet, const char *payload);

#endif
