/**
 * DOC: dispatch_local - runs requests at the agent of their flow
 *
 * Peers get requests only when the local upstream doesn't serve them.
 */
#include "request/dispatch.h"

const struct dispatch_ops dispatch_local = {
    .name = "local",
    .place = dispatch_default,
};
