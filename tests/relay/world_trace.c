/* Trace of one flow through the simulation, for failing seeds: the messages
 * that hosts receive, the decisions about it and the faults around it. */
#include "relay/world_private.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"

#define LINE_MAX_SIZE 200

static const char *const target_names[] = {
    [TO_BALANCER] = "balancer",  [TO_BALANCER_FRAME] = "balancer",
    [TO_AGENT] = "agent",        [TO_ENDPOINT] = "endpoint",
    [TO_OUTBOUND] = "agent-out", [TO_CALLER] = "caller",
};

void
world_trace_init(struct world *world)
{
    const char *text = g_getenv("WORLD_TRACE");

    world->traced = text != NULL ? (int)strtol(text, NULL, 10) : -1;
}

static bool
is_traced(const struct world *world, struct relay_flow flow)
{
    unsigned number = (unsigned)world->traced;

    return world->traced >= 0 && number < world->caller_count &&
           relay_flow_equal(world->callers[number].flow, flow);
}

static void
print_line(const struct world *world, const char *fmt, va_list args)
{
    char text[LINE_MAX_SIZE];

    g_vsnprintf(text, sizeof(text), fmt, args);
    fprintf(stderr, "%9.3f ms %s\n", (double)world->now_us / USEC_PER_MSEC,
            text);
}

void
world_trace(const struct world *world, const char *fmt, ...)
{
    va_list args;

    if (world->traced < 0) {
        return;
    }
    va_start(args, fmt);
    print_line(world, fmt, args);
    va_end(args);
}

void
world_trace_flow(const struct world *world, struct relay_flow flow,
                 const char *fmt, ...)
{
    va_list args;

    if (!is_traced(world, flow)) {
        return;
    }
    va_start(args, fmt);
    print_line(world, fmt, args);
    va_end(args);
}

static void
trace_packet(const struct world *world, const struct message *message,
             const uint8_t *bytes, const char *detail)
{
    struct relay_packet packet = world_packet_of(bytes);

    if ((int)world_caller_of(bytes) != world->traced) {
        return;
    }
    world_trace(world, "%s-%u gets%s%s%s%s%s%s seq %u ack %u len %u%s",
                target_names[message->target], message->number,
                (packet.flags & RELAY_SYN) != 0 ? " SYN" : "",
                (packet.flags & RELAY_ACK) != 0 ? " ACK" : "",
                (packet.flags & RELAY_FIN) != 0 ? " FIN" : "",
                (packet.flags & RELAY_RST) != 0 ? " RST" : "",
                (packet.flags & RELAY_BOUNCED) != 0 ? " BOUNCED" : "",
                packet.age_ms > 0 ? " copy" : "", packet.seq, packet.ack,
                packet.len, detail);
}

static void
trace_forward(const struct world *world, const struct message *message)
{
    struct frame_forward frame;
    char detail[96];

    if (frame_forward_decode(message->bytes, message->size, &frame) < 0) {
        return;
    }
    g_snprintf(detail, sizeof(detail), " from balancer-%u hops %u next %u%s%s",
               frame.origin.ip - world_balancer_addr(0).ip, frame.hops,
               frame.next_count, frame.forced ? " forced" : "",
               frame.given ? " given" : "");
    trace_packet(world, message, frame.bytes, detail);
}

static void
trace_status(const struct world *world, const struct message *message)
{
    static const char *const types[] = {[FRAME_ESTABLISHED] = "established",
                                        [FRAME_REDIRECTED] = "redirected",
                                        [FRAME_QUEUED] = "queued"};
    struct frame_status status;

    if (frame_status_decode(message->bytes, message->size - 1, &status) < 0 ||
        status.type >= G_N_ELEMENTS(types) || types[status.type] == NULL) {
        return;
    }
    world_trace_flow(
        world, status.flow,
        "balancer-%u hears of agent-%u: %s reason %u target %u",
        message->number, message->bytes[message->size - 1], types[status.type],
        status.reason,
        status.target.ip != 0 ? status.target.ip - world_host_addr(0).ip : 99);
}

void
world_trace_message(const struct world *world, const struct message *message)
{
    if (world->traced < 0) {
        return;
    }
    switch (message->target) {
    case TO_AGENT:
        if (frame_type(message->bytes, message->size) == FRAME_FORWARD) {
            trace_forward(world, message);
        }
        return;
    case TO_BALANCER_FRAME:
        trace_status(world, message);
        return;
    default:
        trace_packet(world, message, message->bytes, "");
    }
}
