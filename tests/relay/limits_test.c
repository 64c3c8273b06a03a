/* Decisions by operators' limits, and how a policy replaces another. */
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/limits/limits.h"

#define SUITE "/relay/limits"

#define NOW_US (50 * USEC_PER_SEC)
#define UNIX_S INT64_C(1790000000)
#define BALANCERS_MAX 303

/**
 * struct fixture - limits under test
 * @limits: the limits
 */
struct fixture {
    struct limits limits;
};

static void
fixture_init(struct fixture *fixture)
{
    limits_init(&fixture->limits);
    limits_set_time(&fixture->limits, UNIX_S * (int64_t)USEC_PER_SEC, NOW_US);
}

static void
fixture_finish(struct fixture *fixture)
{
}

/* Applies a document whose limits lack "by" and "why". */
static bool
apply(struct fixture *fixture, uint32_t epoch, uint64_t revision,
      const char *rules)
{
    g_auto(GStrv) parts = g_strsplit(rules, "}", -1);
    g_autofree char *joined =
        g_strjoinv(",\"by\":\"b\",\"why\":\"w\"}", parts);
    g_autofree char *text = g_strdup_printf("{\"limits\":[%s]}", joined);
    struct limits_policy policy;
    struct error err = {0};
    char line[512];

    if (limits_policy_parse(&policy, text, strlen(text), NULL, &err) < 0) {
        g_error("%s", error_format(&err, line, sizeof(line)));
    }
    return limits_apply(&fixture->limits, &policy, epoch, revision, NOW_US);
}

static struct limits_flow
flow_of(uint32_t caller, const char *service, unsigned priority)
{
    return (struct limits_flow){caller, hash_service(service), "in", priority};
}

static enum limits_reason
decide(struct fixture *fixture, struct limits_flow flow, uint64_t now_us)
{
    return limits_decide(&fixture->limits, &flow, now_us).reason;
}

TEST_F(fixture, without_limits_every_flow_is_allowed)
{
    for (unsigned i = 0; i < 1000; i++) {
        g_assert_cmpint(decide(fixture, flow_of(i, "lots", 9), NOW_US), ==,
                        LIMITS_ALLOWED);
    }
}

TEST_F(fixture, a_noisy_prefix_is_limited_and_others_are_not)
{
    apply(fixture, 1, 5,
          "{\"name\":\"noisy\",\"callers\":\"10.0.0.0/24\","
          "\"new_flows_per_s\":2,\"per\":\"balancer\"}");
    for (unsigned i = 0; i < 10; i++) {
        g_assert_cmpint(
            decide(fixture, flow_of(0x0a000000 + i, "lots", 0), NOW_US), ==,
            i < 2 ? LIMITS_ALLOWED : LIMITS_RATE);
        g_assert_cmpint(
            decide(fixture, flow_of(0x0a000100, "lots", 0), NOW_US), ==,
            LIMITS_ALLOWED);
    }
    g_assert_cmpuint(fixture->limits.states[0].allowed, ==, 2);
    g_assert_cmpuint(fixture->limits.states[0].refused, ==, 8);
    g_assert_cmpint(decide(fixture, flow_of(0x0a000000, "lots", 0),
                           NOW_US + USEC_PER_SEC / 2),
                    ==, LIMITS_ALLOWED);
}

TEST_F(fixture, below_a_priority_new_flows_are_shed)
{
    struct limits_flow flow = flow_of(1, "lots", 2);
    struct limits_decision decision;

    apply(fixture, 1, 5,
          "{\"name\":\"a\",\"service\":\"albums\",\"shed_below_priority\":0},"
          "{\"name\":\"b\",\"service\":\"lots\",\"shed_below_priority\":1}");
    decision = limits_decide(&fixture->limits, &flow, NOW_US);
    g_assert_cmpint(decision.reason, ==, LIMITS_PRIORITY);
    g_assert_cmpuint(decision.index, ==, 1);
    g_assert_cmpint(decide(fixture, flow_of(1, "lots", 1), NOW_US), ==,
                    LIMITS_ALLOWED);
    g_assert_cmpint(decide(fixture, flow_of(1, "albums", 1), NOW_US), ==,
                    LIMITS_PRIORITY);
}

TEST_F(fixture, a_route_is_shed_between_from_and_until)
{
    apply(fixture, 1, 5,
          "{\"name\":\"hour\",\"route\":\"in\",\"new_flows_per_s\":0,"
          "\"per\":\"balancer\",\"from\":1790000010,\"until\":1790000020}");
    for (unsigned s = 0; s < 30; s++) {
        g_assert_cmpint(
            decide(fixture, flow_of(1, "lots", 0), NOW_US + s * USEC_PER_SEC),
            ==, s >= 10 && s < 20 ? LIMITS_RATE : LIMITS_ALLOWED);
    }
    /* The host's Unix time is corrected by 15 s. */
    limits_set_time(&fixture->limits, (UNIX_S + 15) * (int64_t)USEC_PER_SEC,
                    NOW_US);
    g_assert_cmpint(decide(fixture, flow_of(1, "lots", 0), NOW_US), ==,
                    LIMITS_RATE);
}

TEST_F(fixture, a_refused_flow_is_counted_against_no_limit)
{
    apply(fixture, 1, 5,
          "{\"name\":\"all\",\"service\":\"lots\",\"new_flows_per_s\":3,"
          "\"per\":\"balancer\"},"
          "{\"name\":\"one\",\"callers\":\"10.0.0.1/32\","
          "\"new_flows_per_s\":1,\"per\":\"balancer\"}");
    for (unsigned i = 0; i < 10; i++) {
        decide(fixture, flow_of(0x0a000001, "lots", 0), NOW_US);
    }
    /* The noisy caller has used one of the service's three. */
    g_assert_cmpuint(fixture->limits.states[0].allowed, ==, 1);
    g_assert_cmpint(decide(fixture, flow_of(2, "lots", 0), NOW_US), ==,
                    LIMITS_ALLOWED);
    g_assert_cmpint(decide(fixture, flow_of(3, "lots", 0), NOW_US), ==,
                    LIMITS_ALLOWED);
    g_assert_cmpint(decide(fixture, flow_of(4, "lots", 0), NOW_US), ==,
                    LIMITS_RATE);
}

TEST_F(fixture, explaining_counts_nothing)
{
    struct limits_flow flow = flow_of(1, "lots", 0);

    apply(fixture, 1, 5,
          "{\"name\":\"a\",\"service\":\"lots\",\"new_flows_per_s\":1,"
          "\"per\":\"balancer\"}");
    for (unsigned i = 0; i < 10; i++) {
        g_assert_cmpint(limits_explain(&fixture->limits, &flow, NOW_US).reason,
                        ==, LIMITS_ALLOWED);
    }
    g_assert_cmpuint(fixture->limits.states[0].allowed, ==, 0);
}

TEST_F(fixture, a_later_revision_wins_and_an_older_store_within_its_epoch)
{
    static const char limit[] =
        "{\"name\":\"a\",\"service\":\"lots\",\"new_flows_per_s\":1,"
        "\"per\":\"balancer\"}";

    g_assert_true(apply(fixture, 1, 9, limit));
    g_assert_false(apply(fixture, 1, 9, ""));
    g_assert_false(apply(fixture, 1, 8, ""));
    g_assert_cmpuint(fixture->limits.policy.count, ==, 1);
    g_assert_true(apply(fixture, 1, 10, ""));
    g_assert_cmpuint(fixture->limits.policy.count, ==, 0);
    /* The store was restored from an older copy: what it holds counts. */
    g_assert_true(apply(fixture, 2, 4, limit));
    g_assert_cmpuint(fixture->limits.policy.count, ==, 1);
    g_assert_false(apply(fixture, 1, 11, ""));
}

TEST_F(fixture, a_limit_that_is_written_again_keeps_its_state)
{
    static const char limit[] =
        "{\"name\":\"a\",\"service\":\"lots\",\"new_flows_per_s\":1,"
        "\"per\":\"balancer\"}";
    static const char second[] =
        "{\"name\":\"b\",\"service\":\"albums\",\"new_flows_per_s\":1,"
        "\"per\":\"balancer\"},"
        "{\"name\":\"a\",\"service\":\"lots\",\"new_flows_per_s\":1,"
        "\"per\":\"balancer\"}";

    apply(fixture, 1, 5, limit);
    decide(fixture, flow_of(1, "lots", 0), NOW_US);
    apply(fixture, 1, 6, second);
    g_assert_cmpint(decide(fixture, flow_of(1, "lots", 0), NOW_US), ==,
                    LIMITS_RATE);
    g_assert_cmpuint(fixture->limits.states[1].allowed, ==, 1);
    g_assert_cmpuint(fixture->limits.states[0].allowed, ==, 0);
}

TEST_F(fixture, a_limit_that_moves_to_another_target_starts_without_debt)
{
    static const char limit[] = "{\"name\":\"a\",\"%s\":\"%s\","
                                "\"new_flows_per_s\":1,"
                                "\"per\":\"balancer\"}";
    static const char *const targets[][2] = {
        {"service", "lots"}, {"service", "albums"}, {"route", "albums"}};

    for (unsigned i = 0; i < G_N_ELEMENTS(targets); i++) {
        struct limits_flow flow = flow_of(1, "albums", 0);
        g_autofree char *text =
            g_strdup_printf(limit, targets[i][0], targets[i][1]);

        flow.service = hash_service(targets[i][1]);
        flow.route = targets[i][1];
        g_assert_true(apply(fixture, 1, 5 + i, text));
        g_assert_cmpint(decide(fixture, flow, NOW_US), ==, LIMITS_ALLOWED);
        g_assert_cmpint(decide(fixture, flow, NOW_US), ==, LIMITS_RATE);
        g_assert_cmpuint(fixture->limits.states[0].allowed, ==, 1);
    }
}

/* Flows that a fleet allows in 10 s of a limit of 1,000 a second, when a
 * quarter of the balancers gets @heavy times the flows of each other one. */
static unsigned
fleet_allows(unsigned balancers, unsigned heavy, unsigned offered_per_s)
{
    struct limiter *limiters = g_new0(struct limiter, balancers);
    unsigned heavies = (balancers + 3) / 4;
    unsigned parts = heavies * heavy + balancers - heavies;
    unsigned allowed = 0;

    for (unsigned i = 0; i < balancers; i++) {
        limiter_init(&limiters[i], 1000, 1000, balancers, NOW_US);
    }
    for (unsigned i = 0; i < 10 * offered_per_s; i++) {
        uint64_t now_us = NOW_US + i * USEC_PER_SEC / offered_per_s;
        unsigned part = (unsigned)(hash_pair(i, 1) % parts);
        unsigned at = part < heavies * heavy
                          ? part / heavy
                          : heavies + part - heavies * heavy;

        if (limiter_allows(&limiters[at], now_us)) {
            limiter_count(&limiters[at], now_us);
            allowed++;
        }
    }
    g_free(limiters);
    return allowed;
}

TEST(a_fleet_never_exceeds_its_rate_under_twice_the_load)
{
    static const unsigned balancers[] = {2, 22, BALANCERS_MAX};

    for (unsigned i = 0; i < G_N_ELEMENTS(balancers); i++) {
        /* Fed evenly: at most the burst and 1,000 a second, and 95 % of the
         * rate at least. */
        unsigned even = fleet_allows(balancers[i], 1, 2000);
        unsigned uneven = fleet_allows(balancers[i], 4, 2000);

        g_test_message("%u balancers: even %u, uneven %u of 10000 and a burst "
                       "of 1000",
                       balancers[i], even, uneven);
        g_assert_cmpuint(even, <=, 11000 + balancers[i]);
        g_assert_cmpuint(even, >=, 9500);
        /* Fed unevenly the rate is never exceeded either; balancers with few
         * callers leave a part of it unused. */
        g_assert_cmpuint(uneven, <=, 11000 + balancers[i]);
        g_assert_cmpuint(uneven, >=, 6000);
    }
}

TEST(an_uneven_feed_leaves_a_part_of_the_fleet_s_rate_unused_at_full_load)
{
    static const unsigned balancers[] = {2, 22, BALANCERS_MAX};

    for (unsigned i = 0; i < G_N_ELEMENTS(balancers); i++) {
        unsigned even = fleet_allows(balancers[i], 1, 1000);
        unsigned uneven = fleet_allows(balancers[i], 4, 1000);

        g_test_message("%u balancers, offered 10000: even %u, uneven %u",
                       balancers[i], even, uneven);
        /* Chance alone refuses some once a balancer's burst is 3 flows. */
        g_assert_cmpuint(even, >=, 8500);
        g_assert_cmpuint(uneven, <=, even);
        /* What the balancers with few callers get, and the shares of the
         * others. */
        g_assert_cmpuint(uneven, >=, 6500);
    }
}
