/**
 * DOC: history - the last edits of the configuration, to send in its place
 *
 * An operator's change touches a few lines of a large text. Each step from
 * a version to the next one seen here is kept as one replaced range; a
 * member that has a version of the chain is sent the edits after it.
 */
#ifndef SWIFTARCH_CONTROL_HISTORY_H
#define SWIFTARCH_CONTROL_HISTORY_H

#include <stddef.h>
#include <stdint.h>

#define HISTORY_STEPS_MAX 16

/** struct history_edit - replaces what lies between the first @prefix and
 * the last @suffix bytes with @middle */
struct history_edit {
    uint32_t prefix;
    uint32_t suffix;
    uint8_t *middle;
    size_t middle_len;
};

/** struct history_step - edit that leads from one version to another */
struct history_step {
    uint64_t from;
    uint64_t to;
    struct history_edit edit;
};

/** struct history - the last steps, oldest first; zeroed at the start */
struct history {
    struct history_step steps[HISTORY_STEPS_MAX];
    size_t count;
};

/** history_finish() - free the steps */
void
history_finish(struct history *history);

/** history_add() - version @to with @body replaced @from with @old */
void
history_add(struct history *history, uint64_t from, const uint8_t *old,
            size_t old_len, uint64_t to, const uint8_t *body, size_t len);

/** history_find() - first of the steps from @have on, NULL when unknown;
 * @count is set to their number */
const struct history_step *
history_find(const struct history *history, uint64_t have, size_t *count);

/**
 * history_apply() - make the edited body
 * @len: length of @body, then that of the result
 *
 * Return: the result, g_free() it, or NULL when the edit doesn't fit.
 */
uint8_t *
history_apply(const struct history_edit *edit, const uint8_t *body,
              size_t *len);

#endif
