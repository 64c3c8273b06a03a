#include "relay/forwarder/forwarder_private.h"

#include <string.h>

#include "base/clock.h"

static void
explain_pin(const struct forwarder_pin *pin, uint64_t now_us,
            struct forwarder_explanation *reported)
{
    reported->known = true;
    reported->service = pin->service;
    reported->opened = pin->opened;
    reported->queued = pin->queued;
    reported->holder = pin->holder;
    reported->tries = pin->try_count;
    reported->lookups = pin->lookups;
    reported->age_us = now_us - pin->since_us;
    reported->acceptor_count = pin->acceptor_count;
    for (unsigned i = 0; i < pin->acceptor_count; i++) {
        reported->acceptors[i] = pin->acceptors[i].agent;
    }
}

void
forwarder_explain(const struct forwarder *forwarder, struct relay_flow flow,
                  uint64_t now_us, struct forwarder_explanation *reported)
{
    uint32_t handle = flow_index_find(&forwarder->flows, flow);

    memset(reported, 0, sizeof(*reported));
    reported->route =
        routes_find(forwarder_routes_in_force(forwarder), flow.service);
    if (reported->route != NULL) {
        reported->service = route_service(reported->route, flow);
    }
    if (handle != FLOW_INDEX_NONE) {
        explain_pin(&forwarder->pins[handle], now_us, reported);
    }
    if (reported->route != NULL) {
        agents_for_new(&forwarder->agents, reported->service,
                       &reported->route->region_affinity,
                       relay_flow_hash(flow), now_us, &reported->next);
        reported->evacuated =
            agents_all_evacuated(&forwarder->agents, reported->service,
                                 &reported->route->region_affinity);
    }
}
