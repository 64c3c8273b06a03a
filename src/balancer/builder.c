#define G_LOG_DOMAIN "swiftarch-balancer"

#include "balancer/builder.h"

#include <errno.h>
#include <string.h>
#include <urcu.h>

#include "base/log.h"

/* A persistent failure is logged once per this many polls. */
#define FAILURE_LOG_INTERVAL 1000

static bool
is_current(const struct builder *builder, const struct view *view,
           const struct service_config *config)
{
    return builder->built && builder->view_seq == view->seq &&
           builder->config_version == config->version;
}

static void
set_gauges(const struct builder *builder, const struct route_table *table)
{
    size_t endpoints = 0;

    for (size_t i = 0; i < table->count; i++)
        endpoints += table->services[i].count;
    counter_set(builder->counters, builder->services, table->count);
    counter_set(builder->counters, builder->endpoints, endpoints);
    counter_set(builder->counters, builder->bytes, route_table_bytes(table));
}

int
builder_init(struct builder *builder, struct blackboard *blackboard,
             struct worker_pool *pool, struct counter_table *counters)
{
    memset(builder, 0, sizeof(*builder));
    builder->blackboard = blackboard;
    builder->pool = pool;
    builder->counters = counters;
    builder->rebuilds =
        counter_register(counters, "route_tables_built_total", "");
    builder->services = counter_register_gauge(counters, "route_services", "");
    builder->endpoints =
        counter_register_gauge(counters, "route_endpoints", "");
    builder->bytes = counter_register_gauge(counters, "route_table_bytes", "");
    if (builder->rebuilds < 0 || builder->services < 0 ||
        builder->endpoints < 0 || builder->bytes < 0)
        return -ENOSPC;
    return 0;
}

int
builder_poll(struct builder *builder)
{
    struct route_table *table = NULL;
    int result = 0;

    rcu_read_lock();
    const struct view *view = blackboard_view(builder->blackboard);
    const struct service_config *config =
        blackboard_config(builder->blackboard);
    if (view != NULL && config != NULL && !is_current(builder, view, config))
        result = route_table_new(view, config, builder->pool->table, &table);
    rcu_read_unlock();

    if (result < 0) {
        if (builder->failures++ % FAILURE_LOG_INTERVAL == 0)
            g_warning("Can't build the route table: %s.", strerror(-result));
        return result;
    }
    if (table == NULL)
        return 0;

    builder->failures = 0;
    builder->built = true;
    builder->view_seq = table->view_seq;
    builder->config_version = table->config_version;
    set_gauges(builder, table);
    counter_add(builder->counters, 0, builder->rebuilds, 1);
    worker_pool_publish(builder->pool, table);
    return 1;
}
