#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/httpd.h"
#include "standin/fabric/config.h"
#include "standin/fabric/delay.h"
#include "standin/fabric/fabric.h"
#include "standin/fabric/health.h"
#include "lib/harness.h"
#include "lib/loopback.h"

#define SUITE "/fabric"
#define PACKETS 200
#define LOOP_LIMIT_US (20 * USEC_PER_SEC)

static const char full_config[] =
    "{\"listen\": \"127.0.0.1:0\", \"balancers\": [{\"data\": "
    "\"127.0.0.1:1\", \"http\": \"127.0.0.1:2\", \"delay_us\": 1000}], "
    "\"callers\": [{\"ip\": \"10.9.0.1\", \"to\": \"127.0.0.1:3\"}], "
    "\"seed\": 7, \"client_delay_us\": 500, \"loss\": 0.5, \"reorder\": 1, "
    "\"health_interval_ms\": 50, \"spray\": \"round-robin\", \"cut\": "
    "[\"127.0.0.1:1\"]}";

TEST(config)
{
    struct config config;
    char *report = NULL;

    g_assert_cmpint(config_parse(&config, full_config, "f", &report), ==, 0);
    g_assert_null(report);
    g_assert_cmpuint(config.balancers[0].data.port, ==, 1);
    g_assert_cmpuint(config.balancers[0].http.port, ==, 2);
    g_assert_cmpuint(config.balancers[0].delay_us, ==, 1000);
    g_assert_cmpuint(config.callers[0].ip, ==, 0x0a090001);
    g_assert_cmpuint(config.seed, ==, 7);
    g_assert_cmpfloat(config.loss, ==, 0.5);
    g_assert_cmpfloat(config.reorder, ==, 1);
    g_assert_cmpint(config.spray, ==, SPRAY_ROUND_ROBIN);
    g_assert_cmpuint(config.cut_count, ==, 1);
}

/* Errors name the key, the value and what was expected. */
TEST(config_errors)
{
    const struct {
        const char *text;
        const char *names;
    } cases[] = {
        {"{", "f: "},
        {"[]", "$ is"},
        {"{\"balancers\": []}", "$.listen is missing"},
        {"{\"listen\": \"127.0.0.1:0\"}", "$.balancers is missing"},
        {"{\"listen\": \"x\", \"balancers\": []}", "$.listen is \"x\""},
        {"{\"listen\": \"127.0.0.1:0\", \"balancers\": [{}]}",
         "$.balancers[0].data is missing"},
        {"{\"listen\": \"127.0.0.1:0\", \"balancers\": [], \"loss\": 1.5}",
         "$.loss is 1.5; expected a number 0..1"},
        {"{\"listen\": \"127.0.0.1:0\", \"balancers\": [], \"seed\": -1}",
         "$.seed is -1"},
        {"{\"listen\": \"127.0.0.1:0\", \"balancers\": [], \"x\": 1}",
         "unknown key \"x\""},
        {"{\"listen\": \"127.0.0.1:0\", \"balancers\": [], \"spray\": 3}",
         "$.spray is 3"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct config config;
        g_autofree char *report = NULL;
        g_assert_cmpint(config_parse(&config, cases[i].text, "f", &report), ==,
                        -EINVAL);
        g_assert_nonnull(strstr(report, cases[i].names));
    }
}

static void
expect_packet(struct delay *delay, uint64_t now_us, int number)
{
    g_autofree struct delay_packet *packet = delay_take(delay, now_us);

    if (number < 0) {
        g_assert_null(packet);
        return;
    }
    g_assert_nonnull(packet);
    g_assert_cmpuint(packet->bytes[0], ==, (unsigned)number);
}

static void
put_packet(struct delay *delay, uint8_t number, uint16_t port, uint64_t due_us,
           bool overtaken)
{
    g_assert_cmpint(delay_put(delay, &number, 1, (struct addr){1, port},
                              due_us, overtaken),
                    ==, 0);
}

/* Packets stay in order per destination, unless marked as overtaken. */
TEST(delay)
{
    struct delay *delay = delay_new();

    g_assert_cmpuint(delay_next_us(delay), ==, UINT64_MAX);
    put_packet(delay, 1, 10, 500, false);
    put_packet(delay, 2, 10, 300, false);
    put_packet(delay, 3, 20, 400, false);
    put_packet(delay, 4, 10, 450, true);
    g_assert_cmpuint(delay_next_us(delay), ==, 400);
    expect_packet(delay, 399, -1);
    expect_packet(delay, 1000, 3);
    expect_packet(delay, 1000, 4);
    expect_packet(delay, 1000, 1);
    expect_packet(delay, 1000, 2);
    expect_packet(delay, 1000, -1);

    uint8_t byte = 0;
    for (int i = 0; i < DELAY_PACKETS_MAX; i++)
        put_packet(delay, 0, 10, 1, false);
    g_assert_cmpint(delay_put(delay, &byte, 1, (struct addr){1, 1}, 1, false),
                    ==, -ENOBUFS);
    delay_free(delay);
}

/* One unanswered check keeps a balancer up; two in a row, or a status other
 * than 200, mark it down. */
TEST(health)
{
    static const struct {
        int status;
        bool up;
    } results[] = {{200, true}, {0, true},   {200, true}, {0, true},
                   {0, false},  {200, true}, {503, false}};
    struct event_base *base = event_base_new();
    struct config config;
    char *report = NULL;

    g_assert_cmpint(config_parse(&config, full_config, "f", &report), ==, 0);
    struct health *health = health_new(base, &config);
    g_assert_false(health_is_up(health, 0));
    for (size_t i = 0; i < G_N_ELEMENTS(results); i++) {
        health_note(health, 0, results[i].status);
        g_assert_cmpint(health_is_up(health, 0), ==, results[i].up);
    }
    g_assert_cmpuint(health_changes(health), ==, 4);
    health_free(health);
    event_base_free(base);
}

/** struct balancer - fake balancer: readiness endpoint and packet socket */
struct balancer {
    struct httpd_handler handler;
    struct httpd *httpd;
    int status;
    int fd;
    struct addr data;
};

/** struct fixture - fabric, two balancers and a caller on one event loop */
struct fixture {
    struct event_base *base;
    struct clock clock;
    struct config config;
    struct fabric *fabric;
    struct balancer balancers[2];
    int caller;
    int sender;
};

static int
on_request(struct httpd_handler *handler, struct httpd_request *request)
{
    struct balancer *balancer = (struct balancer *)handler;

    g_assert_cmpstr(httpd_request_path(request), ==, "/ready");
    httpd_respond(request, balancer->status, "text/plain", "", 0);
    return 0;
}

static const struct httpd_ops http_ops = {.on_request = on_request};

static void
fixture_init(struct fixture *fixture)
{
    struct error err;
    struct addr addr;

    fixture->base = event_base_new();
    clock_runtime_init(&fixture->clock);
    fixture->sender = loopback_open(SOCK_DGRAM | SOCK_NONBLOCK, &addr);
    fixture->config.listen = (struct addr){LOOPBACK, 0};
    fixture->config.seed = 1;
    fixture->config.client_delay_us = 1000;
    fixture->config.health_interval_ms = 100;
    fixture->config.balancer_count = 2;
    for (size_t i = 0; i < 2; i++) {
        struct balancer *balancer = &fixture->balancers[i];
        balancer->handler.ops = &http_ops;
        balancer->status = 200;
        balancer->fd =
            loopback_open(SOCK_DGRAM | SOCK_NONBLOCK, &balancer->data);
        balancer->httpd = httpd_new(fixture->base, (struct addr){LOOPBACK, 0},
                                    &balancer->handler, &err);
        fixture->config.balancers[i].data = balancer->data;
        fixture->config.balancers[i].http = httpd_addr(balancer->httpd);
    }
    fixture->config.caller_count = 1;
    fixture->config.callers[0].ip = 0x0a090001;
    fixture->caller = loopback_open(SOCK_DGRAM | SOCK_NONBLOCK,
                                    &fixture->config.callers[0].to);
    fixture->fabric =
        fabric_new(fixture->base, &fixture->config, &fixture->clock, &err);
    g_assert_nonnull(fixture->fabric);
}

static void
fixture_finish(struct fixture *fixture)
{
    fabric_free(fixture->fabric);
    for (size_t i = 0; i < 2; i++) {
        httpd_free(fixture->balancers[i].httpd);
        close(fixture->balancers[i].fd);
    }
    close(fixture->caller);
    close(fixture->sender);
    event_base_free(fixture->base);
}

/* Sends a packet to @ip with @number in its last byte. */
static void
send_numbered(struct fixture *fixture, uint32_t ip, uint8_t number)
{
    uint8_t bytes[25] = {0, 4};
    uint32_t dst = htonl(ip);

    memcpy(bytes + 20, &dst, sizeof(dst));
    bytes[24] = number;
    loopback_send(fixture->sender, fabric_addr(fixture->fabric), bytes,
                  sizeof(bytes));
}

static uint64_t
count_handled(struct fixture *fixture)
{
    struct fabric_counts counts = fabric_counts(fixture->fabric);
    return counts.to_balancers + counts.to_callers + counts.no_balancer +
           counts.cut + counts.lost + counts.malformed;
}

/* Counts the packets received on @fd; their numbers must increase. */
static size_t
count_in_order(int fd)
{
    uint8_t bytes[64];
    int last = -1;
    size_t count = 0;

    while (recv(fd, bytes, sizeof(bytes), 0) == 25) {
        g_assert_cmpint(bytes[24], >, last);
        last = bytes[24];
        count++;
    }
    return count;
}

/* Runs the event loop until @done returns true, for at most LOOP_LIMIT_US. */
static void
run_until(struct fixture *fixture, bool (*done)(struct fixture *fixture))
{
    uint64_t end_us = clock_now_us(&fixture->clock) + LOOP_LIMIT_US;

    while (!done(fixture)) {
        g_assert_cmpuint(clock_now_us(&fixture->clock), <, end_us);
        event_base_loop(fixture->base, EVLOOP_ONCE);
    }
}

static bool
both_up(struct fixture *fixture)
{
    return fabric_counts(fixture->fabric).health_changes == 2;
}

static bool
one_down(struct fixture *fixture)
{
    return fabric_counts(fixture->fabric).health_changes == 3;
}

static bool
all_sent(struct fixture *fixture)
{
    return count_handled(fixture) >= PACKETS && fabric_idle(fixture->fabric);
}

static bool
second_sent(struct fixture *fixture)
{
    return count_handled(fixture) >= (uint64_t)2 * PACKETS &&
           fabric_idle(fixture->fabric);
}

/* Packets are spread over ready balancers only. */
TEST_F(fixture, spray)
{
    run_until(fixture, both_up);
    for (int i = 0; i < PACKETS; i++)
        send_numbered(fixture, i % 2 ? 0x0a090001 : 0x0a640001, (uint8_t)i);
    run_until(fixture, all_sent);
    size_t first = count_in_order(fixture->balancers[0].fd);
    size_t second = count_in_order(fixture->balancers[1].fd);
    g_assert_cmpuint(first, >, PACKETS / 8);
    g_assert_cmpuint(second, >, PACKETS / 8);
    g_assert_cmpuint(first + second, ==, PACKETS / 2);
    g_assert_cmpuint(count_in_order(fixture->caller), ==, PACKETS / 2);

    fixture->balancers[0].status = 503;
    run_until(fixture, one_down);
    for (int i = 0; i < PACKETS; i++)
        send_numbered(fixture, 0x0a640001, (uint8_t)i);
    run_until(fixture, second_sent);
    g_assert_cmpuint(count_in_order(fixture->balancers[0].fd), ==, 0);
    g_assert_cmpuint(count_in_order(fixture->balancers[1].fd), ==, PACKETS);
}

/* A reload applies a cut link without resetting health. */
TEST_F(fixture, reload)
{
    run_until(fixture, both_up);
    fixture->config.cut[0] = fixture->config.callers[0].to;
    fixture->config.cut_count = 1;
    g_assert_cmpint(fabric_reload(fixture->fabric, &fixture->config), ==, 0);
    for (int i = 0; i < PACKETS; i++)
        send_numbered(fixture, 0x0a090001, (uint8_t)i);
    run_until(fixture, all_sent);
    g_assert_cmpuint(fabric_counts(fixture->fabric).cut, ==, PACKETS);
    g_assert_cmpuint(fabric_counts(fixture->fabric).health_changes, ==, 2);
    g_assert_cmpuint(count_in_order(fixture->caller), ==, 0);
}
