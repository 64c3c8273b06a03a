#include "control/history.h"

#include <string.h>

#include <glib.h>

static void
drop_oldest(struct history *history)
{
    g_free(history->steps[0].edit.middle);
    history->count--;
    memmove(&history->steps[0], &history->steps[1],
            history->count * sizeof(history->steps[0]));
}

void
history_finish(struct history *history)
{
    for (size_t i = 0; i < history->count; i++)
        g_free(history->steps[i].edit.middle);
    memset(history, 0, sizeof(*history));
}

void
history_add(struct history *history, uint64_t from, const uint8_t *old,
            size_t old_len, uint64_t to, const uint8_t *body, size_t len)
{
    size_t shorter = MIN(old_len, len);
    size_t prefix = 0;
    size_t suffix = 0;
    struct history_step *step;

    while (prefix < shorter && old[prefix] == body[prefix])
        prefix++;
    while (suffix < shorter - prefix &&
           old[old_len - suffix - 1] == body[len - suffix - 1])
        suffix++;
    if (history->count == HISTORY_STEPS_MAX)
        drop_oldest(history);
    step = &history->steps[history->count++];
    step->from = from;
    step->to = to;
    step->edit.prefix = prefix;
    step->edit.suffix = suffix;
    step->edit.middle_len = len - prefix - suffix;
    step->edit.middle = g_memdup2(body + prefix, step->edit.middle_len);
}

const struct history_step *
history_find(const struct history *history, uint64_t have, size_t *count)
{
    for (size_t i = 0; i < history->count; i++) {
        if (history->steps[i].from != have)
            continue;
        *count = history->count - i;
        return &history->steps[i];
    }
    return NULL;
}

uint8_t *
history_apply(const struct history_edit *edit, const uint8_t *body,
              size_t *len)
{
    size_t old_len = *len;
    uint8_t *result;

    if ((uint64_t)edit->prefix + edit->suffix > old_len)
        return NULL;
    *len = edit->prefix + edit->middle_len + edit->suffix;
    result = g_malloc(*len + 1);
    memcpy(result, body, edit->prefix);
    if (edit->middle_len > 0)
        memcpy(result + edit->prefix, edit->middle, edit->middle_len);
    memcpy(result + edit->prefix + edit->middle_len,
           body + old_len - edit->suffix, edit->suffix);
    result[*len] = '\0';
    return result;
}
