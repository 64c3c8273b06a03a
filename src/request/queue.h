/**
 * DOC: queue - queued requests, urgent before ordinary
 *
 * Each class is ordered by deadline, then by arrival. While both classes are
 * queued, one start in QUEUE_ORDINARY_EVERY is ordinary (the minimum share).
 */
#ifndef SWIFTARCH_REQUEST_QUEUE_H
#define SWIFTARCH_REQUEST_QUEUE_H

#include "request/entry.h"

#define QUEUE_CLASSES 2
#define QUEUE_ORDINARY_EVERY 8

/**
 * struct queue - queued requests
 * @head: first of each class
 * @tail: last of each class
 * @count: requests of each class
 * @urgent_streak: urgent starts since the last ordinary one, counted while
 *   ordinary requests are queued
 */
struct queue {
    struct entry *head[QUEUE_CLASSES];
    struct entry *tail[QUEUE_CLASSES];
    unsigned count[QUEUE_CLASSES];
    unsigned urgent_streak;
};

/** queue_push() - insert @entry by deadline */
void
queue_push(struct queue *queue, struct entry *entry);

/** queue_remove() - unlink @entry */
void
queue_remove(struct queue *queue, struct entry *entry);

/** queue_first_class() - class of the next start */
enum service_config_class
queue_first_class(const struct queue *queue);

/** queue_min_share_due() - whether the minimum share makes the next start
 * ordinary */
bool
queue_min_share_due(const struct queue *queue);

/** queue_started() - record a start of @class */
void
queue_started(struct queue *queue, enum service_config_class class);

/** queue_ahead() - queued requests that start before one with @class and
 * @deadline_us, the minimum share included */
unsigned
queue_ahead(const struct queue *queue, enum service_config_class class,
            uint64_t deadline_us);

/** queue_total() - queued requests of both classes */
unsigned
queue_total(const struct queue *queue);

#endif
