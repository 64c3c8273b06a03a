#include <glib.h>
#include <string.h>

#include "mutate.h"
#include "service_config/service_config.h"

#define SUITE "/fuzz"
#define RUNS 6000

static const char sample[] =
    "{\"services\": [\n"
    "{\"name\": \"lots\", \"address\": \"10.0.0.1\", \"port\": 80,\n"
    "\"protocol\": \"tcp\", \"class\": \"urgent\",\n"
    "\"depends_on\": [\"clock\"],\n"
    "\"limits\": {\"connections\": 100, \"queue\": 7}},\n"
    "{\"name\": \"clock\", \"address\": \"10.0.0.1\", \"port\": 80,\n"
    "\"protocol\": \"udp\", \"class\": \"ordinary\"}]}\n";

/* Parsing gives either a consistent config or a report. */
static void
check(int rc, struct service_config *config, char *report)
{
    g_assert_true((rc == 0) == (config != NULL));
    g_assert_true(rc == 0 || report != NULL);
    if (config != NULL) {
        for (size_t i = 0; i < config->count; i++) {
            const struct service_config_entry *service = &config->services[i];

            g_assert_true(service_config_find_id(config, service->id) != NULL);
            g_assert_cmpuint(service->depends_count, <=,
                             SERVICE_CONFIG_DEPENDS_MAX);
            for (size_t j = 0; j < service->depends_count; j++) {
                g_assert_cmpuint(service->depends[j], <, config->count);
            }
        }
    }
    service_config_free(config);
    g_free(report);
}

static void
decode_config(const uint8_t *data, size_t len)
{
    struct service_config *config = NULL;
    char *report = NULL;
    int rc = service_config_parse((const char *)data, len, "fuzz", &config,
                                  &report);

    check(rc, config, report);
}

static void
decode_envelope(const uint8_t *data, size_t len)
{
    struct service_config_envelope envelope;
    struct service_config *config = NULL;
    char *report = NULL;
    int rc = service_config_parse_envelope((const char *)data, len, 5, &config,
                                           &report);

    check(rc, config, report);
    if (service_config_envelope_read((const char *)data, len, &envelope) ==
        0) {
        g_assert_true(envelope.source >= (const char *)data);
        g_assert_true(envelope.source + envelope.source_len <=
                      (const char *)data + len);
        g_assert_cmpuint(envelope.history_count, <=,
                         SERVICE_CONFIG_HISTORY_MAX);
    }
}

TEST(config)
{
    struct mutate_sample samples[] = {
        mutate_string(sample),
        mutate_string("{\"services\": []}"),
    };
    struct service_config *config = NULL;
    char *report = NULL;

    g_assert_cmpint(
        service_config_parse(sample, strlen(sample), "s", &config, &report),
        ==, 0);
    service_config_free(config);

    MUTATE("service_config_parse", samples, RUNS, decode_config);
}

TEST(envelope)
{
    struct service_config_envelope envelope = {
        .write_id = "0123456789abcdef0123456789abcdef",
        .author = "rehema",
        .written_ms = 1790000000000,
        .history = {"00112233445566778899aabbccddeeff"},
        .history_count = 1,
        .source = sample,
        .source_len = strlen(sample),
    };
    size_t len;
    char *value = service_config_envelope_write(&envelope, &len);
    struct mutate_sample samples[] = {
        {(const uint8_t *)value, len},
        mutate_string(sample),
    };

    MUTATE("service_config_parse_envelope", samples, RUNS, decode_envelope);
    g_free(value);
}
