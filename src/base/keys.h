/**
 * DOC: keys - JSON files read key by key into a struct, all faults at once
 *
 * A reader names its keys in a table of struct key_rule. Unknown keys, wrong
 * types, repeated or missing keys and values out of range are faults, each a
 * line of the report that names the file, the line where the key stands, what
 * was found and what was expected.
 */
#ifndef SWIFTARCH_BASE_KEYS_H
#define SWIFTARCH_BASE_KEYS_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/error.h"

#define KEYS_FILE_MAX (1u << 20)
#define KEYS_ALWAYS 1u

/** Field of a struct for a rule */
#define KEYS_FIELD(type, member)                                              \
    .offset = offsetof(type, member), .size = sizeof(((type *)0)->member)

/**
 * struct keys - a file that is being read
 * @path: file
 * @text: what it holds
 * @root: its JSON, NULL when it is none
 * @mask: which kind of reader this is: one bit
 * @kind: the same in words, for faults
 * @scope: "" or a path such as "loads[2]." of the object being read
 * @report: a GString of the faults
 * @faults: how many
 */
struct keys {
    const char *path;
    char *text;
    json_object *root;
    unsigned mask;
    const char *kind;
    const char *scope;
    struct _GString *report;
    unsigned faults;
};

/**
 * struct key_rule - how one key is read
 * @name: key
 * @needed: kinds of reader that can't do without it
 * @allowed: kinds of reader that may have it
 * @read: stores the value or reports a fault
 * @offset: where in the struct
 * @size: bytes there
 * @min: least number
 * @max: greatest number
 */
struct key_rule {
    const char *name;
    unsigned needed;
    unsigned allowed;
    void (*read)(struct keys *keys, const struct key_rule *rule,
                 json_object *value, void *field);
    size_t offset;
    size_t size;
    double min;
    double max;
};

/**
 * keys_open() - read a file and parse it
 * @mask: kind of reader, KEYS_ALWAYS where there is one only
 * @kind: the same in words
 *
 * Return: 0 (with @keys->root NULL and a fault when it isn't JSON), or the
 * negative errno value that reading the file gave.
 */
int
keys_open(struct keys *keys, const char *path, unsigned mask, const char *kind,
          struct error *err);

/** keys_read() - read @object into @out by @rules */
void
keys_read(struct keys *keys, json_object *object, const struct key_rule *rules,
          size_t count, void *out);

/**
 * keys_close() - free what was read
 * @report: gets all faults, or NULL when there are none (g_free() it); may
 *          be NULL
 * @err: gets the first fault
 *
 * Return: 0 or -EINVAL when there were faults.
 */
int
keys_close(struct keys *keys, char **report, struct error *err);

/** keys_fault() - report a fault of the key @name, at its line */
void
keys_fault(struct keys *keys, const char *name, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/** keys_fault_value() - report that @value isn't what was @expected */
void
keys_fault_value(struct keys *keys, const char *name, json_object *value,
                 const char *expected);

/** keys_text() - @value as text, or NULL after a fault */
const char *
keys_text(struct keys *keys, const char *name, json_object *value,
          const char *expected);

/** keys_store_text() - copy @text to a field of @rule->size bytes */
void
keys_store_text(struct keys *keys, const struct key_rule *rule,
                json_object *value, char *field);

/** keys_read_name() - letters, digits, '.', '_' and '-' into a char array */
void
keys_read_name(struct keys *keys, const struct key_rule *rule,
               json_object *value, void *field);

/** keys_read_text() - any text that fits into a char array */
void
keys_read_text(struct keys *keys, const struct key_rule *rule,
               json_object *value, void *field);

/** keys_read_addr() - "a.b.c.d:port" into a struct addr */
void
keys_read_addr(struct keys *keys, const struct key_rule *rule,
               json_object *value, void *field);

/** keys_read_ip() - "a.b.c.d" into an uint32_t */
void
keys_read_ip(struct keys *keys, const struct key_rule *rule,
             json_object *value, void *field);

/** keys_read_number() - a whole number into an unsigned */
void
keys_read_number(struct keys *keys, const struct key_rule *rule,
                 json_object *value, void *field);

/** keys_read_bool() - true or false into a bool */
void
keys_read_bool(struct keys *keys, const struct key_rule *rule,
               json_object *value, void *field);

/** keys_read_real() - a number into a double */
void
keys_read_real(struct keys *keys, const struct key_rule *rule,
               json_object *value, void *field);

#endif
