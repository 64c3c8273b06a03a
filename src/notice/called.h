/**
 * DOC: called - the addresses that a service's flows were opened to
 *
 * More than one when the configuration gives a service another address:
 * flows to the former one go on. A flow names its address by the index
 * here.
 */
#ifndef SWIFTARCH_NOTICE_CALLED_H
#define SWIFTARCH_NOTICE_CALLED_H

#include <stddef.h>

#include "base/addr.h"

#define CALLED_MAX 8

/**
 * struct called - addresses with flows
 * @items: the addresses
 * @flows: flows of each; its place is free when there are none
 */
struct called {
    struct addr items[CALLED_MAX];
    size_t flows[CALLED_MAX];
};

/** called_find() - index of an address that has flows, or -ENOENT */
int
called_find(const struct called *called, struct addr address);

/** called_place() - index of an address, a free one if it has no flows
 * yet; or -ENOSPC */
int
called_place(struct called *called, struct addr address);

#endif
