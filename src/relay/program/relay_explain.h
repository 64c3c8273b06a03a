/**
 * DOC: relay_explain - HTTP replies with the state of one flow, as JSON
 *
 * Serves GET RELAY_EXPLAIN_PATH?caller=ADDRESS:PORT&service=ADDRESS:PORT for
 * "swiftarch relay-explain". Other parameters get status 400.
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_RELAY_EXPLAIN_H
#define SWIFTARCH_RELAY_PROGRAM_RELAY_EXPLAIN_H

#include "base/httpd.h"
#include "relay/admission/admission.h"
#include "relay/forwarder/forwarder.h"
#include "relay/limits/limits.h"

#define RELAY_EXPLAIN_PATH "/flow"

/**
 * relay_explain_balancer() - reply with the flow's agent, the agents to which
 * a new flow would go and the limits that it would meet
 * @limits: operators' limits, or NULL if they aren't followed
 */
void
relay_explain_balancer(struct httpd_request *request,
                       const struct forwarder *forwarder,
                       const struct limits *limits, uint64_t now_us);

/** relay_explain_agent() - reply with the agent's state of the flow */
void
relay_explain_agent(struct httpd_request *request,
                    const struct admission *admission, uint64_t now_us);

#endif
