/**
 * DOC: peers - messages between the agents of one service
 *
 * peer.proto messages in link frames of type PEERS_FRAME. An agent listens
 * on TCP at the address and port of its packet socket, so whoever knows a
 * member's data address reaches it.
 */
#ifndef SWIFTARCH_AGENT_PEERS_H
#define SWIFTARCH_AGENT_PEERS_H

#include <glib.h>
#include <stdint.h>

#include "base/auth.h"
#include "base/link.h"
#include "request/engine.h"

struct agent;

#define PEERS_FRAME 0x200

/**
 * struct peers - links with the other agents
 * @handler: what the hub calls; first member
 * @agent: the program
 * @hub: the links
 * @auth: keys and sequences of this hub
 * @senders: member id of each incoming connection
 * @targets: member id of each address sent to
 */
struct peers {
    struct link_handler handler;
    struct agent *agent;
    struct link_hub hub;
    struct auth auth;
    GHashTable *senders;
    GHashTable *targets;
    bool listening;
};

/** peers_init() - listen for the other agents */
int
peers_init(struct agent *agent, struct error *err);

/** peers_finish() - close the links */
void
peers_finish(struct agent *agent);

/**
 * peers_send() - send a message to a member
 * @bytes: request or answer that goes with it, or NULL
 * @traceparent: trace context of a RUN, or ""
 *
 * Return: 0, -ENOENT when the member isn't known, or as link_send().
 */
int
peers_send(struct agent *agent, uint64_t member,
           const struct engine_peer_msg *msg, const GByteArray *bytes,
           const char *traceparent);

/** peers_send_pins() - send the pins that are due; about once a second */
void
peers_send_pins(struct agent *agent);

#endif
