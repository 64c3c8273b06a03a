/**
 * DOC: service_config_unique - reports services with equal names, ids or
 * addresses
 */
#ifndef SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_UNIQUE_H
#define SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_UNIQUE_H

#include <glib.h>

#include "service_config/service_config_types.h"
#include "service_config/service_config_diag.h"

/**
 * struct service_config_unique - services checked so far
 * @diags: receives the diagnostics
 * @config: config under construction
 * @names: index of a service by its name
 * @ids: index of a service by its id
 * @addrs: index of a service by the string "transport address:port"
 */
struct service_config_unique {
    struct service_config_diags *diags;
    const struct service_config *config;
    GHashTable *names;
    GHashTable *ids;
    GHashTable *addrs;
};

/** service_config_unique_init() - start without services */
void
service_config_unique_init(struct service_config_unique *unique,
                           struct service_config_diags *diags,
                           const struct service_config *config);

/** service_config_unique_finish() - free the tables */
void
service_config_unique_finish(struct service_config_unique *unique);

/**
 * service_config_unique_check() - compare a service with the previous ones
 * @unique: services checked so far
 * @i: index of the service; invalid fields, which are 0, are ignored
 * @line: line number of the service
 * @path: key path of the service
 */
void
service_config_unique_check(struct service_config_unique *unique, size_t i,
                            uint32_t line, const char *path);

#endif
