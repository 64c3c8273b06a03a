/**
 * DOC: store_reader - how a balancer keeps up with the configuration
 * (decisions only)
 *
 * A read of the store's latest state costs ten times a stale read, and counts
 * against a rate limit that grows more slowly than the fleet. Only a few
 * balancers (the readers) therefore read the latest. The others watch with
 * stale reads. Agents tell them when another balancer has a newer
 * configuration, and they then read the latest once.
 *
 * There is no election. Every frame says whether its sender is a reader; each
 * agent counts the readers that it has heard from in the last second and
 * reports that count to every balancer, without the balancer itself. A
 * balancer that is reported of no reader for a window of half a second to a
 * second asks the witnesses, three agents that all balancers of its data
 * centre rank first, and becomes a reader unless one of them knows a reader;
 * if they know of one only, it becomes a reader with a small probability. When
 * there are more than three readers, each stops with a probability that leaves
 * three on average. A reader pings the witnesses so that they know of it, and
 * once when it stops. A reader that is dead, frozen or cut off sends no frames
 * and is no longer counted. A balancer that hears from no agent becomes a
 * reader, which costs calls only.
 *
 * While the store does not answer, only the readers retry often. The others
 * retry soon after an agent reports a reader that reaches the store.
 */
#ifndef SWIFTARCH_RELAY_STORE_STORE_READER_H
#define SWIFTARCH_RELAY_STORE_STORE_READER_H

#include <stdbool.h>
#include <stdint.h>

#include "relay/store/store.h"
#include "relay/wire/frame.h"

/**
 * struct store_reader - one balancer's part
 * @seed: differs between processes
 * @reading: it reads the latest
 * @others: most other readers, of either kind, that an agent reported of in
 * this window
 * @reported: the same of the window before, which decided on @reading
 * @heard_us: when an agent last reported of a reader, 0 for never
 * @asked: the witnesses were asked in this window
 * @stopped: it has stopped reading, and the witnesses aren't reported yet
 * @windows: windows that have ended
 * @window_us: when this window ends
 * @ping_us: when a reader pings the witnesses next
 * @newer: newest configuration that was reported of, while it isn't known here
 * @behind_us: since when it is known that there is one, 0 for never
 */
struct store_reader {
    uint64_t seed;
    bool reading;
    struct frame_readers others;
    struct frame_readers reported;
    uint64_t heard_us;
    bool asked;
    bool stopped;
    uint64_t windows;
    uint64_t window_us;
    uint64_t ping_us;
    struct frame_config_version newer;
    uint64_t behind_us;
};

/** store_reader_init() - no reader yet; @seed differs between processes */
void
store_reader_init(struct store_reader *reader, uint64_t seed, uint64_t now_us);

/**
 * store_reader_initial_mode() - how new the first read of the configuration
 * must be
 *
 * Of balancers that start together some, by draw, read the latest and tell the
 * others through agents; one that starts alone is reported by those that run.
 */
enum store_read_mode
store_reader_initial_mode(const struct store_reader *reader);

/**
 * store_reader_report() - an agent reported the other readers
 *
 * Return: whether a reader reaches the store again, after a second without a
 * report of one.
 */
bool
store_reader_report(struct store_reader *reader, struct frame_readers others,
                    uint64_t now_us);

/** store_reader_state() - what frames say of this balancer */
enum frame_reader_state
store_reader_state(const struct store_reader *reader, unsigned failures);

/** store_reader_notify_newer() - some balancer has a newer configuration */
void
store_reader_notify_newer(struct store_reader *reader,
                          const struct frame_config_version *newer,
                          uint64_t now_us);

/** store_reader_applied() - configuration @version is in force here */
void
store_reader_applied(struct store_reader *reader, uint64_t version);

/**
 * store_reader_tick() - end the window that is over
 * @failures: calls to the store that failed in a row
 *
 * Return: whether the witnesses are to be pinged now.
 */
bool
store_reader_tick(struct store_reader *reader, unsigned failures,
                  uint64_t now_us);

/** store_reader_next_us() - when store_reader_tick() or another answer of the
 * functions below is due */
uint64_t
store_reader_next_us(const struct store_reader *reader, uint64_t now_us);

/**
 * store_reader_next_mode() - how new the next read must be
 * @failures: calls to the store that failed in a row: until one succeeds, it
 *            is tried with the cheap ones
 */
enum store_read_mode
store_reader_next_mode(const struct store_reader *reader, unsigned failures,
                       uint64_t now_us);

/**
 * store_reader_is_current() - whether no newer configuration can have been in
 * force elsewhere for longer than a second or so
 *
 * It reads the latest, or was reported of others that do, and of no newer one.
 */
bool
store_reader_is_current(const struct store_reader *reader, unsigned failures,
                        uint64_t now_us);

/** store_reader_needs_peer() - whether the balancer that is known to have a
 * newer configuration is to be asked for it: the store can't be, or doesn't
 * say */
bool
store_reader_needs_peer(const struct store_reader *reader, unsigned failures,
                        uint64_t now_us);

#endif
