#include "idem/released.h"

#include "base/hash.h"

void
released_init(struct released *released)
{
    *released = (struct released){
        .set = g_hash_table_new(g_int64_hash, g_int64_equal),
    };
}

void
released_finish(struct released *released)
{
    g_hash_table_destroy(released->set);
    released->set = NULL;
}

void
released_add(struct released *released, uint64_t owner, uint64_t token)
{
    uint64_t *slot = &released->ring[released->next];

    if (released_has(released, owner, token)) {
        return;
    }
    if (*slot != 0) {
        g_hash_table_remove(released->set, slot);
    }
    *slot = hash_pair(owner, token);
    g_hash_table_add(released->set, slot);
    released->next = (released->next + 1) % RELEASED_MAX;
}

bool
released_has(const struct released *released, uint64_t owner, uint64_t token)
{
    uint64_t hash = hash_pair(owner, token);

    return g_hash_table_contains(released->set, &hash);
}
