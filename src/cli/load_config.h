/**
 * DOC: load_config - reads a service configuration file
 */
#ifndef SWIFTARCH_CLI_LOAD_CONFIG_H
#define SWIFTARCH_CLI_LOAD_CONFIG_H

#include "service_config/service_config.h"

/**
 * load_config() - read and parse a config, print all errors on standard error
 * @path: file, "-" for standard input
 * @config: set to the config, for service_config_free(), if the result is
 *          CLI_OK
 *
 * Return: CLI_OK or CLI_USAGE.
 */
int
load_config(const char *path, struct service_config **config);

#endif
