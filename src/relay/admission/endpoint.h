/**
 * DOC: endpoint - state of the endpoint beside an agent
 *
 * The state follows from heartbeats, the goodbye, and whether the endpoint
 * answers. An incarnation is one run of an endpoint, identified by an id and
 * its start time, as the same id may start again. Delayed heartbeats and
 * goodbyes of an earlier incarnation are ignored.
 */
#ifndef SWIFTARCH_RELAY_ADMISSION_ENDPOINT_H
#define SWIFTARCH_RELAY_ADMISSION_ENDPOINT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/addr.h"
#include "relay/wire/frame.h"

#define ENDPOINT_ID_MAX 64
#define ENDPOINT_INCARNATIONS_MAX 8

/**
 * struct heartbeat - a heartbeat of an endpoint
 * @id: the endpoint's id
 * @started_ms: start of its incarnation, Unix time; 0 if not reported: the id
 * alone identifies the incarnation then
 * @address: where it receives packets
 * @service: hash_service() of its service
 * @draining: it ends soon and takes no new flows
 * @slots: requests that it runs at a time
 * @warmup_left_ms: how long it stays cold
 * @sequence: grows with each heartbeat of an incarnation
 */
struct heartbeat {
    char id[ENDPOINT_ID_MAX];
    uint64_t started_ms;
    struct addr address;
    uint32_t service;
    bool draining;
    unsigned slots;
    unsigned warmup_left_ms;
    uint64_t sequence;
};

/**
 * struct endpoint_incarnation - one run of an endpoint
 * @id: the endpoint's id
 * @started_ms: its start, Unix time; 0 if not reported
 * @sequence: highest sequence number seen
 * @complete: it started while this agent was there, so all of its flows passed
 * this agent
 * @young: the first heartbeat seen has a number that at most one came before
 * @draining: its last heartbeat reported that it drains
 * @left: its goodbye was received
 */
struct endpoint_incarnation {
    char id[ENDPOINT_ID_MAX];
    uint64_t started_ms;
    uint64_t sequence;
    bool complete;
    bool young;
    bool draining;
    bool left;
};

/**
 * struct endpoint - the endpoint of an agent
 * @service: hash_service() of its service
 * @state: whether it takes new flows
 * @slots: requests that it runs at a time
 * @heard_us: time of the current incarnation's last heartbeat
 * @silent_us: since when the current incarnation is silent: @heard_us, its
 * goodbye, or the end of a pause of the agent
 * @down: its process isn't running; the next incarnation will be complete
 * @new_address: no agent was at this address before this one
 * @interval_us: interval of its heartbeats; the caller may set it
 * @older_until_us: until when an incarnation that is older than this agent may
 * have been running, as far as is known: the agent's start, the last heartbeat
 * of one that isn't complete, or the end of a pause of the agent
 * @incarnations: the last incarnations seen, the current one first
 * @incarnation_count: number of them
 * @unproven: last heartbeat without a start that came while the current
 * incarnation, which reported its start, was silent
 */
struct endpoint {
    uint32_t service;
    enum endpoint_state state;
    unsigned slots;
    uint64_t heard_us;
    uint64_t silent_us;
    bool down;
    bool new_address;
    uint64_t interval_us;
    uint64_t older_until_us;
    struct endpoint_incarnation incarnations[ENDPOINT_INCARNATIONS_MAX];
    unsigned incarnation_count;
    struct heartbeat unproven;
};

/** endpoint_init() - set up an endpoint of @service in state ENDPOINT_UNKNOWN;
 * the agent starts at @now_us */
void
endpoint_init(struct endpoint *endpoint, const char *service, uint64_t now_us);

/** endpoint_set_new_address() - no agent was at this address before this one;
 * an endpoint that has sent one heartbeat at most before the first one seen
 * has no flows of before */
void
endpoint_set_new_address(struct endpoint *endpoint);

/** endpoint_agent_paused() - from @since_us to @now_us the agent was paused
 * and could not receive heartbeats */
void
endpoint_agent_paused(struct endpoint *endpoint, uint64_t since_us,
                      uint64_t now_us);

/** enum endpoint_update - effect of a heartbeat */
enum endpoint_update {
    ENDPOINT_UNCHANGED,       /* repeated, reordered, or without a change */
    ENDPOINT_CHANGED,         /* the state or the service changed */
    ENDPOINT_NEW_INCARNATION, /* a new incarnation: flows of the last one have
                                 ended */
    ENDPOINT_STALE,           /* of an earlier incarnation: ignored */
};

/**
 * endpoint_heartbeat() - update the state from a heartbeat
 *
 * A heartbeat that reports an earlier start than the current incarnation, or
 * none after one that did, is stale. It is accepted only if the current
 * incarnation has been silent for several heartbeats, as the clock may have
 * been set back between two starts. Without a start it may be foreign, and
 * is accepted only if one of the same sender came before it.
 */
enum endpoint_update
endpoint_heartbeat(struct endpoint *endpoint,
                   const struct heartbeat *heartbeat, uint64_t now_us);

/**
 * endpoint_left() - handle a goodbye
 * @id: the endpoint's id
 * @started_ms: start of the incarnation that ends, 0 if not reported. Without
 * it, the goodbye counts only for an incarnation that doesn't report its start
 * either or that drains, as it may be of an earlier one.
 *
 * An incarnation of which no heartbeat was heard doesn't end by its goodbye:
 * it may be an earlier one. The endpoint takes no new flows until a heartbeat.
 *
 * Heartbeats of an incarnation that has left are late ones; one that comes
 * seconds later shows that the goodbye was foreign, and counts.
 *
 * Return: whether the state changed.
 */
bool
endpoint_left(struct endpoint *endpoint, const char *id, uint64_t started_ms,
              uint64_t now_us);

/** endpoint_answered() - the endpoint sent a packet; returns whether the state
 * changed */
bool
endpoint_answered(struct endpoint *endpoint);

/** endpoint_silent() - a SYN timed out; returns whether the state changed */
bool
endpoint_silent(struct endpoint *endpoint);

/**
 * endpoint_refused() - the endpoint bounced a SYN; returns whether the state
 * changed
 * @busy: requests in progress, that SYN's included
 *
 * The endpoint becomes silent if no heartbeat has come yet or it has a free
 * slot, until its next heartbeat or answer. A busy one is only full.
 */
bool
endpoint_refused(struct endpoint *endpoint, unsigned busy);

/** endpoint_down() - the endpoint's process isn't running; returns whether
 * that is new */
bool
endpoint_down(struct endpoint *endpoint);

/** endpoint_is_complete() - whether all flows of the current incarnation
 * passed this agent */
bool
endpoint_is_complete(const struct endpoint *endpoint);

/** endpoint_is_available() - whether the endpoint takes new flows */
bool
endpoint_is_available(const struct endpoint *endpoint);

/** endpoint_health() - health to report to balancers, with @busy requests */
struct frame_health
endpoint_health(const struct endpoint *endpoint, unsigned busy);

#endif
