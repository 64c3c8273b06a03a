/**
 * DOC: golden_test - compares transcripts of sessions with golden files
 *
 * Arguments: NAME.session files, each with a NAME.golden file in the same
 * folder. GOLDEN_UPDATE=1 in the environment rewrites the golden files; review
 * the difference before committing it.
 */
#include <glib.h>
#include <string.h>

#include "script.h"

#define CONTEXT_LINES 3

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

/* Prints the first difference with its context. */
static void
print_difference(const char *path, const char *expected, const char *actual)
{
    g_auto(GStrv) old_lines = g_strsplit(expected, "\n", -1);
    g_auto(GStrv) new_lines = g_strsplit(actual, "\n", -1);
    guint at = 0;

    while (old_lines[at] != NULL && new_lines[at] != NULL &&
           strcmp(old_lines[at], new_lines[at]) == 0) {
        at++;
    }
    g_test_message("--- %s", path);
    g_test_message("+++ this run");
    g_test_message("@@ line %u @@", at + 1);
    print_lines(old_lines, at > CONTEXT_LINES ? at - CONTEXT_LINES : 0, at,
                ' ');
    print_lines(old_lines, at, at + CONTEXT_LINES, '-');
    print_lines(new_lines, at, at + CONTEXT_LINES, '+');
}

static void
test_session(gconstpointer data)
{
    const char *path = data;
    g_autofree char *stem = g_strndup(path, strlen(path) - strlen(".session"));
    g_autofree char *golden = g_strconcat(stem, ".golden", NULL);
    g_autofree char *folder = g_path_get_dirname(path);
    g_autofree char *script = read_file(path);
    g_autofree char *actual = script_play(script, folder);

    if (g_strcmp0(g_getenv("GOLDEN_UPDATE"), "1") == 0) {
        GError *error = NULL;

        g_file_set_contents(golden, actual, -1, &error);
        g_assert_no_error(error);
    }
    g_autofree char *expected = read_file(golden);
    if (strcmp(expected, actual) != 0) {
        print_difference(golden, expected, actual);
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
