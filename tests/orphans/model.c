/* Steps and faults of the simulation. */
#include "model.h"

#include <string.h>

#include "world.h"

static gboolean
chance(struct model *model, double per_s)
{
    return g_rand_double(model->rand) < per_s * (double)TICK_US / USEC_PER_SEC;
}

static unsigned
pick(struct model *model)
{
    return (unsigned)g_rand_int_range(model->rand, 0,
                                      (gint32)model->config->agents);
}

static void
generate_load(struct model *model)
{
    for (unsigned n = 0; n < 2; n++) {
        if (chance(model, 10)) {
            traffic_open(model, pick(model));
        }
        if (chance(model, 8)) {
            traffic_close(model, pick(model));
        }
    }
    if (chance(model, 0.1)) {
        unsigned i = pick(model);
        for (unsigned n = 0; n < 300; n++) {
            traffic_open(model, i);
        }
    }
    if (chance(model, 0.1)) {
        unsigned i = pick(model);
        for (unsigned n = 0; n < 300; n++) {
            traffic_open(model, i);
            traffic_close(model, i);
        }
    }
}

/* Marks a live agent as dead in the views of some others for a while. */
static void
suspect_wrongly(struct model *model, unsigned about)
{
    const struct agent *agent = &model->agents[about];
    struct member_update member_update = {
        .about = about, .info = {agent->boot, MEMBER_DEAD, agent->leaving}};
    unsigned to;

    if (!agent->running) {
        return;
    }
    for (to = 0; to < model->config->agents; to++) {
        if (to == about || g_rand_boolean(model->rand)) {
            continue;
        }
        member_update.to = to;
        member_update.info.health = MEMBER_DEAD;
        member_update.at_us = model->now_us + world_up_to(model, LAG_MAX_US);
        g_array_append_val(model->member_updates, member_update);
        member_update.info.health = MEMBER_ALIVE;
        member_update.at_us += world_up_to(model, 2 * LAG_MAX_US);
        g_array_append_val(model->member_updates, member_update);
    }
}

static void
leave(struct model *model, unsigned i)
{
    struct agent *agent = &model->agents[i];

    if (agent->running && !agent->leaving) {
        agent->leaving = TRUE;
        agent->known_members[i].leaving = TRUE;
        agent->changed = TRUE;
        world_send_updates(model, i, MEMBER_ALIVE);
    }
}

static void
inject_random_fault(struct model *model)
{
    if (chance(model, 0.2)) {
        world_die(model, pick(model));
    }
    if (chance(model, 0.4)) {
        unsigned i = pick(model);
        if (!model->agents[i].running) {
            world_start(model, i);
        }
    }
    if (chance(model, 0.1)) {
        /* A restart faster than the detection of the death. */
        unsigned i = pick(model);
        world_die(model, i);
        if (!model->agents[i].running) {
            world_start(model, i);
        }
    }
    if (chance(model, 0.1)) {
        struct agent *agent = &model->agents[pick(model)];
        agent->frozen_until_us =
            model->now_us + world_up_to(model, FREEZE_MAX_US);
    }
    if (chance(model, 0.1)) {
        suspect_wrongly(model, pick(model));
    }
    if (chance(model, 0.05)) {
        leave(model, pick(model));
    }
    if (chance(model, 0.05)) {
        model->lossy_until_us =
            model->now_us + world_up_to(model, 3 * USEC_PER_SEC);
    }
}

static void
step(struct model *model)
{
    model->now_us += TICK_US;
    generate_load(model);
    if (!model->faults_off) {
        inject_random_fault(model);
    }
    traffic_deliver_updates(model);
    for (unsigned i = 0; i < model->config->agents; i++) {
        struct agent *agent = &model->agents[i];
        if (agent->running && !world_is_frozen(model, agent)) {
            traffic_tick(model, i);
        }
    }
    traffic_deliver(model);
    traffic_check_expected_probes(model);
}

static void
run_for(struct model *model, uint64_t us)
{
    uint64_t until_us = model->now_us + us;

    while (model->now_us < until_us && model->result.failure == NULL) {
        step(model);
    }
}

/* Two agents die at once after a quiet phase: only their flows may be probed.
 */
static void
kill_two_agents(struct model *model)
{
    unsigned first = pick(model);
    unsigned second = pick(model);

    model->expected = g_hash_table_new(NULL, NULL);
    world_die(model, first);
    world_die(model, second);
    run_for(model, PROBE_DEADLINE_US);
    /* Late rounds may probe callers that have opened flows to other agents. */
    g_hash_table_unref(model->expected);
    model->expected = NULL;
    run_for(model, FREEZE_MAX_US + 2 * TICK_US);
}

static void
start_all(struct model *model)
{
    for (unsigned i = 0; i < model->config->agents; i++) {
        if (!model->agents[i].running) {
            world_start(model, i);
        }
        else if (model->agents[i].leaving) {
            world_die(model, i);
            world_start(model, i);
        }
    }
}

static void
model_init(struct model *model, const struct model_config *config,
           guint32 seed)
{
    memset(model, 0, sizeof(*model));
    model->config = config;
    model->rand = g_rand_new_with_seed(seed);
    model->now_us = 1000 * USEC_PER_SEC;
    model->last_boot = model->now_us;
    model->member_updates =
        g_array_new(FALSE, FALSE, sizeof(struct member_update));
    model->queued_messages =
        g_array_new(FALSE, FALSE, sizeof(struct queued_message));
    model->expected_probes =
        g_array_new(FALSE, FALSE, sizeof(struct expected_probe));
    model->probed = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    for (unsigned i = 0; i < config->agents; i++) {
        model->agents[i].flows =
            g_array_new(FALSE, FALSE, sizeof(struct flow));
        model->agents[i].ended =
            g_array_new(FALSE, FALSE, sizeof(struct ended));
    }
    start_all(model);
}

static void
model_finish(struct model *model)
{
    for (unsigned i = 0; i < model->config->agents; i++) {
        struct agent *agent = &model->agents[i];
        if (agent->running) {
            world_agent_finish(agent);
        }
        g_array_unref(agent->flows);
        g_array_unref(agent->ended);
        g_free(agent->view);
    }
    g_array_unref(model->member_updates);
    g_array_unref(model->queued_messages);
    g_array_unref(model->expected_probes);
    g_hash_table_unref(model->probed);
    g_rand_free(model->rand);
}

struct model_result
model_run(const struct model_config *config, guint32 seed)
{
    struct model *model = g_new(struct model, 1);
    struct model_result result;
    unsigned cycle;

    g_assert_cmpuint(config->agents, <=, MODEL_AGENTS_MAX);
    model_init(model, config, seed);
    for (cycle = 0; cycle < config->cycles; cycle++) {
        model->faults_off = FALSE;
        run_for(model, FAULTS_US);
        model->faults_off = TRUE;
        start_all(model);
        run_for(model, QUIET_US);
        kill_two_agents(model);
        start_all(model);
    }
    result = model->result;
    model_finish(model);
    g_free(model);
    return result;
}
