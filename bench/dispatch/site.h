/**
 * DOC: site - one site's engines under a seeded load, without processes
 *
 * Engines, an upstream model with slots and service times, messages that
 * take 1 ms, views that are 2 s late. The same seed gives the same requests
 * under every policy.
 */
#ifndef SWIFTARCH_BENCH_DISPATCH_SITE_H
#define SWIFTARCH_BENCH_DISPATCH_SITE_H

#include <glib.h>

#include "request/engine.h"

#define SITE_SERVICES 2

/** enum site_condition - what goes wrong */
enum site_condition {
    SITE_PLAIN,
    SITE_FALSE_REPORT, /* an endpoint reports idle and takes four times as long
                        */
    SITE_COLD,         /* two endpoints start cold, a third of the way in */
    SITE_DRAIN,        /* an endpoint drains then; its flows stay */
    SITE_CONDITIONS
};

/**
 * struct site_service - a service of a site
 * @name: for the table
 * @endpoints: upstreams, two slots each
 * @class: as configured
 * @lowered: share of its requests that a Priority header makes ordinary
 * @run_us: mean service time
 * @left_us: deadline of urgent requests, after arrival
 */
struct site_service {
    const char *name;
    unsigned endpoints;
    enum text_class class;
    double lowered;
    double run_us;
    uint64_t left_us;
};

/** struct site - a site */
struct site {
    const char *name;
    struct site_service services[SITE_SERVICES];
};

/** struct site_case - one run */
struct site_case {
    const struct site *site;
    enum engine_policy policy;
    enum site_condition condition;
    double load;
    guint32 seed;
    unsigned seconds;
};

/**
 * struct site_result - what came of it
 * @imbalance: busiest over mean busy share of an endpoint, by service
 * @useful: share of slot time spent on answers in time, by service
 * @requests: by class
 * @answered: in time, by class
 * @refused: not run, by class
 * @refused_late: of those, more than 10 ms after arrival, by class
 * @missed: no answer by the deadline, or unknown, by class
 * @urgent_behind: urgent requests not answered while ordinary ones of the
 *                 service waited at some agent
 * @p50_us: median time to the answer, by class
 * @p99_us: 99th percentile, by class
 * @messages: between engines
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

/** site_dar, site_perth - the sites of today */
extern const struct site site_dar;
extern const struct site site_perth;

/** site_run() - run one case */
struct site_result
site_run(const struct site_case *run);

#endif
