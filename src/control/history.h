/**
 * DOC: history - recent edits of the configuration, sent instead of the body
 *
 * A change usually touches a few lines of a large configuration. Each step
 * to the next version is stored as one replaced range. A member that has one
 * of these versions receives only the edits after it.
 */
#ifndef SWIFTARCH_CONTROL_HISTORY_H
#define SWIFTARCH_CONTROL_HISTORY_H

#include <stddef.h>
#include <stdint.h>

#define HISTORY_STEPS_MAX 16

/** struct history_edit - replaces the bytes between the first @prefix and the
 * last @suffix bytes with @middle */
struct history_edit {
    uint32_t prefix;
    uint32_t suffix;
    uint8_t *middle;
    size_t middle_len;
};

/** struct history_step - edit from version @from to version @to */
struct history_step {
    uint64_t from;
    uint64_t to;
    struct history_edit edit;
};

/** struct history - recent steps, oldest first; initialised to zero */
struct history {
    struct history_step steps[HISTORY_STEPS_MAX];
    size_t count;
};

/** history_finish() - free the steps */
void
history_finish(struct history *history);

/** history_add() - record the step from @from, with body @old, to @to, with
 * @body */
void
history_add(struct history *history, uint64_t from, const uint8_t *old,
            size_t old_len, uint64_t to, const uint8_t *body, size_t len);

/** history_find() - steps after version @have, NULL if it is unknown; @count
 * is set to their number */
const struct history_step *
history_find(const struct history *history, uint64_t have, size_t *count);

/**
 * history_apply() - apply an edit to a body
 * @len: length of @body, then that of the result
 *
 * Return: the result, g_free() it, or NULL if the edit doesn't fit @body.
 */
uint8_t *
history_apply(const struct history_edit *edit, const uint8_t *body,
              size_t *len);

#endif
