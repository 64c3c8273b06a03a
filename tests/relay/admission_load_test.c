#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/admission/admission.h"
#include "relay/relay_fixture.h"

/* Simulates an overload after a loss of all hosts and checks how many callers
 * the queue's order serves in time. */
#define SUITE "/relay/admission_load"

#define SLOTS 2
#define STEP_US 500
#define LOAD_US (2 * USEC_PER_SEC)
#define CALLERS_MAX 400

/* Time after which a caller abandons its SYN. */
#define CALLER_TIMEOUT_MS 1400

/**
 * struct load - the simulated load
 * @service_us: mean service time
 * @rtt_us: from a SYN+ACK to the caller's next packet
 * @target_ms: response target
 * @request_timeout_ms: the caller's request timeout in frames, 0 for unknown
 * @new_callers: callers that arrive evenly in LOAD_US
 * @late: callers at the start whose SYN is 600 ms old
 * @attempts: flows that a caller opens at most until one is answered
 */
struct load {
    uint64_t service_us;
    uint64_t rtt_us;
    unsigned target_ms;
    unsigned request_timeout_ms;
    unsigned new_callers;
    unsigned late;
    unsigned attempts;
};

/* Short requests at one and a half times the slots' capacity, as retries cause
 * after a loss of power. */
static const struct load short_requests = {
    .service_us = 20 * USEC_PER_MSEC,
    .rtt_us = 6 * USEC_PER_MSEC,
    .target_ms = 100,
    .new_callers = 300,
    .attempts = 1,
};

/* Long requests at nine tenths of the slots' capacity, after a second in which
 * no caller was served. */
static const struct load long_requests = {
    .service_us = 53 * USEC_PER_MSEC,
    .rtt_us = 2 * USEC_PER_MSEC,
    .target_ms = 250,
    .request_timeout_ms = 3000,
    .new_callers = 68,
    .late = 34,
    .attempts = 3,
};

/** enum step - how far a caller's request has got */
enum step {
    STEP_SYN_SENT,
    STEP_CONNECTED,
    STEP_REQUESTED,
    STEP_DELIVERED,
    STEP_RUNNING,
    STEP_ANSWERED
};

/** struct caller - a caller with one request */
struct caller {
    enum step step;
    unsigned flow;
    unsigned attempts;
    uint64_t arrived_us;
    uint64_t abandon_at_us;
    uint64_t next_us;
    uint64_t answered_us;
    bool delivered;
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
fixture_from_out(struct admission_out *out)
{
    return (struct fixture *)out;
}

/* Number of the caller whose packet was last sent to the endpoint, from the
 * packet's first bytes. */
static unsigned delivered_number;

static void
to_endpoint(struct admission_out *out, const uint8_t *bytes, size_t size)
{
    struct fixture *fixture = fixture_from_out(out);
    struct caller *caller;

    memcpy(&delivered_number, bytes, sizeof(delivered_number));
    caller = &fixture->callers[delivered_number];
    if (caller->step == STEP_SYN_SENT) {
        caller->delivered = true;
    }
    else if (caller->step == STEP_REQUESTED) {
        caller->step = STEP_DELIVERED;
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
send_served(struct admission_out *out, struct addr balancer,
            const struct frame_served *served)
{
}

static void
send_query_reply(struct admission_out *out, struct addr balancer,
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

static void
scheduled(struct admission_out *out, struct relay_flow flow,
          const struct admission_scheduled *event)
{
}

static const struct admission_out_ops ops = {
    to_endpoint,      to_caller, reset,   forward, notify,   send_served,
    send_query_reply, probe,     dropped, decided, scheduled};

static void
fixture_init(struct fixture *fixture)
{
    struct heartbeat heartbeat = {
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
    admission_handle_heartbeat(&fixture->admission, &heartbeat,
                               fixture->now_us);
}

static void
fixture_finish(struct fixture *fixture)
{
    g_rand_free(fixture->rand);
    admission_finish(&fixture->admission);
}

static struct relay_packet
make_packet(const struct fixture *fixture, unsigned number, unsigned flags,
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

/* The caller opens a flow, or sends a copy of its SYN that is @age_ms old. */
static void
open_flow(struct fixture *fixture, unsigned number, unsigned age_ms)
{
    const struct load *load = fixture->load;
    struct relay_packet packet = make_packet(fixture, number, RELAY_SYN, 0, 0);
    struct frame_forward frame = {
        .service = hash_service("lots"),
        .origin = fixture_addr("10.9.0.1:7720"),
        .forced = true,
        .target_ms =
            (uint16_t)(age_ms < load->target_ms ? load->target_ms - age_ms
                                                : 0),
        .caller_timeout_ms = (uint16_t)(CALLER_TIMEOUT_MS - age_ms),
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
arrive(struct fixture *fixture, unsigned age_ms)
{
    unsigned number = fixture->count++;

    fixture->callers[number] = (struct caller){
        .flow = fixture->flows++,
        .arrived_us = fixture->now_us - age_ms * USEC_PER_MSEC,
    };
    open_flow(fixture, number, age_ms);
}

static void
send_request(struct fixture *fixture, unsigned number)
{
    struct relay_packet packet =
        make_packet(fixture, number, RELAY_ACK, 501, 40);
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

/* Service times vary evenly around 5/6 of the mean, and one request in ten
 * takes three times as long. */
static uint64_t
service_us(struct fixture *fixture)
{
    gint32 mean_us = (gint32)fixture->load->service_us;
    uint64_t us = (uint64_t)g_rand_int_range(fixture->rand, mean_us * 5 / 12,
                                             mean_us * 15 / 12);

    return g_rand_int_range(fixture->rand, 0, 10) == 0 ? 3 * us : us;
}

/* The caller abandoned its SYN and opens a new flow, of which the agent can't
 * see the request's age. */
static void
retry(struct fixture *fixture, unsigned number)
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

    if (caller->delivered) {
        caller->delivered = false;
        caller->step = STEP_CONNECTED;
        caller->next_us = fixture->now_us + fixture->load->rtt_us;
        answer(fixture, number, RELAY_SYN | RELAY_ACK, 500, 0);
    }
    if (caller->step == STEP_SYN_SENT &&
        fixture->now_us >= caller->abandon_at_us) {
        retry(fixture, number);
    }
    if (caller->step == STEP_CONNECTED && fixture->now_us >= caller->next_us) {
        caller->step = STEP_REQUESTED;
        send_request(fixture, number);
    }
    if (caller->step == STEP_DELIVERED && fixture->running < SLOTS) {
        fixture->running++;
        caller->step = STEP_RUNNING;
        caller->next_us = fixture->now_us + service_us(fixture);
    }
    if (caller->step == STEP_RUNNING && fixture->now_us >= caller->next_us) {
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
    uint64_t gap_us = LOAD_US / load->new_callers;

    fixture->load = load;
    while (fixture->count < load->late) {
        arrive(fixture, 600);
    }
    while (fixture->now_us < start_us + LOAD_US) {
        fixture->now_us += STEP_US;
        while (fixture->count < load->late + load->new_callers &&
               fixture->now_us >=
                   start_us + (fixture->count - load->late) * gap_us) {
            arrive(fixture, 0);
        }
        admission_tick(&fixture->admission, fixture->now_us);
        for (unsigned i = 0; i < fixture->count; i++) {
            step(fixture, i);
        }
    }
}

/* Number of callers from @first on that were answered in time. */
static unsigned
in_time_from(const struct fixture *fixture, unsigned first)
{
    unsigned in_time = 0;

    for (unsigned i = first; i < fixture->count; i++) {
        const struct caller *caller = &fixture->callers[i];

        in_time += caller->step == STEP_ANSWERED &&
                   caller->answered_us - caller->arrived_us <=
                       fixture->load->target_ms * USEC_PER_MSEC;
    }
    return in_time;
}

TEST_F(fixture, an_overload_leaves_few_slots_to_late_requests)
{
    uint64_t capacity = LOAD_US / short_requests.service_us * SLOTS;
    unsigned in_time;

    run(fixture, &short_requests);
    in_time = (unsigned)(in_time_from(fixture, 0) * 1000 / capacity);
    g_test_message("%u in 1000 of the slots' capacity are in time", in_time);
    g_assert_cmpuint(in_time, >=, 900);
}

/* Late callers with an open flow don't come again as new ones, so more new
 * callers are served in time than with queued SYNs. */
TEST_F(fixture, late_requests_take_no_slots_of_new_callers)
{
    struct load without_timeout = long_requests;
    struct fixture *other = g_new0(struct fixture, 1);
    unsigned queued_requests;
    unsigned queued_syns;

    without_timeout.request_timeout_ms = 0;
    fixture_init(other);
    run(other, &without_timeout);
    queued_syns = in_time_from(other, long_requests.late) * 1000 /
                  long_requests.new_callers;
    fixture_finish(other);
    g_free(other);
    run(fixture, &long_requests);
    queued_requests = in_time_from(fixture, long_requests.late) * 1000 /
                      long_requests.new_callers;
    g_test_message(
        "in 1000 new callers in time: %u with queued requests, %u with "
        "queued SYNs",
        queued_requests, queued_syns);
    g_assert_cmpuint(queued_requests, >=, 800);
    g_assert_cmpuint(queued_requests, >, queued_syns);
}
