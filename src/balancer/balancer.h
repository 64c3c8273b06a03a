/**
 * DOC: balancer - the program on an entry host
 */
#ifndef SWIFTARCH_BALANCER_BALANCER_H
#define SWIFTARCH_BALANCER_BALANCER_H

/**
 * balancer_run() - run until SIGTERM (planned stop) or a second one
 * @settings_path: its settings file
 *
 * Return: exit code, 0 after a planned stop, 2 for wrong settings, 1 else.
 */
int
balancer_run(const char *settings_path);

#endif
