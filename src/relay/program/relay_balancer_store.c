#include "relay/program/relay_balancer_private.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "base/container.h"
#include "base/hash.h"
#include "platform/config_format.h"
#include "relay/store/registration.h"

void
relay_balancer_log_readiness(struct relay_balancer *balancer)
{
    bool ready = forwarder_ready(&balancer->forwarder);

    if (ready == balancer->was_ready) {
        return;
    }
    balancer->was_ready = ready;
    balancer->ready_us = loop_now_us(&balancer->loop);
    event_log_write(&balancer->log, EVENT_UNLIMITED,
                    ready ? "ready" : "not_ready",
                    "config=%" PRIu64 " agents=%zu since_start_us=%" PRIu64,
                    balancer->forwarder.routes.version,
                    agents_count(&balancer->forwarder.agents),
                    loop_now_us(&balancer->loop) - balancer->started_us);
}

/* Configuration. */

static void
apply_config(struct relay_balancer *balancer, struct json_object *json,
             const char *source)
{
    struct routes routes;
    struct error err = {0};
    char line[512];

    if (config_format_decode(json, &routes, &err) < 0) {
        event_log_write(&balancer->log, EVENT_UNLIMITED, "config_refused",
                        "source=%s reason=\"%s\"", source,
                        error_format(&err, line, sizeof(line)));
        return;
    }
    bool newer = forwarder_routes(&balancer->forwarder, &routes,
                                  loop_now_us(&balancer->loop));

    store_reader_applied(&balancer->reader,
                         balancer->forwarder.routes.version);
    if (!newer) {
        return;
    }
    json_object_put(balancer->config);
    balancer->config = json_object_get(json);
    event_log_write(&balancer->log, EVENT_UNLIMITED, "config",
                    "version=%" PRIu64 " routes=%zu source=%s",
                    balancer->forwarder.routes.version,
                    balancer->forwarder.routes.count, source);
}

static void
ignore_list(struct watcher *watcher)
{
    /* Nothing to do: the configuration's object is never removed. */
}

static void
config_object(struct watcher *watcher, const struct store_object *object)
{
    struct relay_balancer *balancer =
        container_of(watcher, struct relay_balancer, config_watcher);

    if (!object->removed && strcmp(object->name, CONFIG_FORMAT_NAME) == 0) {
        apply_config(balancer, object->value, "store");
    }
}

void
relay_balancer_store_ended(struct relay_balancer *balancer,
                           const struct watcher *watcher, int status,
                           bool changed)
{
    struct evacuations latest = {.epoch = watcher->epoch};

    relay_balancer_apply_evacuations(balancer, &latest, "store");
    loop_schedule(&balancer->loop, loop_now_us(&balancer->loop));
    relay_balancer_log_readiness(balancer);
    if (!changed) {
        return;
    }
    event_log_write(&balancer->log, EVENT_UNLIMITED,
                    status == 0 ? "store_reached" : "store_lost",
                    "kind=%s revision=%" PRIu64 " reason=\"%s\"",
                    watcher->kind, watcher->revision,
                    status == 0 ? "" : strerror(-status));
}

static void
config_ended(struct watcher *watcher, int status, bool changed)
{
    relay_balancer_store_ended(
        container_of(watcher, struct relay_balancer, config_watcher), watcher,
        status, changed);
}

const struct watcher_ops relay_balancer_config_ops = {
    .listing = ignore_list,
    .object = config_object,
    .listed = ignore_list,
    .ended = config_ended,
};

/* Agents. */

static void
agents_listing(struct watcher *watcher)
{
    struct relay_balancer *balancer =
        container_of(watcher, struct relay_balancer, agents_watcher);
    struct agents *agents = &balancer->forwarder.agents;

    for (size_t i = 0; i < agents_count(agents); i++) {
        agents_at(agents, i)->listed = false;
    }
    g_hash_table_remove_all(balancer->foreign_objects);
}

/* Tracks foreign objects of agents: while there are any, the list of
 * agents is incomplete. */
static void
track_foreign_object(struct relay_balancer *balancer, const char *name,
                     bool foreign)
{
    struct addr addr;

    if (!foreign) {
        g_hash_table_remove(balancer->foreign_objects, name);
    }
    else if (registration_addr(name, &addr) == 0) {
        g_hash_table_add(balancer->foreign_objects, g_strdup(name));
    }
}

/* Whether an object gives a known agent a service that no route names in place
 * of one that a route does. */
static bool
has_foreign_service(const struct relay_balancer *balancer,
                    const struct registration *registration)
{
    const struct routes *routes = &balancer->forwarder.routes;
    uint32_t service = hash_service(registration->service);
    const struct agent_row *row =
        agents_find(&balancer->forwarder.agents, registration->addr);

    return row != NULL && row->health.service != service &&
           routes_name_service(routes, row->health.service) &&
           !routes_name_service(routes, service);
}

/* Handles a foreign object.
 * @service: its service, 0 if it can't be read */
static void
foreign_object(struct relay_balancer *balancer, const char *name,
               uint32_t service)
{
    struct addr addr;

    balancer->counts.agent_objects_refused++;
    event_log_write(&balancer->log, EVENT_UNLIMITED, "agent_refused",
                    "object=%s reason=\"%s\"", name,
                    service == 0 ? "it can't be read"
                                 : "no route names its service");
    if (registration_addr(name, &addr) == 0) {
        agents_dispute(&balancer->forwarder.agents, addr, service,
                       loop_now_us(&balancer->loop));
    }
}

static void
removed_object(struct relay_balancer *balancer, const char *name)
{
    struct addr addr;

    /* A running agent writes its object again once it is notified. */
    if (registration_addr(name, &addr) == 0) {
        agents_unlist(&balancer->forwarder.agents, addr,
                      loop_now_us(&balancer->loop));
    }
}

static void
agents_object(struct watcher *watcher, const struct store_object *object)
{
    struct relay_balancer *balancer =
        container_of(watcher, struct relay_balancer, agents_watcher);
    struct registration registration;
    bool malformed =
        !object->removed &&
        registration_decode(object->name, object->value, &registration) < 0;
    bool foreign = malformed || (!object->removed &&
                                 has_foreign_service(balancer, &registration));

    track_foreign_object(balancer, object->name, foreign);
    if (object->removed) {
        removed_object(balancer, object->name);
        return;
    }
    if (foreign) {
        foreign_object(balancer, object->name,
                       malformed ? 0 : hash_service(registration.service));
        return;
    }
    agents_list(&balancer->forwarder.agents, registration.addr,
                hash_service(registration.service), registration.data_centre,
                loop_now_us(&balancer->loop));
    /* A complete list is logged as one line: a line for each agent would
     * delay the start. */
    if (watcher->state == WATCHER_WATCH) {
        event_log_write(&balancer->log, EVENT_RATE_LIMITED, "agent_listed",
                        "agent=%s service=%s data_centre=%s revision=%" PRIu64,
                        object->name, registration.service,
                        registration.data_centre, object->revision);
    }
}

static void
agents_list_ended(struct watcher *watcher)
{
    struct relay_balancer *balancer =
        container_of(watcher, struct relay_balancer, agents_watcher);
    struct agents *agents = &balancer->forwarder.agents;
    uint64_t now_us = loop_now_us(&balancer->loop);

    agents_list_complete(agents);
    event_log_write(&balancer->log, EVENT_UNLIMITED, "agents_listed",
                    "agents=%zu revision=%" PRIu64, agents_count(agents),
                    watcher->revision);
    /* Iterate backwards: a removal moves the last row into the gap. */
    for (size_t i = agents_count(agents); i-- > 0;) {
        if (!agents_at(agents, i)->listed) {
            agents_unlist(agents, agents_at(agents, i)->addr, now_us);
        }
    }
}

static void
agents_ended(struct watcher *watcher, int status, bool changed)
{
    relay_balancer_store_ended(
        container_of(watcher, struct relay_balancer, agents_watcher), watcher,
        status, changed);
}

const struct watcher_ops relay_balancer_agents_ops = {
    .listing = agents_listing,
    .object = agents_object,
    .listed = agents_list_ended,
    .ended = agents_ended,
};

/* Confirmation that the list of agents is complete. */

static void
on_list_complete(struct confirm *confirm, uint64_t queried_us)
{
    struct relay_balancer *balancer =
        container_of(confirm, struct relay_balancer, confirm);

    if (g_hash_table_size(balancer->foreign_objects) == 0) {
        forwarder_confirmed(&balancer->forwarder, queried_us,
                            loop_now_us(&balancer->loop));
    }
}

const struct confirm_ops relay_balancer_confirm_ops = {on_list_complete};

/* Peers. */

static void
on_peer_config(struct config_peer *config_peer, struct json_object *config)
{
    struct relay_balancer *balancer =
        container_of(config_peer, struct relay_balancer, config_peer);

    if (config != NULL) {
        apply_config(balancer, config, "peer");
    }
}

static void
on_peer_agent(struct config_peer *config_peer, struct addr addr,
              uint32_t service, const char *data_centre)
{
    struct relay_balancer *balancer =
        container_of(config_peer, struct relay_balancer, config_peer);

    if (agents_find(&balancer->forwarder.agents, addr) == NULL) {
        agents_list(&balancer->forwarder.agents, addr, service, data_centre,
                    loop_now_us(&balancer->loop));
    }
}

static void
on_peer_reply(struct config_peer *config_peer, struct addr peer, int status)
{
    struct relay_balancer *balancer =
        container_of(config_peer, struct relay_balancer, config_peer);
    char text[ADDR_TEXT_MAX];

    event_log_write(&balancer->log, EVENT_RATE_LIMITED, "peer_asked",
                    "peer=%s config=%" PRIu64 " reason=\"%s\"",
                    addr_format(peer, text),
                    balancer->forwarder.routes.version,
                    status == 0 ? "" : strerror(-status));
}

const struct config_peer_ops relay_balancer_config_peer_ops = {
    .config = on_peer_config,
    .agent = on_peer_agent,
    .replied = on_peer_reply,
};
