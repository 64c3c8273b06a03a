/**
 * DOC: health - what traffic shows of one upstream
 *
 * Lost, cut and unreached runs in a row shun an upstream for a while, each
 * time longer; then one request tries it. Whole answers, also errors, are
 * no failure: an upstream that says 500 because something it depends on
 * fails is working. Whether an upstream may be shunned at all is up to the
 * caller, who knows how many others are left.
 */
#ifndef SWIFTARCH_REQUEST_HEALTH_H
#define SWIFTARCH_REQUEST_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#define HEALTH_FAILURES_MAX 3

/**
 * struct health - one upstream
 * @failures: in a row
 * @ejections: times shunned without an answer in between
 * @ejected_until_us: gets nothing before
 * @trial: shunned until lately: one request at a time
 * @run_us: smoothed time of runs sent there, 0 if none
 */
struct health {
    unsigned failures;
    unsigned ejections;
    uint64_t ejected_until_us;
    bool trial;
    uint64_t run_us;
};

/** health_answered() - a whole answer came after @took_us */
void
health_answered(struct health *health, uint64_t took_us);

/** health_failed() - a run was lost, cut or not begun; true when the
 * upstream should be shunned */
bool
health_failed(struct health *health);

/** health_eject() - give it nothing for a while */
void
health_eject(struct health *health, uint64_t now_us);

/** health_is_ejected() - whether it gets nothing now */
bool
health_is_ejected(const struct health *health, uint64_t now_us);

#endif
