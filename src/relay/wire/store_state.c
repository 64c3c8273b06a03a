#include "relay/wire/store_state.h"

#include <glib.h>

#include "base/clock.h"

/* How long operators may take to write again what the store has lost. */
#define EARLIER_KEPT_US (10 * USEC_PER_SEC)

/* How long agents may take for that: they hear of it with the next frame, look
 * within seconds, and look once more 10 s later, as cheap reads may show what
 * the store has lost. */
#define SETTLED_AFTER_S 20

static void
keep_earlier(struct store_state *state, uint64_t now_us)
{
    for (unsigned i = 0; i < state->told.count; i++) {
        /* Of too many the last are left out, as in the set itself. */
        (void)evacuations_add(&state->earlier, state->told.data_centres[i]);
    }
    state->older_us = now_us;
    state->settled_us = now_us + SETTLED_AFTER_S * USEC_PER_SEC;
}

/* A host that has started since knows of the loss from others only. Who knows
 * of it keeps its own word, or it would go round without end. */
static void
take_unsettled(struct store_state *state, const struct evacuations *told,
               uint64_t now_us)
{
    if (told->era == state->told.era && told->unsettled_s > 0 &&
        state->settled_us == 0) {
        state->settled_us =
            now_us + MIN(told->unsettled_s, SETTLED_AFTER_S) * USEC_PER_SEC;
    }
}

static void
tell_unsettled(struct store_state *state, uint64_t now_us)
{
    uint64_t left_us =
        state->settled_us > now_us ? state->settled_us - now_us : 0;

    state->told.unsettled_s =
        (uint8_t)((left_us + USEC_PER_SEC - 1) / USEC_PER_SEC);
}

bool
store_state_take(struct store_state *state, const struct evacuations *told,
                 uint64_t now_us)
{
    bool older = state->told.era != 0 && told->era > state->told.era;
    bool changed = older || !evacuations_same(&state->told, told);

    if (!evacuations_newer(told, &state->told)) {
        take_unsettled(state, told, now_us);
        return false;
    }
    if (older) {
        keep_earlier(state, now_us);
    }
    state->told = *told;
    take_unsettled(state, told, now_us);
    tell_unsettled(state, now_us);
    return changed;
}

bool
store_state_evacuated(const struct store_state *state, uint32_t key)
{
    return evacuations_has(&state->told, key) ||
           evacuations_has(&state->earlier, key);
}

bool
store_state_settled(const struct store_state *state, uint64_t now_us)
{
    return now_us >= state->settled_us;
}

bool
store_state_tick(struct store_state *state, uint64_t now_us)
{
    tell_unsettled(state, now_us);
    if (now_us < store_state_next_us(state)) {
        return false;
    }
    state->earlier.count = 0;
    return true;
}

uint64_t
store_state_next_us(const struct store_state *state)
{
    return state->earlier.count > 0 ? state->older_us + EARLIER_KEPT_US
                                    : UINT64_MAX;
}
