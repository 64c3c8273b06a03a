/**
 * DOC: dispatch_local - a request runs where its flow ends (hash only)
 *
 * Peers get requests only when no local upstream serves them.
 */
#include "request/dispatch.h"

const struct dispatch_ops dispatch_local = {
    .name = "local",
    .place = dispatch_default,
};
