#include "relay/forwarder/round_trips.h"

/* Divisors of the moving average for round trips above and below it. */
#define UP_WEIGHT 64
#define DOWN_WEIGHT 4

/* Index of a data centre, or @round_trips->count. */
static unsigned
find(const struct round_trips *round_trips, uint32_t data_centre)
{
    unsigned at = 0;

    while (at < round_trips->count && round_trips->keys[at] != data_centre) {
        at++;
    }
    return at;
}

void
round_trips_add(struct round_trips *round_trips, uint32_t data_centre,
                uint64_t rtt_us)
{
    unsigned at = find(round_trips, data_centre);

    if (at == ROUND_TRIPS_MAX) {
        return;
    }
    if (at == round_trips->count) {
        round_trips->keys[at] = data_centre;
        round_trips->rtt_us[at] = rtt_us;
        round_trips->count++;
    }
    else if (rtt_us > round_trips->rtt_us[at]) {
        round_trips->rtt_us[at] +=
            (rtt_us - round_trips->rtt_us[at]) / UP_WEIGHT;
    }
    else {
        round_trips->rtt_us[at] -=
            (round_trips->rtt_us[at] - rtt_us) / DOWN_WEIGHT;
    }
}

uint64_t
round_trips_additional_us(const struct round_trips *round_trips, uint32_t own,
                          uint32_t data_centre)
{
    unsigned here = find(round_trips, own);
    unsigned there = find(round_trips, data_centre);

    if (here == round_trips->count || there == round_trips->count ||
        round_trips->rtt_us[there] < round_trips->rtt_us[here]) {
        return 0;
    }
    return round_trips->rtt_us[there] - round_trips->rtt_us[here];
}
