#include "relay/forwarder/forwarder_private.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

void
forwarder_drop_packet(struct forwarder *forwarder, enum forwarder_drop why,
                      const struct relay_packet *packet)
{
    forwarder->out->ops->dropped(forwarder->out, why, packet);
}

void
forwarder_forget(struct forwarder *forwarder, uint32_t handle)
{
    flow_index_remove(&forwarder->flows, handle);
    memset(&forwarder->pins[handle], 0, sizeof(forwarder->pins[handle]));
}

uint32_t
forwarder_remember(struct forwarder *forwarder, struct relay_flow flow,
                   uint32_t service, uint64_t now_us)
{
    uint32_t handle;

    if (forwarder->flows.used == forwarder->flows.capacity) {
        forwarder_forget(forwarder, flow_index_oldest(&forwarder->flows));
    }
    handle = flow_index_add(&forwarder->flows, flow, now_us);
    forwarder->pins[handle] = (struct forwarder_pin){
        .service = service, .since_us = now_us, .lookup_below = AGENTS_ALL};
    return handle;
}

struct frame_store_view
forwarder_store_view(const struct forwarder *forwarder)
{
    return (struct frame_store_view){forwarder->routes.version,
                                     (uint8_t)forwarder->reader};
}

struct frame_forward
forwarder_frame(const struct forwarder *forwarder, uint32_t service,
                const struct agents_choice *choice, unsigned from,
                const uint8_t *bytes, size_t size)
{
    struct frame_forward frame = {
        .service = service,
        .origin = forwarder->self,
        .view = forwarder_store_view(forwarder),
        .bytes = bytes,
        .size = size,
    };

    for (unsigned i = from;
         i < choice->count && frame.next_count < FRAME_NEXT_MAX; i++) {
        frame.next[frame.next_count++] = choice->addrs[i];
    }
    return frame;
}

const struct routes *
forwarder_routes_in_force(const struct forwarder *forwarder)
{
    return forwarder->routes.version != 0 ? &forwarder->routes
                                          : &forwarder->learned;
}

bool
forwarder_is_settled(const struct route *route, uint64_t now_us)
{
    return now_us - route->since_us >= FORWARDER_FLOW_MAX_US;
}

void
forwarder_set_request(const struct forwarder *forwarder,
                      const struct relay_packet *packet,
                      struct frame_forward *frame)
{
    const struct route *route;

    if (packet->len == 0) {
        return;
    }
    route = routes_find(forwarder_routes_in_force(forwarder), packet->to);
    if (route == NULL) {
        return;
    }
    frame->priority = (uint8_t)MIN(route->priority, UINT8_MAX);
    frame->target_ms = (uint16_t)MIN(route->target_ms, UINT16_MAX);
    frame->request_timeout_ms = (uint16_t)MIN(route->timeout_ms, UINT16_MAX);
}

void
forwarder_forward_to(struct forwarder *forwarder,
                     const struct forwarder_pin *pin, struct addr agent,
                     const struct relay_packet *packet)
{
    struct agents_choice none = {.count = 0};
    struct frame_forward frame = forwarder_frame(
        forwarder, pin->service, &none, 0, packet->bytes, packet->size);

    forwarder_set_request(forwarder, packet, &frame);
    forwarder->out->ops->forward(forwarder->out, agent, &frame);
}
