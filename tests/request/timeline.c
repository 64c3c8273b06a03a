#include "timeline.h"

static gboolean
before(const struct timeline_event *a, const struct timeline_event *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->seq < b->seq;
}

static void
swap(gpointer *items, guint a, guint b)
{
    gpointer item = items[a];

    items[a] = items[b];
    items[b] = item;
}

static void
sift_down(gpointer *items, guint len, guint at)
{
    for (;;) {
        guint child = 2 * at + 1;

        if (child >= len) {
            return;
        }
        if (child + 1 < len && before(items[child + 1], items[child])) {
            child++;
        }
        if (!before(items[child], items[at])) {
            return;
        }
        swap(items, child, at);
        at = child;
    }
}

void
timeline_init(struct timeline *timeline)
{
    timeline->heap = g_ptr_array_new();
    timeline->next_seq = 0;
}

void
timeline_finish(struct timeline *timeline)
{
    g_ptr_array_set_free_func(timeline->heap, g_free);
    g_ptr_array_free(timeline->heap, TRUE);
}

void
timeline_add(struct timeline *timeline, struct timeline_event *event,
             uint64_t at_us)
{
    guint at = timeline->heap->len;

    event->at_us = at_us;
    event->seq = timeline->next_seq++;
    g_ptr_array_add(timeline->heap, event);
    while (at > 0) {
        guint parent = (at - 1) / 2;
        gpointer *items = timeline->heap->pdata;

        if (!before(items[at], items[parent])) {
            return;
        }
        swap(items, at, parent);
        at = parent;
    }
}

struct timeline_event *
timeline_peek(const struct timeline *timeline)
{
    return timeline->heap->len > 0 ? timeline->heap->pdata[0] : NULL;
}

struct timeline_event *
timeline_pop(struct timeline *timeline)
{
    struct timeline_event *first = timeline_peek(timeline);

    if (first == NULL) {
        return NULL;
    }
    g_ptr_array_remove_index_fast(timeline->heap, 0);
    if (timeline->heap->len > 1) {
        sift_down(timeline->heap->pdata, timeline->heap->len, 0);
    }
    return first;
}
