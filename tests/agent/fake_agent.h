/**
 * DOC: fake_agent - an agent for tests, of the service "lots"
 *
 * It has one peer, two slots and a manual clock. The test implements backend
 * and peer links.
 */
#ifndef SWIFTARCH_TESTS_AGENT_FAKE_AGENT_H
#define SWIFTARCH_TESTS_AGENT_FAKE_AGENT_H

#include "agent/program.h"

#define FAKE_AGENT_PEER "peer"
#define FAKE_AGENT_START_US (100 * USEC_PER_SEC)

/** fake_agent_init() - initialize the agent and @clock; @deadline_ms is the
 * service's limit */
void
fake_agent_init(struct agent *agent, struct clock_manual *clock, uint64_t seed,
                unsigned deadline_ms);

/** fake_agent_finish() - free the agent's memory */
void
fake_agent_finish(struct agent *agent);

/** fake_agent_answer() - create a complete answer with @body */
GByteArray *
fake_agent_answer(const char *body);

#endif
