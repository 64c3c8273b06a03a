/**
 * DOC: store_state - a host's latest knowledge of the store's epoch and
 * evacuations
 *
 * The store may be restored from a copy that is some seconds old; its epoch
 * then grows. Until operators have had time to evacuate data centres again,
 * those of the previous epoch stay evacuated. Until agents have registered
 * again, a list of agents may be incomplete.
 */
#ifndef SWIFTARCH_RELAY_WIRE_STORE_STATE_H
#define SWIFTARCH_RELAY_WIRE_STORE_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include "relay/wire/evacuations.h"

/**
 * struct store_state - epoch, evacuations and recovery after a rollback
 * @latest: latest epoch, revision and evacuated data centres; sent with each
 *          frame
 * @previous: data centres that were evacuated in earlier epochs
 * @rollback_us: when the host learned of the last rollback, 0 for never
 * @recovered_us: when agents have registered again after it, 0 if no rollback
 *                is known
 */
struct store_state {
    struct evacuations latest;
    struct evacuations previous;
    uint64_t rollback_us;
    uint64_t recovered_us;
};

/**
 * store_state_update() - adopts @latest if it is newer
 *
 * Return: whether the epoch or the evacuated data centres have changed.
 */
bool
store_state_update(struct store_state *state, const struct evacuations *latest,
                   uint64_t now_us);

/** store_state_is_evacuated() - whether a data centre is evacuated, now or in
 * an epoch before that still counts */
bool
store_state_is_evacuated(const struct store_state *state, uint32_t key);

/** store_state_is_recovered() - whether agents have had time to register again
 * since the last rollback, if any */
bool
store_state_is_recovered(const struct store_state *state, uint64_t now_us);

/** store_state_tick() - updates the recovery time that frames carry and drops
 * evacuations of previous epochs once they expire; returns whether they
 * expired. Called from the owner's own tick. */
bool
store_state_tick(struct store_state *state, uint64_t now_us);

/** store_state_next_us() - when evacuations of previous epochs expire,
 * UINT64_MAX for never */
uint64_t
store_state_next_us(const struct store_state *state);

#endif
