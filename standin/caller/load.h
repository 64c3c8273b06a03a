/**
 * DOC: load - when requests of one load start, and on which flow they go
 *
 * Arrivals are open-loop: a request that finds no free flow waits here, and
 * its time counts from the intended start.
 */
#ifndef STANDIN_CALLER_LOAD_H
#define STANDIN_CALLER_LOAD_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "caller/flow.h"
#include "caller/record.h"
#include "caller/request.h"
#include "caller/settings.h"

struct caller;

/**
 * struct load - one load
 * @caller: its caller
 * @settings: what to do
 * @rand: seeded source of arrivals and methods
 * @id_seed: seed of the request ids
 * @id_count: ids given
 * @timer: fires at the next arrival
 * @next_us: the next arrival
 * @flows: all flows, those that end included
 * @slots: flows kept open, NULL where none is
 * @next_slot: where the search for a free flow starts
 * @open_after_us: no new flow before this time, after one that failed
 * @open_delay_us: how long to wait after the next failure
 * @waiting: requests without a flow
 * @retries: requests to be sent again, ordered by start
 * @in_progress: requests on flows
 */
struct load {
    struct caller *caller;
    const struct load_settings *settings;
    GRand *rand;
    uint64_t id_seed;
    uint64_t id_count;
    struct event *timer;
    uint64_t next_us;
    GQueue flows;
    struct flow **slots;
    unsigned next_slot;
    uint64_t open_after_us;
    uint64_t open_delay_us;
    GQueue waiting;
    GQueue retries;
    unsigned in_progress;
};

/** load_init() - prepare; 0 or -ENOMEM */
int
load_init(struct load *load, struct caller *caller,
          const struct load_settings *settings, unsigned index);

/** load_finish() - free what is left */
void
load_finish(struct load *load);

/** load_start() - begin arrivals at @now_us */
void
load_start(struct load *load, uint64_t now_us);

/** load_stop() - no more arrivals */
void
load_stop(struct load *load);

/** load_next_arrival() - microseconds to the next arrival */
uint64_t
load_next_arrival(GRand *rand, double rate);

/** load_tick() - open missing flows, retry, time out; about every 10 ms */
void
load_tick(struct load *load, uint64_t now_us);

/** load_is_idle() - no request waits, is in progress or is to be retried */
bool
load_is_idle(const struct load *load);

/** load_is_open() - all flows are open */
bool
load_is_open(const struct load *load);

/** load_close_flows() - end of the run: record what is left and close */
void
load_close_flows(struct load *load);

/** load_dispatch() - hand waiting requests to free flows */
void
load_dispatch(struct load *load);

/** load_on_outcome() - a request ended; frees or retries it */
void
load_on_outcome(struct load *load, struct request *request,
                struct request_line *line);

/** load_on_flow_open() - a flow is established */
void
load_on_flow_open(struct load *load);

/** load_on_flow_ending() - a flow takes no more requests */
void
load_on_flow_ending(struct load *load, struct flow *flow);

/** load_on_flow_closed() - a flow is gone */
void
load_on_flow_closed(struct load *load, struct flow *flow, enum flow_end end);

#endif
