/**
 * DOC: balancer - main loop of the balancer process
 *
 * Starts the packet workers, the control thread and the HTTP listener, polls
 * the builder for new route tables and handles planned stops.
 */
#ifndef SWIFTARCH_BALANCER_BALANCER_H
#define SWIFTARCH_BALANCER_BALANCER_H

/**
 * balancer_run() - run the balancer until it is stopped
 * @settings_path: settings file
 *
 * The first SIGTERM or SIGINT starts a planned stop, a second one stops the
 * process at once.
 *
 * Return: exit code: 0 after a planned stop, 2 for invalid settings, else 1.
 */
int
balancer_run(const char *settings_path);

#endif
