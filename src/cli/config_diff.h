/**
 * DOC: config_diff - readable differences between two configs
 */
#ifndef SWIFTARCH_CLI_CONFIG_DIFF_H
#define SWIFTARCH_CLI_CONFIG_DIFF_H

#include <glib.h>

#include "service_config/service_config.h"

/**
 * config_diff() - add a line to @out for each difference
 * @from: old config, or NULL for none
 * @to: new config
 *
 * "+ NAME" is a service only in @to, "- NAME" one only in @from and
 * "~ NAME.KEY: A -> B" a changed value.
 *
 * Return: number of differences.
 */
size_t
config_diff(const struct service_config *from, const struct service_config *to,
            GString *out);

#endif
