/**
 * DOC: probe - whether anybody listens at an address
 *
 * A connection that is refused proves that no process is there, and with it
 * that none of its flows are. One that is taken is closed again at once.
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_PROBE_H
#define SWIFTARCH_RELAY_PROGRAM_PROBE_H

#include <event2/event.h>
#include <stdbool.h>

#include "base/addr.h"

struct probe;

/** struct probe_ops - what the owner is told */
struct probe_ops {
    /** @ended: the probe ended; @refused: nobody listens there, otherwise
     * somebody does, or it can't be told */
    void (*ended)(struct probe *probe, bool refused);
};

/**
 * struct probe - one address; the vtable comes first
 * @ops: the owner
 * @base: where it waits
 * @peer: the address
 * @fd: the open connection, -1 for none
 * @event: tells how it ended
 */
struct probe {
    const struct probe_ops *ops;
    struct event_base *base;
    struct addr peer;
    int fd;
    struct event *event;
};

/** probe_init() - nothing is open */
void
probe_init(struct probe *probe, const struct probe_ops *ops,
           struct event_base *base, struct addr peer);

/** probe_finish() - end what is open; nothing is told */
void
probe_finish(struct probe *probe);

/** probe_start() - connect, unless that is being done */
void
probe_start(struct probe *probe);

#endif
