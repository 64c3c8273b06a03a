/**
 * DOC: config - the operators' one config: services and what each depends on
 */
#ifndef SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_H
#define SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu.h>

#include "base/error.h"
#include "service_config/service_config_lookup.h"
#include "service_config/service_config_types.h"

/**
 * struct service_config_envelope - what the platform's object "config" holds
 * @write_id: random, 32 hexadecimal digits: tells one write from another
 * @author: who published it (key "operator")
 * @written_ms: when, by that operator's clock, milliseconds since 1970
 * @history: write ids of the versions before it, the latest first
 * @history_count: how many
 * @source: the configuration inside the value it was read from
 * @source_len: its length in bytes
 * @retired: list of retired addresses (JSON) inside the value, or NULL
 * @retired_len: its length in bytes
 */
struct service_config_envelope {
    char write_id[SERVICE_CONFIG_WRITE_ID_MAX];
    char author[SERVICE_CONFIG_AUTHOR_MAX];
    uint64_t written_ms;
    char history[SERVICE_CONFIG_HISTORY_MAX][SERVICE_CONFIG_WRITE_ID_MAX];
    size_t history_count;
    const char *source;
    size_t source_len;
    const char *retired;
    size_t retired_len;
};

/**
 * service_config_parse() - check a config and read it
 * @source: JSON, not necessarily ended by NUL
 * @len: its length
 * @name: file name for messages
 * @config: result, calloc()ed, or NULL
 * @report: all diags, one a line "name:line: key: found, expected"
 *          (g_free() it), NULL when there are none
 *
 * Return: 0 or -EINVAL, -EFBIG, -ENOMEM.
 */
int
service_config_parse(const char *source, size_t len, const char *name,
                     struct service_config **config, char **report);

/**
 * service_config_parse_envelope() - check and read the value of the object
 * "config"
 * @value: the object's value: an envelope, or a bare config
 * @len: its length
 * @version: the object's version
 * @config: result as from service_config_parse(), with @version and the
 * retired addresses
 * @report: as from service_config_parse()
 *
 * What this function makes of a config's source and of the value from which
 * it was read are equal but for the version, so processes may pass on
 * either form.
 *
 * Return: 0 or -EINVAL, -EFBIG, -ENOMEM.
 */
int
service_config_parse_envelope(const char *value, size_t len, uint64_t version,
                              struct service_config **config, char **report);

/**
 * service_config_envelope_read() - read an envelope without checking the
 * config in it
 * @envelope: result; points into @value
 *
 * Return: 0 or -EINVAL when @value is no envelope.
 */
int
service_config_envelope_read(const char *value, size_t len,
                             struct service_config_envelope *envelope);

/**
 * service_config_envelope_write() - value to publish for a config
 * @envelope: all fields set
 * @len: its length
 *
 * Return: the value, g_free() it.
 */
char *
service_config_envelope_write(const struct service_config_envelope *envelope,
                              size_t *len);

/** service_config_free() - free a config; NULL is allowed */
void
service_config_free(struct service_config *config);

#endif
