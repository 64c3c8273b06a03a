#include "relay/program/relay_balancer_private.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "base/container.h"

static void
log_change(struct relay_balancer *balancer, const char *source)
{
    const struct limits *limits = &balancer->limits;
    GString *names = g_string_new(NULL);

    for (unsigned i = 0; i < limits->policy.count; i++) {
        g_string_append_printf(names, "%s%s", i > 0 ? "," : "",
                               limits->policy.rules[i].name);
    }
    event_log_write(&balancer->log, EVENT_UNLIMITED, "limits",
                    "limits=%u names=%s era=%u revision=%" PRIu64 " source=%s",
                    limits->policy.count, names->len > 0 ? names->str : "-",
                    limits->epoch, limits->revision, source);
    g_string_free(names, TRUE);
}

static void
apply(struct relay_balancer *balancer, const struct limits_policy *policy,
      uint64_t revision, const char *source)
{
    unsigned before = balancer->limits.policy.count;

    balancer->limits_read = true;
    if (limits_apply(&balancer->limits, policy, balancer->limits_watcher.epoch,
                     revision, loop_now_us(&balancer->loop)) &&
        before + policy->count > 0) {
        log_change(balancer, source);
    }
}

static void
limits_listing(struct watcher *watcher)
{
    struct relay_balancer *balancer =
        container_of(watcher, struct relay_balancer, limits_watcher);

    balancer->limits_absent = true;
}

static void
limits_object(struct watcher *watcher, const struct store_object *object)
{
    struct relay_balancer *balancer =
        container_of(watcher, struct relay_balancer, limits_watcher);
    struct limits_policy *policy;
    struct error err = {0};
    char line[512];

    if (strcmp(object->name, LIMITS_POLICY_NAME) != 0) {
        return;
    }
    balancer->limits_absent = object->removed;
    if (object->removed) {
        return;
    }
    policy = g_new0(struct limits_policy, 1);
    if (limits_policy_decode(policy, object->value, &err) == 0) {
        apply(balancer, policy, object->revision, "store");
    }
    else {
        event_log_write(&balancer->log, EVENT_UNLIMITED, "limits_refused",
                        "revision=%" PRIu64 " reason=\"%s\"", object->revision,
                        error_format(&err, line, sizeof(line)));
    }
    g_free(policy);
}

static void
limits_listed(struct watcher *watcher)
{
    /* limits_ended() applies the absence of the object. */
}

static void
limits_ended(struct watcher *watcher, int status, bool changed)
{
    struct relay_balancer *balancer =
        container_of(watcher, struct relay_balancer, limits_watcher);

    if (status == 0 && watcher->state == WATCHER_WATCH &&
        balancer->limits_absent) {
        struct limits_policy *none = g_new0(struct limits_policy, 1);

        apply(balancer, none, watcher->revision, "store");
        balancer->limits_absent = false;
        g_free(none);
    }
    relay_balancer_store_ended(balancer, watcher, status, changed);
}

const struct watcher_ops relay_balancer_limits_ops = {
    .listing = limits_listing,
    .object = limits_object,
    .listed = limits_listed,
    .ended = limits_ended,
};

/* During an outage only the configuration watcher retries, as for the other
 * watchers. */
static bool
watch_allowed(const struct relay_balancer *balancer)
{
    return balancer->settings.limits &&
           (balancer->limits_watcher.failures == 0 ||
            balancer->config_watcher.failures == 0);
}

void
relay_balancer_limits_tick(struct relay_balancer *balancer, uint64_t now_us)
{
    if (!balancer->settings.limits) {
        return;
    }
    limits_set_time(&balancer->limits, g_get_real_time(), now_us);
    balancer->limits_watcher.slow_retry = !balancer->reader.reading;
    if (watch_allowed(balancer)) {
        watcher_tick(&balancer->limits_watcher, now_us);
    }
}

uint64_t
relay_balancer_limits_next_us(const struct relay_balancer *balancer)
{
    if (!watch_allowed(balancer)) {
        return UINT64_MAX;
    }
    return watcher_next_us(&balancer->limits_watcher);
}

static void
log_refusal(struct relay_balancer *balancer, struct relay_flow flow,
            struct limits_decision decision)
{
    char caller[ADDR_TEXT_MAX];
    char service[ADDR_TEXT_MAX];

    if (!event_log_allow(&balancer->log, EVENT_RATE_LIMITED)) {
        return;
    }
    event_log_write(&balancer->log, EVENT_RATE_LIMITED, "limited",
                    "caller=%s service=%s limit=%s reason=%s",
                    addr_format(flow.caller, caller),
                    addr_format(flow.service, service),
                    balancer->limits.policy.rules[decision.index].name,
                    decision.reason == LIMITS_RATE ? "rate" : "priority");
}

static bool
gate_allows(struct forwarder_gate *gate, struct relay_flow flow,
            const struct route *route, uint32_t service, uint64_t now_us)
{
    struct relay_balancer *balancer =
        container_of(gate, struct relay_balancer, gate);
    struct limits_flow limited = {
        .caller = flow.caller.ip,
        .service = service,
        .route = route->name,
        .priority = route->priority,
    };
    struct limits_decision decision =
        limits_decide(&balancer->limits, &limited, now_us);

    if (decision.reason == LIMITS_ALLOWED) {
        return true;
    }
    log_refusal(balancer, flow, decision);
    return false;
}

const struct forwarder_gate_ops relay_balancer_gate_ops = {gate_allows};
