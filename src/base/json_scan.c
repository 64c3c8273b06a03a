#include "base/json_scan.h"

#include <glib.h>
#include <string.h>

static struct json_scan_frame *
current_frame(struct json_scan *scan)
{
    return scan->depth > 0 ? &scan->frames[scan->depth - 1] : NULL;
}

/* Closing quote of the string that starts at @start. */
static const char *
string_end(const char *start)
{
    const char *at = start + 1;

    while (*at != '"' && *at != '\0') {
        if (*at == '\\' && at[1] != '\0')
            at++;
        at++;
    }
    return at;
}

static bool
open_frame(struct json_scan *scan, bool is_array)
{
    struct json_scan_frame *parent = current_frame(scan);
    struct json_scan_frame *frame;

    if (scan->depth == JSON_SCAN_DEPTH_MAX)
        return false;
    if (parent != NULL && parent->is_array) {
        g_string_truncate(scan->path, parent->path_len);
        g_string_append_printf(scan->path, "[%u]", parent->index);
    }
    frame = &scan->frames[scan->depth++];
    frame->is_array = is_array;
    frame->index = 0;
    frame->path_len = scan->path->len;
    return true;
}

static void
record_key(struct json_scan *scan, const char *name, size_t len)
{
    size_t path_len = current_frame(scan)->path_len;

    g_string_truncate(scan->path, path_len);
    if (path_len > 0)
        g_string_append_c(scan->path, '.');
    g_string_append_len(scan->path, name, (gssize)len);
}

/* Skips a string; true if it is a key, that is, followed by a colon. */
static bool
scan_string_or_key(struct json_scan *scan)
{
    const char *start = scan->at;
    const char *end = string_end(start);
    const char *after;

    scan->at = *end == '"' ? end + 1 : end;
    after = scan->at + strspn(scan->at, " \t\r\n");
    if (*after != ':' || current_frame(scan) == NULL)
        return false;
    record_key(scan, start + 1, (size_t)(end - start - 1));
    return true;
}

void
json_scan_init(struct json_scan *scan, const char *text)
{
    memset(scan, 0, sizeof(*scan));
    scan->at = text;
    scan->line = 1;
    scan->path = g_string_new(NULL);
}

void
json_scan_finish(struct json_scan *scan)
{
    g_string_free(scan->path, TRUE);
}

bool
json_scan_next(struct json_scan *scan)
{
    for (; *scan->at != '\0'; scan->at++) {
        switch (*scan->at) {
        case '"':
            if (scan_string_or_key(scan))
                return true;
            scan->at--;
            break;
        case '{':
        case '[':
            if (!open_frame(scan, *scan->at == '['))
                return false;
            break;
        case '}':
        case ']':
            if (scan->depth > 0)
                scan->depth--;
            break;
        case ',':
            if (current_frame(scan) != NULL)
                current_frame(scan)->index++;
            break;
        case '\n':
            scan->line++;
            break;
        default:
            break;
        }
    }
    return false;
}
