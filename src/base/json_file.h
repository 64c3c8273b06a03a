/**
 * DOC: json_file - JSON files read key by key into a struct, all faults at
 * once
 *
 * A reader names its json_file in a table of struct json_key_rule. Unknown
 * json_file, wrong types, repeated or missing json_file and values out of
 * range are faults, each a line of the report that names the file, the line
 * where the key stands, what was found and what was expected.
 */
#ifndef SWIFTARCH_BASE_KEYS_H
#define SWIFTARCH_BASE_KEYS_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/error.h"

#define JSON_FILE_SIZE_MAX (1u << 20)
#define JSON_FILE_ALL_KINDS 1u

/** Field of a struct for a rule */
#define JSON_FILE_FIELD(type, member)                                         \
    .offset = offsetof(type, member), .size = sizeof(((type *)0)->member)

/**
 * struct json_file - a file that is being read
 * @path: file
 * @text: what it holds
 * @root: its JSON, NULL when it is none
 * @mask: which kind of reader this is: one bit
 * @kind: the same in words, for faults
 * @scope: "" or a path such as "loads[2]." of the object being read
 * @report: a GString of the faults
 * @faults: how many
 */
struct json_file {
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
 * struct json_key_rule - how one key is read
 * @name: key
 * @required: kinds of reader that can't do without it
 * @allowed: kinds of reader that may have it
 * @read: stores the value or reports a fault
 * @offset: where in the struct
 * @size: bytes there
 * @min: least number
 * @max: greatest number
 */
struct json_key_rule {
    const char *name;
    unsigned required;
    unsigned allowed;
    void (*read)(struct json_file *json_file, const struct json_key_rule *rule,
                 json_object *value, void *field);
    size_t offset;
    size_t size;
    double min;
    double max;
};

/**
 * json_file_open() - read a file and parse it
 * @mask: kind of reader, JSON_FILE_ALL_KINDS where there is one only
 * @kind: the same in words
 *
 * Return: 0 (with @json_file->root NULL and a fault when it isn't JSON), or
 * the negative errno value that reading the file gave.
 */
int
json_file_open(struct json_file *json_file, const char *path, unsigned mask,
               const char *kind, struct error *err);

/** json_file_read() - read @object into @out by @rules */
void
json_file_read(struct json_file *json_file, json_object *object,
               const struct json_key_rule *rules, size_t count, void *out);

/**
 * json_file_close() - free what was read
 * @report: gets all faults, or NULL when there are none (g_free() it); may
 *          be NULL
 * @err: gets the first fault
 *
 * Return: 0 or -EINVAL when there were faults.
 */
int
json_file_close(struct json_file *json_file, char **report, struct error *err);

/** json_file_fault() - report a fault of the key @name, at its line */
void
json_file_fault(struct json_file *json_file, const char *name, const char *fmt,
                ...) __attribute__((format(printf, 3, 4)));

/** json_file_fault_value() - report that @value isn't what was @expected */
void
json_file_fault_value(struct json_file *json_file, const char *name,
                      json_object *value, const char *expected);

/** json_file_string() - @value as text, or NULL after a fault */
const char *
json_file_string(struct json_file *json_file, const char *name,
                 json_object *value, const char *expected);

/** json_file_store_string() - copy @text to a field of @rule->size bytes */
void
json_file_store_string(struct json_file *json_file,
                       const struct json_key_rule *rule, json_object *value,
                       char *field);

/** json_file_read_name() - letters, digits, '.', '_' and '-' into a char array
 */
void
json_file_read_name(struct json_file *json_file,
                    const struct json_key_rule *rule, json_object *value,
                    void *field);

/** json_file_read_string() - any text that fits into a char array */
void
json_file_read_string(struct json_file *json_file,
                      const struct json_key_rule *rule, json_object *value,
                      void *field);

/** json_file_read_addr() - "a.b.c.d:port" into a struct addr */
void
json_file_read_addr(struct json_file *json_file,
                    const struct json_key_rule *rule, json_object *value,
                    void *field);

/** json_file_read_ip() - "a.b.c.d" into an uint32_t */
void
json_file_read_ip(struct json_file *json_file,
                  const struct json_key_rule *rule, json_object *value,
                  void *field);

/** json_file_read_unsigned() - a whole number into an unsigned */
void
json_file_read_unsigned(struct json_file *json_file,
                        const struct json_key_rule *rule, json_object *value,
                        void *field);

/** json_file_read_bool() - true or false into a bool */
void
json_file_read_bool(struct json_file *json_file,
                    const struct json_key_rule *rule, json_object *value,
                    void *field);

/** json_file_read_double() - a number into a double */
void
json_file_read_double(struct json_file *json_file,
                      const struct json_key_rule *rule, json_object *value,
                      void *field);

#endif
