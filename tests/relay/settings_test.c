/* Settings files: keys that are lost or misread, faults that are not reported
 * with their key, and invalid files that change a running process. */
#include <string.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "lib/harness.h"
#include "base/clock.h"
#include "relay/program/relay_settings.h"
#include "relay/program/settings_file.h"

#define SUITE "/relay/settings"

#define AGENT_KEYS                                                            \
    "\"name\":\"a\",\"data_centre\":\"here\",\"data\":\"10.0.0.1:7000\","     \
    "\"ready\":\"10.0.0.1:7001\",\"upstream\":\"10.0.0.1:80\","               \
    "\"outbound\":\"10.0.0.1:7002\",\"heartbeats\":\"10.0.0.1:7003\","        \
    "\"service\":\"lots\",\"store\":\"10.0.9.1:8000\""

/* Loads settings from @text. Returns the faults, or "", for g_free(). */
static char *
load_faults(const char *text, enum relay_role role,
            struct relay_settings *settings)
{
    char *path = NULL;
    int fd = g_file_open_tmp("settings-XXXXXX", &path, NULL);
    struct error err = {0};
    char *report = NULL;
    int ret;

    g_assert_cmpint(fd, >=, 0);
    g_close(fd, NULL);
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    ret = relay_settings_load(settings, role, path, &report, &err);
    g_assert_cmpint(ret == 0, ==, report == NULL);
    g_unlink(path);
    g_free(path);
    return report != NULL ? report : g_strdup("");
}

static void
expect_fault(const char *text, enum relay_role role, const char *key)
{
    struct relay_settings settings;
    char *faults = load_faults(text, role, &settings);

    g_assert_nonnull(strstr(faults, key));
    g_free(faults);
}

TEST(agent_settings_are_read)
{
    struct relay_settings settings;
    char *faults = load_faults("{" AGENT_KEYS
                               ",\"peers\":[\"10.0.0.9:1\",\"10.0.0.8:2\"],"
                               "\"frames_port\":7720}",
                               RELAY_AGENT, &settings);

    g_assert_cmpstr(faults, ==, "");
    g_free(faults);
    g_assert_cmpuint(settings.callers_port, ==, 7000);
    g_assert_cmpuint(settings.peer_count, ==, 2);
    g_assert_cmpuint(settings.peers[1].port, ==, 7720);
    g_assert_cmpuint(settings.stop_ms, >, 0);
}

TEST(flow_records_are_kept_only_on_request)
{
    struct relay_settings settings;
    char *faults = load_faults("{" AGENT_KEYS "}", RELAY_AGENT, &settings);

    g_assert_cmpstr(faults, ==, "");
    g_assert_false(settings.flow_records);
    g_free(faults);
    faults = load_faults("{" AGENT_KEYS ",\"flow_records\":true}", RELAY_AGENT,
                         &settings);
    g_assert_cmpstr(faults, ==, "");
    g_assert_true(settings.flow_records);
    g_free(faults);
    expect_fault("{" AGENT_KEYS ",\"flow_records\":1}", RELAY_AGENT,
                 "flow_records");
}

TEST(a_changed_file_is_reloaded_and_an_invalid_file_changes_nothing)
{
    struct relay_settings settings;
    struct settings_file file;
    char *path = NULL;
    int fd = g_file_open_tmp("settings-XXXXXX", &path, NULL);
    struct error err = {0};
    char report[256];
    char *faults;

    g_close(fd, NULL);
    g_file_set_contents(path, "{" AGENT_KEYS "}", -1, NULL);
    g_assert_cmpint(
        relay_settings_load(&settings, RELAY_AGENT, path, &faults, &err), ==,
        0);
    settings_file_init(&file, path, RELAY_AGENT, 0);
    g_assert_false(settings_file_changed(&file, 3 * USEC_PER_SEC));
    g_file_set_contents(
        path, "{" AGENT_KEYS ",\"log_per_s\":7,\"peers\":[\"10.0.0.9:1\"]}",
        -1, NULL);
    g_assert_false(settings_file_changed(&file, 4 * USEC_PER_SEC));
    g_assert_true(settings_file_changed(&file, 6 * USEC_PER_SEC));
    g_assert_cmpint(
        settings_file_reload(&file, &settings, report, sizeof(report)), ==, 0);
    g_assert_cmpuint(settings.log_per_s, ==, 7);
    g_assert_cmpuint(settings.peer_count, ==, 1);
    g_assert_false(settings_file_changed(&file, 20 * USEC_PER_SEC));
    g_file_set_contents(path, "{\"log_per_s\":9}", -1, NULL);
    g_assert_true(settings_file_changed(&file, 30 * USEC_PER_SEC));
    g_assert_cmpint(
        settings_file_reload(&file, &settings, report, sizeof(report)), <, 0);
    g_assert_cmpstr(report, !=, "");
    g_assert_cmpuint(settings.log_per_s, ==, 7);
    g_unlink(path);
    g_free(path);
}

TEST(faults_name_the_key)
{
    expect_fault("{" AGENT_KEYS ",\"nonsense\":1}", RELAY_AGENT, "nonsense");
    expect_fault("{" AGENT_KEYS "}", RELAY_BALANCER, "frames");
    expect_fault("{" AGENT_KEYS ",\"log_per_s\":-1}", RELAY_AGENT,
                 "log_per_s");
    expect_fault("{" AGENT_KEYS ",\"peers\":[7]}", RELAY_AGENT, "peers");
    expect_fault("{" AGENT_KEYS ",\"peers\":\"x\"}", RELAY_AGENT, "peers");
    expect_fault("{\"name\":\"a\"}", RELAY_AGENT, "upstream");
}

#define BALANCER_KEYS                                                         \
    "\"name\":\"a\",\"data_centre\":\"here\",\"data\":\"10.0.0.1:7000\","     \
    "\"ready\":\"10.0.0.1:7001\",\"frames\":\"10.0.0.1:7002\","               \
    "\"share\":\"10.0.0.1:7003\",\"store\":\"10.0.9.1:8000\""

TEST(optional_balancer_settings_are_read)
{
    struct relay_settings settings;
    char *faults = load_faults("{" BALANCER_KEYS ",\"warming_over\":1.5,"
                               "\"warming_slack\":5,\"evacuations\":false,"
                               "\"regions\":{\"here\":\"coast\"}}",
                               RELAY_BALANCER, &settings);

    g_assert_cmpstr(faults, ==, "");
    g_free(faults);
    g_assert_cmpfloat(settings.slow_start.over, ==, 1.5);
    g_assert_cmpuint(settings.slow_start.slack, ==, 5);
    g_assert_false(settings.evacuations);
    g_assert_cmpuint(regions_find(&settings.regions, evacuations_key("here")),
                     ==, region_key("coast"));
    faults = load_faults("{" BALANCER_KEYS "}", RELAY_BALANCER, &settings);
    g_assert_cmpstr(faults, ==, "");
    g_free(faults);
    g_assert_true(settings.evacuations);
    g_assert_cmpfloat(settings.slow_start.over, ==, 1);
    g_assert_false(settings.overload);
    g_assert_cmpuint(settings.caller_prefix_bits, ==, 32);
    faults = load_faults("{" BALANCER_KEYS ",\"overload\":true,"
                         "\"caller_prefix_bits\":24}",
                         RELAY_BALANCER, &settings);
    g_assert_cmpstr(faults, ==, "");
    g_free(faults);
    g_assert_true(settings.overload);
    g_assert_cmpuint(settings.caller_prefix_bits, ==, 24);
    expect_fault("{" BALANCER_KEYS ",\"caller_prefix_bits\":33}",
                 RELAY_BALANCER, "caller_prefix_bits");
}

TEST(faults_of_optional_balancer_settings_name_the_key)
{
    expect_fault("{" BALANCER_KEYS ",\"evacuations\":1}", RELAY_BALANCER,
                 "evacuations");
    expect_fault("{" BALANCER_KEYS ",\"regions\":[]}", RELAY_BALANCER,
                 "regions");
    expect_fault("{" BALANCER_KEYS ",\"regions\":{\"here\":1}}",
                 RELAY_BALANCER, "regions");
    expect_fault("{" BALANCER_KEYS ",\"warming_over\":-1}", RELAY_BALANCER,
                 "warming_over");
    expect_fault("{" AGENT_KEYS ",\"evacuations\":true}", RELAY_AGENT,
                 "evacuations");
}
