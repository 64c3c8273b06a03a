/**
 * DOC: service_config_lookup - services of a checked config, by id, name and
 * address
 */
#ifndef SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_LOOKUP_H
#define SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_LOOKUP_H

#include "service_config/service_config_types.h"

/** service_config_lookup_build() - make the table behind
 * service_config_find_id() and service_config_find_addr() once the services
 * stand; 0 or -ENOMEM */
int
service_config_lookup_build(struct service_config *config);

/** service_config_class_name() - word of a class in the config */
const char *service_config_class_name(enum service_config_class class);

/** service_config_proto_name() - word of a transport in the config */
const char *
service_config_proto_name(enum service_config_proto proto);

/** service_config_find_name() - service by name or NULL */
const struct service_config_entry *
service_config_find_name(const struct service_config *config,
                         const char *name);

/** service_config_find_id() - service by id or NULL */
const struct service_config_entry *
service_config_find_id(const struct service_config *config, uint32_t id);

/** service_config_find_with_retired() - service by id, or, when the config has
 * none, as it was when its address was retired; NULL when neither is known */
const struct service_config_entry *
service_config_find_with_retired(const struct service_config *config,
                                 uint32_t id);

/** service_config_find_retired() - retired address or NULL */
const struct service_config_retired *
service_config_find_retired(const struct service_config *config, uint32_t ip,
                            uint16_t port, enum service_config_proto proto);

/** service_config_find_addr() - service at an address, port and transport or
 * NULL */
const struct service_config_entry *
service_config_find_addr(const struct service_config *config, uint32_t ip,
                         uint16_t port, enum service_config_proto proto);

#endif
