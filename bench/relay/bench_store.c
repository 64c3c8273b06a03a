/**
 * DOC: bench_store - rate of balancers' calls to the platform's store
 *
 * Simulates balancers that watch the configuration and the list of agents, on
 * a clock that advances in steps. Prints, for each number of members (half of
 * them balancers), the calls per second of all balancers and of one. "quiet"
 * has no changes; "busy" changes the configuration at the design rate and
 * replaces one agent in a thousand per hour.
 */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/container.h"
#include "relay/store/watcher.h"

#define STEP_US (5 * USEC_PER_MSEC)
#define DURATION_S 600
#define KINDS 2

/* 20,000 configuration changes per day. */
#define CONFIG_INTERVAL_US (4320 * USEC_PER_MSEC)
#define AGENT_LIFETIME_US (1000 * 3600 * USEC_PER_SEC)

/* Delays for the configuration and for the list of agents. */
static const struct watcher_backoff watch_delays[KINDS] = {
    {25 * USEC_PER_MSEC, 300 * USEC_PER_MSEC},
    {100 * USEC_PER_MSEC, 1 * USEC_PER_SEC},
};

/**
 * struct client - a balancer's watcher with its connection to the store
 * @store: connection
 * @watcher: follows one kind
 * @call: the watch in progress, or NULL
 * @until_us: when @call ends without a change
 */
struct client {
    struct store store;
    struct watcher watcher;
    struct store_call *call;
    uint64_t until_us;
};

static uint64_t now_us;
static uint64_t revision = 1;
static uint64_t calls;

static int
store_list(struct store *store, const char *kind, const char *after,
           enum store_read_mode read, struct store_call *call)
{
    struct store_reply reply = {.revision = revision};

    calls++;
    call->done(call, &reply);
    return 0;
}

static int
store_watch(struct store *store, const char *kind, uint64_t from,
            unsigned wait_ms, enum store_read_mode read,
            struct store_call *call)
{
    struct client *client = container_of(store, struct client, store);

    calls++;
    client->call = call;
    client->until_us = now_us + wait_ms * USEC_PER_MSEC;
    return 0;
}

static const struct store_ops store_ops = {store_list, store_watch};

static void
ignore(struct watcher *watcher)
{
}

static void
ignore_object(struct watcher *watcher, const struct store_object *object)
{
}

static void
ignore_end(struct watcher *watcher, int status, bool changed)
{
}

static const struct watcher_ops watcher_ops = {ignore, ignore_object, ignore,
                                               ignore_end};

/* Ends the client's watch with one change or none. */
static void
end_watch(struct client *client, bool change)
{
    struct store_object object = {.name = "a", .revision = revision};
    struct store_reply reply = {
        .revision = revision,
        .objects = &object,
        .count = change,
    };
    struct store_call *call = client->call;

    client->call = NULL;
    call->done(call, &reply);
}

static void
change_kind(struct client *clients, size_t balancers, unsigned kind)
{
    revision++;
    for (size_t i = 0; i < balancers; i++) {
        struct client *client = &clients[i * KINDS + kind];

        if (client->call != NULL) {
            end_watch(client, true);
        }
    }
}

static void
step(struct client *clients, size_t balancers)
{
    now_us += STEP_US;
    for (size_t i = 0; i < balancers * KINDS; i++) {
        struct client *client = &clients[i];

        if (client->call != NULL && now_us >= client->until_us) {
            end_watch(client, false);
        }
        watcher_tick(&client->watcher, now_us);
    }
}

/* Returns the calls per second after a warm-up of one minute. */
static double
simulate(size_t members, bool busy)
{
    size_t balancers = members / 2;
    uint64_t agent_interval_us = AGENT_LIFETIME_US / (members - balancers);
    struct client *clients = g_new0(struct client, balancers * KINDS);
    uint64_t config_us = CONFIG_INTERVAL_US;
    uint64_t agent_us = agent_interval_us;
    double rate;

    now_us = 1;
    for (size_t i = 0; i < balancers * KINDS; i++) {
        clients[i].store.ops = &store_ops;
        watcher_init(&clients[i].watcher, &watcher_ops, &clients[i].store,
                     "kind", watch_delays[i % KINDS], i, now_us);
    }
    while (now_us < 60 * USEC_PER_SEC) {
        step(clients, balancers);
    }
    calls = 0;
    while (now_us < (60 + DURATION_S) * USEC_PER_SEC) {
        if (busy && now_us >= config_us) {
            config_us = now_us + CONFIG_INTERVAL_US;
            change_kind(clients, balancers, 0);
        }
        if (busy && now_us >= agent_us) {
            agent_us = now_us + agent_interval_us;
            change_kind(clients, balancers, 1);
        }
        step(clients, balancers);
    }
    rate = (double)calls / DURATION_S;
    for (size_t i = 0; i < balancers * KINDS; i++) {
        watcher_finish(&clients[i].watcher);
    }
    g_free(clients);
    return rate;
}

int
main(void)
{
    static const size_t sizes[] = {10, 40, 160, 640};

    printf("members  balancers  store calls/s quiet  of one  busy  of one\n");
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        size_t count = sizes[i] / 2;
        double balancers = (double)count;
        double quiet = simulate(sizes[i], false);
        double busy = simulate(sizes[i], true);

        printf("%7zu %10.0f %20.2f %7.3f %5.2f %7.3f\n", sizes[i], balancers,
               quiet, quiet / balancers, busy, busy / balancers);
    }
    return 0;
}
