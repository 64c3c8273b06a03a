/**
 * DOC: datagram - UDP flows relayed to the local upstream
 *
 * Each flow has a socket of its own connected to the upstream, so that an
 * answer finds its caller; flows are bounded and expire when idle.
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
 * struct datagrams - the flows
 * @flows: set of struct datagram_flow by caller
 */
struct datagrams {
    GHashTable *flows;
};

/** datagrams_init() - begin without flows */
void
datagrams_init(struct datagrams *datagrams);

/** datagrams_finish() - close all flows */
void
datagrams_finish(struct datagrams *datagrams);

/** datagrams_may_open() - whether the limits allow another flow */
bool
datagrams_may_open(const struct agent *agent);

/** datagrams_input() - relay a checked packet of the service */
void
datagrams_input(struct agent *agent, const struct packet *packet,
                const uint8_t *buf);

/** datagrams_tick() - close what is idle; about once a second */
void
datagrams_tick(struct agent *agent);

#endif
