#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/admission/admission.h"
#include "relay/relay_fixture.h"

/*
 * What an agent's order at its admission makes of the seconds after a loss of
 * all hosts: everybody comes at once, for longer than the endpoint can follow.
 */
#define SUITE "/relay/door_load"

#define SLOTS 2
#define STEP_US 500
#define LOAD_US (2 * USEC_PER_SEC)
#define CALLERS_MAX 400

/* A caller gives up its SYN after 1.4 s. */
#define PATIENCE_MS 1400

/**
 * struct load - what comes to the agent
 * @service_us: what a request takes, in the mean
 * @rtt_us: from the endpoint's answer to the caller's next packet
 * @target_ms: how soon a caller wants its answer
 * @request_timeout_ms: how long it waits at most; 0: the agent isn't told
 * @fresh: callers that come one after the other in LOAD_US
 * @late: callers whose SYN's last copy, 600 ms old, comes at the start
 * @attempts: how often a caller opens a flow, while none is answered
 */
struct load {
    uint64_t service_us;
    uint64_t rtt_us;
    unsigned target_ms;
    unsigned request_timeout_ms;
    unsigned fresh;
    unsigned late;
    unsigned attempts;
};

/* An endpoint of two slots whose requests take 20 ms in the mean, the work of
 * small sites; callers 3 ms away who want their answer within 100 ms; half as
 * many requests again as the slots can do, which is what retries add to a busy
 * fixture's load after 1.2 s without power. */
static const struct load short_work = {
    .service_us = 20 * USEC_PER_MSEC,
    .rtt_us = 6 * USEC_PER_MSEC,
    .target_ms = 100,
    .fresh = 300,
    .attempts = 1,
};

/* Requests that take 53 ms at a cold endpoint, 33 ms at a warm one; callers
 * 1 ms away who want their answer within 250 ms and wait for 3 s; nine tenths
 * of what the slots can do, and the callers of the second before, whom nobody
 * served. */
static const struct load long_work = {
    .service_us = 53 * USEC_PER_MSEC,
    .rtt_us = 2 * USEC_PER_MSEC,
    .target_ms = 250,
    .request_timeout_ms = 3000,
    .fresh = 68,
    .late = 34,
    .attempts = 3,
};

/** enum step - what becomes of a caller next */
enum step {
    STEP_WAITS,
    STEP_ASKS,
    STEP_ASKED,
    STEP_QUEUES,
    STEP_RUNS,
    STEP_ANSWERED
};

/** struct caller - one request */
struct caller {
    enum step step;
    unsigned flow;
    unsigned attempts;
    uint64_t asked_us;
    uint64_t abandon_at_us;
    uint64_t next_us;
    uint64_t answered_us;
    bool offered;
};

/** struct fixture - an agent, its endpoint and their callers */
struct fixture {
    struct admission_out out;
    struct admission admission;
    uint64_t now_us;
    const struct load *load;
    struct caller callers[CALLERS_MAX];
    unsigned count;
    unsigned flows;
    unsigned running;
    GRand *rand;
};

static struct fixture *
of_out(struct admission_out *out)
{
    return (struct fixture *)out;
}

/* The caller of a flow, from the port of its packet; the rig's bytes hold the
 * number behind the head. */
static unsigned offered_number;

static void
to_endpoint(struct admission_out *out, const uint8_t *bytes, size_t size)
{
    struct fixture *fixture = of_out(out);
    struct caller *caller;

    memcpy(&offered_number, bytes, sizeof(offered_number));
    caller = &fixture->callers[offered_number];
    if (caller->step == STEP_WAITS) {
        caller->offered = true;
    }
    else if (caller->step == STEP_ASKED) {
        caller->step = STEP_QUEUES;
    }
}

static void
to_caller(struct admission_out *out, struct addr caller, const uint8_t *bytes,
          size_t size)
{
}

static void
reset(struct admission_out *out, struct relay_flow flow, uint32_t seq)
{
}

static void
forward(struct admission_out *out, struct addr agent,
        const struct frame_forward *frame)
{
}

static void
notify(struct admission_out *out, struct addr balancer,
       const struct frame_status *status)
{
}

static void
serves(struct admission_out *out, struct addr balancer,
       const struct frame_served *served)
{
}

static void
absent(struct admission_out *out, struct addr balancer,
       const struct frame_query_reply *frame)
{
}

static void
probe(struct admission_out *out)
{
}

static void
dropped(struct admission_out *out, enum admission_drop why)
{
}

static void
decided(struct admission_out *out, enum admission_decision decision,
        struct relay_flow flow, enum frame_reason why,
        const struct frame_forward *frame)
{
}

static const struct admission_out_ops ops = {
    to_endpoint, to_caller, reset, forward, notify,
    serves,      absent,    probe, dropped, decided};

static void
fixture_init(struct fixture *fixture)
{
    struct heartbeat beat = {
        .id = "i-1",
        .service = hash_service("lots"),
        .slots = SLOTS,
        .sequence = 1,
    };

    fixture->out.ops = &ops;
    fixture->now_us = USEC_PER_SEC;
    fixture->rand = g_rand_new_with_seed(7);
    g_assert_cmpint(admission_init(&fixture->admission, &fixture->out,
                                   fixture_addr("10.0.0.1:7000"), "here",
                                   "lots", fixture->now_us),
                    ==, 0);
    admission_handle_heartbeat(&fixture->admission, &beat, fixture->now_us);
}

static void
fixture_finish(struct fixture *fixture)
{
    g_rand_free(fixture->rand);
    admission_finish(&fixture->admission);
}

static struct relay_packet
packet_of(const struct fixture *fixture, unsigned number, unsigned flags,
          uint32_t ack, uint16_t len)
{
    static uint8_t bytes[RELAY_PACKET_MAX];
    struct relay_packet packet = fixture_from_caller(
        fixture_flow(fixture->callers[number].flow), flags, 100, ack, len);

    memcpy(bytes, &number, sizeof(number));
    packet.bytes = bytes;
    packet.size = FIXTURE_HEADERS_SIZE;
    return packet;
}

/* The caller opens a flow, or sends a copy of its SYN, of @age_ms. */
static void
open_flow(struct fixture *fixture, unsigned number, unsigned age_ms)
{
    const struct load *load = fixture->load;
    struct relay_packet packet = packet_of(fixture, number, RELAY_SYN, 0, 0);
    struct frame_forward frame = {
        .service = hash_service("lots"),
        .origin = fixture_addr("10.9.0.1:7720"),
        .forced = true,
        .target_ms =
            (uint16_t)(age_ms < load->target_ms ? load->target_ms - age_ms
                                                : 0),
        .caller_timeout_ms = (uint16_t)(PATIENCE_MS - age_ms),
        .request_timeout_ms =
            (uint16_t)(load->request_timeout_ms > 0
                           ? load->request_timeout_ms - age_ms
                           : 0),
        .bytes = packet.bytes,
        .size = packet.size,
    };

    fixture->callers[number].attempts++;
    fixture->callers[number].abandon_at_us =
        fixture->now_us + frame.caller_timeout_ms * USEC_PER_MSEC;
    admission_handle_forward(&fixture->admission, &frame, &packet,
                             fixture->now_us);
}

static void
come(struct fixture *fixture, unsigned age_ms)
{
    unsigned number = fixture->count++;

    fixture->callers[number] = (struct caller){
        .flow = fixture->flows++,
        .asked_us = fixture->now_us - age_ms * USEC_PER_MSEC,
    };
    open_flow(fixture, number, age_ms);
}

static void
ask(struct fixture *fixture, unsigned number)
{
    struct relay_packet packet =
        packet_of(fixture, number, RELAY_ACK, 501, 40);
    struct frame_forward frame = {
        .service = hash_service("lots"),
        .origin = fixture_addr("10.9.0.1:7720"),
        .bytes = packet.bytes,
        .size = packet.size,
    };

    admission_handle_forward(&fixture->admission, &frame, &packet,
                             fixture->now_us);
}

static void
answer(struct fixture *fixture, unsigned number, unsigned flags, uint32_t seq,
       uint16_t len)
{
    struct relay_packet packet = fixture_from_endpoint(
        fixture_flow(fixture->callers[number].flow), flags, seq, 101, len);

    admission_handle_endpoint_packet(&fixture->admission, &packet,
                                     fixture->now_us);
}

/* Half of the mean to one and a half times it, and each tenth request thrice
 * that. */
static uint64_t
service_us(struct fixture *fixture)
{
    gint32 mean_us = (gint32)fixture->load->service_us;
    uint64_t us = (uint64_t)g_rand_int_range(fixture->rand, mean_us * 5 / 12,
                                             mean_us * 15 / 12);

    return g_rand_int_range(fixture->rand, 0, 10) == 0 ? 3 * us : us;
}

/* The caller's SYN had no answer: it comes again, and nobody knows its age. */
static void
come_again(struct fixture *fixture, unsigned number)
{
    struct caller *caller = &fixture->callers[number];

    caller->abandon_at_us = UINT64_MAX;
    if (caller->attempts < fixture->load->attempts) {
        caller->flow = fixture->flows++;
        open_flow(fixture, number, 0);
    }
}

static void
step(struct fixture *fixture, unsigned number)
{
    struct caller *caller = &fixture->callers[number];

    if (caller->offered) {
        caller->offered = false;
        caller->step = STEP_ASKS;
        caller->next_us = fixture->now_us + fixture->load->rtt_us;
        answer(fixture, number, RELAY_SYN | RELAY_ACK, 500, 0);
    }
    if (caller->step == STEP_WAITS &&
        fixture->now_us >= caller->abandon_at_us) {
        come_again(fixture, number);
    }
    if (caller->step == STEP_ASKS && fixture->now_us >= caller->next_us) {
        caller->step = STEP_ASKED;
        ask(fixture, number);
    }
    if (caller->step == STEP_QUEUES && fixture->running < SLOTS) {
        fixture->running++;
        caller->step = STEP_RUNS;
        caller->next_us = fixture->now_us + service_us(fixture);
    }
    if (caller->step == STEP_RUNS && fixture->now_us >= caller->next_us) {
        fixture->running--;
        caller->step = STEP_ANSWERED;
        caller->answered_us = fixture->now_us + fixture->load->rtt_us / 2;
        answer(fixture, number, RELAY_ACK, 501, 600);
    }
}

static void
run(struct fixture *fixture, const struct load *load)
{
    uint64_t start_us = fixture->now_us;
    uint64_t gap_us = LOAD_US / load->fresh;

    fixture->load = load;
    while (fixture->count < load->late) {
        come(fixture, 600);
    }
    while (fixture->now_us < start_us + LOAD_US) {
        fixture->now_us += STEP_US;
        while (fixture->count < load->late + load->fresh &&
               fixture->now_us >=
                   start_us + (fixture->count - load->late) * gap_us) {
            come(fixture, 0);
        }
        admission_tick(&fixture->admission, fixture->now_us);
        for (unsigned i = 0; i < fixture->count; i++) {
            step(fixture, i);
        }
    }
}

/* Callers from number @first on that had their answer in time. */
static unsigned
in_time_from(const struct fixture *fixture, unsigned first)
{
    unsigned in_time = 0;

    for (unsigned i = first; i < fixture->count; i++) {
        const struct caller *caller = &fixture->callers[i];

        in_time += caller->step == STEP_ANSWERED &&
                   caller->answered_us - caller->asked_us <=
                       fixture->load->target_ms * USEC_PER_MSEC;
    }
    return in_time;
}

TEST_F(fixture, more_than_the_slots_can_do)
{
    uint64_t can_do = LOAD_US / short_work.service_us * SLOTS;
    unsigned in_time;

    run(fixture, &short_work);
    in_time = (unsigned)(in_time_from(fixture, 0) * 1000 / can_do);
    g_test_message("%u in 1000 of what the slots can do are in time", in_time);
    g_assert_cmpuint(in_time, >=, 900);
}

/* Late requests that wait on open flows don't come again as new ones: eight of
 * ten fresh callers are served in time, and with SYNs that wait fewer. */
TEST_F(fixture, those_who_are_late_take_no_slot_of_the_fresh)
{
    struct load waiting_syns = long_work;
    struct fixture *other = g_new0(struct fixture, 1);
    unsigned queued;
    unsigned held;

    waiting_syns.request_timeout_ms = 0;
    fixture_init(other);
    run(other, &waiting_syns);
    held = in_time_from(other, long_work.late) * 1000 / long_work.fresh;
    fixture_finish(other);
    g_free(other);
    run(fixture, &long_work);
    queued = in_time_from(fixture, long_work.late) * 1000 / long_work.fresh;
    g_test_message(
        "in 1000 fresh callers: %u with requests that wait, %u with "
        "SYNs that wait",
        queued, held);
    g_assert_cmpuint(queued, >=, 800);
    g_assert_cmpuint(queued, >, held);
}
