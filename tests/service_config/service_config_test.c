#include <errno.h>
#include <string.h>

#include "base/hash.h"
#include "sample.h"
#include "lib/harness.h"

#define SUITE "/service_config"
#define LOTS                                                                  \
    "{\"name\":\"lots\",\"address\":\"10.0.0.1\",\"port\":80,"                \
    "\"class\":\"urgent\"}"

static char *
parse_bad(const char *source, size_t len, int expected)
{
    struct service_config *config;
    char *report;
    int rc = service_config_parse(source, len, "t", &config, &report);

    g_assert_cmpint(rc, ==, expected);
    g_assert_null(config);
    g_assert_nonnull(report);
    return report;
}

TEST(full)
{
    struct service_config *config = sample_parse(sample_config);
    const struct service_config_entry *lots = &config->services[0];

    g_assert_cmpuint(config->count, ==, 3);
    g_assert_cmpuint(config->version, ==, 0);
    g_assert_cmpuint(lots->id, ==, hash_service("lots"));
    g_assert_cmpuint(lots->ip, ==, 0x0a000001);
    g_assert_cmpuint(lots->port, ==, 80);
    g_assert_cmpint(lots->class, ==, SERVICE_CONFIG_URGENT);
    g_assert_cmpuint(lots->depends_count, ==, 2);
    g_assert_cmpuint(lots->depends[0], ==, 1);
    g_assert_cmpuint(lots->depends[1], ==, 2);
    g_assert_cmpuint(lots->limits.connections, ==, 100);
    g_assert_cmpuint(lots->limits.connections_per_caller, ==, 100);
    g_assert_cmpuint(lots->limits.queue, ==, 7);
    g_assert_cmpuint(lots->limits.idle_s, ==, 60);
    service_config_free(config);
}

TEST(defaults)
{
    struct service_config *config = sample_parse("{\"services\":[" LOTS "]}");
    const struct service_config_limits expected = {2000, 200,     64,  32,
                                                   5000, 1 << 20, 3600};

    g_assert_cmpint(config->services[0].proto, ==, SERVICE_CONFIG_TCP);
    g_assert_cmpmem(&config->services[0].limits, sizeof(expected), &expected,
                    sizeof(expected));
    service_config_free(config);
}

TEST(find)
{
    struct service_config *config = sample_parse(sample_config);
    const struct service_config_entry *clock = &config->services[2];

    g_assert_true(service_config_find_id(config, hash_service("clock")) ==
                  clock);
    g_assert_null(service_config_find_id(config, hash_service("clocks")));
    g_assert_true(service_config_find_name(config, "clock") == clock);
    g_assert_true(service_config_find_addr(config, 0x0a000001, 80,
                                           SERVICE_CONFIG_UDP) == clock);
    g_assert_true(
        service_config_find_addr(config, 0x0a000001, 80, SERVICE_CONFIG_TCP) ==
        &config->services[0]);
    g_assert_null(
        service_config_find_addr(config, 0x0a000001, 81, SERVICE_CONFIG_TCP));
    g_assert_null(
        service_config_find_addr(config, 0x0a000002, 80, SERVICE_CONFIG_UDP));
    service_config_free(config);
}

/** struct error_case - an invalid config and its report */
struct error_case {
    const char *source;
    const char *report;
};

#define A                                                                     \
    "{\"name\":\"a\",\"address\":\"10.0.0.1\",\"port\":1,"                    \
    "\"class\":\"urgent\""
#define WITH(more) "{\"services\":[\n" A more "}]}"
#define REFUSED_ADDRESS                                                       \
    ", expected an address that callers can reach: not 0.0.0.0/8, "           \
    "127.0.0.0/8, or 224.0.0.0 and above\n"
#define AT(address, port)                                                     \
    "{\"services\":[{\"name\":\"a\",\"address\":" address ",\"port\":" port   \
    ",\"class\":\"urgent\"}]}"

static const struct error_case error_cases[] = {
    {"", "t:1: found the end of the file, expected more JSON\n"},
    {"null", "t:1: found null, expected an object\n"},
    {"[]", "t:1: found a list, expected an object with \"services\"\n"},
    {"{\n\"services\":[\n", "t:3: found the end of the file, expected more "
                            "JSON\n"},
    {"{}\n]", "t:2: found ']', expected JSON (unexpected character)\n"},
    {"{}", "t:1: services: found no such key, expected it\n"},
    {"{'services':[]}", "t:1: found ''', expected JSON (RFC 8259)\n"},
    {"{\"services\":{}}",
     "t:1: services: found an object, expected a list of services\n"},
    {"{\"services\":[]}",
     "t:1: services: found 0 services, expected 1 to 4096\n"},
    {"{\"services\":[" LOTS "],\n\"x\":1}",
     "t:2: found the unknown key \"x\", expected one of services\n"},
    {"{\"services\":[3]}", "t:1: services[0]: found 3, expected an object\n"},
    {"{\"services\":[{}]}",
     "t:1: services[0].name: found no such key, expected it\n"
     "t:1: services[0].address: found no such key, expected it\n"
     "t:1: services[0].port: found no such key, expected it\n"
     "t:1: services[0].class: found no such key, expected it\n"},
    {WITH(",\n\"name\":\"b\""),
     "t:3: services[0]: found the key \"name\" again, expected it once\n"},
    {WITH(",\"n\\u0061me\":\"b\""),
     "t:2: services[0]: found the unknown key \"n\\u0061me\", expected one "
     "of name, address, port, protocol, class, depends_on, limits\n"},
    {WITH(",\"protocol\":6"),
     "t:2: services[0].protocol: found 6, expected \"tcp\" or \"udp\"\n"},
    {WITH(",\"depends_on\":\"b\""),
     "t:2: services[0].depends_on: found \"b\", expected a list of names\n"},
    {WITH(",\n\"depends_on\":\n[\"b\"]"),
     "t:4: services[0].depends_on[0]: found \"b\", expected the name of a "
     "service of this text\n"},
    {WITH(",\n\"depends_on\":[\"a\"]"),
     "t:3: services[0].depends_on: found the cycle a -> a, expected no "
     "cycle\n"},
    {WITH(",\"limits\":[]"),
     "t:2: services[0].limits: found a list, expected an object\n"},
    {WITH(",\"limits\":{\"queue\":true}"),
     "t:2: services[0].limits.queue: found true, expected a whole number "
     "from 1 to 65535\n"},
    {WITH(",\"limits\":{\"queue\":1e2}"),
     "t:2: services[0].limits.queue: found 1e2, expected a whole number "
     "from 1 to 65535\n"},
    {WITH(",\"limits\":{\"connections\":5,\n\"connections_per_caller\":6}"),
     "t:3: services[0].limits.connections_per_caller: found 6, expected at "
     "most \"connections\" (5)\n"},
    {AT("\"10.0.0.1\"", "0"),
     "t:1: services[0].port: found 0, expected a whole number from 1 to "
     "65535\n"},
    {AT("\"10.0.0.1\"", "65536"),
     "t:1: services[0].port: found 65536, expected a whole number from 1 to "
     "65535\n"},
    {AT("\"10.0.0.1\"", "18446744073709551616"),
     "t:1: services[0].port: found 18446744073709551615, expected a whole "
     "number from 1 to 65535\n"},
    {AT("\"10.0.0\"", "1"),
     "t:1: services[0].address: found \"10.0.0\", expected an IPv4 address "
     "such as \"10.0.0.1\"\n"},
    {AT("\"10.0.0.1\\u0000\"", "1"),
     "t:1: services[0].address: found \"10.0.0.1\\u0000\", expected an IPv4 "
     "address such as \"10.0.0.1\"\n"},
    {WITH(",\"protocol\":\"udp\\u0000\""),
     "t:2: services[0].protocol: found \"udp\\u0000\", expected \"tcp\" or "
     "\"udp\"\n"},
    {AT("1", "1"),
     "t:1: services[0].address: found 1, expected an IPv4 address such "
     "as \"10.0.0.1\"\n"},
    {AT("\"0.1.2.3\"", "1"),
     "t:1: services[0].address: found \"0.1.2.3\"" REFUSED_ADDRESS},
    {AT("\"127.9.9.9\"", "1"),
     "t:1: services[0].address: found \"127.9.9.9\"" REFUSED_ADDRESS},
    {AT("\"224.0.0.1\"", "1"),
     "t:1: services[0].address: found \"224.0.0.1\"" REFUSED_ADDRESS},
    {AT("\"255.255.255.255\"", "1"),
     "t:1: services[0].address: found \"255.255.255.255\"" REFUSED_ADDRESS},
    {"{\"services\":[\n" LOTS ",\n" LOTS "]}",
     "t:3: services[1]: found the name \"lots\" again, expected it once "
     "(services[0] has it)\n"
     "t:3: services[1]: found tcp 10.0.0.1:80 again, expected it once "
     "(services[0] has it)\n"},
    {"{\"services\":[\n" LOTS ",{\"name\":\"x\",\"address\":\"10.0.0.9\",\n"
     "\"port\":80,\"class\":\"slow\"}]}",
     "t:3: services[1].class: found \"slow\", expected \"urgent\" or "
     "\"ordinary\"\n"},
};

TEST(errors)
{
    for (size_t i = 0; i < G_N_ELEMENTS(error_cases); i++) {
        const struct error_case *row = &error_cases[i];
        g_autofree char *report =
            parse_bad(row->source, strlen(row->source), -EINVAL);

        g_assert_cmpstr(report, ==, row->report);
    }
}

TEST(names)
{
    static const char longest[] =
        "a23456789012345678901234567890123456789012345678901234567890123";
    static const char too_long[] =
        "a234567890123456789012345678901234567890123456789012345678901234";
    static const char *const bad[] = {"",       "A",        "1a",    "-a",
                                      "a-",     "a_b",      "a.b",   "a b",
                                      "\u00e9", "a\\u0000", too_long};
    static const char *const good[] = {"a", "a1", "a-b", longest};

    for (size_t i = 0; i < G_N_ELEMENTS(bad) + G_N_ELEMENTS(good); i++) {
        bool is_bad = i < G_N_ELEMENTS(bad);
        const char *name = is_bad ? bad[i] : good[i - G_N_ELEMENTS(bad)];
        g_autofree char *source = g_strdup_printf(
            "{\"services\":[{\"name\":\"%s\",\"address\":\"10.0.0.1\","
            "\"port\":1,\"class\":\"urgent\"}]}",
            name);

        if (is_bad) {
            g_free(parse_bad(source, strlen(source), -EINVAL));
        }
        else {
            service_config_free(sample_parse(source));
        }
    }
}

/** struct limit_case - valid range of a limit */
struct limit_case {
    const char *key;
    uint32_t min;
    uint32_t max;
};

static void
check_limit(const char *key, uint32_t value, bool good)
{
    g_autofree char *source = g_strdup_printf(
        WITH(",\"limits\":{\"%s\":%u%s}"), key, value,
        strcmp(key, "connections_per_caller") == 0 ? ",\"connections\":1000000"
                                                   : "");

    if (good) {
        service_config_free(sample_parse(source));
    }
    else {
        g_free(parse_bad(source, strlen(source), -EINVAL));
    }
}

TEST(limits)
{
    static const struct limit_case limits[] = {
        {"connections", 1, 1000000}, {"connections_per_caller", 1, 1000000},
        {"queue", 1, 65535},         {"requests_per_caller", 1, 65535},
        {"deadline_ms", 10, 600000}, {"body_bytes", 1, 1048576},
        {"idle_s", 1, 604800},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
        check_limit(limits[i].key, limits[i].min - 1, false);
        check_limit(limits[i].key, limits[i].min, true);
        check_limit(limits[i].key, limits[i].max, true);
        check_limit(limits[i].key, limits[i].max + 1, false);
    }
}

TEST(cycle_named)
{
    const char *source =
        "{\"services\":[\n" A ",\n\"depends_on\":[\"b\"]},\n"
        "{\"name\":\"b\",\"address\":\"10.0.0.1\",\"port\":2,"
        "\"class\":\"urgent\",\n\"depends_on\":[\"d\",\"c\"]},\n"
        "{\"name\":\"c\",\"address\":\"10.0.0.1\",\"port\":3,"
        "\"class\":\"urgent\",\n\"depends_on\":[\"d\",\"b\"]},\n"
        "{\"name\":\"d\",\"address\":\"10.0.0.1\",\"port\":4,"
        "\"class\":\"urgent\"}]}";
    g_autofree char *report = parse_bad(source, strlen(source), -EINVAL);

    g_assert_cmpstr(report, ==,
                    "t:7: services[2].depends_on: found the cycle "
                    "b -> c -> b, expected no cycle\n");
}

/* Surrounding white space counts towards the size limit but is not kept. */
TEST(size)
{
    size_t max = SERVICE_CONFIG_SIZE_MAX - SERVICE_CONFIG_ENVELOPE_MAX;
    g_autofree char *good = g_strdup("{\"services\":[" LOTS "]}");
    g_autofree char *space = g_strnfill(max + 1 - strlen(good), ' ');
    g_autofree char *source = g_strconcat(good, space, NULL);
    struct service_config *config;
    g_autofree char *report = NULL;

    g_assert_cmpint(service_config_parse(source, max, "t", &config, &report),
                    ==, 0);
    g_assert_cmpuint(config->source_len, ==, strlen(good));
    service_config_free(config);
    report = parse_bad(source, max + 1, -EFBIG);
    g_assert_cmpstr(report, ==,
                    "t:1: found 1047553 bytes, expected at most 1047552 (a "
                    "megabyte with the envelope it is published in)\n");
}

TEST(utf8)
{
    char *report = parse_bad("{\n\"a\xff\":1}", 9, -EINVAL);

    g_assert_cmpstr(report, ==, "t:2: found the byte 0xff, expected UTF-8\n");
    g_free(report);
    report = parse_bad("{}\0", 3, -EINVAL);
    g_assert_cmpstr(report, ==, "t:1: found the byte 0x00, expected UTF-8\n");
    g_free(report);
}

/* Finds two names with the same id. */
static void
find_collision(char **one, char **other)
{
    GHashTable *seen = g_hash_table_new(NULL, NULL);

    for (unsigned i = 1;; i++) {
        char *name = g_strdup_printf("s%u", i);
        gpointer id = GUINT_TO_POINTER(hash_service(name));
        unsigned before = GPOINTER_TO_UINT(g_hash_table_lookup(seen, id));

        if (before != 0) {
            *one = g_strdup_printf("s%u", before);
            *other = name;
            break;
        }
        g_hash_table_insert(seen, id, GUINT_TO_POINTER(i));
        g_free(name);
    }
    g_hash_table_destroy(seen);
}

/* Two names with the same id are rejected. */
TEST(collision)
{
    g_autofree char *one = NULL;
    g_autofree char *other = NULL;
    g_autofree char *source = NULL;
    g_autofree char *report = NULL;

    find_collision(&one, &other);
    source = g_strdup_printf(
        "{\"services\":[{\"name\":\"%s\",\"address\":\"10.0.0.1\",\"port\":1,"
        "\"class\":\"urgent\"},{\"name\":\"%s\",\"address\":\"10.0.0.1\","
        "\"port\":2,\"class\":\"urgent\"}]}",
        one, other);
    report = parse_bad(source, strlen(source), -EINVAL);
    g_assert_nonnull(strstr(report, "expected another name"));
    g_assert_nonnull(strstr(report, one));
}
