#include <stdlib.h>

#include "balancer/route.h"
#include "balancer/route_rank.h"
#include "route_fixture.h"
#include "lib/harness.h"

#define SUITE "/route-table"

static struct route_table *
build(const struct view *view, const struct service_config *config,
      const struct route_table *previous)
{
    struct route_table *table;

    g_assert_cmpint(route_table_new(view, config, previous, &table), ==, 0);
    return table;
}

/* Services with common addresses or ports are distinguished at any table size;
 * missing ones are not found. */
TEST(find)
{
    struct service_config_entry services[300] = {0};
    struct service_config config = {.services = services};
    struct view *view = view_new(0);

    for (size_t i = 0; i < G_N_ELEMENTS(services); i++) {
        struct route_table *table;
        services[i].id = (uint32_t)i + 1;
        services[i].ip = 10 + (uint32_t)i % 7;
        services[i].port = (uint16_t)(1 + i / 14);
        services[i].proto =
            i / 7 % 2 ? SERVICE_CONFIG_TCP : SERVICE_CONFIG_UDP;
        config.count = i + 1;
        table = build(view, &config, NULL);
        for (size_t j = 0; j < G_N_ELEMENTS(services); j++) {
            const struct route_service *found = route_find(
                table, 10 + (uint32_t)j % 7, (uint16_t)(1 + j / 14),
                j / 7 % 2 ? SERVICE_CONFIG_TCP : SERVICE_CONFIG_UDP);
            if (j > i)
                g_assert_null(found);
            else
                g_assert_cmpuint(found->id, ==, j + 1);
        }
        route_table_free(table);
    }
    free(view);
}

/* Tables share the ranks of services whose members did not change. */
TEST(sharing)
{
    struct service_config *config = route_fixture_text();
    struct view *view = route_fixture_view(5, "lots");
    struct route_table *first = build(view, config, NULL);

    view->members[0].busy = 2;
    view->members[1].health = MEMBER_SUSPECT;
    struct route_table *next = build(view, config, first);
    g_assert_true(next->services[0].all == first->services[0].all);
    g_assert_true(next->services[0].open != next->services[0].all);
    g_assert_null(next->services[1].all);

    /* A shared rank outlives the table that created it. */
    route_table_free(first);
    g_assert_true(route_endpoint_at(next, view->members[3].data) ==
                  &next->services[0].endpoints[3]);
    g_assert_null(route_endpoint_at(next, (struct addr){1, 1}));
    struct route_table *last = build(view, config, next);
    g_assert_true(last->services[0].open == next->services[0].open);
    route_table_free(next);
    g_assert_cmpuint(rank_row(&last->services[0].all->rank, 0)[4], <, 5);
    route_table_free(last);
    service_config_free(config);
    free(view);
}
