/**
 * DOC: choose - which agents are an owner's backups
 *
 * Agents of the same service if there are any, in other data centres if
 * there are any, then by rendezvous hashing, so that owners spread over
 * the backups and a join changes few. A suspect stays chosen: a backup
 * that comes back has kept what it was told.
 */
#ifndef SWIFTARCH_ORPHANS_BACKUP_CHOICE_H
#define SWIFTARCH_ORPHANS_BACKUP_CHOICE_H

#include <stddef.h>
#include <stdint.h>

#include "control/view.h"

/**
 * backup_choice_select() - backups of the view's own member
 * @members: @count places, 0 where there is none
 * @since_us: start of each, by the view
 */
void
backup_choice_select(const struct view *view, uint64_t *members,
                     uint64_t *since_us, size_t count);

#endif
