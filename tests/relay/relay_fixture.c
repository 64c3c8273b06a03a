#include "relay/relay_fixture.h"

#include <stdarg.h>
#include <string.h>

#define SERVICE_ADDR "198.18.0.1:443"

static uint8_t bytes[RELAY_PACKET_MAX];

struct addr
fixture_addr(const char *text)
{
    struct addr addr;

    g_assert_cmpint(addr_parse(text, &addr), ==, 0);
    return addr;
}

struct relay_flow
fixture_flow(unsigned number)
{
    return (struct relay_flow){
        .caller = {0x64400000 + number / 1000,
                   (uint16_t)(1000 + number % 1000)},
        .service = fixture_addr(SERVICE_ADDR),
    };
}

static struct relay_packet
make_packet(struct addr from, struct addr to, unsigned flags, uint32_t seq,
            uint32_t ack, uint16_t len)
{
    memset(bytes, 0, sizeof(bytes));
    return (struct relay_packet){
        .from = from,
        .to = to,
        .seq = seq,
        .ack = ack,
        .len = len,
        .flags = (uint8_t)flags,
        .bytes = bytes,
        .size = (size_t)FIXTURE_HEADERS_SIZE + len,
    };
}

struct relay_packet
fixture_from_caller(struct relay_flow flow, unsigned flags, uint32_t seq,
                    uint32_t ack, uint16_t len)
{
    return make_packet(flow.caller, flow.service, flags, seq, ack, len);
}

struct relay_packet
fixture_from_endpoint(struct relay_flow flow, unsigned flags, uint32_t seq,
                      uint32_t ack, uint16_t len)
{
    return make_packet(flow.service, flow.caller, flags, seq, ack, len);
}

struct relay_packet
fixture_bounced(struct relay_packet packet)
{
    packet.flags |= RELAY_BOUNCED;
    return packet;
}

void
fixture_record(GString *record, const char *fmt, ...)
{
    va_list args;

    va_start(args, fmt);
    g_string_append_vprintf(record, fmt, args);
    va_end(args);
    g_string_append_c(record, '\n');
}

void
fixture_expect(GString *record, ...)
{
    GString *expected = g_string_new(NULL);
    const char *line;
    va_list args;

    va_start(args, record);
    while ((line = va_arg(args, const char *)) != NULL) {
        g_string_append_printf(expected, "%s\n", line);
    }
    va_end(args);
    g_assert_cmpstr(record->str, ==, expected->str);
    g_string_free(expected, TRUE);
    g_string_truncate(record, 0);
}
