#include "relay/forwarder/forwarder_private.h"

#include <string.h>

#include "base/clock.h"

static void
explain_pin(const struct forwarder_pin *pin, uint64_t now_us,
            struct forwarder_explanation *explanation)
{
    explanation->known = true;
    explanation->service = pin->service;
    explanation->opened = pin->opened;
    explanation->queued = pin->queued;
    explanation->holder = pin->holder;
    explanation->tries = pin->try_count;
    explanation->lookups = pin->lookups;
    explanation->age_us = now_us - pin->since_us;
    explanation->acceptor_count = pin->acceptor_count;
    for (unsigned i = 0; i < pin->acceptor_count; i++) {
        explanation->acceptors[i] = pin->acceptors[i].agent;
    }
}

void
forwarder_explain(const struct forwarder *forwarder, struct relay_flow flow,
                  uint64_t now_us, struct forwarder_explanation *explanation)
{
    uint32_t handle = flow_index_find(&forwarder->flows, flow);

    memset(explanation, 0, sizeof(*explanation));
    explanation->route =
        routes_find(forwarder_routes_in_force(forwarder), flow.service);
    if (explanation->route != NULL) {
        explanation->service = route_service(explanation->route, flow);
    }
    if (handle != FLOW_INDEX_NONE) {
        explain_pin(&forwarder->pins[handle], now_us, explanation);
    }
    if (explanation->route != NULL) {
        agents_for_new(&forwarder->agents, explanation->service,
                       &explanation->route->region_affinity,
                       relay_flow_hash(flow), now_us, &explanation->next);
        explanation->evacuated =
            agents_all_evacuated(&forwarder->agents, explanation->service,
                                 &explanation->route->region_affinity);
    }
}
