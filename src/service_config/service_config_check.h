/**
 * DOC: service_config_check - every rule for a config, applied in one pass
 */
#ifndef SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_CHECK_H
#define SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_CHECK_H

#include "service_config/service_config_types.h"
#include "service_config/service_config_diag.h"
#include "service_config/service_config_index.h"

/**
 * service_config_check_services() - read the services of a parsed config
 * @root: the config as json-c read it
 * @index: positions in the same source
 * @diags: gets every diag
 * @config: gets services and count
 *
 * Return: 0 or -ENOMEM. Whether the config is good is told by @diags.
 */
int
service_config_check_services(struct json_object *root,
                              const struct service_config_index *index,
                              struct service_config_diags *diags,
                              struct service_config *config);

/**
 * service_config_check_retired() - read the list of retired addresses
 * @list: the list as json-c read it; @index: positions in the same source
 * @config: has its services; gets retired and retired_count
 *
 * Return: 0 or -ENOMEM. Whether the list is good is told by @diags.
 */
int
service_config_check_retired(struct json_object *list,
                             const struct service_config_index *index,
                             struct service_config_diags *diags,
                             struct service_config *config);

/**
 * service_config_check_depends() - resolve "depends_on" and look for cycles
 * @services: list of services as json-c read it, one for each of @config
 * @node: handle of that list
 */
void
service_config_check_depends(struct json_object *services,
                             const struct service_config_index *index,
                             uint32_t node, struct service_config_diags *diags,
                             struct service_config *config);

#endif
