#include "relay/overload/retry_memory.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/hash.h"

static struct retry_memory_caller *
bucket_of(struct retry_memory *memory, uint32_t service, uint32_t caller)
{
    uint32_t key[2] = {service, caller};

    return memory->callers[hash_bytes(key, sizeof(key), memory->seed) %
                           RETRY_MEMORY_BUCKETS];
}

static bool
is_recent(const struct retry_memory_caller *entry, unsigned budget_ms,
          uint64_t now_us)
{
    return entry->first_us != 0 && now_us >= entry->first_us &&
           now_us - entry->first_us <= budget_ms * USEC_PER_MSEC;
}

/* Entry of a caller, or the one to replace. */
static struct retry_memory_caller *
find(struct retry_memory *memory, uint32_t service, uint32_t caller)
{
    struct retry_memory_caller *bucket = bucket_of(memory, service, caller);
    struct retry_memory_caller *oldest = &bucket[0];

    for (unsigned i = 0; i < RETRY_MEMORY_WAYS; i++) {
        if (bucket[i].caller == caller && bucket[i].service == service) {
            return &bucket[i];
        }
        if (bucket[i].first_us < oldest->first_us) {
            oldest = &bucket[i];
        }
    }
    return oldest;
}

void
retry_memory_init(struct retry_memory *memory, uint64_t seed)
{
    memset(memory, 0, sizeof(*memory));
    memory->seed = seed;
}

void
retry_memory_refused(struct retry_memory *memory, uint32_t service,
                     uint32_t caller, unsigned budget_ms, uint64_t now_us)
{
    struct retry_memory_caller *entry = find(memory, service, caller);

    if (entry->caller != caller || entry->service != service ||
        !is_recent(entry, budget_ms, now_us)) {
        *entry = (struct retry_memory_caller){
            .caller = caller,
            .service = service,
            .first_us = now_us,
        };
    }
    entry->refusals++;
}

unsigned
retry_memory_take(struct retry_memory *memory, uint32_t service,
                  uint32_t caller, unsigned budget_ms, uint64_t now_us)
{
    struct retry_memory_caller *entry = find(memory, service, caller);

    if (entry->caller != caller || entry->service != service ||
        entry->refusals == 0 || !is_recent(entry, budget_ms, now_us)) {
        return 0;
    }
    entry->refusals--;
    return (unsigned)MAX((now_us - entry->first_us) / USEC_PER_MSEC, 1);
}
