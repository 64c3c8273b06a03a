/**
 * DOC: relay_agent - the agent of relay mode: frames, the endpoint's packets
 * and heartbeats carried to the decisions of admission
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_RELAY_AGENT_H
#define SWIFTARCH_RELAY_PROGRAM_RELAY_AGENT_H

/** relay_agent_run() - run until a stop; the exit code */
int
relay_agent_run(const char *settings_path);

#endif
