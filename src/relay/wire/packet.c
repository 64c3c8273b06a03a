#include "relay/wire/packet.h"

#include "base/hash.h"

bool
relay_flow_equal(struct relay_flow a, struct relay_flow b)
{
    return addr_equal(a.caller, b.caller) && addr_equal(a.service, b.service);
}

uint64_t
relay_flow_hash(struct relay_flow flow)
{
    uint64_t caller = (uint64_t)flow.caller.ip << 16 | flow.caller.port;
    uint64_t service = (uint64_t)flow.service.ip << 16 | flow.service.port;

    return hash_pair(caller, service);
}

struct relay_flow
relay_flow_from_caller(const struct relay_packet *packet)
{
    return (struct relay_flow){packet->from, packet->to};
}

struct relay_flow
relay_flow_from_endpoint(const struct relay_packet *packet)
{
    return (struct relay_flow){packet->to, packet->from};
}

bool
relay_packet_is_syn(const struct relay_packet *packet)
{
    return (packet->flags & RELAY_SYN) != 0 &&
           (packet->flags & RELAY_ACK) == 0;
}

bool
relay_packet_is_syn_ack(const struct relay_packet *packet)
{
    return (packet->flags & RELAY_SYN) != 0 &&
           (packet->flags & RELAY_ACK) != 0;
}
