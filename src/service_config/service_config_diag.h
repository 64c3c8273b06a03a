/**
 * DOC: service_config_diag - the diags found in a config, collected into one
 * report
 */
#ifndef SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_DIAG_H
#define SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_DIAG_H

#include <glib.h>
#include <json-c/json.h>
#include <stddef.h>
#include <stdint.h>

#define SERVICE_CONFIG_DIAGS_MAX                                              \
    1000 /* listed one by one; the rest are counted */
#define SERVICE_CONFIG_DESCRIPTION_MAX 64
#define SERVICE_CONFIG_PATH_MAX 160

/**
 * struct service_config_diag - one diag
 * @line: where
 * @order: place among the diags found
 * @message: the rest of its line, owned
 */
struct service_config_diag {
    uint32_t line;
    uint32_t order;
    char *message;
};

/**
 * struct service_config_diags - report under construction
 * @name: file name for messages
 * @lines: struct service_config_diag, SERVICE_CONFIG_DIAGS_MAX at most
 * @count: diags found
 */
struct service_config_diags {
    const char *name;
    GArray *lines;
    size_t count;
};

/** service_config_diags_init() - no diag yet */
void
service_config_diags_init(struct service_config_diags *diags,
                          const char *name);

/**
 * service_config_diags_add() - add "name:line: key: sentence"
 * @key: path of the key, empty or NULL for the file as a whole
 */
void
service_config_diags_add(struct service_config_diags *diags, uint32_t line,
                         const char *key, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/**
 * service_config_diags_finish() - end the report, sorted by line
 *
 * Return: the report (g_free() it), or NULL when there was no diag.
 */
char *
service_config_diags_finish(struct service_config_diags *diags);

/** service_config_describe_value() - a value in a few words; @buf has
 * SERVICE_CONFIG_DESCRIPTION_MAX bytes */
const char *
service_config_describe_value(struct json_object *value, char *buf);

#endif
