/**
 * DOC: quota - open requests of each caller
 */
#ifndef SWIFTARCH_REQUEST_QUOTA_H
#define SWIFTARCH_REQUEST_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** struct quota - @open: requests without an answer, by caller address */
struct quota {
    GHashTable *open;
};

/** quota_init() - nobody has any */
void
quota_init(struct quota *quota);

/** quota_finish() - free */
void
quota_finish(struct quota *quota);

/** quota_acquire() - count one more of @caller, or false at @max */
bool
quota_acquire(struct quota *quota, uint32_t caller, unsigned max);

/** quota_release() - one of @caller got its answer */
void
quota_release(struct quota *quota, uint32_t caller);

#endif
