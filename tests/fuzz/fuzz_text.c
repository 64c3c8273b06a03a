#include <glib.h>
#include <string.h>

#include "mutate.h"
#include "text/text.h"

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

/* Either a text or a report of what is wrong with it. */
static void
check(int rc, struct text *text, char *report)
{
    g_assert_true((rc == 0) == (text != NULL));
    g_assert_true(rc == 0 || report != NULL);
    if (text != NULL) {
        for (size_t i = 0; i < text->count; i++) {
            const struct text_service *service = &text->services[i];

            g_assert_true(text_find(text, service->id) != NULL);
            g_assert_cmpuint(service->depends_count, <=, TEXT_DEPENDS_MAX);
            for (size_t j = 0; j < service->depends_count; j++) {
                g_assert_cmpuint(service->depends[j], <, text->count);
            }
        }
    }
    text_free(text);
    g_free(report);
}

static void
decode_text(const uint8_t *data, size_t len)
{
    struct text *text = NULL;
    char *report = NULL;
    int rc = text_parse((const char *)data, len, "fuzz", &text, &report);

    check(rc, text, report);
}

static void
decode_envelope(const uint8_t *data, size_t len)
{
    struct text_envelope envelope;
    struct text *text = NULL;
    char *report = NULL;
    int rc = text_parse_envelope((const char *)data, len, 5, &text, &report);

    check(rc, text, report);
    if (text_envelope_read((const char *)data, len, &envelope) == 0) {
        g_assert_true(envelope.text >= (const char *)data);
        g_assert_true(envelope.text + envelope.text_len <=
                      (const char *)data + len);
        g_assert_cmpuint(envelope.history_count, <=, TEXT_HISTORY_MAX);
    }
}

TEST(text)
{
    struct mutate_sample samples[] = {
        mutate_text(sample),
        mutate_text("{\"services\": []}"),
    };
    struct text *text = NULL;
    char *report = NULL;

    g_assert_cmpint(text_parse(sample, strlen(sample), "s", &text, &report),
                    ==, 0);
    text_free(text);

    MUTATE("text_parse", samples, RUNS, decode_text);
}

TEST(envelope)
{
    struct text_envelope envelope = {
        .write_id = "0123456789abcdef0123456789abcdef",
        .author = "rehema",
        .written_ms = 1790000000000,
        .history = {"00112233445566778899aabbccddeeff"},
        .history_count = 1,
        .text = sample,
        .text_len = strlen(sample),
    };
    size_t len;
    char *value = text_envelope_write(&envelope, &len);
    struct mutate_sample samples[] = {
        {(const uint8_t *)value, len},
        mutate_text(sample),
    };

    MUTATE("text_parse_envelope", samples, RUNS, decode_envelope);
    g_free(value);
}
