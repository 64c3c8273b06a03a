/**
 * DOC: endpoint - what an agent knows of the endpoint beside it
 *
 * From its heartbeats, from its goodbye, and from whether it answers. A start
 * of an endpoint is an id and the time of day at which it began: the same id
 * may start again. A heartbeat or goodbye of an earlier start that was held up
 * on its way changes nothing for long.
 */
#ifndef SWIFTARCH_RELAY_ADMISSION_ENDPOINT_H
#define SWIFTARCH_RELAY_ADMISSION_ENDPOINT_H

#include <stdbool.h>
#include <stdint.h>

#include "relay/wire/frame.h"

#define ENDPOINT_ID_MAX 64
#define ENDPOINT_INCARNATIONS_MAX 8

/**
 * struct heartbeat - what an endpoint says of itself
 * @id: names the endpoint
 * @started_ms: when this start of it began, Unix time; 0 when it doesn't say:
 *           then the id alone tells its incarnations apart
 * @service: hash_service() of its service
 * @draining: it ends soon and takes nothing new
 * @slots: requests that it runs at a time
 * @warmup_left_ms: how long it stays slow after its start
 * @sequence: grows with each heartbeat of one start
 */
struct heartbeat {
    char id[ENDPOINT_ID_MAX];
    uint64_t started_ms;
    uint32_t service;
    bool draining;
    unsigned slots;
    unsigned warmup_left_ms;
    uint64_t sequence;
};

/**
 * struct endpoint_incarnation - one start of an endpoint
 * @id: its id
 * @started_ms: when it began, 0 when it doesn't say
 * @sequence: highest seen
 * @complete: its first heartbeat was heard, so that it has held no flow that
 *         didn't pass this agent
 * @draining: it said last that it takes nothing new
 * @left: it said that it ends
 */
struct endpoint_incarnation {
    char id[ENDPOINT_ID_MAX];
    uint64_t started_ms;
    uint64_t sequence;
    bool complete;
    bool draining;
    bool left;
};

/**
 * struct endpoint - the endpoint
 * @service: hash_service() of its service
 * @state: what it is fit for
 * @slots: requests that it runs at a time
 * @heard_us: last heartbeat of the current start
 * @down: its process isn't there; what comes next is another start, all of
 *        which is seen
 * @incarnations: the incarnations seen last, @incarnations[0] the current one
 * @incarnation_count: how many
 */
struct endpoint {
    uint32_t service;
    enum endpoint_state state;
    unsigned slots;
    uint64_t heard_us;
    bool down;
    struct endpoint_incarnation incarnations[ENDPOINT_INCARNATIONS_MAX];
    unsigned incarnation_count;
};

/** endpoint_init() - an endpoint of a service of which nothing is known */
void
endpoint_init(struct endpoint *endpoint, const char *service);

/** enum endpoint_update - what a heartbeat brought */
enum endpoint_update {
    ENDPOINT_UNCHANGED,       /* it is late, or says what is known */
    ENDPOINT_CHANGED,         /* the state or the service is another */
    ENDPOINT_NEW_INCARNATION, /* another start: what the earlier one held is
                                 over */
    ENDPOINT_STALE, /* of a start before the current one: not believed */
};

/**
 * endpoint_heartbeat() - take a heartbeat
 *
 * One of a start that began before the current one was held up on its way, and
 * one that doesn't say when, after one that did, is of somebody else. It
 * is believed only when the current one has been silent for several
 * heartbeats: the time of day may have gone back between the two.
 */
enum endpoint_update
endpoint_heartbeat(struct endpoint *endpoint,
                   const struct heartbeat *heartbeat, uint64_t now_us);

/**
 * endpoint_left() - a start ends
 * @id: its id
 * @started_ms: when it began, 0 when its goodbye doesn't say: then it counts
 * only for one that doesn't either or that said before that it drains, as it
 * may be of an earlier start
 *
 * Return: whether the state changed.
 */
bool
endpoint_left(struct endpoint *endpoint, const char *id, uint64_t started_ms);

/** endpoint_answered() - it sent something; whether the state changed */
bool
endpoint_answered(struct endpoint *endpoint);

/** endpoint_silent() - it didn't answer; whether the state changed */
bool
endpoint_silent(struct endpoint *endpoint);

/**
 * endpoint_refused() - it bounced a SYN; whether the state changed
 * @busy: requests in progress, that SYN's included
 *
 * One of which nothing is known isn't up yet; one that refuses though it has
 * a free slot is down. Its next heartbeat or answer tells that it is back. A
 * busy one is only full.
 */
bool
endpoint_refused(struct endpoint *endpoint, unsigned busy);

/** endpoint_down() - its process isn't there; whether that is new */
bool
endpoint_down(struct endpoint *endpoint);

/** endpoint_is_complete() - whether this agent has seen every flow of the
 * endpoint's current start */
bool
endpoint_is_complete(const struct endpoint *endpoint);

/** endpoint_is_available() - whether it may be given a new flow */
bool
endpoint_is_available(const struct endpoint *endpoint);

/** endpoint_health() - what balancers are told */
struct frame_health
endpoint_health(const struct endpoint *endpoint, unsigned busy);

#endif
