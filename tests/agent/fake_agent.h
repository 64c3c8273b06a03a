/**
 * DOC: fake_agent - an agent of the service "lots" with one peer and two
 * slots, on a clock stepped by hand; tests bring the back and the links
 */
#ifndef SWIFTARCH_TESTS_AGENT_FAKE_AGENT_H
#define SWIFTARCH_TESTS_AGENT_FAKE_AGENT_H

#include "agent/program.h"

#define FAKE_AGENT_PEER "peer"
#define FAKE_AGENT_START_US (100 * USEC_PER_SEC)

/** fake_agent_init() - begin, with the service's limit @deadline_ms;
 * @clock is started as well */
void
fake_agent_init(struct agent *agent, struct clock_manual *clock, uint64_t seed,
                unsigned deadline_ms);

/** fake_agent_finish() - free what it holds */
void
fake_agent_finish(struct agent *agent);

/** fake_agent_answer() - a whole answer with @body */
GByteArray *
fake_agent_answer(const char *body);

#endif
