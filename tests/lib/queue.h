/**
 * DOC: queue - event queue of a simulated network, a binary heap
 *
 * Events are ordered by time; events of the same time are popped in the order
 * in which they were pushed, so that runs are reproducible.
 */
#ifndef SWIFTARCH_TESTS_LIB_QUEUE_H
#define SWIFTARCH_TESTS_LIB_QUEUE_H

#include <stddef.h>
#include <stdint.h>

/**
 * struct queue_event - header of an event, its first member
 * @at_us: time of the event
 * @order: set by queue_push(), breaks ties of @at_us
 */
struct queue_event {
    uint64_t at_us;
    uint64_t order;
};

/**
 * struct queue - a queue of events
 * @size: size of an event in bytes
 * @count: events in the queue
 * @capacity: events that @heap has room for
 * @order: events pushed so far
 */
struct queue {
    size_t size;
    size_t count;
    size_t capacity;
    uint64_t order;
    char *heap;
};

/** queue_init() - make an empty queue of events of @size bytes */
void
queue_init(struct queue *queue, size_t size);

/** queue_finish() - free the queue, but not memory that its events own */
void
queue_finish(struct queue *queue);

/** queue_push() - copy an event in */
void
queue_push(struct queue *queue, const void *event);

/** queue_pop() - remove the first event if it is due by @until_us and copy it
 * to
 * @event; returns 1 if so, else 0 */
int
queue_pop(struct queue *queue, uint64_t until_us, void *event);

#endif
