#include "relay/records/flow_record.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* A packed flow: caller's address and port, service's address and port,
 * sequence number; all in network byte order. */
#define PACKED_SIZE 16u

/* Half of the window around the caller's last acknowledgement in which it
 * accepts a reset. */
#define SEQ_DRIFT_MAX 38400

void
flow_record_add(struct flow_record *record, struct relay_flow flow,
                uint32_t seq)
{
    if (record->count == FLOW_RECORD_FLOWS_MAX) {
        record->left_out++;
        return;
    }
    record->flows[record->count++] = (struct flow_record_flow){flow, seq};
}

static int
compare_numbers(uint32_t a, uint32_t b)
{
    return (a > b) - (a < b);
}

static int
compare_addrs(struct addr a, struct addr b)
{
    int order = compare_numbers(a.ip, b.ip);

    return order != 0 ? order : compare_numbers(a.port, b.port);
}

static int
compare_flows(const void *a, const void *b)
{
    const struct flow_record_flow *first = a;
    const struct flow_record_flow *second = b;
    int order = compare_addrs(first->flow.caller, second->flow.caller);

    return order != 0
               ? order
               : compare_addrs(first->flow.service, second->flow.service);
}

void
flow_record_sort(struct flow_record *record)
{
    qsort(record->flows, record->count, sizeof(record->flows[0]),
          compare_flows);
}

void
flow_record_copy(struct flow_record *to, const struct flow_record *from)
{
    memcpy(to, from, offsetof(struct flow_record, flows));
    memcpy(to->flows, from->flows, from->count * sizeof(from->flows[0]));
}

static uint8_t *
pack_number(uint8_t *at, uint32_t number, unsigned size)
{
    for (unsigned i = 0; i < size; i++) {
        at[i] = (uint8_t)(number >> 8 * (size - 1 - i));
    }
    return at + size;
}

static const uint8_t *
unpack_number(const uint8_t *at, uint32_t *number, unsigned size)
{
    *number = 0;
    for (unsigned i = 0; i < size; i++) {
        *number = *number << 8 | at[i];
    }
    return at + size;
}

static uint8_t *
pack_addr(uint8_t *at, struct addr addr)
{
    return pack_number(pack_number(at, addr.ip, 4), addr.port, 2);
}

static const uint8_t *
unpack_addr(const uint8_t *at, struct addr *addr)
{
    uint32_t port;

    at = unpack_number(at, &addr->ip, 4);
    at = unpack_number(at, &port, 2);
    addr->port = (uint16_t)port;
    return at;
}

static char *
pack_flows(const struct flow_record *record)
{
    uint8_t *bytes = g_malloc(record->count * PACKED_SIZE + 1);
    uint8_t *at = bytes;
    char *text;

    for (unsigned i = 0; i < record->count; i++) {
        at = pack_addr(at, record->flows[i].flow.caller);
        at = pack_addr(at, record->flows[i].flow.service);
        at = pack_number(at, record->flows[i].seq, 4);
    }
    text = g_base64_encode(bytes, record->count * PACKED_SIZE);
    g_free(bytes);
    return text;
}

static int
unpack_flows(const char *text, struct flow_record *record)
{
    gsize size;
    uint8_t *bytes = g_base64_decode(text, &size);
    const uint8_t *at = bytes;
    bool whole = size % PACKED_SIZE == 0 &&
                 size / PACKED_SIZE <= FLOW_RECORD_FLOWS_MAX &&
                 strlen(text) == (size + 2) / 3 * 4;

    while (whole && record->count < size / PACKED_SIZE) {
        struct flow_record_flow *flow = &record->flows[record->count++];

        at = unpack_addr(at, &flow->flow.caller);
        at = unpack_addr(at, &flow->flow.service);
        at = unpack_number(at, &flow->seq, 4);
    }
    g_free(bytes);
    return whole ? 0 : -EINVAL;
}

struct json_object *
flow_record_encode(const struct flow_record *record)
{
    struct json_object *value = json_object_new_object();
    char *flows = pack_flows(record);

    json_object_object_add(value, "service",
                           json_object_new_string(record->service));
    json_object_object_add(value, "endpoint",
                           json_object_new_string(record->id));
    json_object_object_add(value, "started_ms",
                           json_object_new_int64((int64_t)record->started_ms));
    json_object_object_add(value, "written_ms",
                           json_object_new_int64((int64_t)record->written_ms));
    json_object_object_add(value, "pace_ms",
                           json_object_new_int64(record->pace_ms));
    json_object_object_add(value, "flows", json_object_new_string(flows));
    g_free(flows);
    return value;
}

/* A string of less than @size bytes, or NULL. */
static const char *
get_string(struct json_object *object, const char *name, size_t size)
{
    struct json_object *value = NULL;

    if (!json_object_object_get_ex(object, name, &value) ||
        !json_object_is_type(value, json_type_string) ||
        (size_t)json_object_get_string_len(value) >= size) {
        return NULL;
    }
    return json_object_get_string(value);
}

static bool
get_number(struct json_object *object, const char *name, uint64_t *number)
{
    struct json_object *value = NULL;

    if (!json_object_object_get_ex(object, name, &value) ||
        !json_object_is_type(value, json_type_int) ||
        json_object_get_int64(value) < 0) {
        return false;
    }
    *number = (uint64_t)json_object_get_int64(value);
    return true;
}

static int
decode(struct json_object *value, struct flow_record *record)
{
    const char *service;
    const char *id;
    const char *flows;
    uint64_t pace_ms;

    if (!json_object_is_type(value, json_type_object)) {
        return -EINVAL;
    }
    service = get_string(value, "service", sizeof(record->service));
    id = get_string(value, "endpoint", sizeof(record->id));
    flows = get_string(value, "flows", SIZE_MAX);
    if (service == NULL || id == NULL || flows == NULL ||
        !get_number(value, "started_ms", &record->started_ms) ||
        !get_number(value, "written_ms", &record->written_ms) ||
        !get_number(value, "pace_ms", &pace_ms) || pace_ms > UINT32_MAX) {
        return -EINVAL;
    }
    record->pace_ms = (uint32_t)pace_ms;
    g_strlcpy(record->service, service, sizeof(record->service));
    g_strlcpy(record->id, id, sizeof(record->id));
    return unpack_flows(flows, record);
}

int
flow_record_decode(struct json_object *value, struct flow_record *record)
{
    int ret;

    memset(record, 0, offsetof(struct flow_record, flows));
    ret = decode(value, record);
    if (ret < 0) {
        record->count = 0;
    }
    return ret;
}

bool
flow_record_same_incarnation(const struct flow_record *a,
                             const struct flow_record *b)
{
    return strcmp(a->service, b->service) == 0 && strcmp(a->id, b->id) == 0 &&
           a->started_ms == b->started_ms;
}

bool
flow_record_has_ended(const struct flow_record *earlier,
                      const struct flow_record *current)
{
    return strcmp(earlier->service, current->service) == 0 &&
           earlier->started_ms != 0 &&
           current->started_ms > earlier->started_ms;
}

static bool
is_near(uint32_t a, uint32_t b)
{
    int32_t distance = (int32_t)(a - b);

    return distance >= -SEQ_DRIFT_MAX && distance <= SEQ_DRIFT_MAX;
}

unsigned
flow_record_uncovered(const struct flow_record *current,
                      const struct flow_record *written)
{
    unsigned uncovered = 0;
    unsigned at = 0;

    if (!flow_record_same_incarnation(current, written)) {
        return current->count;
    }
    for (unsigned i = 0; i < current->count; i++) {
        const struct flow_record_flow *flow = &current->flows[i];

        while (at < written->count &&
               compare_flows(&written->flows[at], flow) < 0) {
            at++;
        }
        if (at == written->count ||
            compare_flows(&written->flows[at], flow) != 0 ||
            !is_near(written->flows[at].seq, flow->seq)) {
            uncovered++;
        }
    }
    return uncovered;
}
