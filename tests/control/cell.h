/**
 * DOC: cell - configuration cores of one cell with a model platform
 *
 * Words and versions spread to all after a second; what is modelled closely
 * is the platform: outages, slow and lost answers, watches that end or
 * skip, and each call counted by the second.
 */
#ifndef SWIFTARCH_TESTS_CONTROL_CELL_H
#define SWIFTARCH_TESTS_CONTROL_CELL_H

#include <glib.h>

#include "control/config.h"

#define CELL_SECONDS_MAX 8192

/**
 * struct cell_node - one process; its call to the platform, if one is out
 * @platform_unreachable: it doesn't reach the platform
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
 * @version: of the platform's object
 * @served_version: version that the platform answers (older after a fault)
 * @down: no answer; calls fail after 2.5 s
 * @answer_us: time to answer
 * @lost: answers lost, of 1000
 * @watch_ends: watches that break off early, of 1000
 * @watch_skips: watches that sleep through a change, of 1000
 * @calls: calls begun in each second
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

/** cell_init() - @count processes that know each other */
void
cell_init(struct cell *cell, size_t count, uint64_t seed);

/** cell_finish() - free it */
void
cell_finish(struct cell *cell);

/** cell_run() - let @seconds pass */
void
cell_run(struct cell *cell, unsigned seconds);

/** cell_calls() - calls begun in the seconds from @first on */
uint64_t
cell_calls(const struct cell *cell, size_t first, size_t seconds);

/** cell_peak() - most calls begun in one of them */
uint32_t
cell_peak(const struct cell *cell, size_t first, size_t seconds);

/** cell_count_outdated() - processes whose version is below the platform's */
size_t
cell_count_outdated(const struct cell *cell);

#endif
