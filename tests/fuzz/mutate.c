#include "mutate.h"

#include <glib.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SEED_DEFAULT 20261202
#define CHANGES_MAX 8
#define PIECE_MAX 64

static char current[128];
static size_t current_len;

struct random {
    uint64_t state;
};

static uint64_t
next(struct random *random)
{
    uint64_t x = random->state += UINT64_C(0x9e3779b97f4a7c15);

    x = (x ^ x >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
    x = (x ^ x >> 27) * UINT64_C(0x94d049bb133111eb);
    return x ^ x >> 31;
}

static size_t
below(struct random *random, size_t bound)
{
    return bound == 0 ? 0 : (size_t)(next(random) % bound);
}

struct mutate_sample
mutate_string(const char *text)
{
    return (struct mutate_sample){(const uint8_t *)text, strlen(text)};
}

/* Boundary values of integer types, lengths and counts. */
static uint64_t
boundary_number(struct random *random)
{
    static const uint64_t numbers[] = {
        0,          1,          0x7f,      0x80,    0xff,       0x100,
        0x7fff,     0x8000,     0xffff,    0x10000, 0x7fffffff, 0x80000000,
        0xffffffff, UINT64_MAX, INT64_MAX, 20,      4,
    };

    return numbers[below(random, G_N_ELEMENTS(numbers))];
}

static void
overwrite_number(struct random *random, GByteArray *input)
{
    size_t width = (size_t)1 << below(random, 4);
    uint64_t number = boundary_number(random);
    bool little = below(random, 2) == 0;
    size_t at;

    if (input->len < width) {
        return;
    }
    at = below(random, input->len - width + 1);
    for (size_t i = 0; i < width; i++) {
        size_t shift = 8 * (little ? i : width - 1 - i);

        input->data[at + i] = (uint8_t)(number >> shift);
    }
}

static void
insert(GByteArray *input, size_t at, const uint8_t *data, size_t len)
{
    size_t tail = input->len - at;

    g_byte_array_set_size(input, (guint)(input->len + len));
    memmove(input->data + at + len, input->data + at, tail);
    memcpy(input->data + at, data, len);
}

/* Inserts a piece of @from, which is the input itself or another sample. */
static void
insert_piece(struct random *random, GByteArray *input, const uint8_t *from,
             size_t from_len)
{
    uint8_t piece[PIECE_MAX];
    size_t len = 1 + below(random, MIN(from_len, PIECE_MAX));
    size_t start;

    if (from_len == 0 || input->len + len > MUTATE_INPUT_MAX) {
        return;
    }
    len = MIN(len, from_len);
    start = below(random, from_len - len + 1);
    memcpy(piece, from + start, len);
    insert(input, below(random, input->len + 1), piece, len);
}

static void
insert_noise(struct random *random, GByteArray *input)
{
    static const char marks[] = "{}[]\":,\\\r\n\0 0-9eE+;=%/";
    uint8_t piece[PIECE_MAX];
    size_t len = 1 + below(random, 8);

    for (size_t i = 0; i < len; i++) {
        piece[i] = below(random, 2) == 0
                       ? (uint8_t)next(random)
                       : (uint8_t)marks[below(random, sizeof(marks) - 1)];
    }
    insert(input, below(random, input->len + 1), piece, len);
}

static void
remove_piece(struct random *random, GByteArray *input)
{
    size_t at;

    if (input->len == 0) {
        return;
    }
    at = below(random, input->len);
    g_byte_array_remove_range(input, (guint)at,
                              (guint)(1 + below(random, input->len - at)));
}

static void
change(struct random *random, GByteArray *input,
       const struct mutate_sample *other)
{
    switch (below(random, 8)) {
    case 0:
        if (input->len > 0) {
            input->data[below(random, input->len)] ^=
                (uint8_t)(1 << below(random, 8));
        }
        break;
    case 1:
        if (input->len > 0) {
            input->data[below(random, input->len)] = (uint8_t)next(random);
        }
        break;
    case 2:
        overwrite_number(random, input);
        break;
    case 3:
        insert_noise(random, input);
        break;
    case 4:
        insert_piece(random, input, input->data, input->len);
        break;
    case 5:
        insert_piece(random, input, other->data, other->len);
        break;
    case 6:
        remove_piece(random, input);
        break;
    default:
        g_byte_array_set_size(input, (guint)below(random, input->len + 1));
        break;
    }
}

static void
make_input(GByteArray *input, const struct mutate_sample *samples,
           size_t count, uint64_t seed, uint64_t run)
{
    struct random random = {seed * UINT64_C(0x100000001b3) ^ run << 20};
    const struct mutate_sample *sample =
        &samples[run < count ? run : below(&random, count)];
    size_t changes = run < count ? 0 : 1 + below(&random, CHANGES_MAX);

    g_byte_array_set_size(input, 0);
    g_byte_array_append(input, sample->data, (guint)sample->len);
    while (changes-- > 0) {
        change(&random, input, &samples[below(&random, count)]);
    }
}

static void
on_crash(int signal_number)
{
    ssize_t written = write(STDERR_FILENO, current, current_len);

    (void)written;
    signal(signal_number, SIG_DFL);
    (void)raise(signal_number);
}

static uint64_t
env_number(const char *name, uint64_t fallback)
{
    const char *text = g_getenv(name);

    return text != NULL ? g_ascii_strtoull(text, NULL, 10) : fallback;
}

/* A heap block of the exact size lets tools detect reads past the end. */
static void
feed(const GByteArray *input, void (*decode)(const uint8_t *data, size_t len))
{
    uint8_t *exact = g_malloc(MAX(input->len, 1));

    memcpy(exact, input->data, input->len);
    decode(exact, input->len);
    g_free(exact);
}

void
mutate_run(const char *name, const struct mutate_sample *samples,
           size_t sample_count, unsigned runs,
           void (*decode)(const uint8_t *data, size_t len))
{
    uint64_t seed = env_number("FUZZ_SEED", SEED_DEFAULT);
    uint64_t count = env_number("FUZZ_RUNS", runs);
    uint64_t only = env_number("FUZZ_ONLY", UINT64_MAX);
    GByteArray *input = g_byte_array_new();

    signal(SIGABRT, on_crash);
    for (uint64_t run = 0; run < count; run++) {
        if (only != UINT64_MAX && run != only) {
            continue;
        }
        current_len = (size_t)g_snprintf(current, sizeof(current),
                                         "%s: FUZZ_SEED=%" G_GUINT64_FORMAT
                                         " FUZZ_ONLY=%" G_GUINT64_FORMAT "\n",
                                         name, seed, run);
        make_input(input, samples, sample_count, seed, run);
        feed(input, decode);
    }
    signal(SIGABRT, SIG_DFL);
    g_byte_array_unref(input);
    g_test_message("%s: seed %" G_GUINT64_FORMAT ", %" G_GUINT64_FORMAT
                   " runs",
                   name, seed, count);
}
