/**
 * DOC: text - the operators' one text: services and what each depends on
 */
#ifndef SWIFTARCH_TEXT_TEXT_H
#define SWIFTARCH_TEXT_TEXT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu.h>

#include "base/error.h"
#include "text/text_lookup.h"
#include "text/text_types.h"

/**
 * struct text_envelope - what the platform's object "config" holds
 * @write_id: random, 32 hexadecimal digits: tells one write from another
 * @author: who published it (key "operator")
 * @written_ms: when, by that operator's clock, milliseconds since 1970
 * @history: write ids of the versions before it, the latest first
 * @history_count: how many
 * @text: the operators' text inside the value it was read from
 * @text_len: its length in bytes
 * @retired: list of retired addresses (JSON) inside the value, or NULL
 * @retired_len: its length in bytes
 */
struct text_envelope {
    char write_id[TEXT_WRITE_ID_MAX];
    char author[TEXT_AUTHOR_MAX];
    uint64_t written_ms;
    char history[TEXT_HISTORY_MAX][TEXT_WRITE_ID_MAX];
    size_t history_count;
    const char *text;
    size_t text_len;
    const char *retired;
    size_t retired_len;
};

/**
 * text_parse() - check a text and read it
 * @source: JSON, not necessarily ended by NUL
 * @len: its length
 * @name: file name for messages
 * @text: result, calloc()ed, or NULL
 * @report: all faults, one a line "name:line: key: found, expected"
 *          (g_free() it), NULL when there are none
 *
 * Return: 0 or -EINVAL, -EFBIG, -ENOMEM.
 */
int
text_parse(const char *source, size_t len, const char *name,
           struct text **text, char **report);

/**
 * text_parse_envelope() - check and read the value of the object "config"
 * @value: the object's value: an envelope, or a bare text
 * @len: its length
 * @version: the object's version
 * @text: result as from text_parse(), with @version and the retired
 *        addresses
 * @report: as from text_parse()
 *
 * What this function makes of a text's source and of the value from which
 * it was read are equal but for the version, so processes may pass on
 * either form.
 *
 * Return: 0 or -EINVAL, -EFBIG, -ENOMEM.
 */
int
text_parse_envelope(const char *value, size_t len, uint64_t version,
                    struct text **text, char **report);

/**
 * text_envelope_read() - read an envelope without checking the text in it
 * @envelope: result; points into @value
 *
 * Return: 0 or -EINVAL when @value is no envelope.
 */
int
text_envelope_read(const char *value, size_t len,
                   struct text_envelope *envelope);

/**
 * text_envelope_write() - value to publish for a text
 * @envelope: all fields set
 * @len: its length
 *
 * Return: the value, g_free() it.
 */
char *
text_envelope_write(const struct text_envelope *envelope, size_t *len);

/** text_free() - free a text; NULL is allowed */
void
text_free(struct text *text);

#endif
