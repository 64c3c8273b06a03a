#include "service_config/service_config_index.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/**
 * struct scan - state of the scanner that builds the index
 * @index: index under construction
 * @at: offset of the next byte
 * @line: its line number, from 1
 */
struct scan {
    struct service_config_index *index;
    size_t at;
    uint32_t line;
};

static int
scan_value(struct scan *scan, uint32_t node, unsigned depth);

static int
peek(const struct scan *scan)
{
    const struct service_config_index *index = scan->index;

    if (scan->at >= index->len) {
        return -1;
    }
    return (unsigned char)index->source[scan->at];
}

static void
skip_space(struct scan *scan)
{
    int c;

    while ((c = peek(scan)) == ' ' || c == '\t' || c == '\n' || c == '\r') {
        scan->line += c == '\n';
        scan->at++;
    }
}

static int
consume(struct scan *scan, int expected)
{
    if (peek(scan) != expected) {
        return -EINVAL;
    }
    scan->at++;
    return 0;
}

static int
add_node(struct scan *scan, uint32_t *handle)
{
    struct service_config_index *index = scan->index;

    if (index->count == index->capacity) {
        size_t capacity = index->capacity ? index->capacity * 2 : 64;
        struct service_config_node *nodes =
            realloc(index->nodes, capacity * sizeof(*nodes));

        if (nodes == NULL) {
            return -ENOMEM;
        }
        index->nodes = nodes;
        index->capacity = capacity;
    }
    *handle = (uint32_t)index->count++;
    memset(&index->nodes[*handle], 0, sizeof(index->nodes[*handle]));
    index->nodes[*handle].line = scan->line;
    return 0;
}

static void
append_child(struct service_config_index *index, uint32_t parent,
             uint32_t *last, uint32_t child)
{
    if (*last == 0) {
        index->nodes[parent].first = child;
    }
    else {
        index->nodes[*last].next = child;
    }
    *last = child;
}

static int
scan_string(struct scan *scan)
{
    int c;

    if (consume(scan, '"') < 0) {
        return -EINVAL;
    }
    while ((c = peek(scan)) != '"') {
        if (c < 0x20) {
            return -EINVAL;
        }
        scan->at++;
        if (c == '\\') {
            if (peek(scan) < 0x20) {
                return -EINVAL;
            }
            scan->at++;
        }
    }
    scan->at++;
    return 0;
}

static int
scan_scalar(struct scan *scan)
{
    size_t start = scan->at;
    int c;

    while ((c = peek(scan)) >= 0 && strchr(",]} \t\r\n", c) == NULL) {
        scan->at++;
    }
    return scan->at == start ? -EINVAL : 0;
}

/* Consumes a comma (1) or the closing bracket (0); -EINVAL for other bytes. */
static int
scan_separator(struct scan *scan, int closing)
{
    skip_space(scan);
    if (peek(scan) == ',') {
        scan->at++;
        skip_space(scan);
        return 1;
    }
    return consume(scan, closing);
}

static int
scan_key(struct scan *scan, uint32_t node)
{
    struct service_config_node *at;
    size_t start = scan->at + 1;

    if (scan_string(scan) < 0) {
        return -EINVAL;
    }
    at = &scan->index->nodes[node];
    at->key = (uint32_t)start;
    at->key_len = (uint32_t)(scan->at - 1 - start);
    skip_space(scan);
    if (consume(scan, ':') < 0) {
        return -EINVAL;
    }
    skip_space(scan);
    return 0;
}

static int
scan_children(struct scan *scan, uint32_t node, unsigned depth, int closing)
{
    uint32_t last = 0;
    uint32_t child;
    int rc;

    scan->at++;
    skip_space(scan);
    if (peek(scan) == closing) {
        scan->at++;
        return 0;
    }
    do {
        if ((rc = add_node(scan, &child)) < 0 ||
            (closing == '}' && (rc = scan_key(scan, child)) < 0) ||
            (rc = scan_value(scan, child, depth + 1)) < 0) {
            return rc;
        }
        append_child(scan->index, node, &last, child);
        rc = scan_separator(scan, closing);
    } while (rc > 0);
    return rc;
}

static int
scan_value(struct scan *scan, uint32_t node, unsigned depth)
{
    int c = peek(scan);
    int rc;

    if (depth > SERVICE_CONFIG_DEPTH_MAX) {
        return -EINVAL;
    }
    scan->index->nodes[node].start = (uint32_t)scan->at;
    if (c == '{') {
        rc = scan_children(scan, node, depth, '}');
    }
    else if (c == '[') {
        rc = scan_children(scan, node, depth, ']');
    }
    else if (c == '"') {
        rc = scan_string(scan);
    }
    else {
        rc = scan_scalar(scan);
    }
    scan->index->nodes[node].end = (uint32_t)scan->at;
    return rc;
}

int
service_config_index_init(struct service_config_index *index,
                          const char *source, size_t len, size_t *error_at)
{
    struct scan scan = {.index = index, .line = 1};
    uint32_t root;
    int rc;

    *index = (struct service_config_index){.source = source, .len = len};
    skip_space(&scan);
    rc = add_node(&scan, &root);
    if (rc == 0) {
        rc = scan_value(&scan, root, 0);
    }
    if (rc == 0) {
        skip_space(&scan);
        rc = scan.at == len ? 0 : -EINVAL;
    }
    if (rc < 0) {
        *error_at = scan.at;
        service_config_index_finish(index);
    }
    return rc;
}

void
service_config_index_finish(struct service_config_index *index)
{
    free(index->nodes);
    *index = (struct service_config_index){0};
}

bool
service_config_index_key_is(const struct service_config_index *index,
                            uint32_t node, const char *key)
{
    const struct service_config_node *at = &index->nodes[node];

    return strlen(key) == at->key_len &&
           memcmp(index->source + at->key, key, at->key_len) == 0;
}

uint32_t
service_config_index_child(const struct service_config_index *index,
                           uint32_t node, const char *key)
{
    uint32_t child = index->nodes[node].first;

    while (child != 0 && !service_config_index_key_is(index, child, key)) {
        child = index->nodes[child].next;
    }
    return child;
}

uint32_t
service_config_line_at(const char *source, size_t offset)
{
    uint32_t line = 1;

    for (size_t i = 0; i < offset; i++) {
        line += source[i] == '\n';
    }
    return line;
}
