/**
 * DOC: program_test - balancer process as a thread, with a fake control thread
 */
#include <glib/gstdio.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "balancer/balancer.h"
#include "base/hash.h"
#include "control/control.h"
#include "packet/gue.h"
#include "route_fixture.h"
#include "lib/harness.h"
#include "lib/loopback.h"
#include "lib/sample.h"

#define SUITE "/program"
#define NAME "balancer-1"

/** struct control - fake that records the calls of the balancer */
struct control {
    const struct settings *settings;
    struct blackboard *blackboard;
    int announced;
    uint64_t dead;
    int stopped;
};

static struct control fake;

struct control *
control_start(const struct settings *settings, struct blackboard *blackboard,
              struct clock *clock, struct counter_table *counters,
              struct error *err)
{
    fake.blackboard = blackboard;
    __atomic_store_n(&fake.settings, settings, __ATOMIC_SEQ_CST);
    return &fake;
}

void
control_report_dead(struct control *control, uint64_t member,
                    uint64_t incarnation)
{
    __atomic_store_n(&control->dead, member, __ATOMIC_SEQ_CST);
}

void
control_announce(struct control *control)
{
    __atomic_add_fetch(&control->announced, 1, __ATOMIC_SEQ_CST);
}

void
control_stop(struct control *control)
{
    control->stopped++;
}

/* Member last reported as dead, or 0 */
static uint64_t
reported_dead(void)
{
    return __atomic_load_n(&fake.dead, __ATOMIC_SEQ_CST);
}

/** struct run - one run of balancer_run() */
struct run {
    char *folder;
    char *path;
    pthread_t thread;
    int exit_code;
};

static void *
run_main(void *data)
{
    struct run *run = data;

    run->exit_code = balancer_run(run->path);
    return NULL;
}

static void
run_start(struct run *run)
{
    char *key =
        g_build_filename(g_get_tmp_dir(), "balancer-test-XXXXXX", NULL);
    int fd = g_mkstemp(key);
    char *text;

    g_assert_cmpint(write(fd, "0123456789abcdef", 16), ==, 16);
    close(fd);
    memset(&fake, 0, sizeof(fake));
    run->folder = key;
    run->path = g_strconcat(key, ".json", NULL);
    text = g_strdup_printf(
        "{\"name\": \"" NAME "\", \"data_centre\": \"msasani\", \"cell\": "
        "\"dar\", \"data\": \"127.0.0.1:0\", \"control\": \"127.0.0.1:0\", "
        "\"http\": \"127.0.0.1:0\", \"platform\": \"http://127.0.0.1:1\", "
        "\"seeds\": [\"127.0.0.1:1\"], \"site_key_file\": \"%s\", "
        "\"workers\": 2}",
        key);
    g_assert_true(g_file_set_contents(run->path, text, -1, NULL));
    g_free(text);
    pthread_create(&run->thread, NULL, run_main, run);
    LOOPBACK_WAIT(__atomic_load_n(&fake.settings, __ATOMIC_SEQ_CST) != NULL);
}

static int
run_finish(struct run *run)
{
    pthread_join(run->thread, NULL);
    g_unlink(run->path);
    g_unlink(run->folder);
    g_free(run->path);
    g_free(run->folder);
    g_assert_cmpint(fake.stopped, ==, 1);
    return run->exit_code;
}

/* Sends GET @path; writes the response to @response, 512 bytes. */
static int
http_get(const char *path, char *response)
{
    struct addr own;
    int fd = loopback_open(SOCK_STREAM, &own);
    struct sockaddr_in sin = addr_to_sockaddr(fake.settings->http);
    g_autofree char *request = g_strdup_printf(
        "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", path);
    size_t received = 0;
    ssize_t n;

    g_assert_cmpint(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), ==, 0);
    g_assert_cmpint(send(fd, request, strlen(request), 0), ==,
                    (ssize_t)strlen(request));
    while (received < 511 &&
           (n = recv(fd, response + received, 511 - received, 0)) > 0)
        received += (size_t)n;
    response[received] = '\0';
    close(fd);
    g_assert_true(g_str_has_prefix(response, "HTTP/1.1 "));
    return (int)g_ascii_strtoll(response + 9, NULL, 10);
}

static void
wait_ready(int status)
{
    char response[512];

    LOOPBACK_WAIT(http_get("/ready", response) == status);
}

static bool
has_metric(const char *line)
{
    char response[512];

    g_assert_cmpint(http_get("/metrics", response), ==, 200);
    return strstr(response, line) != NULL;
}

/* Publishes a view of the balancer and one agent of lots at @data. */
static void
publish_view(uint64_t seq, struct addr data)
{
    struct view *view = route_fixture_view(2, "lots");

    view->seq = seq;
    for (size_t i = 0; i < 2; i++) {
        struct view_member *member = &view->members[i];
        member->since_us = 0;
        if (i == 0) {
            member->id = hash_name(NAME);
            member->role = MEMBER_BALANCER;
            member->service = 0;
        }
        else
            member->data = data;
    }
    sample_sort(view);
    blackboard_publish_view(fake.blackboard, view);
}

static void
send_packet(int fd)
{
    uint8_t bytes[256];
    size_t len = gue_encode(NULL, bytes);

    len += route_fixture_tcp(bytes + len, ROUTE_FIXTURE_LOTS_IP, 1,
                             PACKET_TCP_ACK, "");
    loopback_send(fd, fake.settings->data, bytes, len);
}

static void
expect_packet(int endpoint)
{
    uint8_t bytes[256];
    struct gue gue;
    ssize_t n = recv(endpoint, bytes, sizeof(bytes), 0);

    g_assert_cmpint(n, >, 0);
    g_assert_cmpint(gue_decode(bytes, (size_t)n, &gue), >, 0);
    g_assert_cmpuint(gue.service, ==, hash_service("lots"));
}

/* A planned stop fails /ready, announces it and forwards until idle. */
TEST(planned_stop)
{
    struct run run;
    struct addr data, other;
    int endpoint = loopback_open(SOCK_DGRAM, &data);
    int caller = loopback_open(SOCK_DGRAM, &other);
    char response[512];

    run_start(&run);
    g_assert_cmpint(http_get("/ready", response), ==, 503);
    publish_view(1, data);
    g_assert_cmpint(http_get("/ready", response), ==, 503);
    g_assert_true(
        blackboard_publish_config(fake.blackboard, route_fixture_text(), 0));
    wait_ready(200);
    send_packet(caller);
    expect_packet(endpoint);
    /* A worker updates the counters after sending. */
    LOOPBACK_WAIT(has_metric("swiftarch_packets_received_total 1\n"));
    g_assert_cmpint(http_get("/other", response), ==, 404);

    kill(getpid(), SIGTERM);
    wait_ready(503);
    g_assert_cmpint(blackboard_local(fake.blackboard, NULL).state, ==,
                    MEMBER_LEAVING);
    g_assert_cmpint(__atomic_load_n(&fake.announced, __ATOMIC_SEQ_CST), ==,
                    2); /* ready, leaving */
    for (int i = 0; i < 10; i++) {
        send_packet(caller);
        expect_packet(endpoint);
    }
    g_assert_cmpint(run_finish(&run), ==, 0);
    close(endpoint);
    close(caller);
}

/* A refusal is reported; a second signal stops the process at once. */
TEST(second_signal)
{
    struct run run;
    struct addr data, other;
    int endpoint = loopback_open(SOCK_DGRAM, &data);
    int caller = loopback_open(SOCK_DGRAM, &other);

    run_start(&run);
    publish_view(1, data);
    g_assert_true(
        blackboard_publish_config(fake.blackboard, route_fixture_text(), 0));
    wait_ready(200);

    close(endpoint); /* refusals are reported to the control thread */
    LOOPBACK_WAIT((send_packet(caller), reported_dead() != 0));
    g_assert_cmpuint(reported_dead(), !=, 0);
    g_assert_cmpuint(reported_dead(), !=, hash_name(NAME));

    kill(getpid(), SIGTERM);
    wait_ready(503);
    kill(getpid(), SIGTERM);
    g_assert_cmpint(run_finish(&run), ==, 1);
    close(caller);
}

TEST(invalid_settings)
{
    g_assert_cmpint(balancer_run("/nonexistent/settings.json"), ==, 2);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    /* The second signal logs a warning, which must not be fatal. */
    g_log_set_always_fatal(G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL);
    return harness_run();
}
