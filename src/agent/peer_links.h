/**
 * DOC: peer_links - messages between the agents of one service
 *
 * Sends peer.proto messages in link frames of type PEER_LINKS_FRAME. An agent
 * listens on TCP at the address and port of its packet socket, so a member's
 * data address is enough to connect to it.
 */
#ifndef SWIFTARCH_AGENT_PEER_LINKS_H
#define SWIFTARCH_AGENT_PEER_LINKS_H

#include <glib.h>
#include <stdint.h>

#include "base/auth.h"
#include "base/link.h"
#include "orphans/message.h"
#include "request/engine.h"

struct agent;

#define PEER_LINKS_FRAME 0x200

/**
 * struct peer_links - links with the other agents
 * @handler: callbacks of the hub; first member
 * @agent: agent that owns the links
 * @hub: listener and connections
 * @auth: authentication state of the hub
 * @senders: member id by incoming connection
 * @targets: struct target by address, for outgoing connections
 * @listening: @hub is initialised
 */
struct peer_links {
    struct link_handler handler;
    struct agent *agent;
    struct link_hub hub;
    struct auth auth;
    GHashTable *senders;
    GHashTable *targets;
    bool listening;
};

/** peer_links_init() - listen on settings.data; 0 or a negative errno with
 * @err filled */
int
peer_links_init(struct agent *agent, struct error *err);

/** peer_links_finish() - close all connections and free the tables */
void
peer_links_finish(struct agent *agent);

/**
 * peer_links_send() - send a message to a member
 * @bytes: HTTP request or response of the message, or NULL
 * @traceparent: trace context of a RUN, or ""
 *
 * Return: 0, -ENOENT when the view has no such member, or an error of
 * link_send().
 */
int
peer_links_send(struct agent *agent, uint64_t member,
                const struct engine_peer_msg *msg, const GByteArray *bytes,
                const char *traceparent);

/** peer_links_send_orphans() - send a message of src/orphans; returns as
 * peer_links_send() */
int
peer_links_send_orphans(struct agent *agent, uint64_t member,
                        const struct orphan_message *message);

/** peer_links_send_pins() - send due pins to their agents; called once a
 * second */
void
peer_links_send_pins(struct agent *agent);

#endif
