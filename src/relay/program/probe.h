/**
 * DOC: probe - checks by a TCP connection whether a process is listening
 *
 * A refused connection proves that the endpoint's process is gone, and its
 * flows with it. An accepted one is closed at once.
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_PROBE_H
#define SWIFTARCH_RELAY_PROGRAM_PROBE_H

#include <event2/event.h>
#include <stdbool.h>

#include "base/addr.h"

struct probe;

/** struct probe_ops - callbacks into the owner */
struct probe_ops {
    /** @ended: the probe ended; @refused: no process is listening. Otherwise
     * one is, or the probe was inconclusive */
    void (*ended)(struct probe *probe, bool refused);
};

/**
 * struct probe - probe of one address
 * @ops: callbacks into the owner
 * @base: event loop
 * @peer: address to connect to
 * @fd: socket of the probe in progress, -1 for none
 * @event: write event with the timeout
 */
struct probe {
    const struct probe_ops *ops;
    struct event_base *base;
    struct addr peer;
    int fd;
    struct event *event;
};

/** probe_init() - initialize for @peer; no probe is started */
void
probe_init(struct probe *probe, const struct probe_ops *ops,
           struct event_base *base, struct addr peer);

/** probe_finish() - cancel the probe in progress without a callback */
void
probe_finish(struct probe *probe);

/** probe_start() - start a probe unless one is in progress; without a free
 * socket nothing happens */
void
probe_start(struct probe *probe);

#endif
