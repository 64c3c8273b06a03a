/**
 * DOC: routes - which service an address and port stand for
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
/* Services that one route shares its flows among. */
#define ROUTE_SHARES_MAX 8

/**
 * struct route_share - part of a route's flows
 * @service: hash_service() of the service's name
 * @weight: its part, of the sum of all weights of the route
 * @slow_start_per_s: requests a second that its endpoints bear until they are
 *                 warm, 0 for any number
 */
struct route_share {
    uint32_t service;
    uint32_t weight;
    float slow_start_per_s;
};

/**
 * struct route - what callers open
 * @name: the operators' name for it
 * @address: address and port
 * @shares: services that take its new flows
 * @share_count: at least one
 * @since_us: how long it has had the same services, as far as is known
 * @region_affinity: regions in which its requests may be served
 * @timeout_ms: how long a request may take
 * @target_ms: how soon a request should be replied
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
 * struct routes - a configuration
 * @version: grows with each change, 0 for none
 * @idle_timeout_ms: a flow that is quiet for longer may be forgotten
 * @items: routes, sorted by address once routes_seal() was called
 * @count: how many
 * @capacity: allocated
 */
struct routes {
    uint64_t version;
    unsigned idle_timeout_ms;
    struct route *items;
    size_t count;
    size_t capacity;
};

/** routes_init() - an empty table of version 0 */
void
routes_init(struct routes *routes);

/** routes_finish() - free the routes */
void
routes_finish(struct routes *routes);

/** routes_add() - a route to fill, zeroed; valid until the next call */
struct route *
routes_add(struct routes *routes);

/** routes_seal() - sort; -EEXIST when two routes share an address */
int
routes_seal(struct routes *routes);

/** routes_find() - route of an address, or NULL */
const struct route *
routes_find(const struct routes *routes, struct addr address);

/** routes_inherit_since() - routes whose services are as in @before have had
 * them for as long as there, the others since @now_us */
void
routes_inherit_since(struct routes *routes, const struct routes *before,
                     uint64_t now_us);

/** route_share_of() - the part of @route that goes to @service, or NULL */
const struct route_share *
route_share_of(const struct route *route, uint32_t service);

/** route_service() - service that takes a flow of @route; the same on each
 * host as long as the shares are */
uint32_t
route_service(const struct route *route, struct relay_flow flow);

#endif
