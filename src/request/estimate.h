/**
 * DOC: estimate - estimates of run time and queue drain rate
 *
 * Run time: moving average and mean deviation, discarded when no run has ended
 * for a while, so that one bad period can't cause refusals for ever. Queue:
 * moving average of the time between departures while requests are queued,
 * including those sent to peers; before any departure, run time over slots.
 */
#ifndef SWIFTARCH_REQUEST_ESTIMATE_H
#define SWIFTARCH_REQUEST_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct estimate - estimates of one service at one agent
 * @runs: runs observed, up to a small limit
 * @run_us: average run time
 * @run_dev_us: mean deviation of @run_us
 * @last_run_us: time of the end of the last run
 * @departures: recent departures, up to a small limit
 * @gap_us: average time between departures
 * @gap_at_us: time of the last update of @gap_us, which expires
 * @last_departure_us: time of the last departure, 0 if the queue has been
 * empty since
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

/** estimate_run() - record a run that took @took_us */
void
estimate_run(struct estimate *estimate, uint64_t took_us, uint64_t now_us);

/** estimate_departure() - record a start from the queue; @waiting requests
 * remain */
void
estimate_departure(struct estimate *estimate, unsigned waiting,
                   uint64_t now_us);

/** estimate_run_us() - average run time, 0 if unknown */
uint64_t
estimate_run_us(const struct estimate *estimate, uint64_t now_us);

/** estimate_run_max_us() - run time that most runs stay below, 0 if unknown */
uint64_t
estimate_run_max_us(const struct estimate *estimate, uint64_t now_us);

/** estimate_start_interval_us() - time between two starts from the queue;
 * @slots are the local and idle peer slots that serve it */
uint64_t
estimate_start_interval_us(const struct estimate *estimate, double slots,
                           uint64_t now_us);

#endif
