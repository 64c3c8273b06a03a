#include "relay/steer/homes.h"

#include "base/hash.h"

uint32_t
homes_key(const char *region)
{
    return hash_service(region);
}

bool
homes_add(struct homes *homes, uint32_t region)
{
    if (homes->count > 0 && homes_allow(homes, region)) {
        return true;
    }
    if (homes->count == HOMES_MAX) {
        return false;
    }
    homes->regions[homes->count++] = region;
    return true;
}

bool
homes_allow(const struct homes *homes, uint32_t region)
{
    for (unsigned i = 0; i < homes->count; i++) {
        if (homes->regions[i] == region) {
            return true;
        }
    }
    return homes->count == 0;
}

bool
regions_differ(const struct regions *regions)
{
    for (unsigned i = 1; i < regions->count; i++) {
        if (regions->items[i].region != regions->items[0].region) {
            return true;
        }
    }
    return false;
}

uint32_t
regions_find(const struct regions *regions, uint32_t data_centre)
{
    for (unsigned i = 0; i < regions->count; i++) {
        if (regions->items[i].data_centre == data_centre) {
            return regions->items[i].region;
        }
    }
    return 0;
}
