/**
 * DOC: snapshot - members and config that "explain" bases its decisions on
 */
#ifndef SWIFTARCH_CLI_SNAPSHOT_H
#define SWIFTARCH_CLI_SNAPSHOT_H

#include <stdbool.h>

#include "base/settings.h"
#include "control/control.pb-c.h"
#include "control/view.h"
#include "service_config/service_config.h"

#define SNAPSHOT_SELF "explain" /* name of the member added as self */

/**
 * struct snapshot - members and config of one process, or a config only
 * @source_process: name of the process; empty for a config only
 * @view: its members, and SNAPSHOT_SELF as the view's self, which serves
 *        nothing
 * @config: its config
 */
struct snapshot {
    char source_process[VIEW_NAME_MAX];
    struct view *view;
    struct service_config *config;
};

/**
 * snapshot_of_reply() - create a snapshot from the reply of a process
 *
 * Return: 0, -ENODATA if it has no config, -EINVAL if its config is invalid,
 * or -ENOMEM. Call snapshot_finish() in every case.
 */
int
snapshot_of_reply(struct snapshot *snapshot,
                  const Swiftarch__ShowReply *reply);

/**
 * snapshot_of_config() - create a snapshot without members
 * @config: ownership passes to @snapshot
 *
 * Return: 0 or -ENOMEM.
 */
int
snapshot_of_config(struct snapshot *snapshot, struct service_config *config);

/** snapshot_finish() - free the view and the config */
void
snapshot_finish(struct snapshot *snapshot);

#endif
