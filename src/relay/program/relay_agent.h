/**
 * DOC: relay_agent - the agent process of relay mode
 *
 * Receives frames, the endpoint's packets and its heartbeats, passes them to
 * admission and sends the resulting packets and frames.
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_RELAY_AGENT_H
#define SWIFTARCH_RELAY_PROGRAM_RELAY_AGENT_H

/** relay_agent_run() - run until stopped; returns the exit code: 0 stopped,
 * 1 the start failed, 2 invalid settings */
int
relay_agent_run(const char *settings_path);

#endif
