/**
 * DOC: mutate - feeds seeded mutations of samples to decoders
 *
 * The input of a run depends only on the seed and the run number. The
 * environment variables FUZZ_SEED and FUZZ_RUNS set the seed and the number of
 * runs, FUZZ_ONLY limits the test to one run. When an assertion fails, the
 * seed and the run are printed to standard error.
 */
#ifndef SWIFTARCH_TESTS_FUZZ_MUTATE_H
#define SWIFTARCH_TESTS_FUZZ_MUTATE_H

#include <stddef.h>
#include <stdint.h>

#include "lib/harness.h"

#define MUTATE_INPUT_MAX 65536 /* bytes */

/**
 * struct mutate_sample - a well-formed input to mutate
 * @data: the input, not owned
 * @len: length of @data in bytes
 */
struct mutate_sample {
    const uint8_t *data;
    size_t len;
};

/** mutate_string() - sample of a C string, without its NUL */
struct mutate_sample
mutate_string(const char *text);

/**
 * mutate_run() - feed mutations of samples to a decoder
 * @name: name of the decoder for messages
 * @samples: samples
 * @sample_count: number of samples
 * @runs: number of inputs; the first @sample_count are the unmodified samples
 * @decode: decodes an input and checks the result; @data is a heap block of
 *          exactly @len bytes
 */
void
mutate_run(const char *name, const struct mutate_sample *samples,
           size_t sample_count, unsigned runs,
           void (*decode)(const uint8_t *data, size_t len));

/** MUTATE() - mutate_run() with an array of samples */
#define MUTATE(name, samples, runs, decode)                                   \
    mutate_run(name, samples, G_N_ELEMENTS(samples), runs, decode)

/** FUZZ_STRINGS() - define a test that feeds mutations of C strings to @decode
 */
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
