/**
 * DOC: service_config_lookup - finds services by id, name or address
 */
#ifndef SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_LOOKUP_H
#define SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_LOOKUP_H

#include "service_config/service_config_types.h"

/** service_config_lookup_build() - build the hash table used by
 * service_config_find_id() and service_config_find_addr(), when @services is
 * complete; returns 0 or -ENOMEM */
int
service_config_lookup_build(struct service_config *config);

/** service_config_class_name() - name of a class, as in the config */
const char *service_config_class_name(enum service_config_class class);

/** service_config_proto_name() - name of a transport, as in the config */
const char *
service_config_proto_name(enum service_config_proto proto);

/** service_config_find_name() - find a service by name, or NULL; linear */
const struct service_config_entry *
service_config_find_name(const struct service_config *config,
                         const char *name);

/** service_config_find_id() - find a service by id, or NULL */
const struct service_config_entry *
service_config_find_id(const struct service_config *config, uint32_t id);

/** service_config_find_with_retired() - find a service by id, else the service
 * as it was when its address was retired, or NULL */
const struct service_config_entry *
service_config_find_with_retired(const struct service_config *config,
                                 uint32_t id);

/** service_config_find_retired() - find a retired address, or NULL */
const struct service_config_retired *
service_config_find_retired(const struct service_config *config, uint32_t ip,
                            uint16_t port, enum service_config_proto proto);

/** service_config_find_addr() - find a service by its address in use, or NULL
 */
const struct service_config_entry *
service_config_find_addr(const struct service_config *config, uint32_t ip,
                         uint16_t port, enum service_config_proto proto);

#endif
