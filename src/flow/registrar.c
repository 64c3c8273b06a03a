#include "flow/registrar.h"

#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

int
registrar_init(struct registrar *registrar)
{
    memset(registrar, 0, sizeof(*registrar));
    registrar->pending = calloc(RANK_BUCKETS, 1);
    return registrar->pending == NULL ? -ENOMEM : 0;
}

void
registrar_finish(struct registrar *registrar)
{
    free(registrar->pending);
    memset(registrar, 0, sizeof(*registrar));
}

void
registrar_mark(struct registrar *registrar, uint32_t bucket)
{
    if (registrar->pending[bucket] == 0) {
        registrar->pending[bucket] = 1;
        registrar->pending_count++;
    }
}

void
registrar_mark_all(struct registrar *registrar, const struct entries *entries)
{
    uint32_t bucket;

    for (bucket = 0; bucket < RANK_BUCKETS; bucket++) {
        if (entries->buckets[bucket] > 0) {
            registrar_mark(registrar, bucket);
        }
    }
    registrar->sent = 0;
}

/* Members to register with; none when this agent is among the candidates. */
static size_t
find_targets(const struct members *members, uint64_t self, uint32_t bucket,
             const struct member_copy **targets)
{
    size_t count = members_top(members, bucket, targets, FLOW_CANDIDATES);
    size_t i;

    for (i = 0; i < count; i++) {
        if (targets[i]->id == self) {
            return 0;
        }
    }
    return count;
}

static void
cursor_next(struct registrar *registrar)
{
    registrar->pending[registrar->cursor] = 0;
    registrar->pending_count--;
    registrar->sent = 0;
}

/* Writes the pins of the bucket at the cursor; returns their count. */
static size_t
bucket_due(struct registrar *registrar, const struct entries *entries,
           const struct members *members, uint64_t self, struct flow_pin *pins,
           uint64_t *to, size_t max)
{
    const struct member_copy *targets[FLOW_CANDIDATES];
    uint32_t bucket = registrar->cursor;
    size_t written = 0;
    size_t count = 0;

    if (entries->buckets[bucket] > 0) {
        count = find_targets(members, self, bucket, targets);
    }
    while (registrar->sent < count && written < max) {
        pins[written].bucket = bucket;
        pins[written].owner = self;
        to[written++] = targets[registrar->sent++]->id;
    }
    if (registrar->sent >= count) {
        cursor_next(registrar);
    }
    return written;
}

size_t
registrar_due(struct registrar *registrar, const struct entries *entries,
              const struct members *members, uint64_t self, uint64_t now_us,
              struct flow_pin *pins, uint64_t *to, size_t max)
{
    size_t written = 0;

    if (now_us >= registrar->refresh_us) {
        registrar_mark_all(registrar, entries);
        registrar->refresh_us = now_us + FLOW_PIN_REFRESH_US;
    }
    while (registrar->pending_count > 0 && written < max) {
        if (registrar->pending[registrar->cursor] == 0) {
            registrar->cursor = (registrar->cursor + 1) % RANK_BUCKETS;
            continue;
        }
        written += bucket_due(registrar, entries, members, self,
                              pins + written, to + written, max - written);
    }
    return written;
}
