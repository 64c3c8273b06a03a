/**
 * DOC: region_affinity - the regions in which a route's requests may be served
 */
#ifndef SWIFTARCH_RELAY_FORWARDER_REGION_AFFINITY_H
#define SWIFTARCH_RELAY_FORWARDER_REGION_AFFINITY_H

#include <stdbool.h>
#include <stdint.h>

/* Maximum regions of a route: twice the regions of the largest deployment
 * designed for. */
#define REGION_AFFINITY_MAX 16

/* Maximum data centres with a region. */
#define REGIONS_MAX 64

/**
 * struct region_affinity - regions allowed for a route
 * @regions: region_key() of each
 * @count: number of @regions, 0 to allow all
 */
struct region_affinity {
    uint32_t regions[REGION_AFFINITY_MAX];
    unsigned count;
};

/** struct region - region of a data centre, both as hashes of their names */
struct region {
    uint32_t data_centre;
    uint32_t region;
};

/** struct regions - region of each data centre */
struct regions {
    struct region items[REGIONS_MAX];
    unsigned count;
};

/** region_key() - hash of a region's name; never 0 */
uint32_t
region_key(const char *region);

/** region_affinity_add() - allow a region; false when the set is full */
bool
region_affinity_add(struct region_affinity *region_affinity, uint32_t region);

/**
 * region_affinity_allows() - whether requests may be served in a region, 0 for
 * an unknown one
 */
bool
region_affinity_allows(const struct region_affinity *region_affinity,
                       uint32_t region);

/** regions_differ() - whether data centres lie in more than one region */
bool
regions_differ(const struct regions *regions);

/** regions_find() - region of a data centre, 0 when unknown */
uint32_t
regions_find(const struct regions *regions, uint32_t data_centre);

#endif
