/**
 * DOC: service - runs the directory in a process
 *
 * An extension of the control thread: it runs the core, sends its messages
 * and publishes a table that the packet workers read under RCU.
 */
#ifndef SWIFTARCH_DIRECTORY_SERVICE_H
#define SWIFTARCH_DIRECTORY_SERVICE_H

#include <stdbool.h>

#include "base/counter.h"
#include "base/error.h"
#include "base/settings.h"
#include "control/blackboard.h"
#include "control/extension.h"
#include "directory/directory.h"
#include "directory/table.h"

/* Maximum wait of a starting balancer for its peers' entries */
#define DIRECTORY_READY_US (5 * USEC_PER_SEC)

/** enum directory_counter - indices of directory_service.handles */
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
 * struct directory_service - directory of one process
 * @extension: callbacks for the control thread
 * @settings: process settings
 * @blackboard: source of views and configurations
 * @counters: table of the counters
 * @handles: counter handles
 * @core: protocol state; used by the control thread only
 * @table: published table or NULL; read under RCU
 * @started: whether the control thread has started the core; atomic
 * @start_us: time of the first step
 * @ready: see directory_service_ready(); atomic
 * @view_seq: sequence number of the view last loaded
 * @config_version: version of the configuration last loaded
 * @conflicts: addresses claimed by several cells, as last logged
 * @malformed: messages that could not be decoded
 */
struct directory_service {
    struct extension extension;
    const struct settings *settings;
    struct blackboard *blackboard;
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
 * directory_service_init() - register the counters and the extension
 *
 * Must be called before control_start(). Keeps all pointers but @err.
 *
 * Return: 0 or a negative errno with @err filled.
 */
int
directory_service_init(struct directory_service *service,
                       const struct settings *settings,
                       struct blackboard *blackboard,
                       struct counter_table *counters, struct error *err);

/**
 * directory_service_ready() - whether a starting balancer may receive packets
 *
 * True once a peer's entries are received, after DIRECTORY_READY_US, or if the
 * balancer has no peers. May be called on any thread.
 */
bool
directory_service_ready(const struct directory_service *service);

/** directory_service_finish() - free the service after control_stop(), when no
 * reader is left; a zeroed service is allowed */
void
directory_service_finish(struct directory_service *service);

#endif
