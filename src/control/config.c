#include "control/config.h"

#include <errno.h>
#include <string.h>

#include <glib.h>

#define IDLE_TICK_US (500 * USEC_PER_MSEC)

void
config_core_init(struct config_core *core, uint64_t seed, uint64_t now_us)
{
    memset(core, 0, sizeof(*core));
    core->random.state = seed;
    core->membership.alive = 1;
    core->start_us = now_us;
    bucket_init(&core->calls, CONFIG_CALL_RATE, CONFIG_CALL_BURST, now_us);
}

void
config_set_membership(struct config_core *core,
                      const struct config_membership *membership)
{
    core->membership = *membership;
}

/* A refused version isn't fetched again; a later one may be valid. */
static bool
is_acceptable_version(const struct config_core *core, uint64_t version)
{
    return version > core->have && version > core->refused;
}

/* @confirmed_us: when @from last had @version confirmed, 0 for never */
static void
add_source(struct config_core *core, struct addr from, uint64_t version,
           uint64_t confirmed_us)
{
    struct config_source *source;
    size_t at = core->source_count;
    bool is_new;

    for (size_t i = 0; i < core->source_count; i++) {
        if (addr_equal(core->sources[i].at, from))
            at = i;
    }
    is_new = at == core->source_count;
    if (at == CONFIG_SOURCES_MAX) {
        at = 0;
        for (size_t i = 1; i < CONFIG_SOURCES_MAX; i++) {
            if (core->sources[i].version < core->sources[at].version)
                at = i;
        }
        if (core->sources[at].version >= version)
            return;
    }
    if (at == core->source_count)
        core->source_count++;
    source = &core->sources[at];
    if (is_new || source->version != version)
        source->confirmed_us = 0;
    source->at = from;
    source->version = version;
    source->confirmed_us = MAX(source->confirmed_us, confirmed_us);
}

static void
drop_source(struct config_core *core, size_t at)
{
    core->sources[at] = core->sources[--core->source_count];
}

static void
drop_old_sources(struct config_core *core)
{
    for (size_t i = core->source_count; i-- > 0;) {
        if (!is_acceptable_version(core, core->sources[i].version))
            drop_source(core, i);
    }
}

/* Applies a peer's confirmation of the version in force, 0 for none. */
static void
update_confirmed(struct config_core *core, uint64_t confirmed_us)
{
    core->confirmed_us = MAX(core->confirmed_us, confirmed_us);
    /* Own confirmations that peers echo look slightly newer: ignore them. */
    if (confirmed_us > core->platform_us + CONFIG_PEER_MARGIN_US)
        core->peer_confirmed_us = MAX(core->peer_confirmed_us, confirmed_us);
}

void
config_handle_peer_version(struct config_core *core, struct addr from,
                           uint64_t version, uint32_t confirmed_age_ms,
                           uint64_t now_us)
{
    uint64_t age_us = confirmed_age_ms * USEC_PER_MSEC;
    uint64_t confirmed_us = 0;

    if (confirmed_age_ms != UINT32_MAX && age_us <= now_us)
        confirmed_us = now_us - age_us;
    if (is_acceptable_version(core, version))
        add_source(core, from, version, confirmed_us);
    /* Only a confirmation of the version in force counts. */
    else if (version == core->have)
        update_confirmed(core, confirmed_us);
}

static uint64_t
next_backoff(struct config_core *core)
{
    uint64_t last = MAX(core->backoff_us, CONFIG_BACKOFF_FIRST_US);
    uint64_t high = MIN(3 * last, CONFIG_BACKOFF_MAX_US);

    return random_between(&core->random, CONFIG_BACKOFF_FIRST_US, high);
}

/* Spreads self-reads so that the cell makes one call per interval. */
static uint64_t
next_self_read(struct config_core *core, uint64_t now_us)
{
    uint64_t turn_us = core->membership.alive * CONFIG_SELF_READ_INTERVAL_US;

    return now_us +
           random_between(&core->random, turn_us / 2, turn_us * 3 / 2);
}

static void
call_failed(struct config_core *core, uint64_t now_us)
{
    core->stats.failed_calls++;
    core->backoff_us = next_backoff(core);
    core->next_call_us = now_us + core->backoff_us;
}

bool
config_handle_platform_reply(struct config_core *core, int status,
                             uint64_t version, uint64_t now_us)
{
    bool replied = status == 0 || status == -EAGAIN || status == -ENOENT;

    core->calling = false;
    if (!replied) {
        call_failed(core, now_us);
        return false;
    }
    core->platform_us = now_us;
    core->backoff_us = 0;
    core->next_call_us = now_us;
    if (core->self_reading)
        core->substitute_us = now_us + CONFIG_SUBSTITUTE_US;
    if (status == -ENOENT) {
        /* A watch on a missing object may end at once. */
        core->next_call_us =
            now_us +
            random_between(&core->random, 2 * USEC_PER_SEC, 4 * USEC_PER_SEC);
    }
    /* After some watches without a change, a read looks for a missed one. */
    core->unchanged_watches =
        status == -EAGAIN ? core->unchanged_watches + 1 : 0;
    if (status == 0 && version < core->have) {
        core->stats.stale++;
        return false;
    }
    if (status == 0 && version > core->have)
        return is_acceptable_version(core, version);
    /* A missing object confirms only that no version exists. */
    if (status != -ENOENT || core->have == 0)
        core->confirmed_us = now_us;
    return false;
}

bool
config_handle_fetch_reply(struct config_core *core, uint64_t version,
                          uint64_t now_us)
{
    core->fetching = false;
    if (version == 0) {
        core->stats.failed_fetches++;
        if (core->source_count > 0)
            drop_source(core, 0);
        return false;
    }
    return is_acceptable_version(core, version);
}

void
config_applied(struct config_core *core, uint64_t version,
               uint64_t confirmed_us)
{
    g_assert(version > core->have);
    core->have = version;
    core->confirmed_us = MAX(core->confirmed_us, confirmed_us);
    for (size_t i = 0; i < core->source_count; i++) {
        if (core->sources[i].version == version)
            update_confirmed(core, core->sources[i].confirmed_us);
    }
    drop_old_sources(core);
}

void
config_refuse(struct config_core *core, uint64_t version)
{
    core->stats.refused++;
    core->refused = MAX(core->refused, version);
    drop_old_sources(core);
}

bool
config_is_reader(const struct config_core *core, uint64_t now_us)
{
    return core->membership.rank < CONFIG_READERS ||
           now_us < core->substitute_us;
}

static bool
confirmation_overdue(const struct config_core *core, uint64_t now_us)
{
    uint64_t since = MAX(core->confirmed_us, core->start_us);

    return now_us >= since + CONFIG_CONFIRM_TIMEOUT_US;
}

/* A process that has contacts but hasn't joined waits for them, then reads
 * rarely: a whole data centre may be starting at once. */
static bool
isolated_read_due(struct config_core *core, uint64_t now_us)
{
    if (core->self_read_us == 0) {
        core->self_read_us =
            core->start_us + CONFIG_START_DELAY_US +
            random_below(&core->random, CONFIG_START_JITTER_US);
    }
    if (now_us < core->self_read_us)
        return false;
    core->self_read_us =
        now_us + random_between(&core->random, CONFIG_ISOLATED_INTERVAL_US,
                                3 * CONFIG_ISOLATED_INTERVAL_US);
    return true;
}

static bool
self_read_due(struct config_core *core, uint64_t now_us)
{
    if (!confirmation_overdue(core, now_us)) {
        core->self_read_us = 0;
        return false;
    }
    if (core->self_read_us == 0)
        core->self_read_us = next_self_read(core, now_us);
    if (now_us < core->self_read_us)
        return false;
    core->self_read_us = next_self_read(core, now_us);
    return true;
}

/* A substitute reader continues until another member's confirmation comes. */
static void
tick_substitute(struct config_core *core, uint64_t now_us)
{
    if (core->substitute_us == 0 || now_us < core->substitute_us)
        return;
    if (now_us < core->peer_confirmed_us + CONFIG_CONFIRM_TIMEOUT_US)
        core->substitute_us = 0;
    else
        core->substitute_us = now_us + CONFIG_SUBSTITUTE_US;
}

static void
add_call(struct config_core *core, enum config_action_type type,
         uint64_t now_us, struct config_actions *out)
{
    struct config_action action = {.type = type,
                                   .after = MAX(core->have, core->refused)};

    if (!bucket_take(&core->calls, 1, now_us))
        return;
    core->calling = true;
    core->self_reading = false;
    core->call_us = now_us;
    core->stats.calls++;
    out->items[out->count++] = action;
}

static void
tick_platform(struct config_core *core, uint64_t now_us,
              struct config_actions *out)
{
    if (core->calling && now_us >= core->call_us + CONFIG_CALL_TIMEOUT_US) {
        core->calling = false;
        call_failed(core, now_us);
    }
    if (core->calling || now_us < core->next_call_us)
        return;
    if (!core->membership.joined && core->membership.has_contacts) {
        if (isolated_read_due(core, now_us))
            add_call(core, CONFIG_READ, now_us, out);
        return;
    }
    tick_substitute(core, now_us);
    if (config_is_reader(core, now_us)) {
        core->self_read_us = 0;
        add_call(core,
                 core->unchanged_watches < CONFIG_WATCHES_PER_READ
                     ? CONFIG_WATCH
                     : CONFIG_READ,
                 now_us, out);
        return;
    }
    if (self_read_due(core, now_us)) {
        core->stats.self_reads++;
        add_call(core, CONFIG_READ, now_us, out);
        core->self_reading = core->calling;
    }
}

static void
tick_fetch(struct config_core *core, uint64_t now_us,
           struct config_actions *out)
{
    struct config_action action = {.type = CONFIG_FETCH, .after = core->have};
    size_t best = 0;

    if (core->fetching && now_us >= core->fetch_us + CONFIG_FETCH_TIMEOUT_US)
        config_handle_fetch_reply(core, 0, now_us);
    if (core->fetching || core->source_count == 0)
        return;
    for (size_t i = 1; i < core->source_count; i++) {
        if (core->sources[i].version > core->sources[best].version)
            best = i;
    }
    /* config_handle_fetch_reply() drops the first source on failure. */
    if (best != 0) {
        struct config_source first = core->sources[0];

        core->sources[0] = core->sources[best];
        core->sources[best] = first;
    }
    core->fetching = true;
    core->fetch_us = now_us;
    core->stats.fetches++;
    action.from = core->sources[0].at;
    out->items[out->count++] = action;
}

void
config_tick(struct config_core *core, uint64_t now_us,
            struct config_actions *out)
{
    out->count = 0;
    tick_platform(core, now_us, out);
    tick_fetch(core, now_us, out);
}

uint64_t
config_next_us(const struct config_core *core, uint64_t now_us)
{
    uint64_t next = now_us + IDLE_TICK_US;

    if (core->source_count > 0 && !core->fetching)
        return now_us;
    if (!core->calling && core->next_call_us > now_us)
        next = MIN(next, core->next_call_us);
    return next;
}
