/**
 * DOC: relay_explain - what a process of relay mode knows of one flow, as JSON
 *
 * GET RELAY_EXPLAIN_PATH?caller=ADDRESS:PORT&service=ADDRESS:PORT
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_RELAY_EXPLAIN_H
#define SWIFTARCH_RELAY_PROGRAM_RELAY_EXPLAIN_H

#include "base/httpd.h"
#include "relay/admission/admission.h"
#include "relay/forwarder/forwarder.h"

#define RELAY_EXPLAIN_PATH "/flow"

/** relay_explain_balancer() - answer where the flow is, or would go */
void
relay_explain_balancer(struct httpd_request *request,
                       const struct forwarder *forwarder, uint64_t now_us);

/** relay_explain_agent() - answer what the agent knows of the flow */
void
relay_explain_agent(struct httpd_request *request,
                    const struct admission *admission);

#endif
