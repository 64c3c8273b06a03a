/**
 * DOC: region_affinity - the regions in which a route's requests may be served
 */
#ifndef SWIFTARCH_RELAY_FORWARDER_REGION_AFFINITY_H
#define SWIFTARCH_RELAY_FORWARDER_REGION_AFFINITY_H

#include <stdbool.h>
#include <stdint.h>

/* Regions that one route may name: twice what the system is designed for. */
#define REGION_AFFINITY_MAX 16

/* Data centres of which the region is known: twice what the system is designed
 * for. */
#define REGIONS_MAX 64

/**
 * struct region_affinity - regions that a route names
 * @regions: region_key() of each
 * @count: how many, 0 for all regions
 */
struct region_affinity {
    uint32_t regions[REGION_AFFINITY_MAX];
    unsigned count;
};

/** struct region - which region a data centre lies in, both as hashes of their
 * names */
struct region {
    uint32_t data_centre;
    uint32_t region;
};

/** struct regions - those of all data centres */
struct regions {
    struct region items[REGIONS_MAX];
    unsigned count;
};

/** region_key() - what stands for a region; never 0 */
uint32_t
region_key(const char *region);

/** region_affinity_add() - one more region; false when there is no room */
bool
region_affinity_add(struct region_affinity *region_affinity, uint32_t region);

/** region_affinity_allows() - whether requests may be served in a region, 0
 * for one that isn't known */
bool
region_affinity_allows(const struct region_affinity *region_affinity,
                       uint32_t region);

/** regions_differ() - whether data centres lie in more than one region */
bool
regions_differ(const struct regions *regions);

/** regions_find() - region of a data centre, 0 when it isn't known */
uint32_t
regions_find(const struct regions *regions, uint32_t data_centre);

#endif
