#include "standin/platform/server_http.h"

#include <inttypes.h>
#include <string.h>

#define DELAY_MAX_MS 3600000

enum MHD_Result
server_answer(struct MHD_Connection *connection, unsigned status,
              uint64_t version, GBytes *value)
{
    struct MHD_Response *response;
    enum MHD_Result result;
    char etag[32];
    gsize len = 0;
    const void *data = value != NULL ? g_bytes_get_data(value, &len) : "";

    response = MHD_create_response_from_buffer(len, (void *)data,
                                               MHD_RESPMEM_MUST_COPY);
    if (response == NULL) {
        return MHD_NO;
    }
    if (version != 0) {
        g_snprintf(etag, sizeof(etag), "\"%" PRIu64 "\"", version);
        MHD_add_response_header(response, MHD_HTTP_HEADER_ETAG, etag);
    }
    if (status == MHD_HTTP_TOO_MANY_REQUESTS) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, "1");
    }
    result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

enum MHD_Result
server_answer_text(struct MHD_Connection *connection, unsigned status,
                   const char *text)
{
    GBytes *value = g_bytes_new(text, strlen(text));
    enum MHD_Result result = server_answer(connection, status, 0, value);

    g_bytes_unref(value);
    return result;
}

bool
server_query_number(struct MHD_Connection *connection, const char *key,
                    uint64_t *number)
{
    const char *text =
        MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, key);
    char *end;

    if (text == NULL) {
        return false;
    }
    *number = g_ascii_strtoull(text, &end, 10);
    return end != text && *end == '\0';
}

enum MHD_Result
server_serve_fault(struct server *server, struct MHD_Connection *connection)
{
    const char *word =
        MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "mode");
    struct server_fault fault = {0};
    uint64_t number;

    if (word == NULL || server_parse_mode(word, &fault.mode) < 0) {
        return server_answer_text(connection, MHD_HTTP_BAD_REQUEST,
                                  "unknown mode\n");
    }
    if (server_query_number(connection, "ms", &number)) {
        fault.ms = (unsigned)MIN(number, DELAY_MAX_MS);
    }
    if (server_query_number(connection, "count", &number)) {
        fault.count = (unsigned)MIN(number, UINT32_MAX);
    }
    server_set_fault(server, fault);
    return server_answer_text(connection, MHD_HTTP_OK, "ok\n");
}

enum MHD_Result
server_serve_stats(struct server *server, struct MHD_Connection *connection)
{
    struct server_stats stats = server_read_stats(server);
    enum MHD_Result result;
    char *json = g_strdup_printf(
        "{\"reads\":%" PRIu64 ",\"writes\":%" PRIu64 ",\"watches\":%" PRIu64
        ",\"calls\":%" PRIu64 ",\"refused\":%" PRIu64 ",\"conflicts\":%" PRIu64
        ",\"lost\":%" PRIu64 ",\"watching\":%" PRIu64
        ",\"peak_calls_per_s\":%" PRIu64 ",\"peak_reads_per_s\":%" PRIu64
        ",\"peak_writes_per_s\":%" PRIu64 "}\n",
        stats.reads, stats.writes, stats.watches, stats.calls, stats.refused,
        stats.conflicts, stats.lost, stats.watching, stats.peak_calls_per_s,
        stats.peak_reads_per_s, stats.peak_writes_per_s);

    result = server_answer_text(connection, MHD_HTTP_OK, json);
    g_free(json);
    return result;
}
