/**
 * DOC: explain - "swiftarch explain": prints how a packet or a request would
 * be handled
 *
 * The decision is based on the state of a running process or on a service
 * configuration file.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <argtable2.h>
#include <glib.h>

#include "cli/control_query.h"
#include "cli/cli.h"
#include "cli/explain_packet.h"
#include "cli/explain_request.h"
#include "cli/load_config.h"
#include "cli/snapshot.h"

#define SUMMARY                                                               \
    "Explain how a packet or a request would be handled, from the state of "  \
    "a\nprocess of the site (--operator) or from a service configuration "    \
    "file (--text)."

/** struct explain_options - parsed command line of "explain" */
struct explain_options {
    struct arg_lit *help;
    struct arg_file *settings;
    struct arg_file *config;
    struct arg_str *packet;
    struct arg_str *request;
    struct arg_str *key;
    struct arg_str *priority;
    struct arg_str *timeout;
    struct arg_end *end;
};

static const char *
string_of(const struct arg_str *arg)
{
    return arg->count > 0 ? arg->sval[0] : NULL;
}

static int
load_file_snapshot(const char *path, struct snapshot *snapshot)
{
    struct service_config *config;
    int code = load_config(path, &config);

    if (code != CLI_OK) {
        return code;
    }
    return snapshot_of_config(snapshot, config) < 0 ? CLI_FAILED : CLI_OK;
}

static int
load_reply_snapshot(const struct control_query *query,
                    struct snapshot *snapshot)
{
    int rc;

    if (query->config == NULL) {
        fprintf(stderr, "no process of the site answered\n");
        return CLI_NO_ANSWER;
    }
    rc = snapshot_of_reply(snapshot, query->config);
    if (rc == -ENODATA) {
        fprintf(stderr, "%s has no configuration in force yet\n",
                query->config->name);
        return CLI_FAILED;
    }
    if (rc < 0) {
        fprintf(stderr, "the reply of %s can't be parsed\n",
                query->config->name);
        return CLI_FAILED;
    }
    printf("state of %s, version %" PRIu64 "\n", query->config->name,
           query->config->config_version);
    return CLI_OK;
}

static int
load_live(const char *path, struct snapshot *snapshot)
{
    struct settings settings;
    struct error err = {0};
    char line[512];
    struct control_query query;
    int code = cli_settings(&settings, path);

    if (code != CLI_OK) {
        return code;
    }
    if (control_query_init(&query, &settings, &err) < 0) {
        fprintf(stderr, "%s\n", error_format(&err, line, sizeof(line)));
        return CLI_FAILED;
    }
    query.seeds_only = true;
    control_query_run(&query, CONTROL_QUERY_TIMEOUT_MS);
    code = load_reply_snapshot(&query, snapshot);
    control_query_finish(&query);
    return code;
}

static int
print_packet(const struct snapshot *snapshot, const char *arg)
{
    GString *out = g_string_new(NULL);
    struct packet_spec spec;
    int rc;

    if (packet_spec_parse(arg, &spec) < 0) {
        fprintf(stderr,
                "--packet: found \"%s\", expected \"tcp|udp ADDRESS:PORT "
                "ADDRESS:PORT [syn|ack]\"\n",
                arg);
        g_string_free(out, TRUE);
        return CLI_USAGE;
    }
    rc = explain_packet(snapshot, &spec, out);
    fputs(out->str, stdout);
    g_string_free(out, TRUE);
    return rc < 0 ? CLI_FAILED : CLI_OK;
}

static int
print_request(const struct snapshot *snapshot,
              const struct explain_options *options)
{
    char **parts = g_strsplit(options->request->sval[0], " ", -1);
    struct request_spec spec = {
        .key = string_of(options->key),
        .priority = string_of(options->priority),
        .timeout_ms = string_of(options->timeout),
    };
    GString *out = g_string_new(NULL);
    int rc = -EINVAL;

    if (g_strv_length(parts) != 2) {
        fprintf(stderr,
                "--request: found \"%s\", expected \"SERVICE "
                "METHOD\"\n",
                options->request->sval[0]);
    }
    else {
        spec.service = parts[0];
        spec.method = parts[1];
        rc = explain_request(snapshot, &spec, out);
    }
    fputs(out->str, rc < 0 ? stderr : stdout);
    g_string_free(out, TRUE);
    g_strfreev(parts);
    if (rc == -EINVAL || rc == -ENOENT) {
        return CLI_USAGE;
    }
    return rc < 0 ? CLI_FAILED : CLI_OK;
}

static int
explain(const struct explain_options *options)
{
    struct snapshot snapshot = {0};
    int code;

    if (options->settings->count + options->config->count != 1 ||
        options->packet->count + options->request->count != 1) {
        fprintf(stderr, "expected one of --operator and --text, and one of "
                        "--packet and --request\n");
        return CLI_USAGE;
    }
    code = options->config->count > 0
               ? load_file_snapshot(options->config->filename[0], &snapshot)
               : load_live(options->settings->filename[0], &snapshot);
    if (code == CLI_OK) {
        code = options->packet->count > 0
                   ? print_packet(&snapshot, options->packet->sval[0])
                   : print_request(&snapshot, options);
    }
    snapshot_finish(&snapshot);
    return code;
}

int
cli_explain(int argc, char **argv)
{
    struct explain_options options = {
        .help = arg_lit0("h", "help", "print this"),
        .settings = arg_file0(NULL, "operator", "SETTINGS",
                              "operator settings file: query the site"),
        .config =
            arg_file0(NULL, "text", "FILE", "service configuration file"),
        .packet = arg_str0(NULL, "packet", "WORDS",
                           "\"tcp 10.9.0.1:4000 10.0.0.1:80 [syn|ack]\""),
        .request = arg_str0(NULL, "request", "WORDS", "\"SERVICE METHOD\""),
        .key = arg_str0(NULL, "key", "KEY", "Idempotency-Key of the request"),
        .priority = arg_str0(NULL, "priority", "FIELD",
                             "Priority of the request, such as u=5"),
        .timeout =
            arg_str0(NULL, "timeout-ms", "N", "deadline of the request"),
        .end = arg_end(10),
    };
    void *table[] = {options.help,     options.settings, options.config,
                     options.packet,   options.request,  options.key,
                     options.priority, options.timeout,  options.end};
    int code = CLI_FAILED;

    if (arg_nullcheck(table) != 0) {
        fprintf(stderr, "%s: no memory\n", argv[0]);
    }
    else if (cli_parse(table, options.help, options.end, SUMMARY, argc, argv,
                       &code)) {
        code = explain(&options);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
