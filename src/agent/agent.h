/**
 * DOC: agent - the program beside an upstream
 */
#ifndef SWIFTARCH_AGENT_AGENT_H
#define SWIFTARCH_AGENT_AGENT_H

/**
 * agent_run() - run until SIGTERM (planned stop) or a second one
 * @settings_path: its settings file
 *
 * Return: exit code, 0 after a planned stop, 2 for wrong settings, 1 else.
 */
int
agent_run(const char *settings_path);

#endif
