/**
 * DOC: apply_run - carries out the decisions of apply_core on the platform
 */
#ifndef SWIFTARCH_CLI_APPLY_RUN_H
#define SWIFTARCH_CLI_APPLY_RUN_H

#include <event2/event.h>
#include <glib.h>

#include "base/settings.h"
#include "cli/apply_core.h"
#include "platform/platform.h"
#include "service_config/service_config.h"
#include "service_config/service_config_retire.h"

#define APPLY_OBJECT SETTINGS_OBJECT /* unless the settings say otherwise */

/**
 * struct apply_run - one run
 * @call: the platform's; first member
 * @base: event base, left when the run ends
 * @platform: client
 * @timer: waits
 * @core: decisions
 * @action: action under way
 * @object: platform object to write
 * @config: config to publish
 * @author: who publishes it
 * @dry_run: read only
 * @change: what the operator decided about retired addresses; @from, @to and
 *          @now_ms are filled in
 * @retired: addresses that are retired with the config, once it is to be
 *           written
 * @retired_count: how many
 * @report: why the outcome is APPLY_FORBIDDEN, or NULL
 * @current_value: value last read, or NULL
 * @current: what it holds; valid when @has_current
 * @has_current: the value was an envelope
 * @current_version: version last read
 * @end: the final action
 * @error: of the last failed call
 */
struct apply_run {
    struct platform_call call;
    struct event_base *base;
    struct platform *platform;
    struct event *timer;
    struct apply_core core;
    struct apply_action action;
    const char *object;
    const struct service_config *config;
    const char *author;
    bool dry_run;
    struct service_config_change change;
    struct service_config_retired retired[SERVICE_CONFIG_RETIRED_MAX];
    size_t retired_count;
    char *report;
    GBytes *current_value;
    struct service_config_envelope current;
    bool has_current;
    uint64_t current_version;
    struct apply_action end;
    struct error error;
};

/**
 * apply_run_init() - prepare
 * @url: of the platform
 *
 * Return: 0 or a negative errno with @err filled.
 */
int
apply_run_init(struct apply_run *run, const char *url,
               const struct service_config *config, const char *author,
               struct error *err);

/** apply_run_finish() - free */
void
apply_run_finish(struct apply_run *run);

/**
 * apply_run_publish() - run until the end; see @end
 * @expect: version to replace, or NULL for whatever is there
 */
void
apply_run_publish(struct apply_run *run, const uint64_t *expect);

#endif
