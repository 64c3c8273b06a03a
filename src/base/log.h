/**
 * DOC: log - writer for GLib's structured logging
 *
 * Each .c file that logs defines G_LOG_DOMAIN as "swiftarch-MODULE" before it
 * includes this header and uses g_debug, g_info, g_message and g_warning.
 * Lines go to standard error as "time level PROCESS MODULE: message".
 */
#ifndef SWIFTARCH_BASE_LOG_H
#define SWIFTARCH_BASE_LOG_H

#include <glib.h>

/**
 * log_init() - install the writer and set the level
 * @process: name of the process, part of each line
 * @level: "error", "warning", "message", "info" or "debug"
 *
 * Return: 0, or -EINVAL for an unknown level.
 */
int
log_init(const char *process, const char *level);

#endif
