#include "cli/apply_core.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

/** enum landing - what a read back proves of our write */
enum landing { LANDED, LANDED_THEN_REPLACED, NOT_LANDED, NOT_KNOWN };

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

/* Waits before the read after @tries that told nothing. */
static struct apply_action
wait_after(unsigned tries)
{
    unsigned wait_ms = APPLY_WAIT_FIRST_MS << (tries - 1);

    return (struct apply_action){
        .type = APPLY_DO_WAIT,
        .wait_ms = MIN(wait_ms, APPLY_WAIT_MAX_MS),
    };
}

/* Our write can only have become the version after the expected one. */
static enum landing
landing_of(const struct apply_core *core, const struct apply_event *event)
{
    const struct text_envelope *envelope = event->envelope;
    uint64_t behind = event->version - (core->expect + 1);

    assert(event->version > core->expect);
    if (behind == 0) {
        return envelope != NULL &&
                       strcmp(envelope->write_id, core->write_id) == 0
                   ? LANDED
                   : NOT_LANDED;
    }
    if (envelope == NULL || behind > envelope->history_count) {
        return NOT_KNOWN;
    }
    return strcmp(envelope->history[behind - 1], core->write_id) == 0
               ? LANDED_THEN_REPLACED
               : NOT_LANDED;
}

/* The write isn't there. Another one under the same condition is safe; after
 * the last one, a delayed one may still land, so look again. */
static struct apply_action
settle_unchanged(struct apply_core *core)
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
settle(struct apply_core *core, const struct apply_event *event)
{
    if (event->version < core->expect) {
        return finish(APPLY_UNKNOWN, event->version);
    }
    if (event->version == core->expect) {
        return settle_unchanged(core);
    }
    switch (landing_of(core, event)) {
    case LANDED:
        return finish(APPLY_APPLIED, event->version);
    case LANDED_THEN_REPLACED:
        return finish(APPLY_REPLACED, event->version);
    case NOT_LANDED:
        return finish(APPLY_RACE_LOST, event->version);
    default:
        return finish(APPLY_UNKNOWN_BEHIND, event->version);
    }
}

/* After a plain refusal ours can't be there, unless something between us
 * and the platform sent the write twice. */
static struct apply_action
name_winner(const struct apply_core *core, const struct apply_event *event)
{
    enum landing landing = NOT_KNOWN;

    if (event->version > core->expect) {
        landing = landing_of(core, event);
    }
    if (landing == LANDED) {
        return finish(APPLY_APPLIED, event->version);
    }
    if (landing == LANDED_THEN_REPLACED) {
        return finish(APPLY_REPLACED, event->version);
    }
    return finish(APPLY_RACE_LOST, event->version);
}

static struct apply_action
on_read(struct apply_core *core, const struct apply_event *event)
{
    core->reads = 0;
    switch (core->phase) {
    case APPLY_PHASE_FIRST:
        if (core->demanded && event->version != core->expect) {
            return finish(APPLY_RACE_LOST, event->version);
        }
        if (event->same) {
            return finish(APPLY_SAME, event->version);
        }
        core->expect = event->version;
        return write_object(core);
    case APPLY_PHASE_WINNER:
        return name_winner(core, event);
    default:
        return settle(core, event);
    }
}

/* The platform is silent: what is certain without another read. */
static struct apply_action
give_up(const struct apply_core *core)
{
    switch (core->phase) {
    case APPLY_PHASE_FIRST:
        return finish(APPLY_NOT_WRITTEN, 0);
    case APPLY_PHASE_WINNER:
        return finish(APPLY_RACE_LOST, 0);
    default:
        return finish(APPLY_UNKNOWN, 0);
    }
}

static struct apply_action
on_read_failed(struct apply_core *core)
{
    if (++core->reads >= APPLY_READS_MAX) {
        return give_up(core);
    }
    return wait_after(core->reads);
}

struct apply_action
apply_core_start(struct apply_core *core, const char *write_id,
                 const uint64_t *expect)
{
    memset(core, 0, sizeof(*core));
    g_strlcpy(core->write_id, write_id, sizeof(core->write_id));
    core->demanded = expect != NULL;
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
        core->phase = core->lost ? APPLY_PHASE_SETTLE : APPLY_PHASE_WINNER;
        return read_object();
    case APPLY_REFUSED:
        if (!core->lost) {
            return finish(APPLY_NOT_WRITTEN, core->expect);
        }
        core->phase = APPLY_PHASE_SETTLE;
        return read_object();
    case APPLY_LOST:
        core->lost = true;
        core->phase = APPLY_PHASE_SETTLE;
        return read_object();
    default:
        return read_object();
    }
}
