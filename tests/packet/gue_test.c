/**
 * DOC: gue_test - encoding of hop lists and rejection of malformed headers
 */
#include <errno.h>
#include <string.h>

#include "packet/gue.h"
#include "lib/harness.h"

#define SUITE "/gue"
#define MUTATIONS 200000

static struct gue
random_gue(void)
{
    struct gue gue = {0};
    gue.count = (uint8_t)g_test_rand_int_range(1, GUE_HOPS_MAX + 1);
    gue.index = (uint8_t)g_test_rand_int_range(0, gue.count);
    gue.flags = (uint8_t)g_test_rand_int_range(0, 0x40);
    gue.service = (uint32_t)g_test_rand_int();
    for (size_t i = 0; i < gue.count; i++) {
        gue.hops[i].member = (uint64_t)(uint32_t)g_test_rand_int() << 32 | i;
        gue.hops[i].data.ip = (uint32_t)g_test_rand_int() | 1;
        gue.hops[i].data.port = (uint16_t)(g_test_rand_int() | 1);
    }
    return gue;
}

static void
check_equal(const struct gue *a, const struct gue *b)
{
    g_assert_cmpuint(a->service, ==, b->service);
    g_assert_cmpuint(a->flags, ==, b->flags);
    g_assert_cmpuint(a->index, ==, b->index);
    g_assert_cmpuint(a->count, ==, b->count);
    for (size_t i = 0; i < a->count; i++) {
        g_assert_cmpuint(a->hops[i].member, ==, b->hops[i].member);
        g_assert_true(addr_equal(a->hops[i].data, b->hops[i].data));
    }
}

TEST(round_trip)
{
    for (int i = 0; i < 2000; i++) {
        uint8_t buf[GUE_HEADER_MAX];
        struct gue in = random_gue();
        struct gue out;
        size_t len = gue_encode(&in, buf);
        g_assert_cmpuint(len % 4, ==, 0);
        g_assert_cmpuint(len, <=, GUE_HEADER_MAX);
        g_assert_cmpint(gue_decode(buf, len, &out), ==, (int)len);
        check_equal(&in, &out);
    }
}

TEST(bare_header)
{
    uint8_t buf[GUE_HEADER_MAX];
    const uint8_t expected[] = {0, 4, 0, 0};
    struct gue gue;

    g_assert_cmpuint(gue_encode(NULL, buf), ==, 4);
    g_assert_cmpmem(buf, 4, expected, 4);
    g_assert_cmpint(gue_decode(buf, 4, &gue), ==, 4);
    g_assert_cmpuint(gue.count, ==, 0);
}

TEST(encodes_known_bytes)
{
    const uint8_t expected[] = {
        0x06, 4, 0, 1,                      /* GUE, 6 words */
        1,    0, 1, 0x51,                   /* one hop */
        0,    0, 0, 9,                      /* service */
        0,    0, 0, 0,    0,    0,    1, 2, /* member */
        127,  0, 0, 1,    0x13, 0x88, 0, 0, /* address, pad */
    };
    struct gue gue = {.service = 9,
                      .flags = GUE_OPEN,
                      .count = 1,
                      .hops = {{.member = 0x102, .data = {0x7f000001, 5000}}}};
    uint8_t buf[GUE_HEADER_MAX];

    g_assert_cmpuint(gue_encode(&gue, buf), ==, sizeof(expected));
    g_assert_cmpmem(buf, sizeof(expected), expected, sizeof(expected));
}

/* Truncated headers are rejected; exact heap blocks expose overreads. */
TEST(rejects_truncated_header)
{
    uint8_t buf[GUE_HEADER_MAX];
    struct gue gue = random_gue();
    gue.count = GUE_HOPS_MAX;
    for (size_t i = 0; i < GUE_HOPS_MAX; i++)
        gue.hops[i].data = (struct addr){1, 1};
    size_t len = gue_encode(&gue, buf);

    for (size_t cut = 0; cut < len; cut++) {
        g_autofree uint8_t *copy = g_memdup2(buf, cut);
        g_assert_cmpint(gue_decode(copy, cut, &gue), ==, -EBADMSG);
        g_assert_cmpuint(gue.count, ==, 0);
    }
}

/* A mutated header that is accepted encodes to the same bytes again. */
TEST(random_mutation)
{
    size_t accepted = 0;

    for (int i = 0; i < MUTATIONS; i++) {
        uint8_t buf[GUE_HEADER_MAX];
        uint8_t again[GUE_HEADER_MAX];
        struct gue gue = random_gue();
        size_t len = gue_encode(&gue, buf);
        buf[g_test_rand_int_range(0, (gint32)len)] ^=
            (uint8_t)(1 << g_test_rand_int_range(0, 8));

        int result = gue_decode(buf, len, &gue);
        if (result < 0) {
            g_assert_cmpint(result, ==, -EBADMSG);
            continue;
        }
        accepted++;
        g_assert_cmpuint(gue.count, >, 0);
        g_assert_cmpuint(gue_encode(&gue, again), ==, (size_t)result);
        g_assert_cmpmem(buf, (size_t)result, again, (size_t)result);
    }
    g_assert_cmpuint(accepted, >, 0);
    g_assert_cmpuint(accepted, <, MUTATIONS);
}
