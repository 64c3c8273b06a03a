/**
 * DOC: relay_state - what a process of relay mode has in force, as JSON
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_RELAY_STATE_H
#define SWIFTARCH_RELAY_PROGRAM_RELAY_STATE_H

#include <json-c/json.h>

#include "base/httpd.h"
#include "relay/admission/admission.h"
#include "relay/program/relay_settings.h"
#include "relay/forwarder/forwarder.h"

#define RELAY_STATE_PATH "/state"

/** relay_state_balancer() - configuration in force and agents known */
struct json_object *
relay_state_balancer(const struct relay_settings *settings,
                     const struct forwarder *forwarder);

/** relay_state_agent() - the endpoint, and what waits for it */
struct json_object *
relay_state_agent(const struct relay_settings *settings,
                  const struct admission *admission);

/** relay_state_respond() - answer with @json, which is freed */
void
relay_state_respond(struct httpd_request *request, struct json_object *json);

#endif
