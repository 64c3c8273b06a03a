#include "agent/peer_wire.h"

#include <errno.h>

#include "agent/peer.pb-c.h"

#define TIME_LEFT_MAX_US (3600 * USEC_PER_SEC)

GByteArray *
peer_wire_pack_raw(const Swiftarch__PeerMessage *raw)
{
    size_t size = swiftarch__peer_message__get_packed_size(raw);
    GByteArray *out = g_byte_array_sized_new((guint)size);

    g_byte_array_set_size(out, (guint)size);
    swiftarch__peer_message__pack(raw, out->data);
    return out;
}

static void
fill_key(Swiftarch__PeerKey *raw, const struct idem_key *key)
{
    swiftarch__peer_key__init(raw);
    raw->service = key->service;
    raw->hash0 = key->hash[0];
    raw->hash1 = key->hash[1];
    raw->fingerprint = key->fingerprint;
}

static ProtobufCBinaryData
binary(const uint8_t *data, size_t len)
{
    return (ProtobufCBinaryData){len, (uint8_t *)data};
}

static void
fill_request(Swiftarch__PeerRequest *raw, const struct engine_request *request,
             uint64_t now_us)
{
    swiftarch__peer_request__init(raw);
    raw->id = request->id;
    raw->service = request->service;
    raw->caller = request->caller;
    raw->class_ = (uint32_t)request->class;
    raw->idempotent = request->idempotent;
    raw->keyed = request->keyed;
    raw->time_left_us =
        request->deadline_us > now_us ? request->deadline_us - now_us : 0;
}

GByteArray *
peer_wire_pack(const struct engine_peer_msg *msg, const GByteArray *bytes,
               const char *traceparent, uint64_t now_us)
{
    Swiftarch__PeerMessage raw = SWIFTARCH__PEER_MESSAGE__INIT;
    Swiftarch__PeerRequest request;
    Swiftarch__PeerIdem idem = SWIFTARCH__PEER_IDEM__INIT;
    Swiftarch__PeerKey request_key;
    Swiftarch__PeerKey idem_key;

    raw.type = (uint32_t)msg->type;
    raw.origin = msg->origin;
    raw.outcome = (uint32_t)msg->outcome;
    raw.reason = (uint32_t)msg->reason;
    raw.free_slots = msg->free_slots;
    raw.load = msg->load;
    raw.waiting_urgent = msg->waiting[SERVICE_CONFIG_URGENT];
    raw.waiting_ordinary = msg->waiting[SERVICE_CONFIG_ORDINARY];
    fill_request(&request, &msg->request, now_us);
    fill_key(&request_key, &msg->request.key);
    request.key = &request_key;
    raw.request = &request;
    if (msg->type == ENGINE_PEER_IDEM) {
        idem.type = (uint32_t)msg->idem.type;
        fill_key(&idem_key, &msg->idem.key);
        idem.key = &idem_key;
        idem.owner = msg->idem.owner;
        idem.token = msg->idem.token;
        idem.state = (uint32_t)msg->idem.state;
        idem.answer = binary(msg->idem.answer, msg->idem.answer_len);
        raw.idem = &idem;
    }
    if (msg->type == ENGINE_PEER_RUN) {
        request.traceparent = (char *)(traceparent ? traceparent : "");
    }
    if (bytes != NULL && msg->type == ENGINE_PEER_RUN) {
        request.http = binary(bytes->data, bytes->len);
    }
    else if (bytes != NULL) {
        raw.answer = binary(bytes->data, bytes->len);
    }
    return peer_wire_pack_raw(&raw);
}

GByteArray *
peer_wire_pack_pins(const struct flow_pin *pins, size_t count)
{
    Swiftarch__PeerMessage raw = SWIFTARCH__PEER_MESSAGE__INIT;
    Swiftarch__PeerPin items[PEER_WIRE_PINS_MAX];
    Swiftarch__PeerPin *refs[PEER_WIRE_PINS_MAX];

    g_assert(count <= PEER_WIRE_PINS_MAX);
    for (size_t i = 0; i < count; i++) {
        swiftarch__peer_pin__init(&items[i]);
        items[i].bucket = pins[i].bucket;
        items[i].owner = pins[i].owner;
        refs[i] = &items[i];
    }
    raw.type = PEER_WIRE_PINS;
    raw.n_pins = count;
    raw.pins = refs;
    return peer_wire_pack_raw(&raw);
}

static struct idem_key
read_key(const Swiftarch__PeerKey *raw)
{
    if (raw == NULL) {
        return (struct idem_key){0};
    }
    return (struct idem_key){
        .service = raw->service,
        .hash = {raw->hash0, raw->hash1},
        .fingerprint = raw->fingerprint,
    };
}

static void
read_request(const Swiftarch__PeerRequest *raw, uint64_t now_us,
             struct engine_request *request)
{
    uint64_t left_us = MIN(raw->time_left_us, TIME_LEFT_MAX_US);

    *request = (struct engine_request){
        .id = raw->id,
        .service = raw->service,
        .caller = raw->caller,
        .class = raw->class_ == SERVICE_CONFIG_URGENT
                     ? SERVICE_CONFIG_URGENT
                     : SERVICE_CONFIG_ORDINARY,
        .idempotent = raw->idempotent,
        .keyed = raw->keyed,
        .key = read_key(raw->key),
        .deadline_us = now_us + left_us,
    };
}

static int
read_idem(const Swiftarch__PeerIdem *raw, struct idem_msg *idem)
{
    if (raw == NULL || raw->key == NULL || raw->type > IDEM_MSG_DENY ||
        raw->state > IDEM_UNKNOWN || raw->answer.len > IDEM_ANSWER_MAX) {
        return -EBADMSG;
    }
    *idem = (struct idem_msg){
        .type = (enum idem_msg_type)raw->type,
        .key = read_key(raw->key),
        .owner = raw->owner,
        .token = raw->token,
        .state = (enum idem_state)raw->state,
        .answer = raw->answer.len > 0 ? raw->answer.data : NULL,
        .answer_len = raw->answer.len,
    };
    return 0;
}

static int
read_message(const Swiftarch__PeerMessage *raw, uint64_t now_us,
             struct peer_wire *wire)
{
    struct engine_peer_msg *msg = &wire->msg;

    if (raw->type > ENGINE_PEER_PROBE || raw->request == NULL ||
        raw->outcome > ENGINE_KEY_MISMATCH || raw->reason > ENGINE_CANCELLED) {
        return -EBADMSG;
    }
    msg->type = (enum engine_peer_type)raw->type;
    msg->origin = raw->origin;
    msg->outcome = (enum engine_outcome)raw->outcome;
    msg->reason = (enum engine_reason)raw->reason;
    msg->free_slots = (uint16_t)MIN(raw->free_slots, UINT16_MAX);
    msg->load = (uint16_t)MIN(raw->load, UINT16_MAX);
    msg->waiting[SERVICE_CONFIG_URGENT] =
        (uint16_t)MIN(raw->waiting_urgent, UINT16_MAX);
    msg->waiting[SERVICE_CONFIG_ORDINARY] =
        (uint16_t)MIN(raw->waiting_ordinary, UINT16_MAX);
    read_request(raw->request, now_us, &msg->request);
    wire->traceparent = raw->request->traceparent;
    if (msg->type == ENGINE_PEER_IDEM) {
        return read_idem(raw->idem, &msg->idem);
    }
    const ProtobufCBinaryData *bytes =
        msg->type == ENGINE_PEER_RUN ? &raw->request->http : &raw->answer;
    wire->bytes = bytes->len > 0 ? bytes->data : NULL;
    wire->len = bytes->len;
    return 0;
}

int
peer_wire_unpack(const uint8_t *body, size_t len, uint64_t now_us,
                 struct peer_wire *wire)
{
    *wire = (struct peer_wire){0};
    wire->raw = swiftarch__peer_message__unpack(NULL, len, body);
    if (wire->raw == NULL) {
        return -EBADMSG;
    }
    if (wire->raw->type == PEER_WIRE_PINS) {
        wire->pins = true;
        return 0;
    }
    if (wire->raw->type == PEER_WIRE_ORPHANS) {
        wire->notice = true;
        return 0;
    }
    int ret = read_message(wire->raw, now_us, wire);
    if (ret < 0) {
        peer_wire_finish(wire);
    }
    return ret;
}

bool
peer_wire_pin(const struct peer_wire *wire, size_t i, struct flow_pin *pin)
{
    if (i >= wire->raw->n_pins) {
        return false;
    }
    pin->bucket = wire->raw->pins[i]->bucket;
    pin->owner = wire->raw->pins[i]->owner;
    return true;
}

void
peer_wire_finish(struct peer_wire *wire)
{
    if (wire->raw != NULL) {
        swiftarch__peer_message__free_unpacked(wire->raw, NULL);
        wire->raw = NULL;
    }
}
