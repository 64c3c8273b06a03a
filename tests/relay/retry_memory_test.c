#include "base/clock.h"
#include "lib/harness.h"
#include "relay/overload/retry_memory.h"

#define SUITE "/relay/retry_memory"

#define START_US (100 * USEC_PER_SEC)
#define SERVICE 7
#define CALLER 0x0a000001
#define BUDGET_MS 1500

/** struct fixture - refusals of one balancer */
struct fixture {
    struct retry_memory memory;
    uint64_t now_us;
};

static void
fixture_init(struct fixture *fixture)
{
    fixture->now_us = START_US;
    retry_memory_init(&fixture->memory, 1);
}

static void
refuse(struct fixture *fixture, uint32_t caller)
{
    retry_memory_refused(&fixture->memory, SERVICE, caller, BUDGET_MS,
                         fixture->now_us);
}

static unsigned
take(struct fixture *fixture, uint32_t caller)
{
    return retry_memory_take(&fixture->memory, SERVICE, caller, BUDGET_MS,
                             fixture->now_us);
}

TEST(a_flow_after_a_refusal_is_a_retry_once)
{
    struct fixture fixture;

    fixture_init(&fixture);
    g_assert_cmpuint(take(&fixture, CALLER), ==, 0);
    refuse(&fixture, CALLER);
    fixture.now_us += 30 * USEC_PER_MSEC;
    g_assert_cmpuint(take(&fixture, CALLER + 1), ==, 0);
    g_assert_cmpuint(retry_memory_take(&fixture.memory, SERVICE + 1, CALLER,
                                       BUDGET_MS, fixture.now_us),
                     ==, 0);
    g_assert_cmpuint(take(&fixture, CALLER), ==, 30);
    g_assert_cmpuint(take(&fixture, CALLER), ==, 0);
}

TEST(a_second_retry_counts_from_the_first_refusal)
{
    struct fixture fixture;

    fixture_init(&fixture);
    refuse(&fixture, CALLER);
    fixture.now_us += 30 * USEC_PER_MSEC;
    g_assert_cmpuint(take(&fixture, CALLER), ==, 30);
    refuse(&fixture, CALLER);
    fixture.now_us += 30 * USEC_PER_MSEC;
    g_assert_cmpuint(take(&fixture, CALLER), ==, 60);
}

TEST(a_refusal_older_than_the_time_budget_is_forgotten)
{
    struct fixture fixture;

    fixture_init(&fixture);
    refuse(&fixture, CALLER);
    fixture.now_us += (BUDGET_MS + 1) * USEC_PER_MSEC;
    g_assert_cmpuint(take(&fixture, CALLER), ==, 0);
    refuse(&fixture, CALLER);
    g_assert_cmpuint(take(&fixture, CALLER), ==, 1);
}

TEST(an_address_of_many_callers_has_as_many_retries_as_refusals)
{
    struct fixture fixture;
    unsigned retries = 0;

    fixture_init(&fixture);
    for (unsigned i = 0; i < 10; i++) {
        refuse(&fixture, CALLER);
    }
    for (unsigned i = 0; i < 100; i++) {
        retries += take(&fixture, CALLER) > 0;
    }
    g_assert_cmpuint(retries, ==, 10);
}

TEST(a_crowd_of_refused_callers_takes_bounded_memory)
{
    struct fixture fixture;
    unsigned retries = 0;

    fixture_init(&fixture);
    for (unsigned i = 0; i < 10000; i++) {
        refuse(&fixture, CALLER + i);
        fixture.now_us++;
    }
    for (unsigned i = 0; i < 10000; i++) {
        retries += take(&fixture, CALLER + i) > 0;
    }
    g_assert_cmpuint(retries, ==, RETRY_MEMORY_BUCKETS * RETRY_MEMORY_WAYS);
    G_STATIC_ASSERT(sizeof(struct retry_memory) < 32 * 1024);
}
