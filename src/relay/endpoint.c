#include "relay/endpoint.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/hash.h"

/* Until a heartbeat says otherwise. */
#define SLOTS_DEFAULT 2

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

/* Makes a start the current one; the one seen longest ago makes room. */
static struct endpoint_start *
start_current(struct endpoint *endpoint, const char *id)
{
    struct endpoint_start *found = start_find(endpoint, id);
    struct endpoint_start start = {.sequence = 0};
    unsigned at;

    if (found != NULL) {
        start = *found;
        at = (unsigned)(found - endpoint->starts);
    }
    else {
        g_strlcpy(start.id, id, sizeof(start.id));
        if (endpoint->start_count < ENDPOINT_STARTS_MAX) {
            endpoint->start_count++;
        }
        at = endpoint->start_count - 1;
    }
    memmove(&endpoint->starts[1], &endpoint->starts[0],
            at * sizeof(endpoint->starts[0]));
    endpoint->starts[0] = start;
    return &endpoint->starts[0];
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

bool
endpoint_heartbeat(struct endpoint *endpoint,
                   const struct heartbeat *heartbeat, uint64_t now_us)
{
    struct endpoint_start *start = start_find(endpoint, heartbeat->id);
    bool changed = endpoint->service != heartbeat->service;

    if (start != NULL &&
        (start->left || heartbeat->sequence <= start->sequence)) {
        return false;
    }
    start = start_current(endpoint, heartbeat->id);
    start->sequence = heartbeat->sequence;
    endpoint->service = heartbeat->service;
    endpoint->slots = heartbeat->slots > 0 ? heartbeat->slots : SLOTS_DEFAULT;
    endpoint->warm_us = now_us + heartbeat->warming_ms * USEC_PER_MSEC;
    return set_state(endpoint, heartbeat->draining ? ENDPOINT_DRAINING
                                                   : ENDPOINT_READY) ||
           changed;
}

bool
endpoint_left(struct endpoint *endpoint, const char *id)
{
    struct endpoint_start *start = start_find(endpoint, id);

    if (start == NULL) {
        if (endpoint->start_count > 0) {
            /* A goodbye that was held up; its sender was replaced. */
            return false;
        }
        start = start_current(endpoint, id);
    }
    start->left = true;
    if (start != &endpoint->starts[0]) {
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
endpoint_open(const struct endpoint *endpoint)
{
    return endpoint->state == ENDPOINT_READY ||
           endpoint->state == ENDPOINT_UNKNOWN;
}

struct frame_health
endpoint_health(const struct endpoint *endpoint, unsigned busy,
                uint64_t now_us)
{
    return (struct frame_health){
        .service = endpoint->service,
        .state = (uint8_t)endpoint->state,
        .busy = (uint8_t)MIN(busy, UINT8_MAX),
        .slots = (uint8_t)MIN(endpoint->slots, UINT8_MAX),
        .warming = now_us < endpoint->warm_us,
    };
}
