#include "control/wire.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

#include "base/hash.h"
#include "control/control.pb-c.h"

#define SUMMARY_BYTES 12
#define WANT_BYTES 8
#define MEMBER_TAG_BYTES 3

static void
put_bytes(uint8_t *at, uint64_t value, size_t bytes)
{
    for (size_t i = 0; i < bytes; i++)
        at[i] = value >> (8 * i);
}

static uint64_t
get_bytes(const uint8_t *at, size_t bytes)
{
    uint64_t value = 0;

    for (size_t i = 0; i < bytes; i++)
        value |= (uint64_t)at[i] << (8 * i);
    return value;
}

static void
pack_update(const struct member_update *update, Swiftarch__GossipMember *out)
{
    const struct view_member *member = &update->member;

    swiftarch__gossip_member__init(out);
    out->name = (char *)member->name;
    out->data_centre = (char *)member->data_centre;
    out->start = update->start;
    out->bump = member->incarnation - update->start;
    out->revision = update->revision;
    out->role = member->role;
    out->state = member->state;
    out->health = member->health;
    out->data_ip = member->data.ip;
    out->data_port = member->data.port;
    out->control_ip = member->control.ip;
    out->control_port = member->control.port;
    out->service = member->service;
    out->slots = member->slots;
}

static int
unpack_update(const Swiftarch__GossipMember *in, struct member_update *update)
{
    struct view_member *member = &update->member;
    size_t name_len = strlen(in->name);
    size_t data_centre_len = strlen(in->data_centre);

    if (name_len == 0 || name_len >= VIEW_NAME_MAX ||
        data_centre_len >= VIEW_NAME_MAX)
        return -EBADMSG;
    if (in->role > MEMBER_AGENT || in->state > MEMBER_LEAVING ||
        in->health > MEMBER_DEAD || in->data_port > UINT16_MAX ||
        in->control_port > UINT16_MAX || in->slots > UINT16_MAX ||
        in->start > UINT64_MAX - in->bump)
        return -EBADMSG;
    memset(update, 0, sizeof(*update));
    memcpy(member->name, in->name, name_len + 1);
    memcpy(member->data_centre, in->data_centre, data_centre_len + 1);
    member->id = hash_name(member->name);
    member->incarnation = in->start + in->bump;
    member->role = in->role;
    member->state = in->state;
    member->health = in->health;
    member->data = (struct addr){in->data_ip, in->data_port};
    member->control = (struct addr){in->control_ip, in->control_port};
    member->service = in->service;
    member->slots = in->slots;
    update->start = in->start;
    update->revision = in->revision;
    return 0;
}

static void
pack_header(const struct member_msg *msg, Swiftarch__Gossip *out)
{
    swiftarch__gossip__init(out);
    out->kind = msg->kind;
    out->cell = msg->cell;
    out->seq = msg->seq;
    out->target = msg->target;
    out->digest = msg->digest;
    out->incarnation = msg->incarnation;
    out->config_version = msg->config_version;
    out->word_age_ms = msg->word_age_ms;
    out->busy = msg->busy;
    out->waiting = msg->waiting;
}

static int
unpack_members(const Swiftarch__Gossip *in, struct member_msg *msg)
{
    if (in->n_members > VIEW_MEMBERS_MAX)
        return -EBADMSG;
    msg->updates = g_new(struct member_update, in->n_members);
    msg->update_count = in->n_members;
    for (size_t i = 0; i < in->n_members; i++) {
        if (unpack_update(in->members[i], &msg->updates[i]) < 0)
            return -EBADMSG;
    }
    return 0;
}

static int
unpack_lists(const Swiftarch__Gossip *in, struct member_msg *msg)
{
    if (in->summary.len % SUMMARY_BYTES != 0 || in->want.len % WANT_BYTES != 0)
        return -EBADMSG;
    msg->summary_count = in->summary.len / SUMMARY_BYTES;
    msg->want_count = in->want.len / WANT_BYTES;
    if (msg->summary_count > VIEW_MEMBERS_MAX ||
        msg->want_count > VIEW_MEMBERS_MAX)
        return -EBADMSG;
    msg->summary = g_new(struct member_summary, msg->summary_count);
    for (size_t i = 0; i < msg->summary_count; i++) {
        const uint8_t *at = in->summary.data + i * SUMMARY_BYTES;

        msg->summary[i].id = get_bytes(at, 8);
        msg->summary[i].digest = get_bytes(at + 8, 4);
    }
    msg->want = g_new(uint64_t, msg->want_count);
    for (size_t i = 0; i < msg->want_count; i++)
        msg->want[i] = get_bytes(in->want.data + i * WANT_BYTES, 8);
    return 0;
}

static int
unpack_header(const Swiftarch__Gossip *in, struct member_msg *msg)
{
    if (in->kind >= MEMBER_KINDS || in->busy > UINT16_MAX ||
        in->waiting > UINT16_MAX)
        return -EBADMSG;
    msg->kind = in->kind;
    msg->cell = in->cell;
    msg->seq = in->seq;
    msg->target = in->target;
    msg->digest = in->digest;
    msg->incarnation = in->incarnation;
    msg->config_version = in->config_version;
    msg->word_age_ms = in->word_age_ms;
    msg->busy = in->busy;
    msg->waiting = in->waiting;
    return 0;
}

/* Encodes @msg to @buf, or only computes its size if @buf is NULL. */
static size_t
pack_message(const struct member_msg *msg, uint8_t *buf)
{
    Swiftarch__Gossip out;
    Swiftarch__GossipMember *members;
    Swiftarch__GossipMember **pointers;
    size_t len;

    pack_header(msg, &out);
    members = g_new(Swiftarch__GossipMember, msg->update_count);
    pointers = g_new(Swiftarch__GossipMember *, msg->update_count);
    for (size_t i = 0; i < msg->update_count; i++) {
        pack_update(&msg->updates[i], &members[i]);
        pointers[i] = &members[i];
    }
    out.n_members = msg->update_count;
    out.members = pointers;
    out.summary.len = msg->summary_count * SUMMARY_BYTES;
    out.summary.data = g_malloc(out.summary.len);
    for (size_t i = 0; i < msg->summary_count; i++) {
        uint8_t *at = out.summary.data + i * SUMMARY_BYTES;

        put_bytes(at, msg->summary[i].id, 8);
        put_bytes(at + 8, msg->summary[i].digest, 4);
    }
    out.want.len = msg->want_count * WANT_BYTES;
    out.want.data = g_malloc(out.want.len);
    for (size_t i = 0; i < msg->want_count; i++)
        put_bytes(out.want.data + i * WANT_BYTES, msg->want[i], 8);
    if (buf != NULL)
        len = swiftarch__gossip__pack(&out, buf);
    else
        len = swiftarch__gossip__get_packed_size(&out);
    g_free(out.want.data);
    g_free(out.summary.data);
    g_free(pointers);
    g_free(members);
    return len;
}

size_t
wire_update_size(const struct member_update *update)
{
    Swiftarch__GossipMember out;

    pack_update(update, &out);
    return swiftarch__gossip_member__get_packed_size(&out) + MEMBER_TAG_BYTES;
}

size_t
wire_size(const struct member_msg *msg)
{
    return pack_message(msg, NULL);
}

size_t
wire_encode(const struct member_msg *msg, uint8_t *buf)
{
    return pack_message(msg, buf);
}

int
wire_decode(const uint8_t *buf, size_t len, uint64_t from,
            struct member_msg *msg)
{
    Swiftarch__Gossip *in;
    int ret = -EBADMSG;

    memset(msg, 0, sizeof(*msg));
    in = swiftarch__gossip__unpack(NULL, len, buf);
    if (in == NULL)
        return -EBADMSG;
    msg->from = from;
    if (unpack_header(in, msg) < 0 || unpack_members(in, msg) < 0 ||
        unpack_lists(in, msg) < 0)
        goto err;
    ret = 0;
err:
    swiftarch__gossip__free_unpacked(in, NULL);
    if (ret < 0)
        member_msg_finish(msg);
    return ret;
}
