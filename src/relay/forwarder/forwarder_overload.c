#include "relay/forwarder/forwarder_private.h"

void
forwarder_overload_tick(struct forwarder *forwarder, uint64_t now_us)
{
    if (forwarder->overload != NULL) {
        admission_control_tick(&forwarder->overload->control, now_us);
    }
}

/* Whether a reset would be true and final: an outdated configuration may send
 * the flow to a service without room. */
static bool
may_refuse(const struct forwarder *forwarder,
           const struct relay_packet *packet, const struct route *route)
{
    return forwarder->overload != NULL && forwarder->current &&
           forwarder->routes.version != 0 && packet->age_ms == 0 &&
           route->timeout_ms > 0;
}

bool
forwarder_overload_refuse(struct forwarder *forwarder,
                          const struct relay_packet *packet,
                          const struct route *route, uint64_t now_us)
{
    struct relay_flow flow = relay_flow_from_caller(packet);
    struct overload_flow asked = {
        .control = {.service = route_service(route, flow),
                    .priority = (uint8_t)MIN(route->priority, UINT8_MAX),
                    .budget_ms = route->timeout_ms},
        .target_ms = route->target_ms,
        .caller = flow.caller.ip,
    };
    struct pressure pressure;

    if (!may_refuse(forwarder, packet, route)) {
        return false;
    }
    forwarder_overload_tick(forwarder, now_us);
    agents_pressure(&forwarder->agents, asked.control.service,
                    &route->region_affinity, now_us, &pressure);
    switch (overload_decide(forwarder->overload, &asked, &pressure, now_us)) {
    case OVERLOAD_REFUSE_WAIT:
        forwarder_refuse(forwarder, FORWARDER_DROP_OVERLOAD, packet);
        return true;
    case OVERLOAD_REFUSE_SHARE:
        forwarder_refuse(forwarder, FORWARDER_DROP_SHARE, packet);
        return true;
    default:
        return false;
    }
}
