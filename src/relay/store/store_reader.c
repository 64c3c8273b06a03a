#include "relay/store/store_reader.h"

#include <glib.h>

#include "base/clock.h"
#include "base/hash.h"

/* Readers that a data centre should have. One may be cut off from the store
 * without a sign until its connection's probes fail, 3 s later; both at once
 * is rare, and then the cheap reads bring the change all the same. */
#define READERS_MIN 2

/* Of more than this so many go on, by chance. Up to it nobody stops: each
 * change of parts costs calls, and a chance may leave too few. */
#define READERS_MAX 3

/* How long a balancer listens before it takes part or stops, and by how much
 * that differs between balancers, so that one should_start before all others
 * have seen that nobody reads. Agents hear from a balancer with each packet,
 * some ten times in that time on the least busy hosts measured. */
#define WINDOW_US (500 * USEC_PER_MSEC)
#define WINDOW_JITTER_US (500 * USEC_PER_MSEC)

/* How long witnesses have to answer: several trips between data centres, and
 * the wait for its turn of a host with a fortieth of a core. */
#define WITNESS_TIMEOUT_US (100 * USEC_PER_MSEC)

/* A reader tells the witnesses this often: agents count those that they heard
 * from in the last second, and one datagram may be lost. */
#define WITNESS_PING_US (400 * USEC_PER_MSEC)

/* When there are too few but some, one balancer in this many should_start at
 * the end of its window: all at once would be many. Data centres have some 20.
 */
#define START_ONE_IN 16

/* One in so many balancers that start reads the latest at once. */
#define FIRST_ONE_IN 4

/* A cheap watch tells within this time of a change as a rule; past it, the
 * latest is read. A tenth of the shortest bound that operators set. */
#define LATEST_READ_DELAY_US (300 * USEC_PER_MSEC)

/* A read of the latest takes some milliseconds; past this the store is slow
 * or away, and the balancer that has the configuration is asked. */
#define QUERY_AFTER_US (600 * USEC_PER_MSEC)

/* How much sooner some ask, by balancer: those that ask later ask those that
 * have asked. */
#define PEER_JITTER_US (250 * USEC_PER_MSEC)

/* How long an agent's word that somebody reads the latest counts: it would
 * have reported of a newer configuration with the same word. */
#define REPORT_TTL_US (1 * USEC_PER_SEC)

static void
begin_window(struct store_reader *reader, uint64_t now_us)
{
    uint64_t spread =
        hash_pair(reader->seed, reader->windows) % WINDOW_JITTER_US;

    reader->reported = reader->others;
    reader->others = (struct frame_readers){0};
    reader->asked = false;
    reader->windows++;
    reader->window_us = now_us + WINDOW_US + spread;
}

static bool
is_behind(const struct store_reader *reader)
{
    return reader->behind_us != 0;
}

static bool
behind_for(const struct store_reader *reader, uint64_t us, uint64_t now_us)
{
    return is_behind(reader) && now_us - reader->behind_us >= us;
}

static uint64_t
peer_delay_us(const struct store_reader *reader)
{
    return QUERY_AFTER_US -
           hash_pair(reader->seed, reader->newer.version) % PEER_JITTER_US;
}

/* A chance that comes out true @part times in @whole. */
static bool
chance(const struct store_reader *reader, unsigned part, unsigned whole)
{
    return hash_pair(reader->windows, reader->seed) % whole < part;
}

/* Other readers that count: one that can't reach the store leaves the part to
 * those that can, and shares it with those that can't either. */
static unsigned
count_other_readers(const struct store_reader *reader, unsigned failures)
{
    return failures == 0 ? reader->others.reading
                         : reader->others.reading + reader->others.trying;
}

/* An agent knows of the readers that spoke to it in the last second, which in
 * a large data centre are few of them: only what witnesses tell says that
 * there are too few. */
static bool
should_start(const struct store_reader *reader, unsigned failures)
{
    unsigned others = count_other_readers(reader, failures);

    return others == 0 || (reader->asked && others < READERS_MIN &&
                           chance(reader, 1, START_ONE_IN));
}

static bool
should_continue(const struct store_reader *reader, unsigned failures)
{
    unsigned others = count_other_readers(reader, failures);

    if (failures > 0 && reader->others.reading > 0) {
        return false;
    }
    return others < READERS_MAX || chance(reader, READERS_MAX, others + 1);
}

void
store_reader_init(struct store_reader *reader, uint64_t seed, uint64_t now_us)
{
    *reader = (struct store_reader){.seed = seed};
    begin_window(reader, now_us);
}

enum store_read_mode
store_reader_initial_mode(const struct store_reader *reader)
{
    return reader->reading || hash_pair(reader->seed, 0) % FIRST_ONE_IN == 0
               ? STORE_READ_LATEST
               : STORE_READ_STALE;
}

bool
store_reader_report(struct store_reader *reader, struct frame_readers others,
                    uint64_t now_us)
{
    bool known =
        reader->heard_us != 0 && now_us - reader->heard_us < REPORT_TTL_US;

    reader->others.reading = MAX(reader->others.reading, others.reading);
    reader->others.trying = MAX(reader->others.trying, others.trying);
    if (others.reading == 0) {
        return false;
    }
    reader->heard_us = now_us;
    return !known;
}

enum frame_reader_state
store_reader_state(const struct store_reader *reader, unsigned failures)
{
    if (!reader->reading) {
        return FRAME_READER_NONE;
    }
    return failures == 0 ? FRAME_READER_READING : FRAME_READER_TRYING;
}

void
store_reader_notify_newer(struct store_reader *reader,
                          const struct frame_config_version *newer,
                          uint64_t now_us)
{
    if (newer->version < reader->newer.version) {
        return;
    }
    /* Another that has the same may answer where the one before didn't. */
    reader->newer = *newer;
    if (!is_behind(reader)) {
        reader->behind_us = now_us;
    }
}

void
store_reader_applied(struct store_reader *reader, uint64_t version)
{
    if (version >= reader->newer.version) {
        reader->newer = (struct frame_config_version){0};
        reader->behind_us = 0;
    }
}

/* The window is over: who reads in the next. */
static void
end_window(struct store_reader *reader, unsigned failures, uint64_t now_us)
{
    bool was_reading = reader->reading;

    reader->reading = was_reading ? should_continue(reader, failures)
                                  : should_start(reader, failures);
    if (reader->reading && !was_reading) {
        reader->ping_us = now_us;
    }
    /* Or others count it until the second is over, and stop too. */
    reader->stopped = was_reading && !reader->reading;
    begin_window(reader, now_us);
}

/* Whether the witnesses are asked before the balancer begins to read. */
static bool
must_query_witnesses(const struct store_reader *reader, unsigned failures)
{
    return !reader->reading && !reader->asked &&
           count_other_readers(reader, failures) < READERS_MIN;
}

bool
store_reader_tick(struct store_reader *reader, unsigned failures,
                  uint64_t now_us)
{
    if (now_us >= reader->window_us) {
        if (must_query_witnesses(reader, failures)) {
            reader->asked = true;
            reader->window_us = now_us + WITNESS_TIMEOUT_US;
            return true;
        }
        end_window(reader, failures, now_us);
    }
    if (reader->reading && now_us >= reader->ping_us) {
        reader->ping_us = now_us + WITNESS_PING_US;
        return true;
    }
    if (reader->stopped) {
        reader->stopped = false;
        return true;
    }
    return false;
}

uint64_t
store_reader_next_us(const struct store_reader *reader, uint64_t now_us)
{
    uint64_t next_us = reader->window_us;
    uint64_t after_us = reader->behind_us;

    if (reader->reading && reader->ping_us < next_us) {
        next_us = reader->ping_us;
    }
    if (!is_behind(reader)) {
        return next_us;
    }
    after_us += now_us < reader->behind_us + LATEST_READ_DELAY_US
                    ? LATEST_READ_DELAY_US
                    : peer_delay_us(reader);
    return after_us > now_us && after_us < next_us ? after_us : next_us;
}

enum store_read_mode
store_reader_next_mode(const struct store_reader *reader, unsigned failures,
                       uint64_t now_us)
{
    if (failures > 0) {
        return STORE_READ_STALE;
    }
    return reader->reading || behind_for(reader, LATEST_READ_DELAY_US, now_us)
               ? STORE_READ_LATEST
               : STORE_READ_STALE;
}

bool
store_reader_is_current(const struct store_reader *reader, unsigned failures,
                        uint64_t now_us)
{
    bool reads = reader->reading && failures == 0;
    bool reported =
        reader->heard_us != 0 && now_us - reader->heard_us < REPORT_TTL_US;

    return !is_behind(reader) && (reads || reported);
}

bool
store_reader_needs_peer(const struct store_reader *reader, unsigned failures,
                        uint64_t now_us)
{
    return is_behind(reader) &&
           (failures > 0 || behind_for(reader, peer_delay_us(reader), now_us));
}
