/**
 * DOC: config_diff - what differs between two texts, for a person
 */
#ifndef SWIFTARCH_CLI_CONFIG_DIFF_H
#define SWIFTARCH_CLI_CONFIG_DIFF_H

#include <glib.h>

#include "service_config/service_config.h"

/**
 * config_diff() - add a line to @out for each difference
 * @from: one config, or NULL for none
 * @to: the other
 *
 * "+ NAME" is only in @to, "- NAME" only in @from, "~ NAME.KEY: A -> B" in
 * both.
 *
 * Return: number of differences.
 */
size_t
config_diff(const struct service_config *from, const struct service_config *to,
            GString *out);

#endif
