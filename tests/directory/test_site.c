/* Two cells of a region: directory exchange over sockets, and forwarding of
 * packets between them. */
#include <stdio.h>
#include <string.h>
#include <urcu.h>

#include "balancer/worker_batch.h"
#include "control/control.h"
#include "directory/cell_forward.h"
#include "directory/service.h"
#include "route_fixture.h"
#include "standin/platform/server.h"
#include "lib/harness.h"
#include "lib/loopback.h"

#define SUITE "/directory/site"
#define CELLS 2
#define NODES 2 /* per cell */
#define GATEWAY_PORT 4000
#define OTHER_IP 0x0a650001u
#define NOW_US (60 * USEC_PER_SEC)

/** struct node - balancer without packet workers */
struct node {
    struct settings settings;
    struct blackboard blackboard;
    struct counter_table counters;
    struct directory_service service;
    struct control *control;
};

struct fixture {
    struct server server;
    struct clock clock;
    struct node nodes[CELLS][NODES];
};

static void
fill_settings(struct fixture *f, size_t cell, size_t i)
{
    struct settings *settings = &f->nodes[cell][i].settings;

    settings->role = SETTINGS_BALANCER;
    snprintf(settings->name, SETTINGS_NAME_MAX, "b-%zu-%zu", cell, i);
    g_strlcpy(settings->data_centre, "msasani", SETTINGS_NAME_MAX);
    snprintf(settings->cell, SETTINGS_NAME_MAX, "cell-%zu", cell);
    snprintf(settings->object, SETTINGS_NAME_MAX, "config-%zu", cell);
    settings->data =
        (struct addr){LOOPBACK, (uint16_t)(1000 + cell * NODES + i)};
    settings->control = (struct addr){LOOPBACK, 0};
    memset(settings->site_key, 'k', 32);
    settings->site_key_len = 32;
    snprintf(settings->platform, sizeof(settings->platform),
             "http://127.0.0.1:%u", server_port(&f->server));
}

/* Control address of a node; port 0 before its first view. */
static struct addr
control_of(struct fixture *f, size_t cell, size_t i)
{
    const struct view *view;
    struct addr addr = {0};

    rcu_read_lock();
    view = blackboard_view(&f->nodes[cell][i].blackboard);
    if (view != NULL)
        addr = view->members[view->self].control;
    rcu_read_unlock();
    return addr;
}

/* The first node of a cell is the seed of its other nodes; the first node of
 * cell 0 is the region seed of the other cells. */
static void
fill_seeds(struct fixture *f, size_t cell, size_t i)
{
    struct settings *settings = &f->nodes[cell][i].settings;

    if (i > 0)
        settings->seeds[settings->seed_count++] = control_of(f, cell, 0);
    if (cell > 0)
        settings->region_seeds[settings->region_seed_count++] =
            control_of(f, 0, 0);
}

static void
start_node(struct fixture *f, size_t cell, size_t i)
{
    struct node *node = &f->nodes[cell][i];
    struct blackboard_local local = {.state = MEMBER_READY};
    struct error err = {0};

    fill_seeds(f, cell, i);
    blackboard_init(&node->blackboard);
    g_assert_cmpint(counter_table_init(&node->counters), ==, 0);
    blackboard_set_local(&node->blackboard, &local);
    g_assert_cmpint(directory_service_init(&node->service, &node->settings,
                                           &node->blackboard, &node->counters,
                                           &err),
                    ==, 0);
    node->control = control_start(&node->settings, &node->blackboard,
                                  &f->clock, &node->counters, &err);
    if (node->control == NULL)
        g_error("%s: %s", err.step, err.detail);
    LOOPBACK_WAIT(control_of(f, cell, i).port != 0);
}

static void
stop_node(struct fixture *f, size_t cell, size_t i)
{
    struct node *node = &f->nodes[cell][i];

    control_stop(node->control);
    directory_service_finish(&node->service);
    blackboard_finish(&node->blackboard);
    counter_table_finish(&node->counters);
}

static void
put_text(struct fixture *f, size_t cell, uint64_t expect, const char *address)
{
    char *text =
        g_strdup_printf("{\"services\":[{\"name\":\"lots\","
                        "\"address\":\"%s\",\"port\":80,"
                        "\"protocol\":\"tcp\",\"class\":\"urgent\"}]}",
                        address);
    g_autoptr(GBytes) value = g_bytes_new_take(text, strlen(text));
    char object[SETTINGS_NAME_MAX];
    uint64_t version;

    snprintf(object, sizeof(object), "config-%zu", cell);
    g_mutex_lock(&f->server.lock);
    g_assert_cmpint(
        store_put(&f->server.store, object, expect, value, &version), ==, 0);
    g_cond_broadcast(&f->server.changed);
    g_mutex_unlock(&f->server.lock);
}

/* Number of gateways that a node has for @ip, 0 for an unknown address */
static size_t
gateways_for(struct fixture *f, size_t cell, size_t i, uint32_t ip)
{
    const struct directory_table_cell *found = NULL;
    const struct directory_table *table;
    size_t count = 0;

    rcu_read_lock();
    table = rcu_dereference(f->nodes[cell][i].service.table);
    if (table != NULL)
        found = directory_table_find(table, ip, 80, SERVICE_CONFIG_TCP);
    if (found != NULL)
        count = found->gateway_count;
    rcu_read_unlock();
    return count;
}

static bool
all_have(struct fixture *f, size_t cell, uint32_t ip, size_t gateways)
{
    for (size_t i = 0; i < NODES; i++) {
        if (gateways_for(f, cell, i, ip) != gateways)
            return false;
    }
    return true;
}

/* Each cell receives the other's addresses, changes and dead gateways, and
 * only its own configuration. */
TEST(cells)
{
    g_autofree struct fixture *f = g_new0(struct fixture, 1);
    struct error err = {0};

    clock_runtime_init(&f->clock);
    g_assert_cmpint(server_init(&f->server, (struct addr){LOOPBACK, 0}, &err),
                    ==, 0);
    for (size_t i = 0; i < CELLS * NODES; i++)
        fill_settings(f, i / NODES, i % NODES);
    put_text(f, 0, 0, "10.100.0.1");
    put_text(f, 1, 0, "10.101.0.1");
    for (size_t i = 0; i < CELLS * NODES; i++)
        start_node(f, i / NODES, i % NODES);
    LOOPBACK_WAIT(all_have(f, 0, OTHER_IP, NODES));
    LOOPBACK_WAIT(all_have(f, 1, ROUTE_FIXTURE_LOTS_IP, NODES));
    g_assert_cmpuint(gateways_for(f, 0, 0, ROUTE_FIXTURE_LOTS_IP), ==, 0);

    put_text(f, 1, 1, "10.101.0.2");
    LOOPBACK_WAIT(all_have(f, 0, OTHER_IP + 1, NODES));
    g_assert_true(all_have(f, 0, OTHER_IP, 0));

    stop_node(f, 1, 1);
    LOOPBACK_WAIT(all_have(f, 0, OTHER_IP + 1, NODES - 1));
    stop_node(f, 1, 0);
    /* The last entry of an unreachable cell is kept. */
    g_usleep(2 * G_USEC_PER_SEC);
    g_assert_true(all_have(f, 0, OTHER_IP + 1, NODES - 1));
    stop_node(f, 0, 0);
    stop_node(f, 0, 1);
    server_finish(&f->server);
}

static struct directory_table *
directory_of(const char *cell, uint32_t ip)
{
    struct directory_entry *entry = directory_entry_new(cell, 1);
    struct directory_table *table;
    struct directory_core core;

    entry->version.config_version = 1;
    entry->version.counter = 1;
    entry->addresses[0] =
        directory_address(ip, ROUTE_FIXTURE_PORT, SERVICE_CONFIG_TCP, false);
    entry->gateway_count = 1;
    entry->gateways[0].data = (struct addr){LOOPBACK, GATEWAY_PORT};
    directory_entry_finalize(entry);
    directory_core_init(&core, "own", (struct addr){1, 1}, 1, 0);
    directory_merge(&core, entry, 0);
    directory_entry_unref(entry);
    g_assert_cmpint(directory_table_new(&core, &table), ==, 0);
    directory_core_finish(&core);
    return table;
}

/** struct hop - one packet routed by one balancer */
struct hop {
    struct worker_batch *batch;
    struct trace trace;
};

static void
decide(struct hop *hop, const struct route_table *table,
       const struct directory_table *directory, const uint8_t *buf, size_t len)
{
    memset(hop, 0, sizeof(*hop));
    hop->trace.fd = -1;
    hop->batch = aligned_alloc(64, sizeof(*hop->batch));
    worker_batch_init(hop->batch);
    g_assert_cmpuint(len, <=, hop->batch->in_iov[0].iov_len);
    memcpy(hop->batch->in_iov[0].iov_base, buf, len);
    hop->batch->in[0].msg_len = (unsigned)len;
    hop->batch->directory = directory;
    worker_batch_decide(hop->batch, 1, table, &hop->trace, NOW_US);
}

/* A packet is forwarded from cell A to a gateway of cell B and there to an
 * agent; a forwarded packet with an unknown address is dropped. */
TEST(packets)
{
    struct directory_table *directory =
        directory_of("b", ROUTE_FIXTURE_LOTS_IP);
    struct directory_table *other = directory_of("a", OTHER_IP);
    struct route_table *none;
    struct route_table *lots;
    struct view *empty = view_new(0);
    struct view *view = route_fixture_view(3, "lots");
    struct service_config *text = route_fixture_text();
    struct service_config blank = {.version = 1};
    uint8_t buf[GUE_HEADER_MAX + PACKET_MAX] = {0, 4, 0, 0};
    const struct iovec *sent;
    struct hop first;
    struct hop second;
    struct gue gue;
    size_t len;

    g_assert_cmpint(route_table_new(empty, &blank, NULL, &none), ==, 0);
    g_assert_cmpint(route_table_new(view, text, NULL, &lots), ==, 0);
    len = 4 + route_fixture_tcp(buf + 4, ROUTE_FIXTURE_LOTS_IP, 1,
                                PACKET_TCP_SYN, "");

    decide(&first, none, directory, buf, len);
    g_assert_cmpuint(first.batch->out_count, ==, 1);
    g_assert_cmpuint(first.batch->to_cells, ==, 1);
    g_assert_cmpuint(ntohs(first.batch->out_to[0].sin_port), ==, GATEWAY_PORT);
    sent = first.batch->out_iov;
    g_assert_cmpuint(sent->iov_len, ==, len);
    g_assert_true(cell_forward_is_marked(sent->iov_base, sent->iov_len));
    g_assert_cmpmem((uint8_t *)sent->iov_base + 4, len - 4, buf + 4, len - 4);

    decide(&second, lots, NULL, sent->iov_base, sent->iov_len);
    g_assert_cmpuint(second.batch->out_count, ==, 1);
    g_assert_cmpuint(second.batch->from_cells, ==, 1);
    g_assert_cmpint(gue_decode(second.batch->out_iov[0].iov_base,
                               second.batch->out_iov[0].iov_len, &gue),
                    >, 0);
    g_assert_cmpuint(gue.count, ==, 3);
    g_assert_cmpuint(gue.flags & GUE_OPEN, ==, GUE_OPEN);
    free(second.batch);

    decide(&second, none, directory, sent->iov_base, sent->iov_len);
    g_assert_cmpuint(second.batch->out_count, ==, 0);
    g_assert_cmpuint(second.batch->drops[PACKET_HOP_LIMIT], ==, 1);
    free(second.batch);
    free(first.batch);

    /* No directory entry for the address, and no directory */
    decide(&first, none, other, buf, len);
    g_assert_cmpuint(first.batch->drops[PACKET_NO_SERVICE], ==, 1);
    free(first.batch);
    decide(&first, none, NULL, buf, len);
    g_assert_cmpuint(first.batch->drops[PACKET_NO_SERVICE], ==, 1);
    free(first.batch);

    route_table_free(none);
    route_table_free(lots);
    directory_table_free(directory);
    directory_table_free(other);
    service_config_free(text);
    free(view);
    free(empty);
}

int
main(int argc, char **argv)
{
    int ret;

    g_test_init(&argc, &argv, NULL);
    rcu_register_thread();
    ret = harness_run();
    rcu_unregister_thread();
    return ret;
}
