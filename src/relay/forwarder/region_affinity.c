#include "relay/forwarder/region_affinity.h"

#include "base/hash.h"

uint32_t
region_key(const char *region)
{
    return hash_service(region);
}

bool
region_affinity_add(struct region_affinity *region_affinity, uint32_t region)
{
    if (region_affinity->count > 0 &&
        region_affinity_allows(region_affinity, region)) {
        return true;
    }
    if (region_affinity->count == REGION_AFFINITY_MAX) {
        return false;
    }
    region_affinity->regions[region_affinity->count++] = region;
    return true;
}

bool
region_affinity_allows(const struct region_affinity *region_affinity,
                       uint32_t region)
{
    for (unsigned i = 0; i < region_affinity->count; i++) {
        if (region_affinity->regions[i] == region) {
            return true;
        }
    }
    return region_affinity->count == 0;
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
