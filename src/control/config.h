/**
 * DOC: config - decides which configuration version is in force
 *
 * The CONFIG_READERS highest-ranked members of a cell each keep a watch on
 * the platform's object. The others learn of a version from the header of
 * member messages and fetch its body from the sender. Duplicate reads are
 * harmless, so readers hold no lease. Versions only increase.
 *
 * A confirmation is a platform reply that a version is current; its age is
 * sent along with the version. A member without a confirmation for
 * CONFIG_CONFIRM_TIMEOUT_US reads the platform itself. These self-reads are
 * spread so that a cell of any size makes one call per
 * CONFIG_SELF_READ_INTERVAL_US. A member whose self-read succeeds acts as a
 * substitute reader for CONFIG_SUBSTITUTE_US, and longer while no
 * confirmation arrives from other members.
 *
 * Pure logic: no sockets, threads or clocks.
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
/* A lost watch reply still leaves time to apply a change within 14 s. */
#define CONFIG_WATCH_TIMEOUT_S 5
/* Watches in a row without a change before a plain read, which finds a change
 * that a watch missed. */
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
#define CONFIG_CALL_RATE 1  /* platform calls per second */
#define CONFIG_CALL_BURST 5 /* platform calls */

/** enum config_action_type - actions for the control thread */
enum config_action_type {
    CONFIG_WATCH, /* watch the object for a version above @after */
    CONFIG_READ,  /* read the object */
    CONFIG_FETCH  /* fetch a version above @after from the member at @from */
};

/**
 * struct config_action - one action of config_tick()
 * @after: version in force, or a higher one that was refused
 * @from: CONFIG_FETCH: member to fetch from
 */
struct config_action {
    enum config_action_type type;
    uint64_t after;
    struct addr from;
};

/** struct config_actions - at most one platform call and one fetch */
struct config_actions {
    struct config_action items[2];
    size_t count;
};

/**
 * struct config_source - a member that advertises a newer version
 * @at: its control address
 * @version: version that it advertises
 * @confirmed_us: when it last had @version confirmed, 0 for never
 */
struct config_source {
    struct addr at;
    uint64_t version;
    uint64_t confirmed_us;
};

/** struct config_membership - position of this process in its cell */
struct config_membership {
    size_t rank;  /* live members that rank before it */
    size_t alive; /* live members, including this one */
    bool joined;
    bool has_contacts; /* it has addresses to join through */
};

/** struct config_stats - counts since config_core_init() */
struct config_stats {
    uint64_t calls;
    uint64_t failed_calls;
    uint64_t self_reads;
    uint64_t fetches;
    uint64_t failed_fetches;
    uint64_t stale;   /* platform replies with an older version */
    uint64_t refused; /* bodies that are not a valid configuration */
};

/**
 * struct config_core - see DOC
 * @have: version in force, 0 for none
 * @refused: highest version whose body is not a valid configuration
 * @confirmed_us: when @have was last confirmed as current, 0 for never
 * @platform_us: when the platform last replied to this process, 0 for never
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
    uint64_t backoff_us; /* 0: the last call succeeded */
    uint64_t next_call_us;
    unsigned unchanged_watches; /* watches in a row without a change */
    bool self_reading;          /* the pending call is a self-read */
    uint64_t self_read_us;      /* next self-read, 0: none due */
    uint64_t substitute_us;     /* end as substitute reader, 0: none */
    uint64_t peer_confirmed_us; /* last confirmation by other readers */
    struct config_source sources[CONFIG_SOURCES_MAX];
    size_t source_count;
    bool fetching;
    uint64_t fetch_us;
    struct config_stats stats;
};

/** config_core_init() - start without a version in force */
void
config_core_init(struct config_core *core, uint64_t seed, uint64_t now_us);

/** config_set_membership() - update rank and size of the cell */
void
config_set_membership(struct config_core *core,
                      const struct config_membership *membership);

/**
 * config_handle_peer_version() - handle the version that a member advertises
 * @from: control address of the member
 * @confirmed_age_ms: time since it had @version confirmed, UINT32_MAX: never
 */
void
config_handle_peer_version(struct config_core *core, struct addr from,
                           uint64_t version, uint32_t confirmed_age_ms,
                           uint64_t now_us);

/**
 * config_handle_platform_reply() - handle the end of a platform call
 * @status: as of struct platform_reply; 0 comes with a body
 *
 * Return: whether the body is newer and should be applied.
 */
bool
config_handle_platform_reply(struct config_core *core, int status,
                             uint64_t version, uint64_t now_us);

/** config_handle_fetch_reply() - handle the end of a fetch; @version is 0 for
 * a failure. Return: whether the body is newer and should be applied. */
bool
config_handle_fetch_reply(struct config_core *core, uint64_t version,
                          uint64_t now_us);

/** config_applied() - record that @version is in force; the platform confirmed
 * it at @confirmed_us, 0 if it came from a peer */
void
config_applied(struct config_core *core, uint64_t version,
               uint64_t confirmed_us);

/** config_refuse() - record that the body of @version is invalid */
void
config_refuse(struct config_core *core, uint64_t version);

/** config_is_reader() - whether this process reads the platform for others
 */
bool
config_is_reader(const struct config_core *core, uint64_t now_us);

/** config_tick() - collect the actions that are due in @out */
void
config_tick(struct config_core *core, uint64_t now_us,
            struct config_actions *out);

/** config_next_us() - when to call config_tick() next */
uint64_t
config_next_us(const struct config_core *core, uint64_t now_us);

#endif
