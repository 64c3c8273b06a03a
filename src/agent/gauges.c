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

static void
read_tallies(const struct agent *agent, uint64_t *values)
{
    const struct front_stats *front = &agent->front.stats;
    const struct engine_counters *engine =
        engine_counters(agent->requests.engine);

    values[TALLY_FLOWS_OPENED] = front->opened;
    values[TALLY_FLOWS_REFUSED] = front->refused;
    values[TALLY_FLOWS_RESET] = front->reset;
    values[TALLY_FLOWS_SLOW] = front->slow;
    values[TALLY_BAD_REQUESTS] = front->bad_requests;
    values[TALLY_ARRIVED] = engine->arrived;
    values[TALLY_RETRIED] = engine->retried;
    values[TALLY_DECLINED] = engine->declined;
    values[TALLY_DISPLACED] = engine->displaced;
    values[TALLY_DROPPED] = engine->dropped;
    for (size_t i = 0; i < ENGINE_PEER_TYPES; i++) {
        values[TALLY_PEER_STATUS + i] = engine->sent[i];
    }
}

static void
set_tallies(struct agent *agent)
{
    struct gauges *gauges = &agent->gauges;
    uint64_t values[TALLIES];

    read_tallies(agent, values);
    for (size_t i = 0; i < TALLIES; i++) {
        counter_add(&agent->counters, 0, gauges->tallies[i],
                    values[i] - gauges->told[i]);
        gauges->told[i] = values[i];
    }
}

void
gauges_set(struct agent *agent)
{
    struct counter_table *counters = &agent->counters;
    const int *gauges = agent->gauges.handles;
    size_t half_open = 0;

    pthread_mutex_lock(&agent->flow_lock);
    size_t flows = flow_count(agent->flows, &half_open);
    pthread_mutex_unlock(&agent->flow_lock);
    counter_set(counters, gauges[GAUGE_FLOWS], flows);
    counter_set(counters, gauges[GAUGE_EMBRYOS], half_open);
    counter_set(counters, gauges[GAUGE_BUSY],
                engine_busy(agent->requests.engine));
    counter_set(counters, gauges[GAUGE_WAITING],
                engine_waiting(agent->requests.engine));
    counter_set(counters, gauges[GAUGE_BACKLOG], agent->front.backlog);
    counter_set(counters, gauges[GAUGE_RSS], resident_bytes());
    notices_set_gauges(agent);
    set_tallies(agent);
}

static void
register_tallies(struct agent *agent)
{
    static const char *const names[TALLY_PEER_STATUS] = {
        [TALLY_FLOWS_OPENED] = "flows_opened_total",
        [TALLY_FLOWS_REFUSED] = "flows_refused_total",
        [TALLY_FLOWS_RESET] = "flows_reset_total",
        [TALLY_FLOWS_SLOW] = "flows_slow_total",
        [TALLY_BAD_REQUESTS] = "bad_requests_total",
        [TALLY_ARRIVED] = "requests_arrived_total",
        [TALLY_RETRIED] = "requests_retried_total",
        [TALLY_DECLINED] = "peer_runs_declined_total",
        [TALLY_DISPLACED] = "requests_displaced_total",
        [TALLY_DROPPED] = "peer_messages_dropped_total",
    };
    static const char *const types[ENGINE_PEER_TYPES] = {
        "type=\"status\"", "type=\"pull\"", "type=\"run\"",   "type=\"done\"",
        "type=\"cancel\"", "type=\"idem\"", "type=\"probe\"",
    };
    int *handles = agent->gauges.tallies;

    for (size_t i = 0; i < TALLY_PEER_STATUS; i++) {
        handles[i] = counter_register(&agent->counters, names[i], "");
    }
    for (size_t i = 0; i < ENGINE_PEER_TYPES; i++) {
        handles[TALLY_PEER_STATUS + i] = counter_register(
            &agent->counters, "peer_messages_sent_total", types[i]);
    }
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
        [GAUGE_RSS] = "resident_bytes",
    };

    for (size_t i = 0; i < GAUGES; i++) {
        agent->gauges.handles[i] =
            counter_register_gauge(&agent->counters, names[i], "");
    }
    register_tallies(agent);
}
