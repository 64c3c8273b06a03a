#include <glib.h>
#include <string.h>

#include "mutate.h"
#include "relay/limits/limits_policy.h"

#define SUITE "/fuzz"
#define RUNS 20000

/* Parsing gives either limits that are consistent or an error; the policy
 * before an error stays. */
static void
decode_limits(const uint8_t *data, size_t len)
{
    struct limits_policy policy = {.count = LIMITS_MAX + 1};
    struct error err = {0};
    int ret =
        limits_policy_parse(&policy, (const char *)data, len, NULL, &err);

    if (ret < 0) {
        g_assert_cmpuint(policy.count, ==, LIMITS_MAX + 1);
        g_assert_cmpint(err.code, ==, ret);
        g_assert_cmpstr(err.peer, !=, "");
        return;
    }
    g_assert_cmpuint(policy.count, <=, LIMITS_MAX);
    for (unsigned i = 0; i < policy.count; i++) {
        const struct limits_rule *rule = &policy.rules[i];

        g_assert_true(rule->has_rate || rule->has_priority);
        g_assert_cmpint(rule->from_s, <, rule->until_s);
        g_assert_cmpuint(rule->prefix_bits, <=, 32);
        g_assert_true(!rule->has_rate || rule->shares > 0);
        g_assert_cmpstr(rule->name, !=, "");
        g_assert_cmpstr(rule->why, !=, "");
    }
}

FUZZ_STRINGS(limits, RUNS, decode_limits,
             "{\"limits\": [{\"name\": \"noisy\",\n"
             "\"callers\": \"198.51.100.0/24\", \"new_flows_per_s\": 20,\n"
             "\"burst\": 40, \"per\": \"fleet\", \"balancers\": 22,\n"
             "\"from\": 1790000000, \"until\": 1790003600,\n"
             "\"by\": \"ada\", \"why\": \"presses out the others\"}]}",
             "{\"limits\": [{\"name\": \"a\", \"service\": \"lots\",\n"
             "\"shed_below_priority\": 1, \"by\": \"b\", \"why\": \"c\"},\n"
             "{\"name\": \"d\", \"route\": \"r\", \"new_flows_per_s\": 0,\n"
             "\"per\": \"balancer\", \"by\": \"e\", \"why\": \"\\u00e9\"}]}")
