/**
 * DOC: scene - how the fixed tests set up and ask
 */
#ifndef SWIFTARCH_TESTS_IDEM_SCENE_H
#define SWIFTARCH_TESTS_IDEM_SCENE_H

#include "sim.h"

/** scene_net - a good network */
extern const struct sim_net scene_net;

/** scene_start() - @nodes agents on a good network, all settled */
void
scene_start(struct sim *sim, unsigned nodes);

/** scene_finish() - nothing may have gone wrong */
void
scene_finish(struct sim *sim);

/** scene_ask() - begin a request and wait for the verdict */
enum idem_action_type
scene_ask(struct sim *sim, unsigned node, unsigned key);

/** scene_reason() - reason of the last verdict */
enum idem_reason
scene_reason(struct sim *sim);

/** scene_run() - a new key's request, to its end */
void
scene_run(struct sim *sim, unsigned node, unsigned key, enum idem_state state);

#endif
