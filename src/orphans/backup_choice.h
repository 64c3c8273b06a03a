/**
 * DOC: backup_choice - selects an owner's backups
 *
 * Prefers agents of the same service, then other data centres, then the order
 * of rendezvous hashing, which spreads owners over backups and changes few
 * choices when an agent joins. A suspected backup stays selected, since it
 * still has the reported flows if it comes back.
 */
#ifndef SWIFTARCH_ORPHANS_BACKUP_CHOICE_H
#define SWIFTARCH_ORPHANS_BACKUP_CHOICE_H

#include <stddef.h>
#include <stdint.h>

#include "control/view.h"

/**
 * backup_choice_select() - select the backups of the view's own member
 * @members: @count member ids, 0 where there is none
 * @since_us: start of the process of each, from the view
 */
void
backup_choice_select(const struct view *view, uint64_t *members,
                     uint64_t *since_us, size_t count);

#endif
