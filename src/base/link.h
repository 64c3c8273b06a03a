/**
 * DOC: link - authenticated frames over TCP between the project's processes
 *
 * A hub listens on one address and opens a connection to a peer when a frame
 * is sent to it. Links carry control messages, requests and "show", but no
 * packets. base/link_wire.h describes the frames. All callbacks run in the
 * thread of the hub's event base.
 */
#ifndef SWIFTARCH_BASE_LINK_H
#define SWIFTARCH_BASE_LINK_H

#include <event2/event.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/auth.h"
#include "base/error.h"

#define LINK_FRAME_MAX (2u << 20) /* bytes of a frame */
#define LINK_QUEUE_MAX (8u << 20) /* unsent bytes per connection */
#define LINK_CONNECT_TIMEOUT_MS 500

struct link_handler;
struct link_conn;

/** struct link_ops - callbacks of a hub */
struct link_ops {
    /**
     * @on_frame: a frame was received. @conn is valid for link_reply() until
     * @on_disconnect is called for it.
     */
    void (*on_frame)(struct link_handler *handler, struct link_conn *conn,
                     uint64_t sender, uint16_t type, const uint8_t *body,
                     size_t len);
    /**
     * @on_disconnect: a connection was closed. @peer is its remote address
     * (of an outbound one: as passed to link_send()), @reason a negative errno
     * value; -ECONNREFUSED means that no process listens there.
     */
    void (*on_disconnect)(struct link_handler *handler, struct link_conn *conn,
                          struct addr peer, int reason);
};

/** struct link_handler - owner of a hub, embedded as first member */
struct link_handler {
    const struct link_ops *ops;
};

/**
 * struct link_hub - a listener and the connections of one process
 * @base: event base
 * @auth: site key and own member id
 * @handler: receiver of the callbacks
 * @listener: listening socket, or NULL
 * @conns: all connections
 * @outbound: connections opened by this hub, by remote address
 * @sent_bytes: bytes of frames sent, with overhead
 * @received_bytes: bytes of frames accepted, with overhead
 * @rejected: connections closed for an invalid frame or above the limit of
 *            unauthenticated ones
 * @unauthenticated: inbound connections without a valid frame so far
 */
struct link_hub {
    struct event_base *base;
    struct auth *auth;
    struct link_handler *handler;
    struct evconnlistener *listener;
    struct link_conn *conns;
    struct _GHashTable *outbound;
    uint64_t sent_bytes;
    uint64_t received_bytes;
    uint64_t rejected;
    unsigned unauthenticated;
};

/** link_hub_init() - listen on @listen; port 0 selects a free port, address
 * and port 0 create a hub without a listener */
int
link_hub_init(struct link_hub *hub, struct event_base *base, struct auth *auth,
              struct link_handler *handler, struct addr listen,
              struct error *err);

/** link_hub_finish() - close all sockets without callbacks */
void
link_hub_finish(struct link_hub *hub);

/** link_hub_addr() - listening address with the actual port */
struct addr
link_hub_addr(const struct link_hub *hub);

/**
 * link_send() - send a frame to the process that listens on @to
 *
 * Return: 0 if queued, -ENOBUFS (queue full), -EMSGSIZE, -ENOMEM, or an
 * immediate error of connect(2) such as -ENETUNREACH. When the connection
 * fails later, its queued frames are lost and on_disconnect is called.
 */
int
link_send(struct link_hub *hub, struct addr to, uint16_t type,
          const uint8_t *body, size_t len);

/** link_reply() - send a frame on @conn; errors as link_send() */
int
link_reply(struct link_hub *hub, struct link_conn *conn, uint16_t type,
           const uint8_t *body, size_t len);

/** link_hub_queued() - unsent bytes of all connections */
size_t
link_hub_queued(const struct link_hub *hub);

#endif
