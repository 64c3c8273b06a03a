/**
 * DOC: door_site - one agent's decisions, with what they lead to written down
 */
#ifndef SWIFTARCH_TESTS_RELAY_DOOR_SITE_H
#define SWIFTARCH_TESTS_RELAY_DOOR_SITE_H

#include <stdbool.h>

#include "relay/door/door.h"
#include "relay/relay_rig.h"

/* A flow that no test names otherwise. */
#define SITE_FILL_LAST 900

#define SITE_BALANCER "10.9.0.1:7720"

/* Agents that frames name. */
#define SITE_SECOND "10.0.0.2:7000"
#define SITE_THIRD "10.0.0.3:7000"

/**
 * struct site - an agent whose endpoint is of the service "lots"
 * @out: writes into @record
 * @door: its decisions
 * @record: a line for each output
 * @now_us: the time
 * @readers: readers of the store that a balancer was told of last
 * @trying: those that try to read it
 */
struct site {
    struct door_out out;
    struct door door;
    GString *record;
    uint64_t now_us;
    unsigned readers;
    unsigned trying;
};

void
site_init(struct site *site);

void
site_finish(struct site *site);

/** site_arrive() - carry a packet that may go on to @next agents, the second
 * and the third */
void
site_arrive(struct site *site, struct relay_packet packet, unsigned next,
            bool forced);

/** site_arrive_along() - the same, along @next and, unless it is NULL, @last
 */
void
site_arrive_along(struct site *site, struct relay_packet packet,
                  const char *next, const char *last);

/** site_arrive_forced() - carry a SYN that is to stay here, to be answered
 * within @target_ms */
void
site_arrive_forced(struct site *site, unsigned number, unsigned target_ms,
                   unsigned patience_ms, unsigned priority);

/** site_answer() - the endpoint sends a packet */
void
site_answer(struct site *site, struct relay_packet packet);

/** site_pass_ms() - let time pass */
void
site_pass_ms(struct site *site, unsigned ms);

/** site_open_flow() - open a flow that the endpoint takes */
void
site_open_flow(struct site *site, unsigned number);

/** site_fill() - open flows 1 to 3 and SITE_FILL_LAST, which is all that the
 * endpoint is given */
void
site_fill(struct site *site);

/** site_starts() - the endpoint sends its first heartbeat since @born_ms */
void
site_starts(struct site *site, const char *id, uint64_t born_ms);

/** site_heartbeat() - the endpoint sends one */
void
site_heartbeat(struct site *site, const char *id, const char *service,
               bool draining, uint64_t sequence);

#endif
