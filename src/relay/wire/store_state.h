/**
 * DOC: store_state - what a host was latest of the store, and by the store
 *
 * The store may come back from a copy that is some seconds old; its epoch says
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
 * @latest: epoch, revision and evacuated data centres, as latest to others
 * @previous: those that were evacuated in the epoch before
 * @rollback_us: when it was latest that the store has come back older, 0 for
 * never
 * @recovered_us: when agents have written again what it lost in its last
 * epoch, 0 when nobody latest of a loss
 */
struct store_state {
    struct evacuations latest;
    struct evacuations previous;
    uint64_t rollback_us;
    uint64_t recovered_us;
};

/**
 * store_state_update() - take over @latest if that is newer
 *
 * Return: whether the data centres in it, or the epoch, have changed.
 */
bool
store_state_update(struct store_state *state, const struct evacuations *latest,
                   uint64_t now_us);

/** store_state_is_evacuated() - whether nothing new may go to a data centre */
bool
store_state_is_evacuated(const struct store_state *state, uint32_t key);

/** store_state_is_recovered() - whether all that agents wrote must be in the
 * store again since it came back older, if it did */
bool
store_state_is_recovered(const struct store_state *state, uint64_t now_us);

/** store_state_tick() - give up what the epoch before said, once operators
 * have had the time to say it again, and mind what is latest to others;
 * whether other data centres are evacuated by that */
bool
store_state_tick(struct store_state *state, uint64_t now_us);

/** store_state_next_us() - when that is, UINT64_MAX for never */
uint64_t
store_state_next_us(const struct store_state *state);

#endif
