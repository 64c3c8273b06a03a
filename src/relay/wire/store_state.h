/**
 * DOC: store_state - what a host was told of the store, and by the store
 *
 * The store may come back from a copy that is some seconds old; its era says
 * so. What operators wrote since that copy is written again a little later, so
 * until then a data centre that was evacuated stays evacuated though the store
 * doesn't name it. What agents wrote since is gone until they write it again:
 * until then a list of agents may lack some that live.
 */
#ifndef SWIFTARCH_RELAY_WIRE_STORE_STATE_H
#define SWIFTARCH_RELAY_WIRE_STORE_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include "relay/wire/evacuations.h"

/**
 * struct store_state - the latest word of it
 * @told: era, revision and evacuated data centres, as told to others
 * @earlier: those that were evacuated in the era before
 * @older_us: when it was told that the store has come back older, 0 for never
 * @settled_us: when agents have written again what it lost in its last era, 0
 *              when nobody told of a loss
 */
struct store_state {
    struct evacuations told;
    struct evacuations earlier;
    uint64_t older_us;
    uint64_t settled_us;
};

/**
 * store_state_take() - take over @told if that is newer
 *
 * Return: whether the data centres in it, or the era, have changed.
 */
bool
store_state_take(struct store_state *state, const struct evacuations *told,
                 uint64_t now_us);

/** store_state_evacuated() - whether nothing new may go to a data centre */
bool
store_state_evacuated(const struct store_state *state, uint32_t key);

/** store_state_settled() - whether all that agents wrote must be in the store
 * again since it came back older, if it did */
bool
store_state_settled(const struct store_state *state, uint64_t now_us);

/** store_state_tick() - give up what the era before said, once operators have
 * had the time to say it again, and mind what is told to others; whether other
 * data centres are evacuated by that */
bool
store_state_tick(struct store_state *state, uint64_t now_us);

/** store_state_next_us() - when that is, UINT64_MAX for never */
uint64_t
store_state_next_us(const struct store_state *state);

#endif
