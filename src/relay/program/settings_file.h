/**
 * DOC: settings_file - reloads a process's settings file
 *
 * The modification time and size are checked every two seconds. Only some
 * settings can change while the process runs; an invalid file changes nothing.
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_SETTINGS_FILE_H
#define SWIFTARCH_RELAY_PROGRAM_SETTINGS_FILE_H

#include <stdbool.h>
#include <stdint.h>

#include "relay/program/relay_settings.h"

/**
 * struct settings_file - a settings file and when it was read
 * @path: path of the file
 * @role: process that the settings are for
 * @fingerprint: hash of modification time and size at the last read
 * @next_check_us: when the file is checked next
 */
struct settings_file {
    const char *path;
    enum relay_role role;
    uint64_t fingerprint;
    uint64_t next_check_us;
};

/** settings_file_init() - initialize for a file that has just been read */
void
settings_file_init(struct settings_file *file, const char *path,
                   enum relay_role role, uint64_t now_us);

/** settings_file_changed() - whether the file has changed since the last read;
 * false until the next check is due */
bool
settings_file_changed(struct settings_file *file, uint64_t now_us);

/**
 * settings_file_reload() - read the file and update peers, stop_ms and
 * log_per_s in @settings
 * @report: set to the first fault, or ""
 * @size: size of @report
 *
 * Return: 0, or a negative errno with @settings unchanged.
 */
int
settings_file_reload(struct settings_file *file,
                     struct relay_settings *settings, char *report,
                     size_t size);

#endif
