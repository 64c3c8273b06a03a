/**
 * DOC: json_scan - lists the keys of a JSON text with paths and line numbers
 *
 * json-c provides neither line numbers nor repeated keys. The text must
 * already have been accepted by json-c.
 */
#ifndef SWIFTARCH_BASE_JSON_SCAN_H
#define SWIFTARCH_BASE_JSON_SCAN_H

#include <stdbool.h>
#include <stddef.h>

#define JSON_SCAN_DEPTH_MAX 32

/**
 * struct json_scan_frame - an enclosing object or array
 * @is_array: array, or else an object
 * @index: current element of the array
 * @path_len: length of the path of the object or array
 */
struct json_scan_frame {
    bool is_array;
    unsigned index;
    size_t path_len;
};

/**
 * struct json_scan - position in a text
 * @at: next character
 * @line: line of @at, from 1
 * @path: path of the last key, for example "loads[2].rate"
 * @depth: frames in use
 * @frames: enclosing objects and arrays, outermost first
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

/** json_scan_next() - advance to the next key; false at the end */
bool
json_scan_next(struct json_scan *scan);

#endif
