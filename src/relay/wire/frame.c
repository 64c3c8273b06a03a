#include "relay/wire/frame.h"

#include <errno.h>
#include <string.h>

#define MAGIC_0 's'
#define MAGIC_1 'R'
#define VERSION 5

/* Sizes in bytes: of magic, version and type; of these with the fixed part of
 * the evacuations; of each data centre that follows. */
#define TYPE_SIZE 4
#define HEAD_SIZE (TYPE_SIZE + 14)
#define KEY_SIZE 4

/** struct writer - next byte to write; the caller's buffer is always large
 * enough */
struct writer {
    uint8_t *at;
};

/** struct reader - unread bytes; @underrun is set by a read past the end */
struct reader {
    const uint8_t *at;
    size_t remaining;
    bool underrun;
};

static void
put(struct writer *writer, uint64_t value, unsigned size)
{
    for (unsigned i = 0; i < size; i++) {
        *writer->at++ = (uint8_t)(value >> (8 * i));
    }
}

static void
put_addr(struct writer *writer, struct addr addr)
{
    put(writer, addr.ip, 4);
    put(writer, addr.port, 2);
}

static struct writer
begin(enum frame_type type, const struct evacuations *evacuations,
      uint8_t *bytes)
{
    struct writer writer = {bytes + TYPE_SIZE};

    bytes[0] = MAGIC_0;
    bytes[1] = MAGIC_1;
    bytes[2] = VERSION;
    bytes[3] = (uint8_t)type;
    put(&writer, evacuations->epoch, 4);
    put(&writer, evacuations->revision, 8);
    put(&writer, evacuations->recovery_s, 1);
    put(&writer, evacuations->count, 1);
    for (unsigned i = 0; i < evacuations->count; i++) {
        put(&writer, evacuations->data_centres[i], KEY_SIZE);
    }
    return writer;
}

static uint64_t
get(struct reader *reader, unsigned size)
{
    uint64_t value = 0;

    if (reader->remaining < size) {
        reader->underrun = true;
        return 0;
    }
    for (unsigned i = 0; i < size; i++) {
        value |= (uint64_t)reader->at[i] << (8 * i);
    }
    reader->at += size;
    reader->remaining -= size;
    return value;
}

static struct addr
get_addr(struct reader *reader)
{
    uint32_t ip = (uint32_t)get(reader, 4);

    return (struct addr){ip, (uint16_t)get(reader, 2)};
}

/* Size of a header. Its last fixed byte is the number of data centres that
 * follow. */
static size_t
head_size(const uint8_t *bytes)
{
    return HEAD_SIZE + (size_t)bytes[HEAD_SIZE - 1] * KEY_SIZE;
}

static struct reader
body_of(const uint8_t *bytes, size_t size)
{
    size_t head = size < HEAD_SIZE ? HEAD_SIZE : head_size(bytes);

    if (size < head) {
        return (struct reader){bytes, 0, true};
    }
    return (struct reader){bytes + head, size - head, false};
}

int
frame_type(const uint8_t *bytes, size_t size)
{
    if (size < HEAD_SIZE || size > FRAME_MAX || bytes[0] != MAGIC_0 ||
        bytes[1] != MAGIC_1 || bytes[2] != VERSION) {
        return -EBADMSG;
    }
    if (bytes[3] < FRAME_FORWARD || bytes[3] > FRAME_TYPE_MAX) {
        return -EBADMSG;
    }
    if (bytes[HEAD_SIZE - 1] > EVACUATIONS_MAX || size < head_size(bytes)) {
        return -EBADMSG;
    }
    return bytes[3];
}

void
frame_evacuations_decode(const uint8_t *bytes, struct evacuations *evacuations)
{
    struct reader reader = {bytes + TYPE_SIZE, head_size(bytes) - TYPE_SIZE,
                            false};

    evacuations->epoch = (uint32_t)get(&reader, 4);
    evacuations->revision = get(&reader, 8);
    evacuations->recovery_s = (uint8_t)get(&reader, 1);
    evacuations->count = (uint8_t)get(&reader, 1);
    for (unsigned i = 0; i < evacuations->count; i++) {
        evacuations->data_centres[i] = (uint32_t)get(&reader, KEY_SIZE);
    }
}

static void
put_store_view(struct writer *writer, const struct frame_store_view *view)
{
    put(writer, view->version, 8);
    put(writer, view->reader, 1);
}

static struct frame_store_view
get_store_view(struct reader *reader)
{
    uint64_t version = get(reader, 8);

    return (struct frame_store_view){version, (uint8_t)get(reader, 1)};
}

size_t
frame_forward_encode(const struct frame_forward *forward,
                     const struct evacuations *evacuations, uint8_t *bytes)
{
    struct writer writer = begin(FRAME_FORWARD, evacuations, bytes);

    put(&writer, forward->service, 4);
    put_addr(&writer, forward->origin);
    put_store_view(&writer, &forward->view);
    put(&writer, forward->forced, 1);
    put(&writer, forward->given, 1);
    put(&writer, forward->target_ms, 2);
    put(&writer, forward->priority, 1);
    put(&writer, forward->caller_timeout_ms, 2);
    put(&writer, forward->request_timeout_ms, 2);
    put(&writer, forward->slow_start_limit, 2);
    put(&writer, forward->hops, 1);
    put_addr(&writer, forward->best);
    put(&writer, forward->best_load, 2);
    put(&writer, forward->next_count, 1);
    for (unsigned i = 0; i < forward->next_count; i++) {
        put_addr(&writer, forward->next[i]);
    }
    memcpy(writer.at, forward->bytes, forward->size);
    return (size_t)(writer.at - bytes) + forward->size;
}

int
frame_forward_decode(const uint8_t *bytes, size_t size,
                     struct frame_forward *forward)
{
    struct reader reader = body_of(bytes, size);

    forward->service = (uint32_t)get(&reader, 4);
    forward->origin = get_addr(&reader);
    forward->view = get_store_view(&reader);
    forward->forced = get(&reader, 1) != 0;
    forward->given = get(&reader, 1) != 0;
    forward->target_ms = (uint16_t)get(&reader, 2);
    forward->priority = (uint8_t)get(&reader, 1);
    forward->caller_timeout_ms = (uint16_t)get(&reader, 2);
    forward->request_timeout_ms = (uint16_t)get(&reader, 2);
    forward->slow_start_limit = (uint16_t)get(&reader, 2);
    forward->hops = (uint8_t)get(&reader, 1);
    forward->best = get_addr(&reader);
    forward->best_load = (uint16_t)get(&reader, 2);
    forward->next_count = (uint8_t)get(&reader, 1);
    if (reader.underrun || forward->next_count > FRAME_NEXT_MAX ||
        forward->view.reader > FRAME_READER_MAX) {
        return -EBADMSG;
    }
    for (unsigned i = 0; i < forward->next_count; i++) {
        forward->next[i] = get_addr(&reader);
    }
    if (reader.underrun || reader.remaining > RELAY_PACKET_MAX) {
        return -EBADMSG;
    }
    forward->bytes = reader.at;
    forward->size = reader.remaining;
    return 0;
}

static void
put_version(struct writer *writer, const struct frame_config_version *version)
{
    put(writer, version->version, 8);
    put_addr(writer, version->holder);
}

static void
get_version(struct reader *reader, struct frame_config_version *version)
{
    version->version = get(reader, 8);
    version->holder = get_addr(reader);
}

static void
put_load(struct writer *writer, const struct frame_load *load)
{
    put(writer, load->known, 1);
    if (!load->known) {
        return;
    }
    put(writer, load->service_time, 2);
    put(writer, load->wait_ms, 2);
    put(writer, load->limit, 1);
    put(writer, load->stuck, 1);
    put(writer, load->flows, 2);
    put(writer, load->rejects, 2);
}

static struct frame_load
get_load(struct reader *reader)
{
    struct frame_load load = {.known = get(reader, 1) != 0};

    if (load.known) {
        load.service_time = (uint16_t)get(reader, 2);
        load.wait_ms = (uint16_t)get(reader, 2);
        load.limit = (uint8_t)get(reader, 1);
        load.stuck = (uint8_t)get(reader, 1);
        load.flows = (uint16_t)get(reader, 2);
        load.rejects = (uint16_t)get(reader, 2);
    }
    return load;
}

size_t
frame_status_encode(const struct frame_status *status,
                    const struct evacuations *evacuations, uint8_t *bytes)
{
    struct writer writer = begin(status->type, evacuations, bytes);

    put(&writer, status->reason, 1);
    put_addr(&writer, status->target);
    put_addr(&writer, status->flow.caller);
    put_addr(&writer, status->flow.service);
    put(&writer, status->seq, 4);
    put(&writer, status->health.service, 4);
    put(&writer, status->health.state, 1);
    put(&writer, status->health.busy, 1);
    put(&writer, status->health.slots, 1);
    put(&writer, status->health.failing, 1);
    put(&writer, status->health.data_centre, 4);
    put_load(&writer, &status->health.load);
    put_version(&writer, &status->heard);
    put(&writer, status->readers.reading, 1);
    put(&writer, status->readers.trying, 1);
    return (size_t)(writer.at - bytes);
}

int
frame_status_decode(const uint8_t *bytes, size_t size,
                    struct frame_status *status)
{
    struct reader reader = body_of(bytes, size);

    status->type = bytes[3];
    status->reason = (uint8_t)get(&reader, 1);
    status->target = get_addr(&reader);
    status->flow.caller = get_addr(&reader);
    status->flow.service = get_addr(&reader);
    status->seq = (uint32_t)get(&reader, 4);
    status->health.service = (uint32_t)get(&reader, 4);
    status->health.state = (uint8_t)get(&reader, 1);
    status->health.busy = (uint8_t)get(&reader, 1);
    status->health.slots = (uint8_t)get(&reader, 1);
    status->health.failing = get(&reader, 1) != 0;
    status->health.data_centre = (uint32_t)get(&reader, 4);
    status->health.load = get_load(&reader);
    get_version(&reader, &status->heard);
    status->readers.reading = (uint8_t)get(&reader, 1);
    status->readers.trying = (uint8_t)get(&reader, 1);
    if (reader.underrun || reader.remaining != 0 ||
        status->reason > FRAME_REASON_MAX ||
        status->health.state > ENDPOINT_STATE_MAX) {
        return -EBADMSG;
    }
    return 0;
}

size_t
frame_served_encode(const struct frame_served *served,
                    const struct evacuations *evacuations, uint8_t *bytes)
{
    struct writer writer = begin(FRAME_SERVED, evacuations, bytes);

    put(&writer, served->service, 4);
    put(&writer, served->count, 1);
    for (unsigned i = 0; i < served->count; i++) {
        put_addr(&writer, served->addrs[i]);
    }
    return (size_t)(writer.at - bytes);
}

int
frame_served_decode(const uint8_t *bytes, size_t size,
                    struct frame_served *served)
{
    struct reader reader = body_of(bytes, size);

    served->service = (uint32_t)get(&reader, 4);
    served->count = (uint8_t)get(&reader, 1);
    if (reader.underrun || served->count > FRAME_SERVED_MAX) {
        return -EBADMSG;
    }
    for (unsigned i = 0; i < served->count; i++) {
        served->addrs[i] = get_addr(&reader);
    }
    return reader.underrun || reader.remaining != 0 ? -EBADMSG : 0;
}

size_t
frame_query_encode(const struct frame_query *query,
                   const struct evacuations *evacuations, uint8_t *bytes)
{
    struct writer writer = begin(FRAME_QUERY, evacuations, bytes);

    put(&writer, query->query, 4);
    put_store_view(&writer, &query->view);
    put(&writer, query->count, 1);
    for (unsigned i = 0; i < query->count; i++) {
        put_addr(&writer, query->flows[i].caller);
        put_addr(&writer, query->flows[i].service);
    }
    return (size_t)(writer.at - bytes);
}

int
frame_query_decode(const uint8_t *bytes, size_t size,
                   struct frame_query *query)
{
    struct reader reader = body_of(bytes, size);

    query->query = (uint32_t)get(&reader, 4);
    query->view = get_store_view(&reader);
    query->count = (uint8_t)get(&reader, 1);
    if (reader.underrun || query->count > FRAME_QUERY_MAX ||
        query->view.reader > FRAME_READER_MAX) {
        return -EBADMSG;
    }
    for (unsigned i = 0; i < query->count; i++) {
        query->flows[i].caller = get_addr(&reader);
        query->flows[i].service = get_addr(&reader);
    }
    return reader.underrun || reader.remaining != 0 ? -EBADMSG : 0;
}

size_t
frame_query_reply_encode(const struct frame_query_reply *reply,
                         const struct evacuations *evacuations, uint8_t *bytes)
{
    struct writer writer = begin(FRAME_QUERY_REPLY, evacuations, bytes);

    put(&writer, reply->query, 4);
    put(&writer, reply->silent, 1);
    put(&writer, reply->down, 1);
    put(&writer, reply->partial, 1);
    for (unsigned i = 0; i < FRAME_QUERY_WORDS; i++) {
        put(&writer, reply->absent[i], 4);
    }
    return (size_t)(writer.at - bytes);
}

int
frame_query_reply_decode(const uint8_t *bytes, size_t size,
                         struct frame_query_reply *reply)
{
    struct reader reader = body_of(bytes, size);

    reply->query = (uint32_t)get(&reader, 4);
    reply->silent = get(&reader, 1) != 0;
    reply->down = get(&reader, 1) != 0;
    reply->partial = get(&reader, 1) != 0;
    for (unsigned i = 0; i < FRAME_QUERY_WORDS; i++) {
        reply->absent[i] = (uint32_t)get(&reader, 4);
    }
    return reader.underrun || reader.remaining != 0 ? -EBADMSG : 0;
}

size_t
frame_ping_encode(const struct frame_ping *ping,
                  const struct evacuations *evacuations, uint8_t *bytes)
{
    struct writer writer = begin(FRAME_PING, evacuations, bytes);

    put_store_view(&writer, &ping->view);
    put(&writer, ping->unlisted, 1);
    return (size_t)(writer.at - bytes);
}

int
frame_ping_decode(const uint8_t *bytes, size_t size, struct frame_ping *ping)
{
    struct reader reader = body_of(bytes, size);

    ping->view = get_store_view(&reader);
    ping->unlisted = get(&reader, 1) != 0;
    return reader.underrun || reader.remaining != 0 ||
                   ping->view.reader > FRAME_READER_MAX
               ? -EBADMSG
               : 0;
}
