/**
 * DOC: service_config_value - a value of the config under check, and where it
 * stands
 *
 * Each function that finds a value wrong adds the diag to the report, with
 * the value's line and key path.
 */
#ifndef SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_VALUE_H
#define SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_VALUE_H

#include <stdbool.h>
#include <stdint.h>

#include "service_config/service_config_diag.h"
#include "service_config/service_config_index.h"

/**
 * struct service_config_value - one value under check
 * @index: positions
 * @diags: report
 * @node: handle of the value's node
 * @value: the value
 * @path: its key path
 */
struct service_config_value {
    const struct service_config_index *index;
    struct service_config_diags *diags;
    uint32_t node;
    struct json_object *value;
    char path[SERVICE_CONFIG_PATH_MAX];
};

/** service_config_value_bytes() - a string's bytes, or NULL when it isn't a
 * string or has a null character, behind which C would not see the rest */
const char *
service_config_value_bytes(struct json_object *value);

/** service_config_value_line() - line it stands on */
uint32_t
service_config_value_line(const struct service_config_value *check);

/** service_config_value_add_diag() - "found VALUE, expected @expected" */
void
service_config_value_add_diag(const struct service_config_value *check,
                              const char *expected);

/** service_config_value_check_keys() - unknown and repeated keys of an object
 * are diags; @keys ends with NULL and has 32 at most */
void
service_config_value_check_keys(const struct service_config_value *check,
                                const char *const *keys);

/** service_config_value_member() - the member @key of an object; false when it
 * isn't there, which is no diag */
bool
service_config_value_member(const struct service_config_value *check,
                            const char *key,
                            struct service_config_value *found);

/** service_config_value_required() - the same, but a missing member is a diag
 */
bool
service_config_value_required(const struct service_config_value *check,
                              const char *key,
                              struct service_config_value *found);

/** service_config_value_is_type() - whether it has the type; false after a
 * diag */
bool
service_config_value_is_type(const struct service_config_value *check,
                             enum json_type type, const char *expected);

/** service_config_value_string() - a string, or NULL after a diag */
const char *
service_config_value_string(const struct service_config_value *check,
                            const char *expected);

/** service_config_value_number() - a whole number; false after a diag */
bool
service_config_value_number(const struct service_config_value *check,
                            uint32_t min, uint32_t max, uint32_t *out);

#endif
