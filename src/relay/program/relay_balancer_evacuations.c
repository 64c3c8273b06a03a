#include "relay/program/relay_balancer_private.h"

#include <inttypes.h>

#include <glib.h>

#include "base/container.h"

/* How long a balancer that serves callers waits for agents to report the
 * evacuations before it lists them itself. Agents reply within milliseconds,
 * and a list costs processor time, which is scarce right after the start. */
#define INITIAL_LIST_DELAY_US (200 * USEC_PER_MSEC)

/* The same after a rollback of the store: the readers list at once. */
#define NEW_EPOCH_LIST_DELAY_US (2 * USEC_PER_SEC)

/* Bytes for the names of all evacuated data centres in a log line. */
#define NAMES_MAX 512

/* Whether a balancer that is not a reader must list the evacuations: no agent
 * has reported them, as after a loss of all hosts, or after a rollback of the
 * store that no reader has followed yet. */
static bool
needs_initial_list(const struct relay_balancer *balancer, uint64_t now_us)
{
    const struct store_state *store = &balancer->forwarder.agents.store;

    return store->latest.revision == 0 && balancer->was_ready &&
           now_us - balancer->ready_us >= INITIAL_LIST_DELAY_US &&
           (store->rollback_us == 0 ||
            now_us - store->rollback_us >= NEW_EPOCH_LIST_DELAY_US);
}

/* Readers watch the evacuations; agents report them to the other balancers. As
 * for the agents watcher, during an outage only the configuration watcher
 * retries. */
static bool
evacuations_watch_allowed(const struct relay_balancer *balancer,
                          uint64_t now_us)
{
    bool reachable = balancer->evacuations_watcher.failures == 0 ||
                     balancer->config_watcher.failures == 0;

    return balancer->settings.evacuations && reachable &&
           (balancer->reader.reading || needs_initial_list(balancer, now_us));
}

/* Lists the names of evacuated data centres that have agents, separated by
 * commas. */
static void
list_evacuated_names(const struct agents *agents, char *names, size_t size)
{
    GString *text = g_string_new(NULL);
    uint32_t named[EVACUATIONS_MAX];
    unsigned count = 0;

    for (size_t i = 0; i < agents_count(agents); i++) {
        const struct agent_row *row = agents_at(agents, i);
        bool skip = !row->evacuated;

        for (unsigned n = 0; n < count && !skip; n++) {
            skip = named[n] == row->data_centre_key;
        }
        if (!skip) {
            named[count++] = row->data_centre_key;
            g_string_append_printf(text, "%s%s", text->len > 0 ? "," : "",
                                   row->data_centre);
        }
    }
    g_strlcpy(names, text->str, size);
    g_string_free(text, TRUE);
}

/* Restarts all watchers after the store's epoch has changed: what was read in
 * an earlier epoch may have been lost. */
static void
adopt_epoch(struct relay_balancer *balancer, uint32_t epoch,
            const char *source)
{
    const struct store_state *store = &balancer->forwarder.agents.store;

    watcher_set_epoch(&balancer->config_watcher, epoch);
    watcher_set_epoch(&balancer->agents_watcher, epoch);
    watcher_set_epoch(&balancer->evacuations_watcher, epoch);
    watcher_set_epoch(&balancer->limits_watcher, epoch);
    if (store->rollback_us != 0) {
        event_log_write(&balancer->log, EVENT_UNLIMITED, "store_older",
                        "era=%u source=%s", epoch, source);
    }
}

void
relay_balancer_apply_evacuations(struct relay_balancer *balancer,
                                 const struct evacuations *latest,
                                 const char *source)
{
    uint32_t epoch = balancer->forwarder.agents.store.latest.epoch;
    char names[NAMES_MAX];
    bool changed = forwarder_evacuations(&balancer->forwarder, latest,
                                         balancer->reader.reading,
                                         loop_now_us(&balancer->loop));

    if (latest->epoch > epoch) {
        adopt_epoch(balancer, latest->epoch, source);
    }
    if (!changed) {
        return;
    }
    list_evacuated_names(&balancer->forwarder.agents, names, sizeof(names));
    event_log_write(&balancer->log, EVENT_UNLIMITED, "evacuations",
                    "data_centres=%u with_agents=%s era=%u revision=%" PRIu64
                    " source=%s",
                    latest->count, names[0] != '\0' ? names : "-",
                    latest->epoch, latest->revision, source);
}

static void
evacuations_listing(struct watcher *watcher)
{
    struct relay_balancer *balancer =
        container_of(watcher, struct relay_balancer, evacuations_watcher);

    g_hash_table_remove_all(balancer->evacuated);
}

static void
evacuations_object(struct watcher *watcher, const struct store_object *object)
{
    struct relay_balancer *balancer =
        container_of(watcher, struct relay_balancer, evacuations_watcher);

    if (object->removed) {
        g_hash_table_remove(balancer->evacuated, object->name);
    }
    else {
        g_hash_table_add(balancer->evacuated, g_strdup(object->name));
    }
}

static void
evacuations_listed(struct watcher *watcher)
{
    /* evacuations_ended() applies the complete list. */
}

/* Whether a name is of one of the deployment's data centres. */
static bool
is_data_centre(const struct relay_balancer *balancer, const char *name)
{
    const struct agents *agents = &balancer->forwarder.agents;
    uint32_t key = evacuations_key(name);

    return key == agents->own_data_centre ||
           regions_find(&agents->regions, key) != 0;
}

/* Adds the evacuated data centres of the settings, or the other names. */
static void
add_evacuated_names(struct relay_balancer *balancer,
                    struct evacuations *evacuations, bool in_settings)
{
    GHashTableIter names;
    gpointer name;

    g_hash_table_iter_init(&names, balancer->evacuated);
    while (g_hash_table_iter_next(&names, &name, NULL)) {
        if (is_data_centre(balancer, name) == in_settings &&
            !evacuations_add(evacuations, evacuations_key(name))) {
            event_log_write(&balancer->log, EVENT_RATE_LIMITED,
                            "evacuation_refused",
                            "data_centre=%s reason=\"more than %d\"",
                            (const char *)name, EVACUATIONS_MAX);
        }
    }
}

/* Applies the names that the watcher has read. Those of the settings come
 * first, as foreign names could leave no room for them. */
static void
apply_evacuated_names(struct relay_balancer *balancer, uint32_t epoch,
                      uint64_t revision)
{
    struct evacuations latest = {.epoch = epoch, .revision = revision};

    add_evacuated_names(balancer, &latest, true);
    add_evacuated_names(balancer, &latest, false);
    relay_balancer_apply_evacuations(balancer, &latest, "store");
}

static void
evacuations_ended(struct watcher *watcher, int status, bool changed)
{
    struct relay_balancer *balancer =
        container_of(watcher, struct relay_balancer, evacuations_watcher);

    if (status == 0 && watcher->state == WATCHER_WATCH) {
        apply_evacuated_names(balancer, watcher->epoch, watcher->revision);
    }
    relay_balancer_store_ended(balancer, watcher, status, changed);
}

const struct watcher_ops relay_balancer_evacuations_ops = {
    .listing = evacuations_listing,
    .object = evacuations_object,
    .listed = evacuations_listed,
    .ended = evacuations_ended,
};

void
relay_balancer_evacuations_tick(struct relay_balancer *balancer,
                                uint64_t now_us)
{
    const struct store_reader *reader = &balancer->reader;
    struct watcher *watcher = &balancer->evacuations_watcher;

    watcher->slow_retry = !reader->reading;
    watcher->bounded = true;
    watcher_set_read(watcher, watcher_mode(watcher, reader->reading));
    if (evacuations_watch_allowed(balancer, now_us)) {
        watcher_tick(watcher, now_us);
    }
}

uint64_t
relay_balancer_evacuations_next_us(const struct relay_balancer *balancer,
                                   uint64_t now_us)
{
    if (!evacuations_watch_allowed(balancer, now_us)) {
        return UINT64_MAX;
    }
    return watcher_next_us(&balancer->evacuations_watcher);
}
