#include "relay/program/settings_file.h"

#include <string.h>
#include <sys/stat.h>

#include <glib.h>

#include "base/clock.h"
#include "base/hash.h"

/* Interval between two checks of the file. */
#define CHECK_INTERVAL_US (2 * USEC_PER_SEC)

/* Hash of a file's modification time and size; 0 if stat() fails. */
static uint64_t
file_fingerprint(const char *path)
{
    struct stat status;

    if (stat(path, &status) < 0) {
        return 0;
    }
    return hash_pair((uint64_t)status.st_mtim.tv_sec * USEC_PER_SEC +
                         (uint64_t)status.st_mtim.tv_nsec / 1000,
                     (uint64_t)status.st_size);
}

void
settings_file_init(struct settings_file *file, const char *path,
                   enum relay_role role, uint64_t now_us)
{
    *file = (struct settings_file){
        .path = path,
        .role = role,
        .fingerprint = file_fingerprint(path),
        .next_check_us = now_us + CHECK_INTERVAL_US,
    };
}

bool
settings_file_changed(struct settings_file *file, uint64_t now_us)
{
    if (now_us < file->next_check_us) {
        return false;
    }
    file->next_check_us = now_us + CHECK_INTERVAL_US;
    return file_fingerprint(file->path) != file->fingerprint;
}

int
settings_file_reload(struct settings_file *file,
                     struct relay_settings *settings, char *report,
                     size_t size)
{
    struct relay_settings read;
    struct error err = {0};
    char *faults;
    int ret;

    file->fingerprint = file_fingerprint(file->path);
    ret = relay_settings_load(&read, file->role, file->path, &faults, &err);
    if (ret < 0) {
        g_strlcpy(report, err.detail, size);
        g_free(faults);
        return ret;
    }
    memcpy(settings->peers, read.peers, sizeof(settings->peers));
    settings->peer_count = read.peer_count;
    settings->stop_ms = read.stop_ms;
    settings->log_per_s = read.log_per_s;
    report[0] = '\0';
    return 0;
}
