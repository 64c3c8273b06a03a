#include "sim_fixture.h"

void
sim_fixture_start(struct sim *sim, unsigned nodes, uint64_t after_us)
{
    sim_init(sim, 7, (struct sim_net){.delay_us = 8 * SIM_MSEC});
    sim_start_first(sim, nodes, after_us);
}

void
sim_fixture_finish(struct sim *sim)
{
    g_assert_cmpstr(sim->failure, ==, NULL);
    sim_finish(sim);
}

enum idem_action_type
sim_fixture_request(struct sim *sim, unsigned node, unsigned key)
{
    uint64_t token = sim_begin(sim, node, key);

    sim_advance(sim, 2 * IDEM_RESERVE_TIMEOUT_US);
    return sim_request(sim, token)->verdict;
}

enum idem_reason
sim_fixture_last_reason(struct sim *sim)
{
    return sim_request(sim, sim->requests->len)->reason;
}

void
sim_fixture_run(struct sim *sim, unsigned node, unsigned key,
                enum idem_state state)
{
    g_assert_cmpint(sim_fixture_request(sim, node, key), ==, IDEM_PROCEED);
    sim_end(sim, sim->requests->len, false, state);
    sim_advance(sim, USEC_PER_SEC);
}
