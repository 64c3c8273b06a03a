#include "caller/record.h"

#include <errno.h>
#include <inttypes.h>

static const char *const result_names[] = {
    [RESULT_ANSWERED] = "answered", [RESULT_REFUSED] = "refused",
    [RESULT_UNKNOWN] = "unknown",   [RESULT_IN_PROGRESS] = "in_progress",
    [RESULT_BROKEN] = "broken",     [RESULT_TIMEOUT] = "timeout",
};

static const char *const end_names[] = {
    [FLOW_CLOSED] = "closed",           [FLOW_RESET] = "reset",
    [FLOW_TIMEOUT] = "timeout",         [FLOW_ALIVE] = "alive",
    [FLOW_OPEN_FAILED] = "open_failed",
};

static const char *
yes_no(bool value)
{
    return value ? "true" : "false";
}

int
record_init(struct record *record, const char *path, struct error *err)
{
    record->file = fopen(path, "we");
    if (record->file == NULL)
        return error_set(err, -errno, "create record", path,
                         "the file can't be written");
    return 0;
}

int
record_finish(struct record *record)
{
    int failed = ferror(record->file);

    if (fclose(record->file) != 0 || failed)
        return -EIO;
    return 0;
}

const char *
result_name(enum result result)
{
    return result_names[result];
}

void
record_request(struct record *record, const struct request_line *line)
{
    char src[ADDR_TEXT_MAX];
    char key[24] = "";

    /* Names were checked to need no escape. */
    if (line->post)
        snprintf(key, sizeof(key), "%016" PRIx64, line->key);
    fprintf(record->file,
            "{\"type\":\"request\",\"id\":\"%016" PRIx64
            "\",\"service\":\"%s\",\"class\":\"%s\",\"method\":\"%s\","
            "\"key\":\"%s\",\"attempt\":%u,\"flow\":%" PRId64
            ",\"src\":\"%s\",\"start_us\":%" PRIu64 ",\"end_us\":%" PRIu64
            ",\"deadline_us\":%" PRIu64 ",\"result\":\"%s\",\"status\":%u,"
            "\"retry_after_ms\":%u,\"crossed\":%s,\"truncated\":%s,"
            "\"wrong_service\":%s}\n",
            line->id, line->service, line->urgent ? "urgent" : "ordinary",
            line->post ? "POST" : "GET", key, line->attempt, line->flow,
            addr_format(line->src, src), line->start_us, line->end_us,
            line->deadline_us, result_name(line->result), line->status,
            line->retry_after_ms, yes_no(line->crossed),
            yes_no(line->truncated), yes_no(line->wrong_service));
}

void
record_flow(struct record *record, const struct flow_line *line)
{
    char src[ADDR_TEXT_MAX];

    fprintf(record->file,
            "{\"type\":\"flow\",\"flow\":%" PRId64 ",\"service\":\"%s\","
            "\"src\":\"%s\",\"via\":\"%s\",\"open_us\":%" PRIu64
            ",\"end_us\":%" PRIu64
            ",\"end\":\"%s\",\"peer_closed\":%s,\"requests\":%u}\n",
            line->flow, line->service, addr_format(line->src, src), line->via,
            line->open_us, line->end_us, end_names[line->end],
            yes_no(line->peer_closed), line->requests);
}

void
record_datagrams(struct record *record, const struct datagram_line *line)
{
    fprintf(record->file,
            "{\"type\":\"datagrams\",\"service\":\"%s\",\"sent\":%" PRIu64
            ",\"echoed\":%" PRIu64 ",\"lost\":%" PRIu64 ",\"foreign\":%" PRIu64
            "}\n",
            line->service, line->sent, line->echoed, line->lost,
            line->foreign);
}
