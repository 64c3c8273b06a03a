#include <errno.h>
#include <glib.h>
#include <string.h>

#include "standin/fabric/config.h"
#include "standin/fabric/delay.h"
#include "standin/fabric/health.h"

static const char whole[] =
    "{\"listen\": \"127.0.0.1:0\", \"balancers\": [{\"data\": "
    "\"127.0.0.1:1\", \"http\": \"127.0.0.1:2\", \"delay_us\": 1000}], "
    "\"callers\": [{\"ip\": \"10.9.0.1\", \"to\": \"127.0.0.1:3\"}], "
    "\"seed\": 7, \"client_delay_us\": 500, \"loss\": 0.5, \"reorder\": 1, "
    "\"health_interval_ms\": 50, \"spray\": \"round-robin\", \"cut\": "
    "[\"127.0.0.1:1\"]}";

static void
test_config(void)
{
    struct config config;
    char *report = NULL;

    g_assert_cmpint(config_parse(&config, whole, "f", &report), ==, 0);
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

static void
test_config_faults(void)
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
        char *report = NULL;
        g_assert_cmpint(config_parse(&config, cases[i].text, "f", &report), ==,
                        -EINVAL);
        g_assert_nonnull(strstr(report, cases[i].names));
        g_free(report);
    }
}

static void
expect_packet(struct delay *delay, uint64_t now_us, int number)
{
    struct delay_packet *packet = delay_take(delay, now_us);

    if (number < 0) {
        g_assert_null(packet);
        return;
    }
    g_assert_nonnull(packet);
    g_assert_cmpuint(packet->bytes[0], ==, (unsigned)number);
    g_free(packet);
}

static void
put(struct delay *delay, uint8_t number, uint16_t port, uint64_t due_us,
    bool overtaken)
{
    g_assert_cmpint(delay_put(delay, &number, 1, (struct addr){1, port},
                              due_us, overtaken),
                    ==, 0);
}

/* Order is kept for each destination, but not among them. */
static void
test_delay(void)
{
    struct delay *delay = delay_new();

    g_assert_cmpuint(delay_next_us(delay), ==, UINT64_MAX);
    put(delay, 1, 10, 500, false);
    put(delay, 2, 10, 300, false);
    put(delay, 3, 20, 400, false);
    put(delay, 4, 10, 450, true);
    g_assert_cmpuint(delay_next_us(delay), ==, 400);
    expect_packet(delay, 399, -1);
    expect_packet(delay, 1000, 3);
    expect_packet(delay, 1000, 4);
    expect_packet(delay, 1000, 1);
    expect_packet(delay, 1000, 2);
    expect_packet(delay, 1000, -1);

    uint8_t byte = 0;
    for (int i = 0; i < DELAY_PACKETS_MAX; i++)
        put(delay, 0, 10, 1, false);
    g_assert_cmpint(delay_put(delay, &byte, 1, (struct addr){1, 1}, 1, false),
                    ==, -ENOBUFS);
    delay_free(delay);
}

static void
test_health(void)
{
    struct event_base *base = event_base_new();
    struct config config;
    char *report = NULL;

    g_assert_cmpint(config_parse(&config, whole, "f", &report), ==, 0);
    struct health *health = health_new(base, &config);
    g_assert_false(health_is_up(health, 0));
    health_note(health, 0, 200);
    g_assert_true(health_is_up(health, 0));
    health_note(health, 0, 0);
    g_assert_true(health_is_up(health, 0));
    health_note(health, 0, 200);
    health_note(health, 0, 0);
    g_assert_true(health_is_up(health, 0));
    health_note(health, 0, 0);
    g_assert_false(health_is_up(health, 0));
    health_note(health, 0, 200);
    health_note(health, 0, 503);
    g_assert_false(health_is_up(health, 0));
    g_assert_cmpuint(health_changes(health), ==, 4);
    health_free(health);
    event_base_free(base);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/fabric/config", test_config);
    g_test_add_func("/fabric/config-faults", test_config_faults);
    g_test_add_func("/fabric/delay", test_delay);
    g_test_add_func("/fabric/health", test_health);
    return g_test_run();
}
