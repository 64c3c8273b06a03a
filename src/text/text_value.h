/**
 * DOC: text_value - a value of the text under check, and where it stands
 *
 * Each function that finds a value wrong adds the fault to the report, with
 * the value's line and key path.
 */
#ifndef SWIFTARCH_TEXT_TEXT_VALUE_H
#define SWIFTARCH_TEXT_TEXT_VALUE_H

#include <stdbool.h>
#include <stdint.h>

#include "text/text_fault.h"
#include "text/text_index.h"

/**
 * struct text_value - one value under check
 * @index: positions
 * @faults: report
 * @node: handle of the value's node
 * @value: the value
 * @path: its key path
 */
struct text_value {
    const struct text_index *index;
    struct text_faults *faults;
    uint32_t node;
    struct json_object *value;
    char path[TEXT_PATH_MAX];
};

/** text_value_bytes() - a string's bytes, or NULL when it isn't a string or
 * has a null character, behind which C would not see the rest */
const char *
text_value_bytes(struct json_object *value);

/** text_value_line() - line it stands on */
uint32_t
text_value_line(const struct text_value *check);

/** text_value_fault() - "found VALUE, expected @expected" */
void
text_value_fault(const struct text_value *check, const char *expected);

/** text_value_check_keys() - unknown and repeated keys of an object are
 * faults; @keys ends with NULL and has 32 at most */
void
text_value_check_keys(const struct text_value *check, const char *const *keys);

/** text_value_member() - the member @key of an object; false when it isn't
 * there, which is no fault */
bool
text_value_member(const struct text_value *check, const char *key,
                  struct text_value *found);

/** text_value_required() - the same, but a missing member is a fault */
bool
text_value_required(const struct text_value *check, const char *key,
                    struct text_value *found);

/** text_value_is_type() - whether it has the type; false after a fault */
bool
text_value_is_type(const struct text_value *check, enum json_type type,
                   const char *expected);

/** text_value_string() - a string, or NULL after a fault */
const char *
text_value_string(const struct text_value *check, const char *expected);

/** text_value_number() - a whole number; false after a fault */
bool
text_value_number(const struct text_value *check, uint32_t min, uint32_t max,
                  uint32_t *out);

#endif
