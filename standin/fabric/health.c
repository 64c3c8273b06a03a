#define G_LOG_DOMAIN "swiftarch-fabric"

#include "standin/fabric/health.h"

#include <event2/http.h>
#include <stdlib.h>

#include "base/log.h"

#define OCTETS(ip) (ip) >> 24, (ip) >> 16 & 0xff, (ip) >> 8 & 0xff, (ip)&0xff

/**
 * struct probe - what is known of one balancer
 * @health: its owner
 * @index: which balancer
 * @conn: connection of the latest question, or NULL
 * @asking: its answer is awaited
 * @up: may get packets
 * @failures: questions without an answer, in a row
 */
struct probe {
    struct health *health;
    size_t index;
    struct evhttp_connection *conn;
    bool asking;
    bool up;
    unsigned failures;
};

struct health {
    struct event_base *base;
    const struct config *config;
    struct event *timer;
    size_t changes;
    struct probe probes[CONFIG_BALANCERS_MAX];
};

static void
set_up(struct probe *probe, bool up)
{
    char text[ADDR_TEXT_MAX];

    if (probe->up == up)
        return;
    probe->up = up;
    probe->health->changes++;
    g_message(
        "Balancer %s is %s.",
        addr_format(probe->health->config->balancers[probe->index].data, text),
        up ? "up" : "down");
}

/* The connection itself is freed at the next question. */
static void
on_answer(struct evhttp_request *request, void *data)
{
    struct probe *probe = data;
    int status =
        request != NULL ? evhttp_request_get_response_code(request) : 0;

    health_note(probe->health, probe->index, status);
}

static void
ask(struct probe *probe)
{
    const struct config *config = probe->health->config;
    struct addr http = config->balancers[probe->index].http;
    uint64_t timeout_us =
        (uint64_t)config->health_interval_ms * 1000 * HEALTH_TIMEOUT_INTERVALS;
    struct timeval timeout = {
        .tv_sec = (time_t)(timeout_us / 1000000),
        .tv_usec = (suseconds_t)(timeout_us % 1000000),
    };
    char host[ADDR_TEXT_MAX];
    struct evhttp_request *request = evhttp_request_new(on_answer, probe);

    g_snprintf(host, sizeof(host), "%u.%u.%u.%u", OCTETS(http.ip));
    probe->conn =
        evhttp_connection_base_new(probe->health->base, NULL, host, http.port);
    if (probe->conn == NULL || request == NULL) {
        if (request != NULL)
            evhttp_request_free(request);
        health_note(probe->health, probe->index, 0);
        return;
    }
    evhttp_connection_set_timeout_tv(probe->conn, &timeout);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                      host);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection",
                      "close");
    if (evhttp_make_request(probe->conn, request, EVHTTP_REQ_GET, "/ready") <
        0)
        health_note(probe->health, probe->index, 0);
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
    struct health *health = data;

    for (size_t i = 0; i < health->config->balancer_count; i++) {
        struct probe *probe = &health->probes[i];
        if (probe->asking)
            continue;
        if (probe->conn != NULL)
            evhttp_connection_free(probe->conn);
        probe->conn = NULL;
        probe->asking = true;
        ask(probe);
    }
}

struct health *
health_new(struct event_base *base, const struct config *config)
{
    struct health *health = calloc(1, sizeof(*health));
    struct timeval interval = {
        .tv_sec = config->health_interval_ms / 1000,
        .tv_usec = (suseconds_t)(config->health_interval_ms % 1000) * 1000,
    };

    if (health == NULL)
        return NULL;
    health->base = base;
    health->config = config;
    for (size_t i = 0; i < CONFIG_BALANCERS_MAX; i++) {
        health->probes[i].health = health;
        health->probes[i].index = i;
    }
    health->timer = event_new(base, -1, EV_PERSIST, on_timer, health);
    if (health->timer == NULL || event_add(health->timer, &interval) < 0) {
        health_free(health);
        return NULL;
    }
    on_timer(-1, 0, health);
    return health;
}

void
health_free(struct health *health)
{
    if (health == NULL)
        return;
    if (health->timer != NULL)
        event_free(health->timer);
    for (size_t i = 0; i < CONFIG_BALANCERS_MAX; i++)
        if (health->probes[i].conn != NULL)
            evhttp_connection_free(health->probes[i].conn);
    free(health);
}

bool
health_is_up(const struct health *health, size_t index)
{
    return health->probes[index].up;
}

void
health_note(struct health *health, size_t index, int status)
{
    struct probe *probe = &health->probes[index];

    probe->asking = false;
    if (status != 0) {
        probe->failures = 0;
        set_up(probe, status == 200);
        return;
    }
    if (++probe->failures >= HEALTH_FAILURES)
        set_up(probe, false);
}

size_t
health_changes(const struct health *health)
{
    return health->changes;
}
