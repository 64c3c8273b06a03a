#include <errno.h>
#include <string.h>

#include "base/hash.h"
#include "lib/harness.h"
#include "platform/heartbeat_format.h"
#include "relay/relay_fixture.h"

#define SUITE "/relay/heartbeat_format"

static int
decode_heartbeat(const char *text, struct heartbeat *heartbeat)
{
    enum heartbeat_format_fault fault;
    struct error err = {0};
    int ret = heartbeat_format_decode("i-1", text, strlen(text), heartbeat,
                                      &fault, &err);

    g_assert_true(ret == 0 || err.detail[0] != '\0');
    return ret;
}

#define ADDRESS "\"address\":\"10.0.0.1:80\","
#define PLACE "\"zone\":\"here\",\"version\":\"v1\","
#define NUMBERS "\"slots\":2,\"warmupLeftMs\":0,\"sequence\":1"

TEST(heartbeat_is_decoded)
{
    struct heartbeat heartbeat;

    g_assert_cmpint(
        decode_heartbeat("{\"service\":\"lots\"," ADDRESS PLACE
                         "\"slots\":3,\"state\":\"draining\","
                         "\"warmupLeftMs\":1500,\"sequence\":12,\"new\":[]}",
                         &heartbeat),
        ==, 0);
    g_assert_cmpstr(heartbeat.id, ==, "i-1");
    g_assert_cmpuint(heartbeat.service, ==, hash_service("lots"));
    g_assert_true(addr_equal(heartbeat.address, fixture_addr("10.0.0.1:80")));
    g_assert_true(heartbeat.draining);
    g_assert_cmpuint(heartbeat.slots, ==, 3);
    g_assert_cmpuint(heartbeat.warmup_left_ms, ==, 1500);
    g_assert_cmpuint(heartbeat.sequence, ==, 12);
}

/* A heartbeat with @rest in place of its other fields. */
#define BEAT(rest) "{\"service\":\"lots\",\"state\":\"ready\"," rest "}"

TEST(heartbeat_may_contain_the_start_time)
{
    struct heartbeat heartbeat;

    g_assert_cmpint(
        decode_heartbeat(BEAT(ADDRESS PLACE NUMBERS) "\n", &heartbeat), ==, 0);
    g_assert_cmpuint(heartbeat.started_ms, ==, 0);
    g_assert_cmpint(
        decode_heartbeat(BEAT(ADDRESS PLACE NUMBERS ",\"born\":1790000000123"),
                         &heartbeat),
        ==, 0);
    g_assert_cmpuint(heartbeat.started_ms, ==, 1790000000123);
}

static int
decode_goodbye(const char *body, uint64_t *started_ms)
{
    struct error err = {0};
    int ret = heartbeat_format_goodbye_decode("i-1", body, strlen(body),
                                              started_ms, &err);

    g_assert_true(ret == 0 || err.detail[0] != '\0');
    return ret;
}

TEST(goodbye_may_contain_the_start_time)
{
    static const struct {
        const char *body;
        uint64_t started_ms;
    } rows[] = {
        {"", 0}, {"{}", 0}, {"{\"born\":1790000000123}", 1790000000123}};

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        uint64_t started_ms;

        g_assert_cmpint(decode_goodbye(rows[i].body, &started_ms), ==, 0);
        g_assert_cmpuint(started_ms, ==, rows[i].started_ms);
    }
}

/* Guards against a foreign goodbye that ends an endpoint. */
TEST(invalid_goodbyes_are_refused)
{
    static const char *const invalid[] = {
        "{\"born\":\"1790000000123\"}",
        "{\"born\":null}",
        "{\"born\":0}",
        "{\"born\":1.5}",
        "[1790000000123]",
        "7",
        "null",
        "{",
        "{}x",
        "\xff",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        uint64_t started_ms;

        g_assert_cmpint(decode_goodbye(invalid[i], &started_ms), ==, -EINVAL);
    }
}

TEST(invalid_heartbeats_are_refused)
{
    static const char *const invalid[] = {
        "",
        "{",
        "7",
        "{}",
        "{\"service\":7,\"state\":\"ready\"}",
        "{\"service\":\"lots\"}",
        "{\"service\":\"lots\",\"state\":\"asleep\"}",
        "{\"service\":\"lots\",\"state\":\"ready\",\"slots\":-1}",
        "{\"service\":\"lots\",\"state\":\"ready\",\"slots\":\"2\"}",
        "{\"service\":\"lots\",\"state\":\"ready\",\"sequence\":-4}",
        /* One invalid or missing field each. */
        BEAT(ADDRESS PLACE "\"warmupLeftMs\":0,\"sequence\":1"),
        BEAT(ADDRESS PLACE "\"slots\":2,\"warmupLeftMs\":0"),
        BEAT(ADDRESS PLACE "\"slots\":2,\"sequence\":1"),
        BEAT(ADDRESS PLACE "\"slots\":0,\"warmupLeftMs\":0,\"sequence\":1"),
        BEAT(ADDRESS PLACE "\"slots\":2.0,\"warmupLeftMs\":0,\"sequence\":1"),
        BEAT(ADDRESS PLACE
             "\"slots\":99999,\"warmupLeftMs\":0,\"sequence\":1"),
        BEAT(ADDRESS PLACE
             "\"slots\":2,\"warmupLeftMs\":0,\"sequence\":\"1\""),
        BEAT(ADDRESS PLACE "\"slots\":2,\"warmupLeftMs\":0,\"sequence\":-1"),
        BEAT(ADDRESS PLACE "\"slots\":2,\"warmupLeftMs\":0,\"sequence\":null"),
        BEAT(ADDRESS PLACE "\"slots\":2,\"warmupLeftMs\":0,\"sequence\":"
                           "99999999999999999999"),
        BEAT(ADDRESS PLACE "\"slots\":2,\"warmupLeftMs\":true,\"sequence\":1"),
        BEAT(ADDRESS PLACE "\"slots\":2,\"warmupLeftMs\":null,\"sequence\":1"),
        BEAT(ADDRESS PLACE NUMBERS ",\"born\":\"1790000000000\""),
        BEAT(ADDRESS PLACE NUMBERS ",\"born\":1.5"),
        BEAT(ADDRESS PLACE NUMBERS ",\"born\":null"),
        BEAT(ADDRESS PLACE NUMBERS ",\"born\":-1"),
        BEAT(ADDRESS PLACE NUMBERS ",\"born\":99999999999999999999"),
        BEAT("\"address\":7," PLACE NUMBERS),
        BEAT("\"address\":null," PLACE NUMBERS),
        BEAT("\"address\":\"\"," PLACE NUMBERS),
        BEAT("\"address\":\"nowhere\"," PLACE NUMBERS),
        BEAT("\"address\":\"10.0.0.1\"," PLACE NUMBERS),
        BEAT("\"address\":\"10.0.0.1:\"," PLACE NUMBERS),
        BEAT("\"address\":[\"10.0.0.1:80\"]," PLACE NUMBERS),
        BEAT(PLACE NUMBERS),
        BEAT(ADDRESS "\"zone\":[],\"version\":\"v1\"," NUMBERS),
        BEAT(ADDRESS "\"zone\":null,\"version\":\"v1\"," NUMBERS),
        BEAT(ADDRESS "\"zone\":\"\",\"version\":\"v1\"," NUMBERS),
        BEAT(ADDRESS "\"zone\":7,\"version\":\"v1\"," NUMBERS),
        BEAT(ADDRESS "\"version\":\"v1\"," NUMBERS),
        BEAT(ADDRESS "\"version\":[],\"zone\":\"v1\"," NUMBERS),
        BEAT(ADDRESS "\"version\":null,\"zone\":\"v1\"," NUMBERS),
        BEAT(ADDRESS "\"version\":\"\",\"zone\":\"v1\"," NUMBERS),
        BEAT(ADDRESS "\"version\":7,\"zone\":\"v1\"," NUMBERS),
        BEAT(ADDRESS "\"zone\":\"v1\"," NUMBERS),
        BEAT(ADDRESS PLACE NUMBERS) "x",
        BEAT(ADDRESS PLACE "\"note\":\"\xff\"," NUMBERS),
        "{\"state\":\"ready\"," ADDRESS PLACE NUMBERS "}",
        "{\"service\":\"lots\"," ADDRESS PLACE NUMBERS "}",
        "{\"service\":\"lots\",\"state\":\"\"," ADDRESS PLACE NUMBERS "}",
        "{\"service\":\"lots\",\"state\":\"ready\\u0000x\"," ADDRESS PLACE
            NUMBERS "}",
        "{\"service\":\"\",\"state\":\"ready\"," ADDRESS PLACE NUMBERS "}",
        "{\"service\":null,\"state\":\"ready\"," ADDRESS PLACE NUMBERS "}",
        "{\"service\":\"lots\",\"state\":[]," ADDRESS PLACE NUMBERS "}",
        "{\"service\":\"\",\"state\":\"ready\",\"slots\":2,"
        "\"sequence\":1}",
        "{\"service\":\"lots\",\"state\":[],\"slots\":2,\"sequence\":1}",
    };
    struct heartbeat heartbeat;

    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        g_assert_cmpint(decode_heartbeat(invalid[i], &heartbeat), ==, -EINVAL);
    }
}

TEST(endpoint_id_is_one_path_segment)
{
    g_assert_cmpstr(heartbeat_format_id("/instances/i-7"), ==, "i-7");
    g_assert_null(heartbeat_format_id("/instances/"));
    g_assert_null(heartbeat_format_id("/instances/a/b"));
    g_assert_null(heartbeat_format_id("/other/i-7"));
    g_assert_null(heartbeat_format_id("/instances/"
                                      "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
                                      "xxxxxxxxxxxxxxxxxxxxxxxxxxxxx"));
}
