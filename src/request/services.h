/**
 * DOC: services - service configuration as used by the engine
 *
 * A service that an urgent one depends on, directly or not, runs a request as
 * urgent if its Priority field asks for it (u below 3), as calls made for
 * urgent work do. Any other ordinary service stays ordinary. Callers that
 * reach such a dependency are trusted: a false urgent request overtakes only
 * other ordinary requests of that service.
 */
#ifndef SWIFTARCH_REQUEST_SERVICES_H
#define SWIFTARCH_REQUEST_SERVICES_H

#include <glib.h>

#include "service_config/service_config.h"

/**
 * struct service - configuration of one service
 * @id: service id
 * @class: configured class
 * @needed_by_urgent: an urgent service depends on it
 * @limits: configured limits
 * @dependencies: ids of its direct and indirect dependencies
 */
struct service {
    uint32_t id;
    enum service_config_class class;
    bool needed_by_urgent;
    struct service_config_limits limits;
    GArray *dependencies;
};

/** services_new() - table of the services in @config by id (copied) */
GHashTable *
services_new(const struct service_config *config);

/** services_find() - look up a service, or NULL; @services may be NULL */
const struct service *
services_find(GHashTable *services, uint32_t id);

/** services_class() - effective class of a request for service @id */
enum service_config_class
services_class(GHashTable *services, uint32_t id,
               enum service_config_class requested);

/** services_limits() - limits of service @id, defaults if unknown */
struct service_config_limits
services_limits(GHashTable *services, uint32_t id);

#endif
