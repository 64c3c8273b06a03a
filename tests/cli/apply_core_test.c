/**
 * DOC: apply_core_test - outcomes of "apply" with lost, delayed and refused
 * writes
 *
 * A random model checks that a write is applied at most once and that the
 * reported outcome is true.
 */
#include <string.h>

#include "cli/apply_core.h"
#include "lib/harness.h"

#define SUITE "/apply"
#define OURS "0000000000000000000000000000000a"
#define OTHERS "0000000000000000000000000000000b"
#define SEED 20261202
#define ROUNDS 20000

/** struct step - an event and the expected action */
struct step {
    struct apply_event event;
    struct apply_action action;
};

#define DO_WRITE(v) .action = {.type = APPLY_DO_WRITE, .expect = (v)}
#define DO_READ .action = {.type = APPLY_DO_READ}
#define DO_WAIT(ms) .action = {.type = APPLY_DO_WAIT, .wait_ms = (ms)}
#define DO_END(how, v) .action = {APPLY_DO_FINISH, 0, 0, how, v}
#define SEES(v, e) .event = {APPLY_READ, v, e, false}

static const struct service_config_envelope ours = {.write_id = OURS};
static const struct service_config_envelope others = {.write_id = OTHERS};
static const struct service_config_envelope others_over_ours = {
    .write_id = OTHERS, .history = {OURS}, .history_count = 1};
static const struct service_config_envelope others_over_others = {
    .write_id = OTHERS, .history = {OTHERS}, .history_count = 1};

static void
assert_action(struct apply_action got, struct apply_action expected)
{
    g_assert_cmpint(got.type, ==, expected.type);
    g_assert_cmpuint(got.expect, ==, expected.expect);
    g_assert_cmpuint(got.wait_ms, ==, expected.wait_ms);
    g_assert_cmpint(got.outcome, ==, expected.outcome);
    g_assert_cmpuint(got.version, ==, expected.version);
}

/** struct script - a sequence of events and expected actions */
struct script {
    const char *name;
    const uint64_t *expect;
    struct step steps[16];
};

#define BEGIN SEES(6, &others), DO_WRITE(6)
#define WRITTEN(v) .event = {APPLY_WRITTEN, v}, DO_END(APPLY_APPLIED, v)
#define STALE .event = {APPLY_STALE}, DO_READ
#define LOST .event = {APPLY_LOST}, DO_READ
#define WAITED .event = {APPLY_TIMER_EXPIRED}, DO_READ
#define STILL_OLD(ms) SEES(6, &others), DO_WAIT(ms)
#define ENDS(v, e, how) SEES(v, e), DO_END(how, v)

static const uint64_t six = 6;
static const struct script scripts[] = {
    {"success", NULL, {{BEGIN}, {WRITTEN(7)}}},
    {"first version", NULL, {{SEES(0, NULL), DO_WRITE(0)}, {WRITTEN(1)}}},
    {"already published",
     NULL,
     {{.event = {APPLY_READ, 6, &others, true}, DO_END(APPLY_UNCHANGED, 6)}}},
    {"version too new", &six, {{ENDS(7, &others, APPLY_RACE_LOST)}}},
    {"version too old", &six, {{ENDS(5, &others, APPLY_RACE_LOST)}}},
    {"expected version", &six, {{BEGIN}}},
    {"race lost",
     NULL,
     {{BEGIN}, {STALE}, {ENDS(7, &others, APPLY_RACE_LOST)}}},
    {"race lost, then replaced twice",
     NULL,
     {{BEGIN}, {STALE}, {ENDS(9, &others, APPLY_RACE_LOST)}}},
    /* A proxy sent the write twice, and the second one was refused. */
    {"duplicate refused",
     NULL,
     {{BEGIN}, {STALE}, {ENDS(7, &ours, APPLY_APPLIED)}}},
    {"reply lost, write applied",
     NULL,
     {{BEGIN}, {LOST}, {ENDS(7, &ours, APPLY_APPLIED)}}},
    {"reply lost, race lost",
     NULL,
     {{BEGIN}, {LOST}, {ENDS(7, &others, APPLY_RACE_LOST)}}},
    {"reply lost, write applied and replaced",
     NULL,
     {{BEGIN}, {LOST}, {ENDS(8, &others_over_ours, APPLY_REPLACED)}}},
    {"reply lost, race lost, replaced",
     NULL,
     {{BEGIN}, {LOST}, {ENDS(8, &others_over_others, APPLY_RACE_LOST)}}},
    {"history too short",
     NULL,
     {{BEGIN}, {LOST}, {ENDS(8, &others, APPLY_UNKNOWN_REPLACED)}}},
    {"history too short by one",
     NULL,
     {{BEGIN}, {LOST}, {ENDS(9, &others_over_ours, APPLY_UNKNOWN_REPLACED)}}},
    {"no history",
     NULL,
     {{BEGIN}, {LOST}, {ENDS(8, NULL, APPLY_UNKNOWN_REPLACED)}}},
    /* The first write may still be applied: both have the same condition. */
    {"write lost, second write applied",
     NULL,
     {{BEGIN}, {LOST}, {BEGIN}, {WRITTEN(7)}}},
    {"reply lost, first write applied late",
     NULL,
     {{BEGIN}, {LOST}, {BEGIN}, {STALE}, {ENDS(7, &ours, APPLY_APPLIED)}}},
    {"write lost, race lost",
     NULL,
     {{BEGIN}, {LOST}, {BEGIN}, {STALE}, {ENDS(7, &others, APPLY_RACE_LOST)}}},
    {"both replies lost, write applied late",
     NULL,
     {{BEGIN},
      {LOST},
      {BEGIN},
      {LOST},
      {STILL_OLD(200)},
      {WAITED},
      {ENDS(7, &ours, APPLY_APPLIED)}}},
    {"both writes lost",
     NULL,
     {{BEGIN},
      {LOST},
      {BEGIN},
      {LOST},
      {STILL_OLD(200)},
      {WAITED},
      {STILL_OLD(400)},
      {WAITED},
      {ENDS(6, &others, APPLY_UNKNOWN)}}},
    /* The second write had no effect, but the first one may be applied. */
    {"write lost, second write refused",
     NULL,
     {{BEGIN},
      {LOST},
      {BEGIN},
      {.event = {APPLY_REFUSED}, DO_READ},
      {STILL_OLD(200)}}},
    {"refused",
     NULL,
     {{BEGIN}, {.event = {APPLY_REFUSED}, DO_END(APPLY_NOT_WRITTEN, 6)}}},
};

/* The zeroed entry after the last step, a read after a read, ends the list. */
static bool
is_step(const struct step *step)
{
    return step->event.type != APPLY_READ ||
           step->action.type != APPLY_DO_READ;
}

TEST(scripts)
{
    for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
        const struct script *script = &scripts[i];
        const struct apply_action read = {.type = APPLY_DO_READ};
        struct apply_core core;

        g_test_message("%s", script->name);
        assert_action(apply_core_start(&core, OURS, script->expect), read);
        for (const struct step *step = script->steps; is_step(step); step++) {
            assert_action(apply_core_step(&core, &step->event), step->action);
        }
    }
}

/* Feeds failed reads until the run ends with @outcome. */
static void
fail_reads(struct apply_core *core, enum apply_outcome outcome)
{
    static const unsigned waits[] = {200, 400, 800, 1600, 2000};
    const struct apply_event failed = {.type = APPLY_READ_FAILED};
    const struct apply_event waited = {.type = APPLY_TIMER_EXPIRED};
    struct apply_action action;

    for (size_t i = 0; i < G_N_ELEMENTS(waits); i++) {
        action = apply_core_step(core, &failed);
        g_assert_cmpint(action.type, ==, APPLY_DO_WAIT);
        g_assert_cmpuint(action.wait_ms, ==, waits[i]);
        action = apply_core_step(core, &waited);
        g_assert_cmpint(action.type, ==, APPLY_DO_READ);
    }
    action = apply_core_step(core, &failed);
    g_assert_cmpint(action.type, ==, APPLY_DO_FINISH);
    g_assert_cmpint(action.outcome, ==, outcome);
}

TEST(platform_unavailable)
{
    const struct step first = {BEGIN};
    const struct apply_event lost = {.type = APPLY_LOST};
    const struct apply_event stale = {.type = APPLY_STALE};
    struct apply_core core;

    apply_core_start(&core, OURS, NULL);
    fail_reads(&core, APPLY_NOT_WRITTEN);

    apply_core_start(&core, OURS, NULL);
    apply_core_step(&core, &first.event);
    apply_core_step(&core, &lost);
    fail_reads(&core, APPLY_UNKNOWN);

    apply_core_start(&core, OURS, NULL);
    apply_core_step(&core, &first.event);
    apply_core_step(&core, &stale);
    fail_reads(&core, APPLY_RACE_LOST);
}

/**
 * struct model - a platform with faults and a second operator
 * @rand: random number generator
 * @ids: write id of each version
 * @version: current version
 * @pending: our write is delayed
 * @pending_expect: condition of the delayed write
 * @ours: number of times that our write was applied
 */
struct model {
    GRand *rand;
    const char *ids[64];
    uint64_t version;
    bool pending;
    uint64_t pending_expect;
    unsigned ours;
};

static void
model_apply(struct model *model, uint64_t expect)
{
    if (model->version == expect) {
        model->ids[++model->version] = OURS;
        model->ours++;
    }
}

/* Randomly lets the other operator write and applies a delayed write. */
static void
model_advance_time(struct model *model)
{
    if (model->version < 50 && g_rand_int_range(model->rand, 0, 4) == 0) {
        model->ids[++model->version] = OTHERS;
    }
    if (model->pending && g_rand_int_range(model->rand, 0, 2) == 0) {
        model->pending = false;
        model_apply(model, model->pending_expect);
    }
}

static struct apply_event
model_read(struct model *model, struct service_config_envelope *envelope)
{
    struct apply_event event = {
        .type = APPLY_READ, .version = model->version, .envelope = envelope};

    if (g_rand_int_range(model->rand, 0, 4) == 0) {
        return (struct apply_event){.type = APPLY_READ_FAILED};
    }
    memset(envelope, 0, sizeof(*envelope));
    g_strlcpy(envelope->write_id, model->ids[model->version],
              SERVICE_CONFIG_WRITE_ID_MAX);
    while (envelope->history_count < SERVICE_CONFIG_HISTORY_MAX &&
           envelope->history_count + 1 < model->version) {
        size_t i = envelope->history_count++;

        g_strlcpy(envelope->history[i], model->ids[model->version - 1 - i],
                  SERVICE_CONFIG_WRITE_ID_MAX);
    }
    return event;
}

static struct apply_event
model_write(struct model *model, uint64_t expect)
{
    switch (g_rand_int_range(model->rand, 0, 5)) {
    case 0:
        return (struct apply_event){.type = APPLY_REFUSED};
    case 1:
        model_apply(model, expect);
        return (struct apply_event){.type = APPLY_LOST};
    case 2:
        return (struct apply_event){.type = APPLY_LOST};
    case 3:
        model->pending = true;
        model->pending_expect = expect;
        return (struct apply_event){.type = APPLY_LOST};
    default:
        break;
    }
    if (model->version != expect) {
        return (struct apply_event){.type = APPLY_STALE};
    }
    model_apply(model, expect);
    return (struct apply_event){.type = APPLY_WRITTEN,
                                .version = model->version};
}

/* Compares the reported outcome with the final state of the model. */
static void
check_outcome(const struct model *model, const struct apply_action *end)
{
    bool applied = model->ours > 0;

    g_assert_cmpuint(model->ours, <=, 1);
    switch (end->outcome) {
    case APPLY_APPLIED:
        g_assert_true(applied);
        g_assert_cmpstr(model->ids[end->version], ==, OURS);
        break;
    case APPLY_REPLACED:
        g_assert_true(applied);
        g_assert_cmpstr(model->ids[end->version], ==, OTHERS);
        break;
    case APPLY_RACE_LOST:
    case APPLY_NOT_WRITTEN:
        g_assert_false(applied);
        break;
    default:
        break;
    }
}

static void
run_model(GRand *rand, unsigned *outcome_counts)
{
    struct model model = {.rand = rand, .ids = {NULL, OTHERS}, .version = 1};
    struct service_config_envelope envelope;
    struct apply_core core;
    struct apply_action action = apply_core_start(&core, OURS, NULL);

    for (unsigned i = 0; action.type != APPLY_DO_FINISH; i++) {
        struct apply_event event = {.type = APPLY_TIMER_EXPIRED};

        g_assert_cmpuint(i, <, 100);
        model_advance_time(&model);
        if (action.type == APPLY_DO_READ) {
            event = model_read(&model, &envelope);
        }
        else if (action.type == APPLY_DO_WRITE) {
            event = model_write(&model, action.expect);
        }
        action = apply_core_step(&core, &event);
    }
    if (model.pending) {
        model_apply(&model, model.pending_expect);
    }
    check_outcome(&model, &action);
    outcome_counts[action.outcome]++;
}

TEST(random_model)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(SEED);
    unsigned outcome_counts[APPLY_UNKNOWN + 1] = {0};

    g_test_message("seed %d", SEED);
    for (unsigned i = 0; i < ROUNDS; i++) {
        run_model(rand, outcome_counts);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(outcome_counts); i++) {
        g_test_message("outcome %zu: %u", i, outcome_counts[i]);
        g_assert_true(outcome_counts[i] > 0 || i == APPLY_UNCHANGED ||
                      i == APPLY_UNKNOWN_REPLACED);
    }
}
