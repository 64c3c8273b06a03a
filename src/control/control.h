/**
 * DOC: control - the control thread of a process
 *
 * Runs the membership, configuration and seed controllers. It exchanges UDP
 * datagrams and TCP frames on settings.control and publishes its results on
 * the blackboard. Its frame types are 0x100..0x1ff.
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
 * @settings: must outlive the thread
 * @blackboard: where results are published; must outlive the thread
 * @clock: must outlive the thread
 * @counters: the thread's counters are registered here; must outlive it
 *
 * Return: the running control, or NULL with @err filled.
 */
struct control *
control_start(const struct settings *settings, struct blackboard *blackboard,
              struct clock *clock, struct counter_table *counters,
              struct error *err);

/**
 * control_report_dead() - report proof that a process has ended
 * @member: id of the process
 * @incarnation: incarnation that the proof is about
 *
 * For example, ECONNREFUSED from its data or control address. Any thread may
 * call it.
 */
void
control_report_dead(struct control *control, uint64_t member,
                    uint64_t incarnation);

/** control_announce() - send a changed blackboard_local() to the cell at once;
 * any thread may call it */
void
control_announce(struct control *control);

/** control_stop() - notify the peers, join the thread and free it */
void
control_stop(struct control *control);

#endif
