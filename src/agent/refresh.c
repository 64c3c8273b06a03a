#define G_LOG_DOMAIN "swiftarch-agent"

#include <errno.h>

#include "agent/program.h"
#include "base/log.h"

bool
agent_accepts(const struct agent *agent)
{
    return agent->stop == AGENT_RUNNING && agent->service_known &&
           upstream_takes_work(&agent->upstream);
}

static void
set_flow_view(struct agent *agent, const struct view *view)
{
    pthread_mutex_lock(&agent->flow_lock);
    flow_set_view(agent->flows, view, agent->service.id,
                  agent_accepts(agent) && !agent->addresses.removed,
                  agent_now(agent));
    pthread_mutex_unlock(&agent->flow_lock);
}

/* Listens on the service's configured address only. */
static void
set_listening(struct agent *agent)
{
    struct addr wanted = {0};
    char address[ADDR_TEXT_MAX];

    if (agent->service_known && !agent->addresses.removed &&
        agent->service.proto == SERVICE_CONFIG_TCP) {
        wanted = (struct addr){agent->service.ip, agent->service.port};
    }
    if (addr_equal(wanted, agent->listening)) {
        return;
    }
    if (agent->listening.port != 0) {
        stack_unlisten(agent->stack, agent->listening);
    }
    agent->listening = (struct addr){0};
    if (wanted.port == 0) {
        return;
    }
    int ret = stack_add_address(agent->stack, wanted.ip);
    if (ret == 0) {
        ret = stack_listen(agent->stack, wanted);
    }
    if (ret < 0) {
        g_warning("Cannot serve %s: %s.", addr_format(wanted, address),
                  g_strerror(-ret));
        return;
    }
    agent->listening = wanted;
    g_message("Serving %s at %s.", agent->service.name,
              addr_format(wanted, address));
}

/* Resets the flows of the previous service after the upstream announced
 * another one. */
static void
reset_former_service(struct agent *agent)
{
    if (agent->service.id == 0 || !agent->upstream.announced ||
        agent->upstream.service == agent->service.id) {
        return;
    }
    g_warning("The host now serves %s: resetting the flows of %s.",
              agent->upstream.name, agent->service.name);
    frontend_abort_all(&agent->frontend);
    datagrams_finish(&agent->datagrams);
    datagrams_init(&agent->datagrams);
    agent->service = (struct service_config_entry){0};
}

static bool
is_service_address(const void *arg, struct addr local)
{
    return agent_address(arg, local.ip, local.port, SERVICE_CONFIG_TCP) !=
           FLOW_ADDRESS_NONE;
}

/* Resets flows to addresses that no longer belong to the service: balancers
 * forward no packets of them. */
static void
set_addresses(struct agent *agent, const struct service_config *config)
{
    bool removed = agent->addresses.removed;

    addresses_set(&agent->addresses, config, agent->service.id);
    frontend_abort_unless(&agent->frontend, is_service_address, agent);
    if (agent->service_known && agent->addresses.removed && !removed) {
        g_message("Service %s was removed: its open flows continue.",
                  agent->service.name);
    }
}

/* Applies the configuration of the announced service. */
static void
set_service(struct agent *agent, const struct service_config *config)
{
    struct upstream *upstream = &agent->upstream;
    const struct service_config_entry *service = NULL;

    reset_former_service(agent);
    if (config != NULL && upstream->announced) {
        service = service_config_find_with_retired(config, upstream->service);
    }
    agent->service_known = service != NULL;
    if (service != NULL) {
        agent->service = *service;
        agent->frontend.limits = (struct frontend_limits){
            .connections = service->limits.connections,
            .per_caller = service->limits.connections_per_caller,
            .body_max = service->limits.body_bytes,
            .idle_us = service->limits.idle_s * USEC_PER_SEC,
        };
    }
    else if (config != NULL && upstream->announced && !upstream->warned) {
        upstream->warned = true;
        g_warning("The configuration in force has no service %s.",
                  upstream->name);
    }
    if (config != NULL && upstream->announced) {
        set_addresses(agent, config);
    }
    set_listening(agent);
}

static enum member_state
announced_state(const struct agent *agent)
{
    const struct upstream *upstream = &agent->upstream;

    if (agent->stop != AGENT_RUNNING) {
        return MEMBER_LEAVING;
    }
    if (!upstream->announced) {
        return MEMBER_WARMING;
    }
    return upstream->lost ? MEMBER_DRAINING : upstream->state;
}

static struct blackboard_local
current_local(const struct agent *agent)
{
    const struct upstream *upstream = &agent->upstream;
    bool known = agent->service_known;

    return (struct blackboard_local){
        .state = announced_state(agent),
        .service = known ? agent->service.id : 0,
        .slots = known ? upstream->slots : 0,
        .busy = (uint16_t)MIN(engine_busy(agent->requests.engine), UINT16_MAX),
        .waiting =
            (uint16_t)MIN(engine_waiting(agent->requests.engine), UINT16_MAX),
    };
}

static void
update_blackboard(struct agent *agent)
{
    struct blackboard_local local = current_local(agent);
    struct blackboard_local before =
        blackboard_local(&agent->blackboard, NULL);

    blackboard_set_local(&agent->blackboard, &local);
    if (before.state != local.state || before.service != local.service ||
        before.slots != local.slots) {
        control_announce(agent->control);
    }
}

void
agent_publish_load(struct agent *agent)
{
    update_blackboard(agent);
}

static void
set_upstream(struct agent *agent)
{
    engine_set_upstream(
        agent->requests.engine, agent->service_known ? agent->service.id : 0,
        agent->upstream.lost ? 0 : agent->upstream.slots, agent_accepts(agent),
        agent_now(agent), &agent->requests.out);
    requests_execute_actions(agent);
}

/* Passes service, view and upstream to all components; called within an RCU
 * read-side critical section. */
static void
refresh_components(struct agent *agent, const struct view *view,
                   const struct service_config *config)
{
    set_service(agent, config);
    if (view != NULL) {
        set_flow_view(agent, view);
    }
    set_upstream(agent);
    update_blackboard(agent);
}

void
agent_upstream_changed(struct agent *agent)
{
    rcu_read_lock();
    refresh_components(agent, blackboard_view(&agent->blackboard),
                       blackboard_config(&agent->blackboard));
    rcu_read_unlock();
}

static void
service_config_changed(struct agent *agent, const struct view *view,
                       const struct service_config *config)
{
    g_message("Configuration %" G_GUINT64_FORMAT " is in force.",
              (guint64)config->version);
    engine_set_text(agent->requests.engine, config, agent_now(agent),
                    &agent->requests.out);
    requests_execute_actions(agent);
    agent->text_version = config->version;
    agent->upstream.warned = false;
    refresh_components(agent, view, config);
}

void
agent_refresh(struct agent *agent)
{
    rcu_read_lock();
    const struct view *view = blackboard_view(&agent->blackboard);
    const struct service_config *config =
        blackboard_config(&agent->blackboard);
    if (view != NULL && view->seq != agent->view_seq) {
        agent->view_seq = view->seq;
        set_flow_view(agent, view);
        orphan_notifier_set_view(agent, view);
        engine_set_view(agent->requests.engine, view, agent_now(agent),
                        &agent->requests.out);
        requests_execute_actions(agent);
    }
    if (config != NULL && config->version != agent->text_version) {
        service_config_changed(agent, view, config);
    }
    rcu_read_unlock();
}
