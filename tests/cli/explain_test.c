/**
 * DOC: explain_test - explanations of packets and requests, and config_diff
 */
#include <errno.h>
#include <string.h>

#include "base/hash.h"
#include "cli/explain_packet.h"
#include "cli/explain_request.h"
#include "cli/snapshot.h"
#include "cli/config_diff.h"
#include "packet/packet.h"
#include "packet/rank.h"
#include "lib/harness.h"
#include "lib/sample.h"

#define SUITE "/explain"
#define CONFIG_SOURCE                                                         \
    "{\"services\":["                                                         \
    "{\"name\":\"desk\",\"address\":\"10.0.0.1\",\"port\":80,"                \
    "\"class\":\"urgent\"},"                                                  \
    "{\"name\":\"reports\",\"address\":\"10.0.0.2\",\"port\":80,"             \
    "\"class\":\"ordinary\",\"depends_on\":[\"desk\"]},"                      \
    "{\"name\":\"clock\",\"address\":\"10.0.0.3\",\"port\":123,"              \
    "\"protocol\":\"udp\",\"class\":\"ordinary\"}]}"
#define AGENTS 4
#define AGENT_AGE_US UINT64_C(60000000)

static const char *const agent_names[AGENTS] = {"one", "two", "three", "four"};

static void
fill_agent(Swiftarch__ShowMember *member, size_t i)
{
    swiftarch__show_member__init(member);
    member->name = (char *)agent_names[i];
    member->data_centre = "cbd";
    member->id = hash_name(agent_names[i]);
    member->incarnation = (uint64_t)g_get_real_time() - AGENT_AGE_US;
    member->role = MEMBER_AGENT;
    member->state = MEMBER_READY;
    member->health = MEMBER_ALIVE;
    member->data_ip = 0x7f000001;
    member->data_port = 7000 + (uint32_t)i;
    member->control_ip = 0x7f000001;
    member->control_port = 8000 + (uint32_t)i;
    member->service = hash_service("desk");
    member->slots = 2;
}

/* Four agents of "desk"; the third is draining, the fourth is dead. */
static void
snapshot_init(struct snapshot *snapshot, const char *config)
{
    Swiftarch__ShowReply reply = SWIFTARCH__SHOW_REPLY__INIT;
    Swiftarch__ShowMember members[AGENTS];
    Swiftarch__ShowMember *pointers[AGENTS];

    for (size_t i = 0; i < AGENTS; i++) {
        fill_agent(&members[i], i);
        pointers[i] = &members[i];
    }
    members[2].state = MEMBER_DRAINING;
    members[3].health = MEMBER_DEAD;
    reply.name = "entry";
    reply.config_version = 5;
    reply.n_members = AGENTS;
    reply.members = pointers;
    reply.config.data = (uint8_t *)config;
    reply.config.len = strlen(config);
    g_assert_cmpint(snapshot_of_reply(snapshot, &reply), ==, 0);
    g_assert_cmpuint(snapshot->config->version, ==, 5);
}

static void
assert_contains(const char *output, const char *part)
{
    if (strstr(output, part) == NULL) {
        g_error("expected \"%s\" in:\n%s", part, output);
    }
}

/* Returns the explanation of @packet, which must contain all @parts. */
static char *
packet_output(const struct snapshot *snapshot, const char *packet,
              const char *const *parts)
{
    GString *out = g_string_new(NULL);
    struct packet_spec spec;

    g_assert_cmpint(packet_spec_parse(packet, &spec), ==, 0);
    g_assert_cmpint(explain_packet(snapshot, &spec, out), ==, 0);
    for (; *parts != NULL; parts++) {
        assert_contains(out->str, *parts);
    }
    return g_string_free(out, FALSE);
}

#define PARTS(...) ((const char *const[]){__VA_ARGS__, NULL})

TEST_F(snapshot, packet, CONFIG_SOURCE)
{
    const struct packet packet = {.src = 0x0a090001,
                                  .dst = 0x0a000001,
                                  .sport = 4000,
                                  .dport = 80,
                                  .proto = 6};
    uint32_t bucket = rank_bucket(packet_flow_hash(&packet));
    bool one_first = rank_score(hash_name("one"), bucket) >
                     rank_score(hash_name("two"), bucket);
    g_autofree char *rank = g_strdup_printf("bucket   %u of 4096", bucket);
    char *output =
        packet_output(snapshot, "tcp 10.9.0.1:4000 10.0.0.1:80",
                      PARTS(one_first ? "  1. one " : "  1. two ", rank,
                            "service  desk, urgent\n", "  3. three ",
                            "draining, alive: keeps its flows", "   - four "));

    g_assert_null(strstr(output, "  4. "));
    g_free(output);
}

/* A retired address: endpoints of its open flows and end of the hold time. */
TEST_F(snapshot, packet_retired,
       "{\"retired\":[{\"name\":\"desk\",\"address\":\"10.0.0.7\","
       "\"port\":80,\"class\":\"urgent\",\"until_ms\":1700000000000}],"
       "\"text\":" CONFIG_SOURCE "}")
{
    g_free(packet_output(
        snapshot, "tcp 10.9.0.1:4000 10.0.0.7:80",
        PARTS("service  desk, urgent\n",
              "retired  the service has left this address; it is kept for "
              "its open flows until\n         2023-11-14 22:13:20 UTC. A new "
              "flow is reset",
              "  3. three ")));
    char *output =
        packet_output(snapshot, "tcp 10.9.0.1:4000 10.0.0.1:80", PARTS(""));
    g_assert_null(strstr(output, "retired"));
    g_free(output);
}

TEST_F(snapshot, packet_dropped, CONFIG_SOURCE)
{
    g_free(packet_output(snapshot, "udp 10.9.0.1:4000 10.0.0.1:80",
                         PARTS("dropped  no service of the configuration",
                               "reason=\"service\"")));
    g_free(packet_output(snapshot, "udp 10.9.0.1:4000 10.0.0.3:123",
                         PARTS("reason=\"no_endpoint\"")));
}

TEST(packet_spec_parse)
{
    static const char *const invalid[] = {
        "",
        "tcp",
        "tcp 10.0.0.1:1",
        "icmp 10.0.0.1:1 10.0.0.2:2",
        "tcp 10.0.0.1:1 10.0.0.2:99999",
        "udp 10.0.0.1:1 10.0.0.2:2 syn",
        "tcp 10.0.0.1:1 10.0.0.2:2 fin",
        "tcp 10.0.0.1:1 10.0.0.2:2 syn ack",
    };
    struct packet_spec spec;

    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        g_assert_cmpint(packet_spec_parse(invalid[i], &spec), ==, -EINVAL);
    }
    g_assert_cmpint(packet_spec_parse("tcp 10.0.0.1:1 10.0.0.2:2 ack", &spec),
                    ==, 0);
    g_assert_false(spec.is_syn);
}

static char *
request_output(const struct snapshot *snapshot, struct request_spec spec,
               int rc)
{
    GString *out = g_string_new(NULL);

    g_assert_cmpint(explain_request(snapshot, &spec, out), ==, rc);
    return g_string_free(out, FALSE);
}

static void
assert_explanation(const struct snapshot *snapshot, struct request_spec spec,
                   int rc, const char *part)
{
    g_autofree char *output = request_output(snapshot, spec, rc);

    assert_contains(output, part);
}

TEST(request)
{
    struct snapshot snapshot;
    struct request_spec get = {.service = "desk", .method = "GET"};
    struct request_spec post = {.service = "desk", .method = "POST"};
    struct request_spec report = {.service = "reports", .method = "GET"};

    snapshot_init(&snapshot, CONFIG_SOURCE);
    assert_explanation(&snapshot, get, 0, "class    urgent");
    assert_explanation(&snapshot, get, 0, "its method is idempotent");
    assert_explanation(&snapshot, get, 0, "deadline 5000 ms, the service's");
    assert_explanation(&snapshot, post, 0, "its method is not idempotent");
    post.priority = "u=7";
    post.timeout_ms = "250";
    assert_explanation(&snapshot, post, 0, "class    ordinary");
    assert_explanation(&snapshot, post, 0, "deadline 250 ms, its own");
    assert_explanation(&snapshot, report, 0,
                       "needs    desk: 2 endpoints accept requests");
    assert_explanation(&snapshot, report, 0, "no endpoint accepts requests");
    snapshot_finish(&snapshot);
}

TEST(request_key)
{
    struct snapshot snapshot;
    struct request_spec post = {
        .service = "desk", .method = "POST", .key = "k"};
    const char *record;
    g_autofree char *output = NULL;

    snapshot_init(&snapshot, CONFIG_SOURCE);
    output = request_output(&snapshot, post, 0);
    g_assert_nonnull(strstr(output, "at most once for its key"));
    record = strstr(output, "record   of its key is kept by 3 of at most 3");
    g_assert_nonnull(record);
    g_assert_nonnull(strstr(record, "one "));
    g_assert_nonnull(strstr(record, "two "));
    g_assert_nonnull(strstr(record, "three "));
    g_assert_null(strstr(record, "not eligible yet"));
    snapshot_finish(&snapshot);
}

TEST(request_refused)
{
    struct snapshot snapshot;

    snapshot_init(&snapshot, CONFIG_SOURCE);
    assert_explanation(
        &snapshot, (struct request_spec){.service = "none", .method = "GET"},
        -ENOENT, "no service \"none\"");
    assert_explanation(
        &snapshot, (struct request_spec){.service = "desk", .method = "G@T"},
        -EINVAL, "answered with 400");
    assert_explanation(
        &snapshot, (struct request_spec){.service = "clock", .method = "GET"},
        0, "UDP service");
    snapshot_finish(&snapshot);
}

TEST(diff)
{
    struct service_config *from = sample_parse(CONFIG_SOURCE);
    struct service_config *to = sample_parse(
        "{\"services\":["
        "{\"name\":\"desk\",\"address\":\"10.0.0.9\",\"port\":80,"
        "\"class\":\"ordinary\",\"limits\":{\"queue\":9}},"
        "{\"name\":\"reports\",\"address\":\"10.0.0.2\",\"port\":80,"
        "\"class\":\"ordinary\"},"
        "{\"name\":\"new\",\"address\":\"10.0.0.4\",\"port\":1,"
        "\"class\":\"ordinary\"}]}");
    g_autoptr(GString) out = g_string_new(NULL);

    g_assert_cmpuint(config_diff(from, to, out), ==, 6);
    g_assert_cmpstr(out->str, ==,
                    "  ~ desk.address and port: 10.0.0.1:80 -> 10.0.0.9:80\n"
                    "  ~ desk.class: urgent -> ordinary\n"
                    "  ~ desk.limits.queue: 64 -> 9\n"
                    "  ~ reports.depends_on: [desk] -> []\n"
                    "  - clock\n"
                    "  + new\n");
    g_string_truncate(out, 0);
    g_assert_cmpuint(config_diff(from, from, out), ==, 0);
    g_assert_cmpuint(config_diff(NULL, from, out), ==, 3);
    service_config_free(from);
    service_config_free(to);
}
