/**
 * DOC: evacuations - data centres that operators have taken out of service
 *
 * No new flow may be opened at an endpoint of an evacuated data centre. The
 * set is a function of the store's epoch and revision, so of two states the
 * one of the later epoch, or of the higher revision in the same, is right,
 * whoever tells it and in whatever order: hosts pass it on with each frame and
 * never go back to an older one.
 */
#ifndef SWIFTARCH_RELAY_WIRE_EVACUATIONS_H
#define SWIFTARCH_RELAY_WIRE_EVACUATIONS_H

#include <stdbool.h>
#include <stdint.h>

/* Data centres that can be evacuated at a time: more than the 26 that the
 * system is designed for. */
#define EVACUATIONS_MAX 32

/**
 * struct evacuations - the set as of one revision
 * @epoch: the store's era, 0 when it isn't known
 * @revision: the store's revision, 0 when nothing is known of that epoch yet
 * @recovery_s: for so long yet the store may lack objects that agents had
 *               written before it came back older
 * @data_centres: evacuations_key() of each data centre, in no order
 * @count: how many
 */
struct evacuations {
    uint32_t epoch;
    uint64_t revision;
    uint8_t recovery_s;
    uint32_t data_centres[EVACUATIONS_MAX];
    uint8_t count;
};

/** evacuations_key() - what stands for a data centre in the set */
uint32_t
evacuations_key(const char *data_centre);

/** evacuations_add() - one more data centre; false when there is no room */
bool
evacuations_add(struct evacuations *evacuations, uint32_t key);

/** evacuations_contains() - whether a data centre is evacuated */
bool
evacuations_contains(const struct evacuations *evacuations, uint32_t key);

/** evacuations_newer() - whether @latest is newer than @known */
bool
evacuations_newer(const struct evacuations *latest,
                  const struct evacuations *known);

/** evacuations_equal() - whether both name the same data centres */
bool
evacuations_equal(const struct evacuations *a, const struct evacuations *b);

#endif
