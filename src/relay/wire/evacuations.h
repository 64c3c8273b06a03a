/**
 * DOC: evacuations - data centres that operators have taken out of service
 *
 * No new flow may be opened at an endpoint of an evacuated data centre. The
 * set is a function of the store's epoch and revision, so of two sets the one
 * of the later epoch, or of the higher revision in the same epoch, is current.
 * Every frame carries the set of its sender; a host adopts newer sets only.
 */
#ifndef SWIFTARCH_RELAY_WIRE_EVACUATIONS_H
#define SWIFTARCH_RELAY_WIRE_EVACUATIONS_H

#include <stdbool.h>
#include <stdint.h>

/* Data centres that can be evacuated at a time; the system is designed for 26.
 */
#define EVACUATIONS_MAX 32

/**
 * struct evacuations - the set as of one revision
 * @epoch: the store's epoch, 0 if unknown
 * @revision: the store's revision, 0 if none of that epoch is known
 * @recovery_s: seconds for which the store may still lack objects that it lost
 *              when it was restored from an older copy
 * @data_centres: evacuations_key() of each data centre, unordered
 * @count: number of data centres
 */
struct evacuations {
    uint32_t epoch;
    uint64_t revision;
    uint8_t recovery_s;
    uint32_t data_centres[EVACUATIONS_MAX];
    uint8_t count;
};

/** evacuations_key() - 32-bit hash that identifies a data centre in the set */
uint32_t
evacuations_key(const char *data_centre);

/** evacuations_add() - adds a data centre; returns false if the set is full. A
 * data centre that is in the set already isn't added again. */
bool
evacuations_add(struct evacuations *evacuations, uint32_t key);

/** evacuations_contains() - whether a data centre is evacuated */
bool
evacuations_contains(const struct evacuations *evacuations, uint32_t key);

/** evacuations_newer() - whether @latest has a later epoch than @known, or a
 * higher revision in the same epoch */
bool
evacuations_newer(const struct evacuations *latest,
                  const struct evacuations *known);

/** evacuations_equal() - whether both sets hold the same data centres,
 * whatever their epochs and revisions */
bool
evacuations_equal(const struct evacuations *a, const struct evacuations *b);

#endif
