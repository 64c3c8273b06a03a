/**
 * DOC: ingress - packets that balancers and other agents hand us
 *
 * Reads the packet socket in bounded batches, checks each packet again
 * (form, checksums, that it is for the service served here) and carries
 * out what the flow core decides. Also sends: forwarded packets, resets, and
 * the stack's answers, which go to the fabric in bare GUE.
 */
#ifndef SWIFTARCH_AGENT_INGRESS_H
#define SWIFTARCH_AGENT_INGRESS_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/error.h"
#include "packet/packet.h"

struct agent;

#define INGRESS_BATCH 64
#define INGRESS_BATCHES_MAX 8
#define INGRESS_LINGER_US (10 * UINT64_C(1000000))

/**
 * struct ingress - packet side of the agent
 * @fd: UDP socket of settings.data
 * @event: readable
 * @fabric: where answers go
 * @live: flows open in the stack, a set of struct flow_key
 * @lingering: flows closed but kept known for late segments
 * @drops: counter handles by reason
 * @delivered: counter handle
 * @forwarded: counter handle
 * @resets: counter handle
 * @sent: counter handle
 */
struct ingress {
    int fd;
    struct event *event;
    struct sockaddr_in fabric;
    GHashTable *live;
    GQueue lingering;
    int drops[PACKET_DROP_COUNT];
    int delivered;
    int forwarded;
    int resets;
    int sent;
};

/** ingress_register() - register the counters; before any thread */
void
ingress_register(struct agent *agent);

/** ingress_init() - bind the socket and read it from the event loop */
int
ingress_init(struct agent *agent, struct error *err);

/** ingress_finish() - close the socket */
void
ingress_finish(struct agent *agent);

/** ingress_flow() - the stack opened or ended a flow */
void
ingress_flow(struct agent *agent, struct addr caller, struct addr local,
             bool open);

/** ingress_tick() - forget flows that lingered long enough */
void
ingress_tick(struct agent *agent);

/** ingress_forget() - drop the flow of @key from the flow core */
void
ingress_forget(struct agent *agent, const struct packet *key);

/** egress_output() - send an IPv4 packet towards its caller; any thread */
void
egress_output(struct agent *agent, const uint8_t *buf, size_t len);

/** egress_output_untracked() - the same for a packet that belongs to no flow
 * of ours: a handshake with the same caller must not take its sequence number
 * for its own */
void
egress_output_untracked(struct agent *agent, const uint8_t *buf, size_t len);

#endif
