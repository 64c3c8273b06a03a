/**
 * DOC: extension - an additional controller run by the control thread
 *
 * A program sets blackboard.extension before control_start(). All callbacks
 * run on the control thread. Messages may go to any process of the site, also
 * in other cells, and are sealed like all control messages. Small ones are
 * sent in a datagram with a zero byte before the body (no member message
 * begins with it), others in a frame.
 */
#ifndef SWIFTARCH_CONTROL_EXTENSION_H
#define SWIFTARCH_CONTROL_EXTENSION_H

#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"

struct control;
struct extension;

/** struct extension_ops - callbacks of the control thread */
struct extension_ops {
    /** @on_start: called once, before any other; @extension may send from
     * now on; @self is the control address of this process */
    void (*on_start)(struct extension *extension, struct addr self);
    /** @on_step: periodic work; returns the time of the next call */
    uint64_t (*on_step)(struct extension *extension, uint64_t now_us,
                        uint64_t wall_ms);
    /** @on_message: handle a peer's message; on_step() follows */
    void (*on_message)(struct extension *extension, const uint8_t *body,
                       size_t len, uint64_t now_us);
};

/**
 * struct extension - base of a controller, embedded as its first member
 * @ops: set by the owner
 * @control: set by the control thread, first argument of @send
 * @send: set by the control thread; a message that can't be sent is dropped
 */
struct extension {
    const struct extension_ops *ops;
    struct control *control;
    void (*send)(struct control *control, struct addr to, const uint8_t *body,
                 size_t len);
};

#endif
