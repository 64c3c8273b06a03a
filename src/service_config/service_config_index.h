/**
 * DOC: service_config_index - where each key and element stands in a JSON
 * source
 *
 * json-c keeps no positions. The index is built from the same source after
 * json-c has accepted it, and is walked beside json-c's objects. It is
 * strict where json-c is lenient (quotes, control characters).
 */
#ifndef SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_INDEX_H
#define SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SERVICE_CONFIG_DEPTH_MAX 16

/**
 * struct service_config_node - one value of the source
 * @line: line of its key, or of the value in a list
 * @key: offset of its key without quotes, as spelt in the source
 * @key_len: length of the key
 * @start: offset of the value
 * @end: offset after the value
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

/** struct service_config_index - nodes in source order; handle 0 is the root
 */
struct service_config_index {
    const char *source;
    size_t len;
    struct service_config_node *nodes;
    size_t count;
    size_t capacity;
};

/**
 * service_config_index_init() - build the index of @source (kept, not copied)
 * @bad: offset of what is not JSON when -EINVAL is returned
 *
 * Return: 0 or -EINVAL, -ENOMEM.
 */
int
service_config_index_init(struct service_config_index *index,
                          const char *source, size_t len, size_t *bad);

/** service_config_index_finish() - free the nodes */
void
service_config_index_finish(struct service_config_index *index);

/** service_config_index_key_is() - whether a node's key is @key */
bool
service_config_index_key_is(const struct service_config_index *index,
                            uint32_t node, const char *key);

/** service_config_index_child() - handle of the child of @node named @key, or
 * 0 */
uint32_t
service_config_index_child(const struct service_config_index *index,
                           uint32_t node, const char *key);

/** service_config_line_at() - line number of an offset, from 1 */
uint32_t
service_config_line_at(const char *source, size_t offset);

#endif
