/**
 * DOC: examples_test - the settings under examples/ are valid
 *
 * Argument: the folder examples/. session/check.txt checks the service
 * configurations.
 */
#include <glib.h>

#include "base/settings.h"

static const char *examples;

static void
load(const char *site, const char *file, enum settings_role role)
{
    g_autofree char *path = g_build_filename(examples, site, file, NULL);
    struct settings settings;
    struct error err = {0};
    char *report = NULL;

    g_assert_cmpint(settings_load(&settings, role, path, &report, &err), ==,
                    0);
    g_assert_cmpstr(report, ==, NULL);
    g_assert_cmpuint(settings.seed_count, ==, 2);
}

static void
test_settings(gconstpointer site)
{
    load(site, "balancer.json", SETTINGS_BALANCER);
    load(site, "agent.json", SETTINGS_AGENT);
    load(site, "operator.json", SETTINGS_OPERATOR);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_assert_cmpint(argc, ==, 2);
    examples = argv[1];
    g_test_add_data_func("/examples/dar", "dar", test_settings);
    g_test_add_data_func("/examples/perth", "perth", test_settings);
    return g_test_run();
}
