#include "orphans/backup_choice.h"

#include <assert.h>
#include <stdbool.h>
#include <string.h>

#include "base/hash.h"

static bool
same_data_centre(const struct view_member *a, const struct view_member *b)
{
    return b != NULL && strcmp(a->data_centre, b->data_centre) == 0;
}

/* Preference for @member as a backup; the hash decides between equal ones. -1
 * for an ineligible member. @first is the first backup, or NULL. */
static int
preference(const struct view_member *member, const struct view_member *self,
           const struct view_member *first)
{
    int value = 0;

    if (member->role != MEMBER_AGENT || member->id == self->id ||
        member->health == MEMBER_DEAD || member->state == MEMBER_LEAVING ||
        member == first) {
        return -1;
    }
    if (self->service != 0 && member->service == self->service) {
        value += 4;
    }
    if (!same_data_centre(member, first)) {
        value += 2;
    }
    if (!same_data_centre(member, self)) {
        value += 1;
    }
    return value;
}

static const struct view_member *
backup_choice_select_one(const struct view *view,
                         const struct view_member *first)
{
    const struct view_member *self = &view->members[view->self];
    const struct view_member *best = NULL;
    int best_value = -1;
    uint64_t best_score = 0;
    size_t i;

    for (i = 0; i < view->count; i++) {
        const struct view_member *member = &view->members[i];
        int value = preference(member, self, first);
        uint64_t score = hash_pair(self->id, member->id);

        if (value > best_value ||
            (value >= 0 && value == best_value && score > best_score)) {
            best = member;
            best_value = value;
            best_score = score;
        }
    }
    return best;
}

void
backup_choice_select(const struct view *view, uint64_t *members,
                     uint64_t *since_us, size_t count)
{
    const struct view_member *first = NULL;
    size_t i;

    /* backup_choice_select_one() excludes only one member. */
    assert(count <= 2);
    memset(members, 0, count * sizeof(members[0]));
    memset(since_us, 0, count * sizeof(since_us[0]));
    for (i = 0; i < count; i++) {
        const struct view_member *chosen =
            backup_choice_select_one(view, first);

        if (chosen == NULL) {
            return;
        }
        members[i] = chosen->id;
        since_us[i] = chosen->since_us;
        first = chosen;
    }
}
