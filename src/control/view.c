#include "control/view.h"

#include <stdlib.h>

struct view *
view_new(size_t count)
{
    struct view *view;

    view = calloc(1, sizeof(*view) + count * sizeof(view->members[0]));
    if (view == NULL)
        return NULL;
    return view;
}

const struct view_member *
view_find(const struct view *view, uint64_t id)
{
    size_t low = 0;
    size_t high = view->count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;
        const struct view_member *member = &view->members[middle];

        if (member->id == id)
            return member;
        if (member->id < id)
            low = middle + 1;
        else
            high = middle;
    }
    return NULL;
}
