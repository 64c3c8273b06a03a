/**
 * DOC: describe - what a process of a cell says of that cell, and to whom
 *
 * Functions of the view and the text alone, so that authors that know the
 * same say the same.
 */
#ifndef SWIFTARCH_DIRECTORY_LOCAL_ENTRY_H
#define SWIFTARCH_DIRECTORY_LOCAL_ENTRY_H

#include "control/view.h"
#include "directory/directory.h"
#include "text/text.h"

/**
 * directory_local_entry_new() - entry of the cell, sealed, but for the counter
 * @cell: name of the cell
 * @entry: result
 *
 * Authors are the balancers, alive and not leaving, that rank highest;
 * gateways those that are ready. The counter is left 0.
 *
 * Return: 0, -ENOMEM, or -EAGAIN for a text that no platform has versioned.
 */
int
directory_local_entry_new(const char *cell, const struct view *view,
                          const struct text *text,
                          struct directory_entry **entry);

/** directory_role_from_view() - role of the view's own member in @cell */
void
directory_role_from_view(const char *cell, const struct view *view,
                         struct directory_role *role);

#endif
