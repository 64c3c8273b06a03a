/**
 * DOC: apply_core - the decisions of "apply" (pure)
 *
 * Publishing is one conditional write with a random write id in it. When
 * its answer is lost, the object is read back: our id in it, or in the
 * history of the text that replaced it, proves that the write landed.
 * An unchanged version allows one more write under the same condition and
 * the same id; the condition lets only one of the two land.
 */
#ifndef SWIFTARCH_CLI_APPLY_CORE_H
#define SWIFTARCH_CLI_APPLY_CORE_H

#include <stdbool.h>
#include <stdint.h>

#include "service_config/service_config.h"

#define APPLY_WRITES_MAX 2
#define APPLY_READS_MAX 6
#define APPLY_CHECKS_MAX 3
#define APPLY_WAIT_FIRST_MS 200
#define APPLY_WAIT_MAX_MS 2000

/** enum apply_event_type - what the platform answered, or time that passed */
enum apply_event_type {
    APPLY_READ,         /* the object, version 0 if there is none */
    APPLY_READ_FAILED,  /* no answer to a read */
    APPLY_WRITTEN,      /* the write took effect */
    APPLY_STALE,        /* the version was not the expected one */
    APPLY_REFUSED,      /* the write certainly had no effect */
    APPLY_LOST,         /* the write had an effect or not */
    APPLY_TIMER_EXPIRED /* the wait is over */
};

/**
 * struct apply_event - one event
 * @type: which
 * @version: APPLY_READ, APPLY_WRITTEN: version of the object
 * @envelope: APPLY_READ: what it holds, or NULL
 * @same: APPLY_READ: it holds the text that is to be published
 */
struct apply_event {
    enum apply_event_type type;
    uint64_t version;
    const struct service_config_envelope *envelope;
    bool same;
};

/** enum apply_outcome - how it ended */
enum apply_outcome {
    APPLY_APPLIED,          /* ours is published as @version */
    APPLY_UNCHANGED,        /* it was already published; nothing written */
    APPLY_REPLACED,         /* ours was published, @version replaced it */
    APPLY_RACE_LOST,        /* ours was not published, @version came first */
    APPLY_NOT_WRITTEN,      /* ours was not published: no answer, or refused */
    APPLY_UNKNOWN_REPLACED, /* @version is another's; ours came between or not
                             */
    APPLY_UNKNOWN,          /* ours isn't there now as far as is known, but its
                               write may still be under way */
    APPLY_FORBIDDEN         /* not written: what is published forbids it */
};

/** enum apply_action_type - what the program must do */
enum apply_action_type {
    APPLY_DO_READ,
    APPLY_DO_WRITE, /* if the version is @expect */
    APPLY_DO_WAIT,  /* @wait_ms, then APPLY_TIMER_EXPIRED */
    APPLY_DO_FINISH
};

/** struct apply_action - one action with its arguments */
struct apply_action {
    enum apply_action_type type;
    uint64_t expect;
    unsigned wait_ms;
    enum apply_outcome outcome;
    uint64_t version;
};

/** enum apply_phase - what the next read is for */
enum apply_phase {
    APPLY_PHASE_READ_VERSION,  /* learn the version to replace */
    APPLY_PHASE_READ_CONFLICT, /* the write was refused: who came first */
    APPLY_PHASE_CONFIRM        /* the answer was lost: did the write land */
};

/**
 * struct apply_core - state of one run
 * @write_id: ours
 * @version_given: the operator named the version to replace, in @expect
 * @expect: version to replace
 * @phase: what the next read is for
 * @writes: writes sent
 * @lost: an answer to a write was lost
 * @reads: reads that failed in a row
 * @checks: reads that found the version unchanged after the last write
 */
struct apply_core {
    char write_id[SERVICE_CONFIG_WRITE_ID_MAX];
    bool version_given;
    uint64_t expect;
    enum apply_phase phase;
    unsigned writes;
    bool lost;
    unsigned reads;
    unsigned checks;
};

/**
 * apply_core_start() - begin
 * @write_id: random, never used before
 * @expect: version to replace, or NULL for the one that is found
 */
struct apply_action
apply_core_start(struct apply_core *core, const char *write_id,
                 const uint64_t *expect);

/** apply_core_step() - what to do after @event */
struct apply_action
apply_core_step(struct apply_core *core, const struct apply_event *event);

#endif
