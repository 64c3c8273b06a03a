#include "stack/isn.h"

#include <string.h>

#include "base/hash.h"

#define IP_SRC 12
#define TCP_SEQ 4
#define TCP_ACK 8
#define TCP_FLAGS 13
#define TCP_CHECKSUM 16
#define TCP_HEADER_MIN 20
#define TCP_FLAG_ACK 0x10

static uint32_t
get32(const uint8_t *at)
{
    return (uint32_t)at[0] << 24 | (uint32_t)at[1] << 16 |
           (uint32_t)at[2] << 8 | at[3];
}

static void
put32(uint8_t *at, uint32_t value)
{
    at[0] = (uint8_t)(value >> 24);
    at[1] = (uint8_t)(value >> 16);
    at[2] = (uint8_t)(value >> 8);
    at[3] = (uint8_t)value;
}

/* Returns the offset added to a connection's local sequence numbers. */
static uint32_t
isn_shift(uint64_t secret, const uint8_t *local_ip, const uint8_t *local_port,
          const uint8_t *remote_ip, const uint8_t *remote_port)
{
    uint8_t key[12];

    memcpy(key, local_ip, 4);
    memcpy(key + 4, remote_ip, 4);
    memcpy(key + 8, local_port, 2);
    memcpy(key + 10, remote_port, 2);
    return (uint32_t)(hash_bytes(key, sizeof(key), secret) >> 32);
}

/* Replaces 32 aligned bits and updates the checksum (RFC 1624, equation 3). */
static void
tcp_replace32(uint8_t *tcp, size_t offset, uint32_t value)
{
    uint32_t old = get32(tcp + offset);
    uint32_t sum =
        (uint16_t) ~(tcp[TCP_CHECKSUM] << 8 | tcp[TCP_CHECKSUM + 1]);

    sum += (uint16_t) ~(old >> 16);
    sum += (uint16_t)~old;
    sum += value >> 16;
    sum += value & 0xffff;
    sum = (sum & 0xffff) + (sum >> 16);
    sum = (sum & 0xffff) + (sum >> 16);
    put32(tcp + offset, value);
    tcp[TCP_CHECKSUM] = (uint8_t)(~sum >> 8);
    tcp[TCP_CHECKSUM + 1] = (uint8_t)~sum;
}

/* Returns the TCP header, or NULL when the packet is too short for one. */
static uint8_t *
tcp_header(uint8_t *packet, size_t len)
{
    size_t header;

    if (len < 20) {
        return NULL;
    }
    header = (size_t)(packet[0] & 0x0f) * 4;
    if (header < 20 || len < header + TCP_HEADER_MIN) {
        return NULL;
    }
    return packet + header;
}

void
isn_shift_out(uint64_t secret, uint8_t *packet, size_t len)
{
    uint8_t *tcp = tcp_header(packet, len);
    const uint8_t *src = packet + IP_SRC;

    if (tcp == NULL) {
        return;
    }
    tcp_replace32(tcp, TCP_SEQ,
                  get32(tcp + TCP_SEQ) +
                      isn_shift(secret, src, tcp, src + 4, tcp + 2));
}

void
isn_shift_in(uint64_t secret, uint8_t *packet, size_t len)
{
    uint8_t *tcp = tcp_header(packet, len);
    const uint8_t *src = packet + IP_SRC;

    if (tcp == NULL || (tcp[TCP_FLAGS] & TCP_FLAG_ACK) == 0) {
        return;
    }
    tcp_replace32(tcp, TCP_ACK,
                  get32(tcp + TCP_ACK) -
                      isn_shift(secret, src + 4, tcp + 2, src, tcp));
}
