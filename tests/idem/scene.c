#include "scene.h"

const struct sim_net scene_net = {.delay_us = 8 * SIM_MSEC};

void
scene_start(struct sim *sim, unsigned nodes)
{
    sim_init(sim, 7, scene_net);
    for (unsigned i = 0; i < nodes; i++) {
        sim_start(sim, i);
    }
    sim_advance(sim, 30 * USEC_PER_SEC);
}

void
scene_finish(struct sim *sim)
{
    g_assert_cmpstr(sim->failure, ==, NULL);
    sim_finish(sim);
}

/* Ask and wait for the verdict. */
enum idem_action_type
scene_ask(struct sim *sim, unsigned node, unsigned key)
{
    uint64_t token = sim_begin(sim, node, key);

    sim_advance(sim, 2 * IDEM_RESERVE_TIMEOUT_US);
    return sim_request(sim, token)->verdict;
}

enum idem_reason
scene_reason(struct sim *sim)
{
    return sim_request(sim, sim->requests->len)->reason;
}

void
scene_run(struct sim *sim, unsigned node, unsigned key, enum idem_state state)
{
    g_assert_cmpint(scene_ask(sim, node, key), ==, IDEM_PROCEED);
    sim_end(sim, sim->requests->len, false, state);
    sim_advance(sim, USEC_PER_SEC);
}
