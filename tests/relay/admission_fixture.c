#include "relay/admission_fixture.h"

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/relay_fixture.h"

#define SELF "10.0.0.1:7000"

/* Longer than a few intervals of heartbeats. */
#define WATCH_US (5 * USEC_PER_SEC)

static struct fixture *
fixture_from_out(struct admission_out *out)
{
    return (struct fixture *)out;
}

static void
to_endpoint(struct admission_out *out, const uint8_t *bytes, size_t size)
{
    fixture_record(fixture_from_out(out)->record, "endpoint %zu",
                   size - FIXTURE_HEADERS_SIZE);
}

static void
to_caller(struct admission_out *out, struct addr caller, const uint8_t *bytes,
          size_t size)
{
    fixture_record(fixture_from_out(out)->record, "caller %u", caller.port);
}

static void
reset(struct admission_out *out, struct relay_flow flow, uint32_t seq)
{
    fixture_record(fixture_from_out(out)->record, "reset %u at %u",
                   flow.caller.port, seq);
}

static void
forward(struct admission_out *out, struct addr agent,
        const struct frame_forward *frame)
{
    char text[ADDR_TEXT_MAX];

    fixture_record(fixture_from_out(out)->record,
                   "forward %s hops=%u left=%u%s", addr_format(agent, text),
                   frame->hops, frame->next_count,
                   frame->forced ? " forced" : "");
}

static void
notify(struct admission_out *out, struct addr balancer,
       const struct frame_status *status)
{
    static const char *const types[] = {
        [FRAME_ESTABLISHED] = "established",
        [FRAME_REDIRECTED] = "redirected",
        [FRAME_QUEUED] = "queued",
        [FRAME_STATE] = "state",
    };

    fixture_from_out(out)->readers = status->readers.reading;
    fixture_from_out(out)->trying = status->readers.trying;
    fixture_from_out(out)->load = status->health.load;
    fixture_record(fixture_from_out(out)->record,
                   "notify %s reason=%u on=%d busy=%u state=%u",
                   types[status->type], status->reason, status->target.ip != 0,
                   status->health.busy, status->health.state);
}

static void
send_served(struct admission_out *out, struct addr balancer,
            const struct frame_served *served)
{
    fixture_record(fixture_from_out(out)->record, "served %u", served->count);
}

static void
send_query_reply(struct admission_out *out, struct addr balancer,
                 const struct frame_query_reply *reply)
{
    fixture_record(fixture_from_out(out)->record, "absent %x%s",
                   reply->absent[0], reply->silent ? " silent" : "");
}

static void
probe(struct admission_out *out)
{
    fixture_record(fixture_from_out(out)->record, "probe");
}

static void
dropped(struct admission_out *out, enum admission_drop why)
{
    fixture_record(fixture_from_out(out)->record, "drop %d", why);
}

static void
decided(struct admission_out *out, enum admission_decision decision,
        struct relay_flow flow, enum frame_reason why,
        const struct frame_forward *frame)
{
}

static void
scheduled(struct admission_out *out, struct relay_flow flow,
          const struct admission_scheduled *event)
{
}

static const struct admission_out_ops ops = {
    to_endpoint,      to_caller, reset,   forward, notify,   send_served,
    send_query_reply, probe,     dropped, decided, scheduled};

void
fixture_init(struct fixture *fixture)
{
    fixture->out.ops = &ops;
    fixture->record = g_string_new(NULL);
    fixture->now_us = USEC_PER_SEC;
    g_assert_cmpint(admission_init(&fixture->admission, &fixture->out,
                                   fixture_addr(SELF), "here", "lots",
                                   fixture->now_us),
                    ==, 0);
}

void
fixture_finish(struct fixture *fixture)
{
    admission_finish(&fixture->admission);
    g_string_free(fixture->record, TRUE);
}

void
fixture_receive(struct fixture *fixture, struct relay_packet packet,
                unsigned next, bool forced)
{
    struct frame_forward frame = {
        .service = hash_service("lots"),
        .origin = fixture_addr(FIXTURE_BALANCER),
        .view.version = 1,
        .forced = forced,
        .target_ms = 100,
        .caller_timeout_ms = 1400,
        .next = {fixture_addr(FIXTURE_SECOND), fixture_addr(FIXTURE_THIRD)},
        .next_count = (uint8_t)next,
        .bytes = packet.bytes,
        .size = packet.size,
    };

    admission_handle_forward(&fixture->admission, &frame, &packet,
                             fixture->now_us);
}

void
fixture_receive_along(struct fixture *fixture, struct relay_packet packet,
                      const char *next, const char *last)
{
    struct frame_forward frame = {
        .service = hash_service("lots"),
        .origin = fixture_addr(FIXTURE_BALANCER),
        .view.version = 1,
        .next = {fixture_addr(next)},
        .next_count = 1,
        .bytes = packet.bytes,
        .size = packet.size,
    };

    if (last != NULL) {
        frame.next[frame.next_count++] = fixture_addr(last);
    }
    admission_handle_forward(&fixture->admission, &frame, &packet,
                             fixture->now_us);
}

void
fixture_answer(struct fixture *fixture, struct relay_packet packet)
{
    admission_handle_endpoint_packet(&fixture->admission, &packet,
                                     fixture->now_us);
}

void
fixture_advance_ms(struct fixture *fixture, unsigned ms)
{
    fixture->now_us += ms * USEC_PER_MSEC;
    admission_tick(&fixture->admission, fixture->now_us);
}

void
fixture_open_flow(struct fixture *fixture, unsigned number)
{
    struct relay_flow flow = fixture_flow(number);

    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 100, 0, 0),
                    2, false);
    fixture_answer(fixture, fixture_from_endpoint(flow, RELAY_SYN | RELAY_ACK,
                                                  500, 101, 0));
}

void
fixture_watch(struct fixture *fixture)
{
    fixture->now_us += WATCH_US;
}

void
fixture_starts(struct fixture *fixture, const char *id, uint64_t started_ms)
{
    struct heartbeat heartbeat = {
        .started_ms = started_ms,
        .service = hash_service("lots"),
        .slots = 2,
        .sequence = 1,
    };

    g_strlcpy(heartbeat.id, id, sizeof(heartbeat.id));
    admission_handle_heartbeat(&fixture->admission, &heartbeat,
                               fixture->now_us);
}

void
fixture_heartbeat(struct fixture *fixture, const char *id, const char *service,
                  bool draining, uint64_t sequence)
{
    struct heartbeat heartbeat = {
        .service = hash_service(service),
        .draining = draining,
        .slots = 2,
        .sequence = sequence,
    };

    g_strlcpy(heartbeat.id, id, sizeof(heartbeat.id));
    admission_handle_heartbeat(&fixture->admission, &heartbeat,
                               fixture->now_us);
}

void
fixture_receive_forced(struct fixture *fixture, unsigned number,
                       unsigned target_ms, unsigned caller_timeout_ms,
                       unsigned priority)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(number), RELAY_SYN, 100, 0, 0);
    struct frame_forward frame = {
        .service = hash_service("lots"),
        .origin = fixture_addr(FIXTURE_BALANCER),
        .forced = true,
        .target_ms = (uint16_t)target_ms,
        .caller_timeout_ms = (uint16_t)caller_timeout_ms,
        .priority = (uint8_t)priority,
        .bytes = syn.bytes,
        .size = syn.size,
    };

    admission_handle_forward(&fixture->admission, &frame, &syn,
                             fixture->now_us);
}

void
fixture_fill(struct fixture *fixture)
{
    static const unsigned flows[] = {1, 2, 3, FIXTURE_FILL_LAST};

    for (unsigned i = 0; i < G_N_ELEMENTS(flows); i++) {
        fixture_receive_forced(fixture, flows[i], 100, 1400, 2);
        fixture_answer(fixture, fixture_from_endpoint(fixture_flow(flows[i]),
                                                      RELAY_SYN | RELAY_ACK,
                                                      500, 101, 0));
    }
}
