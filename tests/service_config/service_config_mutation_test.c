#include <string.h>

#include "sample.h"
#include "lib/harness.h"

#define SUITE "/service_config"
#define MUTATIONS 4000
#define SEED 20261202

/* Often yields a valid config with another value. */
static void
mutate_digit(GRand *rand, GString *source)
{
    gsize at = (gsize)g_rand_int_range(rand, 0, (gint32)source->len);

    while (at < source->len && !g_ascii_isdigit(source->str[at])) {
        at++;
    }
    if (at < source->len) {
        source->str[at] = (char)g_rand_int_range(rand, '0', '9' + 1);
    }
}

static void
mutate_once(GRand *rand, GString *source)
{
    static const char *const snippets[] = {
        "\"",  "{",  "}",    "[",        "]",      ",",
        ":",   "\n", "null", "\\u0000",  "80",     "\"lots\"",
        "1e9", "-1", "\xff", "\"port\"", "[[[[[[", "\"depends_on\":[]"};
    gsize at = (gsize)g_rand_int_range(rand, 0, (gint32)source->len);
    gsize len = (gsize)g_rand_int_range(rand, 1, 12);
    const char *snippet =
        snippets[g_rand_int_range(rand, 0, G_N_ELEMENTS(snippets))];
    char *copy;

    switch (g_rand_int_range(rand, 0, 5)) {
    case 0:
        g_string_erase(source, (gssize)at, (gssize)MIN(len, source->len - at));
        break;
    case 1:
        g_string_insert(source, (gssize)at, snippet);
        break;
    case 2:
        source->str[at] = (char)g_rand_int_range(rand, 1, 256);
        break;
    case 3:
        mutate_digit(rand, source);
        break;
    default:
        copy = g_strndup(source->str + at, len * 8);
        g_string_insert(source, (gssize)at, copy);
        g_free(copy);
        break;
    }
    if (source->len == 0) {
        g_string_append_c(source, '{');
    }
}

/* Every line of a report has the file name and a line number in the file. */
static void
assert_report(const char *report, const char *source)
{
    g_auto(GStrv) lines = g_strsplit(report, "\n", -1);
    unsigned last = 1;

    for (; *source != '\0'; source++) {
        last += *source == '\n';
    }
    for (size_t i = 0; lines[i + 1] != NULL; i++) {
        g_assert_true(g_str_has_prefix(lines[i], "t:"));
        g_assert_cmpuint(g_ascii_strtoull(lines[i] + 2, NULL, 10), >=, 1);
        g_assert_cmpuint(g_ascii_strtoull(lines[i] + 2, NULL, 10), <=, last);
        g_assert_nonnull(strstr(lines[i], "found "));
        g_assert_nonnull(strstr(lines[i], "expected "));
    }
}

static bool
check_mutant(const GString *source)
{
    struct service_config *config;
    struct service_config *reparsed;
    char *report;
    int rc =
        service_config_parse(source->str, source->len, "t", &config, &report);

    g_assert_true((rc == 0) == (report == NULL));
    g_assert_true((rc == 0) == (config != NULL));
    if (rc != 0) {
        g_assert_true(g_utf8_validate(report, -1, NULL));
        assert_report(report, source->str);
        g_free(report);
        return false;
    }
    reparsed = sample_parse(config->source);
    sample_assert_same(config, reparsed);
    service_config_free(reparsed);
    service_config_free(config);
    return true;
}

/* A mutated config is either rejected with a well-formed report, or its source
 * parses to an equal config. */
TEST(mutations)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(SEED);
    unsigned accepted = 0;

    g_test_message("seed %d", SEED);
    for (unsigned i = 0; i < MUTATIONS; i++) {
        g_autoptr(GString) source = g_string_new(sample_config);
        int count = g_rand_int_range(rand, 1, 4);

        for (int j = 0; j < count; j++) {
            mutate_once(rand, source);
        }
        accepted += check_mutant(source);
    }
    g_test_message("%u of %d accepted", accepted, MUTATIONS);
    g_assert_cmpuint(accepted, >, 0);
    g_assert_cmpuint(accepted, <, MUTATIONS);
}

/* The source of an accepted value parses to an equal config, and no address is
 * both in use and retired. */
static bool
check_value(const GString *value)
{
    struct service_config *config;
    struct service_config *reparsed;
    char *report;

    if (service_config_parse_envelope(value->str, value->len, 7, &config,
                                      &report) < 0) {
        g_assert_null(config);
        g_assert_nonnull(report);
        g_free(report);
        return false;
    }
    g_assert_null(report);
    g_assert_cmpint(service_config_parse_envelope(config->source,
                                                  config->source_len, 7,
                                                  &reparsed, &report),
                    ==, 0);
    sample_assert_same(config, reparsed);
    for (size_t i = 0; i < config->retired_count; i++) {
        const struct service_config_entry *old = &config->retired[i].service;

        g_assert_cmpuint(old->id, !=, 0);
        g_assert_true(service_config_find_retired(config, old->ip, old->port,
                                                  old->proto) ==
                      &config->retired[i]);
        g_assert_null(
            service_config_find_addr(config, old->ip, old->port, old->proto));
    }
    service_config_free(reparsed);
    service_config_free(config);
    return true;
}

static char *
value_with_retired(size_t *len)
{
    static const char retired[] =
        "[{\"name\": \"prints\", \"address\": \"10.0.0.1\", \"port\": 81, "
        "\"class\": \"ordinary\", \"until_ms\": 1700000000000},\n"
        "{\"name\": \"lots\", \"address\": \"10.0.0.2\", \"port\": 81, "
        "\"class\": \"urgent\", \"until_ms\": 1700000000001}]";
    struct service_config_envelope envelope = {
        .write_id = "0123456789abcdef0123456789abcdef",
        .author = "asha",
        .source = sample_config,
        .source_len = strlen(sample_config),
        .retired = retired,
        .retired_len = strlen(retired),
    };

    return service_config_envelope_write(&envelope, len);
}

TEST(value_mutations)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(SEED);
    unsigned accepted = 0;
    size_t len;
    g_autofree char *value = value_with_retired(&len);

    for (unsigned i = 0; i < MUTATIONS; i++) {
        g_autoptr(GString) copy = g_string_new_len(value, (gssize)len);
        int count = g_rand_int_range(rand, 1, 4);

        for (int j = 0; j < count; j++) {
            mutate_once(rand, copy);
        }
        accepted += check_value(copy);
    }
    g_test_message("%u of %d accepted", accepted, MUTATIONS);
    g_assert_cmpuint(accepted, >, 0);
    g_assert_cmpuint(accepted, <, MUTATIONS);
}
