#include <errno.h>
#include <string.h>

#include "sample.h"
#include "lib/harness.h"

#define SUITE "/service_config"

static struct service_config_envelope
sample_envelope(const struct service_config *config)
{
    struct service_config_envelope envelope = {
        .write_id = "0123456789abcdef0123456789abcdef",
        .author = "Mama \"Rehema\"",
        .written_ms = 1796236590097,
        .history = {"11111111111111111111111111111111",
                    "22222222222222222222222222222222"},
        .history_count = 2,
        .source = config->source,
        .source_len = config->source_len,
    };

    return envelope;
}

/* Writing and reading an envelope preserves all fields and the config. */
TEST(envelope)
{
    struct service_config *config = sample_parse(sample_config);
    struct service_config_envelope envelope = sample_envelope(config);
    struct service_config_envelope parsed;
    struct service_config *reparsed;
    char *report;
    size_t len;
    g_autofree char *value = service_config_envelope_write(&envelope, &len);

    g_assert_cmpuint(len - config->source_len, <, SERVICE_CONFIG_ENVELOPE_MAX);
    g_assert_cmpint(service_config_envelope_read(value, len, &parsed), ==, 0);
    g_assert_cmpstr(parsed.write_id, ==, envelope.write_id);
    g_assert_cmpstr(parsed.author, ==, envelope.author);
    g_assert_cmpuint(parsed.written_ms, ==, envelope.written_ms);
    g_assert_cmpuint(parsed.history_count, ==, 2);
    g_assert_cmpstr(parsed.history[1], ==, envelope.history[1]);
    g_assert_cmpint(
        service_config_parse_envelope(value, len, 7, &reparsed, &report), ==,
        0);
    g_assert_cmpuint(reparsed->version, ==, 7);
    sample_assert_same(config, reparsed);
    service_config_free(reparsed);
    g_assert_cmpint(service_config_parse_envelope(config->source,
                                                  config->source_len, 8,
                                                  &reparsed, &report),
                    ==, 0);
    g_assert_cmpuint(reparsed->version, ==, 8);
    sample_assert_same(config, reparsed);
    service_config_free(reparsed);
    service_config_free(config);
}

/* The largest envelope stays within SERVICE_CONFIG_ENVELOPE_MAX. */
TEST(envelope_largest)
{
    struct service_config *config = sample_parse(sample_config);
    struct service_config_envelope envelope = sample_envelope(config);
    char *value;
    size_t len;

    memset(envelope.author, '\x01', SERVICE_CONFIG_AUTHOR_MAX - 1);
    envelope.written_ms = UINT64_MAX;
    envelope.history_count = SERVICE_CONFIG_HISTORY_MAX;
    for (size_t i = 0; i < SERVICE_CONFIG_HISTORY_MAX; i++) {
        g_strlcpy(envelope.history[i], envelope.write_id,
                  SERVICE_CONFIG_WRITE_ID_MAX);
    }
    value = service_config_envelope_write(&envelope, &len);
    g_assert_nonnull(value);
    g_assert_cmpuint(len - config->source_len, <=,
                     SERVICE_CONFIG_ENVELOPE_MAX);
    g_free(value);
    service_config_free(config);
}

/* Values with missing or invalid keys are rejected. */
TEST(not_an_envelope)
{
    static const char *const values[] = {
        "",
        "{}",
        "[1]",
        "{\"write_id\":\"x\",\"operator\":\"y\",\"written_ms\":1}",
        "{\"write_id\":\"x\",\"operator\":\"\",\"written_ms\":1,\"text\":{}}",
        "{\"write_id\":\"x\",\"operator\":\"y\",\"written_ms\":\"1\","
        "\"text\":{}}",
        "{\"write_id\":\"x\",\"operator\":\"y\",\"written_ms\":1,"
        "\"history\":[1],\"text\":{}}",
    };
    struct service_config_envelope envelope;

    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        g_assert_cmpint(service_config_envelope_read(
                            values[i], strlen(values[i]), &envelope),
                        ==, -EINVAL);
    }
}
