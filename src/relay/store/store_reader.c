#include "relay/store/store_reader.h"

#include <glib.h>

#include "base/clock.h"
#include "base/hash.h"

/* Fewer readers than this cause others to start. One may be cut off from the
 * store without an error until its connection's keepalive fails, 3 s later. */
#define READERS_MIN 2

/* With more readers than this, each stops at random so that this many remain
 * on average. Up to it none stops, as a random choice may leave too few. */
#define READERS_MAX 3

/* Shortest window, and its variation between balancers: one should start
 * before all others find that there is no reader. Agents receive several
 * frames of each balancer within a window. */
#define WINDOW_US (500 * USEC_PER_MSEC)
#define WINDOW_JITTER_US (500 * USEC_PER_MSEC)

/* Time for witnesses to answer: several round trips between data centres and
 * the scheduling delay of a small host. */
#define WITNESS_TIMEOUT_US (100 * USEC_PER_MSEC)

/* Interval of a reader's pings to the witnesses. Agents count readers of the
 * last second; one datagram may be lost. */
#define WITNESS_PING_US (400 * USEC_PER_MSEC)

/* With too few readers, but at least one, one balancer in this many starts at
 * the end of its window. Data centres have about 20. */
#define START_ONE_IN 16

/* One in this many balancers reads the latest when it starts. */
#define INITIAL_LATEST_ONE_IN 4

/* Time for a stale watch to return a change before the latest is read; a tenth
 * of the shortest time that operators allow for a change. */
#define LATEST_READ_DELAY_US (300 * USEC_PER_MSEC)

/* Time after which a newer configuration is fetched from a peer: the store is
 * slow or down, as a read takes milliseconds. */
#define PEER_QUERY_DELAY_US (600 * USEC_PER_MSEC)

/* Balancers fetch up to this much earlier, so that late ones find more peers
 * that have the configuration. */
#define PEER_QUERY_JITTER_US (250 * USEC_PER_MSEC)

/* Time for which an agent's report of a reader is valid. The agent would have
 * reported a newer configuration in the same frame. */
#define REPORT_TTL_US (1 * USEC_PER_SEC)

static void
begin_window(struct store_reader *reader, uint64_t now_us)
{
    uint64_t jitter_us =
        hash_pair(reader->seed, reader->windows) % WINDOW_JITTER_US;

    reader->reported = reader->others;
    reader->others = (struct frame_readers){0};
    reader->witnesses_queried = false;
    reader->windows++;
    reader->window_us = now_us + WINDOW_US + jitter_us;
}

static bool
is_behind(const struct store_reader *reader)
{
    return reader->behind_us != 0;
}

static bool
is_behind_for(const struct store_reader *reader, uint64_t us, uint64_t now_us)
{
    return is_behind(reader) && now_us - reader->behind_us >= us;
}

static uint64_t
peer_delay_us(const struct store_reader *reader)
{
    return PEER_QUERY_DELAY_US -
           hash_pair(reader->seed, reader->newer.version) %
               PEER_QUERY_JITTER_US;
}

/* A random choice, the same within a window: true with probability @numerator
 * / @denominator. */
static bool
random_choice(const struct store_reader *reader, unsigned numerator,
              unsigned denominator)
{
    return hash_pair(reader->windows, reader->seed) % denominator < numerator;
}

/* Other readers that do the work. A balancer that can't reach the store
 * doesn't start or continue while others reach it; those that can't reach it
 * either count too. */
static unsigned
count_other_readers(const struct store_reader *reader, unsigned failures)
{
    return failures == 0 ? reader->others.reading
                         : reader->others.reading + reader->others.trying;
}

/* An ordinary agent counts only the few readers that send it packets, so only
 * the witnesses can report that there are too few. */
static bool
should_start(const struct store_reader *reader, unsigned failures)
{
    unsigned others = count_other_readers(reader, failures);

    return others == 0 || (reader->witnesses_queried && others < READERS_MIN &&
                           random_choice(reader, 1, START_ONE_IN));
}

static bool
should_continue(const struct store_reader *reader, unsigned failures)
{
    unsigned others = count_other_readers(reader, failures);

    if (failures > 0 && reader->others.reading > 0) {
        return false;
    }
    return others < READERS_MAX ||
           random_choice(reader, READERS_MAX, others + 1);
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
    return reader->reading ||
                   hash_pair(reader->seed, 0) % INITIAL_LATEST_ONE_IN == 0
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
    /* Another holder of the same version may answer where the first didn't. */
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

/* Decides whether this balancer is a reader in the next window. */
static void
end_window(struct store_reader *reader, unsigned failures, uint64_t now_us)
{
    bool was_reading = reader->reading;

    reader->reading = was_reading ? should_continue(reader, failures)
                                  : should_start(reader, failures);
    if (reader->reading && !was_reading) {
        reader->ping_us = now_us;
    }
    /* Else agents would count it for another second, and more readers than
     * needed might stop. */
    reader->stopped = was_reading && !reader->reading;
    begin_window(reader, now_us);
}

/* Whether to ping the witnesses before deciding to become a reader. */
static bool
must_query_witnesses(const struct store_reader *reader, unsigned failures)
{
    return !reader->reading && !reader->witnesses_queried &&
           count_other_readers(reader, failures) < READERS_MIN;
}

bool
store_reader_tick(struct store_reader *reader, unsigned failures,
                  uint64_t now_us)
{
    if (now_us >= reader->window_us) {
        if (must_query_witnesses(reader, failures)) {
            reader->witnesses_queried = true;
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
    return reader->reading ||
                   is_behind_for(reader, LATEST_READ_DELAY_US, now_us)
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
           (failures > 0 ||
            is_behind_for(reader, peer_delay_us(reader), now_us));
}
