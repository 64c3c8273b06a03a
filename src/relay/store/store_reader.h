/**
 * DOC: store_reader - decides how a balancer follows the configuration
 *
 * A read of the store's latest state costs ten times a stale read, and counts
 * against a rate limit that grows more slowly than the fleet. Only a few
 * balancers (the readers) therefore read the latest. The others watch with
 * stale reads. Agents notify them when another balancer has a newer
 * configuration, and they then read the latest once.
 *
 * There is no election. Every frame carries whether its sender is a reader;
 * each agent counts the readers that it has received frames from in the last
 * second and reports that count to every balancer, without the balancer
 * itself. A balancer to which no reader is reported for a window of half a
 * second to a second pings the witnesses, three agents that all balancers of
 * its data centre rank first, and becomes a reader unless one of them reports
 * a reader; if they report only one, it becomes a reader with a small
 * probability. When there are more than three readers, each stops with a
 * probability that leaves three on average. A reader pings the witnesses so
 * that they count it, and once when it stops. A reader that is dead, frozen or
 * cut off sends no frames and is no longer counted. A balancer that receives
 * no frames from agents becomes a reader, which costs calls only.
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
 * struct store_reader - state of one balancer
 * @seed: differs between processes
 * @reading: this balancer is a reader
 * @others: highest numbers of other readers that an agent reported in this
 *          window
 * @reported: the same for the window before
 * @heard_us: when an agent last reported a reader that reaches the store, 0
 *            for never
 * @witnesses_queried: the witnesses were pinged in this window
 * @stopped: it has stopped reading and must still notify the witnesses
 * @windows: number of windows so far
 * @window_us: when this window ends
 * @ping_us: when a reader pings the witnesses next
 * @newer: newest configuration that was reported and isn't applied here
 * @behind_us: since when there is one, 0 for never
 */
struct store_reader {
    uint64_t seed;
    bool reading;
    struct frame_readers others;
    struct frame_readers reported;
    uint64_t heard_us;
    bool witnesses_queried;
    bool stopped;
    uint64_t windows;
    uint64_t window_us;
    uint64_t ping_us;
    struct frame_config_version newer;
    uint64_t behind_us;
};

/** store_reader_init() - starts as no reader; @seed differs between processes
 */
void
store_reader_init(struct store_reader *reader, uint64_t seed, uint64_t now_us);

/**
 * store_reader_initial_mode() - mode of the first read of the configuration
 *
 * Of balancers that start at the same time a random part reads the latest;
 * agents notify the others of newer configurations.
 */
enum store_read_mode
store_reader_initial_mode(const struct store_reader *reader);

/**
 * store_reader_report() - handles an agent's count of the other readers
 *
 * Return: whether a reader reaches the store again, after a second without a
 * report of one.
 */
bool
store_reader_report(struct store_reader *reader, struct frame_readers others,
                    uint64_t now_us);

/** store_reader_state() - state that frames carry; @failures counts
 * consecutive failed calls to the store */
enum frame_reader_state
store_reader_state(const struct store_reader *reader, unsigned failures);

/** store_reader_notify_newer() - another balancer has a newer configuration */
void
store_reader_notify_newer(struct store_reader *reader,
                          const struct frame_config_version *newer,
                          uint64_t now_us);

/** store_reader_applied() - this balancer has applied configuration @version
 */
void
store_reader_applied(struct store_reader *reader, uint64_t version);

/**
 * store_reader_tick() - ends a window that is due
 * @failures: consecutive failed calls to the store
 *
 * Return: whether to ping the witnesses now.
 */
bool
store_reader_tick(struct store_reader *reader, unsigned failures,
                  uint64_t now_us);

/** store_reader_next_us() - when store_reader_tick() is due or the result of
 * store_reader_next_mode() or store_reader_needs_peer() may change */
uint64_t
store_reader_next_us(const struct store_reader *reader, uint64_t now_us);

/**
 * store_reader_next_mode() - mode of the next read
 * @failures: consecutive failed calls to the store; after a failure stale
 *            reads are used until one succeeds
 */
enum store_read_mode
store_reader_next_mode(const struct store_reader *reader, unsigned failures,
                       uint64_t now_us);

/**
 * store_reader_is_current() - whether no newer configuration can have been in
 * force elsewhere for much longer than a second
 *
 * True if this balancer is a reader that reaches the store, or others were
 * reported within the last second, and no newer configuration was reported.
 */
bool
store_reader_is_current(const struct store_reader *reader, unsigned failures,
                        uint64_t now_us);

/** store_reader_needs_peer() - whether to fetch a newer configuration from the
 * balancer that holds it, because the store doesn't answer or hasn't returned
 * it in time */
bool
store_reader_needs_peer(const struct store_reader *reader, unsigned failures,
                        uint64_t now_us);

#endif
