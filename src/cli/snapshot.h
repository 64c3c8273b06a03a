/**
 * DOC: snapshot - a view and a text to explain decisions from
 */
#ifndef SWIFTARCH_CLI_SNAPSHOT_H
#define SWIFTARCH_CLI_SNAPSHOT_H

#include <stdbool.h>

#include "base/settings.h"
#include "control/control.pb-c.h"
#include "control/view.h"
#include "text/text.h"

#define SNAPSHOT_SELF "explain"

/**
 * struct snapshot - what one process knows, or a text alone
 * @teller: process that told it; empty for a text alone
 * @view: its members and one more, "explain", which is @view's self and
 *        serves nothing
 * @text: configuration
 */
struct snapshot {
    char teller[VIEW_NAME_MAX];
    struct view *view;
    struct text *text;
};

/**
 * snapshot_of_reply() - what a process answered
 *
 * Return: 0, -ENODATA when it has no configuration, -EINVAL, -ENOMEM.
 */
int
snapshot_of_reply(struct snapshot *snapshot,
                  const Swiftarch__ShowReply *reply);

/** snapshot_of_text() - no members; takes over @text. 0 or -ENOMEM */
int
snapshot_of_text(struct snapshot *snapshot, struct text *text);

/** snapshot_finish() - free */
void
snapshot_finish(struct snapshot *snapshot);

#endif
