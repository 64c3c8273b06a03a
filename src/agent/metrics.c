#include "agent/metrics.h"

#include <stdio.h>
#include <unistd.h>

#include "agent/program.h"

/* Resident memory of the process in bytes, 0 on error. */
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

static void
read_counters(const struct agent *agent, uint64_t *values)
{
    const struct frontend_stats *frontend = &agent->frontend.stats;
    const struct engine_counters *engine =
        engine_counters(agent->requests.engine);

    values[METRIC_FLOWS_OPENED] = frontend->opened;
    values[METRIC_FLOWS_REFUSED] = frontend->refused;
    values[METRIC_FLOWS_RESET] = frontend->reset;
    values[METRIC_FLOWS_SLOW] = frontend->slow;
    values[METRIC_BAD_REQUESTS] = frontend->bad_requests;
    values[METRIC_ARRIVED] = engine->arrived;
    values[METRIC_RETRIED] = engine->retried;
    values[METRIC_DECLINED] = engine->declined;
    values[METRIC_DISPLACED] = engine->displaced;
    values[METRIC_DROPPED] = engine->dropped;
    for (size_t i = 0; i < ENGINE_PEER_TYPES; i++) {
        values[METRIC_PEER_STATUS + i] = engine->sent[i];
    }
}

static void
update_counters(struct agent *agent)
{
    struct metrics *metrics = &agent->metrics;
    uint64_t values[METRIC_COUNTERS];

    read_counters(agent, values);
    for (size_t i = 0; i < METRIC_COUNTERS; i++) {
        counter_add(&agent->counters, 0, metrics->counter_handles[i],
                    values[i] - metrics->reported[i]);
        metrics->reported[i] = values[i];
    }
}

void
metrics_update(struct agent *agent)
{
    struct counter_table *counters = &agent->counters;
    const int *metrics = agent->metrics.handles;
    size_t half_open = 0;

    pthread_mutex_lock(&agent->flow_lock);
    size_t flows = flow_count(agent->flows, &half_open);
    pthread_mutex_unlock(&agent->flow_lock);
    counter_set(counters, metrics[GAUGE_FLOWS], flows);
    counter_set(counters, metrics[GAUGE_HALF_OPEN], half_open);
    counter_set(counters, metrics[GAUGE_BUSY],
                engine_busy(agent->requests.engine));
    counter_set(counters, metrics[GAUGE_WAITING],
                engine_waiting(agent->requests.engine));
    counter_set(counters, metrics[GAUGE_BACKLOG], agent->frontend.backlog);
    counter_set(counters, metrics[GAUGE_RSS], resident_bytes());
    orphan_notifier_set_gauges(agent);
    update_counters(agent);
}

static void
register_metric_counters(struct agent *agent)
{
    static const char *const names[METRIC_PEER_STATUS] = {
        [METRIC_FLOWS_OPENED] = "flows_opened_total",
        [METRIC_FLOWS_REFUSED] = "flows_refused_total",
        [METRIC_FLOWS_RESET] = "flows_reset_total",
        [METRIC_FLOWS_SLOW] = "flows_slow_total",
        [METRIC_BAD_REQUESTS] = "bad_requests_total",
        [METRIC_ARRIVED] = "requests_arrived_total",
        [METRIC_RETRIED] = "requests_retried_total",
        [METRIC_DECLINED] = "peer_runs_declined_total",
        [METRIC_DISPLACED] = "requests_displaced_total",
        [METRIC_DROPPED] = "peer_messages_dropped_total",
    };
    static const char *const types[ENGINE_PEER_TYPES] = {
        "type=\"status\"", "type=\"pull\"", "type=\"run\"",   "type=\"done\"",
        "type=\"cancel\"", "type=\"idem\"", "type=\"probe\"",
    };
    int *handles = agent->metrics.counter_handles;

    for (size_t i = 0; i < METRIC_PEER_STATUS; i++) {
        handles[i] = counter_register(&agent->counters, names[i], "");
    }
    for (size_t i = 0; i < ENGINE_PEER_TYPES; i++) {
        handles[METRIC_PEER_STATUS + i] = counter_register(
            &agent->counters, "peer_messages_sent_total", types[i]);
    }
}

void
metrics_register(struct agent *agent)
{
    static const char *const names[GAUGES] = {
        [GAUGE_FLOWS] = "flows",
        [GAUGE_HALF_OPEN] = "flows_opening",
        [GAUGE_BUSY] = "slots_busy",
        [GAUGE_WAITING] = "requests_waiting",
        [GAUGE_BACKLOG] = "answer_backlog_bytes",
        [GAUGE_RSS] = "resident_bytes",
    };

    for (size_t i = 0; i < GAUGES; i++) {
        agent->metrics.handles[i] =
            counter_register_gauge(&agent->counters, names[i], "");
    }
    register_metric_counters(agent);
}
