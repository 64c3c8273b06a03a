#include <errno.h>
#include <string.h>

#include "base/hash.h"
#include "sample.h"
#include "service_config/service_config_retire.h"
#include "lib/harness.h"

#define SUITE "/service_config/retire"
#define NOW_MS UINT64_C(1700000000000)
#define HOLD_MS UINT64_C(1000000)
#define UNTIL_MS (NOW_MS + HOLD_MS + SERVICE_CONFIG_RETIRE_SKEW_MS)

#define LOTS(port)                                                            \
    "{\"name\": \"lots\", \"address\": \"10.0.0.1\", "                        \
    "\"port\": " port ", \"class\": \"urgent\", "                             \
    "\"limits\": {\"queue\": 9}}"
#define ALBUMS(port)                                                          \
    "{\"name\": \"albums\", \"address\": \"10.0.0.1\", "                      \
    "\"port\": " port ", \"class\": \"ordinary\"}"
#define CONFIG(services) "{\"services\": [\n" services "]}"

/**
 * struct result - output of service_config_retire()
 * @retired: retired addresses
 * @count: number of addresses in @retired
 * @report: errors, or NULL
 * @rc: return value
 */
struct result {
    struct service_config_retired retired[SERVICE_CONFIG_RETIRED_MAX];
    size_t count;
    char *report;
    int rc;
};

static struct service_config_change
change_of(const struct service_config *from, const struct service_config *to,
          uint64_t now_ms)
{
    return (struct service_config_change){.from = from,
                                          .to = to,
                                          .name = "t",
                                          .now_ms = now_ms,
                                          .hold_ms = HOLD_MS};
}

static void
compute(const struct service_config_change *change, struct result *result)
{
    result->rc = service_config_retire(change, result->retired, &result->count,
                                       &result->report);
    g_assert_true((result->rc == 0) == (result->report == NULL));
}

/* Returns the envelope of a config and a JSON list of retired addresses. */
static char *
value_of(const struct service_config *config, const char *list, size_t *len)
{
    struct service_config_envelope envelope = {
        .write_id = "1",
        .author = "a",
        .source = config->source,
        .source_len = config->source_len,
        .retired = list,
        .retired_len = strlen(list),
    };

    return service_config_envelope_write(&envelope, len);
}

/* Returns the config that processes parse after @source replaced @from. */
static struct service_config *
publish(const struct service_config *from, const char *source, uint64_t now_ms)
{
    struct service_config *to = sample_parse(source);
    struct service_config_change change = change_of(from, to, now_ms);
    struct result result;
    struct service_config *config;
    char *report;
    size_t len;

    compute(&change, &result);
    g_assert_cmpstr(result.report, ==, NULL);
    g_autofree char *list =
        service_config_retired_write(result.retired, result.count);
    g_autofree char *value = value_of(to, list, &len);
    g_assert_cmpint(
        service_config_parse_envelope(value, len, 2, &config, &report), ==, 0);
    service_config_free(to);
    return config;
}

static void
assert_retired(const struct service_config *config, size_t i, const char *name,
               uint16_t port, uint64_t until_ms)
{
    g_assert_cmpuint(i, <, config->retired_count);
    g_assert_cmpstr(config->retired[i].service.name, ==, name);
    g_assert_cmpuint(config->retired[i].service.id, ==, hash_service(name));
    g_assert_cmpuint(config->retired[i].service.port, ==, port);
    g_assert_cmpuint(config->retired[i].until_ms, ==, until_ms);
    g_assert_true(service_config_find_retired(config, 0x0a000001, port,
                                              SERVICE_CONFIG_TCP) ==
                  &config->retired[i]);
}

/* A service moves twice, returns to its first address, and is removed. */
TEST(moved_service)
{
    struct service_config *first = publish(NULL, CONFIG(LOTS("80")), NOW_MS);
    struct service_config *second = publish(first, CONFIG(LOTS("81")), NOW_MS);
    struct service_config *third =
        publish(second, CONFIG(LOTS("82")), NOW_MS + 1);
    struct service_config *back =
        publish(third, CONFIG(LOTS("80")), NOW_MS + 2);
    struct service_config *removed =
        publish(back, CONFIG(ALBUMS("90")), NOW_MS + 3);
    uint32_t id = hash_service("lots");

    g_assert_cmpuint(first->retired_count, ==, 0);
    g_assert_cmpuint(second->retired_count, ==, 1);
    assert_retired(second, 0, "lots", 80, UNTIL_MS);
    g_assert_cmpuint(third->retired_count, ==, 2);
    assert_retired(third, 0, "lots", 80, UNTIL_MS);
    assert_retired(third, 1, "lots", 81, UNTIL_MS + 1);
    g_assert_cmpuint(back->retired_count, ==, 2);
    assert_retired(back, 0, "lots", 81, UNTIL_MS + 1);
    assert_retired(back, 1, "lots", 82, UNTIL_MS + 2);
    g_assert_cmpuint(removed->retired_count, ==, 3);
    assert_retired(removed, 2, "lots", 80, UNTIL_MS + 3);
    g_assert_true(service_config_find_id(removed, id) == NULL);
    g_assert_true(service_config_find_with_retired(removed, id) ==
                  &removed->retired[2].service);
    g_assert_cmpuint(removed->retired[2].service.limits.queue, ==, 9);
    g_assert_cmpint(removed->retired[2].service.class, ==,
                    SERVICE_CONFIG_URGENT);
    g_assert_true(service_config_find_with_retired(back, id) ==
                  service_config_find_id(back, id));
    service_config_free(first);
    service_config_free(second);
    service_config_free(third);
    service_config_free(back);
    service_config_free(removed);
}

/* The source sent between processes preserves the retired addresses. */
TEST(source_round_trip)
{
    struct service_config *first = publish(NULL, CONFIG(LOTS("80")), NOW_MS);
    struct service_config *moved = publish(first, CONFIG(LOTS("81")), NOW_MS);
    struct service_config *reparsed;
    char *report;

    g_assert_cmpint(service_config_parse_envelope(moved->source,
                                                  moved->source_len, 2,
                                                  &reparsed, &report),
                    ==, 0);
    sample_assert_same(moved, reparsed);
    service_config_free(first);
    service_config_free(moved);
    service_config_free(reparsed);
}

static void
assert_refused(const struct service_config *from, const char *source,
               uint64_t now_ms, const char *expected)
{
    struct service_config *to = sample_parse(source);
    struct service_config_change change = change_of(from, to, now_ms);
    struct result result;

    compute(&change, &result);
    g_assert_cmpstr(result.report, ==, expected);
    g_free(result.report);
    service_config_free(to);
}

/* No other service gets a retired address before its time has expired. */
TEST(reused_address)
{
    struct service_config *first =
        publish(NULL, CONFIG(LOTS("80") ",\n" ALBUMS("81")), NOW_MS);
    struct service_config *removed =
        publish(first, CONFIG(LOTS("80")), NOW_MS);
    struct service_config *later;

    assert_refused(first, CONFIG(LOTS("82") ",\n" ALBUMS("80")), NOW_MS,
                   "t:3: services[1].address: found tcp 10.0.0.1:80 for "
                   "\"albums\", which stays the address of \"lots\" until "
                   "2023-11-14 22:35:00 UTC for the sake of its open flows, "
                   "expected another address or port\n");
    assert_refused(removed, CONFIG(LOTS("81")), UNTIL_MS - 1,
                   "t:2: services[0].address: found tcp 10.0.0.1:81 for "
                   "\"lots\", which stays the address of \"albums\" until "
                   "2023-11-14 22:35:00 UTC for the sake of its open flows, "
                   "expected another address or port\n");
    later = publish(removed, CONFIG(LOTS("81")), UNTIL_MS);
    g_assert_cmpuint(later->retired_count, ==, 1);
    assert_retired(later, 0, "lots", 80,
                   UNTIL_MS + HOLD_MS + SERVICE_CONFIG_RETIRE_SKEW_MS);
    service_config_free(first);
    service_config_free(removed);
    service_config_free(later);
}

/* The operator can release one address or all; the transport must match. */
TEST(forget)
{
    struct service_config *first =
        publish(NULL, CONFIG(LOTS("80") ",\n" ALBUMS("81")), NOW_MS);
    struct service_config *removed =
        publish(first, CONFIG(LOTS("80")), NOW_MS);
    struct service_config *to = sample_parse(CONFIG(LOTS("81")));
    struct service_config_change change = change_of(removed, to, NOW_MS);
    struct service_config_forget forget = {{0x0a000001, 81},
                                           SERVICE_CONFIG_UDP};
    struct result result;

    change.forget = &forget;
    change.forget_count = 1;
    compute(&change, &result);
    g_assert_cmpint(result.rc, ==, -EINVAL);
    g_free(result.report);
    forget.proto = SERVICE_CONFIG_TCP;
    compute(&change, &result);
    g_assert_cmpint(result.rc, ==, 0);
    g_assert_cmpuint(result.count, ==, 1);
    g_assert_cmpuint(result.retired[0].service.port, ==, 80);
    change.forget_all = true;
    compute(&change, &result);
    g_assert_cmpint(result.rc, ==, 0);
    g_assert_cmpuint(result.count, ==, 0);
    service_config_free(first);
    service_config_free(removed);
    service_config_free(to);
}

/* A change that retires too many addresses is rejected. */
TEST(too_many)
{
    g_autoptr(GString) many = g_string_new("{\"services\": [");
    struct service_config *config;

    for (unsigned i = 0; i <= SERVICE_CONFIG_RETIRED_MAX; i++)
        g_string_append_printf(many,
                               "%s{\"name\": \"s%u\", \"address\": "
                               "\"10.0.0.2\", \"port\": %u, \"class\": "
                               "\"ordinary\"}",
                               i > 0 ? "," : "", i, i + 1);
    g_string_append(many, "]}");
    config = sample_parse(many->str);
    assert_refused(config, CONFIG(LOTS("80")), NOW_MS,
                   "t:1: found 257 addresses that services have left and "
                   "that may have open flows, expected at most 256\n");
    service_config_free(config);
}

/* A config of the maximum size is rejected when addresses must be retired. */
TEST(too_long)
{
    size_t max = SERVICE_CONFIG_SIZE_MAX - SERVICE_CONFIG_ENVELOPE_MAX;
    struct service_config *config = publish(NULL, CONFIG(LOTS("80")), NOW_MS);
    g_autoptr(GString) source = g_string_new(CONFIG(LOTS("81")));
    size_t pad = max - source->len;
    g_autofree char *spaces = g_strnfill(pad, ' ');

    g_string_insert(source, 1, spaces);
    g_assert_cmpuint(source->len, ==, max);
    assert_refused(config, source->str, NOW_MS,
                   "t:1: found 1048842 bytes with the 1 addresses that "
                   "services have left, expected at most 1048576\n");
    service_config_free(config);
}

/* A config with an invalid list of retired addresses is rejected. */
TEST(invalid_lists)
{
    static const struct {
        const char *list;
        const char *expected;
    } cases[] = {
        {"{}", "config:1: retired: found an object, expected a list of "
               "retired addresses\n"},
        {"null", "config:1: retired: found null, expected a list of retired "
                 "addresses\n"},
        {"[1]", "config:1: retired[0]: found 1, expected an object\n"},
        {"[{\"name\": \"x\", \"address\": \"10.0.0.3\", \"port\": 1, "
         "\"class\": \"urgent\"}]",
         "config:1: retired[0].until_ms: found no such key, expected it\n"},
        {"[{\"name\": \"x\", \"address\": \"10.0.0.3\", \"port\": 1, "
         "\"class\": \"urgent\", \"until_ms\": -1}]",
         "config:1: retired[0].until_ms: found -1, expected milliseconds "
         "since 1970\n"},
        {"[{\"name\": \"x\", \"address\": \"10.0.0.1\", \"port\": 80, "
         "\"class\": \"urgent\", \"until_ms\": 1}]",
         "config:1: retired[0]: found the address of \"x\" that is in use by "
         "\"lots\", expected one that no service has\n"},
        {"[{\"name\": \"x\", \"address\": \"10.0.0.3\", \"port\": 1, "
         "\"class\": \"urgent\", \"until_ms\": 1},\n"
         "{\"name\": \"y\", \"address\": \"10.0.0.3\", \"port\": 1, "
         "\"class\": \"urgent\", \"until_ms\": 1}]",
         "config:2: retired[1]: found the address of \"y\" again, expected "
         "it once\n"},
    };
    struct service_config *config = sample_parse(CONFIG(LOTS("80")));

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct service_config *parsed;
        g_autofree char *report = NULL;
        size_t len;
        g_autofree char *value = value_of(config, cases[i].list, &len);

        g_assert_cmpint(
            service_config_parse_envelope(value, len, 2, &parsed, &report), ==,
            -EINVAL);
        g_assert_null(parsed);
        g_assert_cmpstr(report, ==, cases[i].expected);
    }
    service_config_free(config);
}
