/**
 * DOC: service_addrs - table of the service addresses that flows were opened
 * to
 *
 * Flows refer to their address by its index. There is more than one address
 * when the configuration has changed and flows to the former one are open.
 */
#ifndef SWIFTARCH_ORPHANS_SERVICE_ADDRS_H
#define SWIFTARCH_ORPHANS_SERVICE_ADDRS_H

#include <stddef.h>

#include "base/addr.h"

#define SERVICE_ADDRS_MAX 8

/**
 * struct service_addrs - addresses with flows
 * @items: the addresses
 * @flows: number of flows of each; the slot is free when it is 0
 */
struct service_addrs {
    struct addr items[SERVICE_ADDRS_MAX];
    size_t flows[SERVICE_ADDRS_MAX];
};

/** service_addrs_find() - index of an address with flows, or -ENOENT */
int
service_addrs_find(const struct service_addrs *service_addrs,
                   struct addr address);

/** service_addrs_add() - index of an address, in a free slot if it has no
 * flows; -ENOSPC when all slots are in use */
int
service_addrs_add(struct service_addrs *service_addrs, struct addr address);

#endif
