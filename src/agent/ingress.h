/**
 * DOC: ingress - packets received from balancers and other agents
 *
 * Reads the packet socket in bounded batches, validates each packet (format,
 * checksums, address of the local service) and executes the flow table's
 * decision. Also sends packets: to the next agent of a hop list, and to the
 * fabric (resets and the stack's segments, in GUE without a hop list).
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

#define INGRESS_BATCH 64      /* packets a system call */
#define INGRESS_BATCHES_MAX 8 /* batches an event */
#define INGRESS_LINGER_US (10 * UINT64_C(1000000))

/**
 * struct ingress - packet socket and counters
 * @fd: UDP socket bound to settings.data
 * @event: read event of @fd
 * @fabric: address that packets to callers are sent to
 * @live: flows open in the stack, a set of struct flow_key
 * @lingering: closed flows that stay in the flow table for late segments,
 *             oldest first
 * @drops: counter handles of dropped packets, by reason
 * @delivered: counter handle, packets for the local upstream
 * @forwarded: counter handle, packets forwarded to another agent
 * @resets: counter handle, resets sent
 * @sent: counter handle, packets sent to the fabric
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

/** ingress_register() - register the counters; called before any thread starts
 */
void
ingress_register(struct agent *agent);

/** ingress_init() - bind the socket and add it to the event loop; 0 or a
 * negative errno with @err filled */
int
ingress_init(struct agent *agent, struct error *err);

/** ingress_finish() - close the socket and free all memory */
void
ingress_finish(struct agent *agent);

/** ingress_flow() - record that the stack opened or closed a flow; a closed
 * one lingers for INGRESS_LINGER_US */
void
ingress_flow(struct agent *agent, struct addr caller, struct addr local,
             bool open);

/** ingress_tick() - remove expired lingering flows; called once a second */
void
ingress_tick(struct agent *agent);

/** ingress_forget() - remove the flow of @key from the flow table */
void
ingress_forget(struct agent *agent, const struct packet *key);

/** egress_output() - send an IPv4 packet to its caller through the fabric; any
 * thread */
void
egress_output(struct agent *agent, const uint8_t *buf, size_t len);

/** egress_output_untracked() - as egress_output(), for a packet of another
 * agent's flow: its sequence number must not be recorded for a half-open flow
 * of the same caller */
void
egress_output_untracked(struct agent *agent, const uint8_t *buf, size_t len);

#endif
