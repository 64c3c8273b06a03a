/**
 * DOC: text_index - where each key and element stands in a JSON source
 *
 * json-c keeps no positions. The index is built from the same source after
 * json-c has accepted it, and is walked beside json-c's objects. It is
 * strict where json-c is lenient (quotes, control characters).
 */
#ifndef SWIFTARCH_TEXT_TEXT_INDEX_H
#define SWIFTARCH_TEXT_TEXT_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define TEXT_DEPTH_MAX 16

/**
 * struct text_node - one value of the source
 * @line: line of its key, or of the value in a list
 * @key: offset of its key without quotes, as spelt in the source
 * @key_len: length of the key
 * @start: offset of the value
 * @end: offset after the value
 * @first: handle of the first child, 0 if none
 * @next: handle of the next sibling, 0 if none
 */
struct text_node {
    uint32_t line;
    uint32_t key;
    uint32_t key_len;
    uint32_t start;
    uint32_t end;
    uint32_t first;
    uint32_t next;
};

/** struct text_index - nodes in source order; handle 0 is the root */
struct text_index {
    const char *source;
    size_t len;
    struct text_node *nodes;
    size_t count;
    size_t capacity;
};

/**
 * text_index_init() - build the index of @source (kept, not copied)
 * @bad: offset of what is not JSON when -EINVAL is returned
 *
 * Return: 0 or -EINVAL, -ENOMEM.
 */
int
text_index_init(struct text_index *index, const char *source, size_t len,
                size_t *bad);

/** text_index_finish() - free the nodes */
void
text_index_finish(struct text_index *index);

/** text_index_is() - whether a node's key is @key */
bool
text_index_is(const struct text_index *index, uint32_t node, const char *key);

/** text_index_child() - handle of the child of @node named @key, or 0 */
uint32_t
text_index_child(const struct text_index *index, uint32_t node,
                 const char *key);

/** text_line_of() - line number of an offset, from 1 */
uint32_t
text_line_of(const char *source, size_t offset);

#endif
