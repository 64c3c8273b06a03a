#include "lib/harness.h"
#include "relay/wire/flow_index.h"
#include "relay/relay_fixture.h"

#define SUITE "/relay/flow_index"
#define CAPACITY 64
#define STEPS 20000

TEST(flows_are_found_until_removed)
{
    struct flow_index index;
    uint32_t handles[200];
    bool present[200] = {false};

    g_assert_cmpint(flow_index_init(&index, 256), ==, 0);
    for (unsigned step = 0; step < STEPS; step++) {
        unsigned i = (unsigned)g_test_rand_int_range(0, 200);

        if (present[i]) {
            g_assert_cmpuint(flow_index_find(&index, fixture_flow(i)), ==,
                             handles[i]);
            g_assert_true(relay_flow_equal(flow_index_flow(&index, handles[i]),
                                           fixture_flow(i)));
            flow_index_remove(&index, handles[i]);
        }
        else {
            g_assert_cmpuint(flow_index_find(&index, fixture_flow(i)), ==,
                             FLOW_INDEX_NONE);
            handles[i] = flow_index_add(&index, fixture_flow(i), step);
        }
        present[i] = !present[i];
    }
    flow_index_finish(&index);
}

TEST(least_recently_used_comes_first)
{
    struct flow_index index;
    uint32_t first, second;

    g_assert_cmpint(flow_index_init(&index, CAPACITY), ==, 0);
    g_assert_cmpuint(flow_index_oldest(&index), ==, FLOW_INDEX_NONE);
    first = flow_index_add(&index, fixture_flow(1), 10);
    second = flow_index_add(&index, fixture_flow(2), 20);
    g_assert_cmpuint(flow_index_oldest(&index), ==, first);
    flow_index_touch(&index, first, 30);
    g_assert_cmpuint(flow_index_oldest(&index), ==, second);
    g_assert_cmpuint(flow_index_used_us(&index, first), ==, 30);
    flow_index_remove(&index, second);
    g_assert_cmpuint(flow_index_oldest(&index), ==, first);
    flow_index_remove(&index, first);
    g_assert_cmpuint(flow_index_oldest(&index), ==, FLOW_INDEX_NONE);
    flow_index_finish(&index);
}

TEST(a_full_index_evicts_the_oldest)
{
    struct flow_index index;

    g_assert_cmpint(flow_index_init(&index, CAPACITY), ==, 0);
    for (unsigned i = 0; i < 10 * CAPACITY; i++) {
        if (index.used == index.capacity) {
            flow_index_remove(&index, flow_index_oldest(&index));
        }
        flow_index_add(&index, fixture_flow(i), i);
    }
    for (unsigned i = 0; i < 10 * CAPACITY; i++) {
        bool present =
            flow_index_find(&index, fixture_flow(i)) != FLOW_INDEX_NONE;

        g_assert_cmpint(present, ==, i >= 9 * CAPACITY);
    }
    flow_index_finish(&index);
}
