/**
 * DOC: queue - events of a model network in the order of their times
 *
 * Those of one time come in the order in which they were pushed, so a run is
 * the same each time.
 */
#ifndef SWIFTARCH_TESTS_LIB_QUEUE_H
#define SWIFTARCH_TESTS_LIB_QUEUE_H

#include <stddef.h>
#include <stdint.h>

/** struct queue_event - first member of an event; @order is the queue's */
struct queue_event {
    uint64_t at_us;
    uint64_t order;
};

/** struct queue - @size: bytes of an event */
struct queue {
    size_t size;
    size_t count;
    size_t capacity;
    uint64_t order;
    char *heap;
};

/** queue_init() - an empty queue of events of @size bytes */
void
queue_init(struct queue *queue, size_t size);

/** queue_finish() - free it; what events own is the caller's */
void
queue_finish(struct queue *queue);

/** queue_push() - copy an event in */
void
queue_push(struct queue *queue, const void *event);

/** queue_pop() - copy the first event out if it is due by @until_us; returns
 * 0 if there is none */
int
queue_pop(struct queue *queue, uint64_t until_us, void *event);

#endif
