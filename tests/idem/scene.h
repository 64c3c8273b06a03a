/**
 * DOC: scene - how the fixed tests set up and ask
 */
#ifndef SWIFTARCH_TESTS_IDEM_SCENE_H
#define SWIFTARCH_TESTS_IDEM_SCENE_H

#include "idem/state.h"
#include "lib/harness.h"
#include "sim.h"

#define SCENE_ELIGIBLE_US (30 * USEC_PER_SEC)

/** SCENE() - a test of @nodes agents on a good network, @after_us after they
 * started; nothing may go wrong in it */
#define SCENE(name, nodes, after_us)                                          \
    TEST_WITH(sim, scene_start, scene_finish, name, nodes, after_us)

/** scene_start() - see SCENE() */
void
scene_start(struct sim *sim, unsigned nodes, uint64_t after_us);

/** scene_finish() - nothing may have gone wrong */
void
scene_finish(struct sim *sim);

/** scene_ask() - begin a request and wait for the verdict */
enum idem_action_type
scene_ask(struct sim *sim, unsigned node, unsigned key);

/** scene_reason() - reason of the last verdict */
enum idem_reason
scene_reason(struct sim *sim);

/** EXPECT() - the verdict on a request of @key at @node */
#define EXPECT(node, key, verdict)                                            \
    g_assert_cmpint(scene_ask(sim, node, key), ==, verdict)

/** EXPECT_REASON() - the same, and its reason */
#define EXPECT_REASON(node, key, verdict, why)                                \
    do {                                                                      \
        EXPECT(node, key, verdict);                                           \
        g_assert_cmpint(scene_reason(sim), ==, why);                          \
    } while (0)

/** EXPECT_ALL() - the verdict on a request of @key at every node that is up
 */
#define EXPECT_ALL(key, verdict)                                              \
    do {                                                                      \
        for (unsigned node_ = 0; node_ < SIM_NODES; node_++) {                \
            if (sim->nodes[node_].up) {                                       \
                EXPECT(node_, key, verdict);                                  \
            }                                                                 \
        }                                                                     \
    } while (0)

/** scene_run() - a new key's request, to its end */
void
scene_run(struct sim *sim, unsigned node, unsigned key, enum idem_state state);

#endif
