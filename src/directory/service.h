/**
 * DOC: service - the directory of a running process
 *
 * Runs the core on the control thread and publishes a table for the packet
 * workers, to be read under RCU.
 */
#ifndef SWIFTARCH_DIRECTORY_SERVICE_H
#define SWIFTARCH_DIRECTORY_SERVICE_H

#include <stdbool.h>

#include "base/counter.h"
#include "base/error.h"
#include "base/settings.h"
#include "control/board.h"
#include "control/extension.h"
#include "directory/directory.h"
#include "directory/table.h"

#define DIRECTORY_READY_US (5 * USEC_PER_SEC)

/** enum directory_counter - handles in struct directory_service */
enum directory_counter {
    DIRECTORY_COUNTER_CELLS,
    DIRECTORY_COUNTER_ADDRESSES,
    DIRECTORY_COUNTER_CONFLICTS,
    DIRECTORY_COUNTER_OLDEST_S,
    DIRECTORY_COUNTER_DIGESTS,
    DIRECTORY_COUNTER_MERGED,
    DIRECTORY_COUNTER_AUTHORED,
    DIRECTORY_COUNTER_DELAYED,
    DIRECTORY_COUNTER_REJECTED,
    DIRECTORY_COUNTER_MALFORMED,
    DIRECTORY_COUNTER_COUNT
};

/**
 * struct directory_service - see DOC
 * @extension: first member, put on the board
 * @settings: kept
 * @board: kept
 * @counters: kept
 * @handles: of the counters
 * @core: decisions; the control thread's
 * @table: published; read under RCU
 * @started: the control thread runs it; atomic
 * @start_us: when the first step was
 * @ready: see directory_service_ready(); atomic
 * @view_seq: view last taken
 * @config_version: text last taken
 * @conflicts: addresses claimed twice, as last logged
 * @malformed: messages that could not be read
 */
struct directory_service {
    struct extension extension;
    const struct settings *settings;
    struct board *board;
    struct counter_table *counters;
    int handles[DIRECTORY_COUNTER_COUNT];
    struct directory_core core;
    struct directory_table *table;
    bool started;
    bool ready;
    uint64_t start_us;
    uint64_t view_seq;
    uint64_t config_version;
    size_t conflicts;
    uint64_t malformed;
};

/**
 * directory_service_init() - register the counters, put it on the board
 *
 * Before control_start(). All pointers are kept.
 */
int
directory_service_init(struct directory_service *service,
                       const struct settings *settings, struct board *board,
                       struct counter_table *counters, struct error *err);

/**
 * directory_service_ready() - whether a balancer that just started may take
 * packets
 *
 * It waits for what others of its cell know of other cells, at most
 * DIRECTORY_READY_US. Any thread.
 */
bool
directory_service_ready(const struct directory_service *service);

/** directory_service_finish() - free it; after control_stop() and with no
 * reader left; a zeroed service is allowed */
void
directory_service_finish(struct directory_service *service);

#endif
