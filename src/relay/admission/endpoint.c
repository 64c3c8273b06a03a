#include "relay/admission/endpoint.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/hash.h"

/* Interval of heartbeats until the caller sets it. */
#define INTERVAL_DEFAULT_US (1200 * USEC_PER_MSEC)

/* Slots until a heartbeat reports them. */
#define SLOTS_DEFAULT 2

/* A heartbeat with a number up to this has at most one before it. */
#define SEQUENCE_LOW 1

/* Half intervals of heartbeats after which an agent that has heard none of an
 * incarnation would have heard one, had it been running: one of them is for a
 * late heartbeat. If the number shows that it may have sent many, two may have
 * been lost. */
#define ABSENT_HALF_INTERVALS_LOW 3
#define ABSENT_HALF_INTERVALS 7

/* Time without a heartbeat of the current incarnation after which one of an
 * earlier incarnation is accepted: four heartbeats of 1.2 s. A heartbeat isn't
 * delayed for longer, as its sender gives up after a second. */
#define CURRENT_SILENT_US (5 * USEC_PER_SEC)

/* Latest incarnation of an id, or NULL. */
static struct endpoint_incarnation *
incarnation_find(struct endpoint *endpoint, const char *id)
{
    for (unsigned i = 0; i < endpoint->incarnation_count; i++) {
        if (strcmp(endpoint->incarnations[i].id, id) == 0) {
            return &endpoint->incarnations[i];
        }
    }
    return NULL;
}

/* Makes an incarnation the current one. It replaces @known, an entry of the
 * same id, or else the oldest entry. */
static struct endpoint_incarnation *
incarnation_set_current(struct endpoint *endpoint,
                        struct endpoint_incarnation *known,
                        const struct endpoint_incarnation *incarnation)
{
    struct endpoint_incarnation current = *incarnation;
    unsigned at;

    if (known != NULL) {
        at = (unsigned)(known - endpoint->incarnations);
    }
    else {
        if (endpoint->incarnation_count < ENDPOINT_INCARNATIONS_MAX) {
            endpoint->incarnation_count++;
        }
        at = endpoint->incarnation_count - 1;
    }
    memmove(&endpoint->incarnations[1], &endpoint->incarnations[0],
            at * sizeof(endpoint->incarnations[0]));
    endpoint->incarnations[0] = current;
    return &endpoint->incarnations[0];
}

/* Notes a heartbeat without a start; returns whether it follows another one of
 * its sender. */
static bool
note_unproven(struct endpoint *endpoint, const struct heartbeat *heartbeat)
{
    struct heartbeat last = endpoint->unproven;

    endpoint->unproven = *heartbeat;
    return strcmp(last.id, heartbeat->id) == 0 &&
           heartbeat->sequence > last.sequence;
}

/* Whether a heartbeat is of an incarnation before the current one, or
 * foreign. */
static bool
is_stale(struct endpoint *endpoint, const struct heartbeat *heartbeat,
         uint64_t now_us)
{
    if (endpoint->incarnation_count == 0 ||
        heartbeat->started_ms >= endpoint->incarnations[0].started_ms) {
        return false;
    }
    if (now_us - endpoint->silent_us < CURRENT_SILENT_US) {
        return true;
    }
    return heartbeat->started_ms == 0 && !note_unproven(endpoint, heartbeat);
}

/* Whether a heartbeat of an incarnation that has left is a late one. */
static bool
is_late(const struct endpoint *endpoint,
        const struct endpoint_incarnation *known, uint64_t now_us)
{
    return known != &endpoint->incarnations[0] ||
           now_us - endpoint->silent_us < CURRENT_SILENT_US;
}

/* Whether a heartbeat of a known incarnation is a repeated or reordered one.
 */
static bool
is_repeated(const struct endpoint *endpoint,
            const struct endpoint_incarnation *known,
            const struct heartbeat *heartbeat, uint64_t now_us)
{
    return known != NULL && heartbeat->started_ms == known->started_ms &&
           (heartbeat->sequence <= known->sequence ||
            (known->left && is_late(endpoint, known, now_us)));
}

/* Whether a heartbeat is the first one seen of its incarnation. */
static bool
is_first_heartbeat(const struct endpoint_incarnation *known,
                   const struct heartbeat *heartbeat)
{
    return known == NULL || known->started_ms != heartbeat->started_ms;
}

/* How long an agent must have heard nothing of an incarnation before its first
 * heartbeat, of this number, to know that it wasn't running. */
static uint64_t
absent_us(const struct endpoint *endpoint, uint64_t sequence)
{
    unsigned halves = sequence <= SEQUENCE_LOW ? ABSENT_HALF_INTERVALS_LOW
                                               : ABSENT_HALF_INTERVALS;

    return halves * (endpoint->interval_us / 2);
}

/* Whether the current incarnation is complete and an endpoint's for certain:
 * one that reported no start, before one that does, may be foreign. */
static bool
follows_complete(const struct endpoint *endpoint,
                 const struct heartbeat *heartbeat)
{
    return endpoint_is_complete(endpoint) &&
           (heartbeat->started_ms == 0 ||
            endpoint->incarnations[0].started_ms != 0);
}

/* Whether an incarnation whose first heartbeat comes at @now_us has started
 * while this agent was there. */
static bool
started_after_agent(const struct endpoint *endpoint,
                    const struct heartbeat *heartbeat, uint64_t now_us)
{
    uint64_t sequence = heartbeat->sequence;

    return endpoint->down || follows_complete(endpoint, heartbeat) ||
           (endpoint->new_address && sequence <= SEQUENCE_LOW) ||
           now_us - endpoint->older_until_us >= absent_us(endpoint, sequence);
}

static bool
set_state(struct endpoint *endpoint, enum endpoint_state state)
{
    bool changed = endpoint->state != state;

    endpoint->state = state;
    return changed;
}

void
endpoint_init(struct endpoint *endpoint, const char *service, uint64_t now_us)
{
    memset(endpoint, 0, sizeof(*endpoint));
    endpoint->service = hash_service(service);
    endpoint->slots = SLOTS_DEFAULT;
    endpoint->interval_us = INTERVAL_DEFAULT_US;
    endpoint->older_until_us = now_us;
}

void
endpoint_set_new_address(struct endpoint *endpoint)
{
    struct endpoint_incarnation *current = &endpoint->incarnations[0];

    endpoint->new_address = true;
    current->complete |= endpoint->incarnation_count > 0 && current->young;
}

void
endpoint_agent_paused(struct endpoint *endpoint, uint64_t since_us,
                      uint64_t now_us)
{
    if (since_us - endpoint->older_until_us <
        absent_us(endpoint, SEQUENCE_LOW + 1)) {
        endpoint->older_until_us = now_us;
    }
    endpoint->silent_us = now_us;
}

/* Updates the state from a heartbeat that isn't stale. */
static enum endpoint_update
accept_heartbeat(struct endpoint *endpoint, const struct heartbeat *heartbeat,
                 uint64_t now_us)
{
    struct endpoint_incarnation *known =
        incarnation_find(endpoint, heartbeat->id);
    struct endpoint_incarnation incarnation = {
        .started_ms = heartbeat->started_ms,
        .sequence = heartbeat->sequence,
        .draining = heartbeat->draining,
    };
    bool changed = endpoint->service != heartbeat->service;
    bool is_new = endpoint->incarnation_count > 0 &&
                  (known != &endpoint->incarnations[0] ||
                   known->started_ms != heartbeat->started_ms);

    if (is_repeated(endpoint, known, heartbeat, now_us)) {
        return ENDPOINT_UNCHANGED;
    }
    if (is_first_heartbeat(known, heartbeat)) {
        incarnation.young = heartbeat->sequence <= SEQUENCE_LOW;
        incarnation.complete =
            started_after_agent(endpoint, heartbeat, now_us);
    }
    else {
        incarnation.young = known->young;
        incarnation.complete = known->complete;
    }
    if (!incarnation.complete) {
        endpoint->older_until_us = now_us;
    }
    endpoint->down = false;
    g_strlcpy(incarnation.id, heartbeat->id, sizeof(incarnation.id));
    incarnation_set_current(endpoint, known, &incarnation);
    endpoint->heard_us = now_us;
    endpoint->silent_us = now_us;
    endpoint->service = heartbeat->service;
    endpoint->slots = heartbeat->slots > 0 ? heartbeat->slots : SLOTS_DEFAULT;
    changed |= set_state(endpoint, heartbeat->draining ? ENDPOINT_DRAINING
                                                       : ENDPOINT_READY);
    if (is_new) {
        return ENDPOINT_NEW_INCARNATION;
    }
    return changed ? ENDPOINT_CHANGED : ENDPOINT_UNCHANGED;
}

enum endpoint_update
endpoint_heartbeat(struct endpoint *endpoint,
                   const struct heartbeat *heartbeat, uint64_t now_us)
{
    if (is_stale(endpoint, heartbeat, now_us)) {
        return ENDPOINT_STALE;
    }
    return accept_heartbeat(endpoint, heartbeat, now_us);
}

/* Whether a goodbye is of the known incarnation of its id. */
static bool
goodbye_matches(const struct endpoint_incarnation *known, uint64_t started_ms)
{
    return known->started_ms == started_ms ||
           (started_ms == 0 && known->draining);
}

/* Handles a goodbye of an incarnation of which no heartbeat was heard. It may
 * have been delayed while the next incarnation took over, so it isn't the end
 * of the flows: the agent only gives the endpoint no new ones until it hears a
 * heartbeat. */
static bool
unknown_left(struct endpoint *endpoint, const char *id, uint64_t started_ms,
             uint64_t now_us)
{
    struct endpoint_incarnation incarnation = {
        .started_ms = started_ms,
        .draining = true,
        .left = true,
    };

    if (endpoint->incarnation_count > 0) {
        return false;
    }
    g_strlcpy(incarnation.id, id, sizeof(incarnation.id));
    incarnation_set_current(endpoint, NULL, &incarnation);
    endpoint->silent_us = now_us;
    return set_state(endpoint, ENDPOINT_DRAINING);
}

bool
endpoint_left(struct endpoint *endpoint, const char *id, uint64_t started_ms,
              uint64_t now_us)
{
    struct endpoint_incarnation *known = incarnation_find(endpoint, id);

    if (known == NULL) {
        return unknown_left(endpoint, id, started_ms, now_us);
    }
    if (!goodbye_matches(known, started_ms)) {
        return false;
    }
    known->left = true;
    if (known != &endpoint->incarnations[0]) {
        return false;
    }
    endpoint->silent_us = now_us;
    return set_state(endpoint, ENDPOINT_GONE);
}

/* State that the current incarnation's last heartbeat reported. One that
 * drains still does after a silence. */
static enum endpoint_state
reported_state(const struct endpoint *endpoint)
{
    bool draining =
        endpoint->incarnation_count > 0 && endpoint->incarnations[0].draining;

    return draining ? ENDPOINT_DRAINING : ENDPOINT_READY;
}

bool
endpoint_answered(struct endpoint *endpoint)
{
    endpoint->down = false;
    if (endpoint->state != ENDPOINT_SILENT) {
        return false;
    }
    return set_state(endpoint, reported_state(endpoint));
}

bool
endpoint_silent(struct endpoint *endpoint)
{
    if (!endpoint_is_available(endpoint)) {
        return false;
    }
    return set_state(endpoint, ENDPOINT_SILENT);
}

bool
endpoint_refused(struct endpoint *endpoint, unsigned busy)
{
    bool idle = endpoint->state == ENDPOINT_READY && busy <= endpoint->slots;

    if (endpoint->state != ENDPOINT_UNKNOWN && !idle) {
        return false;
    }
    return set_state(endpoint, ENDPOINT_SILENT);
}

bool
endpoint_down(struct endpoint *endpoint)
{
    if (endpoint->down || endpoint->state == ENDPOINT_GONE) {
        return false;
    }
    endpoint->down = true;
    set_state(endpoint, ENDPOINT_SILENT);
    return true;
}

bool
endpoint_is_complete(const struct endpoint *endpoint)
{
    return endpoint->incarnation_count > 0 &&
           endpoint->incarnations[0].complete;
}

bool
endpoint_is_available(const struct endpoint *endpoint)
{
    return endpoint->state == ENDPOINT_READY ||
           endpoint->state == ENDPOINT_UNKNOWN;
}

struct frame_health
endpoint_health(const struct endpoint *endpoint, unsigned busy)
{
    return (struct frame_health){
        .service = endpoint->service,
        .state = (uint8_t)endpoint->state,
        .busy = (uint8_t)MIN(busy, UINT8_MAX),
        .slots = (uint8_t)MIN(endpoint->slots, UINT8_MAX),
    };
}
