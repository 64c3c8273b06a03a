/**
 * DOC: service_config_unique - what no two services of a config may share
 */
#ifndef SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_UNIQUE_H
#define SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_UNIQUE_H

#include <glib.h>

#include "service_config/service_config_types.h"
#include "service_config/service_config_diag.h"

/**
 * struct service_config_unique - services checked so far
 * @diags: report
 * @config: the config being read
 * @names: index of a service by its name
 * @ids: by its id
 * @addrs: by transport, address and port, in words
 */
struct service_config_unique {
    struct service_config_diags *diags;
    const struct service_config *config;
    GHashTable *names;
    GHashTable *ids;
    GHashTable *addrs;
};

/** service_config_unique_init() - no service yet */
void
service_config_unique_init(struct service_config_unique *unique,
                           struct service_config_diags *diags,
                           const struct service_config *config);

/** service_config_unique_finish() - free */
void
service_config_unique_finish(struct service_config_unique *unique);

/** service_config_unique_check() - compare service @i, which stands at @line,
 * with those before it; parts of it that were found wrong are passed over */
void
service_config_unique_check(struct service_config_unique *unique, size_t i,
                            uint32_t line, const char *path);

#endif
