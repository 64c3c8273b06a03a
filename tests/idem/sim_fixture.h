/**
 * DOC: sim_fixture - setup and assertions of the tests with fixed events
 */
#ifndef SWIFTARCH_TESTS_IDEM_SIM_FIXTURE_H
#define SWIFTARCH_TESTS_IDEM_SIM_FIXTURE_H

#include "idem/state.h"
#include "lib/harness.h"
#include "sim.h"

#define SIM_ELIGIBLE_US (30 * USEC_PER_SEC)

/** SIM_TEST() - a test of @nodes agents on a reliable network, @after_us after
 * their start; fails on any violation found by the simulation */
#define SIM_TEST(name, nodes, after_us)                                       \
    TEST_WITH(sim, sim_fixture_start, sim_fixture_finish, name, nodes,        \
              after_us)

/** sim_fixture_start() - set up a SIM_TEST() */
void
sim_fixture_start(struct sim *sim, unsigned nodes, uint64_t after_us);

/** sim_fixture_finish() - assert that no violation was found, and clean up */
void
sim_fixture_finish(struct sim *sim);

/** sim_fixture_request() - begin a request and wait for its verdict */
enum idem_action_type
sim_fixture_request(struct sim *sim, unsigned node, unsigned key);

/** sim_fixture_last_reason() - reason of the last request's verdict */
enum idem_reason
sim_fixture_last_reason(struct sim *sim);

/** EXPECT() - assert the verdict of a request of @key at @node */
#define EXPECT(node, key, verdict)                                            \
    g_assert_cmpint(sim_fixture_request(sim, node, key), ==, verdict)

/** EXPECT_REASON() - assert the verdict and its reason */
#define EXPECT_REASON(node, key, verdict, expected_reason)                    \
    do {                                                                      \
        EXPECT(node, key, verdict);                                           \
        g_assert_cmpint(sim_fixture_last_reason(sim), ==, expected_reason);   \
    } while (0)

/** EXPECT_ALL() - assert the verdict of a request of @key at each running node
 */
#define EXPECT_ALL(key, verdict)                                              \
    do {                                                                      \
        for (unsigned node_ = 0; node_ < SIM_NODES; node_++) {                \
            if (sim->nodes[node_].up) {                                       \
                EXPECT(node_, key, verdict);                                  \
            }                                                                 \
        }                                                                     \
    } while (0)

/** sim_fixture_run() - run the first request of @key and end it with @state */
void
sim_fixture_run(struct sim *sim, unsigned node, unsigned key,
                enum idem_state state);

#endif
