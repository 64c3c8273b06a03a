#include <glib.h>
#include <string.h>

#include "base/hash.h"
#include "control/control.pb-c.h"
#include "control/member.h"
#include "control/seeds.h"
#include "control/wire.h"
#include "mutate.h"

#define SUITE "/fuzz"
#define RUNS 60000
#define RECEIVE_US 5000000

static struct member_core core;

static struct member_update
update_of(const char *name)
{
    struct member_update update = {
        .member = {.id = hash_name(name),
                   .incarnation = 1000,
                   .data_centre = "ubungo",
                   .role = MEMBER_AGENT,
                   .state = MEMBER_READY,
                   .data = {0x7f000001, 10},
                   .control = {0x7f000001, 20},
                   .service = 5,
                   .slots = 2},
        .start = 1000,
        .revision = 1,
    };

    g_strlcpy(update.member.name, name, sizeof(update.member.name));
    return update;
}

/* A decoded message can be encoded again and handled by a member. */
static void
decode_gossip(const uint8_t *data, size_t len)
{
    struct member_actions out = {0};
    struct member_msg msg;

    if (wire_decode(data, len, 77, &msg) < 0) {
        return;
    }
    uint8_t *again = g_malloc(wire_size(&msg) + 1);

    g_assert_cmpuint(wire_encode(&msg, again), <=, wire_size(&msg));
    g_free(again);
    member_receive(&core, &msg, (struct addr){0x7f000001, 30}, RECEIVE_US,
                   &out);
    member_actions_finish(&out);
    member_msg_finish(&msg);
}

static size_t
encode(const struct member_msg *msg, uint8_t *buf, size_t size)
{
    g_assert_cmpuint(wire_size(msg), <=, size);
    return wire_encode(msg, buf);
}

TEST(gossip)
{
    struct member_update self = update_of("self");
    struct member_update updates[] = {update_of("a"), update_of("b")};
    struct member_summary summary[] = {{1, 2}, {3, 4}};
    uint64_t want[] = {5, 6};
    uint8_t ping[512];
    uint8_t sync[512];
    struct member_msg msg = {
        .kind = MEMBER_PING,
        .from = 77,
        .seq = 9,
        .target = self.member.id,
        .incarnation = 1000,
        .updates = updates,
        .update_count = G_N_ELEMENTS(updates),
    };
    struct mutate_sample samples[2];

    samples[0] =
        (struct mutate_sample){ping, encode(&msg, ping, sizeof(ping))};
    msg.kind = MEMBER_SYNC_REPLY;
    msg.summary = summary;
    msg.summary_count = G_N_ELEMENTS(summary);
    msg.want = want;
    msg.want_count = G_N_ELEMENTS(want);
    samples[1] =
        (struct mutate_sample){sync, encode(&msg, sync, sizeof(sync))};
    g_assert_cmpint(member_core_init(&core, &self, 0, 1, 1), ==, 0);
    MUTATE("gossip", samples, RUNS, decode_gossip);
    member_core_finish(&core);
}

static void
decode_seeds(const uint8_t *data, size_t len)
{
    struct seed_list list = {0};

    if (seeds_decode((const char *)data, len, &list) == 0) {
        size_t again_len;
        char *again = seeds_encode(&list, &again_len);

        g_assert_cmpuint(list.count, <=, SEEDS_MAX);
        g_assert_cmpuint(again_len, <=, SEEDS_VALUE_MAX);
        g_free(again);
    }
}

TEST(seeds)
{
    struct seed_list list = {
        .count = 2,
        .items = {{.name = "a", .control = {0x7f000001, 1}, .incarnation = 7},
                  {.name = "b", .control = {0x7f000001, 2}, .incarnation = 8}},
    };
    size_t len;
    char *value = seeds_encode(&list, &len);
    struct mutate_sample samples[] = {{(const uint8_t *)value, len},
                                      mutate_string("{}")};

    MUTATE("seeds_decode", samples, RUNS, decode_seeds);
    g_free(value);
}

static void
decode_frames(const uint8_t *data, size_t len)
{
    Swiftarch__ConfigRequest *request =
        swiftarch__config_request__unpack(NULL, len, data);
    Swiftarch__ConfigReply *reply =
        swiftarch__config_reply__unpack(NULL, len, data);
    Swiftarch__ShowRequest *show_request =
        swiftarch__show_request__unpack(NULL, len, data);
    Swiftarch__ShowReply *show =
        swiftarch__show_reply__unpack(NULL, len, data);

    swiftarch__config_request__free_unpacked(request, NULL);
    swiftarch__config_reply__free_unpacked(reply, NULL);
    swiftarch__show_request__free_unpacked(show_request, NULL);
    swiftarch__show_reply__free_unpacked(show, NULL);
}

TEST(frames)
{
    Swiftarch__ConfigReply reply = SWIFTARCH__CONFIG_REPLY__INIT;
    Swiftarch__ShowReply show = SWIFTARCH__SHOW_REPLY__INIT;
    uint8_t config_bytes[128];
    uint8_t show_bytes[128];
    struct mutate_sample samples[2];

    reply.version = 7;
    reply.body = (ProtobufCBinaryData){2, (uint8_t *)"{}"};
    show.name = "agent";
    show.config = (ProtobufCBinaryData){2, (uint8_t *)"{}"};
    samples[0] = (struct mutate_sample){
        config_bytes, swiftarch__config_reply__pack(&reply, config_bytes)};
    samples[1] = (struct mutate_sample){
        show_bytes, swiftarch__show_reply__pack(&show, show_bytes)};
    MUTATE("control frames", samples, RUNS, decode_frames);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    /* Warnings about malformed messages are expected. */
    g_log_set_always_fatal(G_LOG_LEVEL_CRITICAL | G_LOG_FATAL_MASK);
    return harness_run();
}
