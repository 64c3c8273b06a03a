/**
 * DOC: directory_internal - what the parts of the directory core share
 */
#ifndef SWIFTARCH_DIRECTORY_DIRECTORY_INTERNAL_H
#define SWIFTARCH_DIRECTORY_DIRECTORY_INTERNAL_H

#include "directory/directory.h"

/** directory_send_digest() - tell @to what is held here, in short */
void
directory_send_digest(struct directory_core *core, struct addr to,
                      struct directory_actions *out);

#endif
