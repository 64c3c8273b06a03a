/**
 * DOC: estimate - how long a run takes and how long the queue lasts
 *
 * Run time: smoothed mean and mean deviation, forgotten when no run ended
 * for long, so that a bad moment can't lock everybody out. Queue: smoothed
 * time between two departures while somebody waits, which counts what peers
 * take too; until that has been seen, run time over slots.
 */
#ifndef SWIFTARCH_REQUEST_ESTIMATE_H
#define SWIFTARCH_REQUEST_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct estimate - estimates of one service at one agent
 * @runs: runs seen, up to a small bound
 * @run_us: mean run time, microseconds
 * @run_dev_us: mean deviation of it
 * @last_run_us: when the last run ended
 * @departures: departures seen lately, up to a small bound
 * @gap_us: mean time between departures
 * @gap_at_us: when that was last seen; forgotten a while later
 * @last_departure_us: time of the last one, 0 when the queue was empty since
 */
struct estimate {
    unsigned runs;
    double run_us;
    double run_dev_us;
    uint64_t last_run_us;
    unsigned departures;
    double gap_us;
    uint64_t gap_at_us;
    uint64_t last_departure_us;
};

/** estimate_run() - a run that took @took_us ended */
void
estimate_run(struct estimate *estimate, uint64_t took_us, uint64_t now_us);

/** estimate_departure() - a request left the queue to be run; @waiting are
 * left */
void
estimate_departure(struct estimate *estimate, unsigned waiting,
                   uint64_t now_us);

/** estimate_run_us() - mean time of a run, 0 if unknown */
uint64_t
estimate_run_us(const struct estimate *estimate, uint64_t now_us);

/** estimate_run_max_us() - time that most runs need, 0 if unknown */
uint64_t
estimate_run_max_us(const struct estimate *estimate, uint64_t now_us);

/** estimate_start_interval_us() - time between two starts out of a queue;
 * @slots are the slots that serve it as far as is known, those of idle peers
 * too */
uint64_t
estimate_start_interval_us(const struct estimate *estimate, double slots,
                           uint64_t now_us);

#endif
