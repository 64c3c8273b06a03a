#include "relay/steer/steer_private.h"

#include <string.h>

#include "base/clock.h"

static void
explain_pin(const struct steer_pin *pin, uint64_t now_us,
            struct steer_explanation *told)
{
    told->known = true;
    told->service = pin->service;
    told->opened = pin->opened;
    told->held = pin->held;
    told->holder = pin->holder;
    told->tries = pin->try_count;
    told->searches = pin->searches;
    told->age_us = now_us - pin->since_us;
    told->place_count = pin->place_count;
    for (unsigned i = 0; i < pin->place_count; i++) {
        told->places[i] = pin->places[i].agent;
    }
}

void
steer_explain(const struct steer *steer, struct relay_flow flow,
              uint64_t now_us, struct steer_explanation *told)
{
    uint32_t handle = flow_index_find(&steer->flows, flow);

    memset(told, 0, sizeof(*told));
    told->route = routes_find(steer_routes_in_force(steer), flow.service);
    if (told->route != NULL) {
        told->service = route_service(told->route, flow);
    }
    if (handle != FLOW_INDEX_NONE) {
        explain_pin(&steer->pins[handle], now_us, told);
    }
    if (told->route != NULL) {
        agents_for_new(&steer->agents, told->service, &told->route->homes,
                       relay_flow_hash(flow), now_us, &told->next);
        told->evacuated = agents_all_evacuated(&steer->agents, told->service,
                                               &told->route->homes);
    }
}
