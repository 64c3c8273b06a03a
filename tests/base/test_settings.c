/**
 * DOC: test_settings - loading of settings files and reports of their faults
 */
#include <errno.h>
#include <glib/gstdio.h>
#include <string.h>

#include "base/settings.h"
#include "lib/harness.h"

#define SUITE "/base/settings"
#define KEY "0123456789abcdef"

/** struct fixture - a directory with a settings file and a key file */
struct fixture {
    char *folder;
    char *file;
    char *key;
    struct settings settings;
    char *report;
    struct error err;
};

static void
fixture_init(struct fixture *fixture)
{
    fixture->folder = g_dir_make_tmp("settings-XXXXXX", NULL);
    fixture->file = g_build_filename(fixture->folder, "agent.json", NULL);
    fixture->key = g_build_filename(fixture->folder, "site.key", NULL);
    g_assert_true(g_file_set_contents(fixture->key, KEY "\n", -1, NULL));
}

static void
fixture_finish(struct fixture *fixture)
{
    g_free(fixture->report);
    g_unlink(fixture->file);
    g_unlink(fixture->key);
    g_rmdir(fixture->folder);
    g_free(fixture->folder);
    g_free(fixture->file);
    g_free(fixture->key);
}

static int
load(struct fixture *fixture, enum settings_role role, const char *text)
{
    g_assert_true(g_file_set_contents(fixture->file, text, -1, NULL));
    g_clear_pointer(&fixture->report, g_free);
    return settings_load(&fixture->settings, role, fixture->file,
                         &fixture->report, &fixture->err);
}

static const char complete[] =
    "{\"name\": \"a1\", \"data_centre\": \"ubungo\", \"cell\": \"c1\",\n"
    "\"data\": \"127.0.0.1:1\", \"control\": \"127.0.0.1:2\",\n"
    "\"http\": \"127.0.0.1:0\", \"platform\": \"http://127.0.0.1:4\",\n"
    "\"seeds\": [\"127.0.0.1:5\", \"127.0.0.2:6\"],\n"
    "\"site_key_file\": \"site.key\", \"fabric\": \"127.0.0.1:7\",\n"
    "\"drain_s\": 12, \"trace_file\": \"\", \"trace_sample\": 10}\n";

TEST_F(fixture, loads_complete_file)
{
    g_assert_cmpint(load(fixture, SETTINGS_AGENT, complete), ==, 0);
    g_assert_null(fixture->report);
    g_assert_cmpstr(fixture->settings.name, ==, "a1");
    g_assert_cmpuint(fixture->settings.data.ip, ==, 0x7f000001);
    g_assert_cmpuint(fixture->settings.fabric.port, ==, 7);
    g_assert_cmpuint(fixture->settings.seed_count, ==, 2);
    g_assert_cmpuint(fixture->settings.seeds[1].port, ==, 6);
    g_assert_cmpmem(fixture->settings.site_key, fixture->settings.site_key_len,
                    KEY, 16);
    g_assert_cmpuint(fixture->settings.drain_s, ==, 12);
    g_assert_cmpuint(fixture->settings.trace_sample, ==, 10);
    g_assert_cmpuint(fixture->settings.workers, ==, 1);
    g_assert_cmpstr(fixture->settings.log_level, ==, "message");
}

TEST_F(fixture, operator_requires_fewer_keys)
{
    const char *few = "{\"platform\": \"http://127.0.0.1:4\", \"seeds\": [],"
                      "\"site_key_file\": \"site.key\"}";

    g_assert_cmpint(load(fixture, SETTINGS_OPERATOR, few), ==, 0);
    g_assert_cmpint(load(fixture, SETTINGS_OPERATOR, complete), ==, 0);
    g_assert_cmpint(load(fixture, SETTINGS_BALANCER, few), ==, -EINVAL);
}

/* One report has all faults, each with its line and the expected value. */
TEST_F(fixture, reports_all_faults)
{
    const char *text = "{\"name\": \"a b\",\n"
                       "\"cell\": 4,\n"
                       "\"data\": \"127.0.0.1\",\n"
                       "\"drain_s\": -1,\n"
                       "\"trace_sample\": 1.5,\n"
                       "\"workers\": 2,\n"
                       "\"colour\": true,\n"
                       "\"platform\": \"ftp://x\",\n"
                       "\"seeds\": [\"127.0.0.1:0\"],\n"
                       "\"log_level\": \"loud\",\n"
                       "\"colour\" : true}";
    static const char *const expected[] = {
        "agent.json:1: key \"name\" is \"a b\"; expected a name",
        "agent.json:2: key \"cell\" is 4; expected a name (string)",
        "agent.json:11: key \"colour\" is given twice",
        "agent.json:3: key \"data\" is \"127.0.0.1\"; expected an address",
        "agent.json:4: key \"drain_s\" is -1; expected a whole number from 0",
        "agent.json:5: key \"trace_sample\" is 1.5; expected a whole number",
        "agent.json:6: key \"workers\" has no meaning for an agent",
        "agent.json:7: key \"colour\" is unknown",
        "agent.json:8: key \"platform\"",
        "agent.json:9: key \"seeds\"",
        "agent.json:10: key \"log_level\" is \"loud\"; expected error",
        "agent.json: key \"data_centre\" is missing",
        "agent.json: key \"control\" is missing",
        "agent.json: key \"site_key_file\" is missing",
        "agent.json: key \"fabric\" is missing",
    };
    unsigned lines = 0;

    g_assert_cmpint(load(fixture, SETTINGS_AGENT, text), ==, -EINVAL);
    for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
        if (strstr(fixture->report, expected[i]) == NULL)
            g_error("\"%s\" isn't in:\n%s", expected[i], fixture->report);
    }
    for (const char *c = fixture->report; *c != '\0'; c++)
        lines += *c == '\n';
    g_assert_cmpuint(lines, ==, G_N_ELEMENTS(expected) + 1); /* and http */
    g_assert_cmpint(fixture->err.code, ==, -EINVAL);
    g_assert_cmpstr(fixture->err.peer, ==, fixture->file);
}

TEST_F(fixture, reports_syntax_errors)
{
    static const struct {
        const char *text;
        const char *line;
    } cases[] = {
        {"{\n\"a\": 1,\n\"b\" 2}", ":3: not JSON"},
        {"{\"a\": 1", ":1: not JSON"},
        {"", ":1: not JSON"},
        {"{}\n{}", ":2: not JSON"},
        {"null", ":1: the file holds no JSON object"},
        {"[1]", ":1: the file holds no JSON object"},
        {"{\"a\": \"x\ny\"", "not JSON"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("%s", cases[i].text);
        g_assert_cmpint(load(fixture, SETTINGS_AGENT, cases[i].text), ==,
                        -EINVAL);
        if (strstr(fixture->report, cases[i].line) == NULL)
            g_error("\"%s\" isn't in:\n%s", cases[i].line, fixture->report);
    }
}

TEST_F(fixture, reports_unreadable_files)
{
    g_assert_cmpint(settings_load(&fixture->settings, SETTINGS_AGENT,
                                  fixture->file, &fixture->report,
                                  &fixture->err),
                    ==, -ENOENT);
    g_assert_null(fixture->report);
    g_assert_cmpint(settings_load(&fixture->settings, SETTINGS_AGENT,
                                  fixture->folder, NULL, &fixture->err),
                    ==, -EISDIR);
    g_assert_true(g_file_set_contents(fixture->key, "short\n", -1, NULL));
    g_assert_cmpint(load(fixture, SETTINGS_AGENT, complete), ==, -EINVAL);
    g_assert_nonnull(
        strstr(fixture->report, "holds 5 bytes; expected 16 to 128"));
    g_unlink(fixture->key);
    g_assert_cmpint(load(fixture, SETTINGS_AGENT, complete), ==, -EINVAL);
    g_assert_nonnull(strstr(fixture->report, ":5: key \"site_key_file\""));
}

/* A corrupted file is either loaded or rejected with a report. */
TEST_F(fixture, random_corruption)
{
    for (int i = 0; i < 500; i++) {
        g_autofree char *text = g_strdup(complete);
        int at = g_test_rand_int_range(0, (int)strlen(text));
        int ret;

        if (g_test_rand_bit())
            text[at] = '\0';
        else
            text[at] = (char)g_test_rand_int_range(1, 256);
        ret = load(fixture, SETTINGS_AGENT, text);
        g_assert_true(ret == 0 || ret == -EINVAL);
        g_assert_true((ret == 0) == (fixture->report == NULL));
    }
}
