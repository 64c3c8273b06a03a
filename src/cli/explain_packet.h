/**
 * DOC: explain_packet - explains how a packet would be routed
 *
 * Builds the packet and passes it to the balancer's routing code.
 */
#ifndef SWIFTARCH_CLI_EXPLAIN_PACKET_H
#define SWIFTARCH_CLI_EXPLAIN_PACKET_H

#include <glib.h>
#include <stdbool.h>

#include "base/addr.h"
#include "cli/snapshot.h"

/**
 * struct packet_spec - a packet to explain
 * @proto: transport protocol
 * @src: address of the caller
 * @dst: address of the service
 * @is_syn: TCP: a SYN; otherwise an ACK of an open flow
 */
struct packet_spec {
    enum service_config_proto proto;
    struct addr src;
    struct addr dst;
    bool is_syn;
};

/**
 * packet_spec_parse() - parse "tcp|udp SOURCE DESTINATION [syn|ack]"
 *
 * Return: 0 or -EINVAL.
 */
int
packet_spec_parse(const char *input, struct packet_spec *spec);

/**
 * explain_packet() - append the explanation to @out
 *
 * Return: 0, -ENOMEM or -E2BIG.
 */
int
explain_packet(const struct snapshot *snapshot, const struct packet_spec *spec,
               GString *out);

#endif
