/**
 * DOC: datagram - a load of UDP datagrams whose echoes are checked
 *
 * A datagram is: id (16 hex digits), then bytes that follow from the id.
 */
#ifndef STANDIN_CALLER_DATAGRAM_H
#define STANDIN_CALLER_DATAGRAM_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "caller/record.h"
#include "caller/settings.h"
#include "packet/packet.h"

struct caller;

/**
 * struct datagram_load - one load
 * @caller: its caller
 * @settings: what to do
 * @rand: seeded source of arrivals
 * @id_seed: seed of the ids
 * @timer: fires at the next arrival
 * @next_us: the next arrival
 * @sources: source address of each flow
 * @waiting: ids without an echo
 * @line: counts so far
 */
struct datagram_load {
    struct caller *caller;
    const struct load_settings *settings;
    GRand *rand;
    uint64_t id_seed;
    struct event *timer;
    uint64_t next_us;
    struct addr *sources;
    GHashTable *waiting;
    struct datagram_line line;
};

/** datagram_load_init() - prepare; 0 or -ENOMEM */
int
datagram_load_init(struct datagram_load *load, struct caller *caller,
                   const struct load_settings *settings, unsigned index);

/** datagram_load_finish() - free what is left */
void
datagram_load_finish(struct datagram_load *load);

/** datagram_load_start() - begin arrivals at @now_us */
void
datagram_load_start(struct datagram_load *load, uint64_t now_us);

/** datagram_load_stop() - no more arrivals */
void
datagram_load_stop(struct datagram_load *load);

/** datagram_load_is_idle() - all echoes came */
bool
datagram_load_is_idle(const struct datagram_load *load);

/** datagram_load_input() - whether a checked packet is this load's; counts it
 */
bool
datagram_load_input(struct datagram_load *load, const struct packet *packet,
                    const uint8_t *buf);

/** datagram_load_record() - write the line of the load */
void
datagram_load_record(struct datagram_load *load);

#endif
