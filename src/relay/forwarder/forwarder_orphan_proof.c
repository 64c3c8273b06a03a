#include "relay/forwarder/forwarder_private.h"

#include <glib.h>

/* A proof needs at least 1 - 1/UNREACHABLE_DIVISOR of the agents. */
#define UNREACHABLE_DIVISOR 3

static const struct route *
route_of(const struct forwarder *forwarder, struct relay_flow flow)
{
    return routes_find(forwarder_routes_in_force(forwarder), flow.service);
}

bool
forwarder_find_holders(const struct forwarder *forwarder,
                       struct relay_flow flow, uint64_t now_us,
                       uint32_t *service)
{
    const struct route *route = route_of(forwarder, flow);

    if (route == NULL) {
        return false;
    }
    if (agents_count(&forwarder->agents) <= FORWARDER_QUERY_AGENTS_MAX) {
        *service = FORWARDER_ANY_SERVICE;
        return true;
    }
    *service = route->shares[0].service;
    return route->share_count == 1 && forwarder->current &&
           forwarder_is_settled(route, now_us);
}

/* Whether more than 1/UNREACHABLE_DIVISOR of a service's agents gave no usable
 * reply. */
static bool
is_service_unreachable(const struct forwarder *forwarder, uint32_t service)
{
    const GPtrArray *rows = agents_of_service(&forwarder->agents, service);
    uint32_t number = forwarder->orphaned.query.number;
    unsigned queried = 0;
    unsigned inconclusive = 0;

    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct agent_row *row = g_ptr_array_index(rows, i);

        queried += row->queried == number;
        inconclusive += row->queried == number && row->inconclusive;
    }
    return UNREACHABLE_DIVISOR * inconclusive > queried;
}

/* Whether a flow of @route may count as ended although some agents are
 * unreachable: its requests are idempotent, and the unreachable are few in
 * total and in each of its services. */
static bool
may_ignore_unreachable(const struct forwarder *forwarder,
                       const struct route *route)
{
    const struct orphan_query *query = &forwarder->orphaned.query;

    if (!route->idempotent ||
        UNREACHABLE_DIVISOR * query->unreachable > query->queries) {
        return false;
    }
    for (unsigned i = 0; i < route->share_count; i++) {
        if (is_service_unreachable(forwarder, route->shares[i].service)) {
            return false;
        }
    }
    return true;
}

bool
forwarder_is_orphan_proven(const struct forwarder *forwarder, unsigned at,
                           uint64_t now_us)
{
    const struct orphan_query *query = &forwarder->orphaned.query;
    struct relay_flow flow = query->flows[at].flow;
    bool absent = (query->absent[at / 32] & 1u << at % 32) != 0;
    uint32_t service;

    if (!absent || query->missing > 0 || query->queried == 0 ||
        !store_state_is_recovered(&forwarder->agents.store, now_us) ||
        query->additions != forwarder->agents.additions ||
        !forwarder_find_holders(forwarder, flow, now_us, &service) ||
        service != query->service) {
        return false;
    }
    return query->unreachable == 0 ||
           may_ignore_unreachable(forwarder, route_of(forwarder, flow));
}
