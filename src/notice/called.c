#include "notice/called.h"

#include <errno.h>

int
called_find(const struct called *called, struct addr address)
{
    int i;

    for (i = 0; i < CALLED_MAX; i++) {
        if (called->flows[i] > 0 && addr_equal(called->items[i], address)) {
            return i;
        }
    }
    return -ENOENT;
}

int
called_place(struct called *called, struct addr address)
{
    int at = called_find(called, address);
    int i;

    for (i = 0; at < 0 && i < CALLED_MAX; i++) {
        if (called->flows[i] == 0) {
            called->items[i] = address;
            at = i;
        }
    }
    return at < 0 ? -ENOSPC : at;
}
