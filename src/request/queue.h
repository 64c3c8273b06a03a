/**
 * DOC: queue - requests waiting here, urgent before ordinary
 *
 * Each class is ordered by deadline, ties by arrival. Ordinary requests
 * have a floor: while both classes wait, one start in
 * QUEUE_ORDINARY_EVERY is ordinary.
 */
#ifndef SWIFTARCH_REQUEST_QUEUE_H
#define SWIFTARCH_REQUEST_QUEUE_H

#include "request/entry.h"

#define QUEUE_CLASSES 2
#define QUEUE_ORDINARY_EVERY 8

/**
 * struct queue - waiting requests
 * @head: first of each class
 * @tail: last of each class
 * @count: waiting, of each class
 * @urgent_streak: urgent starts since the last ordinary one, counted while
 *                 ordinary requests wait
 */
struct queue {
    struct entry *head[QUEUE_CLASSES];
    struct entry *tail[QUEUE_CLASSES];
    unsigned count[QUEUE_CLASSES];
    unsigned urgent_streak;
};

/** queue_push() - put @entry in the order of its deadline */
void
queue_push(struct queue *queue, struct entry *entry);

/** queue_remove() - take @entry out */
void
queue_remove(struct queue *queue, struct entry *entry);

/** queue_first_class() - class whose turn it is, given what waits */
enum text_class
queue_first_class(const struct queue *queue);

/** queue_min_share_due() - an ordinary request waits and it is its turn though
 * urgent ones may wait */
bool
queue_min_share_due(const struct queue *queue);

/** queue_started() - a request of @class left the queue to be run */
void
queue_started(struct queue *queue, enum text_class class);

/** queue_ahead() - requests that go before one with @class and @deadline_us,
 * counting the floor's share of ordinary ones */
unsigned
queue_ahead(const struct queue *queue, enum text_class class,
            uint64_t deadline_us);

/** queue_total() - waiting, of both classes */
unsigned
queue_total(const struct queue *queue);

#endif
