#include <errno.h>
#include <string.h>

#include "lib/harness.h"
#include "relay/wire/frame.h"
#include "relay/relay_rig.h"

#define SUITE "/relay/frame"
#define MUTATIONS 50000

static const uint8_t packet[40] = {1, 2, 3, 4};

/* What frames say of evacuations where a test isn't about them. */
static const struct evacuations nowhere = {.revision = 1};

static struct frame_carry
sample_carry(void)
{
    struct frame_carry carry = {
        .service = 0x11223344,
        .origin = rig_addr("10.9.0.1:7720"),
        .view = {1ull << 40, FRAME_READER_TRIES},
        .forced = true,
        .target_ms = 100,
        .priority = 3,
        .patience_ms = 1400,
        .slow_start_limit = 35,
        .hops = 2,
        .best = rig_addr("10.0.0.7:7000"),
        .best_load = 48,
        .next_count = FRAME_NEXT_MAX,
        .bytes = packet,
        .size = sizeof(packet),
    };

    for (unsigned i = 0; i < FRAME_NEXT_MAX; i++) {
        carry.next[i] = (struct addr){0x0a000000 + i, (uint16_t)(7000 + i)};
    }
    return carry;
}

TEST(a_carried_packet_comes_back_as_it_was)
{
    struct frame_carry carry = sample_carry();
    struct frame_carry read;
    uint8_t bytes[FRAME_MAX];
    size_t size = frame_carry_encode(&carry, &nowhere, bytes);

    g_assert_cmpint(frame_type(bytes, size), ==, FRAME_CARRY);
    g_assert_cmpint(frame_carry_decode(bytes, size, &read), ==, 0);
    g_assert_cmpuint(read.service, ==, carry.service);
    g_assert_true(addr_equal(read.origin, carry.origin));
    g_assert_cmpuint(read.view.version, ==, carry.view.version);
    g_assert_cmpuint(read.view.reader, ==, FRAME_READER_TRIES);
    g_assert_true(read.forced);
    g_assert_cmpuint(read.target_ms, ==, 100);
    g_assert_cmpuint(read.priority, ==, 3);
    g_assert_cmpuint(read.patience_ms, ==, 1400);
    g_assert_cmpuint(read.best_load, ==, 48);
    g_assert_cmpuint(read.next_count, ==, FRAME_NEXT_MAX);
    for (unsigned i = 0; i < FRAME_NEXT_MAX; i++) {
        g_assert_true(addr_equal(read.next[i], carry.next[i]));
    }
    g_assert_cmpmem(read.bytes, read.size, packet, sizeof(packet));
}

TEST(the_largest_frame_fits)
{
    static uint8_t whole[RELAY_PACKET_MAX];
    struct frame_carry carry = sample_carry();
    uint8_t bytes[FRAME_MAX];

    carry.bytes = whole;
    carry.size = sizeof(whole);
    g_assert_cmpuint(frame_carry_encode(&carry, &nowhere, bytes), <=,
                     FRAME_MAX);
}

TEST(a_status_comes_back_as_it_was)
{
    struct frame_status status = {
        .type = FRAME_PASSED,
        .reason = FRAME_REASON_BUSY,
        .target = rig_addr("10.0.0.3:7000"),
        .flow = rig_flow(5),
        .seq = 77,
        .health = {9, ENDPOINT_READY, 3, 2, true},
        .heard = {12, rig_addr("10.9.0.3:7720")},
        .readers = {2, 3},
    };
    struct frame_status read;
    uint8_t bytes[FRAME_HEAD_MAX];
    size_t size = frame_status_encode(&status, &nowhere, bytes);

    g_assert_cmpint(frame_status_decode(bytes, size, &read), ==, 0);
    g_assert_cmpuint(read.type, ==, FRAME_PASSED);
    g_assert_cmpuint(read.reason, ==, FRAME_REASON_BUSY);
    g_assert_true(addr_equal(read.target, status.target));
    g_assert_true(relay_flow_equal(read.flow, status.flow));
    g_assert_cmpuint(read.seq, ==, 77);
    g_assert_cmpuint(read.health.busy, ==, 3);
    g_assert_true(read.health.failing);
    g_assert_cmpuint(read.heard.version, ==, 12);
    g_assert_cmpuint(read.readers.reading, ==, 2);
    g_assert_cmpuint(read.readers.trying, ==, 3);
}

TEST(pings_and_served_addresses_come_back)
{
    struct frame_ping ping = {{4, FRAME_READER_TRIES}, true};
    struct frame_ping read = {0};
    struct frame_served served = {
        .service = 3, .addrs = {rig_addr("198.18.0.1:80")}, .count = 1};
    struct frame_served told;
    uint8_t bytes[FRAME_HEAD_MAX];
    size_t size = frame_ping_encode(&ping, &nowhere, bytes);

    g_assert_cmpint(frame_ping_decode(bytes, size, &read), ==, 0);
    g_assert_true(read.unlisted);
    g_assert_cmpuint(read.view.reader, ==, FRAME_READER_TRIES);
    g_assert_cmpuint(read.view.version, ==, 4);
    size = frame_served_encode(&served, &nowhere, bytes);
    g_assert_cmpint(frame_served_decode(bytes, size, &told), ==, 0);
    g_assert_cmpuint(told.count, ==, 1);
    g_assert_true(addr_equal(told.addrs[0], served.addrs[0]));
}

TEST(a_part_in_reading_that_is_not_known_is_refused)
{
    struct frame_ping ping = {{4, FRAME_READER_MAX + 1}, true};
    struct frame_carry carry = sample_carry();
    uint8_t bytes[FRAME_MAX];
    size_t size = frame_ping_encode(&ping, &nowhere, bytes);

    g_assert_cmpint(frame_ping_decode(bytes, size, &ping), ==, -EBADMSG);
    carry.view.reader = FRAME_READER_MAX + 1;
    size = frame_carry_encode(&carry, &nowhere, bytes);
    g_assert_cmpint(frame_carry_decode(bytes, size, &carry), ==, -EBADMSG);
}

/* Whatever a frame is of, its evacuations come first and the rest is whole. */
TEST(frames_name_the_evacuated_data_centres)
{
    struct evacuations evacuations = {
        .era = 3, .revision = 1ull << 40, .unsettled_s = 17};
    struct frame_carry carry = sample_carry();
    struct evacuations told;
    uint8_t bytes[FRAME_MAX];
    size_t size;

    for (unsigned i = 0; i < EVACUATIONS_MAX; i++) {
        g_assert_true(evacuations_add(&evacuations, 0x80000000u + i));
    }
    size = frame_carry_encode(&carry, &evacuations, bytes);
    g_assert_cmpuint(size, <=, FRAME_HEAD_MAX + sizeof(packet));
    g_assert_cmpint(frame_type(bytes, size), ==, FRAME_CARRY);
    frame_evacuations(bytes, &told);
    g_assert_cmpuint(told.era, ==, 3);
    g_assert_cmpuint(told.unsettled_s, ==, 17);
    g_assert_cmpuint(told.revision, ==, 1ull << 40);
    g_assert_cmpuint(told.count, ==, EVACUATIONS_MAX);
    g_assert_true(evacuations_has(&told, 0x80000000u));
    g_assert_true(evacuations_has(&told, 0x80000000u + EVACUATIONS_MAX - 1));
    g_assert_cmpint(frame_carry_decode(bytes, size, &carry), ==, 0);
    g_assert_cmpuint(carry.best_load, ==, 48);
    g_assert_cmpuint(carry.slow_start_limit, ==, 35);
    g_assert_cmpmem(carry.bytes, carry.size, packet, sizeof(packet));
    g_assert_cmpint(frame_type(bytes, 60), ==, -EBADMSG);
    bytes[17] = EVACUATIONS_MAX + 1;
    g_assert_cmpint(frame_type(bytes, size), ==, -EBADMSG);
}

TEST(foreign_datagrams_are_refused)
{
    uint8_t bytes[FRAME_MAX + 1] = {0};
    struct frame_status status;

    g_assert_cmpint(frame_type(bytes, 0), ==, -EBADMSG);
    g_assert_cmpint(frame_type(bytes, 40), ==, -EBADMSG);
    frame_carry_encode(&(struct frame_carry){.bytes = packet}, &nowhere,
                       bytes);
    g_assert_cmpint(frame_type(bytes, FRAME_MAX + 1), ==, -EBADMSG);
    bytes[2]++;
    g_assert_cmpint(frame_type(bytes, 40), ==, -EBADMSG);
    g_assert_cmpint(frame_status_decode(bytes, 4, &status), ==, -EBADMSG);
}

/* Reads @bytes as whatever they say they are. */
static void
read_any(const uint8_t *bytes, size_t size)
{
    struct frame_carry carry;
    struct frame_status status;
    struct frame_ping ping;
    struct frame_served served;
    struct frame_absent absent;
    struct frame_ask ask;
    struct evacuations evacuations;

    if (frame_type(bytes, size) > 0) {
        frame_evacuations(bytes, &evacuations);
        g_assert_cmpuint(evacuations.count, <=, EVACUATIONS_MAX);
    }
    switch (frame_type(bytes, size)) {
    case FRAME_CARRY:
        if (frame_carry_decode(bytes, size, &carry) == 0) {
            g_assert_cmpuint(carry.next_count, <=, FRAME_NEXT_MAX);
            g_assert_true(carry.bytes + carry.size == bytes + size);
        }
        break;
    case FRAME_PLACED:
    case FRAME_PASSED:
    case FRAME_HELD:
    case FRAME_STATE:
        if (frame_status_decode(bytes, size, &status) == 0) {
            g_assert_cmpuint(status.health.state, <=, ENDPOINT_STATE_MAX);
        }
        break;
    case FRAME_PING:
        (void)frame_ping_decode(bytes, size, &ping);
        break;
    case FRAME_SERVED:
        if (frame_served_decode(bytes, size, &served) == 0) {
            g_assert_cmpuint(served.count, <=, FRAME_SERVED_MAX);
        }
        break;
    case FRAME_ASK:
        if (frame_ask_decode(bytes, size, &ask) == 0) {
            g_assert_cmpuint(ask.count, <=, FRAME_ASK_MAX);
        }
        break;
    case FRAME_ABSENT:
        (void)frame_absent_decode(bytes, size, &absent);
        break;
    default:
        break;
    }
}

TEST(mutated_frames_end_no_process)
{
    struct frame_carry carry = sample_carry();
    uint8_t sample[FRAME_MAX];
    size_t whole = frame_carry_encode(&carry, &nowhere, sample);

    for (unsigned i = 0; i < MUTATIONS; i++) {
        size_t size = (size_t)g_test_rand_int_range(0, (gint32)whole + 1);
        /* Of the exact size, so that a read past the end shows. */
        uint8_t *bytes = g_memdup2(sample, size);

        if (size > 4) {
            bytes[3] = (uint8_t)g_test_rand_int_range(0, 10);
            bytes[g_test_rand_int_range(4, (gint32)size)] =
                (uint8_t)g_test_rand_int_range(0, 256);
        }
        read_any(bytes, size);
        g_free(bytes);
    }
}

static struct frame_ask
sample_ask(void)
{
    struct frame_ask ask = {.query = 0x01020304,
                            .view = {1ull << 40, FRAME_READER_TRIES},
                            .count = FRAME_ASK_MAX};

    for (unsigned i = 0; i < FRAME_ASK_MAX; i++) {
        ask.flows[i] = rig_flow(i);
    }
    return ask;
}

TEST(a_question_comes_back_as_it_was)
{
    struct frame_ask ask = sample_ask();
    struct frame_ask read;
    uint8_t bytes[FRAME_MAX];
    size_t size = frame_ask_encode(&ask, &nowhere, bytes);

    g_assert_cmpuint(size, <=, FRAME_MAX);
    g_assert_cmpint(frame_type(bytes, size), ==, FRAME_ASK);
    g_assert_cmpint(frame_ask_decode(bytes, size, &read), ==, 0);
    g_assert_cmpuint(read.query, ==, ask.query);
    g_assert_cmpuint(read.view.version, ==, ask.view.version);
    g_assert_cmpuint(read.view.reader, ==, FRAME_READER_TRIES);
    g_assert_cmpuint(read.count, ==, FRAME_ASK_MAX);
    for (unsigned i = 0; i < FRAME_ASK_MAX; i++) {
        g_assert_true(relay_flow_equal(read.flows[i], ask.flows[i]));
    }
    g_assert_cmpint(frame_ask_decode(bytes, size - 1, &read), ==, -EBADMSG);
    bytes[size] = 0;
    g_assert_cmpint(frame_ask_decode(bytes, size + 1, &read), ==, -EBADMSG);
}

TEST(an_answer_to_it_comes_back_as_it_was)
{
    struct frame_absent absent = {.query = 9,
                                  .silent = true,
                                  .down = true,
                                  .partial = true,
                                  .absent = {1, 0x80000000, 5}};
    struct frame_absent read;
    uint8_t bytes[FRAME_HEAD_MAX];
    size_t size = frame_absent_encode(&absent, &nowhere, bytes);

    g_assert_cmpint(frame_type(bytes, size), ==, FRAME_ABSENT);
    g_assert_cmpint(frame_absent_decode(bytes, size, &read), ==, 0);
    g_assert_cmpuint(read.query, ==, 9);
    g_assert_true(read.silent);
    g_assert_true(read.down);
    g_assert_true(read.partial);
    g_assert_cmpmem(read.absent, sizeof(read.absent), absent.absent,
                    sizeof(absent.absent));
    g_assert_cmpint(frame_absent_decode(bytes, size - 1, &read), ==, -EBADMSG);
}

TEST(mutated_questions_end_no_process)
{
    struct frame_ask ask = sample_ask();
    uint8_t bytes[FRAME_MAX];
    size_t whole = frame_ask_encode(&ask, &nowhere, bytes);

    for (unsigned i = 0; i < MUTATIONS; i++) {
        struct frame_ask read;
        uint8_t copy[FRAME_MAX];
        size_t size = (size_t)g_test_rand_int_range(4, (gint32)whole + 1);

        memcpy(copy, bytes, whole);
        copy[g_test_rand_int_range(4, 20)] =
            (uint8_t)g_test_rand_int_range(0, 256);
        if (frame_ask_decode(copy, size, &read) == 0) {
            g_assert_cmpuint(read.count, <=, FRAME_ASK_MAX);
        }
    }
}
