/**
 * DOC: server - the stand-in platform: object API over HTTP with faults
 *
 * Serves the API of src/platform/platform.h, and for tests:
 *
 *   PUT /fault?mode=MODE&ms=N&count=N   MODE is a word of enum server_mode
 *   GET /stats                          JSON, see struct server_stats
 *
 * Each connection has a thread; a watch waits in it.
 */
#ifndef SWIFTARCH_STANDIN_SERVER_H
#define SWIFTARCH_STANDIN_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/error.h"
#include "standin/platform/store.h"

#define SERVER_READS_PER_S 2000
#define SERVER_WRITES_PER_S 500

/** enum server_mode - what goes wrong */
enum server_mode {
    SERVER_NONE,        /* "none" */
    SERVER_DOWN,        /* "down": connections are closed without an answer */
    SERVER_BUSY,        /* "busy": 503 */
    SERVER_SLOW,        /* "slow": each answer comes after @ms */
    SERVER_SLOW_WRITE,  /* "slow-write": the same for writes only */
    SERVER_LOSE_ANSWER, /* "lose-answer": writes take effect, no answer */
    SERVER_LOSE_WRITE,  /* "lose-write": writes vanish, no answer */
    SERVER_WATCH_ENDS,  /* "watch-ends": watches break off after @ms */
    SERVER_WATCH_SKIPS  /* "watch-skips": watches sleep through changes */
};

/**
 * struct server_fault - fault in force
 * @mode: what goes wrong
 * @ms: delay, milliseconds
 * @count: calls it strikes before it ends by itself, 0 for no end
 */
struct server_fault {
    enum server_mode mode;
    unsigned ms;
    unsigned count;
};

/**
 * struct server_stats - calls since the start
 * @reads: GETs that don't wait
 * @writes: PUTs
 * @watches: GETs that may wait
 * @calls: all of these
 * @refused: closed or 503 by a fault, 429 above the rates
 * @conflicts: 412 answers
 * @lost: answers lost by a fault
 * @watching: watches waiting now
 * @peak_calls_per_s: most calls begun in one second
 * @peak_reads_per_s: most reads and watches begun in one second
 * @peak_writes_per_s: most writes begun in one second
 */
struct server_stats {
    uint64_t reads;
    uint64_t writes;
    uint64_t watches;
    uint64_t calls;
    uint64_t refused;
    uint64_t conflicts;
    uint64_t lost;
    uint64_t watching;
    uint64_t peak_calls_per_s;
    uint64_t peak_reads_per_s;
    uint64_t peak_writes_per_s;
};

/**
 * struct server_second - calls of the running second
 * @second: which
 * @reads: reads and watches begun in it
 * @writes: writes begun in it
 */
struct server_second {
    uint64_t second;
    uint64_t reads;
    uint64_t writes;
};

/**
 * struct server - the running stand-in
 * @store: objects
 * @daemon: libmicrohttpd's
 * @lock: guards all that follows
 * @changed: told when an object, the fault or @stopping changes
 * @reads_per_s: above it reads get 429, 0 for no limit
 * @writes_per_s: the same for writes
 */
struct server {
    struct store store;
    struct MHD_Daemon *daemon;
    GMutex lock;
    GCond changed;
    bool stopping;
    struct server_fault fault;
    struct server_stats stats;
    struct server_second now;
    unsigned reads_per_s;
    unsigned writes_per_s;
};

/** server_init() - listen on @listen (port 0: the kernel's choice) and serve
 */
int
server_init(struct server *server, struct addr listen, struct error *err);

/** server_finish() - end all calls and free */
void
server_finish(struct server *server);

/** server_port() - port listened on */
uint16_t
server_port(const struct server *server);

/** server_set_fault() - put a fault in force at once */
void
server_set_fault(struct server *server, struct server_fault fault);

/** server_read_stats() - copy of the counts */
struct server_stats
server_read_stats(struct server *server);

/** server_parse_mode() - mode of a word; 0 or -EINVAL */
int
server_parse_mode(const char *word, enum server_mode *mode);

#endif
