/**
 * DOC: round_trips - round trips from a balancer to the agents of each data
 * centre
 *
 * Learned from the agents' replies to SYNs. Low values count most: the others
 * contain time at the agent and its endpoint.
 */
#ifndef SWIFTARCH_RELAY_FORWARDER_ROUND_TRIPS_H
#define SWIFTARCH_RELAY_FORWARDER_ROUND_TRIPS_H

#include <stdint.h>

/* Data centres with a learned round trip; others count as near. */
#define ROUND_TRIPS_MAX 16

/**
 * struct round_trips - round trips by data centre
 * @keys: evacuations_key() of the data centres
 * @rtt_us: their round trips
 * @count: number of them
 */
struct round_trips {
    uint32_t keys[ROUND_TRIPS_MAX];
    uint64_t rtt_us[ROUND_TRIPS_MAX];
    unsigned count;
};

/** round_trips_add() - add a round trip to a data centre */
void
round_trips_add(struct round_trips *round_trips, uint32_t data_centre,
                uint64_t rtt_us);

/** round_trips_additional_us() - how much longer a round trip to @data_centre
 * takes than one to @own; 0 if unknown */
uint64_t
round_trips_additional_us(const struct round_trips *round_trips, uint32_t own,
                          uint32_t data_centre);

#endif
