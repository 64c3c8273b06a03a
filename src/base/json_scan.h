/**
 * DOC: json_scan - where the keys of a JSON text stand
 *
 * json-c keeps neither lines nor repeated keys; this walks over a text that
 * it has already accepted.
 */
#ifndef SWIFTARCH_BASE_JSON_SCAN_H
#define SWIFTARCH_BASE_JSON_SCAN_H

#include <stdbool.h>
#include <stddef.h>

#define JSON_SCAN_DEPTH_MAX 32

/**
 * struct json_scan_frame - an object or array that is open
 * @is_array: which of the two
 * @index: element of the array
 * @path_len: length of its own path
 */
struct json_scan_frame {
    bool is_array;
    unsigned index;
    size_t path_len;
};

/**
 * struct json_scan - a walk over a text
 * @at: next character
 * @line: its line, from 1
 * @path: path of the last key, for example "loads[2].rate"
 * @depth: frames in use
 * @frames: what is open
 */
struct json_scan {
    const char *at;
    unsigned line;
    struct _GString *path;
    unsigned depth;
    struct json_scan_frame frames[JSON_SCAN_DEPTH_MAX];
};

/** json_scan_init() - start at the beginning of @text */
void
json_scan_init(struct json_scan *scan, const char *text);

/** json_scan_finish() - free the path */
void
json_scan_finish(struct json_scan *scan);

/** json_scan_next() - go to the next key; false when there is none */
bool
json_scan_next(struct json_scan *scan);

#endif
