/**
 * DOC: service_addrs - the addresses that a service's flows were opened to
 *
 * More than one when the configuration gives a service another address:
 * flows to the former one go on. A flow names its address by the index
 * here.
 */
#ifndef SWIFTARCH_ORPHANS_SERVICE_ADDRS_H
#define SWIFTARCH_ORPHANS_SERVICE_ADDRS_H

#include <stddef.h>

#include "base/addr.h"

#define SERVICE_ADDRS_MAX 8

/**
 * struct service_addrs - addresses with flows
 * @items: the addresses
 * @flows: flows of each; its place is free when there are none
 */
struct service_addrs {
    struct addr items[SERVICE_ADDRS_MAX];
    size_t flows[SERVICE_ADDRS_MAX];
};

/** service_addrs_find() - index of an address that has flows, or -ENOENT */
int
service_addrs_find(const struct service_addrs *service_addrs,
                   struct addr address);

/** service_addrs_add() - index of an address, a free one if it has no flows
 * yet; or -ENOSPC */
int
service_addrs_add(struct service_addrs *service_addrs, struct addr address);

#endif
