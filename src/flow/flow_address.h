/**
 * DOC: flow_address - decides on packets by the kind of their destination
 *
 * Balancers and agents may have different configurations for a while. The
 * agent's own one decides:
 *
 * - current address of the service: flow_decide();
 * - retired address of the service: packets of open flows are delivered or
 *   forwarded, but no flow is opened. The caller is reset when no agent on
 *   the list has the flow; a datagram is dropped;
 * - expired address: as a retired one, but callers are not reset, since a
 *   newer configuration may have given the address to another service;
 * - any other address: the packet is forwarded along its list and dropped at
 *   the end, never delivered or reset, since a process with a newer
 *   configuration may serve it.
 */
#ifndef SWIFTARCH_FLOW_FLOW_ADDRESS_H
#define SWIFTARCH_FLOW_FLOW_ADDRESS_H

#include "flow/flow.h"

/** enum flow_address - kind of a destination address for the service served */
enum flow_address {
    FLOW_ADDRESS_NONE,
    FLOW_ADDRESS_CURRENT,
    FLOW_ADDRESS_RETIRED,
    FLOW_ADDRESS_EXPIRED
};

/** flow_address_decide() - decide on a packet to an address of kind @address
 */
struct flow_decision
flow_address_decide(struct flow_table *table, enum flow_address address,
                    const struct packet *packet, const struct gue *gue,
                    uint64_t now_us);

#endif
