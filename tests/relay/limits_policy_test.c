/* The document of operators' limits: what is accepted, and each fault. */
#include <errno.h>
#include <string.h>

#include "lib/harness.h"
#include "relay/limits/limits_policy.h"

#define SUITE "/relay/limits_policy"

/* A valid limit without its closing brace; cases add keys. */
#define RATE                                                                  \
    "{\"name\":\"a\",\"new_flows_per_s\":9,\"per\":\"balancer\","             \
    "\"by\":\"ada\",\"why\":\"test\""
#define LOTS RATE ",\"service\":\"lots\""

static int
parse(const char *text, struct limits_policy *policy, struct error *err)
{
    return limits_policy_parse(policy, text, strlen(text), NULL, err);
}

TEST(a_document_is_decoded)
{
    struct limits_policy policy;
    struct error err = {0};
    const struct limits_rule *rule = &policy.rules[1];

    g_assert_cmpint(
        parse("{\"limits\": [" LOTS "},\n"
              "{\"name\": \"noisy\", \"callers\": \"198.51.100.0/24\",\n"
              " \"new_flows_per_s\": 1000, \"burst\": 40,\n"
              " \"per\": \"fleet\", \"balancers\": 22,\n"
              " \"from\": 1790000000, \"until\": 1790003600,\n"
              " \"by\": \"ada\", \"why\": \"presses out the others\"},\n"
              "{\"name\": \"urgent\", \"route\": \"lots-in\",\n"
              " \"shed_below_priority\": 1, \"by\": \"b\", \"why\": \"c\"}]}",
              &policy, &err),
        ==, 0);
    g_assert_cmpuint(policy.count, ==, 3);
    g_assert_cmpuint(policy.rules[0].burst, ==, 9);
    g_assert_cmpuint(policy.rules[0].shares, ==, 1);
    g_assert_cmpint(policy.rules[0].until_s, ==, LIMITS_FOREVER_S);
    g_assert_cmpint(rule->scope, ==, LIMITS_CALLERS);
    g_assert_true(limits_rule_covers(rule, 0xc6336400));
    g_assert_true(limits_rule_covers(rule, 0xc63364ff));
    g_assert_false(limits_rule_covers(rule, 0xc6336500));
    g_assert_cmpuint(rule->shares, ==, 22);
    g_assert_cmpint(rule->until_s, ==, 1790003600);
    g_assert_true(policy.rules[2].has_priority);
    g_assert_false(policy.rules[2].has_rate);
}

TEST(an_empty_document_lifts_all_limits)
{
    struct limits_policy policy = {.count = 3};

    g_assert_cmpint(parse("{\"limits\": []}", &policy, NULL), ==, 0);
    g_assert_cmpuint(policy.count, ==, 0);
}

TEST(each_fault_names_place_found_and_expected)
{
    static const struct {
        const char *text;
        const char *place;
        const char *detail;
    } cases[] = {
        {"", "document", "expected JSON"},
        {"{\"limits\": []} x", "document", "expected JSON"},
        {"{\"limits\": [],}", "document", "expected JSON"},
        {"[]", "document", "the one key limits"},
        {"{\"limits\": [], \"x\": 1}", "document", "the one key limits"},
        {"{\"limits\": {}}", "limits in line 1", "an array"},
        {"{\"limits\": [7]}", "limits[0]", "found 7, expected an object"},
        {"{\"limits\": [" LOTS ",\n\"brust\":1}]}",
         "limits[0].brust in line 2", "no key of this name"},
        {"{\"limits\": [" LOTS ",\"burst\":1,\"burst\":2}]}",
         "limits[0].burst", "each key once"},
        {"{\"limits\": [" LOTS ",\"\\u0062urst\":2}]}",
         "limits[0].\\u0062urst", "each key once"},
        {"{\"limits\": [" LOTS ",\"burst\":0}]}", "limits[0].burst in line 1",
         "found 0, expected a whole number from 1 to 1000000"},
        {"{\"limits\": [" LOTS ",\"burst\":1.5}]}",
         "limits[0].burst in line 1", "found 1.5"},
        {"{\"limits\": [" LOTS ",\"burst\":99999999999999999999}]}",
         "limits[0].burst in line 1", "1000000"},
        {"{\"limits\": [" LOTS ",\"burst\":null}]}",
         "limits[0].burst in line 1", "found nothing"},
        {"{\"limits\": [" LOTS ",\"route\":\"r\"}]}",
         "limits[0].service in line 1", "exactly one"},
        {"{\"limits\": [" RATE "}]}", "limits[0].service", "exactly one"},
        {"{\"limits\": [" LOTS ",\"balancers\":3}]}",
         "limits[0].balancers in line 1", "with per 'fleet' only"},
        {"{\"limits\": [" RATE ",\"callers\":\"198.51.100.1/24\"}]}",
         "limits[0].callers in line 1", "an IPv4 prefix"},
        {"{\"limits\": [" RATE ",\"callers\":\"198.51.100.0/33\"}]}",
         "limits[0].callers in line 1", "an IPv4 prefix"},
        {"{\"limits\": [" RATE ",\"callers\":\"::/0\"}]}",
         "limits[0].callers in line 1", "an IPv4 prefix"},
        {"{\"limits\": [" RATE
         ",\"callers\":\"10.0.0.0/8\",\"shed_below_priority\":1}]}",
         "limits[0].shed_below_priority in line 1",
         "with service or route only"},
        {"{\"limits\": [" LOTS ",\"from\":20,\"until\":20}]}",
         "limits[0].until in line 1", "a time after from"},
        {"{\"limits\": [" LOTS ",\"until\":1790003600000}]}",
         "limits[0].until in line 1", "253402300799"},
        {"{\"limits\": [" LOTS "},\n" LOTS "}]}", "limits[1].name in line 2",
         "no other limit"},
        {"{\"limits\": [{\"name\":\"a b\",\"by\":\"c\",\"why\":\"d\"}]}",
         "limits[0].name in line 1", "letters, digits"},
        {"{\"limits\": [{\"name\":\"a\",\"service\":\"s\",\"by\":\"c\","
         "\"why\":\"d\"}]}",
         "limits[0].new_flows_per_s",
         "new_flows_per_s or shed_below_priority"},
        {"{\"limits\": [{\"name\":\"a\",\"service\":\"s\",\"burst\":2,"
         "\"shed_below_priority\":1,\"by\":\"c\",\"why\":\"d\"}]}",
         "limits[0].burst in line 1", "with new_flows_per_s only"},
        {"{\"limits\": "
         "[{\"name\":\"a\",\"service\":\"s\",\"per\":\"balancer\","
         "\"new_flows_per_s\":0,\"shed_below_priority\":1,\"by\":\"c\","
         "\"why\":\"d\"}]}",
         "limits[0].shed_below_priority in line 1", "refuses all"},
        {"{\"limits\": [{\"name\":\"a\",\"service\":\"s\","
         "\"new_flows_per_s\":1,\"by\":\"c\",\"why\":\"d\"}]}",
         "limits[0].per", "'balancer' or 'fleet'"},
        {"{\"limits\": "
         "[{\"name\":\"a\",\"service\":\"s\",\"per\":\"balancer\","
         "\"new_flows_per_s\":1,\"by\":\"c\"}]}",
         "limits[0].why", "a text of 1 to 255 bytes"},
        {"{\"limits\": "
         "[{\"name\":\"a\",\"service\":\"s\",\"per\":\"balancer\","
         "\"new_flows_per_s\":1,\"by\":\"c\\u0000d\",\"why\":\"d\"}]}",
         "limits[0].by in line 1", "a text of 1 to 63 bytes"},
        {"{\"limits\": "
         "[{\"name\":\"a\",\"service\":\"s\",\"per\":\"balancer\","
         "\"new_flows_per_s\":1,\"by\":\"c\",\"why\":\"d\\u001b[2J\"}]}",
         "limits[0].why in line 1", "a text of 1 to 255 bytes"},
    };

    for (unsigned i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct limits_policy policy = {.count = 7};
        struct error err = {0};

        g_test_message("%s", cases[i].text);
        g_assert_cmpint(parse(cases[i].text, &policy, &err), ==, -EINVAL);
        g_assert_cmpstr(err.peer, ==, cases[i].place);
        g_assert_nonnull(strstr(err.detail, cases[i].detail));
        g_assert_cmpuint(policy.count, ==, 7);
    }
}

TEST(nul_utf16_broken_utf8_and_large_texts_are_refused)
{
    static const char empty[] = "{\"limits\": []}";
    static const char nul[] = "{\"limits\": []}\0";
    static const char utf16[] = "\xff\xfe{\0\"\0";
    static const char bom[] = "\xef\xbb\xbf{\"limits\": []}";
    static const char broken[] = "{\"limits\": [\"\xc3\"]}";
    struct limits_policy policy;
    char *large = g_strnfill(LIMITS_POLICY_SIZE_MAX + 1, ' ');

    g_assert_cmpint(
        limits_policy_parse(&policy, nul, sizeof(nul) - 1, NULL, NULL), ==,
        -EINVAL);
    g_assert_cmpint(
        limits_policy_parse(&policy, utf16, sizeof(utf16) - 1, NULL, NULL), ==,
        -EINVAL);
    g_assert_cmpint(parse(bom, &policy, NULL), ==, -EINVAL);
    g_assert_cmpint(parse(broken, &policy, NULL), ==, -EINVAL);
    memcpy(large, empty, sizeof(empty) - 1);
    g_assert_cmpint(limits_policy_parse(&policy, large,
                                        LIMITS_POLICY_SIZE_MAX + 1, NULL,
                                        NULL),
                    ==, -EINVAL);
    g_assert_cmpint(limits_policy_parse(&policy, large, LIMITS_POLICY_SIZE_MAX,
                                        NULL, NULL),
                    ==, 0);
    g_free(large);
}

TEST(overlapping_prefixes_need_different_times)
{
    static const char format[] =
        "{\"limits\": [" RATE ",\"callers\":\"10.0.0.0/8\",\"until\":20},"
        "{\"name\":\"b\",\"callers\":\"%s\",\"from\":%d,\"per\":\"balancer\","
        "\"new_flows_per_s\":1,\"by\":\"c\",\"why\":\"d\"}]}";
    static const struct {
        const char *callers;
        int from;
        int status;
    } cases[] = {
        {"10.1.0.0/16", 19, -EINVAL}, {"10.1.0.0/16", 20, 0},
        {"0.0.0.0/0", 19, -EINVAL},   {"11.0.0.0/8", 19, 0},
        {"10.0.0.0/8", 1, -EINVAL},   {"10.255.255.255/32", 1, -EINVAL},
    };

    for (unsigned i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = g_strdup_printf(format, cases[i].callers, cases[i].from);
        struct limits_policy policy;

        g_assert_cmpint(parse(text, &policy, NULL), ==, cases[i].status);
        g_free(text);
    }
}

TEST(more_than_64_limits_are_refused)
{
    GString *text = g_string_new("{\"limits\": [");
    struct limits_policy policy;

    for (int i = 0; i < LIMITS_MAX; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"l%d\",\"service\":\"s%d\",\"per\":\"balancer\","
            "\"new_flows_per_s\":1,\"by\":\"c\",\"why\":\"d\"}",
            i > 0 ? "," : "", i, i);
    }
    g_string_append(text, "]}");
    g_assert_cmpint(parse(text->str, &policy, NULL), ==, 0);
    g_assert_cmpuint(policy.count, ==, LIMITS_MAX);
    g_string_truncate(text, text->len - 2);
    g_string_append(text, ", 7]}");
    g_assert_cmpint(parse(text->str, &policy, NULL), ==, -EINVAL);
    g_string_free(text, TRUE);
}
