#include "request/queue.h"

static unsigned
add_min_share(unsigned urgent, unsigned ordinary)
{
    unsigned floor_starts = urgent / (QUEUE_ORDINARY_EVERY - 1);

    return urgent + MIN(floor_starts, ordinary);
}

static unsigned
count_before(const struct queue *queue, enum service_config_class class,
             uint64_t deadline_us)
{
    unsigned n = 0;

    for (const struct entry *e = queue->head[class]; e != NULL; e = e->next) {
        if (e->request.deadline_us > deadline_us) {
            break;
        }
        n++;
    }
    return n;
}

void
queue_push(struct queue *queue, struct entry *entry)
{
    enum service_config_class class = entry->request.class;
    struct entry *after = queue->tail[class];

    g_assert(!entry->queued);
    while (after != NULL &&
           after->request.deadline_us > entry->request.deadline_us) {
        after = after->prev;
    }
    entry->prev = after;
    entry->next = after != NULL ? after->next : queue->head[class];
    if (entry->prev != NULL) {
        entry->prev->next = entry;
    }
    else {
        queue->head[class] = entry;
    }
    if (entry->next != NULL) {
        entry->next->prev = entry;
    }
    else {
        queue->tail[class] = entry;
    }
    queue->count[class]++;
    entry->queued = true;
}

void
queue_remove(struct queue *queue, struct entry *entry)
{
    enum service_config_class class = entry->request.class;

    g_assert(entry->queued && queue->count[class] > 0);
    if (entry->prev != NULL) {
        entry->prev->next = entry->next;
    }
    else {
        queue->head[class] = entry->next;
    }
    if (entry->next != NULL) {
        entry->next->prev = entry->prev;
    }
    else {
        queue->tail[class] = entry->prev;
    }
    queue->count[class]--;
    entry->queued = false;
    entry->prev = NULL;
    entry->next = NULL;
}

enum service_config_class
queue_first_class(const struct queue *queue)
{
    if (queue->count[SERVICE_CONFIG_URGENT] == 0) {
        return SERVICE_CONFIG_ORDINARY;
    }
    return queue_min_share_due(queue) ? SERVICE_CONFIG_ORDINARY
                                      : SERVICE_CONFIG_URGENT;
}

bool
queue_min_share_due(const struct queue *queue)
{
    return queue->count[SERVICE_CONFIG_ORDINARY] > 0 &&
           queue->urgent_streak + 1 >= QUEUE_ORDINARY_EVERY;
}

void
queue_started(struct queue *queue, enum service_config_class class)
{
    if (class == SERVICE_CONFIG_ORDINARY ||
        queue->count[SERVICE_CONFIG_ORDINARY] == 0) {
        queue->urgent_streak = 0;
    }
    else if (queue->urgent_streak < QUEUE_ORDINARY_EVERY) {
        queue->urgent_streak++;
    }
}

unsigned
queue_ahead(const struct queue *queue, enum service_config_class class,
            uint64_t deadline_us)
{
    unsigned ordinary = queue->count[SERVICE_CONFIG_ORDINARY];
    unsigned before = count_before(queue, class, deadline_us);

    if (class == SERVICE_CONFIG_URGENT) {
        return add_min_share(before, ordinary);
    }
    return before + MIN(queue->count[SERVICE_CONFIG_URGENT],
                        before * (QUEUE_ORDINARY_EVERY - 1) +
                            (QUEUE_ORDINARY_EVERY - 1));
}

unsigned
queue_total(const struct queue *queue)
{
    return queue->count[SERVICE_CONFIG_URGENT] +
           queue->count[SERVICE_CONFIG_ORDINARY];
}
