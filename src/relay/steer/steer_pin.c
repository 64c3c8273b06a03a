#include "relay/steer/steer_private.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

void
steer_drop_packet(struct steer *steer, enum steer_drop why,
                  const struct relay_packet *packet)
{
    steer->out->ops->dropped(steer->out, why, packet);
}

void
steer_forget(struct steer *steer, uint32_t handle)
{
    flow_index_remove(&steer->flows, handle);
    memset(&steer->pins[handle], 0, sizeof(steer->pins[handle]));
}

uint32_t
steer_remember(struct steer *steer, struct relay_flow flow, uint32_t service,
               uint64_t now_us)
{
    uint32_t handle;

    if (steer->flows.used == steer->flows.capacity) {
        steer_forget(steer, flow_index_oldest(&steer->flows));
    }
    handle = flow_index_add(&steer->flows, flow, now_us);
    steer->pins[handle] = (struct steer_pin){
        .service = service, .since_us = now_us, .search_below = AGENTS_ALL};
    return handle;
}

struct frame_store_view
steer_store_view(const struct steer *steer)
{
    return (struct frame_store_view){steer->routes.version,
                                     (uint8_t)steer->reader};
}

/* A frame for @packet that may go on along @choice from @from on. */
struct frame_carry
steer_frame(const struct steer *steer, uint32_t service,
            const struct agents_choice *choice, unsigned from,
            const uint8_t *bytes, size_t size)
{
    struct frame_carry frame = {
        .service = service,
        .origin = steer->self,
        .view = steer_store_view(steer),
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
steer_routes_in_force(const struct steer *steer)
{
    return steer->routes.version != 0 ? &steer->routes : &steer->learned;
}

bool
steer_is_settled(const struct route *route, uint64_t now_us)
{
    return now_us - route->since_us >= STEER_FLOW_LONGEST_US;
}

/* Sends a packet to an agent that holds its flow or will know who does. */
void
steer_carry_to(struct steer *steer, const struct steer_pin *pin,
               struct addr agent, const struct relay_packet *packet)
{
    struct agents_choice none = {.count = 0};
    struct frame_carry frame = steer_frame(steer, pin->service, &none, 0,
                                           packet->bytes, packet->size);

    steer->out->ops->carry(steer->out, agent, &frame);
}
