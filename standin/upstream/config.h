/**
 * DOC: config - settings of the stand-in upstream (JSON, checked)
 */
#ifndef SWIFTARCH_STANDIN_UPSTREAM_CONFIG_H
#define SWIFTARCH_STANDIN_UPSTREAM_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include "base/addr.h"

#define CONFIG_NAME_MAX 64
#define CONFIG_PATH_MAX 256

/** enum fault - what the upstream does wrong */
enum fault {
    FAULT_NONE,
    FAULT_DOUBLE, /* answers twice on one connection */
    FAULT_SHORT,  /* cuts its answers */
    FAULT_LATE,   /* answers after the deadline, also when cancelled */
    FAULT_REFUSE, /* sheds every request */
    FAULT_SLOW,   /* takes slow_factor times as long */
    FAULT_LIE     /* slow, and says it is ready and idle */
};

/**
 * struct config - the settings
 * @listen: address of HTTP and of the UDP echo ("listen")
 * @agent: the agent's HTTP address ("agent")
 * @name: endpoint name in the record ("name")
 * @service: name of its service ("service")
 * @slots: requests it runs at once ("slots", default 2)
 * @queue: requests that may wait beyond them ("queue", default 0)
 * @mean_ms: mean service time ("service_ms.mean", default 20)
 * @sigma: of its logarithm ("service_ms.sigma", default 0.3)
 * @record: file of JSON lines, or empty ("record")
 * @seed: of the service times ("seed", default 1)
 * @draining: begins in state draining ("state", ready or draining)
 * @warming_s: says warming for so long ("warming_s", default 0)
 * @drain_after_s: drains by itself after so long, 0 never ("drain_after_s")
 * @fault: "fault", default none
 * @fault_share: share of requests it hits ("fault_share", default 1)
 * @slow_factor: "slow_factor", default 10
 */
struct config {
    struct addr listen;
    struct addr agent;
    char name[CONFIG_NAME_MAX];
    char service[CONFIG_NAME_MAX];
    unsigned slots;
    unsigned queue;
    double mean_ms;
    double sigma;
    char record[CONFIG_PATH_MAX];
    uint64_t seed;
    bool draining;
    double warming_s;
    double drain_after_s;
    enum fault fault;
    double fault_share;
    double slow_factor;
};

/** config_load() - read and check @path; faults are printed to stderr.
 * 0 or -EINVAL */
int
config_load(struct config *config, const char *path);

#endif
