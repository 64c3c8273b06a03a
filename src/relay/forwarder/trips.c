#include "relay/forwarder/trips.h"

/* Divisors of the moving average for round trips above and below it. */
#define UP_WEIGHT 64
#define DOWN_WEIGHT 4

/* Index of a data centre, or @trips->count. */
static unsigned
find(const struct trips *trips, uint32_t data_centre)
{
    unsigned at = 0;

    while (at < trips->count && trips->keys[at] != data_centre) {
        at++;
    }
    return at;
}

void
trips_add(struct trips *trips, uint32_t data_centre, uint64_t rtt_us)
{
    unsigned at = find(trips, data_centre);

    if (at == TRIPS_MAX) {
        return;
    }
    if (at == trips->count) {
        trips->keys[at] = data_centre;
        trips->rtt_us[at] = rtt_us;
        trips->count++;
    }
    else if (rtt_us > trips->rtt_us[at]) {
        trips->rtt_us[at] += (rtt_us - trips->rtt_us[at]) / UP_WEIGHT;
    }
    else {
        trips->rtt_us[at] -= (trips->rtt_us[at] - rtt_us) / DOWN_WEIGHT;
    }
}

uint64_t
trips_additional_us(const struct trips *trips, uint32_t own,
                    uint32_t data_centre)
{
    unsigned here = find(trips, own);
    unsigned there = find(trips, data_centre);

    if (here == trips->count || there == trips->count ||
        trips->rtt_us[there] < trips->rtt_us[here]) {
        return 0;
    }
    return trips->rtt_us[there] - trips->rtt_us[here];
}
