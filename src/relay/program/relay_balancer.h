/**
 * DOC: relay_balancer - the balancer process of relay mode
 *
 * Receives packets of callers and frames of agents, follows the store and the
 * peers, passes all of it to forwarder and sends the resulting frames.
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_RELAY_BALANCER_H
#define SWIFTARCH_RELAY_PROGRAM_RELAY_BALANCER_H

/** relay_balancer_run() - run until stopped; returns the exit code: 0 stopped,
 * 1 the start failed, 2 invalid settings */
int
relay_balancer_run(const char *settings_path);

#endif
