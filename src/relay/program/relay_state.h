/**
 * DOC: relay_state - state of a balancer or an agent of relay mode, as JSON
 *
 * Served at RELAY_STATE_PATH for "swiftarch relay-show".
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_RELAY_STATE_H
#define SWIFTARCH_RELAY_PROGRAM_RELAY_STATE_H

#include <json-c/json.h>

#include "base/httpd.h"
#include "relay/admission/admission.h"
#include "relay/program/relay_settings.h"
#include "relay/forwarder/forwarder.h"
#include "relay/limits/limits.h"

#define RELAY_STATE_PATH "/state"

/** relay_state_level_name() - name of a level, for operators */
const char *
relay_state_level_name(enum endpoint_level_kind kind);

/** relay_state_cause_name() - why an endpoint has its level, for operators */
const char *
relay_state_cause_name(enum endpoint_level_cause cause);

/** relay_state_balancer() - encode configuration, evacuations and agents */
struct json_object *
relay_state_balancer(const struct relay_settings *settings,
                     const struct forwarder *forwarder, uint64_t now_us);

/** relay_state_add_limits() - add the operators' limits to a balancer's state;
 * @read: they have been read from the store */
void
relay_state_add_limits(struct json_object *json, const struct limits *limits,
                       bool read, uint64_t now_us);

/** relay_state_agent() - encode the endpoint's state, its load and its queue
 */
struct json_object *
relay_state_agent(const struct relay_settings *settings,
                  const struct admission *admission);

/** relay_state_respond() - reply with @json and release it */
void
relay_state_respond(struct httpd_request *request, struct json_object *json);

#endif
