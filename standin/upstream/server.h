/**
 * DOC: server - the HTTP side of the stand-in upstream
 *
 * Holds `slots` requests at once for a log-normal time each, lets `queue`
 * more wait, and sheds the rest with 503 and Retry-After before anything
 * of them ran. A closed connection cancels its request.
 */
#ifndef SWIFTARCH_STANDIN_UPSTREAM_SERVER_H
#define SWIFTARCH_STANDIN_UPSTREAM_SERVER_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "standin/upstream/config.h"

/**
 * struct server - the listener and its requests
 * @config: settings
 * @base: event loop
 * @listener: HTTP
 * @udp: echo on the same port
 * @random: service times and fault draws
 * @waiting: requests without a slot yet
 * @open: connections
 * @busy: slots in use
 */
struct server {
    const struct config *config;
    struct event_base *base;
    struct evconnlistener *listener;
    struct event *udp;
    GRand *random;
    GQueue waiting;
    GQueue open;
    unsigned busy;
};

/** server_init() - listen; 0 or negative errno */
int
server_init(struct server *server, const struct config *config,
            struct event_base *base);

/** server_finish() - close everything */
void
server_finish(struct server *server);

/** server_is_idle() - nothing runs, waits or is being sent */
bool
server_is_idle(const struct server *server);

#endif
