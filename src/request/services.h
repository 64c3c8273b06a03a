/**
 * DOC: services - what the engine dependencies of the configuration in force
 *
 * A service that an urgent one depends on, directly or not, counts as
 * urgent for calls that ask for it (Priority with u below 3, which the
 * upstream of the urgent service sends with calls on behalf of its work); any
 * other ordinary service stays ordinary whatever its callers ask for. Who
 * may reach such a needed service is trusted to ask truly: its other callers
 * could ask too, and would go before its ordinary ones only.
 */
#ifndef SWIFTARCH_REQUEST_SERVICES_H
#define SWIFTARCH_REQUEST_SERVICES_H

#include <glib.h>

#include "text/text.h"

/**
 * struct service - one service
 * @id: service id
 * @class: as configured
 * @needed_by_urgent: an urgent service depends on it
 * @limits: as configured
 * @dependencies: ids of all it depends on, directly or not
 */
struct service {
    uint32_t id;
    enum text_class class;
    bool needed_by_urgent;
    struct text_limits limits;
    GArray *dependencies;
};

/** services_new() - copy of @text, found by id */
GHashTable *
services_new(const struct text *text);

/** services_find() - service or NULL; @services may be NULL */
const struct service *
services_find(GHashTable *services, uint32_t id);

/** services_class() - class a request for service @id gets */
enum text_class
services_class(GHashTable *services, uint32_t id, enum text_class requested);

/** services_limits() - limits of service @id, defaults when unknown */
struct text_limits
services_limits(GHashTable *services, uint32_t id);

#endif
