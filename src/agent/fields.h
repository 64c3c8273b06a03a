/**
 * DOC: fields - header fields of one HTTP message, in order
 *
 * Collects what http_parser hands out in pieces, and writes back only the
 * end-to-end fields (RFC 9110, 7.6.1).
 */
#ifndef SWIFTARCH_AGENT_FIELDS_H
#define SWIFTARCH_AGENT_FIELDS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/** struct field - one header field; both parts end in NUL */
struct field {
    GString *name;
    GString *value;
};

/**
 * struct fields - the fields of a message
 * @items: array of struct field, NULL while there are none
 * @bytes: size of all names and values
 * @in_value: the last piece belonged to a value
 */
struct fields {
    GArray *items;
    size_t bytes;
    bool in_value;
};

/** fields_clear() - drop all fields and their memory */
void
fields_clear(struct fields *fields);

/** fields_add_name() - a piece of a field name */
void
fields_add_name(struct fields *fields, const char *at, size_t len);

/** fields_add_value() - a piece of a field value */
void
fields_add_value(struct fields *fields, const char *at, size_t len);

/** fields_get() - value of the first field @name, or NULL */
const char *
fields_get(const struct fields *fields, const char *name);

/** fields_count() - how many fields are called @name */
size_t
fields_count(const struct fields *fields, const char *name);

/**
 * fields_write() - append the end-to-end fields to @out
 * @skip: further names to leave out, ended by NULL
 *
 * Connection, what it names, and the other hop-by-hop fields are left
 * out, and Content-Length, which the writer of the message sets.
 */
void
fields_write(const struct fields *fields, const char *const *skip,
             GByteArray *out);

#endif
