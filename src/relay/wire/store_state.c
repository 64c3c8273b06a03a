#include "relay/wire/store_state.h"

#include <glib.h>

#include "base/clock.h"

/* Time within which operators evacuate data centres again after a rollback. */
#define PREVIOUS_EPOCH_TTL_US (10 * USEC_PER_SEC)

/* Time within which agents register again after a rollback: they read their
 * objects within seconds, and once more 10 s later because a stale read may
 * still return an object that is lost. */
#define RECOVERY_S 20

static void
save_previous_epoch(struct store_state *state, uint64_t now_us)
{
    for (unsigned i = 0; i < state->latest.count; i++) {
        /* Data centres that don't fit are left out, as in the set itself. */
        (void)evacuations_add(&state->previous, state->latest.data_centres[i]);
    }
    state->rollback_us = now_us;
    state->recovered_us = now_us + RECOVERY_S * USEC_PER_SEC;
}

/* A host that started after the rollback learns the recovery time from others.
 * A host that has one keeps it, as hosts would else extend it for each other
 * without end. */
static void
adopt_recovery(struct store_state *state, const struct evacuations *latest,
               uint64_t now_us)
{
    if (latest->epoch == state->latest.epoch && latest->recovery_s > 0 &&
        state->recovered_us == 0) {
        state->recovered_us =
            now_us + MIN(latest->recovery_s, RECOVERY_S) * USEC_PER_SEC;
    }
}

static void
update_recovery(struct store_state *state, uint64_t now_us)
{
    uint64_t remaining_us =
        state->recovered_us > now_us ? state->recovered_us - now_us : 0;

    state->latest.recovery_s =
        (uint8_t)((remaining_us + USEC_PER_SEC - 1) / USEC_PER_SEC);
}

bool
store_state_update(struct store_state *state, const struct evacuations *latest,
                   uint64_t now_us)
{
    bool rolled_back =
        state->latest.epoch != 0 && latest->epoch > state->latest.epoch;
    bool changed = rolled_back || !evacuations_equal(&state->latest, latest);

    if (!evacuations_newer(latest, &state->latest)) {
        adopt_recovery(state, latest, now_us);
        return false;
    }
    if (rolled_back) {
        save_previous_epoch(state, now_us);
    }
    state->latest = *latest;
    adopt_recovery(state, latest, now_us);
    update_recovery(state, now_us);
    return changed;
}

bool
store_state_is_evacuated(const struct store_state *state, uint32_t key)
{
    return evacuations_contains(&state->latest, key) ||
           evacuations_contains(&state->previous, key);
}

bool
store_state_is_recovered(const struct store_state *state, uint64_t now_us)
{
    return now_us >= state->recovered_us;
}

bool
store_state_tick(struct store_state *state, uint64_t now_us)
{
    update_recovery(state, now_us);
    if (now_us < store_state_next_us(state)) {
        return false;
    }
    state->previous.count = 0;
    return true;
}

uint64_t
store_state_next_us(const struct store_state *state)
{
    return state->previous.count > 0
               ? state->rollback_us + PREVIOUS_EPOCH_TTL_US
               : UINT64_MAX;
}
