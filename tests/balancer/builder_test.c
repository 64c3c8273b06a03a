#include <string.h>
#include <urcu.h>

#include "balancer/builder.h"
#include "balancer/readiness.h"
#include "base/hash.h"
#include "route_fixture.h"
#include "lib/harness.h"

#define SUITE "/builder"

/** struct setup - builder with a blackboard and a pool without threads */
struct setup {
    struct worker_owner owner;
    struct clock_manual clock;
    struct counter_table counters;
    struct trace trace;
    struct blackboard blackboard;
    struct worker_pool pool;
    struct builder builder;
};

static void
setup_init(struct setup *setup)
{
    struct error err = {0};

    memset(setup, 0, sizeof(*setup));
    clock_manual_init(&setup->clock, 0);
    counter_table_init(&setup->counters);
    blackboard_init(&setup->blackboard);
    setup->trace.fd = -1;
    g_assert_cmpint(worker_pool_init(&setup->pool,
                                     (struct addr){0x7f000001, 0}, 1,
                                     &setup->owner, &setup->clock.base,
                                     &setup->counters, &setup->trace, &err),
                    ==, 0);
    g_assert_cmpint(builder_init(&setup->builder, &setup->blackboard,
                                 &setup->pool, &setup->counters),
                    ==, 0);
}

static void
setup_finish(struct setup *setup)
{
    worker_pool_finish(&setup->pool);
    blackboard_finish(&setup->blackboard);
    counter_table_finish(&setup->counters);
}

static struct view *
view_of(uint64_t seq, size_t count)
{
    struct view *view = route_fixture_view(count, "lots");
    view->seq = seq;
    return view;
}

/* A table is published only after the view or the configuration changes. */
TEST_F(setup, rebuild_on_change)
{
    struct service_config *config;

    g_assert_cmpint(builder_poll(&setup->builder), ==, 0);
    blackboard_publish_view(&setup->blackboard, view_of(1, 2));
    g_assert_cmpint(builder_poll(&setup->builder), ==, 0);
    g_assert_null(setup->pool.table);

    g_assert_true(blackboard_publish_config(&setup->blackboard,
                                            route_fixture_text(), 0));
    g_assert_cmpint(builder_poll(&setup->builder), ==, 1);
    g_assert_cmpuint(setup->pool.table->services[0].count, ==, 2);
    g_assert_cmpint(builder_poll(&setup->builder), ==, 0);

    blackboard_publish_view(&setup->blackboard, view_of(2, 3));
    g_assert_cmpint(builder_poll(&setup->builder), ==, 1);
    g_assert_cmpuint(setup->pool.table->services[0].count, ==, 3);

    config = route_fixture_text();
    config->version = 7;
    g_assert_true(blackboard_publish_config(&setup->blackboard, config, 0));
    g_assert_cmpint(builder_poll(&setup->builder), ==, 1);
    g_assert_cmpuint(setup->pool.table->config_version, ==, 7);
    g_assert_cmpuint(counter_read(&setup->counters, setup->builder.rebuilds),
                     ==, 3);
    g_assert_cmpuint(counter_read(&setup->counters, setup->builder.endpoints),
                     ==, 3);
}

/* Readiness in each combination of view, peers and process state */
TEST(readiness)
{
    struct view *alone = route_fixture_view(1, "lots");
    struct view *two = route_fixture_view(2, "lots");
    struct readiness_input input = {
        .self = alone->members[0].id, .built = true, .has_seeds = true};

    g_assert_cmpint(readiness_evaluate(&input, NULL), ==, READINESS_NO_VIEW);
    g_assert_cmpint(readiness_evaluate(&input, alone), ==,
                    READINESS_WAITING_FOR_PEERS);
    g_assert_cmpint(readiness_evaluate(&input, two), ==, READINESS_READY);
    input.age_us = READINESS_PEER_WAIT_US;
    g_assert_cmpint(readiness_evaluate(&input, alone), ==, READINESS_READY);
    input.seen_peers = true;
    g_assert_cmpint(readiness_evaluate(&input, alone), ==, READINESS_ISOLATED);
    two->members[two->members[0].id == input.self].health = MEMBER_DEAD;
    g_assert_cmpint(readiness_evaluate(&input, two), ==, READINESS_ISOLATED);
    two->members[two->members[0].id == input.self].health = MEMBER_SUSPECT;
    g_assert_cmpint(readiness_evaluate(&input, two), ==, READINESS_READY);
    input.built = false;
    g_assert_cmpint(readiness_evaluate(&input, two), ==, READINESS_NO_CONFIG);
    input.built = true;
    input.self = 12345;
    g_assert_cmpint(readiness_evaluate(&input, two), ==, READINESS_NO_VIEW);
    input.stopping = true;
    g_assert_cmpint(readiness_evaluate(&input, two), ==, READINESS_STOPPING);
    free(alone);
    free(two);
}

int
main(int argc, char **argv)
{
    int code;

    g_test_init(&argc, &argv, NULL);
    rcu_register_thread();
    code = harness_run();
    rcu_unregister_thread();
    return code;
}
