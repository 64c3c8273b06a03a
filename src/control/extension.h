/**
 * DOC: extension - a controller that the control thread runs besides its own
 *
 * A program sets blackboard.extension before control_start(). All calls come
 * from the control thread. Messages go to any process of the site, also of
 * other cells, sealed like all control messages: small ones in a datagram,
 * in which a zero byte comes before the body (no member message begins with
 * it), others in a frame.
 */
#ifndef SWIFTARCH_CONTROL_EXTENSION_H
#define SWIFTARCH_CONTROL_EXTENSION_H

#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"

struct control;
struct extension;

/** struct extension_ops - what the control thread calls */
struct extension_ops {
    /** @on_start: @extension may send from now on; @self is the control
     * address of this process */
    void (*on_start)(struct extension *extension, struct addr self);
    /** @on_step: do what is due; returns when to be called next */
    uint64_t (*on_step)(struct extension *extension, uint64_t now_us,
                        uint64_t wall_ms);
    /** @on_message: a peer's message came; on_step follows */
    void (*on_message)(struct extension *extension, const uint8_t *body,
                       size_t len, uint64_t now_us);
};

/**
 * struct extension - a controller; the vtable comes first
 * @ops: set by the owner
 * @control: set by the control thread, first argument of @send
 * @send: set by the control thread; what can't be sent is lost
 */
struct extension {
    const struct extension_ops *ops;
    struct control *control;
    void (*send)(struct control *control, struct addr to, const uint8_t *body,
                 size_t len);
};

#endif
