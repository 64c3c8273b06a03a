/**
 * DOC: cell - configuration cores of one cell with a simulated platform
 *
 * Versions and confirmations reach all processes after one second. The
 * platform is simulated with outages, slow and lost replies, and watches that
 * end early or miss a change. Calls are counted per second.
 */
#ifndef SWIFTARCH_TESTS_CONTROL_CELL_H
#define SWIFTARCH_TESTS_CONTROL_CELL_H

#include <glib.h>

#include "control/config.h"

#define CELL_SECONDS_MAX 8192

/**
 * struct cell_node - one process and its pending platform call
 * @calling: a call is pending
 * @watching: the call is a watch
 * @skips: the watch misses a change
 * @platform_unreachable: its calls fail
 * @after: version that the watch waits to exceed
 * @done_us: end of the call, 0 while the platform has no result
 * @status: result, as in struct platform_reply
 * @answer: version in the reply
 */
struct cell_node {
    struct config_core config;
    bool calling;
    bool watching;
    bool skips;
    bool platform_unreachable;
    uint64_t after;
    uint64_t begun_us;
    uint64_t done_us;
    int status;
    uint64_t answer;
};

/**
 * struct cell - see DOC
 * @version: version of the platform's object
 * @served_version: version that the platform returns (older after a fault)
 * @down: outage: calls fail after 2.5 s
 * @answer_us: latency of replies
 * @lost: lost replies, of 1000 calls per step
 * @watch_ends: watches that end early, of 1000 per step
 * @watch_skips: watches that miss a change, of 1000
 * @calls: calls started in each second
 * @second: current second
 */
struct cell {
    struct cell_node *nodes;
    size_t count;
    uint64_t now_us;
    uint64_t version;
    uint64_t served_version;
    bool down;
    uint64_t answer_us;
    unsigned lost;
    unsigned watch_ends;
    unsigned watch_skips;
    struct random random;
    uint32_t calls[CELL_SECONDS_MAX];
    uint64_t second;
    uint64_t spread_us;
};

/** cell_init() - @count processes that are members of the cell */
void
cell_init(struct cell *cell, size_t count, uint64_t seed);

/** cell_finish() - free the processes */
void
cell_finish(struct cell *cell);

/** cell_run() - advance the clock by @seconds */
void
cell_run(struct cell *cell, unsigned seconds);

/** cell_calls() - calls started in @seconds seconds from @first on */
uint64_t
cell_calls(const struct cell *cell, size_t first, size_t seconds);

/** cell_peak() - maximum of calls started in one of these seconds */
uint32_t
cell_peak(const struct cell *cell, size_t first, size_t seconds);

/** cell_count_outdated() - processes whose version is below the platform's */
size_t
cell_count_outdated(const struct cell *cell);

#endif
