/**
 * DOC: peer_links - messages between the agents of one service
 *
 * peer.proto messages in link frames of type PEER_LINKS_FRAME. An agent
 * listens on TCP at the address and port of its packet socket, so whoever
 * knows a member's data address reaches it.
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
 * @handler: what the hub calls; first member
 * @agent: the program
 * @hub: the links
 * @auth: keys and sequences of this hub
 * @senders: member id of each incoming connection
 * @targets: struct target of each address sent to
 * @listening: the hub was begun
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

/** peer_links_init() - listen for the other agents */
int
peer_links_init(struct agent *agent, struct error *err);

/** peer_links_finish() - close the links */
void
peer_links_finish(struct agent *agent);

/**
 * peer_links_send() - send a message to a member
 * @bytes: request or answer that goes with it, or NULL
 * @traceparent: trace context of a RUN, or ""
 *
 * Return: 0, -ENOENT when the member isn't known, or as link_send().
 */
int
peer_links_send(struct agent *agent, uint64_t member,
                const struct engine_peer_msg *msg, const GByteArray *bytes,
                const char *traceparent);

/** peer_links_send_orphans() - send a message of src/notice; as
 * peer_links_send() */
int
peer_links_send_orphans(struct agent *agent, uint64_t member,
                        const struct orphan_message *message);

/** peer_links_send_pins() - send the pins that are due; about once a second */
void
peer_links_send_pins(struct agent *agent);

#endif
