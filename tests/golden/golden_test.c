/**
 * DOC: golden_test - sessions played again must give the same transcript
 *
 * Arguments: NAME.session files; NAME.golden beside each holds what it gave.
 * With GOLDEN_UPDATE=1 in the environment the golden files are written anew:
 * read the difference before it is committed.
 */
#include <glib.h>
#include <string.h>

#include "script.h"

#define CONTEXT 3

static char *
read_file(const char *path)
{
    char *text = NULL;
    GError *error = NULL;

    g_file_get_contents(path, &text, NULL, &error);
    g_assert_no_error(error);
    return text;
}

static void
print_lines(char **lines, guint from, guint to, char mark)
{
    for (guint i = from; i < to && i < g_strv_length(lines); i++) {
        g_test_message("%c%s", mark, lines[i]);
    }
}

/* The first difference, with lines around it. */
static void
print_difference(const char *path, const char *want, const char *have)
{
    g_auto(GStrv) old = g_strsplit(want, "\n", -1);
    g_auto(GStrv) new = g_strsplit(have, "\n", -1);
    guint at = 0;

    while (old[at] != NULL && new[at] != NULL &&
           strcmp(old[at], new[at]) == 0) {
        at++;
    }
    g_test_message("--- %s", path);
    g_test_message("+++ played now");
    g_test_message("@@ line %u @@", at + 1);
    print_lines(old, at > CONTEXT ? at - CONTEXT : 0, at, ' ');
    print_lines(old, at, at + CONTEXT, '-');
    print_lines(new, at, at + CONTEXT, '+');
}

static void
test_session(gconstpointer data)
{
    const char *path = data;
    g_autofree char *stem = g_strndup(path, strlen(path) - strlen(".session"));
    g_autofree char *golden = g_strconcat(stem, ".golden", NULL);
    g_autofree char *folder = g_path_get_dirname(path);
    g_autofree char *script = read_file(path);
    g_autofree char *have = script_play(script, folder);

    if (g_strcmp0(g_getenv("GOLDEN_UPDATE"), "1") == 0) {
        GError *error = NULL;

        g_file_set_contents(golden, have, -1, &error);
        g_assert_no_error(error);
    }
    g_autofree char *want = read_file(golden);
    if (strcmp(want, have) != 0) {
        print_difference(golden, want, have);
        g_test_fail();
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_assert_cmpint(argc, >, 1);
    for (int i = 1; i < argc; i++) {
        g_autofree char *name = g_path_get_basename(argv[i]);
        g_autofree char *path = g_strconcat("/golden/", name, NULL);

        g_assert_true(g_str_has_suffix(name, ".session"));
        g_test_add_data_func(path, argv[i], test_session);
    }
    return g_test_run();
}
