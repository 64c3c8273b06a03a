#include "relay/program/relay_explain.h"

#include <stdio.h>

#include "base/clock.h"
#include "relay/program/relay_state.h"

static bool
read_flow(const struct httpd_request *request, struct relay_flow *flow)
{
    const char *caller = httpd_request_query(request, "caller");
    const char *service = httpd_request_query(request, "service");

    return caller != NULL && service != NULL &&
           addr_parse(caller, &flow->caller) == 0 &&
           addr_parse(service, &flow->service) == 0;
}

static void
respond_bad_request(struct httpd_request *request)
{
    static const char text[] =
        "{\"error\":\"caller and service must be ADDRESS:PORT\"}";

    httpd_respond(request, 400, "application/json", text, sizeof(text) - 1);
}

static void
add_addr(struct json_object *json, const char *key, struct addr addr)
{
    char text[ADDR_TEXT_MAX];

    if (addr.ip != 0) {
        json_object_object_add(
            json, key, json_object_new_string(addr_format(addr, text)));
    }
}

static struct json_object *
list_addrs(const struct addr *addrs, unsigned count)
{
    struct json_object *list = json_object_new_array();
    char text[ADDR_TEXT_MAX];

    for (unsigned i = 0; i < count; i++) {
        json_object_array_add(
            list, json_object_new_string(addr_format(addrs[i], text)));
    }
    return list;
}

static struct json_object *
balancer_json(const struct forwarder *forwarder,
              const struct forwarder_explanation *explanation)
{
    struct json_object *json = json_object_new_object();
    char service[16];

    snprintf(service, sizeof(service), "%08x", explanation->service);
    json_object_object_add(json, "role", json_object_new_string("balancer"));
    json_object_object_add(
        json, "version",
        json_object_new_int64((int64_t)forwarder->routes.version));
    json_object_object_add(
        json, "route",
        explanation->route != NULL
            ? json_object_new_string(explanation->route->name)
            : NULL);
    json_object_object_add(json, "service", json_object_new_string(service));
    json_object_object_add(json, "known",
                           json_object_new_boolean(explanation->known));
    json_object_object_add(json, "opened",
                           json_object_new_boolean(explanation->opened));
    json_object_object_add(json, "held",
                           json_object_new_boolean(explanation->queued));
    json_object_object_add(json, "tries",
                           json_object_new_int((int)explanation->tries));
    json_object_object_add(json, "searches",
                           json_object_new_int((int)explanation->lookups));
    json_object_object_add(
        json, "age_ms",
        json_object_new_int64((int64_t)(explanation->age_us / USEC_PER_MSEC)));
    json_object_object_add(json, "evacuated",
                           json_object_new_boolean(explanation->evacuated));
    add_addr(json, "holder", explanation->holder);
    json_object_object_add(
        json, "places",
        list_addrs(explanation->acceptors, explanation->acceptor_count));
    json_object_object_add(
        json, "next",
        list_addrs(explanation->next.addrs, explanation->next.count));
    return json;
}

/* Names of the limits that apply to a new flow of the same caller, and the one
 * that would refuse it now. */
static void
add_limits(struct json_object *json, const struct limits *limits,
           struct relay_flow flow,
           const struct forwarder_explanation *explanation, uint64_t now_us)
{
    struct json_object *names = json_object_new_array();
    struct limits_flow limited = {
        .caller = flow.caller.ip,
        .service = explanation->service,
        .route = explanation->route->name,
        .priority = explanation->route->priority,
    };
    struct limits_decision decision = limits_explain(limits, &limited, now_us);

    for (unsigned i = 0; i < limits->policy.count; i++) {
        if (limits_applies(limits, i, &limited, now_us)) {
            json_object_array_add(
                names, json_object_new_string(limits->policy.rules[i].name));
        }
    }
    json_object_object_add(json, "limits", names);
    if (decision.reason != LIMITS_ALLOWED) {
        json_object_object_add(
            json, "refused_by",
            json_object_new_string(limits->policy.rules[decision.index].name));
    }
}

void
relay_explain_balancer(struct httpd_request *request,
                       const struct forwarder *forwarder,
                       const struct limits *limits, uint64_t now_us)
{
    struct forwarder_explanation explanation;
    struct json_object *json;
    struct relay_flow flow;

    if (!read_flow(request, &flow)) {
        respond_bad_request(request);
        return;
    }
    forwarder_explain(forwarder, flow, now_us, &explanation);
    json = balancer_json(forwarder, &explanation);
    if (limits != NULL && explanation.route != NULL) {
        add_limits(json, limits, flow, &explanation, now_us);
    }
    relay_state_respond(request, json);
}

static void
add_held(struct json_object *json,
         const struct admission_explanation *explanation)
{
    json_object_object_add(json, "priority",
                           json_object_new_int(explanation->priority));
    json_object_object_add(json, "before",
                           json_object_new_int((int)explanation->before));
    json_object_object_add(
        json, "wait_ms",
        json_object_new_int64(
            (int64_t)(explanation->wait_us / USEC_PER_MSEC)));
    json_object_object_add(
        json, "left_ms",
        json_object_new_int64(
            (int64_t)(explanation->left_us / USEC_PER_MSEC)));
}

static struct json_object *
agent_json(const struct admission_explanation *explanation, bool known)
{
    struct json_object *json = json_object_new_object();

    json_object_object_add(json, "role", json_object_new_string("agent"));
    json_object_object_add(json, "known", json_object_new_boolean(known));
    if (!known) {
        return json;
    }
    json_object_object_add(json, "state",
                           json_object_new_string(explanation->state));
    json_object_object_add(json, "confirmed",
                           json_object_new_boolean(explanation->confirmed));
    json_object_object_add(json, "proven",
                           json_object_new_boolean(explanation->proven));
    json_object_object_add(json, "in_progress",
                           json_object_new_boolean(explanation->in_progress));
    json_object_object_add(json, "held",
                           json_object_new_boolean(explanation->held));
    if (explanation->held) {
        add_held(json, explanation);
    }
    add_addr(json, "balancer", explanation->origin);
    add_addr(json, "sent_to", explanation->target);
    return json;
}

void
relay_explain_agent(struct httpd_request *request,
                    const struct admission *admission, uint64_t now_us)
{
    struct admission_explanation explanation;
    struct relay_flow flow;
    bool known;

    if (!read_flow(request, &flow)) {
        respond_bad_request(request);
        return;
    }
    known = admission_explain(admission, flow, now_us, &explanation);
    relay_state_respond(request, agent_json(&explanation, known));
}
