/**
 * DOC: quota - limits the open requests of each caller
 */
#ifndef SWIFTARCH_REQUEST_QUOTA_H
#define SWIFTARCH_REQUEST_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** struct quota - @open: unanswered requests by caller address */
struct quota {
    GHashTable *open;
};

/** quota_init() - initialise without callers */
void
quota_init(struct quota *quota);

/** quota_finish() - free the table */
void
quota_finish(struct quota *quota);

/** quota_acquire() - count a request of @caller; false if it has @max open */
bool
quota_acquire(struct quota *quota, uint32_t caller, unsigned max);

/** quota_release() - a request of @caller was answered */
void
quota_release(struct quota *quota, uint32_t caller);

#endif
