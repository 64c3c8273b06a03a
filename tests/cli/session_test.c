/**
 * DOC: session_test - output and exit codes of operator sessions
 *
 * A session file is a transcript. "$ ARGS" runs swiftarch with these
 * arguments; "@operator" is replaced by a settings file for the stand-in
 * platform. The output follows, with times replaced by TIME, then "= CODE".
 * "! MODE COUNT" sets a fault of the stand-in. The test runs the commands and
 * compares the transcript; with SESSION_UPDATE set it rewrites the file.
 */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "cli/cli.h"
#include "standin/platform/server.h"

#define ARGS_MAX 24

/**
 * struct session - one run of a session file
 * @server: stand-in platform
 * @dir: temporary folder of the files below
 * @settings: path of the operator settings
 * @key: path of the site key
 * @capture: path of the captured output
 * @transcript: transcript of this run
 */
struct session {
    struct server server;
    char *dir;
    char *settings;
    char *key;
    char *capture;
    GString *transcript;
};

static const struct cli_command commands[] = {
    {"check", "check a service configuration", cli_check},
    {"apply", "publish a service configuration", cli_apply},
    {"show", "show the configuration in force on each process", cli_show},
    {"explain", "explain how a packet or a request is handled", cli_explain},
};

static void
write_file(const char *path, const char *content)
{
    GError *error = NULL;

    g_file_set_contents(path, content, -1, &error);
    g_assert_no_error(error);
}

static void
session_init(struct session *session)
{
    struct addr any = {.ip = INADDR_LOOPBACK};
    struct error err;
    GError *error = NULL;
    g_autofree char *settings = NULL;

    g_assert_cmpint(server_init(&session->server, any, &err), ==, 0);
    session->dir = g_dir_make_tmp("session-XXXXXX", &error);
    g_assert_no_error(error);
    session->settings = g_build_filename(session->dir, "operator.json", NULL);
    session->key = g_build_filename(session->dir, "site.key", NULL);
    session->capture = g_build_filename(session->dir, "output", NULL);
    session->transcript = g_string_new(NULL);
    settings = g_strdup_printf("{\"platform\":\"http://127.0.0.1:%u\","
                               "\"seeds\":[\"127.0.0.1:1\"],"
                               "\"site_key_file\":\"site.key\"}",
                               server_port(&session->server));
    write_file(session->settings, settings);
    write_file(session->key, "a key for tests only");
}

static void
session_finish(struct session *session)
{
    g_unlink(session->settings);
    g_unlink(session->key);
    g_unlink(session->capture);
    g_assert_cmpint(g_rmdir(session->dir), ==, 0);
    g_free(session->settings);
    g_free(session->key);
    g_free(session->capture);
    g_free(session->dir);
    g_string_free(session->transcript, TRUE);
    server_finish(&session->server);
}

/* Runs a command with its output in the capture file. Returns its exit code.
 */
static int
run_captured(struct session *session, int argc, char **argv)
{
    int saved_stdout = dup(STDOUT_FILENO);
    int saved_stderr = dup(STDERR_FILENO);
    int file = open(session->capture, O_CREAT | O_TRUNC | O_RDWR | O_CLOEXEC,
                    S_IRUSR | S_IWUSR);
    int code;

    g_assert_cmpint(file, >=, 0);
    fflush(stdout);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    code = cli_run(commands, G_N_ELEMENTS(commands), argc, argv);
    fflush(stdout);
    dup2(saved_stdout, STDOUT_FILENO);
    dup2(saved_stderr, STDERR_FILENO);
    close(saved_stdout);
    close(saved_stderr);
    close(file);
    return code;
}

static void
add_output(struct session *session)
{
    g_autoptr(GRegex) time = g_regex_new(
        "\\d{4}-\\d\\d-\\d\\d \\d\\d:\\d\\d:\\d\\d UTC", 0, 0, NULL);
    char *port =
        g_strdup_printf("127.0.0.1:%u", server_port(&session->server));
    g_autofree char *raw = NULL;
    g_autofree char *timeless = NULL;

    g_assert_true(g_file_get_contents(session->capture, &raw, NULL, NULL));
    timeless = g_regex_replace_literal(time, raw, -1, 0, "TIME", 0, NULL);
    g_string_append(session->transcript, timeless);
    g_string_replace(session->transcript, port, "PLATFORM", 0);
    g_free(port);
}

static void
run_command(struct session *session, const char *line)
{
    g_auto(GStrv) args = NULL;
    char *argv[ARGS_MAX + 2] = {(char *)"swiftarch"};
    int argc;
    int code;

    g_assert_true(g_shell_parse_argv(line, &argc, &args, NULL));
    g_assert_cmpint(argc, <=, ARGS_MAX);
    for (int i = 0; i < argc; i++) {
        argv[i + 1] =
            strcmp(args[i], "@operator") == 0 ? session->settings : args[i];
    }
    code = run_captured(session, argc + 1, argv);
    g_string_append_printf(session->transcript, "$ %s\n", line);
    add_output(session);
    g_string_append_printf(session->transcript, "= %d\n", code);
}

static void
set_fault(struct session *session, const char *line)
{
    g_auto(GStrv) fields = g_strsplit(line, " ", 2);
    struct server_fault fault = {0};

    g_assert_cmpuint(g_strv_length(fields), ==, 2);
    g_assert_cmpint(server_parse_mode(fields[0], &fault.mode), ==, 0);
    fault.count = (unsigned)g_ascii_strtoull(fields[1], NULL, 10);
    server_set_fault(&session->server, fault);
    g_string_append_printf(session->transcript, "! %s\n", line);
}

static void
run_session(gconstpointer data)
{
    const char *path = data;
    struct session session;
    g_autofree char *golden = NULL;
    g_auto(GStrv) lines = NULL;

    g_assert_true(g_file_get_contents(path, &golden, NULL, NULL));
    lines = g_strsplit(golden, "\n", -1);
    session_init(&session);
    for (size_t i = 0; lines[i] != NULL; i++) {
        if (g_str_has_prefix(lines[i], "$ ")) {
            run_command(&session, lines[i] + 2);
        }
        else if (g_str_has_prefix(lines[i], "! ")) {
            set_fault(&session, lines[i] + 2);
        }
    }
    if (g_getenv("SESSION_UPDATE") != NULL) {
        write_file(path, session.transcript->str);
    }
    else {
        g_assert_cmpstr(session.transcript->str, ==, golden);
    }
    session_finish(&session);
}

static void
discard_log(const gchar *domain, GLogLevelFlags level, const gchar *message,
            gpointer data)
{
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_log_set_default_handler(discard_log, NULL);
    for (int i = 1; i < argc; i++) {
        g_autofree char *name = g_path_get_basename(argv[i]);
        g_autofree char *path = g_strdup_printf("/session/%s", name);

        g_test_add_data_func(path, argv[i], run_session);
    }
    return g_test_run();
}
