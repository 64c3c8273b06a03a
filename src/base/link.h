/**
 * DOC: link - authenticated TCP frames between our own processes
 *
 * base/link_wire.h describes the frames. A hub listens on one address and
 * opens connections to peers when something is sent to them. All calls come
 * from the thread of the hub's event base. Not for packets; for control,
 * request passing and "show".
 */
#ifndef SWIFTARCH_BASE_LINK_H
#define SWIFTARCH_BASE_LINK_H

#include <event2/event.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/auth.h"
#include "base/error.h"

#define LINK_FRAME_MAX (2u << 20)
#define LINK_QUEUE_MAX (8u << 20)
#define LINK_CONNECT_TIMEOUT_MS 500

struct link_handler;
struct link_conn;

/** struct link_ops - what a hub's owner is told */
struct link_ops {
    /**
     * @on_frame: a frame came. @conn may be answered with link_reply()
     * until on_frame returns or, when kept, until on_disconnect names it.
     */
    void (*on_frame)(struct link_handler *handler, struct link_conn *conn,
                     uint64_t sender, uint16_t type, const uint8_t *body,
                     size_t len);
    /**
     * @on_disconnect: a connection ended. @peer is its remote address (for one
     * we outbound: as given to link_send()), @reason a negative errno value
     * (-ECONNREFUSED proves that the process is gone).
     */
    void (*on_disconnect)(struct link_handler *handler, struct link_conn *conn,
                          struct addr peer, int reason);
};

/** struct link_handler - owner of a hub; the vtable comes first */
struct link_handler {
    const struct link_ops *ops;
};

/**
 * struct link_hub - a listener and the connections of one process
 * @base: event base
 * @auth: site key
 * @handler: owner
 * @listener: listening socket, or NULL
 * @conns: all connections
 * @outbound: those that we outbound, by address
 * @sent_bytes: bytes of frames sent, overhead included
 * @received_bytes: bytes of frames that were accepted
 * @rejected: connections ended for bad frames or too many strangers
 * @unauthenticated: accepted connections that haven't shown the site key yet
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

/** link_hub_init() - listen on @listen (port 0: the kernel picks one;
 * address and port 0: none, a client only) */
int
link_hub_init(struct link_hub *hub, struct event_base *base, struct auth *auth,
              struct link_handler *handler, struct addr listen,
              struct error *err);

/** link_hub_finish() - close everything; no callback is made */
void
link_hub_finish(struct link_hub *hub);

/** link_hub_addr() - address listened on (the port the kernel gave) */
struct addr
link_hub_addr(const struct link_hub *hub);

/**
 * link_send() - send a frame to the process that listens on @to
 *
 * Return: 0 (queued) or -ENOBUFS, -EMSGSIZE, -ENOMEM, or what connect(2)
 * said at once (-ENETUNREACH); then nothing was queued. A connection that
 * fails later is told by on_disconnect; what was queued on it is lost.
 */
int
link_send(struct link_hub *hub, struct addr to, uint16_t type,
          const uint8_t *body, size_t len);

/** link_reply() - send a frame back on @conn */
int
link_reply(struct link_hub *hub, struct link_conn *conn, uint16_t type,
           const uint8_t *body, size_t len);

/** link_hub_queued() - bytes that still wait to be sent */
size_t
link_hub_queued(const struct link_hub *hub);

#endif
