/**
 * DOC: explain_packet - what a packet would meet, by the balancer's own code
 */
#ifndef SWIFTARCH_CLI_EXPLAIN_PACKET_H
#define SWIFTARCH_CLI_EXPLAIN_PACKET_H

#include <glib.h>
#include <stdbool.h>

#include "base/addr.h"
#include "cli/snapshot.h"

/**
 * struct packet_spec - a packet in words
 * @proto: transport
 * @src: caller
 * @dst: service
 * @is_syn: TCP: the packet that is_syn a flow (SYN), else one of a flow
 */
struct packet_spec {
    enum service_config_proto proto;
    struct addr src;
    struct addr dst;
    bool is_syn;
};

/**
 * packet_spec_parse() - read "tcp|udp SOURCE DESTINATION [syn|ack]"
 *
 * Return: 0 or -EINVAL.
 */
int
packet_spec_parse(const char *words, struct packet_spec *spec);

/** explain_packet() - print to @out; 0 or -ENOMEM, -E2BIG */
int
explain_packet(const struct snapshot *snapshot, const struct packet_spec *spec,
               GString *out);

#endif
