#include "relay/wire/evacuations.h"

#include "base/hash.h"

uint32_t
evacuations_key(const char *data_centre)
{
    return (uint32_t)hash_name(data_centre);
}

bool
evacuations_add(struct evacuations *evacuations, uint32_t key)
{
    if (evacuations_contains(evacuations, key)) {
        return true;
    }
    if (evacuations->count == EVACUATIONS_MAX) {
        return false;
    }
    evacuations->data_centres[evacuations->count++] = key;
    return true;
}

bool
evacuations_contains(const struct evacuations *evacuations, uint32_t key)
{
    for (unsigned i = 0; i < evacuations->count; i++) {
        if (evacuations->data_centres[i] == key) {
            return true;
        }
    }
    return false;
}

bool
evacuations_newer(const struct evacuations *latest,
                  const struct evacuations *known)
{
    return latest->epoch != known->epoch ? latest->epoch > known->epoch
                                         : latest->revision > known->revision;
}

bool
evacuations_equal(const struct evacuations *a, const struct evacuations *b)
{
    if (a->count != b->count) {
        return false;
    }
    for (unsigned i = 0; i < a->count; i++) {
        if (!evacuations_contains(b, a->data_centres[i])) {
            return false;
        }
    }
    return true;
}
