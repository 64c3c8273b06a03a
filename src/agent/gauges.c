#include "agent/gauges.h"

#include <stdio.h>
#include <unistd.h>

#include "agent/program.h"

/* Resident memory from /proc, so that one page tells what an agent costs. */
static uint64_t
resident_bytes(void)
{
    unsigned long size = 0;
    unsigned long resident = 0;
    FILE *file = fopen("/proc/self/statm", "re");

    if (file == NULL) {
        return 0;
    }
    if (fscanf(file, "%lu %lu", &size, &resident) != 2) { // NOLINT
        resident = 0;
    }
    fclose(file);
    return (uint64_t)resident * (uint64_t)sysconf(_SC_PAGESIZE);
}

void
gauges_set(struct agent *agent)
{
    const struct front_stats *stats = &agent->front.stats;
    struct counter_table *counters = &agent->counters;
    const int *gauges = agent->gauges.handles;
    size_t embryos = 0;

    pthread_mutex_lock(&agent->flow_lock);
    size_t flows = flow_count(agent->flows, &embryos);
    pthread_mutex_unlock(&agent->flow_lock);
    counter_set(counters, gauges[GAUGE_FLOWS], flows);
    counter_set(counters, gauges[GAUGE_EMBRYOS], embryos);
    counter_set(counters, gauges[GAUGE_BUSY],
                engine_busy(agent->requests.engine));
    counter_set(counters, gauges[GAUGE_WAITING],
                engine_waiting(agent->requests.engine));
    counter_set(counters, gauges[GAUGE_BACKLOG], agent->front.backlog);
    counter_set(counters, gauges[GAUGE_REFUSED], stats->refused);
    counter_set(counters, gauges[GAUGE_BAD], stats->bad_requests);
    counter_set(counters, gauges[GAUGE_SLOW], stats->slow);
    counter_set(counters, gauges[GAUGE_RSS], resident_bytes());
}

void
gauges_register(struct agent *agent)
{
    static const char *const names[GAUGES] = {
        [GAUGE_FLOWS] = "flows",
        [GAUGE_EMBRYOS] = "flows_opening",
        [GAUGE_BUSY] = "slots_busy",
        [GAUGE_WAITING] = "requests_waiting",
        [GAUGE_BACKLOG] = "answer_backlog_bytes",
        [GAUGE_REFUSED] = "flows_refused_total",
        [GAUGE_BAD] = "bad_requests_total",
        [GAUGE_SLOW] = "slow_flows_total",
        [GAUGE_RSS] = "resident_bytes",
    };

    for (size_t i = 0; i < GAUGES; i++) {
        agent->gauges.handles[i] =
            counter_register_gauge(&agent->counters, names[i], "");
    }
}
