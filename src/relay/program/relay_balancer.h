/**
 * DOC: relay_balancer - the balancer of relay mode: packets, frames, the
 * store and its peers carried to the decisions of forwarder
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_RELAY_BALANCER_H
#define SWIFTARCH_RELAY_PROGRAM_RELAY_BALANCER_H

/** relay_balancer_run() - run until a stop; the exit code */
int
relay_balancer_run(const char *settings_path);

#endif
