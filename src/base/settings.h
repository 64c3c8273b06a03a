/**
 * DOC: settings - a process's own settings file (JSON), checked key by key
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

/** enum settings_role - which program the file is for */
enum settings_role {
    SETTINGS_BALANCER,
    SETTINGS_AGENT,
    SETTINGS_OPERATOR /* platform, seeds, site_key_file only */
};

/**
 * struct settings - one process's settings
 * @role: program
 * @name: unique name of the process (key "name")
 * @data_centre: key "data_centre"
 * @cell: key "cell", the membership group
 * @data: UDP address for packets (key "data")
 * @control: TCP and UDP address for the other processes (key "control")
 * @http: address of /metrics, /ready and, at an agent, /announce ("http")
 * @platform: base URL of the object API (key "platform")
 * @seeds: control addresses of a few other processes (key "seeds")
 * @seed_count: how many
 * @region_seeds: control addresses of a few processes in other cells of the
 *                region (key "region_seeds")
 * @region_seed_count: how many
 * @object: platform object that holds the text of the own cell (key
 *          "object", default SETTINGS_OBJECT); see settings_object()
 * @site_key: shared secret, 16 bytes or more (key "site_key_file" names the
 *            file that holds it)
 * @site_key_len: its length in bytes
 * @log_level: key "log_level", default "message"
 * @workers: balancer: packet workers (key "workers", 1..16, default 1)
 * @fabric: agent: UDP address that takes packets towards callers ("fabric")
 * @drain_s: seconds a planned stop may wait for flows ("drain_s", default 30)
 * @trace_file: key "trace_file", empty is off
 * @trace_sample: key "trace_sample", one request in so many, default 1
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
 * settings_load() - read and check a settings file
 * @settings: result
 * @role: program that reads it
 * @path: file
 * @err: names file, line or key, what was found and what was expected
 *
 * Unknown keys, wrong types, missing keys and values out of range are
 * errors; all faults are named, one a line, in @report (g_free() it).
 *
 * Return: 0, -EINVAL, or what reading the file returned.
 */
int
settings_load(struct settings *settings, enum settings_role role,
              const char *path, char **report, struct error *err);

/** settings_object() - object that holds the cell's text, also when the
 * settings were not loaded from a file */
const char *
settings_object(const struct settings *settings);

#endif
