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

/* Listens where the text says, and nowhere else. */
static void
set_listening(struct agent *agent)
{
    struct addr want = {0};
    char text[ADDR_TEXT_MAX];

    if (agent->service_known && !agent->addresses.removed &&
        agent->service.proto == SERVICE_CONFIG_TCP) {
        want = (struct addr){agent->service.ip, agent->service.port};
    }
    if (addr_equal(want, agent->listening)) {
        return;
    }
    if (agent->listening.port != 0) {
        stack_unlisten(agent->stack, agent->listening);
    }
    agent->listening = (struct addr){0};
    if (want.port == 0) {
        return;
    }
    int ret = stack_add_address(agent->stack, want.ip);
    if (ret == 0) {
        ret = stack_listen(agent->stack, want);
    }
    if (ret < 0) {
        g_warning("Cannot serve %s: %s.", addr_format(want, text),
                  g_strerror(-ret));
        return;
    }
    agent->listening = want;
    g_message("Serving %s at %s.", agent->service.name,
              addr_format(want, text));
}

/* Flows of the service served before find nobody here any more. */
static void
reset_former_service(struct agent *agent)
{
    if (agent->service.id == 0 || !agent->upstream.announced ||
        agent->upstream.service == agent->service.id) {
        return;
    }
    g_warning("The host now serves %s: flows of %s are reset.",
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

/* Flows to an address that the text leaves to nobody or to others get no
 * packet any more: their callers are told. */
static void
set_addresses(struct agent *agent, const struct service_config *text)
{
    bool removed = agent->addresses.removed;

    addresses_set(&agent->addresses, text, agent->service.id);
    frontend_abort_unless(&agent->frontend, is_service_address, agent);
    if (agent->service_known && agent->addresses.removed && !removed) {
        g_message("%s was removed: its open flows go on.",
                  agent->service.name);
    }
}

/* Takes over what the text in force says of the announced service. */
static void
set_service(struct agent *agent, const struct service_config *text)
{
    struct upstream *upstream = &agent->upstream;
    const struct service_config_entry *service = NULL;

    reset_former_service(agent);
    if (text != NULL && upstream->announced) {
        service = service_config_find_with_retired(text, upstream->service);
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
    else if (text != NULL && upstream->announced && !upstream->warned) {
        upstream->warned = true;
        g_warning("The text in force knows no service %s.", upstream->name);
    }
    if (text != NULL && upstream->announced) {
        set_addresses(agent, text);
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

/* Hands everything to the cores again; inside an RCU read section. */
static void
refresh_components(struct agent *agent, const struct view *view,
                   const struct service_config *text)
{
    set_service(agent, text);
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
                       const struct service_config *text)
{
    g_message("Configuration %" G_GUINT64_FORMAT " is in force.",
              (guint64)text->version);
    engine_set_text(agent->requests.engine, text, agent_now(agent),
                    &agent->requests.out);
    requests_execute_actions(agent);
    agent->text_version = text->version;
    agent->upstream.warned = false;
    refresh_components(agent, view, text);
}

void
agent_refresh(struct agent *agent)
{
    rcu_read_lock();
    const struct view *view = blackboard_view(&agent->blackboard);
    const struct service_config *text = blackboard_config(&agent->blackboard);
    if (view != NULL && view->seq != agent->view_seq) {
        agent->view_seq = view->seq;
        set_flow_view(agent, view);
        orphan_notifier_set_view(agent, view);
        engine_set_view(agent->requests.engine, view, agent_now(agent),
                        &agent->requests.out);
        requests_execute_actions(agent);
    }
    if (text != NULL && text->version != agent->text_version) {
        service_config_changed(agent, view, text);
    }
    rcu_read_unlock();
}
