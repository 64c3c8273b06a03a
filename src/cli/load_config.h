/**
 * DOC: load_config - the operators' config from a file
 */
#ifndef SWIFTARCH_CLI_LOAD_CONFIG_H
#define SWIFTARCH_CLI_LOAD_CONFIG_H

#include "service_config/service_config.h"

/**
 * load_config() - read and parse a config; every fault goes to standard error
 * @path: file, "-" for standard input
 * @config: service_config_free() it after CLI_OK
 *
 * Return: CLI_OK or CLI_USAGE.
 */
int
load_config(const char *path, struct service_config **config);

#endif
