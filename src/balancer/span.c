#include "balancer/span.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "base/addr.h"

#define HEADER "\ntraceparent:"
#define HEADER_LEN (sizeof(HEADER) - 1)
#define DETAIL_MAX 96

static int
parse_value(const uint8_t *value, size_t len, struct trace_context *context)
{
    char text[TRACE_PARENT_MAX];

    while (len > 0 && (*value == ' ' || *value == '\t')) {
        value++;
        len--;
    }
    if (len < TRACE_PARENT_LEN)
        return -ENOENT;
    memcpy(text, value, TRACE_PARENT_LEN);
    text[TRACE_PARENT_LEN] = '\0';
    return trace_parse(text, context) == 0 ? 0 : -ENOENT;
}

int
span_find_parent(const uint8_t *payload, size_t len,
                 struct trace_context *context)
{
    const uint8_t *end = payload + len;
    const uint8_t *at = payload;

    if (len == 0)
        return -ENOENT;
    while ((at = memchr(at, '\n', (size_t)(end - at))) != NULL) {
        size_t left = (size_t)(end - at);
        if (left < HEADER_LEN)
            return -ENOENT;
        if (strncasecmp((const char *)at, HEADER, HEADER_LEN) == 0)
            return parse_value(at + HEADER_LEN, left - HEADER_LEN, context);
        at++;
    }
    return -ENOENT;
}

void
span_write(struct trace *trace, const uint8_t *packet,
           const struct route_decision *decision, uint64_t now_us)
{
    const struct packet *parsed = &decision->packet;
    const struct gue_hop *hop = &decision->gue.hops[0];
    struct trace_context parent;
    struct trace_context own;
    char to[ADDR_TEXT_MAX];
    char detail[DETAIL_MAX];

    if (span_find_parent(packet + parsed->payload, parsed->payload_len,
                         &parent) < 0)
        return;
    if (!(parent.flags & TRACE_FLAG_SAMPLED))
        return;
    trace_child(trace, &parent, &own);
    snprintf(detail, sizeof(detail), "to %s, first of %u",
             addr_format(hop->data, to), decision->gue.count);
    trace_span(trace, &own, parent.span_id, "balancer", now_us, now_us,
               detail);
}
