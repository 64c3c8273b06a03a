/**
 * DOC: gate - which packets the flow core is asked about, and on what terms
 *
 * Balancers and agents have different texts for a while. What a packet may
 * do here is told by this agent's own text:
 *
 * - an address of the service served here: the flow core decides;
 * - an address that the service had before: packets of open flows are taken
 *   or passed on as ever, but no flow is opened. The caller learns that by a
 *   reset, once nobody on the list knows the flow; a datagram is dropped;
 * - the same, but its time is over: another service may have been given it
 *   by a text that hasn't come here yet, so no caller is told anything;
 * - anything else: another process knows better, perhaps. The packet goes on
 *   along its list, and is dropped at the end. It is never taken, nor is its
 *   caller told anything.
 */
#ifndef SWIFTARCH_FLOW_FLOW_ADDRESS_H
#define SWIFTARCH_FLOW_FLOW_ADDRESS_H

#include "flow/flow.h"

/** enum flow_address - what a packet's address is to the service served */
enum flow_address {
    FLOW_ADDRESS_NONE,
    FLOW_ADDRESS_CURRENT,
    FLOW_ADDRESS_RETIRED,
    FLOW_ADDRESS_EXPIRED
};

/** flow_address_decide() - flow_decide() for a packet to such an address */
struct flow_decision
flow_address_decide(struct flow_table *table, enum flow_address address,
                    const struct packet *packet, const struct gue *gue,
                    uint64_t now_us);

#endif
