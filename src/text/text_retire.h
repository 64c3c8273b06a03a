/**
 * DOC: text_retire - which addresses a new text retires
 *
 * An established flow survives any change of the text, so the address that
 * a service leaves stays that service's for as long as its flows may last.
 * Nobody but the platform keeps state: who publishes a text works out the
 * list from what is published and writes it beside the text, in the same
 * conditional write.
 *
 * An address of the list is taken off it when the service has it again, when
 * its time is over, or when the operator gives it up. Until then no other
 * service may have it: packets of the old flows would reach the other's
 * endpoints. A renamed service is another one, for its name is its identity.
 */
#ifndef SWIFTARCH_TEXT_TEXT_RETIRE_H
#define SWIFTARCH_TEXT_TEXT_RETIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "text/text.h"

#define TEXT_RETIRE_HOLD_MS (24 * 3600 * UINT64_C(1000))

/* Added to the hold: clocks of two operators may differ by so much before
 * an address is held for less than it should be. */
#define TEXT_RETIRE_SKEW_MS (300 * UINT64_C(1000))

/** struct text_forget - an address given up before its time */
struct text_forget {
    struct addr addr;
    enum text_proto proto;
};

/**
 * struct text_change - one text is to replace another
 * @from: what is published, or NULL
 * @to: what is to replace it
 * @name: file name of @to for messages
 * @now_ms: publisher's clock, milliseconds since 1970
 * @hold_ms: how long an address stays retired
 * @forget: addresses to give up
 * @forget_count: how many
 * @forget_all: give up all, those that @to retires too
 */
struct text_change {
    const struct text *from;
    const struct text *to;
    const char *name;
    uint64_t now_ms;
    uint64_t hold_ms;
    const struct text_forget *forget;
    size_t forget_count;
    bool forget_all;
};

/**
 * text_retire() - the addresses that are retired once @to is published
 * @retired: result, TEXT_RETIRED_MAX at most, those retired last at the end
 * @count: how many
 * @report: what forbids the change, one fault a line (g_free() it), or NULL
 *
 * Return: 0 or -EINVAL.
 */
int
text_retire(const struct text_change *change,
            struct text_retired retired[TEXT_RETIRED_MAX], size_t *count,
            char **report);

/** text_retired_write() - the list as JSON, g_free() it */
char *
text_retired_write(const struct text_retired *retired, size_t count);

/** text_time_words() - a time of day in words, g_free() it */
char *
text_time_words(uint64_t ms);

#endif
