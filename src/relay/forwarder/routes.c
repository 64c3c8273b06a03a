#include "relay/forwarder/routes.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* Default idle timeout; callers abandon a flow well before. */
#define IDLE_TIMEOUT_DEFAULT_MS 60000
#define ROUTES_CAPACITY_INITIAL 32

static int
compare_addr(struct addr a, struct addr b)
{
    if (a.ip != b.ip) {
        return a.ip < b.ip ? -1 : 1;
    }
    return (int)a.port - (int)b.port;
}

static int
compare_route(const void *a, const void *b)
{
    const struct route *left = a;
    const struct route *right = b;

    return compare_addr(left->address, right->address);
}

void
routes_init(struct routes *routes)
{
    *routes = (struct routes){.idle_timeout_ms = IDLE_TIMEOUT_DEFAULT_MS};
}

void
routes_finish(struct routes *routes)
{
    g_free(routes->items);
    routes_init(routes);
}

struct route *
routes_add(struct routes *routes)
{
    struct route *route;

    if (routes->count == routes->capacity) {
        routes->capacity = routes->capacity == 0 ? ROUTES_CAPACITY_INITIAL
                                                 : 2 * routes->capacity;
        routes->items = g_renew(struct route, routes->items, routes->capacity);
    }
    route = &routes->items[routes->count++];
    memset(route, 0, sizeof(*route));
    return route;
}

int
routes_seal(struct routes *routes)
{
    if (routes->count == 0) {
        return 0;
    }
    qsort(routes->items, routes->count, sizeof(*routes->items), compare_route);
    for (size_t i = 1; i < routes->count; i++) {
        if (addr_equal(routes->items[i - 1].address,
                       routes->items[i].address)) {
            return -EEXIST;
        }
    }
    return 0;
}

const struct route *
routes_find(const struct routes *routes, struct addr address)
{
    struct route key = {.address = address};

    if (routes->count == 0) {
        return NULL;
    }
    return bsearch(&key, routes->items, routes->count, sizeof(key),
                   compare_route);
}

static bool
have_same_services(const struct route *a, const struct route *b)
{
    if (a->share_count != b->share_count) {
        return false;
    }
    for (unsigned i = 0; i < a->share_count; i++) {
        if (route_share_of(b, a->shares[i].service) == NULL) {
            return false;
        }
    }
    return true;
}

void
routes_inherit_since(struct routes *routes, const struct routes *before,
                     uint64_t now_us)
{
    for (size_t i = 0; i < routes->count; i++) {
        struct route *route = &routes->items[i];
        const struct route *known = routes_find(before, route->address);

        route->since_us = known != NULL && have_same_services(route, known)
                              ? known->since_us
                              : now_us;
    }
}

const struct route_share *
route_share_of(const struct route *route, uint32_t service)
{
    for (unsigned i = 0; i < route->share_count; i++) {
        if (route->shares[i].service == service) {
            return &route->shares[i];
        }
    }
    return NULL;
}

uint32_t
route_service(const struct route *route, struct relay_flow flow)
{
    uint64_t total = 0;
    uint64_t point;

    for (unsigned i = 0; i < route->share_count; i++) {
        total += route->shares[i].weight;
    }
    if (route->share_count <= 1 || total == 0) {
        return route->shares[0].service;
    }
    point = relay_flow_hash(flow) % total;
    for (unsigned i = 0; i < route->share_count; i++) {
        if (point < route->shares[i].weight) {
            return route->shares[i].service;
        }
        point -= route->shares[i].weight;
    }
    return route->shares[0].service;
}

bool
routes_name_service(const struct routes *routes, uint32_t service)
{
    for (size_t i = 0; i < routes->count; i++) {
        if (route_share_of(&routes->items[i], service) != NULL) {
            return true;
        }
    }
    return false;
}
