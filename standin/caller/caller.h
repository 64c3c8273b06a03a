/**
 * DOC: caller - the callers of a run: their packets, flows and loads
 *
 * One thread runs everything but the sending of TCP segments, which lwIP
 * may do from its own.
 */
#ifndef STANDIN_CALLER_CALLER_H
#define STANDIN_CALLER_CALLER_H

#include <event2/event.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/trace.h"
#include "caller/datagram.h"
#include "caller/load.h"
#include "caller/record.h"
#include "caller/settings.h"
#include "stack/stack.h"

/**
 * struct caller - the state of a run
 * @base: owner of the stack
 * @settings: what to do
 * @clock: time
 * @event_base: event loop
 * @stack: TCP
 * @record: what was seen
 * @trace: spans
 * @fd: UDP socket towards the fabric
 * @fabric: where packets go
 * @loads: loads of requests
 * @load_count: how many
 * @datagrams: loads of datagrams
 * @datagram_count: how many
 * @next_flow: number of the next flow
 * @first_port: where source ports start
 * @begin_us: when flows began to open
 * @stop_us: when arrivals end, 0 before they began
 * @close_us: when open requests are given up
 * @end_us: when the run ends even if flows linger
 * @stopped: arrivals have ended
 * @closing: flows are being closed
 */
struct caller {
    struct stack_owner base;
    const struct caller_settings *settings;
    struct clock clock;
    struct event_base *event_base;
    struct stack *stack;
    struct record record;
    struct trace trace;
    int fd;
    struct sockaddr_in fabric;
    struct load loads[CALLER_LOADS_MAX];
    size_t load_count;
    struct datagram_load datagrams[CALLER_LOADS_MAX];
    size_t datagram_count;
    int64_t next_flow;
    uint16_t first_port;
    uint64_t begin_us;
    uint64_t stop_us;
    uint64_t close_us;
    uint64_t end_us;
    bool stopped;
    bool closing;
};

/** caller_run() - do all that @settings say; 0 or negative errno */
int
caller_run(const struct caller_settings *settings, struct error *err);

/** caller_next_flow() - number and source address for a new flow */
int64_t
caller_next_flow(struct caller *caller, struct addr *src);

/** caller_send() - send a whole IPv4 packet to the fabric */
void
caller_send(struct caller *caller, const uint8_t *packet, size_t len);

#endif
