/**
 * DOC: warming - how many requests an endpoint gets while it warms up
 *
 * Operators say how many requests a second a service's endpoints bear until
 * they are warm. All requests of an endpoint pass its one agent, so a record
 * of what was given to it in the last second keeps that bound for any second,
 * without a word to anybody.
 *
 * While it isn't known whether the endpoint is warm, it is taken as cold: it
 * may just have started. An agent that has just started itself doesn't know
 * what its predecessor gave in the second before, and counts that as all.
 */
#ifndef SWIFTARCH_RELAY_DOOR_WARMING_H
#define SWIFTARCH_RELAY_DOOR_WARMING_H

#include <stdbool.h>
#include <stdint.h>

/* Requests in a second that are recorded; a higher limit counts as this. */
#define WARMING_LIMIT_MAX 256

/**
 * struct warming - one endpoint's
 * @limit: requests in any second while it is cold, 0 for no limit
 * @until_us: when it is warm, UINT64_MAX while that isn't known
 * @since_us: what was given before isn't known
 * @given_us: when the last requests were given, a ring
 * @given_at: place of the oldest of them
 * @given_count: how many
 */
struct warming {
    unsigned limit;
    uint64_t until_us;
    uint64_t since_us;
    uint64_t given_us[WARMING_LIMIT_MAX];
    unsigned given_at;
    unsigned given_count;
};

/** warming_init() - nothing is known of the endpoint, nor of what it was given
 * before @now_us */
void
warming_init(struct warming *warming, uint64_t now_us);

/** warming_limit() - operators say how much a cold endpoint bears; 0 for
 * anything */
void
warming_limit(struct warming *warming, unsigned limit);

/** warming_told() - the endpoint says how much longer it is cold */
void
warming_told(struct warming *warming, unsigned left_ms, uint64_t now_us);

/** warming_in_doubt() - the endpoint may have started anew */
void
warming_in_doubt(struct warming *warming);

/** warming_has_room() - whether the endpoint may be given a request now */
bool
warming_has_room(const struct warming *warming, uint64_t now_us);

/** warming_gave() - it was given one */
void
warming_gave(struct warming *warming, uint64_t now_us);

/** warming_next_us() - when there will be room, if there is none now */
uint64_t
warming_next_us(const struct warming *warming);

#endif
