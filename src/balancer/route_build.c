#include "balancer/route.h"

#include <assert.h>
#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "balancer/route_rank.h"
#include "base/hash.h"

static uint32_t
hash_slot(const struct route_table *table, uint32_t ip, uint16_t port,
          uint8_t proto)
{
    uint64_t hash = hash_pair(ip, (uint64_t)port << 8 | proto);
    return (uint32_t)hash & table->slot_mask;
}

static void
add_slot(struct route_table *table, size_t index)
{
    const struct route_address *address = &table->addresses[index];
    uint32_t slot =
        hash_slot(table, address->ip, address->port, address->proto);

    while (table->slots[slot] != 0)
        slot = (slot + 1) & table->slot_mask;
    table->slots[slot] = (uint16_t)(index + 1);
}

static int
alloc_slots(struct route_table *table)
{
    size_t size = 2;
    while (size < 2 * table->address_count)
        size *= 2;

    table->slots = calloc(size, sizeof(*table->slots));
    if (table->slots == NULL)
        return -ENOMEM;
    table->slot_mask = (uint32_t)(size - 1);
    for (size_t i = 0; i < table->address_count; i++)
        add_slot(table, i);
    return 0;
}

/* Index of a configured or removed service, or -1 */
static int
service_index(const struct route_table *table,
              const struct service_config *config, uint32_t id)
{
    const struct service_config_entry *service =
        service_config_find_id(config, id);
    if (service != NULL)
        return (int)(service - config->services);

    for (size_t i = config->count; i < table->count; i++)
        if (table->services[i].id == id)
            return (int)i;
    return -1;
}

static void
add_address(struct route_table *table,
            const struct service_config_entry *service, bool retired,
            size_t index)
{
    table->addresses[table->address_count++] = (struct route_address){
        .ip = service->ip,
        .port = service->port,
        .proto = (uint8_t)service->proto,
        .retired = retired,
        .service = (uint16_t)index,
    };
}

static int
alloc_services(struct route_table *table, const struct service_config *config)
{
    size_t max = config->count + config->retired_count;
    assert(config->count <= SERVICE_CONFIG_SERVICES_MAX);
    assert(config->retired_count <= SERVICE_CONFIG_RETIRED_MAX);

    table->services = calloc(max + 1, sizeof(*table->services));
    table->addresses = calloc(max + 1, sizeof(*table->addresses));
    if (table->services == NULL || table->addresses == NULL)
        return -ENOMEM;
    table->count = config->count;
    for (size_t i = 0; i < config->count; i++) {
        table->services[i].id = config->services[i].id;
        add_address(table, &config->services[i], false, i);
    }
    for (size_t i = 0; i < config->retired_count; i++) {
        const struct service_config_entry *service =
            &config->retired[i].service;
        int index = service_index(table, config, service->id);
        if (index < 0) {
            index = (int)table->count++;
            table->services[index].id = service->id;
        }
        add_address(table, service, true, (size_t)index);
    }
    return 0;
}

static enum route_endpoint_state
route_state_of(const struct view_member *member)
{
    if (member->health == MEMBER_SUSPECT)
        return ROUTE_SUSPECT;
    if (member->state == MEMBER_READY)
        return ROUTE_READY;
    if (member->state == MEMBER_WARMING)
        return ROUTE_SLOW_START;
    return ROUTE_DRAINING;
}

/* Index of the service of a live agent, or -1 */
static int
member_service_index(const struct route_table *table,
                     const struct service_config *config,
                     const struct view_member *member)
{
    if (member->role != MEMBER_AGENT || member->service == 0 ||
        member->health == MEMBER_DEAD || member->data.ip == 0 ||
        member->data.port == 0)
        return -1;
    return service_index(table, config, member->service);
}

static void
add_endpoint(struct route_service *service, const struct view_member *member)
{
    assert(service->endpoints != NULL);

    struct route_endpoint *endpoint = &service->endpoints[service->count++];
    endpoint->member = member->id;
    endpoint->incarnation = member->incarnation;
    endpoint->since_us = member->since_us;
    endpoint->data = member->data;
    endpoint->state = route_state_of(member);
}

/* Keeps the order of the view, so endpoints are sorted by member id. */
static int
add_endpoints(struct route_table *table, const struct view *view,
              const struct service_config *config)
{
    size_t *counts = calloc(table->count + 1, sizeof(*counts));
    int result = -ENOMEM;
    if (counts == NULL)
        return result;

    for (size_t i = 0; i < view->count; i++) {
        int index = member_service_index(table, config, &view->members[i]);
        if (index >= 0)
            counts[index]++;
    }
    for (size_t i = 0; i < table->count; i++) {
        struct route_service *service = &table->services[i];
        if (counts[i] == 0)
            continue;
        if (counts[i] >= RANK_NONE) {
            result = -E2BIG;
            goto out;
        }
        service->endpoints = calloc(counts[i], sizeof(*service->endpoints));
        if (service->endpoints == NULL)
            goto out;
    }
    for (size_t i = 0; i < view->count; i++) {
        int index = member_service_index(table, config, &view->members[i]);
        if (index >= 0)
            add_endpoint(&table->services[index], &view->members[i]);
    }
    result = 0;

out:
    free(counts);
    return result;
}

static const struct route_service *
previous_service(const struct route_table *previous, size_t index, uint32_t id)
{
    if (previous == NULL)
        return NULL;
    if (index < previous->count && previous->services[index].id == id)
        return &previous->services[index];
    for (size_t i = 0; i < previous->count; i++)
        if (previous->services[i].id == id)
            return &previous->services[i];
    return NULL;
}

static bool
takes_new_flows(const struct route_endpoint *endpoint)
{
    return endpoint->state == ROUTE_READY ||
           endpoint->state == ROUTE_SLOW_START;
}

static int
rank_open(struct route_service *service, const struct route_service *previous,
          uint64_t *members)
{
    size_t count = 0;

    service->open_handles =
        calloc(service->count, sizeof(*service->open_handles));
    if (service->open_handles == NULL)
        return -ENOMEM;
    for (uint16_t i = 0; i < service->count; i++) {
        if (!takes_new_flows(&service->endpoints[i]))
            continue;
        service->open_handles[count] = i;
        members[count++] = service->endpoints[i].member;
    }
    if (count == 0)
        return 0;
    if (count == service->count) {
        service->open = route_rank_ref(service->all);
        return 0;
    }

    /* Patch the previous open rank, or else the rank of all endpoints. */
    struct route_rank *base = service->all;
    if (previous != NULL && previous->open != NULL &&
        previous->open != previous->all)
        base = previous->open;
    return route_rank_new(members, count, base, &service->open);
}

static int
rank_service(struct route_service *service,
             const struct route_service *previous)
{
    if (service->count == 0)
        return 0;

    uint64_t *members = calloc(service->count, sizeof(*members));
    if (members == NULL)
        return -ENOMEM;
    for (size_t i = 0; i < service->count; i++)
        members[i] = service->endpoints[i].member;

    int result =
        route_rank_new(members, service->count,
                       previous != NULL ? previous->all : NULL, &service->all);
    if (result == 0)
        result = rank_open(service, previous, members);
    free(members);
    return result;
}

int
route_table_new(const struct view *view, const struct service_config *config,
                const struct route_table *previous, struct route_table **table)
{
    struct route_table *new = calloc(1, sizeof(*new));
    int result = -ENOMEM;
    if (new == NULL)
        return result;

    new->view_seq = view->seq;
    new->config_version = config->version;
    result = alloc_services(new, config);
    if (result < 0)
        goto err;
    result = alloc_slots(new);
    if (result < 0)
        goto err;
    result = add_endpoints(new, view, config);
    if (result < 0)
        goto err;
    for (size_t i = 0; i < new->count; i++) {
        struct route_service *service = &new->services[i];
        result =
            rank_service(service, previous_service(previous, i, service->id));
        if (result < 0)
            goto err;
    }
    *table = new;
    return 0;

err:
    route_table_free(new);
    return result;
}

void
route_table_free(struct route_table *table)
{
    if (table == NULL)
        return;
    for (size_t i = 0; i < table->count; i++) {
        struct route_service *service = &table->services[i];
        route_rank_unref(service->all);
        route_rank_unref(service->open);
        free(service->open_handles);
        free(service->endpoints);
    }
    free(table->services);
    free(table->addresses);
    free(table->slots);
    free(table);
}

const struct route_address *
route_find_address(const struct route_table *table, uint32_t ip, uint16_t port,
                   uint8_t proto)
{
    uint32_t slot = hash_slot(table, ip, port, proto);

    for (; table->slots[slot] != 0; slot = (slot + 1) & table->slot_mask) {
        const struct route_address *address =
            &table->addresses[table->slots[slot] - 1];
        if (address->ip == ip && address->port == port &&
            address->proto == proto)
            return address;
    }
    return NULL;
}

const struct route_service *
route_find(const struct route_table *table, uint32_t ip, uint16_t port,
           uint8_t proto)
{
    const struct route_address *address =
        route_find_address(table, ip, port, proto);

    return address != NULL ? &table->services[address->service] : NULL;
}

const struct route_endpoint *
route_endpoint_at(const struct route_table *table, struct addr data)
{
    for (size_t i = 0; i < table->count; i++) {
        const struct route_service *service = &table->services[i];
        for (size_t j = 0; j < service->count; j++)
            if (addr_equal(service->endpoints[j].data, data))
                return &service->endpoints[j];
    }
    return NULL;
}

size_t
route_table_bytes(const struct route_table *table)
{
    size_t bytes = sizeof(*table) + table->count * sizeof(*table->services) +
                   table->address_count * sizeof(*table->addresses) +
                   ((size_t)table->slot_mask + 1) * sizeof(*table->slots);

    for (size_t i = 0; i < table->count; i++) {
        const struct route_service *service = &table->services[i];
        bytes += service->count * (sizeof(*service->endpoints) +
                                   sizeof(*service->open_handles));
        bytes += route_rank_bytes(service->all);
        if (service->open != service->all)
            bytes += route_rank_bytes(service->open);
    }
    return bytes;
}
