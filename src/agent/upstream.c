#define G_LOG_DOMAIN "swiftarch-agent"

#include "agent/upstream.h"

#include <errno.h>
#include <string.h>

#include "agent/program.h"
#include "base/hash.h"
#include "base/log.h"

enum {
    STATUS_OK = 200,
    STATUS_NO_CONTENT = 204,
    STATUS_BAD_REQUEST = 400,
    STATUS_FORBIDDEN = 403,
    STATUS_NOT_FOUND = 404,
    STATUS_NOT_ALLOWED = 405,
    STATUS_UNAVAILABLE = 503
};

#define LOOPBACK_NET 127
#define TEXT_PLAIN "text/plain; charset=utf-8"

static void
respond(struct httpd_request *request, int status, const char *text)
{
    httpd_respond(request, status, TEXT_PLAIN, text, strlen(text));
}

static bool
is_unchanged(const struct upstream *upstream,
             const struct announcement *announcement)
{
    return upstream->announced && !upstream->lost &&
           strcmp(upstream->name, announcement->service) == 0 &&
           addr_equal(upstream->addr, announcement->addr) &&
           upstream->slots == announcement->slots &&
           upstream->state == announcement->state;
}

static void
accept_announcement(struct agent *agent,
                    const struct announcement *announcement)
{
    struct upstream *upstream = &agent->upstream;
    bool changed = !is_unchanged(upstream, announcement);
    char text[ADDR_TEXT_MAX];

    upstream->announced_us = agent_now(agent);
    if (!changed) {
        return;
    }
    upstream->announced = true;
    upstream->lost = false;
    upstream->warned = false;
    g_strlcpy(upstream->name, announcement->service, sizeof(upstream->name));
    upstream->service = hash_service(announcement->service);
    upstream->addr = announcement->addr;
    upstream->slots = announcement->slots;
    upstream->state = announcement->state;
    g_message("Announcement of the upstream of %s at %s: %u slots, %s.",
              upstream->name, addr_format(upstream->addr, text),
              upstream->slots,
              upstream->state == MEMBER_READY     ? "ready"
              : upstream->state == MEMBER_WARMING ? "warming"
                                                  : "draining");
    agent_upstream_changed(agent);
}

static void
mark_lost(struct agent *agent, const char *reason)
{
    if (agent->upstream.announced && !agent->upstream.lost) {
        agent->upstream.lost = true;
        g_warning("The upstream is lost: %s.", reason);
        agent_upstream_changed(agent);
    }
}

/* Whether only the same host can reach the listener; announcements are
 * accepted from there only. */
static bool
listens_on_loopback(const struct agent *agent)
{
    return agent->settings.http.ip >> 24 == LOOPBACK_NET;
}

static void
put_announce(struct agent *agent, struct httpd_request *request)
{
    struct announcement announcement;
    struct error err;
    size_t len;
    const char *body = httpd_request_body(request, &len);

    if (announcement_parse(body, len, &announcement, &err) < 0) {
        char line[ERROR_DETAIL_MAX + ERROR_PEER_MAX + ERROR_STEP_MAX];
        respond(request, STATUS_BAD_REQUEST,
                error_format(&err, line, sizeof(line)));
        return;
    }
    accept_announcement(agent, &announcement);
    httpd_respond(request, STATUS_NO_CONTENT, TEXT_PLAIN, "", 0);
}

static void
serve_announce(struct agent *agent, struct httpd_request *request)
{
    const char *method = httpd_request_method(request);

    if (!listens_on_loopback(agent)) {
        respond(request, STATUS_FORBIDDEN,
                "announcements are taken on loopback only\n");
    }
    else if (strcmp(method, "PUT") == 0) {
        put_announce(agent, request);
    }
    else if (strcmp(method, "DELETE") == 0) {
        mark_lost(agent, "it withdrew its announcement");
        httpd_respond(request, STATUS_NO_CONTENT, TEXT_PLAIN, "", 0);
    }
    else {
        respond(request, STATUS_NOT_ALLOWED, "PUT or DELETE\n");
    }
}

static void
serve_ready(struct agent *agent, struct httpd_request *request)
{
    if (agent_accepts(agent)) {
        respond(request, STATUS_OK, "ready\n");
    }
    else if (agent->stop != AGENT_RUNNING) {
        respond(request, STATUS_UNAVAILABLE, "stopping\n");
    }
    else if (!upstream_takes_work(&agent->upstream)) {
        respond(request, STATUS_UNAVAILABLE, "no upstream takes work\n");
    }
    else {
        respond(request, STATUS_UNAVAILABLE,
                "no configuration with this service\n");
    }
}

static void
serve_metrics(struct agent *agent, struct httpd_request *request)
{
    size_t len;

    metrics_update(agent);
    char *text = counter_render(&agent->counters, &len);

    httpd_respond(request, STATUS_OK, "text/plain; version=0.0.4", text, len);
    g_free(text);
}

static int
on_request(struct httpd_handler *handler, struct httpd_request *request)
{
    struct agent *agent = ((struct upstream *)handler)->agent;
    const char *path = httpd_request_path(request);

    if (strcmp(path, "/announce") == 0) {
        serve_announce(agent, request);
    }
    else if (strcmp(path, "/ready") == 0) {
        serve_ready(agent, request);
    }
    else if (strcmp(path, "/metrics") == 0) {
        serve_metrics(agent, request);
    }
    else {
        respond(request, STATUS_NOT_FOUND, "no such page\n");
    }
    return 0;
}

static const struct httpd_ops httpd_ops = {.on_request = on_request};

int
upstream_init(struct agent *agent, struct error *err)
{
    struct upstream *upstream = &agent->upstream;

    upstream->handler.ops = &httpd_ops;
    upstream->agent = agent;
    upstream->httpd =
        httpd_new(agent->base, agent->settings.http, &upstream->handler, err);
    return upstream->httpd == NULL ? err->code : 0;
}

void
upstream_finish(struct agent *agent)
{
    httpd_free(agent->upstream.httpd);
    agent->upstream.httpd = NULL;
}

void
upstream_tick(struct agent *agent)
{
    if (agent_now(agent) - agent->upstream.announced_us >
        UPSTREAM_TIMEOUT_US) {
        mark_lost(agent, "its announcements have stopped");
    }
}

void
upstream_connect_failed(struct agent *agent)
{
    mark_lost(agent, "it refuses connections");
}

bool
upstream_takes_work(const struct upstream *upstream)
{
    return upstream->announced && !upstream->lost &&
           upstream->state != MEMBER_DRAINING;
}
