#include "relay/forwarder/forwarder_private.h"

#include <glib.h>

/* Agents out of reach leave too much doubt when they are more than one in so
 * many. */
#define UNREACHABLE_PARTS 3

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

/* Whether a third of a service's agents or more are out of reach. */
static bool
is_out_of_reach(const struct forwarder *forwarder, uint32_t service)
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
    return UNREACHABLE_PARTS * inconclusive > queried;
}

/* Whether agents that can't be queried matter little enough for a flow of
 * @route: they are few, also among those of its services. */
static bool
is_doubt_acceptable(const struct forwarder *forwarder,
                    const struct route *route)
{
    const struct orphan_query *query = &forwarder->orphaned.query;

    if (!route->idempotent ||
        UNREACHABLE_PARTS * query->unreachable > query->queries) {
        return false;
    }
    for (unsigned i = 0; i < route->share_count; i++) {
        if (is_out_of_reach(forwarder, route->shares[i].service)) {
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
           is_doubt_acceptable(forwarder, route_of(forwarder, flow));
}
