#include "cli/apply_core.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

/** enum write_result - result of our write, derived from a later read */
enum write_result {
    WRITE_APPLIED,
    WRITE_APPLIED_THEN_REPLACED,
    WRITE_NOT_APPLIED,
    WRITE_UNKNOWN
};

static struct apply_action
finish(enum apply_outcome outcome, uint64_t version)
{
    return (struct apply_action){
        .type = APPLY_DO_FINISH,
        .outcome = outcome,
        .version = version,
    };
}

static struct apply_action
read_object(void)
{
    return (struct apply_action){.type = APPLY_DO_READ};
}

static struct apply_action
write_object(struct apply_core *core)
{
    core->writes++;
    return (struct apply_action){
        .type = APPLY_DO_WRITE,
        .expect = core->expect,
    };
}

/* Exponential backoff after @tries inconclusive reads. */
static struct apply_action
wait_after(unsigned tries)
{
    unsigned wait_ms = APPLY_WAIT_FIRST_MS << (tries - 1);

    return (struct apply_action){
        .type = APPLY_DO_WAIT,
        .wait_ms = MIN(wait_ms, APPLY_WAIT_MAX_MS),
    };
}

/* If applied, our write became the version after the expected one. */
static enum write_result
write_result_of(const struct apply_core *core, const struct apply_event *event)
{
    const struct service_config_envelope *envelope = event->envelope;
    uint64_t versions_after = event->version - (core->expect + 1);

    assert(event->version > core->expect);
    if (versions_after == 0) {
        return envelope != NULL &&
                       strcmp(envelope->write_id, core->write_id) == 0
                   ? WRITE_APPLIED
                   : WRITE_NOT_APPLIED;
    }
    if (envelope == NULL || versions_after > envelope->history_count) {
        return WRITE_UNKNOWN;
    }
    return strcmp(envelope->history[versions_after - 1], core->write_id) == 0
               ? WRITE_APPLIED_THEN_REPLACED
               : WRITE_NOT_APPLIED;
}

/* The write isn't visible. Sending it again under the same condition is safe.
 * After the last attempt, read again: a delayed write may still be applied. */
static struct apply_action
retry_unchanged(struct apply_core *core)
{
    if (core->writes < APPLY_WRITES_MAX) {
        return write_object(core);
    }
    if (++core->checks < APPLY_CHECKS_MAX) {
        return wait_after(core->checks);
    }
    return finish(APPLY_UNKNOWN, core->expect);
}

static struct apply_action
confirm_write(struct apply_core *core, const struct apply_event *event)
{
    if (event->version < core->expect) {
        return finish(APPLY_UNKNOWN, event->version);
    }
    if (event->version == core->expect) {
        return retry_unchanged(core);
    }
    switch (write_result_of(core, event)) {
    case WRITE_APPLIED:
        return finish(APPLY_APPLIED, event->version);
    case WRITE_APPLIED_THEN_REPLACED:
        return finish(APPLY_REPLACED, event->version);
    case WRITE_NOT_APPLIED:
        return finish(APPLY_RACE_LOST, event->version);
    default:
        return finish(APPLY_UNKNOWN_REPLACED, event->version);
    }
}

/* A refused write isn't applied, unless a proxy sent it twice and only the
 * second one was refused. */
static struct apply_action
finish_conflict(const struct apply_core *core, const struct apply_event *event)
{
    enum write_result write_result = WRITE_UNKNOWN;

    if (event->version > core->expect) {
        write_result = write_result_of(core, event);
    }
    if (write_result == WRITE_APPLIED) {
        return finish(APPLY_APPLIED, event->version);
    }
    if (write_result == WRITE_APPLIED_THEN_REPLACED) {
        return finish(APPLY_REPLACED, event->version);
    }
    return finish(APPLY_RACE_LOST, event->version);
}

static struct apply_action
on_read(struct apply_core *core, const struct apply_event *event)
{
    core->reads = 0;
    switch (core->phase) {
    case APPLY_PHASE_READ_VERSION:
        if (core->version_given && event->version != core->expect) {
            return finish(APPLY_RACE_LOST, event->version);
        }
        if (event->same) {
            return finish(APPLY_UNCHANGED, event->version);
        }
        core->expect = event->version;
        return write_object(core);
    case APPLY_PHASE_READ_CONFLICT:
        return finish_conflict(core, event);
    default:
        return confirm_write(core, event);
    }
}

/* The platform doesn't answer: the outcome known without another read. */
static struct apply_action
finish_unread(const struct apply_core *core)
{
    switch (core->phase) {
    case APPLY_PHASE_READ_VERSION:
        return finish(APPLY_NOT_WRITTEN, 0);
    case APPLY_PHASE_READ_CONFLICT:
        return finish(APPLY_RACE_LOST, 0);
    default:
        return finish(APPLY_UNKNOWN, 0);
    }
}

static struct apply_action
on_read_failed(struct apply_core *core)
{
    if (++core->reads >= APPLY_READS_MAX) {
        return finish_unread(core);
    }
    return wait_after(core->reads);
}

struct apply_action
apply_core_start(struct apply_core *core, const char *write_id,
                 const uint64_t *expect)
{
    memset(core, 0, sizeof(*core));
    g_strlcpy(core->write_id, write_id, sizeof(core->write_id));
    core->version_given = expect != NULL;
    core->expect = expect != NULL ? *expect : 0;
    return read_object();
}

struct apply_action
apply_core_step(struct apply_core *core, const struct apply_event *event)
{
    switch (event->type) {
    case APPLY_READ:
        return on_read(core, event);
    case APPLY_READ_FAILED:
        return on_read_failed(core);
    case APPLY_WRITTEN:
        return finish(APPLY_APPLIED, event->version);
    case APPLY_STALE:
        core->phase =
            core->lost ? APPLY_PHASE_CONFIRM : APPLY_PHASE_READ_CONFLICT;
        return read_object();
    case APPLY_REFUSED:
        if (!core->lost) {
            return finish(APPLY_NOT_WRITTEN, core->expect);
        }
        core->phase = APPLY_PHASE_CONFIRM;
        return read_object();
    case APPLY_LOST:
        core->lost = true;
        core->phase = APPLY_PHASE_CONFIRM;
        return read_object();
    default:
        return read_object();
    }
}
