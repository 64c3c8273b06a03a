/**
 * DOC: apply_run - performs the actions of apply_core on the platform
 *
 * Blocks in an event loop of its own until the run ends.
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

#define APPLY_OBJECT SETTINGS_OBJECT /* default object */

/**
 * struct apply_run - one run of "apply"
 * @call: platform call in progress; first member
 * @base: event loop, stopped when the run ends
 * @platform: client of the platform
 * @timer: timer of APPLY_DO_WAIT
 * @core: state machine
 * @action: action in progress
 * @object: platform object to write
 * @config: config to publish, owned by the caller
 * @author: author of the new version
 * @dry_run: stop before the write
 * @change: the operator's options for retired addresses; @from, @to and
 *          @now_ms are set before the write
 * @retired: addresses retired by the new version, set before the write
 * @retired_count: number of entries in @retired
 * @report: reasons of APPLY_FORBIDDEN, or NULL
 * @current_value: value last read, or NULL
 * @current: envelope parsed from @current_value; valid if @has_current
 * @has_current: @current_value is a valid envelope
 * @current_version: version last read
 * @end: final action; APPLY_DO_WRITE after a dry run
 * @error: error of the last failed call
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
 * apply_run_init() - create the event loop and the client
 * @url: base URL of the platform
 * @config: config to publish, kept until apply_run_finish()
 * @author: author of the version, kept until apply_run_finish()
 *
 * Return: 0 or a negative errno with @err filled.
 */
int
apply_run_init(struct apply_run *run, const char *url,
               const struct service_config *config, const char *author,
               struct error *err);

/** apply_run_finish() - free all resources of @run */
void
apply_run_finish(struct apply_run *run);

/**
 * apply_run_publish() - run until the outcome is in @end
 * @expect: version to replace, or NULL for the current one
 */
void
apply_run_publish(struct apply_run *run, const uint64_t *expect);

#endif
