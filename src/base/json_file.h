/**
 * DOC: json_file - reads JSON files into structs and reports all faults at
 * once
 *
 * A reader declares its keys in a table of struct json_key_rule. Unknown,
 * repeated and missing keys, wrong types and values out of range are faults.
 * The report has a line for each, with the file, the line of the key, the
 * value found and the one expected.
 */
#ifndef SWIFTARCH_BASE_JSON_FILE_H
#define SWIFTARCH_BASE_JSON_FILE_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/error.h"

#define JSON_FILE_SIZE_MAX (1u << 20)
#define JSON_FILE_ALL_KINDS 1u

/** Offset and size of a struct's member, for a json_key_rule */
#define JSON_FILE_FIELD(type, member)                                         \
    .offset = offsetof(type, member), .size = sizeof(((type *)0)->member)

/**
 * struct json_file - a file being read
 * @path: file name
 * @text: content of the file
 * @root: parsed object, NULL after a syntax error
 * @mask: kind of reader, one bit of json_key_rule.required and .allowed
 * @kind: name of that kind for faults, for example "an agent"
 * @scope: "" or a path such as "loads[2]." of the object being read
 * @report: text of all faults, one per line
 * @faults: number of faults
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
 * struct json_key_rule - type and limits of one key
 * @name: key
 * @required: mask of the kinds of reader that require the key
 * @allowed: mask of the kinds of reader that accept the key
 * @read: stores the value in the field or reports a fault
 * @offset: offset of the field in the struct
 * @size: size of the field in bytes
 * @min: smallest number allowed
 * @max: largest number allowed
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
 * json_file_open() - read and parse a file
 * @mask: kind of reader, JSON_FILE_ALL_KINDS if there is only one
 * @kind: name of that kind, for faults
 *
 * Return: 0 (with @json_file->root NULL and a fault after a syntax error), or
 * a negative errno value if the file can't be read.
 */
int
json_file_open(struct json_file *json_file, const char *path, unsigned mask,
               const char *kind, struct error *err);

/** json_file_read() - read the keys of @object into the struct @out */
void
json_file_read(struct json_file *json_file, json_object *object,
               const struct json_key_rule *rules, size_t count, void *out);

/**
 * json_file_close() - free the file and return its faults
 * @report: gets all faults, freed by g_free(), or NULL for none; may be NULL
 * @err: gets the first fault
 *
 * Return: 0, or -EINVAL if there were faults.
 */
int
json_file_close(struct json_file *json_file, char **report, struct error *err);

/** json_file_fault() - add a fault of the key @name, with its line */
void
json_file_fault(struct json_file *json_file, const char *name, const char *fmt,
                ...) __attribute__((format(printf, 3, 4)));

/** json_file_fault_value() - add a fault with @value and the @expected one */
void
json_file_fault_value(struct json_file *json_file, const char *name,
                      json_object *value, const char *expected);

/** json_file_string() - @value as a string, or NULL after adding a fault */
const char *
json_file_string(struct json_file *json_file, const char *name,
                 json_object *value, const char *expected);

/** json_file_store_string() - copy a string to a field of @rule->size bytes */
void
json_file_store_string(struct json_file *json_file,
                       const struct json_key_rule *rule, json_object *value,
                       char *field);

/** json_file_read_name() - a name of [A-Za-z0-9._-] into a char array */
void
json_file_read_name(struct json_file *json_file,
                    const struct json_key_rule *rule, json_object *value,
                    void *field);

/** json_file_read_string() - any string that fits into a char array */
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
