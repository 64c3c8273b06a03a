/**
 * DOC: segment - TCP segments of callers for tests
 */
#ifndef SWIFTARCH_TESTS_LIB_SEGMENT_H
#define SWIFTARCH_TESTS_LIB_SEGMENT_H

#include "packet/packet.h"

/** segment_tcp() - write an IPv4 packet with the addresses, ports, sequence
 * numbers and flags of @packet and valid checksums; returns its length, at
 * most PACKET_MAX */
size_t
segment_tcp(uint8_t *buf, const struct packet *packet, const char *payload);

#endif
