#include "scene.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

static const char source[] =
    "{\"services\": ["
    "{\"name\": \"lots\", \"address\": \"10.100.0.1\", \"port\": 80,"
    " \"class\": \"urgent\"},"
    "{\"name\": \"albums\", \"address\": \"10.100.0.2\", \"port\": 80,"
    " \"class\": \"ordinary\"},"
    "{\"name\": \"names\", \"address\": \"10.100.0.1\", \"port\": 80,"
    " \"protocol\": \"udp\", \"class\": \"ordinary\"}]}";

static void
set16(uint8_t *p, unsigned value)
{
    p[0] = (uint8_t)(value >> 8);
    p[1] = (uint8_t)value;
}

static void
set32(uint8_t *p, uint32_t value)
{
    set16(p, value >> 16);
    set16(p + 2, value & 0xffff);
}

static int
compare_ids(const void *a, const void *b)
{
    const struct view_member *x = a;
    const struct view_member *y = b;
    return (x->id > y->id) - (x->id < y->id);
}

struct text *
scene_text(void)
{
    struct text *text = NULL;
    char *report = NULL;

    if (text_parse(source, strlen(source), "scene", &text, &report) < 0)
        g_error("%s", report);
    text->version = 1;
    return text;
}

struct view *
scene_view(size_t count, const char *service)
{
    struct view *view = view_new(count);

    view->seq = 1;
    view->count = count;
    for (size_t i = 0; i < count; i++) {
        struct view_member *member = &view->members[i];
        g_snprintf(member->name, sizeof(member->name), "%s-%zu", service, i);
        member->id = hash_name(member->name);
        member->incarnation = 1000 + i;
        member->role = MEMBER_AGENT;
        member->state = MEMBER_READY;
        member->service = hash_service(service);
        member->since_us = SCENE_FIRST_SEEN_US;
        member->data.ip = 0x7f000001 + (uint32_t)(i / 60000);
        member->data.port = (uint16_t)(1 + i % 60000);
    }
    qsort(view->members, count, sizeof(view->members[0]), compare_ids);
    return view;
}

size_t
scene_tcp(uint8_t *buf, uint32_t ip, uint32_t caller, uint8_t flags,
          const char *payload)
{
    size_t payload_len = strlen(payload);
    size_t len = 40 + payload_len;

    memset(buf, 0, 40);
    buf[0] = 0x45;
    set16(buf + 2, (unsigned)len);
    buf[8] = 64;
    buf[9] = 6;
    set32(buf + 12, 0x0a090000 + caller / 50000);
    set32(buf + 16, ip);
    set16(buf + 10, packet_checksum(buf, 20));
    set16(buf + 20, 1024 + caller % 50000);
    set16(buf + 22, SCENE_PORT);
    buf[32] = 0x50;
    buf[33] = flags;
    for (size_t i = 0; i < payload_len; i++)
        buf[40 + i] = (uint8_t)payload[i];
    return len;
}

size_t
scene_udp(uint8_t *buf, uint32_t ip, uint32_t caller)
{
    return packet_build_udp(0x0a090000 + caller / 50000,
                            (uint16_t)(1024 + caller % 50000), ip, SCENE_PORT,
                            (const uint8_t *)"query", 5, buf);
}
