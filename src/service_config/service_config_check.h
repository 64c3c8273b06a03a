/**
 * DOC: service_config_check - validation rules of a parsed config
 *
 * Every violated rule adds a diagnostic; checking goes on, so that an operator
 * gets all errors at once.
 */
#ifndef SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_CHECK_H
#define SWIFTARCH_SERVICE_CONFIG_SERVICE_CONFIG_CHECK_H

#include "service_config/service_config_types.h"
#include "service_config/service_config_diag.h"
#include "service_config/service_config_index.h"

/**
 * service_config_check_services() - check the services and store them
 * @root: the config as parsed by json-c
 * @index: index of the same source
 * @diags: receives the diagnostics; the config is valid if none is added
 * @config: receives @services and @count
 *
 * Return: 0 (also for an invalid config) or -ENOMEM.
 */
int
service_config_check_services(struct json_object *root,
                              const struct service_config_index *index,
                              struct service_config_diags *diags,
                              struct service_config *config);

/**
 * service_config_check_retired() - check the retired addresses and store them
 * @list: the list as parsed by json-c
 * @index: index of the list's source
 * @diags: receives the diagnostics; the list is valid if none is added
 * @config: its services and lookup table are complete; receives @retired and
 *          @retired_count
 *
 * Return: 0 (also for an invalid list) or -ENOMEM.
 */
int
service_config_check_retired(struct json_object *list,
                             const struct service_config_index *index,
                             struct service_config_diags *diags,
                             struct service_config *config);

/**
 * service_config_check_depends() - resolve "depends_on" and report cycles
 * @services: list of services as parsed by json-c, one for each of @config
 * @index: index of the same source
 * @node: handle of the list in @index
 * @diags: receives the diagnostics
 * @config: its services receive @depends and @depends_count
 */
void
service_config_check_depends(struct json_object *services,
                             const struct service_config_index *index,
                             uint32_t node, struct service_config_diags *diags,
                             struct service_config *config);

#endif
