/**
 * DOC: timeline - event queue ordered by time, for tests and benchmarks
 */
#ifndef SWIFTARCH_TESTS_REQUEST_TIMELINE_H
#define SWIFTARCH_TESTS_REQUEST_TIMELINE_H

#include <glib.h>
#include <stdint.h>

/** struct timeline_event - event header, first member of every event */
struct timeline_event {
    uint64_t at_us;
    uint64_t seq;
};

/** struct timeline - binary heap; events at the same time keep their order */
struct timeline {
    GPtrArray *heap;
    uint64_t next_seq;
};

/** timeline_init() - initialise empty; events are freed with g_free() */
void
timeline_init(struct timeline *timeline);

/** timeline_finish() - free all events */
void
timeline_finish(struct timeline *timeline);

/** timeline_add() - add @event at @at_us and take ownership */
void
timeline_add(struct timeline *timeline, struct timeline_event *event,
             uint64_t at_us);

/** timeline_peek() - next event, or NULL */
struct timeline_event *
timeline_peek(const struct timeline *timeline);

/** timeline_pop() - remove and return the next event, owned by the caller */
struct timeline_event *
timeline_pop(struct timeline *timeline);

#endif
