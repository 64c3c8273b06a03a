/**
 * DOC: text_unique - what no two services of a text may share
 */
#ifndef SWIFTARCH_TEXT_TEXT_UNIQUE_H
#define SWIFTARCH_TEXT_TEXT_UNIQUE_H

#include <glib.h>

#include "text/text_types.h"
#include "text/text_fault.h"

/**
 * struct text_unique - services checked so far
 * @faults: report
 * @text: the text being read
 * @names: index of a service by its name
 * @ids: by its id
 * @addrs: by transport, address and port, in words
 */
struct text_unique {
    struct text_faults *faults;
    const struct text *text;
    GHashTable *names;
    GHashTable *ids;
    GHashTable *addrs;
};

/** text_unique_init() - no service yet */
void
text_unique_init(struct text_unique *unique, struct text_faults *faults,
                 const struct text *text);

/** text_unique_finish() - free */
void
text_unique_finish(struct text_unique *unique);

/** text_unique_check() - compare service @i, which stands at @line, with
 * those before it; parts of it that were found wrong are passed over */
void
text_unique_check(struct text_unique *unique, size_t i, uint32_t line,
                  const char *path);

#endif
