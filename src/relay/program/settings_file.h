/**
 * DOC: settings_file - notices that a process's settings file has changed
 *
 * By a signal or without one: the file's time and size are looked at every
 * few seconds. Addresses stay for a process's life; what may change while it
 * runs is taken over, and a file with faults changes nothing.
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_SETTINGS_FILE_H
#define SWIFTARCH_RELAY_PROGRAM_SETTINGS_FILE_H

#include <stdbool.h>
#include <stdint.h>

#include "relay/program/relay_settings.h"

/**
 * struct settings_file - the file
 * @path: where it is
 * @role: program that reads it
 * @fingerprint: its time and size when it was read last, as one number
 * @next_check_us: when to look next
 */
struct settings_file {
    const char *path;
    enum relay_role role;
    uint64_t fingerprint;
    uint64_t next_check_us;
};

/** settings_file_init() - a file that has just been read */
void
settings_file_init(struct settings_file *file, const char *path,
                   enum relay_role role, uint64_t now_us);

/** settings_file_changed() - whether it has changed since it was read; looks
 * only when it is time to */
bool
settings_file_changed(struct settings_file *file, uint64_t now_us);

/**
 * settings_file_reload() - read it and take over into @settings what may
 * change: peers, stop_ms and log_per_s
 * @report: the first fault, or ""
 * @size: room in @report
 *
 * Return: 0, or a negative errno with @settings as they were.
 */
int
settings_file_reload(struct settings_file *file,
                     struct relay_settings *settings, char *report,
                     size_t size);

#endif
