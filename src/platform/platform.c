#include "platform/platform.h"

#include <errno.h>
#include <event2/dns.h>
#include <event2/http.h>
#include <inttypes.h>
#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "base/container.h"
#include "base/httpc.h"
#include "platform/tls.h"

#define NAME_MAX_LEN 128
#define PORT_HTTP 80
#define PORT_HTTPS 443

/**
 * struct platform - client of the object API
 * @base: event base
 * @url: base URL, for errors
 * @host: host of @url
 * @path: path of @url without a trailing slash
 * @peer: peer of the connections
 * @tls: TLS transport of https URLs
 * @transfers: all struct transfer; idle if without a call
 * @calls: number of calls started
 */
struct platform {
    struct event_base *base;
    char *url;
    char *host;
    char *path;
    struct httpc_peer peer;
    struct tls tls;
    GPtrArray *transfers;
    uint64_t calls;
};

/**
 * struct transfer - a connection with at most one call in progress
 * @http: HTTP call
 * @platform: client that it belongs to
 * @httpc: connection
 * @call: call in progress, NULL while idle
 * @step: name of the operation, for errors
 * @is_write: the call is a PUT
 */
struct transfer {
    struct httpc_call http;
    struct platform *platform;
    struct httpc *httpc;
    struct platform_call *call;
    const char *step;
    bool is_write;
};

/* Parses an ETag of the form "VERSION". Returns 0 for anything else. */
static uint64_t
version_of(const char *etag)
{
    char *end;
    uint64_t version;

    if (etag == NULL || etag[0] != '"' || !g_ascii_isdigit(etag[1])) {
        return 0;
    }
    version = g_ascii_strtoull(etag + 1, &end, 10);
    return strcmp(end, "\"") == 0 ? version : 0;
}

static int
status_of(int http, uint64_t version)
{
    switch (http) {
    case HTTPC_OK:
    case HTTPC_CREATED:
    case HTTPC_NO_CONTENT:
        return version != 0 ? 0 : -EPROTO;
    case HTTPC_NOT_MODIFIED:
        return -EAGAIN;
    case HTTPC_NOT_FOUND:
        return -ENOENT;
    case HTTPC_PRECONDITION_FAILED:
        return -ESTALE;
    case HTTPC_TOO_LARGE:
        return -EMSGSIZE;
    case HTTPC_TOO_MANY_REQUESTS:
    case HTTPC_UNAVAILABLE:
        return -EBUSY;
    default:
        return -EIO;
    }
}

static const char *
status_message(int status)
{
    switch (status) {
    case -ECONNREFUSED:
        return "no server listens on this address";
    case -ECONNRESET:
        return "the connection closed before the reply";
    case -ETIMEDOUT:
        return "no reply before the timeout";
    case -EMSGSIZE:
        return "the reply is too large";
    default:
        return "the request failed or the reply is invalid";
    }
}

static void
fill_failure(const struct transfer *transfer, int status,
             struct platform_reply *reply)
{
    const struct platform *platform = transfer->platform;
    const char *verify_error = platform->tls.verify_error;

    reply->status = status;
    error_set(&reply->error, status, transfer->step, platform->url, "%s",
              verify_error != NULL ? verify_error : status_message(status));
}

static void
fill_reply(const struct transfer *transfer,
           const struct httpc_reply *http_reply, struct platform_reply *reply)
{
    if (http_reply->status < 0) {
        fill_failure(transfer, http_reply->status, reply);
        return;
    }
    reply->version = version_of(http_reply->etag);
    reply->status = status_of(http_reply->status, reply->version);
    if (reply->status == 0 && !transfer->is_write) {
        reply->value = http_reply->body;
        reply->len = http_reply->len;
    }
    if (reply->status != 0) {
        error_set(&reply->error, reply->status, transfer->step,
                  transfer->platform->url,
                  "the platform answered with HTTP status %d",
                  http_reply->status);
    }
}

static void
on_done(struct httpc_call *http, const struct httpc_reply *http_reply)
{
    struct transfer *transfer = container_of(http, struct transfer, http);
    struct platform_call *call = transfer->call;
    struct platform_reply reply = {0};

    fill_reply(transfer, http_reply, &reply);
    transfer->call = NULL;
    call->done(call, &reply);
}

static void
transfer_free(gpointer data)
{
    struct transfer *transfer = data;

    httpc_free(transfer->httpc);
    g_free(transfer);
}

/* Returns an idle connection or opens a new one; NULL without memory. */
static struct transfer *
transfer_get(struct platform *platform)
{
    struct transfer *transfer;

    for (guint i = 0; i < platform->transfers->len; i++) {
        transfer = g_ptr_array_index(platform->transfers, i);
        if (transfer->call == NULL) {
            return transfer;
        }
    }
    transfer = g_new0(struct transfer, 1);
    transfer->http.done = on_done;
    transfer->platform = platform;
    transfer->httpc =
        httpc_new(platform->base, &platform->peer, PLATFORM_VALUE_MAX);
    if (transfer->httpc == NULL) {
        g_free(transfer);
        return NULL;
    }
    g_ptr_array_add(platform->transfers, transfer);
    return transfer;
}

static bool
name_is_valid(const char *name)
{
    size_t len = strlen(name);

    if (len == 0 || len > NAME_MAX_LEN) {
        return false;
    }
    for (size_t i = 0; i < len; i++) {
        if (!g_ascii_isalnum(name[i]) && strchr("-_.", name[i]) == NULL) {
            return false;
        }
    }
    return name[0] != '.';
}

static int
start(struct platform *platform, const char *step,
      struct httpc_request *request, const char *name, const char *query,
      struct platform_call *call)
{
    struct transfer *transfer;
    char *target;
    int ret;

    if (!name_is_valid(name)) {
        return -EINVAL;
    }
    transfer = transfer_get(platform);
    if (transfer == NULL) {
        return -ENOMEM;
    }
    transfer->step = step;
    transfer->is_write = request->method == HTTPC_PUT;
    target =
        g_strdup_printf("%s/v1/objects/%s%s", platform->path, name, query);
    request->target = target;
    ret = httpc_start(transfer->httpc, request, &transfer->http);
    g_free(target);
    if (ret == 0) {
        transfer->call = call;
        platform->calls++;
    }
    return ret;
}

/* Sets host, port, path and transport from a base URL. */
static int
set_url(struct platform *platform, const struct evhttp_uri *uri)
{
    const char *scheme = evhttp_uri_get_scheme(uri);
    const char *host = evhttp_uri_get_host(uri);
    const char *path = evhttp_uri_get_path(uri);
    int port = evhttp_uri_get_port(uri);
    bool secure = g_strcmp0(scheme, "https") == 0;
    size_t len;

    if ((!secure && g_strcmp0(scheme, "http") != 0) || host == NULL ||
        host[0] == '\0') {
        return -EINVAL;
    }
    platform->host = g_strdup(host);
    platform->path = g_strdup(path != NULL ? path : "");
    len = strlen(platform->path);
    while (len > 0 && platform->path[len - 1] == '/') {
        platform->path[--len] = '\0';
    }
    platform->peer.host = platform->host;
    platform->peer.port =
        port > 0 ? (uint16_t)port : (secure ? PORT_HTTPS : PORT_HTTP);
    if (!secure) {
        return 0;
    }
    platform->peer.transport = &platform->tls.base;
    return tls_init(&platform->tls, host);
}

static int
platform_init(struct platform *platform, const char *url)
{
    struct evhttp_uri *uri = evhttp_uri_parse(url);
    int ret = uri != NULL ? set_url(platform, uri) : -EINVAL;

    if (uri != NULL) {
        evhttp_uri_free(uri);
    }
    if (ret == 0 && !g_hostname_is_ip_address(platform->host)) {
        platform->peer.dns_base = evdns_base_new(
            platform->base, EVDNS_BASE_INITIALIZE_NAMESERVERS |
                                EVDNS_BASE_DISABLE_WHEN_INACTIVE);
        ret = platform->peer.dns_base != NULL ? 0 : -ENOENT;
    }
    return ret;
}

struct platform *
platform_new(struct event_base *base, const char *url, struct error *err)
{
    struct platform *platform = g_new0(struct platform, 1);
    int ret;

    platform->base = base;
    platform->url = g_strdup(url);
    platform->transfers = g_ptr_array_new_with_free_func(transfer_free);
    ret = platform_init(platform, url);
    if (ret < 0) {
        error_set(err, ret, "platform", url, "%s",
                  ret == -EINVAL
                      ? "the base URL must begin with http:// or https://"
                      : "the client could not be set up");
        platform_free(platform);
        return NULL;
    }
    return platform;
}

void
platform_free(struct platform *platform)
{
    if (platform == NULL) {
        return;
    }
    g_ptr_array_free(platform->transfers, TRUE);
    if (platform->peer.dns_base != NULL) {
        evdns_base_free(platform->peer.dns_base, 0);
    }
    if (platform->tls.context != NULL) {
        tls_finish(&platform->tls);
    }
    g_free(platform->host);
    g_free(platform->path);
    g_free(platform->url);
    g_free(platform);
}

int
platform_get(struct platform *platform, const char *name,
             struct platform_call *call)
{
    struct httpc_request request = {
        .method = HTTPC_GET,
        .timeout_ms = PLATFORM_TIMEOUT_MS,
    };

    return start(platform, "read", &request, name, "", call);
}

int
platform_watch(struct platform *platform, const char *name, uint64_t after,
               unsigned wait_s, struct platform_call *call)
{
    struct httpc_request request = {
        .method = HTTPC_GET,
        .timeout_ms = wait_s * 1000 + PLATFORM_TIMEOUT_MS,
    };
    char query[64];

    g_snprintf(query, sizeof(query), "?after=%" PRIu64 "&wait=%u", after,
               wait_s);
    return start(platform, "watch", &request, name, query, call);
}

int
platform_put(struct platform *platform, const char *name, uint64_t expect,
             const char *value, size_t len, struct platform_call *call)
{
    char version[32];
    struct httpc_request request = {
        .method = HTTPC_PUT,
        .header = expect == 0 ? "If-None-Match" : "If-Match",
        .value = expect == 0 ? "*" : version,
        .body = value,
        .len = len,
        .timeout_ms = PLATFORM_TIMEOUT_MS,
    };

    if (len > PLATFORM_VALUE_MAX) {
        return -EMSGSIZE;
    }
    g_snprintf(version, sizeof(version), "\"%" PRIu64 "\"", expect);
    return start(platform, "write", &request, name, "", call);
}

uint64_t
platform_calls(const struct platform *platform)
{
    return platform->calls;
}
