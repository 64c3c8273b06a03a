/**
 * DOC: mutate - seeded mutation of samples, to feed decoders with
 *
 * Run number N of seed S always makes the same input. FUZZ_SEED and
 * FUZZ_RUNS choose others, FUZZ_ONLY repeats a single run. A decoder that
 * crashes leaves the seed and the run on standard error.
 */
#ifndef SWIFTARCH_TESTS_FUZZ_MUTATE_H
#define SWIFTARCH_TESTS_FUZZ_MUTATE_H

#include <stddef.h>
#include <stdint.h>

#include "lib/harness.h"

#define MUTATE_INPUT_MAX 65536

/** struct mutate_sample - a well-formed input to start from */
struct mutate_sample {
    const uint8_t *data;
    size_t len;
};

/** mutate_string() - sample of a C string */
struct mutate_sample
mutate_string(const char *text);

/**
 * mutate_run() - feed @runs mutations of @samples to @decode
 * @name: of the decoder, for messages
 * @decode: must return for any input, and check what it got; @data lies in
 *          a block of exactly @len bytes, so that reading past it shows
 *
 * Run 0 and the next ones are the samples themselves.
 */
void
mutate_run(const char *name, const struct mutate_sample *samples,
           size_t sample_count, unsigned runs,
           void (*decode)(const uint8_t *data, size_t len));

/** MUTATE() - mutate_run() of an array of samples */
#define MUTATE(name, samples, runs, decode)                                   \
    mutate_run(name, samples, G_N_ELEMENTS(samples), runs, decode)

/** FUZZ_STRINGS() - a test that feeds mutations of C strings to @decode */
#define FUZZ_STRINGS(name, runs, decode, ...)                                 \
    TEST(name)                                                                \
    {                                                                         \
        static const char *const texts[] = {__VA_ARGS__};                     \
        struct mutate_sample samples[G_N_ELEMENTS(texts)];                    \
        for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {                    \
            samples[i] = mutate_string(texts[i]);                             \
        }                                                                     \
        MUTATE(SUITE "/" #name, samples, runs, decode);                       \
    }

#endif
