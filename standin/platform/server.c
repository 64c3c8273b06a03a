#include "standin/platform/server.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <microhttpd.h>

#include "base/clock.h"
#include "standin/platform/server_http.h"

#define OBJECTS_PATH "/v1/objects/"
#define WATCH_MAX_S 300
#define HTTP_REQUIRED 428

/** struct request - a call whose body is being read */
struct request {
    GByteArray *body;
    bool too_large;
};

/** enum call_kind - how a call counts */
enum call_kind { CALL_READ, CALL_WATCH, CALL_WRITE };

static const char *const mode_words[] = {
    [SERVER_NONE] = "none",
    [SERVER_DOWN] = "down",
    [SERVER_BUSY] = "busy",
    [SERVER_SLOW] = "slow",
    [SERVER_SLOW_WRITE] = "slow-write",
    [SERVER_LOSE_ANSWER] = "lose-answer",
    [SERVER_LOSE_WRITE] = "lose-write",
    [SERVER_WATCH_ENDS] = "watch-ends",
    [SERVER_WATCH_SKIPS] = "watch-skips",
};

int
server_parse_mode(const char *word, enum server_mode *mode)
{
    for (size_t i = 0; i < G_N_ELEMENTS(mode_words); i++) {
        if (strcmp(mode_words[i], word) == 0) {
            *mode = (enum server_mode)i;
            return 0;
        }
    }
    return -EINVAL;
}

/* Whether the fault in force is @mode; each time counts against its end.
 * The lock is held. */
static bool
strikes(struct server *server, enum server_mode mode)
{
    if (server->fault.mode != mode) {
        return false;
    }
    if (server->fault.count > 0 && --server->fault.count == 0) {
        server->fault.mode = SERVER_NONE;
    }
    return true;
}

/* Counts a call; false when it is above the rates. The lock is held. */
static bool
count_call(struct server *server, enum call_kind kind)
{
    struct server_stats *stats = &server->stats;
    struct server_second *now = &server->now;
    uint64_t second = (uint64_t)g_get_monotonic_time() / USEC_PER_SEC;

    if (now->second != second) {
        *now = (struct server_second){.second = second};
    }
    stats->calls++;
    stats->reads += kind == CALL_READ;
    stats->watches += kind == CALL_WATCH;
    stats->writes += kind == CALL_WRITE;
    now->writes += kind == CALL_WRITE;
    now->reads += kind != CALL_WRITE;
    stats->peak_reads_per_s = MAX(stats->peak_reads_per_s, now->reads);
    stats->peak_writes_per_s = MAX(stats->peak_writes_per_s, now->writes);
    stats->peak_calls_per_s =
        MAX(stats->peak_calls_per_s, now->reads + now->writes);
    if (kind == CALL_WRITE) {
        return server->writes_per_s == 0 ||
               now->writes <= server->writes_per_s;
    }
    return server->reads_per_s == 0 || now->reads <= server->reads_per_s;
}

/* Waits out @mode, if it is in force; ends early when the server stops. The
 * lock is held. */
static void
delay(struct server *server, enum server_mode mode)
{
    gint64 end;

    if (!strikes(server, mode)) {
        return;
    }
    end = g_get_monotonic_time() + (gint64)server->fault.ms * 1000;
    while (!server->stopping &&
           g_cond_wait_until(&server->changed, &server->lock, end)) {
    }
}

/**
 * struct gate - what a call meets before it is served
 * @open: it may be served
 * @status: else the answer, 0 to close the connection without one
 */
struct gate {
    bool open;
    unsigned status;
};

static struct gate
enter(struct server *server, enum call_kind kind)
{
    struct gate gate = {.open = true};

    g_mutex_lock(&server->lock);
    if (!count_call(server, kind)) {
        gate = (struct gate){.status = MHD_HTTP_TOO_MANY_REQUESTS};
    }
    else if (strikes(server, SERVER_DOWN)) {
        gate = (struct gate){.status = 0};
    }
    else if (strikes(server, SERVER_BUSY)) {
        gate = (struct gate){.status = MHD_HTTP_SERVICE_UNAVAILABLE};
    }
    server->stats.refused += !gate.open;
    g_mutex_unlock(&server->lock);
    return gate;
}

static enum MHD_Result
turn_away(struct MHD_Connection *connection, struct gate gate)
{
    if (gate.status == 0) {
        return MHD_NO;
    }
    return server_answer_text(connection, gate.status, "not now\n");
}

static void
slow_down(struct server *server)
{
    g_mutex_lock(&server->lock);
    delay(server, SERVER_SLOW);
    g_mutex_unlock(&server->lock);
}

static enum MHD_Result
serve_get(struct server *server, struct MHD_Connection *connection,
          const char *name)
{
    GBytes *value = NULL;
    uint64_t version = store_get(&server->store, name, &value);
    enum MHD_Result result;

    slow_down(server);
    if (version == 0) {
        return server_answer_text(connection, MHD_HTTP_NOT_FOUND,
                                  "no such object\n");
    }
    result = server_answer(connection, MHD_HTTP_OK, version, value);
    g_bytes_unref(value);
    return result;
}

/**
 * enum watch_end - why a watch stopped waiting
 */
enum watch_end { WATCH_CHANGED, WATCH_TIMEOUT, WATCH_BROKEN };

/* Waits for a version above @after. The lock is held: store_put() is called
 * under it too, so no change falls between the look and the wait. */
static enum watch_end
wait_above(struct server *server, const char *name, uint64_t after, gint64 end)
{
    bool skips = strikes(server, SERVER_WATCH_SKIPS);

    if (strikes(server, SERVER_WATCH_ENDS)) {
        end =
            MIN(end, g_get_monotonic_time() + (gint64)server->fault.ms * 1000);
        while (!server->stopping &&
               g_cond_wait_until(&server->changed, &server->lock, end)) {
        }
        return WATCH_BROKEN;
    }
    while (skips || store_get(&server->store, name, NULL) <= after) {
        if (server->stopping || server->fault.mode == SERVER_DOWN) {
            return WATCH_BROKEN;
        }
        if (!g_cond_wait_until(&server->changed, &server->lock, end)) {
            return WATCH_TIMEOUT;
        }
    }
    return WATCH_CHANGED;
}

static enum MHD_Result
serve_watch(struct server *server, struct MHD_Connection *connection,
            const char *name, uint64_t after, uint64_t wait_s)
{
    gint64 end = g_get_monotonic_time() +
                 (gint64)MIN(wait_s, WATCH_MAX_S) * (gint64)USEC_PER_SEC;
    enum watch_end how;

    g_mutex_lock(&server->lock);
    server->stats.watching++;
    how = wait_above(server, name, after, end);
    server->stats.watching--;
    g_mutex_unlock(&server->lock);
    if (how == WATCH_CHANGED) {
        return serve_get(server, connection, name);
    }
    if (how == WATCH_TIMEOUT) {
        return server_answer(connection, MHD_HTTP_NOT_MODIFIED, after, NULL);
    }
    return MHD_NO;
}

static int
read_condition(struct MHD_Connection *connection, uint64_t *expect)
{
    const char *match = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_IF_MATCH);
    const char *none = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_IF_NONE_MATCH);
    char *end;

    if (match == NULL && none != NULL && strcmp(none, "*") == 0) {
        *expect = 0;
        return 0;
    }
    if (match == NULL || none != NULL || match[0] != '"') {
        return -EINVAL;
    }
    *expect = g_ascii_strtoull(match + 1, &end, 10);
    return strcmp(end, "\"") == 0 && *expect > 0 ? 0 : -EINVAL;
}

/**
 * struct written - what became of a write
 * @rc: of store_put()
 * @version: now
 * @lost: the answer is not sent
 */
struct written {
    int rc;
    uint64_t version;
    bool lost;
};

static struct written
write_object(struct server *server, const char *name, uint64_t expect,
             GBytes *value)
{
    struct written written = {0};

    g_mutex_lock(&server->lock);
    if (strikes(server, SERVER_LOSE_WRITE)) {
        written.lost = true;
    }
    else {
        written.rc =
            store_put(&server->store, name, expect, value, &written.version);
        written.lost = strikes(server, SERVER_LOSE_ANSWER);
    }
    server->stats.lost += written.lost;
    server->stats.conflicts += written.rc == -ESTALE;
    g_cond_broadcast(&server->changed);
    delay(server, SERVER_SLOW);
    delay(server, SERVER_SLOW_WRITE);
    g_mutex_unlock(&server->lock);
    return written;
}

static enum MHD_Result
serve_put(struct server *server, struct MHD_Connection *connection,
          const char *name, struct request *request)
{
    struct written written;
    GBytes *value;
    uint64_t expect;

    if (request->too_large) {
        return server_answer_text(connection, MHD_HTTP_CONTENT_TOO_LARGE,
                                  "a value has at most 1 MiB\n");
    }
    if (read_condition(connection, &expect) < 0) {
        return server_answer_text(
            connection, HTTP_REQUIRED,
            "If-Match: \"V\" or If-None-Match: * expected\n");
    }
    value = g_byte_array_free_to_bytes(request->body);
    request->body = g_byte_array_new();
    written = write_object(server, name, expect, value);
    g_bytes_unref(value);
    if (written.lost) {
        return MHD_NO;
    }
    switch (written.rc) {
    case 0:
        return server_answer(connection, MHD_HTTP_OK, written.version, NULL);
    case -ESTALE:
        return server_answer(connection, MHD_HTTP_PRECONDITION_FAILED,
                             written.version, NULL);
    default:
        return server_answer_text(connection, MHD_HTTP_INSUFFICIENT_STORAGE,
                                  "too many objects\n");
    }
}

static enum MHD_Result
serve_object(struct server *server, struct MHD_Connection *connection,
             const char *name, const char *method, struct request *request)
{
    uint64_t after;
    uint64_t wait_s;
    bool waits;
    struct gate gate;

    if (strcmp(method, MHD_HTTP_METHOD_PUT) == 0) {
        gate = enter(server, CALL_WRITE);
        return gate.open ? serve_put(server, connection, name, request)
                         : turn_away(connection, gate);
    }
    if (strcmp(method, MHD_HTTP_METHOD_GET) != 0) {
        return server_answer_text(connection, MHD_HTTP_METHOD_NOT_ALLOWED,
                                  "GET or PUT expected\n");
    }
    waits = server_query_number(connection, "after", &after) &&
            server_query_number(connection, "wait", &wait_s);
    gate = enter(server, waits ? CALL_WATCH : CALL_READ);
    if (!gate.open) {
        return turn_away(connection, gate);
    }
    return waits ? serve_watch(server, connection, name, after, wait_s)
                 : serve_get(server, connection, name);
}

static enum MHD_Result
serve(struct server *server, struct MHD_Connection *connection,
      const char *url, const char *method, struct request *request)
{
    if (g_str_has_prefix(url, OBJECTS_PATH) &&
        url[strlen(OBJECTS_PATH)] != '\0') {
        return serve_object(server, connection, url + strlen(OBJECTS_PATH),
                            method, request);
    }
    if (strcmp(url, "/fault") == 0 &&
        strcmp(method, MHD_HTTP_METHOD_PUT) == 0) {
        return server_serve_fault(server, connection);
    }
    if (strcmp(url, "/stats") == 0) {
        return server_serve_stats(server, connection);
    }
    return server_answer_text(connection, MHD_HTTP_NOT_FOUND,
                              "no such path\n");
}

static void
take_upload(struct request *request, const char *data, size_t len)
{
    if (request->body->len + len > STORE_VALUE_MAX) {
        request->too_large = true;
        return;
    }
    g_byte_array_append(request->body, (const guint8 *)data, (guint)len);
}

static enum MHD_Result
on_call(void *arg, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *upload,
        size_t *upload_len, void **state)
{
    struct request *request = *state;

    if (request == NULL) {
        request = g_new0(struct request, 1);
        request->body = g_byte_array_new();
        *state = request;
        return MHD_YES;
    }
    if (*upload_len > 0) {
        take_upload(request, upload, *upload_len);
        *upload_len = 0;
        return MHD_YES;
    }
    return serve(arg, connection, url, method, request);
}

static void
on_completed(void *arg, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode code)
{
    struct request *request = *state;

    if (request != NULL) {
        g_byte_array_free(request->body, TRUE);
        g_free(request);
    }
    *state = NULL;
}

int
server_init(struct server *server, struct addr listen, struct error *err)
{
    struct sockaddr_in sin = addr_to_sockaddr(listen);
    char peer[ADDR_TEXT_MAX];

    memset(server, 0, sizeof(*server));
    server->reads_per_s = SERVER_READS_PER_S;
    server->writes_per_s = SERVER_WRITES_PER_S;
    store_init(&server->store);
    g_mutex_init(&server->lock);
    g_cond_init(&server->changed);
    server->daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION |
            MHD_USE_POLL,
        listen.port, NULL, NULL, on_call, server, MHD_OPTION_SOCK_ADDR, &sin,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
    if (server->daemon == NULL) {
        int code = errno != 0 ? -errno : -EIO;

        server_finish(server);
        return error_set(err, code, "listen", addr_format(listen, peer),
                         "the HTTP server did not start");
    }
    return 0;
}

void
server_finish(struct server *server)
{
    g_mutex_lock(&server->lock);
    server->stopping = true;
    g_cond_broadcast(&server->changed);
    g_mutex_unlock(&server->lock);
    if (server->daemon != NULL) {
        MHD_stop_daemon(server->daemon);
    }
    store_finish(&server->store);
    g_cond_clear(&server->changed);
    g_mutex_clear(&server->lock);
}

uint16_t
server_port(const struct server *server)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT);

    return info != NULL ? info->port : 0;
}

void
server_set_fault(struct server *server, struct server_fault fault)
{
    g_mutex_lock(&server->lock);
    server->fault = fault;
    g_cond_broadcast(&server->changed);
    g_mutex_unlock(&server->lock);
}

struct server_stats
server_read_stats(struct server *server)
{
    struct server_stats stats;

    g_mutex_lock(&server->lock);
    stats = server->stats;
    g_mutex_unlock(&server->lock);
    return stats;
}
