/**
 * DOC: routes - the service of each address and port
 *
 * One immutable table for each version of the configuration.
 */
#ifndef SWIFTARCH_RELAY_FORWARDER_ROUTES_H
#define SWIFTARCH_RELAY_FORWARDER_ROUTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "relay/forwarder/region_affinity.h"
#include "relay/wire/packet.h"

#define ROUTES_NAME_MAX 64
/* Maximum services of a route. */
#define ROUTE_SHARES_MAX 8

/**
 * struct route_share - a service that takes part of a route's flows
 * @service: hash_service() of the service's name
 * @weight: its share, relative to the sum of the route's weights
 * @slow_start_per_s: requests per second that a cold endpoint may get, 0 for
 *     no limit
 */
struct route_share {
    uint32_t service;
    uint32_t weight;
    float slow_start_per_s;
};

/**
 * struct route - an address that callers connect to
 * @name: name set by operators
 * @address: address and port
 * @shares: services that take its new flows
 * @share_count: number of @shares, at least 1
 * @since_us: since when it is known to have the same services
 * @region_affinity: regions in which its requests may be served
 * @timeout_ms: maximum duration of a request
 * @target_ms: response target of a request
 * @priority: 0 is most urgent
 * @idempotent: its requests may run twice
 */
struct route {
    char name[ROUTES_NAME_MAX];
    struct addr address;
    struct route_share shares[ROUTE_SHARES_MAX];
    unsigned share_count;
    uint64_t since_us;
    struct region_affinity region_affinity;
    unsigned timeout_ms;
    unsigned target_ms;
    unsigned priority;
    bool idempotent;
};

/**
 * struct routes - routes of one configuration
 * @version: grows with each change, 0 for none
 * @idle_timeout_ms: a flow idle for longer may be forgotten
 * @items: routes, sorted by address after routes_seal()
 * @count: number of @items
 * @capacity: number of @items allocated
 */
struct routes {
    uint64_t version;
    unsigned idle_timeout_ms;
    struct route *items;
    size_t count;
    size_t capacity;
};

/** routes_init() - initialize an empty table of version 0 */
void
routes_init(struct routes *routes);

/** routes_finish() - free the routes */
void
routes_finish(struct routes *routes);

/**
 * routes_add() - append a zeroed route to fill in; valid until the next call
 */
struct route *
routes_add(struct routes *routes);

/**
 * routes_seal() - sort by address; -EEXIST when two routes share an address
 */
int
routes_seal(struct routes *routes);

/** routes_find() - route of an address, or NULL */
const struct route *
routes_find(const struct routes *routes, struct addr address);

/** routes_name_service() - whether a route sends flows to @service */
bool
routes_name_service(const struct routes *routes, uint32_t service);

/**
 * routes_inherit_since() - set since_us of each route: kept from @before if
 * its services are the same there, otherwise @now_us
 */
void
routes_inherit_since(struct routes *routes, const struct routes *before,
                     uint64_t now_us);

/** route_share_of() - share of @service in @route, or NULL */
const struct route_share *
route_share_of(const struct route *route, uint32_t service);

/**
 * route_service() - service that takes a flow of @route; depends only on the
 * flow and the shares, so that all hosts agree
 */
uint32_t
route_service(const struct route *route, struct relay_flow flow);

#endif
