/**
 * DOC: snapshot - a view and a config to explain decisions from
 */
#ifndef SWIFTARCH_CLI_SNAPSHOT_H
#define SWIFTARCH_CLI_SNAPSHOT_H

#include <stdbool.h>

#include "base/settings.h"
#include "control/control.pb-c.h"
#include "control/view.h"
#include "service_config/service_config.h"

#define SNAPSHOT_SELF "explain"

/**
 * struct snapshot - what one process knows, or a config alone
 * @source_process: process that told it; empty for a config alone
 * @view: its members and one more, "explain", which is @view's self and
 *        serves nothing
 * @config: configuration
 */
struct snapshot {
    char source_process[VIEW_NAME_MAX];
    struct view *view;
    struct service_config *config;
};

/**
 * snapshot_of_reply() - what a process answered
 *
 * Return: 0, -ENODATA when it has no configuration, -EINVAL, -ENOMEM.
 */
int
snapshot_of_reply(struct snapshot *snapshot,
                  const Swiftarch__ShowReply *reply);

/** snapshot_of_config() - no members; takes over @config. 0 or -ENOMEM */
int
snapshot_of_config(struct snapshot *snapshot, struct service_config *config);

/** snapshot_finish() - free */
void
snapshot_finish(struct snapshot *snapshot);

#endif
