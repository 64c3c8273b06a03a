#include "relay/door_site.h"

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/relay_rig.h"

#define SELF "10.0.0.1:7000"

static struct site *
of_out(struct door_out *out)
{
    return (struct site *)out;
}

static void
to_endpoint(struct door_out *out, const uint8_t *bytes, size_t size)
{
    rig_note(of_out(out)->record, "endpoint %zu", size - RIG_DATA);
}

static void
to_caller(struct door_out *out, struct addr caller, const uint8_t *bytes,
          size_t size)
{
    rig_note(of_out(out)->record, "caller %u", caller.port);
}

static void
reset(struct door_out *out, struct relay_flow flow, uint32_t seq)
{
    rig_note(of_out(out)->record, "reset %u at %u", flow.caller.port, seq);
}

static void
carry(struct door_out *out, struct addr agent, const struct frame_carry *frame)
{
    char text[ADDR_TEXT_MAX];

    rig_note(of_out(out)->record, "carry %s hops=%u left=%u%s",
             addr_format(agent, text), frame->hops, frame->next_count,
             frame->forced ? " forced" : "");
}

static void
tell(struct door_out *out, struct addr balancer,
     const struct frame_status *status)
{
    static const char *const types[] = {
        [FRAME_PLACED] = "placed",
        [FRAME_PASSED] = "passed",
        [FRAME_HELD] = "held",
        [FRAME_STATE] = "state",
    };

    of_out(out)->readers = status->readers.reading;
    of_out(out)->trying = status->readers.trying;
    rig_note(of_out(out)->record, "tell %s reason=%u on=%d busy=%u state=%u",
             types[status->type], status->reason, status->target.ip != 0,
             status->health.busy, status->health.state);
}

static void
serves(struct door_out *out, struct addr balancer,
       const struct frame_served *served)
{
    rig_note(of_out(out)->record, "serves %u", served->count);
}

static void
absent(struct door_out *out, struct addr balancer,
       const struct frame_absent *absent)
{
    rig_note(of_out(out)->record, "absent %x%s", absent->absent[0],
             absent->silent ? " silent" : "");
}

static void
probe(struct door_out *out)
{
    rig_note(of_out(out)->record, "probe");
}

static void
dropped(struct door_out *out, enum door_drop why)
{
    rig_note(of_out(out)->record, "drop %d", why);
}

static void
decided(struct door_out *out, enum door_did did, struct relay_flow flow,
        enum frame_reason why, const struct frame_carry *frame)
{
}

static const struct door_out_ops ops = {to_endpoint, to_caller, reset,  carry,
                                        tell,        serves,    absent, probe,
                                        dropped,     decided};

void
site_init(struct site *site)
{
    site->out.ops = &ops;
    site->record = g_string_new(NULL);
    site->now_us = USEC_PER_SEC;
    g_assert_cmpint(door_init(&site->door, &site->out, rig_addr(SELF), "here",
                              "lots", site->now_us),
                    ==, 0);
}

void
site_finish(struct site *site)
{
    door_finish(&site->door);
    g_string_free(site->record, TRUE);
}

void
site_arrive(struct site *site, struct relay_packet packet, unsigned next,
            bool forced)
{
    struct frame_carry frame = {
        .service = hash_service("lots"),
        .origin = rig_addr(SITE_BALANCER),
        .view.version = 1,
        .forced = forced,
        .target_ms = 100,
        .patience_ms = 1400,
        .next = {rig_addr(SITE_SECOND), rig_addr(SITE_THIRD)},
        .next_count = (uint8_t)next,
        .bytes = packet.bytes,
        .size = packet.size,
    };

    door_carry(&site->door, &frame, &packet, site->now_us);
}

void
site_arrive_along(struct site *site, struct relay_packet packet,
                  const char *next, const char *last)
{
    struct frame_carry frame = {
        .service = hash_service("lots"),
        .origin = rig_addr(SITE_BALANCER),
        .view.version = 1,
        .next = {rig_addr(next)},
        .next_count = 1,
        .bytes = packet.bytes,
        .size = packet.size,
    };

    if (last != NULL) {
        frame.next[frame.next_count++] = rig_addr(last);
    }
    door_carry(&site->door, &frame, &packet, site->now_us);
}

void
site_answer(struct site *site, struct relay_packet packet)
{
    door_from_endpoint(&site->door, &packet, site->now_us);
}

void
site_pass_ms(struct site *site, unsigned ms)
{
    site->now_us += ms * USEC_PER_MSEC;
    door_tick(&site->door, site->now_us);
}

void
site_open_flow(struct site *site, unsigned number)
{
    struct relay_flow flow = rig_flow(number);

    site_arrive(site, rig_from_caller(flow, RELAY_SYN, 100, 0, 0), 2, false);
    site_answer(site,
                rig_from_endpoint(flow, RELAY_SYN | RELAY_ACK, 500, 101, 0));
}

void
site_starts(struct site *site, const char *id, uint64_t born_ms)
{
    struct heartbeat beat = {
        .born_ms = born_ms,
        .service = hash_service("lots"),
        .slots = 2,
        .sequence = 1,
    };

    g_strlcpy(beat.id, id, sizeof(beat.id));
    door_heartbeat(&site->door, &beat, site->now_us);
}

void
site_heartbeat(struct site *site, const char *id, const char *service,
               bool draining, uint64_t sequence)
{
    struct heartbeat beat = {
        .service = hash_service(service),
        .draining = draining,
        .slots = 2,
        .sequence = sequence,
    };

    g_strlcpy(beat.id, id, sizeof(beat.id));
    door_heartbeat(&site->door, &beat, site->now_us);
}

void
site_arrive_forced(struct site *site, unsigned number, unsigned target_ms,
                   unsigned patience_ms, unsigned priority)
{
    struct relay_packet syn =
        rig_from_caller(rig_flow(number), RELAY_SYN, 100, 0, 0);
    struct frame_carry frame = {
        .service = hash_service("lots"),
        .origin = rig_addr(SITE_BALANCER),
        .forced = true,
        .target_ms = (uint16_t)target_ms,
        .patience_ms = (uint16_t)patience_ms,
        .priority = (uint8_t)priority,
        .bytes = syn.bytes,
        .size = syn.size,
    };

    door_carry(&site->door, &frame, &syn, site->now_us);
}

void
site_fill(struct site *site)
{
    static const unsigned flows[] = {1, 2, 3, SITE_FILL_LAST};

    for (unsigned i = 0; i < G_N_ELEMENTS(flows); i++) {
        site_arrive_forced(site, flows[i], 100, 1400, 2);
        site_answer(site,
                    rig_from_endpoint(rig_flow(flows[i]),
                                      RELAY_SYN | RELAY_ACK, 500, 101, 0));
    }
}
