/**
 * DOC: control - the control thread of a process
 *
 * Runs the membership, configuration and platform controllers on a thread
 * of its own: UDP probes and TCP frames on settings.control, and publishes
 * on the blackboard. Type numbers of its frames are 0x100..0x1ff.
 */
#ifndef SWIFTARCH_CONTROL_CONTROL_H
#define SWIFTARCH_CONTROL_CONTROL_H

#include "base/clock.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/settings.h"
#include "control/blackboard.h"

struct control;

/**
 * control_start() - start the control thread
 * @settings: kept; must outlive the thread
 * @blackboard: published to; kept
 * @clock: kept
 * @counters: kept; counters are registered here before the thread starts
 *
 * Return: the running control, or NULL with @err filled.
 */
struct control *
control_start(const struct settings *settings, struct blackboard *blackboard,
              struct clock *clock, struct counter_table *counters,
              struct error *err);

/**
 * control_report_dead() - the data side proved that a process is gone
 *
 * For example, ECONNREFUSED from its data or control address. Safe from
 * any thread.
 */
void
control_report_dead(struct control *control, uint64_t member,
                    uint64_t incarnation);

/** control_announce() - spread a changed blackboard_local() now; any thread */
void
control_announce(struct control *control);

/** control_stop() - say goodbye to the peers, join the thread, free */
void
control_stop(struct control *control);

#endif
