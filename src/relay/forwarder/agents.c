#include "relay/forwarder/agents_private.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/hash.h"

/* Service of an agent that hasn't been heard and isn't in the list. */
#define SERVICE_UNKNOWN 0

/* Appends a row and returns its index. */
static unsigned
array_add(GPtrArray *array, struct agent_row *row)
{
    g_ptr_array_add(array, row);
    return array->len - 1;
}

static GPtrArray *
rows_of(const struct agents *agents, uint32_t service)
{
    return g_hash_table_lookup(agents->by_service, GUINT_TO_POINTER(service));
}

static void
service_add(struct agents *agents, struct agent_row *row)
{
    GPtrArray *rows = rows_of(agents, row->health.service);

    if (rows == NULL) {
        rows = g_ptr_array_new();
        g_hash_table_insert(agents->by_service,
                            GUINT_TO_POINTER(row->health.service), rows);
    }
    row->service_at = array_add(rows, row);
    agents->additions++;
}

static void
service_remove(struct agents *agents, struct agent_row *row)
{
    GPtrArray *rows = rows_of(agents, row->health.service);

    g_ptr_array_remove_index_fast(rows, row->service_at);
    if (row->service_at < rows->len) {
        struct agent_row *moved = g_ptr_array_index(rows, row->service_at);

        moved->service_at = row->service_at;
    }
}

static void
set_health(struct agents *agents, struct agent_row *row,
           const struct frame_health *health)
{
    if (row->health.service == health->service) {
        row->health = *health;
        return;
    }
    service_remove(agents, row);
    row->health = *health;
    service_add(agents, row);
}

static void
set_data_centre(struct agents *agents, struct agent_row *row,
                uint32_t data_centre_key)
{
    if (row->data_centre_key == data_centre_key) {
        return;
    }
    row->data_centre_key = data_centre_key;
    row->region = regions_find(&agents->regions, data_centre_key);
    row->evacuated = store_state_is_evacuated(&agents->store, data_centre_key);
}

static uint64_t
addr_key(struct addr addr)
{
    return (uint64_t)addr.ip << 16 | addr.port;
}

static struct agent_row *
row_add(struct agents *agents, struct addr addr, uint32_t service,
        uint64_t now_us)
{
    struct agent_row *row = g_new0(struct agent_row, 1);

    row->addr = addr;
    row->member = hash_pair(addr.ip, addr.port);
    row->health.service = service;
    row->key = addr_key(addr);
    row->ping_at = -1;
    row->row_at = array_add(agents->rows, row);
    g_hash_table_insert(agents->by_addr, &row->key, row);
    service_add(agents, row);
    agents_ping_now(agents, row, now_us);
    return row;
}

void
agents_remove(struct agents *agents, struct agent_row *row)
{
    agents_set_ping(agents, row, 0);
    service_remove(agents, row);
    g_hash_table_remove(agents->by_addr, &row->key);
    g_ptr_array_remove_index_fast(agents->rows, row->row_at);
    if (row->row_at < agents->rows->len) {
        struct agent_row *moved = g_ptr_array_index(agents->rows, row->row_at);

        moved->row_at = row->row_at;
    }
    g_free(row);
}

void
agents_init(struct agents *agents, const char *data_centre)
{
    memset(agents, 0, sizeof(*agents));
    agents->own_data_centre = evacuations_key(data_centre);
    agents->rows = g_ptr_array_new();
    agents->by_addr = g_hash_table_new(g_int64_hash, g_int64_equal);
    agents->by_service = g_hash_table_new_full(
        NULL, NULL, NULL, (GDestroyNotify)g_ptr_array_unref);
    agents->pinged = g_ptr_array_new();
    agents->views = g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

void
agents_set_regions(struct agents *agents, const struct regions *regions)
{
    agents->regions = *regions;
    for (guint i = 0; i < agents->rows->len; i++) {
        struct agent_row *row = g_ptr_array_index(agents->rows, i);

        row->region = regions_find(regions, row->data_centre_key);
    }
}

void
agents_finish(struct agents *agents)
{
    if (agents->rows == NULL) {
        return;
    }
    g_ptr_array_set_free_func(agents->rows, g_free);
    g_hash_table_destroy(agents->by_addr);
    g_hash_table_destroy(agents->by_service);
    g_hash_table_destroy(agents->views);
    g_ptr_array_unref(agents->pinged);
    g_ptr_array_unref(agents->rows);
    agents->rows = NULL;
}

struct agent_row *
agents_find(const struct agents *agents, struct addr addr)
{
    uint64_t key = addr_key(addr);

    return g_hash_table_lookup(agents->by_addr, &key);
}

bool
agent_is_known(const struct agent_row *row)
{
    return row->ever_listed || row->heard_us != 0;
}

size_t
agents_count(const struct agents *agents)
{
    return agents->rows->len;
}

struct agent_row *
agents_at(const struct agents *agents, size_t at)
{
    return g_ptr_array_index(agents->rows, at);
}

void
agents_list(struct agents *agents, struct addr addr, uint32_t service,
            const char *data_centre, uint64_t now_us)
{
    struct agent_row *row = agents_find(agents, addr);

    if (row == NULL) {
        row = row_add(agents, addr, service, now_us);
    }
    if (row->health.service != service) {
        struct frame_health unknown = {.service = service};

        /* Another host has taken over the address: discard the old agent's
         * health. */
        set_health(agents, row, &unknown);
        row->report = (struct pressure_report){0};
        agents_clear_suspect(row);
        agents_ping_now(agents, row, now_us);
    }
    row->listed = true;
    row->ever_listed = true;
    row->unlisted = false;
    row->disputed = false;
    g_strlcpy(row->data_centre, data_centre, sizeof(row->data_centre));
    set_data_centre(agents, row, evacuations_key(data_centre));
}

void
agents_unlist(struct agents *agents, struct addr addr, uint64_t now_us)
{
    struct agent_row *row = agents_find(agents, addr);

    if (row == NULL) {
        return;
    }
    row->listed = false;
    row->unlisted = row->ever_listed;
    agents_set_ping(agents, row, now_us);
}

void
agents_dispute(struct agents *agents, struct addr addr, uint32_t service,
               uint64_t now_us)
{
    struct agent_row *row = agents_find(agents, addr);

    if (row == NULL) {
        row = row_add(agents, addr, SERVICE_UNKNOWN, now_us);
    }
    if (!row->unlisted) {
        row->listed = row->ever_listed;
    }
    row->disputed = true;
    row->disputed_service = service;
    agents_set_ping(agents, row, now_us);
}

void
agents_list_complete(struct agents *agents)
{
    agents->list_complete = true;
}

static void
mark_evacuated(struct agents *agents)
{
    for (guint i = 0; i < agents->rows->len; i++) {
        struct agent_row *row = g_ptr_array_index(agents->rows, i);

        row->evacuated =
            store_state_is_evacuated(&agents->store, row->data_centre_key);
    }
}

bool
agents_evacuate(struct agents *agents, const struct evacuations *reported,
                bool ping, uint64_t now_us)
{
    if (!store_state_update(&agents->store, reported, now_us)) {
        return false;
    }
    mark_evacuated(agents);
    for (guint i = 0; ping && i < agents->rows->len; i++) {
        struct agent_row *row = g_ptr_array_index(agents->rows, i);

        if (row->evacuated) {
            agents_ping_now(agents, row, now_us);
        }
    }
    return true;
}

void
agents_tick(struct agents *agents, uint64_t now_us)
{
    if (store_state_tick(&agents->store, now_us)) {
        mark_evacuated(agents);
    }
}

void
agents_update_health(struct agents *agents, struct addr addr,
                     const struct frame_health *health, uint64_t now_us)
{
    struct agent_row *row = agents_find(agents, addr);

    if (row == NULL) {
        row = row_add(agents, addr, health->service, now_us);
    }
    if (agents->list_complete && row->listed && !row->disputed &&
        row->health.service != health->service) {
        /* The address has changed hosts, and either the list or this frame is
         * outdated. */
        row->health.state = ENDPOINT_SILENT;
    }
    else {
        set_health(agents, row, health);
    }
    if (row->disputed_service == health->service) {
        /* It was the agent's own object. */
        row->disputed = false;
    }
    if (health->data_centre != 0) {
        /* Needed for region affinity while the store is unreachable. */
        set_data_centre(agents, row, health->data_centre);
    }
    row->down = row->down && health->state == ENDPOINT_SILENT;
    row->health_us = now_us;
    row->sent = 0;
    row->opened = 0;
    pressure_report_update(&row->report, health, now_us);
    agents_mark_alive(agents, row, now_us);
}

const GPtrArray *
agents_of_service(const struct agents *agents, uint32_t service)
{
    return rows_of(agents, service);
}

uint32_t
agents_next_service(const struct agents *agents, uint32_t service,
                    uint32_t excluded)
{
    uint32_t first = excluded;
    uint32_t next = excluded;
    GHashTableIter services;
    gpointer key;
    gpointer rows;

    g_hash_table_iter_init(&services, agents->by_service);
    while (g_hash_table_iter_next(&services, &key, &rows)) {
        uint32_t other = GPOINTER_TO_UINT(key);

        if (other == excluded || ((GPtrArray *)rows)->len == 0) {
            continue;
        }
        if (first == excluded || other < first) {
            first = other;
        }
        if (other > service && (next == excluded || other < next)) {
            next = other;
        }
    }
    return next != excluded ? next : first;
}
