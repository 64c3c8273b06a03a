#include "relay/steer/steer_private.h"

#include <glib.h>

/* Agents out of reach leave too much doubt when they are more than one in so
 * many. */
#define REACHED_PARTS 3

static const struct route *
route_of(const struct steer *steer, struct relay_flow flow)
{
    return routes_find(steer_routes_in_force(steer), flow.service);
}

bool
steer_find_holders(const struct steer *steer, struct relay_flow flow,
                   uint64_t now_us, uint32_t *service)
{
    const struct route *route = route_of(steer, flow);

    if (route == NULL) {
        return false;
    }
    if (agents_count(&steer->agents) <= STEER_ASK_AGENTS_MOST) {
        *service = STEER_ANY_SERVICE;
        return true;
    }
    *service = route->shares[0].service;
    return route->share_count == 1 && steer->current &&
           steer_is_settled(route, now_us);
}

/* Whether a third of a service's agents or more are out of reach. */
static bool
is_out_of_reach(const struct steer *steer, uint32_t service)
{
    const GPtrArray *rows = agents_of_service(&steer->agents, service);
    uint32_t number = steer->lost.round.number;
    unsigned asked = 0;
    unsigned in_doubt = 0;

    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct agent_row *row = g_ptr_array_index(rows, i);

        asked += row->asked == number;
        in_doubt += row->asked == number && row->in_doubt;
    }
    return REACHED_PARTS * in_doubt > asked;
}

/* Whether agents that can't be asked matter little enough for a flow of
 * @route: they are few, also among those of its services. */
static bool
may_leave_doubt(const struct steer *steer, const struct route *route)
{
    const struct steer_round *round = &steer->lost.round;

    if (!route->idempotent ||
        REACHED_PARTS * round->unreachable > round->questions) {
        return false;
    }
    for (unsigned i = 0; i < route->share_count; i++) {
        if (is_out_of_reach(steer, route->shares[i].service)) {
            return false;
        }
    }
    return true;
}

bool
steer_is_claimed_by_none(const struct steer *steer, unsigned at,
                         uint64_t now_us)
{
    const struct steer_round *round = &steer->lost.round;
    struct relay_flow flow = round->flows[at].flow;
    bool absent = (round->absent[at / 32] & 1u << at % 32) != 0;
    uint32_t service;

    if (!absent || round->missing > 0 || round->asked == 0 ||
        !store_state_settled(&steer->agents.store, now_us) ||
        round->changes != steer->agents.changes ||
        !steer_find_holders(steer, flow, now_us, &service) ||
        service != round->service) {
        return false;
    }
    return round->unreachable == 0 ||
           may_leave_doubt(steer, route_of(steer, flow));
}
