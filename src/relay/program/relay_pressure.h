/**
 * DOC: relay_pressure - what a balancer believes of its services' room and
 * whom it refuses, for operators
 *
 * Served at RELAY_PRESSURE_PATH for "swiftarch relay-show --pressure", and as
 * metrics and log lines.
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_RELAY_PRESSURE_H
#define SWIFTARCH_RELAY_PROGRAM_RELAY_PRESSURE_H

#include <glib.h>
#include <json-c/json.h>

#include "base/event_log.h"
#include "relay/overload/overload.h"

#define RELAY_PRESSURE_PATH "/pressure"

/** relay_pressure_json() - encode the state of each service; @overload is NULL
 * while the setting is off */
struct json_object *
relay_pressure_json(const struct overload *overload, uint64_t now_us);

/** relay_pressure_metrics() - append counters in Prometheus text */
void
relay_pressure_metrics(const struct overload *overload, GString *text);

/** relay_pressure_log_changes() - log changes of who is refused */
void
relay_pressure_log_changes(struct overload *overload, struct event_log *log,
                           uint64_t now_us);

/** relay_pressure_log_refusal() - log a refusal that overload_decide() just
 * decided on, with what it relied on; subject to the rate limit */
void
relay_pressure_log_refusal(const struct overload *overload,
                           struct event_log *log, const char *caller,
                           const char *address, const char *reason,
                           uint64_t now_us);

#endif
