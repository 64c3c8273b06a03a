/**
 * DOC: service_config_value - typed access to the values of a config
 *
 * The functions report invalid values with their line and key path.
 */
#ifndef SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_VALUE_H
#define SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_VALUE_H

#include <stdbool.h>
#include <stdint.h>

#include "service_config/service_config_diag.h"
#include "service_config/service_config_index.h"

/**
 * struct service_config_value - a value and its position
 * @index: index of the source
 * @diags: receives the diagnostics
 * @node: handle of the value in @index
 * @value: the value as parsed by json-c
 * @path: key path of the value, such as "services[0].limits"
 */
struct service_config_value {
    const struct service_config_index *index;
    struct service_config_diags *diags;
    uint32_t node;
    struct json_object *value;
    char path[SERVICE_CONFIG_PATH_MAX];
};

/** service_config_value_bytes() - the string, or NULL when @value is not a
 * string or contains a NUL character */
const char *
service_config_value_bytes(struct json_object *value);

/** service_config_value_line() - line number of the value, from 1 */
uint32_t
service_config_value_line(const struct service_config_value *field);

/** service_config_value_add_diag() - report "found VALUE, expected @expected"
 */
void
service_config_value_add_diag(const struct service_config_value *field,
                              const char *expected);

/** service_config_value_check_keys() - report unknown and repeated keys of an
 * object; @keys is NULL-terminated, with at most 32 keys */
void
service_config_value_check_keys(const struct service_config_value *field,
                                const char *const *keys);

/** service_config_value_member() - get the member @key of an object; false
 * without a diagnostic when it is missing */
bool
service_config_value_member(const struct service_config_value *field,
                            const char *key,
                            struct service_config_value *found);

/** service_config_value_required() - like service_config_value_member(), but
 * reports a missing member */
bool
service_config_value_required(const struct service_config_value *field,
                              const char *key,
                              struct service_config_value *found);

/** service_config_value_is_type() - whether the value has @type; reports
 * another type */
bool
service_config_value_is_type(const struct service_config_value *field,
                             enum json_type type, const char *expected);

/** service_config_value_string() - get a string; reports another type or a NUL
 * character and returns NULL */
const char *
service_config_value_string(const struct service_config_value *field,
                            const char *expected);

/** service_config_value_number() - get an integer from @min to @max; reports
 * another value and returns false */
bool
service_config_value_number(const struct service_config_value *field,
                            uint32_t min, uint32_t max, uint32_t *out);

#endif
