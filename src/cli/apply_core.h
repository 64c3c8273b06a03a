/**
 * DOC: apply_core - state machine of "apply", without I/O
 *
 * Publishing is one conditional write with a random write id. When the reply
 * is lost, the object is read back: the write was applied if its id is in the
 * object, or in the history of the version that replaced it. If the version
 * is unchanged, the write is sent once more with the same id and condition,
 * so that at most one of the two is applied.
 */
#ifndef SWIFTARCH_CLI_APPLY_CORE_H
#define SWIFTARCH_CLI_APPLY_CORE_H

#include <stdbool.h>
#include <stdint.h>

#include "service_config/service_config.h"

#define APPLY_WRITES_MAX 2      /* attempts */
#define APPLY_READS_MAX 6       /* failed reads in a row */
#define APPLY_CHECKS_MAX 3      /* reads after the last write */
#define APPLY_WAIT_FIRST_MS 200 /* doubled after each try */
#define APPLY_WAIT_MAX_MS 2000

/** enum apply_event_type - reply of the platform, or end of a wait */
enum apply_event_type {
    APPLY_READ,         /* object read, version 0 if there is none */
    APPLY_READ_FAILED,  /* a read got no reply */
    APPLY_WRITTEN,      /* the write took effect */
    APPLY_STALE,        /* refused: the version is not the expected one */
    APPLY_REFUSED,      /* the write had no effect */
    APPLY_LOST,         /* the write may have had an effect */
    APPLY_TIMER_EXPIRED /* the wait is over */
};

/**
 * struct apply_event - input of apply_core_step()
 * @type: kind of event
 * @version: APPLY_READ, APPLY_WRITTEN: version of the object
 * @envelope: APPLY_READ: parsed object, or NULL
 * @same: APPLY_READ: the object already holds the configuration to publish
 */
struct apply_event {
    enum apply_event_type type;
    uint64_t version;
    const struct service_config_envelope *envelope;
    bool same;
};

/** enum apply_outcome - result of a run; @version as in struct apply_action */
enum apply_outcome {
    APPLY_APPLIED,          /* published as @version */
    APPLY_UNCHANGED,        /* already published, nothing written */
    APPLY_REPLACED,         /* published, then replaced by @version */
    APPLY_RACE_LOST,        /* not published, @version was written first */
    APPLY_NOT_WRITTEN,      /* not published: no reply, or refused */
    APPLY_UNKNOWN_REPLACED, /* @version is of another author; ours may have
                               been published before it */
    APPLY_UNKNOWN,          /* not published yet; the write may still be in
                               progress */
    APPLY_FORBIDDEN         /* not written: conflicts with retired addresses */
};

/** enum apply_action_type - action to perform */
enum apply_action_type {
    APPLY_DO_READ,
    APPLY_DO_WRITE, /* write if the version is @expect */
    APPLY_DO_WAIT,  /* wait @wait_ms, then APPLY_TIMER_EXPIRED */
    APPLY_DO_FINISH
};

/**
 * struct apply_action - result of apply_core_step()
 * @type: kind of action
 * @expect: APPLY_DO_WRITE: version to replace, 0 if the object must not exist
 * @wait_ms: APPLY_DO_WAIT: time to wait
 * @outcome: APPLY_DO_FINISH: result of the run
 * @version: APPLY_DO_FINISH: version of the object, 0 if unknown
 */
struct apply_action {
    enum apply_action_type type;
    uint64_t expect;
    unsigned wait_ms;
    enum apply_outcome outcome;
    uint64_t version;
};

/** enum apply_phase - purpose of the next read */
enum apply_phase {
    APPLY_PHASE_READ_VERSION,  /* get the version to replace */
    APPLY_PHASE_READ_CONFLICT, /* write refused: get the version found */
    APPLY_PHASE_CONFIRM /* reply lost: check whether the write was applied */
};

/**
 * struct apply_core - state of one run
 * @write_id: random id of our write
 * @version_given: @expect was given by the operator
 * @expect: version to replace
 * @phase: purpose of the next read
 * @writes: writes sent
 * @lost: a reply to a write was lost
 * @reads: failed reads in a row
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
 * apply_core_start() - initialize @core and return the first action
 * @write_id: random, never used before
 * @expect: version to replace, or NULL for the current one
 */
struct apply_action
apply_core_start(struct apply_core *core, const char *write_id,
                 const uint64_t *expect);

/** apply_core_step() - return the next action after @event */
struct apply_action
apply_core_step(struct apply_core *core, const struct apply_event *event);

#endif
