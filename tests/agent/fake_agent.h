/**
 * DOC: fake_agent - agent for tests of requests and frontend
 *
 * It has the service "lots", one peer, two slots and a manual clock. Tests
 * implement the functions of the backend and the peer links.
 */
#ifndef SWIFTARCH_TESTS_AGENT_FAKE_AGENT_H
#define SWIFTARCH_TESTS_AGENT_FAKE_AGENT_H

#include "agent/program.h"

#define FAKE_AGENT_PEER "peer"
#define FAKE_AGENT_START_US (100 * USEC_PER_SEC)

/** fake_agent_init() - initialise @agent and @clock; @deadline_ms is the limit
 * of the service */
void
fake_agent_init(struct agent *agent, struct clock_manual *clock, uint64_t seed,
                unsigned deadline_ms);

/** fake_agent_finish() - free all memory */
void
fake_agent_finish(struct agent *agent);

/** fake_agent_answer() - a complete HTTP response with @body; freed by the
 * caller */
GByteArray *
fake_agent_answer(const char *body);

#endif
