/**
 * DOC: directory_internal - interface between directory.c and exchange.c
 */
#ifndef SWIFTARCH_DIRECTORY_DIRECTORY_INTERNAL_H
#define SWIFTARCH_DIRECTORY_DIRECTORY_INTERNAL_H

#include "directory/directory.h"

/** directory_send_digest() - append a digest of all entries for @to */
void
directory_send_digest(struct directory_core *core, struct addr to,
                      struct directory_actions *out);

#endif
