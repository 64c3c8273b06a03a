#include "lib/queue.h"

#include <glib.h>
#include <string.h>

#define INITIAL_CAPACITY 1024

static struct queue_event *
event_at(const struct queue *queue, size_t i)
{
    return (struct queue_event *)(queue->heap + i * queue->size);
}

static int
is_before(const struct queue_event *a, const struct queue_event *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
set_event(struct queue *queue, size_t i, const void *event)
{
    memcpy(event_at(queue, i), event, queue->size);
}

void
queue_init(struct queue *queue, size_t size)
{
    *queue = (struct queue){.size = size};
}

void
queue_finish(struct queue *queue)
{
    g_free(queue->heap);
}

void
queue_push(struct queue *queue, const void *event)
{
    size_t at = queue->count++;
    struct queue_event key = {((const struct queue_event *)event)->at_us,
                              queue->order++};

    if (queue->count > queue->capacity) {
        queue->capacity = MAX(INITIAL_CAPACITY, 2 * queue->capacity);
        queue->heap = g_realloc_n(queue->heap, queue->capacity, queue->size);
    }
    while (at > 0 && is_before(&key, event_at(queue, (at - 1) / 2))) {
        set_event(queue, at, event_at(queue, (at - 1) / 2));
        at = (at - 1) / 2;
    }
    set_event(queue, at, event);
    event_at(queue, at)->order = key.order;
}

int
queue_pop(struct queue *queue, uint64_t until_us, void *event)
{
    size_t at = 0;

    if (queue->count == 0 || event_at(queue, 0)->at_us > until_us) {
        return 0;
    }
    memcpy(event, event_at(queue, 0), queue->size);
    const struct queue_event *last = event_at(queue, --queue->count);
    for (;;) {
        size_t child = 2 * at + 1;

        if (child >= queue->count) {
            break;
        }
        if (child + 1 < queue->count &&
            is_before(event_at(queue, child + 1), event_at(queue, child))) {
            child++;
        }
        if (!is_before(event_at(queue, child), last)) {
            break;
        }
        set_event(queue, at, event_at(queue, child));
        at = child;
    }
    if (at < queue->count) {
        set_event(queue, at, last);
    }
    return 1;
}
