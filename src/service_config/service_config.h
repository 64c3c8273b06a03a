/**
 * DOC: service_config - the operators' configuration of all services
 *
 * Parses and checks the JSON that operators publish, and reads and writes the
 * envelope in which the platform stores it.
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
 * struct service_config_envelope - value of the platform's object "config"
 * @write_id: random id of this write, 32 hexadecimal digits
 * @author: operator who published it (key "operator")
 * @written_ms: time of the write, milliseconds since 1970 by the operator's
 *              clock
 * @history: write ids of the previous versions, the latest first
 * @history_count: number of ids in @history
 * @source: the config, points into the value that was read
 * @source_len: length of @source in bytes
 * @retired: JSON list of retired addresses in the value, or NULL
 * @retired_len: length of @retired in bytes
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
 * service_config_parse() - parse and check a config
 * @source: JSON, not necessarily NUL-terminated
 * @len: length of @source in bytes
 * @name: file name for error messages
 * @config: set to the result, to be freed with service_config_free(), or to
 *          NULL on failure
 * @report: set to all errors, as lines of "name:line: key: found, expected"
 *          (free with g_free()), or to NULL when there are none
 *
 * Return: 0; -EINVAL for an invalid config, -EFBIG for one that is too long,
 * -ENOMEM.
 */
int
service_config_parse(const char *source, size_t len, const char *name,
                     struct service_config **config, char **report);

/**
 * service_config_parse_envelope() - parse and check a published value
 * @value: an envelope, the source of a struct service_config, or a bare config
 * @len: length of @value in bytes
 * @version: version of the platform's object
 * @config: as for service_config_parse(), with @version and the retired
 *          addresses
 * @report: as for service_config_parse()
 *
 * Parsing the source of the resulting config again gives an equal config, so
 * processes can send each other the source instead of the envelope.
 *
 * Return: 0 or the errors of service_config_parse().
 */
int
service_config_parse_envelope(const char *value, size_t len, uint64_t version,
                              struct service_config **config, char **report);

/**
 * service_config_envelope_read() - parse an envelope, but not the config in it
 * @value: value of the platform's object
 * @len: length of @value in bytes
 * @envelope: result; points into @value
 *
 * Return: 0, or -EINVAL when @value is not an envelope.
 */
int
service_config_envelope_read(const char *value, size_t len,
                             struct service_config_envelope *envelope);

/**
 * service_config_envelope_write() - serialize an envelope for publishing
 * @envelope: envelope; @envelope->retired may be NULL
 * @len: set to the length of the result in bytes
 *
 * Return: the value, free with g_free().
 */
char *
service_config_envelope_write(const struct service_config_envelope *envelope,
                              size_t *len);

/** service_config_free() - free a config; NULL is allowed */
void
service_config_free(struct service_config *config);

#endif
