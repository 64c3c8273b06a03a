/* Settings of a region with several cells: object and region_seeds. */
#include <errno.h>
#include <glib/gstdio.h>
#include <string.h>

#include "base/settings.h"
#include "lib/harness.h"

#define SUITE "/directory"

static int
load(const char *more, struct settings *settings)
{
    g_autofree char *folder = g_dir_make_tmp("settings-XXXXXX", NULL);
    g_autofree char *file = g_build_filename(folder, "operator.json", NULL);
    g_autofree char *key = g_build_filename(folder, "site.key", NULL);
    char *text =
        g_strdup_printf("{\"platform\": \"http://127.0.0.1:4\", \"seeds\": [],"
                        "\"site_key_file\": \"site.key\"%s}",
                        more);
    struct error err = {0};
    g_autofree char *report = NULL;
    int ret;

    g_assert_true(g_file_set_contents(key, "0123456789abcdef", -1, NULL));
    g_assert_true(g_file_set_contents(file, text, -1, NULL));
    ret = settings_load(settings, SETTINGS_OPERATOR, file, &report, &err);
    g_unlink(file);
    g_unlink(key);
    g_rmdir(folder);
    g_free(text);
    return ret;
}

TEST(keys)
{
    struct settings settings = {0};

    g_assert_cmpstr(settings_object(&settings), ==, "config");
    g_assert_cmpint(load("", &settings), ==, 0);
    g_assert_cmpstr(settings_object(&settings), ==, "config");
    g_assert_cmpuint(settings.region_seed_count, ==, 0);
    g_assert_cmpint(load(", \"object\": \"config-dar\", \"region_seeds\": "
                         "[\"10.0.0.1:1\", \"10.0.0.2:2\"]",
                         &settings),
                    ==, 0);
    g_assert_cmpstr(settings_object(&settings), ==, "config-dar");
    g_assert_cmpuint(settings.region_seed_count, ==, 2);
    g_assert_cmpuint(settings.region_seeds[1].port, ==, 2);
    g_assert_cmpint(load(", \"object\": \"a/b\"", &settings), ==, -EINVAL);
    g_assert_cmpint(load(", \"region_seeds\": [\"10.0.0.1:0\"]", &settings),
                    ==, -EINVAL);
}
