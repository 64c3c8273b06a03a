/**
 * DOC: datagram - UDP flows relayed to the local upstream
 *
 * Each flow has its own socket connected to the upstream, so that a reply can
 * be matched to its caller. The number of flows is limited, and idle flows
 * expire.
 */
#ifndef SWIFTARCH_AGENT_DATAGRAM_H
#define SWIFTARCH_AGENT_DATAGRAM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "packet/packet.h"

struct agent;

#define DATAGRAM_IDLE_US (60 * UINT64_C(1000000))

/**
 * struct datagrams - open UDP flows
 * @flows: set of struct datagram_flow, by address pair
 */
struct datagrams {
    GHashTable *flows;
};

/** datagrams_init() - start without flows */
void
datagrams_init(struct datagrams *datagrams);

/** datagrams_finish() - close all flows and free the set */
void
datagrams_finish(struct datagrams *datagrams);

/** datagrams_may_open() - whether the service's connection limit allows
 * another flow */
bool
datagrams_may_open(const struct agent *agent);

/** datagrams_input() - relay a validated packet to the upstream; opens its
 * flow if needed */
void
datagrams_input(struct agent *agent, const struct packet *packet,
                const uint8_t *buf);

/** datagrams_tick() - close idle flows; called once a second */
void
datagrams_tick(struct agent *agent);

#endif
