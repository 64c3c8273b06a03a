/**
 * DOC: settings - loads and validates a process's settings file (JSON)
 */
#ifndef SWIFTARCH_BASE_SETTINGS_H
#define SWIFTARCH_BASE_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/error.h"

#define SETTINGS_NAME_MAX 32
#define SETTINGS_PATH_MAX 256
#define SETTINGS_KEY_MAX 128
#define SETTINGS_SEEDS_MAX 16
#define SETTINGS_OBJECT "config"

/** enum settings_role - program that reads the file */
enum settings_role {
    SETTINGS_BALANCER,
    SETTINGS_AGENT,
    SETTINGS_OPERATOR /* requires only platform, seeds and site_key_file */
};

/**
 * struct settings - settings of one process
 * @role: program
 * @name: unique name of the process (key "name")
 * @data_centre: key "data_centre"
 * @cell: key "cell", the membership group
 * @data: UDP address for packets (key "data")
 * @control: TCP and UDP address for control messages (key "control")
 * @http: address of /metrics, /ready and, at an agent, /announce ("http")
 * @platform: base URL of the object API (key "platform")
 * @seeds: control addresses of a few other processes (key "seeds")
 * @seed_count: number of @seeds
 * @region_seeds: control addresses of a few processes in other cells of the
 *                region (key "region_seeds")
 * @region_seed_count: number of @region_seeds
 * @object: platform object with the service configuration of the own cell
 *          (key "object", default SETTINGS_OBJECT); see settings_object()
 * @site_key: shared secret, 16 to 128 bytes, read from the file of the key
 *            "site_key_file"
 * @site_key_len: length of @site_key in bytes
 * @log_level: key "log_level", default "message"
 * @workers: balancer: number of packet workers (key "workers", 1 to 16,
 *           default 1)
 * @fabric: agent: UDP address that forwards packets to callers (key "fabric")
 * @drain_s: maximum time that a planned stop waits for flows, seconds (key
 *           "drain_s", default 30)
 * @trace_file: file for spans, empty to disable tracing (key "trace_file")
 * @trace_sample: trace one request in this many (key "trace_sample",
 *                default 1)
 */
struct settings {
    enum settings_role role;
    char name[SETTINGS_NAME_MAX];
    char data_centre[SETTINGS_NAME_MAX];
    char cell[SETTINGS_NAME_MAX];
    struct addr data;
    struct addr control;
    struct addr http;
    char platform[SETTINGS_PATH_MAX];
    struct addr seeds[SETTINGS_SEEDS_MAX];
    size_t seed_count;
    struct addr region_seeds[SETTINGS_SEEDS_MAX];
    size_t region_seed_count;
    char object[SETTINGS_NAME_MAX];
    uint8_t site_key[SETTINGS_KEY_MAX];
    size_t site_key_len;
    char log_level[16];
    unsigned workers;
    struct addr fabric;
    unsigned drain_s;
    char trace_file[SETTINGS_PATH_MAX];
    unsigned trace_sample;
};

/**
 * settings_load() - read and validate a settings file
 * @settings: result
 * @role: program that reads the file
 * @path: file name
 * @report: gets all faults, one per line, freed by g_free(), or NULL for none;
 *          may be NULL
 * @err: gets the first fault
 *
 * Unknown, repeated and missing keys, wrong types and values out of range are
 * faults.
 *
 * Return: 0, -EINVAL, or the error of reading the file.
 */
int
settings_load(struct settings *settings, enum settings_role role,
              const char *path, char **report, struct error *err);

/** settings_object() - @object, or SETTINGS_OBJECT if it is empty */
const char *
settings_object(const struct settings *settings);

#endif
