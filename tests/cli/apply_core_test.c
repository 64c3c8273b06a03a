#include <string.h>

#include <glib.h>

#include "cli/apply_core.h"

#define OURS "0000000000000000000000000000000a"
#define OTHERS "0000000000000000000000000000000b"
#define SEED 20261202
#define ROUNDS 20000

/** struct step - an event and the action it must lead to */
struct step {
    struct apply_event event;
    struct apply_action action;
};

#define WRITE(version)                                                        \
    {                                                                         \
        .type = APPLY_DO_WRITE, .expect = (version)                           \
    }
#define READ                                                                  \
    {                                                                         \
        .type = APPLY_DO_READ                                                 \
    }
#define WAIT(ms)                                                              \
    {                                                                         \
        .type = APPLY_DO_WAIT, .wait_ms = (ms)                                \
    }
#define END(how, at)                                                          \
    {                                                                         \
        .type = APPLY_DO_FINISH, .outcome = (how), .version = (at)            \
    }
#define SEES(v, e)                                                            \
    {                                                                         \
        .type = APPLY_READ, .version = (v), .envelope = (e)                   \
    }

static const struct text_envelope ours = {.write_id = OURS};
static const struct text_envelope others = {.write_id = OTHERS};
static const struct text_envelope others_over_ours = {
    .write_id = OTHERS, .history = {OURS}, .history_count = 1};
static const struct text_envelope others_over_others = {
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

static void
run_steps(const uint64_t *expect, const struct step *steps, size_t count)
{
    struct apply_core core;
    struct apply_action first = READ;

    assert_action(apply_core_start(&core, OURS, expect), first);
    for (size_t i = 0; i < count; i++) {
        assert_action(apply_core_step(&core, &steps[i].event),
                      steps[i].action);
    }
}

#define RUN(expect, ...)                                                      \
    do {                                                                      \
        const struct step steps[] = {__VA_ARGS__};                            \
        run_steps(expect, steps, G_N_ELEMENTS(steps));                        \
    } while (0)

static void
test_success(void)
{
    RUN(NULL, {SEES(6, &others), WRITE(6)},
        {{APPLY_WRITTEN, .version = 7}, END(APPLY_APPLIED, 7)});
    RUN(NULL, {SEES(0, NULL), WRITE(0)},
        {{APPLY_WRITTEN, .version = 1}, END(APPLY_APPLIED, 1)});
}

static void
test_same(void)
{
    RUN(NULL, {{APPLY_READ, .version = 6, .envelope = &others, .same = true},
               END(APPLY_SAME, 6)});
}

static void
test_expected_version(void)
{
    const uint64_t six = 6;

    RUN(&six, {SEES(7, &others), END(APPLY_RACE_LOST, 7)});
    RUN(&six, {SEES(5, &others), END(APPLY_RACE_LOST, 5)});
    RUN(&six, {SEES(6, &others), WRITE(6)});
}

static void
test_race_lost(void)
{
    RUN(NULL, {SEES(6, &others), WRITE(6)}, {{APPLY_STALE}, READ},
        {SEES(7, &others), END(APPLY_RACE_LOST, 7)});
    RUN(NULL, {SEES(6, &others), WRITE(6)}, {{APPLY_STALE}, READ},
        {SEES(9, &others), END(APPLY_RACE_LOST, 9)});
}

/* Something on the way sent our write twice: the refusal is of the second. */
static void
test_refused_by_ourselves(void)
{
    RUN(NULL, {SEES(6, &others), WRITE(6)}, {{APPLY_STALE}, READ},
        {SEES(7, &ours), END(APPLY_APPLIED, 7)});
}

static void
test_lost_and_landed(void)
{
    RUN(NULL, {SEES(6, &others), WRITE(6)}, {{APPLY_LOST}, READ},
        {SEES(7, &ours), END(APPLY_APPLIED, 7)});
}

static void
test_lost_and_beaten(void)
{
    RUN(NULL, {SEES(6, &others), WRITE(6)}, {{APPLY_LOST}, READ},
        {SEES(7, &others), END(APPLY_RACE_LOST, 7)});
}

static void
test_lost_then_replaced(void)
{
    RUN(NULL, {SEES(6, &others), WRITE(6)}, {{APPLY_LOST}, READ},
        {SEES(8, &others_over_ours), END(APPLY_REPLACED, 8)});
    RUN(NULL, {SEES(6, &others), WRITE(6)}, {{APPLY_LOST}, READ},
        {SEES(8, &others_over_others), END(APPLY_RACE_LOST, 8)});
}

static void
test_lost_history_too_short(void)
{
    RUN(NULL, {SEES(6, &others), WRITE(6)}, {{APPLY_LOST}, READ},
        {SEES(8, &others), END(APPLY_UNKNOWN_BEHIND, 8)});
    RUN(NULL, {SEES(6, &others), WRITE(6)}, {{APPLY_LOST}, READ},
        {SEES(9, &others_over_ours), END(APPLY_UNKNOWN_BEHIND, 9)});
    RUN(NULL, {SEES(6, &others), WRITE(6)}, {{APPLY_LOST}, READ},
        {SEES(8, NULL), END(APPLY_UNKNOWN_BEHIND, 8)});
}

/* The first write may yet land: the second one has the same condition. */
static void
test_lost_not_landed(void)
{
    RUN(NULL, {SEES(6, &others), WRITE(6)}, {{APPLY_LOST}, READ},
        {SEES(6, &others), WRITE(6)},
        {{APPLY_WRITTEN, .version = 7}, END(APPLY_APPLIED, 7)});
    RUN(NULL, {SEES(6, &others), WRITE(6)}, {{APPLY_LOST}, READ},
        {SEES(6, &others), WRITE(6)}, {{APPLY_STALE}, READ},
        {SEES(7, &ours), END(APPLY_APPLIED, 7)});
    RUN(NULL, {SEES(6, &others), WRITE(6)}, {{APPLY_LOST}, READ},
        {SEES(6, &others), WRITE(6)}, {{APPLY_STALE}, READ},
        {SEES(7, &others), END(APPLY_RACE_LOST, 7)});
}

static void
test_lost_twice(void)
{
    RUN(NULL, {SEES(6, &others), WRITE(6)}, {{APPLY_LOST}, READ},
        {SEES(6, &others), WRITE(6)}, {{APPLY_LOST}, READ},
        {SEES(6, &others), WAIT(200)}, {{APPLY_WAITED}, READ},
        {SEES(7, &ours), END(APPLY_APPLIED, 7)});
    RUN(NULL, {SEES(6, &others), WRITE(6)}, {{APPLY_LOST}, READ},
        {SEES(6, &others), WRITE(6)}, {{APPLY_LOST}, READ},
        {SEES(6, &others), WAIT(200)}, {{APPLY_WAITED}, READ},
        {SEES(6, &others), WAIT(400)}, {{APPLY_WAITED}, READ},
        {SEES(6, &others), END(APPLY_UNKNOWN, 6)});
}

/* Refused without effect after one that may have had: still open. */
static void
test_lost_then_refused(void)
{
    RUN(NULL, {SEES(6, &others), WRITE(6)}, {{APPLY_LOST}, READ},
        {SEES(6, &others), WRITE(6)}, {{APPLY_REFUSED}, READ},
        {SEES(6, &others), WAIT(200)});
}

static void
test_refused(void)
{
    RUN(NULL, {SEES(6, &others), WRITE(6)},
        {{APPLY_REFUSED}, END(APPLY_NOT_WRITTEN, 6)});
}

/* Feeds failed reads; the last one ends it with @outcome. */
static void
fail_reads(struct apply_core *core, enum apply_outcome outcome)
{
    static const unsigned waits[] = {200, 400, 800, 1600, 2000};
    const struct apply_event failed = {.type = APPLY_READ_FAILED};
    const struct apply_event waited = {.type = APPLY_WAITED};
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

static void
test_platform_down(void)
{
    const struct apply_event first = SEES(6, &others);
    const struct apply_event lost = {.type = APPLY_LOST};
    const struct apply_event stale = {.type = APPLY_STALE};
    struct apply_core core;

    apply_core_start(&core, OURS, NULL);
    fail_reads(&core, APPLY_NOT_WRITTEN);

    apply_core_start(&core, OURS, NULL);
    apply_core_step(&core, &first);
    apply_core_step(&core, &lost);
    fail_reads(&core, APPLY_UNKNOWN);

    apply_core_start(&core, OURS, NULL);
    apply_core_step(&core, &first);
    apply_core_step(&core, &stale);
    fail_reads(&core, APPLY_RACE_LOST);
}

/**
 * struct model - a platform with faults, and another operator
 * @ids: write id of each version
 * @version: now
 * @pending: our write is still under way, with its condition
 * @ours: times our write took effect
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
model_land(struct model *model, uint64_t expect)
{
    if (model->version == expect) {
        model->ids[++model->version] = OURS;
        model->ours++;
    }
}

/* Between two calls the other operator writes, a late write lands. */
static void
model_pass_time(struct model *model)
{
    if (model->version < 50 && g_rand_int_range(model->rand, 0, 4) == 0) {
        model->ids[++model->version] = OTHERS;
    }
    if (model->pending && g_rand_int_range(model->rand, 0, 2) == 0) {
        model->pending = false;
        model_land(model, model->pending_expect);
    }
}

static struct apply_event
model_read(struct model *model, struct text_envelope *envelope)
{
    struct apply_event event = {
        .type = APPLY_READ, .version = model->version, .envelope = envelope};

    if (g_rand_int_range(model->rand, 0, 4) == 0) {
        return (struct apply_event){.type = APPLY_READ_FAILED};
    }
    memset(envelope, 0, sizeof(*envelope));
    g_strlcpy(envelope->write_id, model->ids[model->version],
              TEXT_WRITE_ID_MAX);
    while (envelope->history_count < TEXT_HISTORY_MAX &&
           envelope->history_count + 1 < model->version) {
        size_t i = envelope->history_count++;

        g_strlcpy(envelope->history[i], model->ids[model->version - 1 - i],
                  TEXT_WRITE_ID_MAX);
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
        model_land(model, expect);
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
    model_land(model, expect);
    return (struct apply_event){.type = APPLY_WRITTEN,
                                .version = model->version};
}

/* What was told at the end, against what is so once all has settled. */
static void
check_told(const struct model *model, const struct apply_action *end)
{
    bool landed = model->ours > 0;

    g_assert_cmpuint(model->ours, <=, 1);
    switch (end->outcome) {
    case APPLY_APPLIED:
        g_assert_true(landed);
        g_assert_cmpstr(model->ids[end->version], ==, OURS);
        break;
    case APPLY_REPLACED:
        g_assert_true(landed);
        g_assert_cmpstr(model->ids[end->version], ==, OTHERS);
        break;
    case APPLY_RACE_LOST:
    case APPLY_NOT_WRITTEN:
        g_assert_false(landed);
        break;
    default:
        break;
    }
}

static void
run_model(GRand *rand, unsigned *told)
{
    struct model model = {.rand = rand, .ids = {NULL, OTHERS}, .version = 1};
    struct text_envelope envelope;
    struct apply_core core;
    struct apply_action action = apply_core_start(&core, OURS, NULL);

    for (unsigned i = 0; action.type != APPLY_DO_FINISH; i++) {
        struct apply_event event = {.type = APPLY_WAITED};

        g_assert_cmpuint(i, <, 100);
        model_pass_time(&model);
        if (action.type == APPLY_DO_READ) {
            event = model_read(&model, &envelope);
        }
        else if (action.type == APPLY_DO_WRITE) {
            event = model_write(&model, action.expect);
        }
        action = apply_core_step(&core, &event);
    }
    if (model.pending) {
        model_land(&model, model.pending_expect);
    }
    check_told(&model, &action);
    told[action.outcome]++;
}

static void
test_model(void)
{
    GRand *rand = g_rand_new_with_seed(SEED);
    unsigned told[APPLY_UNKNOWN + 1] = {0};

    g_test_message("seed %d", SEED);
    for (unsigned i = 0; i < ROUNDS; i++) {
        run_model(rand, told);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(told); i++) {
        g_test_message("outcome %zu: %u", i, told[i]);
        g_assert_true(told[i] > 0 || i == APPLY_SAME ||
                      i == APPLY_UNKNOWN_BEHIND);
    }
    g_rand_free(rand);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/apply/success", test_success);
    g_test_add_func("/apply/same", test_same);
    g_test_add_func("/apply/expected_version", test_expected_version);
    g_test_add_func("/apply/race_lost", test_race_lost);
    g_test_add_func("/apply/refused_by_ourselves", test_refused_by_ourselves);
    g_test_add_func("/apply/lost_and_landed", test_lost_and_landed);
    g_test_add_func("/apply/lost_and_beaten", test_lost_and_beaten);
    g_test_add_func("/apply/lost_then_replaced", test_lost_then_replaced);
    g_test_add_func("/apply/lost_history_too_short",
                    test_lost_history_too_short);
    g_test_add_func("/apply/lost_not_landed", test_lost_not_landed);
    g_test_add_func("/apply/lost_twice", test_lost_twice);
    g_test_add_func("/apply/lost_then_refused", test_lost_then_refused);
    g_test_add_func("/apply/refused", test_refused);
    g_test_add_func("/apply/platform_down", test_platform_down);
    g_test_add_func("/apply/model", test_model);
    return g_test_run();
}
