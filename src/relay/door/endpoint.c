#include "relay/door/endpoint.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/hash.h"

/* Until a heartbeat says otherwise. */
#define SLOTS_DEFAULT 2

/* What an endpoint's first heartbeat counts at most. It goes out within
 * milliseconds of the start, before that nothing is sent there, and one that
 * isn't answered is sent again with a higher count. */
#define SEQUENCE_FIRST 1

/* Silence of the current start after which an earlier one is believed: four
 * heartbeats of 1.2 s. A heartbeat is held up for less than that, as its
 * sender gives it up after a second and sends the next. */
#define CURRENT_SILENT_US (5 * USEC_PER_SEC)

/* Start that an id had last, or NULL. */
static struct endpoint_start *
start_find(struct endpoint *endpoint, const char *id)
{
    for (unsigned i = 0; i < endpoint->start_count; i++) {
        if (strcmp(endpoint->starts[i].id, id) == 0) {
            return &endpoint->starts[i];
        }
    }
    return NULL;
}

/* Makes a start the current one; @known, the same or an earlier one of its
 * id, or else the one seen longest ago makes room. */
static struct endpoint_start *
start_current(struct endpoint *endpoint, struct endpoint_start *known,
              const struct endpoint_start *start)
{
    struct endpoint_start current = *start;
    unsigned at;

    if (known != NULL) {
        at = (unsigned)(known - endpoint->starts);
    }
    else {
        if (endpoint->start_count < ENDPOINT_STARTS_MAX) {
            endpoint->start_count++;
        }
        at = endpoint->start_count - 1;
    }
    memmove(&endpoint->starts[1], &endpoint->starts[0],
            at * sizeof(endpoint->starts[0]));
    endpoint->starts[0] = current;
    return &endpoint->starts[0];
}

/* Whether a heartbeat is of a start before the current one. */
static bool
is_earlier(const struct endpoint *endpoint, const struct heartbeat *heartbeat,
           uint64_t now_us)
{
    uint64_t current_ms = endpoint->starts[0].born_ms;

    return endpoint->start_count > 0 && heartbeat->born_ms < current_ms &&
           now_us - endpoint->heard_us < CURRENT_SILENT_US;
}

/* Whether a heartbeat of a start that is known says nothing new. */
static bool
is_repeated(const struct endpoint_start *known,
            const struct heartbeat *heartbeat)
{
    return known != NULL && heartbeat->born_ms == known->born_ms &&
           (known->left || heartbeat->sequence <= known->sequence);
}

static bool
set_state(struct endpoint *endpoint, enum endpoint_state state)
{
    bool changed = endpoint->state != state;

    endpoint->state = state;
    return changed;
}

void
endpoint_init(struct endpoint *endpoint, const char *service)
{
    memset(endpoint, 0, sizeof(*endpoint));
    endpoint->service = hash_service(service);
    endpoint->slots = SLOTS_DEFAULT;
}

enum endpoint_news
endpoint_heartbeat(struct endpoint *endpoint,
                   const struct heartbeat *heartbeat, uint64_t now_us)
{
    struct endpoint_start *known = start_find(endpoint, heartbeat->id);
    struct endpoint_start start = {
        .born_ms = heartbeat->born_ms,
        .sequence = heartbeat->sequence,
        .draining = heartbeat->draining,
    };
    bool changed = endpoint->service != heartbeat->service;
    bool other =
        endpoint->start_count > 0 && (known != &endpoint->starts[0] ||
                                      known->born_ms != heartbeat->born_ms);

    if (is_earlier(endpoint, heartbeat, now_us)) {
        return ENDPOINT_EARLIER;
    }
    if (is_repeated(known, heartbeat)) {
        return ENDPOINT_NO_NEWS;
    }
    start.whole = other || known == NULL
                      ? heartbeat->sequence <= SEQUENCE_FIRST
                      : known->whole;
    start.whole |= endpoint->down;
    endpoint->down = false;
    g_strlcpy(start.id, heartbeat->id, sizeof(start.id));
    start_current(endpoint, known, &start);
    endpoint->heard_us = now_us;
    endpoint->service = heartbeat->service;
    endpoint->slots = heartbeat->slots > 0 ? heartbeat->slots : SLOTS_DEFAULT;
    changed |= set_state(endpoint, heartbeat->draining ? ENDPOINT_DRAINING
                                                       : ENDPOINT_READY);
    if (other) {
        return ENDPOINT_STARTED;
    }
    return changed ? ENDPOINT_CHANGED : ENDPOINT_NO_NEWS;
}

/* Whether a goodbye is of the start that is known under its id. */
static bool
is_goodbye_of(const struct endpoint_start *known, uint64_t born_ms)
{
    return known->born_ms == born_ms || (born_ms == 0 && known->draining);
}

bool
endpoint_left(struct endpoint *endpoint, const char *id, uint64_t born_ms)
{
    struct endpoint_start *known = start_find(endpoint, id);
    struct endpoint_start start = {.born_ms = born_ms};

    if (known == NULL) {
        if (endpoint->start_count > 0) {
            /* A goodbye that was held up; its sender was replaced. */
            return false;
        }
        g_strlcpy(start.id, id, sizeof(start.id));
        known = start_current(endpoint, NULL, &start);
    }
    if (!is_goodbye_of(known, born_ms)) {
        return false;
    }
    known->left = true;
    if (known != &endpoint->starts[0]) {
        return false;
    }
    return set_state(endpoint, ENDPOINT_GONE);
}

bool
endpoint_answered(struct endpoint *endpoint)
{
    if (endpoint->state != ENDPOINT_SILENT) {
        return false;
    }
    return set_state(endpoint, ENDPOINT_READY);
}

bool
endpoint_silent(struct endpoint *endpoint)
{
    if (!endpoint_open(endpoint)) {
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
endpoint_is_whole(const struct endpoint *endpoint)
{
    return endpoint->start_count > 0 && endpoint->starts[0].whole;
}

bool
endpoint_open(const struct endpoint *endpoint)
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
