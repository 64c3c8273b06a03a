#include <errno.h>
#include <string.h>

#include "lib/harness.h"
#include "relay/wire/frame.h"
#include "relay/relay_fixture.h"

#define SUITE "/relay/frame"
#define MUTATIONS 50000

static const uint8_t packet[40] = {1, 2, 3, 4};

/* For tests that don't check evacuations. */
static const struct evacuations no_evacuations = {.revision = 1};

static struct frame_forward
sample_forward(void)
{
    struct frame_forward forward = {
        .service = 0x11223344,
        .origin = fixture_addr("10.9.0.1:7720"),
        .view = {1ull << 40, FRAME_READER_TRYING},
        .forced = true,
        .given = true,
        .target_ms = 100,
        .priority = 3,
        .caller_timeout_ms = 1400,
        .slow_start_limit = 35,
        .hops = 2,
        .best = fixture_addr("10.0.0.7:7000"),
        .best_load = 48,
        .next_count = FRAME_NEXT_MAX,
        .bytes = packet,
        .size = sizeof(packet),
    };

    for (unsigned i = 0; i < FRAME_NEXT_MAX; i++) {
        forward.next[i] = (struct addr){0x0a000000 + i, (uint16_t)(7000 + i)};
    }
    return forward;
}

TEST(forward_round_trip)
{
    struct frame_forward forward = sample_forward();
    struct frame_forward read;
    uint8_t bytes[FRAME_MAX];
    size_t size = frame_forward_encode(&forward, &no_evacuations, bytes);

    g_assert_cmpint(frame_type(bytes, size), ==, FRAME_FORWARD);
    g_assert_cmpint(frame_forward_decode(bytes, size, &read), ==, 0);
    g_assert_cmpuint(read.service, ==, forward.service);
    g_assert_true(addr_equal(read.origin, forward.origin));
    g_assert_cmpuint(read.view.version, ==, forward.view.version);
    g_assert_cmpuint(read.view.reader, ==, FRAME_READER_TRYING);
    g_assert_true(read.forced);
    g_assert_true(read.given);
    g_assert_cmpuint(read.target_ms, ==, 100);
    g_assert_cmpuint(read.priority, ==, 3);
    g_assert_cmpuint(read.caller_timeout_ms, ==, 1400);
    g_assert_cmpuint(read.best_load, ==, 48);
    g_assert_cmpuint(read.next_count, ==, FRAME_NEXT_MAX);
    for (unsigned i = 0; i < FRAME_NEXT_MAX; i++) {
        g_assert_true(addr_equal(read.next[i], forward.next[i]));
    }
    g_assert_cmpmem(read.bytes, read.size, packet, sizeof(packet));
}

TEST(the_largest_frame_fits)
{
    static uint8_t whole[RELAY_PACKET_MAX];
    struct frame_forward forward = sample_forward();
    uint8_t bytes[FRAME_MAX];

    forward.bytes = whole;
    forward.size = sizeof(whole);
    g_assert_cmpuint(frame_forward_encode(&forward, &no_evacuations, bytes),
                     <=, FRAME_MAX);
}

TEST(status_round_trip)
{
    struct frame_status status = {
        .type = FRAME_REDIRECTED,
        .reason = FRAME_REASON_BUSY,
        .target = fixture_addr("10.0.0.3:7000"),
        .flow = fixture_flow(5),
        .seq = 77,
        .health = {9, ENDPOINT_READY, 3, 2, true},
        .heard = {12, fixture_addr("10.9.0.3:7720")},
        .readers = {2, 3},
    };
    struct frame_status read;
    uint8_t bytes[FRAME_HEADER_MAX];
    size_t size = frame_status_encode(&status, &no_evacuations, bytes);

    g_assert_cmpint(frame_status_decode(bytes, size, &read), ==, 0);
    g_assert_cmpuint(read.type, ==, FRAME_REDIRECTED);
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

/* An endpoint's load takes room in a frame only if its agent reports it. */
TEST(load_round_trip)
{
    struct frame_status status = {.type = FRAME_STATE};
    struct frame_status read;
    uint8_t bytes[FRAME_HEADER_MAX];
    size_t without = frame_status_encode(&status, &no_evacuations, bytes);
    size_t size;

    g_assert_cmpint(frame_status_decode(bytes, without, &read), ==, 0);
    g_assert_false(read.health.load.known);
    status.health.load = (struct frame_load){true, 190, 76, 10, 1, 300, 250};
    size = frame_status_encode(&status, &no_evacuations, bytes);
    g_assert_cmpuint(size, ==, without + 10);
    g_assert_cmpint(frame_status_decode(bytes, size, &read), ==, 0);
    g_assert_true(read.health.load.known);
    g_assert_cmpuint(read.health.load.service_time, ==, 190);
    g_assert_cmpuint(read.health.load.wait_ms, ==, 76);
    g_assert_cmpuint(read.health.load.limit, ==, 10);
    g_assert_cmpuint(read.health.load.stuck, ==, 1);
    g_assert_cmpuint(read.health.load.flows, ==, 300);
    g_assert_cmpuint(read.health.load.rejects, ==, 250);
    g_assert_cmpint(frame_status_decode(bytes, size - 1, &read), ==, -EBADMSG);
}

TEST(ping_and_served_round_trip)
{
    struct frame_ping ping = {{4, FRAME_READER_TRYING}, true};
    struct frame_ping read = {0};
    struct frame_served served = {
        .service = 3, .addrs = {fixture_addr("198.18.0.1:80")}, .count = 1};
    struct frame_served decoded;
    uint8_t bytes[FRAME_HEADER_MAX];
    size_t size = frame_ping_encode(&ping, &no_evacuations, bytes);

    g_assert_cmpint(frame_ping_decode(bytes, size, &read), ==, 0);
    g_assert_true(read.unlisted);
    g_assert_cmpuint(read.view.reader, ==, FRAME_READER_TRYING);
    g_assert_cmpuint(read.view.version, ==, 4);
    size = frame_served_encode(&served, &no_evacuations, bytes);
    g_assert_cmpint(frame_served_decode(bytes, size, &decoded), ==, 0);
    g_assert_cmpuint(decoded.count, ==, 1);
    g_assert_true(addr_equal(decoded.addrs[0], served.addrs[0]));
}

TEST(an_unknown_reader_state_is_refused)
{
    struct frame_ping ping = {{4, FRAME_READER_MAX + 1}, true};
    struct frame_forward forward = sample_forward();
    uint8_t bytes[FRAME_MAX];
    size_t size = frame_ping_encode(&ping, &no_evacuations, bytes);

    g_assert_cmpint(frame_ping_decode(bytes, size, &ping), ==, -EBADMSG);
    forward.view.reader = FRAME_READER_MAX + 1;
    size = frame_forward_encode(&forward, &no_evacuations, bytes);
    g_assert_cmpint(frame_forward_decode(bytes, size, &forward), ==, -EBADMSG);
}

/* The evacuated data centres of a frame don't change its other fields. */
TEST(frames_carry_evacuated_data_centres)
{
    struct evacuations evacuations = {
        .epoch = 3, .revision = 1ull << 40, .recovery_s = 17};
    struct frame_forward forward = sample_forward();
    struct evacuations decoded;
    uint8_t bytes[FRAME_MAX];
    size_t size;

    for (unsigned i = 0; i < EVACUATIONS_MAX; i++) {
        g_assert_true(evacuations_add(&evacuations, 0x80000000u + i));
    }
    size = frame_forward_encode(&forward, &evacuations, bytes);
    g_assert_cmpuint(size, <=, FRAME_HEADER_MAX + sizeof(packet));
    g_assert_cmpint(frame_type(bytes, size), ==, FRAME_FORWARD);
    frame_evacuations_decode(bytes, &decoded);
    g_assert_cmpuint(decoded.epoch, ==, 3);
    g_assert_cmpuint(decoded.recovery_s, ==, 17);
    g_assert_cmpuint(decoded.revision, ==, 1ull << 40);
    g_assert_cmpuint(decoded.count, ==, EVACUATIONS_MAX);
    g_assert_true(evacuations_contains(&decoded, 0x80000000u));
    g_assert_true(
        evacuations_contains(&decoded, 0x80000000u + EVACUATIONS_MAX - 1));
    g_assert_cmpint(frame_forward_decode(bytes, size, &forward), ==, 0);
    g_assert_cmpuint(forward.best_load, ==, 48);
    g_assert_cmpuint(forward.slow_start_limit, ==, 35);
    g_assert_cmpmem(forward.bytes, forward.size, packet, sizeof(packet));
    g_assert_cmpint(frame_type(bytes, 60), ==, -EBADMSG);
    bytes[17] = EVACUATIONS_MAX + 1;
    g_assert_cmpint(frame_type(bytes, size), ==, -EBADMSG);
}

TEST(datagrams_of_other_formats_are_refused)
{
    uint8_t bytes[FRAME_MAX + 1] = {0};
    struct frame_status status;

    g_assert_cmpint(frame_type(bytes, 0), ==, -EBADMSG);
    g_assert_cmpint(frame_type(bytes, 40), ==, -EBADMSG);
    frame_forward_encode(&(struct frame_forward){.bytes = packet},
                         &no_evacuations, bytes);
    g_assert_cmpint(frame_type(bytes, FRAME_MAX + 1), ==, -EBADMSG);
    bytes[2]++;
    g_assert_cmpint(frame_type(bytes, 40), ==, -EBADMSG);
    g_assert_cmpint(frame_status_decode(bytes, 4, &status), ==, -EBADMSG);
}

/* Decodes @bytes as the frame type that they name. */
static void
decode_any(const uint8_t *bytes, size_t size)
{
    struct frame_forward forward;
    struct frame_status status;
    struct frame_ping ping;
    struct frame_served served;
    struct frame_query_reply reply;
    struct frame_query query;
    struct evacuations evacuations;

    if (frame_type(bytes, size) > 0) {
        frame_evacuations_decode(bytes, &evacuations);
        g_assert_cmpuint(evacuations.count, <=, EVACUATIONS_MAX);
    }
    switch (frame_type(bytes, size)) {
    case FRAME_FORWARD:
        if (frame_forward_decode(bytes, size, &forward) == 0) {
            g_assert_cmpuint(forward.next_count, <=, FRAME_NEXT_MAX);
            g_assert_true(forward.bytes + forward.size == bytes + size);
        }
        break;
    case FRAME_ESTABLISHED:
    case FRAME_REDIRECTED:
    case FRAME_QUEUED:
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
    case FRAME_QUERY:
        if (frame_query_decode(bytes, size, &query) == 0) {
            g_assert_cmpuint(query.count, <=, FRAME_QUERY_MAX);
        }
        break;
    case FRAME_QUERY_REPLY:
        (void)frame_query_reply_decode(bytes, size, &reply);
        break;
    default:
        break;
    }
}

TEST(mutated_frames_do_not_crash)
{
    struct frame_forward forward = sample_forward();
    uint8_t sample[FRAME_MAX];
    size_t whole = frame_forward_encode(&forward, &no_evacuations, sample);

    for (unsigned i = 0; i < MUTATIONS; i++) {
        size_t size = (size_t)g_test_rand_int_range(0, (gint32)whole + 1);
        /* Exact size, so that sanitizers detect reads past the end. */
        uint8_t *bytes = g_memdup2(sample, size);

        if (size > 4) {
            bytes[3] = (uint8_t)g_test_rand_int_range(0, 10);
            bytes[g_test_rand_int_range(4, (gint32)size)] =
                (uint8_t)g_test_rand_int_range(0, 256);
        }
        decode_any(bytes, size);
        g_free(bytes);
    }
}

static struct frame_query
sample_query(void)
{
    struct frame_query query = {.query = 0x01020304,
                                .view = {1ull << 40, FRAME_READER_TRYING},
                                .count = FRAME_QUERY_MAX};

    for (unsigned i = 0; i < FRAME_QUERY_MAX; i++) {
        query.flows[i] = fixture_flow(i);
    }
    return query;
}

TEST(query_round_trip)
{
    struct frame_query query = sample_query();
    struct frame_query read;
    uint8_t bytes[FRAME_MAX];
    size_t size = frame_query_encode(&query, &no_evacuations, bytes);

    g_assert_cmpuint(size, <=, FRAME_MAX);
    g_assert_cmpint(frame_type(bytes, size), ==, FRAME_QUERY);
    g_assert_cmpint(frame_query_decode(bytes, size, &read), ==, 0);
    g_assert_cmpuint(read.query, ==, query.query);
    g_assert_cmpuint(read.view.version, ==, query.view.version);
    g_assert_cmpuint(read.view.reader, ==, FRAME_READER_TRYING);
    g_assert_cmpuint(read.count, ==, FRAME_QUERY_MAX);
    for (unsigned i = 0; i < FRAME_QUERY_MAX; i++) {
        g_assert_true(relay_flow_equal(read.flows[i], query.flows[i]));
    }
    g_assert_cmpint(frame_query_decode(bytes, size - 1, &read), ==, -EBADMSG);
    bytes[size] = 0;
    g_assert_cmpint(frame_query_decode(bytes, size + 1, &read), ==, -EBADMSG);
}

TEST(query_reply_round_trip)
{
    struct frame_query_reply reply = {.query = 9,
                                      .silent = true,
                                      .down = true,
                                      .partial = true,
                                      .absent = {1, 0x80000000, 5}};
    struct frame_query_reply read;
    uint8_t bytes[FRAME_HEADER_MAX];
    size_t size = frame_query_reply_encode(&reply, &no_evacuations, bytes);

    g_assert_cmpint(frame_type(bytes, size), ==, FRAME_QUERY_REPLY);
    g_assert_cmpint(frame_query_reply_decode(bytes, size, &read), ==, 0);
    g_assert_cmpuint(read.query, ==, 9);
    g_assert_true(read.silent);
    g_assert_true(read.down);
    g_assert_true(read.partial);
    g_assert_cmpmem(read.absent, sizeof(read.absent), reply.absent,
                    sizeof(reply.absent));
    g_assert_cmpint(frame_query_reply_decode(bytes, size - 1, &read), ==,
                    -EBADMSG);
}

TEST(mutated_queries_do_not_crash)
{
    struct frame_query query = sample_query();
    uint8_t bytes[FRAME_MAX];
    size_t whole = frame_query_encode(&query, &no_evacuations, bytes);

    for (unsigned i = 0; i < MUTATIONS; i++) {
        struct frame_query read;
        uint8_t copy[FRAME_MAX];
        size_t size = (size_t)g_test_rand_int_range(4, (gint32)whole + 1);

        memcpy(copy, bytes, whole);
        copy[g_test_rand_int_range(4, 20)] =
            (uint8_t)g_test_rand_int_range(0, 256);
        if (frame_query_decode(copy, size, &read) == 0) {
            g_assert_cmpuint(read.count, <=, FRAME_QUERY_MAX);
        }
    }
}
