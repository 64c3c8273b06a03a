/**
 * DOC: homes - the regions in which a route's requests may be served
 */
#ifndef SWIFTARCH_RELAY_STEER_HOMES_H
#define SWIFTARCH_RELAY_STEER_HOMES_H

#include <stdbool.h>
#include <stdint.h>

/* Regions that one route may name: twice what the system is designed for. */
#define HOMES_MAX 16

/* Data centres of which the region is known: twice what the system is designed
 * for. */
#define REGIONS_MAX 64

/**
 * struct homes - regions that a route names
 * @regions: homes_key() of each
 * @count: how many, 0 for all regions
 */
struct homes {
    uint32_t regions[HOMES_MAX];
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

/** homes_key() - what stands for a region; never 0 */
uint32_t
homes_key(const char *region);

/** homes_add() - one more region; false when there is no room */
bool
homes_add(struct homes *homes, uint32_t region);

/** homes_allow() - whether requests may be served in a region, 0 for one that
 * isn't known */
bool
homes_allow(const struct homes *homes, uint32_t region);

/** regions_differ() - whether data centres lie in more than one region */
bool
regions_differ(const struct regions *regions);

/** regions_find() - region of a data centre, 0 when it isn't known */
uint32_t
regions_find(const struct regions *regions, uint32_t data_centre);

#endif
