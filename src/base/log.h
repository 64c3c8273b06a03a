/**
 * DOC: log - short sentences through GLib's logging, one domain for each part
 *
 * Each .c file that logs defines G_LOG_DOMAIN as "swiftarch-PART" before it
 * includes this header and uses g_debug, g_info, g_message, g_warning.
 * Every line reads "time level PROCESS PART: sentence", on standard error.
 */
#ifndef SWIFTARCH_BASE_LOG_H
#define SWIFTARCH_BASE_LOG_H

#include <glib.h>

/**
 * log_init() - install the writer
 * @process: name of the process, printed in each line
 * @level: "error", "warning", "message", "info" or "debug"
 *
 * Return: 0 or -EINVAL when @level is none of these.
 */
int
log_init(const char *process, const char *level);

#endif
