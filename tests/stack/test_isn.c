#include <string.h>

#include "stack/isn.h"
#include "lib/harness.h"

#define SUITE "/isn"

/* SYN+ACK from 10.0.0.1:80 to 10.9.0.1:40000 with valid checksums. */
static const uint8_t syn_ack[] = {
    0x45, 0,    0,    40,   0, 1,  0,    0,    64, 6, 0x66, 0xbb, 10, 0, 0, 1,
    10,   9,    0,    1,    0, 80, 0x9c, 0x40, 0,  0, 0x19, 0x6e, 0,  0, 0, 8,
    0x50, 0x12, 0xff, 0xff, 0, 0,  0,    0};

static uint16_t
tcp_sum(const uint8_t *packet)
{
    uint32_t sum = 6 + 20;

    for (size_t i = 12; i < 40; i += 2) {
        sum += (uint32_t)(packet[i] << 8 | packet[i + 1]);
    }
    while (sum >> 16 != 0) {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    return (uint16_t)~sum;
}

static uint32_t
get32(const uint8_t *at)
{
    return (uint32_t)at[0] << 24 | (uint32_t)at[1] << 16 |
           (uint32_t)at[2] << 8 | at[3];
}

/* The caller's acknowledgement of a shifted number is shifted back. */
TEST(round_trip)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(1);
    uint8_t out[40];
    uint8_t in[40];

    for (int i = 0; i < 1000; i++) {
        uint64_t secret = (uint64_t)g_rand_int(rand) << 32 | g_rand_int(rand);
        uint32_t isn = g_rand_int(rand);
        uint16_t sum;

        memcpy(out, syn_ack, sizeof(out));
        memcpy(out + 24, &isn, 4);
        sum = tcp_sum(out);
        out[36] = (uint8_t)(sum >> 8);
        out[37] = (uint8_t)sum;
        memcpy(in, out, sizeof(in));
        isn_shift_out(secret, out, sizeof(out));
        g_assert_cmpuint(tcp_sum(out), ==, 0);
        /* The caller's ACK: addresses and ports swapped. */
        memcpy(in + 12, out + 16, 4);
        memcpy(in + 16, out + 12, 4);
        memcpy(in + 20, out + 22, 2);
        memcpy(in + 22, out + 20, 2);
        memcpy(in + 28, out + 24, 4);
        memset(in + 36, 0, 2);
        sum = tcp_sum(in);
        in[36] = (uint8_t)(sum >> 8);
        in[37] = (uint8_t)sum;
        isn_shift_in(secret, in, sizeof(in));
        g_assert_cmpuint(tcp_sum(in), ==, 0);
        g_assert_cmpmem(in + 28, 4, &isn, 4);
    }
}

/* Two processes that answer one SYN send different sequence numbers. */
TEST(processes_differ)
{
    uint8_t a[40];
    uint8_t b[40];

    memcpy(a, syn_ack, sizeof(a));
    memcpy(b, syn_ack, sizeof(b));
    isn_shift_out(1, a, sizeof(a));
    isn_shift_out(2, b, sizeof(b));
    g_assert_cmpuint(get32(a + 24), !=, get32(b + 24));
}

/* Truncated packets aren't modified. */
TEST(short_packets)
{
    uint8_t buf[40];
    size_t len;

    for (len = 0; len < sizeof(buf); len++) {
        memcpy(buf, syn_ack, sizeof(buf));
        isn_shift_out(7, buf, len);
        isn_shift_in(7, buf, len);
        g_assert_cmpmem(buf, sizeof(buf), syn_ack, sizeof(syn_ack));
    }
}
