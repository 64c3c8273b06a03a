/**
 * DOC: local_entry - directory entry and role of the own cell
 *
 * Both depend on the view and the configuration alone, so that authors with
 * the same input write the same entry.
 */
#ifndef SWIFTARCH_DIRECTORY_LOCAL_ENTRY_H
#define SWIFTARCH_DIRECTORY_LOCAL_ENTRY_H

#include "control/view.h"
#include "directory/directory.h"
#include "service_config/service_config.h"

/**
 * directory_local_entry_new() - create the finalized entry of the own cell
 * @cell: name of the cell
 * @view: members of the cell
 * @config: current configuration
 * @entry: set to the entry, with one reference for the caller
 *
 * Authors are the highest-ranked balancers that are alive and not leaving;
 * gateways are the highest-ranked of these that are ready. The counter is 0.
 *
 * Return: 0, -ENOMEM, or -EAGAIN for a configuration without a version.
 */
int
directory_local_entry_new(const char *cell, const struct view *view,
                          const struct service_config *config,
                          struct directory_entry **entry);

/** directory_role_from_view() - compute the role of the view's own member in
 * @cell */
void
directory_role_from_view(const char *cell, const struct view *view,
                         struct directory_role *role);

#endif
