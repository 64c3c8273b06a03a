#include "route_fixture.h"

#include <glib.h>

#include "lib/sample.h"
#include "lib/segment.h"

static const char source[] =
    "{\"services\": ["
    "{\"name\": \"lots\", \"address\": \"10.100.0.1\", \"port\": 80,"
    " \"class\": \"urgent\"},"
    "{\"name\": \"albums\", \"address\": \"10.100.0.2\", \"port\": 80,"
    " \"class\": \"ordinary\"},"
    "{\"name\": \"names\", \"address\": \"10.100.0.1\", \"port\": 80,"
    " \"protocol\": \"udp\", \"class\": \"ordinary\"}]}";

struct service_config *
route_fixture_text(void)
{
    struct service_config *config = sample_parse(source);

    config->version = 1;
    return config;
}

struct view *
route_fixture_view(size_t count, const char *service)
{
    struct view *view = view_new(count);

    view->seq = 1;
    view->count = count;
    for (size_t i = 0; i < count; i++) {
        struct view_member *member = &view->members[i];
        char name[VIEW_NAME_MAX];
        g_snprintf(name, sizeof(name), "%s-%zu", service, i);
        sample_agent(member, name, service);
        member->incarnation = 1000 + i;
        member->since_us = ROUTE_FIXTURE_FIRST_SEEN_US;
        member->data.ip = 0x7f000001 + (uint32_t)(i / 60000);
        member->data.port = (uint16_t)(1 + i % 60000);
    }
    sample_sort(view);
    return view;
}

size_t
route_fixture_tcp(uint8_t *buf, uint32_t ip, uint32_t caller, uint8_t flags,
                  const char *payload)
{
    const struct packet packet = {.src = 0x0a090000 + caller / 50000,
                                  .dst = ip,
                                  .sport = (uint16_t)(1024 + caller % 50000),
                                  .dport = ROUTE_FIXTURE_PORT,
                                  .flags = flags};

    return segment_tcp(buf, &packet, payload);
}

size_t
route_fixture_udp(uint8_t *buf, uint32_t ip, uint32_t caller)
{
    return packet_build_udp(
        0x0a090000 + caller / 50000, (uint16_t)(1024 + caller % 50000), ip,
        ROUTE_FIXTURE_PORT, (const uint8_t *)"query", 5, buf);
}
