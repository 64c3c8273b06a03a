/**
 * DOC: show_test - output of "show" with processes that answer and that don't,
 * and exit codes of all commands
 */
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <json-c/json.h>

#include "base/hash.h"
#include "cli/control_query.h"
#include "cli/cli.h"
#include "cli/show_print.h"
#include "control/view.h"
#include "standin/platform/server.h"
#include "lib/harness.h"

#define SUITE "/show"
#define KEY "sixteen bytes of key"
#define CONFIG_SOURCE                                                         \
    "{\"services\":[{\"name\":\"desk\",\"address\":\"10.0.0.1\","             \
    "\"port\":80,\"class\":\"urgent\"}]}"
#define ENVELOPE                                                              \
    "{\"retired\":[{\"name\":\"desk\",\"address\":\"10.0.0.7\","              \
    "\"port\":80,\"class\":\"urgent\",\"until_ms\":1700000000000}],"          \
    "\"text\":" CONFIG_SOURCE "}"
#define STOP_CHECK_US 5000
#define FRAME_REQUEST 0x110
#define FRAME_REPLY 0x111

/**
 * struct fake - a fake process in a thread of its own, and an operator
 * @handler: callbacks of @hub; first member
 * @base: event loop of the thread
 * @auth: keys of @hub
 * @hub: control connections of the process "entry"
 * @closed: control address of a second member, "silent"; none if 0
 * @version: config version of "entry"
 * @thread: thread of "entry"
 * @stop: set to end the thread
 * @settings: operator settings with "entry" as seed
 * @totals: totals of the last query
 * @output: output of the last query
 */
struct fake {
    struct link_handler handler;
    struct event_base *base;
    struct auth auth;
    struct link_hub hub;
    struct addr closed;
    uint64_t version;
    GThread *thread;
    gint stop;
    struct settings settings;
    struct show_totals totals;
    char *output;
};

static void
fill_member(Swiftarch__ShowMember *member, const char *name,
            struct addr control, uint32_t role)
{
    swiftarch__show_member__init(member);
    member->name = (char *)name;
    member->data_centre = "cbd";
    member->id = hash_name(name);
    member->incarnation = 1;
    member->role = role;
    member->control_ip = control.ip;
    member->control_port = control.port;
    member->service = role == MEMBER_AGENT ? hash_service("desk") : 0;
    member->config_version = 3;
}

static void
fill_reply(Swiftarch__ShowReply *reply, const struct fake *fake)
{
    reply->name = "entry";
    reply->data_centre = "cbd";
    reply->role = MEMBER_BALANCER;
    reply->state = MEMBER_READY;
    reply->config_version = fake->version;
    reply->in_force_ms = 1500;
    reply->heard_ms = 250;
    reply->platform_ok_ms = UINT64_MAX;
    reply->counters = "a_total 1\n";
    reply->config.data = (uint8_t *)ENVELOPE;
    reply->config.len = strlen(ENVELOPE);
}

static void
on_frame(struct link_handler *handler, struct link_conn *conn, uint64_t sender,
         uint16_t type, const uint8_t *body, size_t len)
{
    struct fake *fake = (struct fake *)handler;
    Swiftarch__ShowReply reply = SWIFTARCH__SHOW_REPLY__INIT;
    Swiftarch__ShowMember members[2];
    Swiftarch__ShowMember *pointers[] = {&members[0], &members[1]};
    uint8_t packed[2048];

    g_assert_cmpuint(type, ==, FRAME_REQUEST);
    fill_reply(&reply, fake);
    fill_member(&members[0], "entry", link_hub_addr(&fake->hub),
                MEMBER_BALANCER);
    fill_member(&members[1], "silent", fake->closed, MEMBER_AGENT);
    reply.n_members = fake->closed.port != 0 ? 2 : 1;
    reply.members = pointers;
    g_assert_cmpuint(swiftarch__show_reply__get_packed_size(&reply), <,
                     sizeof(packed));
    len = swiftarch__show_reply__pack(&reply, packed);
    g_assert_cmpint(link_reply(&fake->hub, conn, FRAME_REPLY, packed, len), ==,
                    0);
}

static void
on_disconnect(struct link_handler *handler, struct link_conn *conn,
              struct addr peer, int reason)
{
}

static const struct link_ops fake_ops = {on_frame, on_disconnect};

static gpointer
run_fake(gpointer data)
{
    const struct timeval wait = {.tv_usec = STOP_CHECK_US};
    struct fake *fake = data;

    while (!g_atomic_int_get(&fake->stop)) {
        event_base_loopexit(fake->base, &wait);
        event_base_dispatch(fake->base);
    }
    return NULL;
}

static void
seed_with(struct fake *fake, struct addr seed, const char *key)
{
    fake->settings.seeds[0] = seed;
    fake->settings.site_key_len = strlen(key);
    memcpy(fake->settings.site_key, key, strlen(key));
}

static void
fake_init(struct fake *fake, struct addr closed)
{
    struct addr any = {.ip = INADDR_LOOPBACK};
    struct error err;

    *fake = (struct fake){
        .handler.ops = &fake_ops,
        .base = event_base_new(),
        .closed = closed,
        .version = 3,
        .settings = {.role = SETTINGS_OPERATOR, .seed_count = 1},
    };
    g_assert_cmpint(auth_init(&fake->auth, (const uint8_t *)KEY, strlen(KEY),
                              hash_name("entry"),
                              (uint64_t)g_get_real_time() / 1000),
                    ==, 0);
    g_assert_cmpint(link_hub_init(&fake->hub, fake->base, &fake->auth,
                                  &fake->handler, any, &err),
                    ==, 0);
    seed_with(fake, link_hub_addr(&fake->hub), KEY);
    g_strlcpy(fake->settings.platform, "http://127.0.0.1:1",
              sizeof(fake->settings.platform));
    fake->thread = g_thread_new("fake", run_fake, fake);
}

static void
fake_finish(struct fake *fake)
{
    g_atomic_int_set(&fake->stop, 1);
    g_thread_join(fake->thread);
    link_hub_finish(&fake->hub);
    auth_finish(&fake->auth);
    event_base_free(fake->base);
    g_free(fake->output);
}

static void
show(struct fake *fake, bool json)
{
    GString *out = g_string_new(NULL);
    struct error err;
    struct control_query query;

    g_assert_cmpint(control_query_init(&query, &fake->settings, &err), ==, 0);
    query.counters = true;
    control_query_run(&query, 1000);
    show_sort(&query);
    fake->totals = show_totals(&query);
    if (json) {
        show_print_json(&query, out);
    }
    else {
        show_print_table(&query, out);
        show_print_counters(&query, out);
    }
    control_query_finish(&query);
    fake->output = g_string_free(out, FALSE);
}

#define NOWHERE ((struct addr){0})

/* No server listens on this port (tcpmux). */
#define CLOSED ((struct addr){INADDR_LOOPBACK, 1})

TEST_F(fake, all_answer, NOWHERE)
{
    static const char *const parts[] = {
        "version 3 in force since ",
        "(1.5 s), confirmed 0.2 s ago",
        "# entry\na_total 1\n",
        "platform: did not answer",
        ("retired: tcp 10.0.0.7:80 of desk, for its open flows until "
         "2023-11-14 22:13:20 UTC\n"),
        "1 of 1 processes answered",
    };

    show(fake, false);
    g_assert_cmpuint(fake->totals.processes, ==, 1);
    g_assert_cmpuint(fake->totals.answered, ==, 1);
    g_assert_cmpuint(fake->totals.versions, ==, 1);
    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        g_assert_nonnull(strstr(fake->output, parts[i]));
    }
}

TEST_F(fake, one_member_without_answer, CLOSED)
{
    show(fake, false);
    g_assert_cmpuint(fake->totals.processes, ==, 2);
    g_assert_cmpuint(fake->totals.answered, ==, 1);
    g_assert_nonnull(strstr(fake->output,
                            "DID NOT ANSWER (Connection refused), other "
                            "processes report it alive with version 3"));
}

static struct json_object *
value_of(struct json_object *object, const char *key)
{
    struct json_object *value = NULL;

    g_assert_true(json_object_object_get_ex(object, key, &value));
    return value;
}

TEST_F(fake, json, CLOSED)
{
    struct json_object *list;

    show(fake, true);
    struct json_object *root = json_tokener_parse(fake->output);
    list = value_of(root, "processes");
    g_assert_cmpuint(json_object_array_length(list), ==, 2);
    g_assert_cmpint(json_object_get_int64(value_of(
                        json_object_array_get_idx(list, 0), "config_version")),
                    ==, 3);
    g_assert_cmpstr(json_object_get_string(value_of(
                        json_object_array_get_idx(list, 1), "service")),
                    ==, "desk");
    g_assert_cmpstr(json_object_to_json_string_ext(value_of(root, "retired"),
                                                   JSON_C_TO_STRING_PLAIN),
                    ==,
                    "[{\"service\":\"desk\",\"protocol\":\"tcp\","
                    "\"address\":\"10.0.0.7:80\","
                    "\"until_ms\":1700000000000}]");
    g_assert_cmpint(json_object_get_int64(value_of(root, "answered")), ==, 1);
    json_object_put(root);
}

/* Replies are rejected if the site keys differ. */
TEST_F(fake, wrong_key, NOWHERE)
{
    seed_with(fake, fake->settings.seeds[0], "sixteen bytes and more");
    show(fake, false);
    g_assert_cmpuint(fake->totals.answered, ==, 0);
    g_assert_nonnull(strstr(fake->output, "seed 127.0.0.1:"));
}

/* If no seed answers, the seed list of the cell is read from the platform. */
TEST_F(fake, cell_seeds_of_platform, NOWHERE)
{
    struct addr any = {.ip = INADDR_LOOPBACK};
    struct server server;
    struct error err;
    uint64_t version;
    char addr[ADDR_TEXT_MAX];

    g_assert_cmpint(server_init(&server, any, &err), ==, 0);
    seed_with(fake, CLOSED, KEY);
    g_strlcpy(fake->settings.cell, "perth", sizeof(fake->settings.cell));
    g_snprintf(fake->settings.platform, sizeof(fake->settings.platform),
               "http://127.0.0.1:%u", server_port(&server));
    char *list =
        g_strdup_printf("{\"members\":[{\"name\":\"entry\",\"control\":\"%s\","
                        "\"incarnation\":1}]}",
                        addr_format(link_hub_addr(&fake->hub), addr));
    g_autoptr(GBytes) value = g_bytes_new_take(list, strlen(list));
    g_assert_cmpint(store_put(&server.store, "cell-perth", 0, value, &version),
                    ==, 0);
    show(fake, false);
    g_assert_cmpuint(fake->totals.answered, ==, 1);
    g_assert_nonnull(
        strstr(fake->output, "platform: nothing is published yet"));
    server_finish(&server);
}

/* Runs a command with its output discarded: stdout carries the TAP report. */
static int
run_quietly(const struct cli_command *commands, size_t count, int argc,
            char **argv)
{
    int saved = dup(STDOUT_FILENO);
    int null = open("/dev/null", O_WRONLY | O_CLOEXEC);
    int code;

    g_assert_cmpint(saved, >=, 0);
    g_assert_cmpint(null, >=, 0);
    fflush(stdout);
    dup2(null, STDOUT_FILENO);
    code = cli_run(commands, count, argc, argv);
    fflush(stdout);
    dup2(saved, STDOUT_FILENO);
    close(null);
    close(saved);
    return code;
}

static int
run_with(const char *const *args, size_t count)
{
    static const struct cli_command commands[] = {
        {"check", "", cli_check},
        {"apply", "", cli_apply},
        {"show", "", cli_show},
        {"explain", "", cli_explain},
    };
    char *argv[16] = {NULL};

    for (size_t i = 0; i < count; i++) {
        argv[i] = (char *)args[i];
    }
    return run_quietly(commands, G_N_ELEMENTS(commands), (int)count, argv);
}

#define CODE(...)                                                             \
    run_with((const char *const[]){"swiftarch", __VA_ARGS__},                 \
             G_N_ELEMENTS(((const char *const[]){"swiftarch", __VA_ARGS__})))

TEST(exit_codes)
{
    GError *error = NULL;
    g_autofree char *path = NULL;
    int fd = g_file_open_tmp("text-XXXXXX", &path, &error);

    g_assert_cmpint(fd, >=, 0);
    g_assert_cmpint(write(fd, CONFIG_SOURCE, strlen(CONFIG_SOURCE)), ==,
                    strlen(CONFIG_SOURCE));
    close(fd);
    g_assert_cmpint(run_with((const char *const[]){"swiftarch"}, 1), ==,
                    CLI_USAGE);
    g_assert_cmpint(CODE("--help"), ==, CLI_OK);
    g_assert_cmpint(CODE("--version"), ==, CLI_OK);
    g_assert_cmpint(CODE("nothing"), ==, CLI_USAGE);
    g_assert_cmpint(CODE("check"), ==, CLI_USAGE);
    g_assert_cmpint(CODE("check", "--help"), ==, CLI_OK);
    g_assert_cmpint(CODE("check", path), ==, CLI_OK);
    g_assert_cmpint(CODE("check", "/nonexistent/text"), ==, CLI_USAGE);
    g_assert_cmpint(CODE("check", "/dev/zero"), ==, CLI_USAGE);
    g_assert_cmpint(CODE("apply", path), ==, CLI_USAGE);
    g_assert_cmpint(CODE("apply", path, "--operator", path), ==, CLI_USAGE);
    g_assert_cmpint(CODE("show", "--operator", path), ==, CLI_USAGE);
    g_assert_cmpint(CODE("explain", "--text", path), ==, CLI_USAGE);
    g_assert_cmpint(CODE("explain", "--text", path, "--request", "desk GET"),
                    ==, CLI_OK);
    g_assert_cmpint(CODE("explain", "--text", path, "--request", "x GET"), ==,
                    CLI_USAGE);
    g_assert_cmpint(unlink(path), ==, 0);
}
