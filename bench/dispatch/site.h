/**
 * DOC: site - simulated engines of one data centre under a seeded load
 *
 * Upstreams are modelled by slots and service times. Messages take 1 ms, views
 * are 2 s old. A seed gives the same requests under every policy.
 */
#ifndef SWIFTARCH_BENCH_DISPATCH_SITE_H
#define SWIFTARCH_BENCH_DISPATCH_SITE_H

#include <glib.h>

#include "request/engine.h"

#define SITE_SERVICES 2

/** enum site_condition - fault during the run */
enum site_condition {
    SITE_PLAIN,
    SITE_FALSE_REPORT, /* an endpoint reports idle and is slow */
    SITE_COLD,         /* two endpoints start cold after a third of the run */
    SITE_DRAIN,        /* an endpoint drains after a third; its flows stay */
    SITE_CONDITIONS
};

/**
 * struct site_service - service of a data centre
 * @name: name in the table
 * @endpoints: number of upstreams, with two slots each
 * @class: configured class
 * @lowered: share of its requests that a Priority field makes ordinary
 * @run_us: mean service time
 * @left_us: deadline of urgent requests, from arrival
 */
struct site_service {
    const char *name;
    unsigned endpoints;
    enum service_config_class class;
    double lowered;
    double run_us;
    uint64_t left_us;
};

/** struct site - simulated data centre */
struct site {
    const char *name;
    struct site_service services[SITE_SERVICES];
};

/** struct site_case - parameters of one run */
struct site_case {
    const struct site *site;
    enum engine_policy policy;
    enum site_condition condition;
    double load;
    guint32 seed;
    unsigned seconds;
};

/**
 * struct site_result - result of one run
 * @imbalance: highest over mean busy share of an endpoint, by service
 * @useful: share of slot time spent on answers in time, by service
 * @requests: by class
 * @answered: answered in time, by class
 * @refused: not run, by class
 * @refused_late: refused more than 10 ms after arrival, by class
 * @missed: unknown or not answered by the deadline, by class
 * @urgent_behind: unanswered urgent requests while ordinary ones of the
 *   service were queued at some agent
 * @p50_us: median time to answer, by class
 * @p99_us: 99th percentile of it, by class
 * @messages: messages between engines
 */
struct site_result {
    double imbalance[SITE_SERVICES];
    double useful[SITE_SERVICES];
    uint64_t requests[2];
    uint64_t answered[2];
    uint64_t refused[2];
    uint64_t refused_late[2];
    uint64_t missed[2];
    uint64_t urgent_behind;
    uint64_t p50_us[2];
    uint64_t p99_us[2];
    uint64_t messages;
};

/** site_dar, site_perth - data centres to simulate */
extern const struct site site_dar;
extern const struct site site_perth;

/** site_run() - simulate one case */
struct site_result
site_run(const struct site_case *run);

#endif
