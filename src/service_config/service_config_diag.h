/**
 * DOC: service_config_diag - collects the errors of a config into one report
 */
#ifndef SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_DIAG_H
#define SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_DIAG_H

#include <glib.h>
#include <json-c/json.h>
#include <stddef.h>
#include <stdint.h>

#define SERVICE_CONFIG_DIAGS_MAX                                              \
    1000 /* diagnostics reported one by one; the rest are counted */
#define SERVICE_CONFIG_DESCRIPTION_MAX 64 /* bytes, with the NUL */
#define SERVICE_CONFIG_PATH_MAX 160       /* bytes, with the NUL */

/**
 * struct service_config_diag - a diagnostic
 * @line: line number in the source, from 1
 * @order: order of detection, which sorts diagnostics of the same line
 * @message: "key: found, expected", owned
 */
struct service_config_diag {
    uint32_t line;
    uint32_t order;
    char *message;
};

/**
 * struct service_config_diags - report under construction
 * @name: file name for messages
 * @lines: array of struct service_config_diag, at most
 *         SERVICE_CONFIG_DIAGS_MAX
 * @count: diagnostics found, also those not stored in @lines
 */
struct service_config_diags {
    const char *name;
    GArray *lines;
    size_t count;
};

/** service_config_diags_init() - start an empty report; @name is not copied */
void
service_config_diags_init(struct service_config_diags *diags,
                          const char *name);

/**
 * service_config_diags_add() - add a diagnostic
 * @diags: report
 * @line: line number in the source, from 1
 * @key: path of the key; empty or NULL when it concerns the whole file
 * @fmt: printf() format of "found ..., expected ..."
 */
void
service_config_diags_add(struct service_config_diags *diags, uint32_t line,
                         const char *key, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/**
 * service_config_diags_finish() - format the report, sorted by line
 * @diags: report, freed
 *
 * Return: the report (free with g_free()), or NULL without diagnostics.
 */
char *
service_config_diags_finish(struct service_config_diags *diags);

/**
 * service_config_describe_value() - short description of a JSON value
 * @value: the value; NULL is JSON null
 * @buf: buffer of SERVICE_CONFIG_DESCRIPTION_MAX bytes
 *
 * Return: @buf or a constant string.
 */
const char *
service_config_describe_value(struct json_object *value, char *buf);

#endif
