#include "platform/platform.h"

#include <errno.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <glib.h>

#include "platform/platform_loop.h"

#define CONNECT_TIMEOUT_MS 1000L
#define ETAG_HEADER "ETag:"
#define NAME_MAX_LEN 128

enum http_status {
    HTTP_OK = 200,
    HTTP_CREATED = 201,
    HTTP_NO_CONTENT = 204,
    HTTP_NOT_MODIFIED = 304,
    HTTP_NOT_FOUND = 404,
    HTTP_PRECONDITION_FAILED = 412,
    HTTP_TOO_LARGE = 413,
    HTTP_TOO_MANY = 429,
    HTTP_UNAVAILABLE = 503,
};

/**
 * struct platform - the client
 * @loop: transfers
 * @url: base URL without a slash at its end
 * @transfers: open ones, struct transfer
 * @calls: calls made so far
 */
struct platform {
    struct platform_loop loop;
    char *url;
    GHashTable *transfers;
    uint64_t calls;
};

/**
 * struct transfer - one call in progress
 * @platform: its client
 * @call: whom to tell
 * @easy: libcurl's handle
 * @headers: request headers
 * @step: what is done, for errors
 * @is_write: the call was a PUT
 * @version: from the ETag
 * @body: what came
 * @too_large: the body exceeded PLATFORM_VALUE_MAX
 * @detail: libcurl's sentence on a failure
 */
struct transfer {
    struct platform *platform;
    struct platform_call *call;
    CURL *easy;
    struct curl_slist *headers;
    const char *step;
    bool is_write;
    uint64_t version;
    GByteArray *body;
    bool too_large;
    char detail[CURL_ERROR_SIZE];
};

static void
transfer_free(struct transfer *transfer)
{
    curl_easy_cleanup(transfer->easy);
    curl_slist_free_all(transfer->headers);
    g_byte_array_free(transfer->body, TRUE);
    g_free(transfer);
}

static size_t
on_body(char *data, size_t size, size_t count, void *arg)
{
    struct transfer *transfer = arg;
    size_t len = size * count;

    if (transfer->body->len + len > PLATFORM_VALUE_MAX) {
        transfer->too_large = true;
        return 0;
    }
    g_byte_array_append(transfer->body, (const guint8 *)data, (guint)len);
    return len;
}

/* ETag: "VERSION"; anything else leaves the version 0. */
static size_t
on_header(char *data, size_t size, size_t count, void *arg)
{
    struct transfer *transfer = arg;
    size_t len = size * count;
    size_t skip = strlen(ETAG_HEADER);
    char *value;
    char *end;

    if (len <= skip || strncasecmp(data, ETAG_HEADER, skip) != 0) {
        return len;
    }
    value = g_strstrip(g_strndup(data + skip, len - skip));
    if (value[0] == '"' && g_ascii_isdigit(value[1])) {
        uint64_t version = g_ascii_strtoull(value + 1, &end, 10);

        transfer->version = strcmp(end, "\"") == 0 ? version : 0;
    }
    g_free(value);
    return len;
}

static int
status_of_failure(const struct transfer *transfer, CURLcode result)
{
    if (transfer->too_large) {
        return -EMSGSIZE;
    }
    switch (result) {
    case CURLE_OPERATION_TIMEDOUT:
        return -ETIMEDOUT;
    case CURLE_COULDNT_CONNECT:
        return -ECONNREFUSED;
    case CURLE_COULDNT_RESOLVE_HOST:
        return -EHOSTUNREACH;
    case CURLE_GOT_NOTHING:
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
        return -ECONNRESET;
    default:
        return -EIO;
    }
}

static int
status_of_http(const struct transfer *transfer, long http)
{
    switch (http) {
    case HTTP_OK:
    case HTTP_CREATED:
    case HTTP_NO_CONTENT:
        return transfer->version != 0 ? 0 : -EPROTO;
    case HTTP_NOT_MODIFIED:
        return -EAGAIN;
    case HTTP_NOT_FOUND:
        return -ENOENT;
    case HTTP_PRECONDITION_FAILED:
        return -ESTALE;
    case HTTP_TOO_LARGE:
        return -EMSGSIZE;
    case HTTP_TOO_MANY:
    case HTTP_UNAVAILABLE:
        return -EBUSY;
    default:
        return -EIO;
    }
}

static void
fill_reply(struct transfer *transfer, CURLcode result,
           struct platform_reply *reply)
{
    const char *peer = transfer->platform->url;
    long http = 0;

    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &http);
    if (result != CURLE_OK) {
        reply->status = status_of_failure(transfer, result);
        error_set(&reply->error, reply->status, transfer->step, peer, "%s",
                  transfer->detail[0] != '\0' ? transfer->detail
                                              : curl_easy_strerror(result));
        return;
    }
    reply->status = status_of_http(transfer, http);
    reply->version = transfer->version;
    if (reply->status == 0 && !transfer->is_write) {
        reply->value = (const char *)transfer->body->data;
        reply->len = transfer->body->len;
    }
    if (reply->status != 0) {
        error_set(&reply->error, reply->status, transfer->step, peer,
                  "the platform answered with HTTP status %ld", http);
    }
}

static void
on_done(struct platform_loop *loop, CURL *easy, CURLcode result)
{
    struct transfer *transfer;
    struct platform_reply reply = {0};

    curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
    fill_reply(transfer, result, &reply);
    g_hash_table_remove(transfer->platform->transfers, transfer);
    transfer->call->done(transfer->call, &reply);
    transfer_free(transfer);
}

static const struct platform_loop_ops loop_ops = {.done = on_done};

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

static void
set_common(struct transfer *transfer, const char *url, long timeout_ms)
{
    CURL *easy = transfer->easy;

    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, transfer->detail);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
}

static struct transfer *
transfer_new(struct platform *platform, struct platform_call *call,
             const char *step, const char *url, long timeout_ms)
{
    struct transfer *transfer = g_new0(struct transfer, 1);

    transfer->platform = platform;
    transfer->call = call;
    transfer->step = step;
    transfer->body = g_byte_array_new();
    transfer->easy = curl_easy_init();
    if (transfer->easy == NULL) {
        transfer_free(transfer);
        return NULL;
    }
    set_common(transfer, url, timeout_ms);
    return transfer;
}

static int
transfer_start(struct transfer *transfer)
{
    struct platform *platform = transfer->platform;

    curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, transfer->headers);
    if (platform_loop_add(&platform->loop, transfer->easy) < 0) {
        transfer_free(transfer);
        return -ENOMEM;
    }
    g_hash_table_add(platform->transfers, transfer);
    platform->calls++;
    return 0;
}

struct platform *
platform_new(struct event_base *base, const char *url, struct error *err)
{
    struct platform *platform;
    size_t len = strlen(url);

    if (!g_str_has_prefix(url, "http://") &&
        !g_str_has_prefix(url, "https://")) {
        error_set(err, -EINVAL, "platform", url,
                  "the base URL must begin with http:// or https://");
        return NULL;
    }
    while (len > 0 && url[len - 1] == '/') {
        len--;
    }
    platform = g_new0(struct platform, 1);
    if (platform_loop_init(&platform->loop, &loop_ops, base) < 0) {
        error_set(err, -ENOMEM, "platform", url, "no memory for the client");
        g_free(platform);
        return NULL;
    }
    platform->url = g_strndup(url, len);
    platform->transfers = g_hash_table_new(NULL, NULL);
    return platform;
}

void
platform_free(struct platform *platform)
{
    GHashTableIter iter;
    gpointer item;

    if (platform == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, platform->transfers);
    while (g_hash_table_iter_next(&iter, &item, NULL)) {
        struct transfer *transfer = item;

        platform_loop_remove(&platform->loop, transfer->easy);
        transfer_free(transfer);
    }
    g_hash_table_destroy(platform->transfers);
    platform_loop_finish(&platform->loop);
    g_free(platform->url);
    g_free(platform);
}

static int
start_read(struct platform *platform, const char *step, const char *name,
           const char *query, long timeout_ms, struct platform_call *call)
{
    struct transfer *transfer;
    char *url;

    if (!name_is_valid(name)) {
        return -EINVAL;
    }
    url = g_strdup_printf("%s/v1/objects/%s%s", platform->url, name, query);
    transfer = transfer_new(platform, call, step, url, timeout_ms);
    g_free(url);
    return transfer != NULL ? transfer_start(transfer) : -ENOMEM;
}

int
platform_get(struct platform *platform, const char *name,
             struct platform_call *call)
{
    return start_read(platform, "read", name, "", PLATFORM_TIMEOUT_MS, call);
}

int
platform_watch(struct platform *platform, const char *name, uint64_t after,
               unsigned wait_s, struct platform_call *call)
{
    char query[64];

    g_snprintf(query, sizeof(query), "?after=%" PRIu64 "&wait=%u", after,
               wait_s);
    return start_read(platform, "watch", name, query,
                      (long)wait_s * 1000 + PLATFORM_TIMEOUT_MS, call);
}

static void
set_write(struct transfer *transfer, uint64_t expect, const char *value,
          size_t len)
{
    CURL *easy = transfer->easy;
    char condition[48];

    if (expect == 0) {
        g_snprintf(condition, sizeof(condition), "If-None-Match: *");
    }
    else {
        g_snprintf(condition, sizeof(condition), "If-Match: \"%" PRIu64 "\"",
                   expect);
    }
    transfer->is_write = true;
    transfer->headers = curl_slist_append(NULL, condition);
    transfer->headers =
        curl_slist_append(transfer->headers, "Content-Type: application/json");
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)len);
    curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, value);
    /* On a reused connection libcurl would send a lost write again. */
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
}

int
platform_put(struct platform *platform, const char *name, uint64_t expect,
             const char *value, size_t len, struct platform_call *call)
{
    struct transfer *transfer;
    char *url;

    if (!name_is_valid(name)) {
        return -EINVAL;
    }
    if (len > PLATFORM_VALUE_MAX) {
        return -EMSGSIZE;
    }
    url = g_strdup_printf("%s/v1/objects/%s", platform->url, name);
    transfer = transfer_new(platform, call, "write", url, PLATFORM_TIMEOUT_MS);
    g_free(url);
    if (transfer == NULL) {
        return -ENOMEM;
    }
    set_write(transfer, expect, value, len);
    return transfer_start(transfer);
}

uint64_t
platform_calls(const struct platform *platform)
{
    return platform->calls;
}
