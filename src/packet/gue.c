#include "packet/gue.h"

#include <assert.h>
#include <errno.h>
#include <string.h>

#define BARE_LEN 4
#define FIXED_LEN 12 /* bare header and private data without hops */
#define HOP_LEN 14
#define INNER_IPV4 4
#define FLAG_PRIVATE 0x0001
#define LAYOUT_TAG 0x51 /* version 1 of the private data's layout */
#define VALID_FLAGS (GUE_OPEN | GUE_SUSPECTS | GUE_AGENT_FLAGS)

static uint64_t
read_be(const uint8_t *p, size_t len)
{
    uint64_t value = 0;
    for (size_t i = 0; i < len; i++)
        value = value << 8 | p[i];
    return value;
}

static void
write_be(uint8_t *p, size_t len, uint64_t value)
{
    for (size_t i = len; i > 0; i--) {
        p[i - 1] = (uint8_t)value;
        value >>= 8;
    }
}

static size_t
padded_len(size_t count)
{
    return (FIXED_LEN + count * HOP_LEN + 3) & ~(size_t)3;
}

static void
write_hop(const struct gue_hop *hop, uint8_t *buf)
{
    write_be(buf, 8, hop->member);
    write_be(buf + 8, 4, hop->data.ip);
    write_be(buf + 12, 2, hop->data.port);
}

static void
read_hop(struct gue_hop *hop, const uint8_t *buf)
{
    hop->member = read_be(buf, 8);
    hop->data.ip = (uint32_t)read_be(buf + 8, 4);
    hop->data.port = (uint16_t)read_be(buf + 12, 2);
}

/* Decodes the private data; its length must match the hops, padding be 0. */
static int
decode_private(const uint8_t *buf, size_t header_len, struct gue *gue)
{
    if (header_len < FIXED_LEN || buf[7] != LAYOUT_TAG)
        return -EBADMSG;
    if ((buf[4] & ~VALID_FLAGS) != 0)
        return -EBADMSG;

    uint8_t count = buf[6];
    if (count == 0 || count > GUE_HOPS_MAX || buf[5] >= count)
        return -EBADMSG;
    if (padded_len(count) != header_len)
        return -EBADMSG;
    for (size_t i = FIXED_LEN + (size_t)count * HOP_LEN; i < header_len; i++)
        if (buf[i] != 0)
            return -EBADMSG;

    gue->flags = buf[4];
    gue->index = buf[5];
    gue->service = (uint32_t)read_be(buf + 8, 4);
    for (size_t i = 0; i < count; i++) {
        read_hop(&gue->hops[i], buf + FIXED_LEN + i * HOP_LEN);
        if (gue->hops[i].data.ip == 0 || gue->hops[i].data.port == 0)
            return -EBADMSG;
    }
    gue->count = count;
    return (int)header_len;
}

size_t
gue_encode(const struct gue *gue, uint8_t *buf)
{
    buf[1] = INNER_IPV4;
    if (gue == NULL) {
        buf[0] = 0;
        write_be(buf + 2, 2, 0);
        return BARE_LEN;
    }

    assert(gue->count > 0 && gue->count <= GUE_HOPS_MAX);
    assert(gue->index < gue->count);

    size_t len = padded_len(gue->count);
    buf[0] = (uint8_t)((len - BARE_LEN) / 4);
    write_be(buf + 2, 2, FLAG_PRIVATE);
    buf[4] = gue->flags;
    buf[5] = gue->index;
    buf[6] = gue->count;
    buf[7] = LAYOUT_TAG;
    write_be(buf + 8, 4, gue->service);

    uint8_t *hop = buf + FIXED_LEN;
    for (size_t i = 0; i < gue->count; i++, hop += HOP_LEN)
        write_hop(&gue->hops[i], hop);
    memset(hop, 0, len - FIXED_LEN - (size_t)gue->count * HOP_LEN);
    return len;
}

int
gue_decode(const uint8_t *buf, size_t len, struct gue *gue)
{
    memset(gue, 0, sizeof(*gue));
    if (len < BARE_LEN || buf[0] >> 5 != 0 || buf[1] != INNER_IPV4)
        return -EBADMSG;

    size_t header_len = BARE_LEN + (size_t)(buf[0] & 0x1f) * 4;
    if (header_len > len)
        return -EBADMSG;

    uint64_t flags = read_be(buf + 2, 2);
    if (flags == 0 && header_len == BARE_LEN)
        return BARE_LEN;
    if (flags != FLAG_PRIVATE)
        return -EBADMSG;

    int result = decode_private(buf, header_len, gue);
    if (result < 0)
        memset(gue, 0, sizeof(*gue));
    return result;
}
