/**
 * DOC: agent - the agent program, which serves the flows of a local upstream
 */
#ifndef SWIFTARCH_AGENT_AGENT_H
#define SWIFTARCH_AGENT_AGENT_H

/**
 * agent_run() - run until stopped by SIGTERM or SIGINT
 * @settings_path: path of the settings file
 *
 * The first signal starts a planned stop, a second one stops at once.
 *
 * Return: exit code: 0 after a planned stop, 2 for invalid settings, 1 for
 * other errors and after a second signal.
 */
int
agent_run(const char *settings_path);

#endif
