/**
 * DOC: endpoint_level - which endpoints of a service get fewer new flows
 *
 * An endpoint that is much slower than the others of its service, or rejects
 * requests while the others don't, is reduced; one whose requests hang gets a
 * trial now and then. Only a part of a service is below normal at a time: when
 * more are slow, the load is the cause and not the endpoint. Levels affect new
 * flows only.
 */
#ifndef SWIFTARCH_RELAY_FORWARDER_ENDPOINT_LEVEL_H
#define SWIFTARCH_RELAY_FORWARDER_ENDPOINT_LEVEL_H

#include <stdbool.h>
#include <stdint.h>

/** enum endpoint_level_kind - how many new flows an endpoint gets */
enum endpoint_level_kind {
    ENDPOINT_LEVEL_NORMAL,
    ENDPOINT_LEVEL_REDUCED, /* fewer than its speed allows */
    ENDPOINT_LEVEL_TRIAL,   /* one now and then */
    ENDPOINT_LEVEL_COUNT,
};

/** enum endpoint_level_cause - why an endpoint is below normal */
enum endpoint_level_cause {
    ENDPOINT_LEVEL_WELL,
    ENDPOINT_LEVEL_SLOW,    /* its service time */
    ENDPOINT_LEVEL_REJECTS, /* it rejects requests */
    ENDPOINT_LEVEL_STUCK,   /* its requests hang */
};

/**
 * struct endpoint_level - the level of one endpoint
 * @kind: enum endpoint_level_kind
 * @cause: why, also after the return to normal
 * @since_us: when @kind last changed
 * @good_us: since when its reports are good, 0 while they aren't
 * @relapses: times that it went below normal soon after a return
 * @tried_us: when it last got a new flow
 */
struct endpoint_level {
    enum endpoint_level_kind kind;
    enum endpoint_level_cause cause;
    uint64_t since_us;
    uint64_t good_us;
    unsigned relapses;
    uint64_t tried_us;
};

/**
 * struct endpoint_level_member - an endpoint of the service
 * @level: its level
 * @service_us: time of a request without queueing, 0 if unknown
 * @owner: for the caller
 * @severity: set; the worst are set aside first
 * @slots: requests that it runs at a time
 * @stuck: of these, those that hang
 * @rejects: per mille of its requests that it didn't take
 * @wanted: set to the level that its report asks for
 * @cause: set to why
 * @changed: set to whether @level->kind has changed
 */
struct endpoint_level_member {
    struct endpoint_level *level;
    uint64_t service_us;
    void *owner;
    uint64_t severity;
    unsigned slots;
    unsigned stuck;
    unsigned rejects;
    enum endpoint_level_kind wanted;
    enum endpoint_level_cause cause;
    bool changed;
};

/**
 * endpoint_level_update() - set the levels of all endpoints of a service
 *
 * Reorders @members.
 *
 * Return: the median service time, 0 if unknown.
 */
uint64_t
endpoint_level_update(struct endpoint_level_member *members, unsigned count,
                      uint64_t now_us);

/** endpoint_level_trial_due() - whether an endpoint at ENDPOINT_LEVEL_TRIAL
 * may get a new flow */
bool
endpoint_level_trial_due(const struct endpoint_level *level, uint64_t now_us);

#endif
