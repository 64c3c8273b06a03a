/**
 * DOC: fields - header fields of one HTTP message, in order
 *
 * Collects the names and values that http_parser delivers in pieces, and
 * writes the end-to-end fields only (RFC 9110, 7.6.1).
 */
#ifndef SWIFTARCH_AGENT_FIELDS_H
#define SWIFTARCH_AGENT_FIELDS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/** struct field - one header field */
struct field {
    GString *name;
    GString *value;
};

/**
 * struct fields - the fields of a message
 * @items: array of struct field, NULL while there are none
 * @bytes: total size of all names and values
 * @in_value: the last piece was part of a value
 */
struct fields {
    GArray *items;
    size_t bytes;
    bool in_value;
};

/** fields_clear() - remove and free all fields */
void
fields_clear(struct fields *fields);

/** fields_add_name() - append a piece of a field name; starts a new field
 * after a value */
void
fields_add_name(struct fields *fields, const char *at, size_t len);

/** fields_add_value() - append a piece of the last field's value */
void
fields_add_value(struct fields *fields, const char *at, size_t len);

/** fields_get() - value of the first field @name (any case), or NULL */
const char *
fields_get(const struct fields *fields, const char *name);

/** fields_count() - number of fields @name (any case) */
size_t
fields_count(const struct fields *fields, const char *name);

/**
 * fields_write() - append the end-to-end fields to @out
 * @skip: further names to omit, ended by NULL
 *
 * Omits Connection, the fields it lists, the other hop-by-hop fields, and
 * Content-Length, which the writer of the message sets.
 */
void
fields_write(const struct fields *fields, const char *const *skip,
             GByteArray *out);

#endif
