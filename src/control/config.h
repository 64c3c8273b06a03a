/**
 * DOC: config - which configuration version is in force here, a pure core
 *
 * The CONFIG_READERS highest-ranked members of a cell keep one watch each on
 * the platform's object; all others hear of a version in the header of each
 * member message and fetch its body from whoever said so. Reading twice is
 * harmless, so no lease is needed. Versions only go up.
 *
 * The word on a version is the platform's answer that it is current; its age
 * travels with the version. A member without a word for
 * CONFIG_CONFIRM_TIMEOUT_US reads by itself, at times spread so that a whole
 * cell that starves makes one call each CONFIG_SELF_READ_INTERVAL_US, whatever
 * its size. Who succeeds goes on as a substitute reader for
 * CONFIG_SUBSTITUTE_US, and again while no word comes from another.
 */
#ifndef SWIFTARCH_CONTROL_CONFIG_H
#define SWIFTARCH_CONTROL_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/clock.h"
#include "control/bucket.h"
#include "control/random.h"

#define CONFIG_READERS 2
/* Half of the 14 s allowed: a watch whose answer is lost ends in time. */
#define CONFIG_WATCH_TIMEOUT_S 5
/* A read after so many watches that told nothing, should they have slept
 * through a change. */
#define CONFIG_WATCHES_PER_READ 2
#define CONFIG_CALL_TIMEOUT_US ((CONFIG_WATCH_TIMEOUT_S + 5) * USEC_PER_SEC)
#define CONFIG_CONFIRM_TIMEOUT_US (12 * USEC_PER_SEC)
#define CONFIG_SELF_READ_INTERVAL_US (5 * USEC_PER_SEC)
#define CONFIG_SUBSTITUTE_US (60 * USEC_PER_SEC)
#define CONFIG_PEER_MARGIN_US (1 * USEC_PER_SEC)
#define CONFIG_START_DELAY_US (3 * USEC_PER_SEC)
#define CONFIG_START_JITTER_US (10 * USEC_PER_SEC)
#define CONFIG_ISOLATED_INTERVAL_US (15 * USEC_PER_SEC)
#define CONFIG_BACKOFF_FIRST_US (500 * USEC_PER_MSEC)
#define CONFIG_BACKOFF_MAX_US (10 * USEC_PER_SEC)
#define CONFIG_FETCH_TIMEOUT_US (1 * USEC_PER_SEC)
#define CONFIG_SOURCES_MAX 4
#define CONFIG_CALL_RATE 1 /* platform calls a second, at most */
#define CONFIG_CALL_BURST 5

/** enum config_action_type - what the program must do */
enum config_action_type {
    CONFIG_WATCH, /* watch the object for a version above @after */
    CONFIG_READ,  /* read the object */
    CONFIG_FETCH  /* ask the member at @from for a version above @after */
};

/** struct config_action - one action */
struct config_action {
    enum config_action_type type;
    uint64_t after;
    struct addr from;
};

/** struct config_actions - at most one platform call and one fetch a time */
struct config_actions {
    struct config_action items[2];
    size_t count;
};

/**
 * struct config_source - a member that said it has a version
 * @confirmed_us: when it last knew the version to be current, 0 for never
 */
struct config_source {
    struct addr at;
    uint64_t version;
    uint64_t confirmed_us;
};

/** struct config_membership - where this process stands in its cell */
struct config_membership {
    size_t rank;  /* members alive that rank before it */
    size_t alive; /* members alive, self included */
    bool joined;
    bool has_contacts; /* it was told of others */
};

/** struct config_stats - counts since the start */
struct config_stats {
    uint64_t calls;
    uint64_t failed_calls;
    uint64_t self_reads;
    uint64_t fetches;
    uint64_t failed_fetches;
    uint64_t stale; /* answers with an older version */
    uint64_t refused;
};

/**
 * struct config_core - see DOC
 * @have: version in force, 0 for none
 * @refused: highest version whose body was no valid text
 * @confirmed_us: when @have was last known to be current, 0 for never
 * @platform_us: when the platform last answered this process, 0 for never
 * @membership: membership in the cell
 */
struct config_core {
    uint64_t have;
    uint64_t refused;
    uint64_t confirmed_us;
    uint64_t platform_us;
    struct config_membership membership;
    struct random random;
    struct bucket calls;
    uint64_t start_us;
    bool calling;
    uint64_t call_us;
    uint64_t backoff_us; /* 0: the last call was answered */
    uint64_t next_call_us;
    unsigned unchanged_watches; /* watches in a row that told nothing */
    bool self_reading;          /* the call is one of a starving member */
    uint64_t self_read_us;      /* 0: not starving */
    uint64_t substitute_us;     /* 0: no substitute reader */
    uint64_t peer_confirmed_us; /* last word that came from other readers */
    struct config_source sources[CONFIG_SOURCES_MAX];
    size_t source_count;
    bool fetching;
    uint64_t fetch_us;
    struct config_stats stats;
};

/** config_core_init() - nothing in force yet */
void
config_core_init(struct config_core *core, uint64_t seed, uint64_t now_us);

/** config_set_membership() - the list of members changed */
void
config_set_membership(struct config_core *core,
                      const struct config_membership *membership);

/** config_handle_peer_version() - member at @from has @version, confirmed so
 * long ago
 * (@confirmed_age_ms UINT32_MAX: never) */
void
config_handle_peer_version(struct config_core *core, struct addr from,
                           uint64_t version, uint32_t confirmed_age_ms,
                           uint64_t now_us);

/**
 * config_handle_platform_reply() - the platform call ended
 * @status: as of struct platform_reply; 0 comes with a body
 *
 * Return: whether the body is newer and should be read.
 */
bool
config_handle_platform_reply(struct config_core *core, int status,
                             uint64_t version, uint64_t now_us);

/** config_handle_fetch_reply() - a fetch ended; @version 0 for a failure.
 * Return: whether the body is newer and should be read. */
bool
config_handle_fetch_reply(struct config_core *core, uint64_t version,
                          uint64_t now_us);

/** config_applied() - @version is in force now; the platform confirmed it at
 * @confirmed_us, 0 if it came from a peer */
void
config_applied(struct config_core *core, uint64_t version,
               uint64_t confirmed_us);

/** config_refuse() - the body of @version is no valid text */
void
config_refuse(struct config_core *core, uint64_t version);

/** config_is_reader() - whether this process reads the platform for others
 */
bool
config_is_reader(const struct config_core *core, uint64_t now_us);

/** config_tick() - do what is due */
void
config_tick(struct config_core *core, uint64_t now_us,
            struct config_actions *out);

/** config_next_us() - when config_tick() may have something to do */
uint64_t
config_next_us(const struct config_core *core, uint64_t now_us);

#endif
