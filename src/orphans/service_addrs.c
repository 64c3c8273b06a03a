#include "orphans/service_addrs.h"

#include <errno.h>

int
service_addrs_find(const struct service_addrs *service_addrs,
                   struct addr address)
{
    int i;

    for (i = 0; i < SERVICE_ADDRS_MAX; i++) {
        if (service_addrs->flows[i] > 0 &&
            addr_equal(service_addrs->items[i], address)) {
            return i;
        }
    }
    return -ENOENT;
}

int
service_addrs_add(struct service_addrs *service_addrs, struct addr address)
{
    int at = service_addrs_find(service_addrs, address);
    int i;

    for (i = 0; at < 0 && i < SERVICE_ADDRS_MAX; i++) {
        if (service_addrs->flows[i] == 0) {
            service_addrs->items[i] = address;
            at = i;
        }
    }
    return at < 0 ? -ENOSPC : at;
}
