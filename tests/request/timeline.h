/**
 * DOC: timeline - events in order of time, for tests and benches
 */
#ifndef SWIFTARCH_TESTS_REQUEST_TIMELINE_H
#define SWIFTARCH_TESTS_REQUEST_TIMELINE_H

#include <glib.h>
#include <stdint.h>

/** struct timeline_event - comes first in every event */
struct timeline_event {
    uint64_t at_us;
    uint64_t seq;
};

/** struct timeline - binary heap; ties in the order of adding */
struct timeline {
    GPtrArray *heap;
    uint64_t next_seq;
};

/** timeline_init() - empty; events are freed by g_free() */
void
timeline_init(struct timeline *timeline);

/** timeline_finish() - free all events */
void
timeline_finish(struct timeline *timeline);

/** timeline_add() - takes over @event */
void
timeline_add(struct timeline *timeline, struct timeline_event *event,
             uint64_t at_us);

/** timeline_peek() - next event or NULL */
struct timeline_event *
timeline_peek(const struct timeline *timeline);

/** timeline_pop() - next event, now the caller's */
struct timeline_event *
timeline_pop(struct timeline *timeline);

#endif
