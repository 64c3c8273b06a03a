/**
 * DOC: service_config_index - positions of keys and values in a JSON source
 *
 * json-c keeps no positions. The index is built from the same source after
 * json-c has accepted it, and is traversed in parallel with json-c's objects.
 * It rejects some input that json-c accepts (single quotes, unescaped control
 * characters).
 */
#ifndef SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_INDEX_H
#define SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SERVICE_CONFIG_DEPTH_MAX 16 /* levels of nested JSON values */

/**
 * struct service_config_node - a value of the source
 * @line: line of the key, or of the value in a list, from 1
 * @key: offset of the key, after its opening quote; escapes are not decoded
 * @key_len: length of the key
 * @start: offset of the value
 * @end: offset of the first byte after the value
 * @first: handle of the first child, 0 if none
 * @next: handle of the next sibling, 0 if none
 */
struct service_config_node {
    uint32_t line;
    uint32_t key;
    uint32_t key_len;
    uint32_t start;
    uint32_t end;
    uint32_t first;
    uint32_t next;
};

/**
 * struct service_config_index - index of a source
 * @source: the source, not owned
 * @len: length of @source in bytes
 * @nodes: nodes in source order; a handle is an index, 0 is the root
 * @count: number of nodes
 * @capacity: nodes allocated
 */
struct service_config_index {
    const char *source;
    size_t len;
    struct service_config_node *nodes;
    size_t count;
    size_t capacity;
};

/**
 * service_config_index_init() - build the index of a source
 * @index: result; freed already on failure
 * @source: JSON, must outlive @index
 * @len: length of @source in bytes
 * @error_at: on failure, set to the offset of the error
 *
 * Return: 0, -EINVAL for invalid JSON, or -ENOMEM.
 */
int
service_config_index_init(struct service_config_index *index,
                          const char *source, size_t len, size_t *error_at);

/** service_config_index_finish() - free the nodes */
void
service_config_index_finish(struct service_config_index *index);

/** service_config_index_key_is() - whether the key of @node is @key */
bool
service_config_index_key_is(const struct service_config_index *index,
                            uint32_t node, const char *key);

/** service_config_index_child() - handle of the first child of @node with the
 * key @key, or 0 */
uint32_t
service_config_index_child(const struct service_config_index *index,
                           uint32_t node, const char *key);

/** service_config_line_at() - line number of a byte offset, from 1 */
uint32_t
service_config_line_at(const char *source, size_t offset);

#endif
