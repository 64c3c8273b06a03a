#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/door/door.h"
#include "relay/relay_rig.h"

/*
 * What an agent's order at its door makes of the second after a loss of all
 * hosts: everybody comes at once, for longer than the endpoint can follow.
 *
 * Figures: an endpoint of two slots whose requests take 20 ms in the mean, the
 * work of small sites; callers 3 ms away who want their answer within 100 ms
 * and leave after 1.4 s; half as many requests again as the slots can do,
 * which is what retries add to a busy site's load after 1.2 s without power.
 */
#define SUITE "/relay/door_load"

#define SLOTS 2
#define WORK_US (20 * USEC_PER_MSEC)
#define TRIP_US (6 * USEC_PER_MSEC)
#define TARGET_MS 100
#define PATIENCE_MS 1400
#define STEP_US 500
#define LOAD_US (2 * USEC_PER_SEC)
#define CALLERS 300
#define GAP_US (LOAD_US / CALLERS)

/** enum step - what becomes of a caller next */
enum step { STEP_WAITS, STEP_ASKS, STEP_QUEUES, STEP_RUNS, STEP_ANSWERED };

/** struct caller - one request */
struct caller {
    enum step step;
    uint64_t opened_us;
    uint64_t next_us;
    uint64_t answered_us;
    bool offered;
};

/** struct site - an agent, its endpoint and their callers */
struct site {
    struct door_out out;
    struct door door;
    uint64_t now_us;
    struct caller callers[CALLERS];
    unsigned running;
    GRand *rand;
};

static struct site *
of_out(struct door_out *out)
{
    return (struct site *)out;
}

/* The caller of a flow, from the port of its packet; the rig's bytes hold the
 * number behind the head. */
static unsigned offered_number;

static void
to_endpoint(struct door_out *out, const uint8_t *bytes, size_t size)
{
    struct site *site = of_out(out);
    struct caller *caller;

    memcpy(&offered_number, bytes, sizeof(offered_number));
    caller = &site->callers[offered_number];
    if (caller->step == STEP_WAITS) {
        caller->offered = true;
    }
}

static void
to_caller(struct door_out *out, struct addr caller, const uint8_t *bytes,
          size_t size)
{
}

static void
reset(struct door_out *out, struct relay_flow flow, uint32_t seq)
{
}

static void
carry(struct door_out *out, struct addr agent, const struct frame_carry *frame)
{
}

static void
tell(struct door_out *out, struct addr balancer,
     const struct frame_status *status)
{
}

static void
serves(struct door_out *out, struct addr balancer,
       const struct frame_served *served)
{
}

static void
absent(struct door_out *out, struct addr balancer,
       const struct frame_absent *frame)
{
}

static void
probe(struct door_out *out)
{
}

static void
dropped(struct door_out *out, enum door_drop why)
{
}

static void
decided(struct door_out *out, enum door_did did, struct relay_flow flow,
        enum frame_reason why, const struct frame_carry *frame)
{
}

static const struct door_out_ops ops = {to_endpoint, to_caller, reset,  carry,
                                        tell,        serves,    absent, probe,
                                        dropped,     decided};

static void
site_init(struct site *site)
{
    struct heartbeat beat = {
        .id = "i-1",
        .service = hash_service("lots"),
        .slots = SLOTS,
        .sequence = 1,
    };

    site->out.ops = &ops;
    site->now_us = USEC_PER_SEC;
    site->rand = g_rand_new_with_seed(7);
    g_assert_cmpint(door_init(&site->door, &site->out,
                              rig_addr("10.0.0.1:7000"), "here", "lots",
                              site->now_us),
                    ==, 0);
    door_heartbeat(&site->door, &beat, site->now_us);
}

static void
site_finish(struct site *site)
{
    g_rand_free(site->rand);
    door_finish(&site->door);
}

static struct relay_packet
packet_of(unsigned number, unsigned flags, uint32_t ack, uint16_t len)
{
    static uint8_t bytes[RELAY_PACKET_MAX];
    struct relay_packet packet =
        rig_from_caller(rig_flow(number), flags, 100, ack, len);

    memcpy(bytes, &number, sizeof(number));
    packet.bytes = bytes;
    packet.size = RIG_DATA;
    return packet;
}

static void
arrive(struct site *site, struct relay_packet packet, bool opens)
{
    struct frame_carry frame = {
        .service = hash_service("lots"),
        .origin = rig_addr("10.9.0.1:7720"),
        .forced = opens,
        .target_ms = opens ? TARGET_MS : 0,
        .patience_ms = opens ? PATIENCE_MS : 0,
        .bytes = packet.bytes,
        .size = packet.size,
    };

    door_carry(&site->door, &frame, &packet, site->now_us);
}

static void
answer(struct site *site, unsigned number, unsigned flags, uint32_t seq,
       uint16_t len)
{
    struct relay_packet packet =
        rig_from_endpoint(rig_flow(number), flags, seq, 101, len);

    door_from_endpoint(&site->door, &packet, site->now_us);
}

/* Half of the mean to one and a half times it, and each tenth request thrice
 * that. */
static uint64_t
work_us(struct site *site)
{
    uint64_t us = (uint64_t)g_rand_int_range(site->rand, WORK_US * 5 / 12,
                                             WORK_US * 15 / 12);

    return g_rand_int_range(site->rand, 0, 10) == 0 ? 3 * us : us;
}

static void
step(struct site *site, unsigned number)
{
    struct caller *caller = &site->callers[number];

    if (caller->offered) {
        caller->offered = false;
        caller->step = STEP_ASKS;
        caller->next_us = site->now_us + TRIP_US;
        answer(site, number, RELAY_SYN | RELAY_ACK, 500, 0);
    }
    if (caller->step == STEP_ASKS && site->now_us >= caller->next_us) {
        caller->step = STEP_QUEUES;
        arrive(site, packet_of(number, RELAY_ACK, 501, 40), false);
    }
    if (caller->step == STEP_QUEUES && site->running < SLOTS) {
        site->running++;
        caller->step = STEP_RUNS;
        caller->next_us = site->now_us + work_us(site);
    }
    if (caller->step == STEP_RUNS && site->now_us >= caller->next_us) {
        site->running--;
        caller->step = STEP_ANSWERED;
        caller->answered_us = site->now_us + TRIP_US / 2;
        answer(site, number, RELAY_ACK, 501, 600);
    }
}

/* Requests in 1000 of what the slots can do that were answered in time. */
static unsigned
play(struct site *site)
{
    uint64_t start_us = site->now_us;
    unsigned opened = 0;
    unsigned in_time = 0;

    while (site->now_us < start_us + LOAD_US) {
        site->now_us += STEP_US;
        while (opened < CALLERS &&
               site->now_us >= start_us + opened * GAP_US) {
            site->callers[opened].opened_us = site->now_us;
            arrive(site, packet_of(opened, RELAY_SYN, 0, 0), true);
            opened++;
        }
        door_tick(&site->door, site->now_us);
        for (unsigned i = 0; i < opened; i++) {
            step(site, i);
        }
    }
    for (unsigned i = 0; i < opened; i++) {
        const struct caller *caller = &site->callers[i];

        in_time += caller->step == STEP_ANSWERED &&
                   caller->answered_us - caller->opened_us <=
                       TARGET_MS * USEC_PER_MSEC;
    }
    return (unsigned)(in_time * 1000 / (LOAD_US / WORK_US * SLOTS));
}

TEST_F(site, more_than_the_slots_can_do)
{
    unsigned in_time = play(site);

    g_test_message("%u in 1000 of what the slots can do are in time", in_time);
    g_assert_cmpuint(in_time, >=, 900);
}
