/**
 * DOC: apply - "swiftarch apply": publishes a service configuration
 *
 * Prints the differences to the published version, the addresses that are
 * retired and the outcome. See apply_core for the decisions.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <argtable2.h>
#include <glib.h>

#include "base/clock.h"
#include "cli/apply_run.h"
#include "cli/cli.h"
#include "cli/load_config.h"
#include "cli/config_diff.h"

#define MSEC_PER_HOUR (3600 * UINT64_C(1000))
#define FORGET_MAX 16
#define HOLD_HOURS_MAX 8760
#define SUMMARY "Publish a service configuration by one conditional write."

/** struct apply_options - parsed command line of "apply" */
struct apply_options {
    struct arg_lit *help;
    struct arg_file *file;
    struct arg_file *settings;
    struct arg_lit *dry_run;
    struct arg_str *expect;
    struct arg_str *as;
    struct arg_int *hold;
    struct arg_str *forget;
    struct arg_end *end;
};

/* Author and time of the published version. */
static void
print_author(const struct apply_run *run, FILE *out)
{
    char *time;

    if (!run->has_current) {
        fprintf(out, "an unnamed author");
        return;
    }
    time = service_config_format_time(run->current.written_ms);
    fprintf(out, "%s at %s", run->current.author, time);
    g_free(time);
}

/* Differences between the published configuration and the new one. */
static void
print_diff(const struct apply_run *run, FILE *out)
{
    struct service_config *published = NULL;
    GString *lines = g_string_new(NULL);
    char *report = NULL;
    const char *value;
    gsize len;

    if (run->current_value != NULL) {
        value = g_bytes_get_data(run->current_value, &len);
        if (service_config_parse_envelope(value, len, run->current_version,
                                          &published, &report) < 0) {
            fprintf(out, "  the published configuration can't be parsed\n");
        }
    }
    if (config_diff(published, run->config, lines) == 0) {
        fprintf(out, "  no service differs\n");
    }
    fputs(lines->str, out);
    g_string_free(lines, TRUE);
    g_free(report);
    service_config_free(published);
}

/* The published version isn't the one given by --expect. */
static void
print_mismatch(const struct apply_run *run)
{
    if (run->end.version == 0) {
        fprintf(stderr,
                "Not applied: nothing is published yet, expected to "
                "replace version %" PRIu64 ".\n",
                run->core.expect);
        return;
    }
    fprintf(stderr,
            "Not applied: found version %" PRIu64
            ", expected to replace %" PRIu64 ". It was written by ",
            run->end.version, run->core.expect);
    print_author(run, stderr);
    fprintf(stderr, ".\nFrom that version to yours:\n");
    print_diff(run, stderr);
}

static void
print_conflict(const struct apply_run *run, const char *what)
{
    fprintf(stderr, "%s", what);
    if (run->end.version == 0) {
        fprintf(stderr, "; the platform does not report the author.\n");
        return;
    }
    fprintf(stderr, ". Version %" PRIu64 " was written by ", run->end.version);
    print_author(run, stderr);
    fprintf(stderr, ".\nFrom that version to yours:\n");
    print_diff(run, stderr);
}

static void
print_error(const struct apply_run *run)
{
    char line[512];

    if (run->error.code != 0) {
        fprintf(stderr, "%s\n", error_format(&run->error, line, sizeof(line)));
    }
}

static void
print_retired(const struct apply_run *run, FILE *out)
{
    char addr[ADDR_TEXT_MAX];

    for (size_t i = 0; i < run->retired_count; i++) {
        const struct service_config_entry *service = &run->retired[i].service;
        char *until = service_config_format_time(run->retired[i].until_ms);

        fprintf(out, "  retired: %s %s of %s, for its open flows until %s\n",
                service_config_proto_name(service->proto),
                addr_format((struct addr){service->ip, service->port}, addr),
                service->name, until);
        g_free(until);
    }
}

static int
report_dry_run(const struct apply_run *run)
{
    printf("dry run: would replace version %" PRIu64 ". Changes:\n",
           run->current_version);
    print_diff(run, stdout);
    print_retired(run, stdout);
    return CLI_OK;
}

static int
report_outcome(const struct apply_run *run)
{
    uint64_t version = run->end.version;

    switch (run->end.outcome) {
    case APPLY_APPLIED:
        printf("applied: version %" PRIu64 "\n", version);
        print_retired(run, stdout);
        return CLI_OK;
    case APPLY_UNCHANGED:
        printf("unchanged: version %" PRIu64
               " already holds this configuration\n",
               version);
        return CLI_OK;
    case APPLY_REPLACED:
        print_conflict(run, "Applied, and replaced since");
        return CLI_OK;
    case APPLY_RACE_LOST:
        if (run->core.writes == 0) {
            print_mismatch(run);
            return CLI_RACE_LOST;
        }
        print_conflict(run, "Not applied: another version was written first");
        return CLI_RACE_LOST;
    case APPLY_NOT_WRITTEN:
        fprintf(stderr,
                "Not applied: the platform did not accept the write.\n");
        print_error(run);
        return CLI_FAILED;
    case APPLY_FORBIDDEN:
        fputs(run->report, stderr);
        fprintf(stderr,
                "Not applied over version %" PRIu64
                ". Wait, choose another address, or end the open flows of "
                "the old\none with --forget \"tcp|udp "
                "ADDRESS:PORT\".\n",
                version);
        return CLI_USAGE;
    case APPLY_UNKNOWN_REPLACED:
        print_conflict(run,
                       "Unknown: the write was replaced or never applied");
        return CLI_UNKNOWN;
    default:
        fprintf(stderr,
                "Unknown: the reply to the write was lost and the "
                "version is not published yet.\nCheck with \"swiftarch "
                "show\", or apply again.\n");
        print_error(run);
        return CLI_UNKNOWN;
    }
}

static int
parse_forget(const char *arg, struct service_config_forget *forget)
{
    if (g_str_has_prefix(arg, "tcp ")) {
        forget->proto = SERVICE_CONFIG_TCP;
    }
    else if (g_str_has_prefix(arg, "udp ")) {
        forget->proto = SERVICE_CONFIG_UDP;
    }
    else {
        return -EINVAL;
    }
    return addr_parse(arg + strlen("tcp "), &forget->addr);
}

/* Reads --hold and --forget: how long retired addresses stay reserved. */
static int
parse_change(const struct apply_options *options,
             struct service_config_forget *forget,
             struct service_config_change *change)
{
    *change = (struct service_config_change){
        .name = options->file->filename[0],
        .hold_ms = SERVICE_CONFIG_RETIRE_HOLD_MS,
        .forget = forget,
    };
    if (options->hold->count > 0) {
        int hours = options->hold->ival[0];

        if (hours < 1 || hours > HOLD_HOURS_MAX) {
            fprintf(stderr, "--hold: found %d, expected 1 to %d hours\n",
                    hours, HOLD_HOURS_MAX);
            return CLI_USAGE;
        }
        change->hold_ms = (uint64_t)hours * MSEC_PER_HOUR;
    }
    for (int i = 0; i < options->forget->count; i++) {
        const char *arg = options->forget->sval[i];

        if (strcmp(arg, "all") == 0) {
            change->forget_all = true;
        }
        else if (parse_forget(arg, &forget[change->forget_count]) == 0) {
            change->forget_count++;
        }
        else {
            fprintf(stderr,
                    "--forget: found \"%s\", expected \"tcp|udp "
                    "ADDRESS:PORT\" or all\n",
                    arg);
            return CLI_USAGE;
        }
    }
    return CLI_OK;
}

static int
publish(const struct apply_options *options, const struct settings *settings,
        const struct service_config *config,
        const struct service_config_change *change, const uint64_t *expect)
{
    struct apply_run run;
    struct error err = {0};
    char line[512];
    const char *author =
        options->as->count > 0 ? options->as->sval[0] : g_get_user_name();
    int code;

    if (apply_run_init(&run, settings->platform, config, author, &err) < 0) {
        fprintf(stderr, "%s\n", error_format(&err, line, sizeof(line)));
        return CLI_FAILED;
    }
    run.object = settings_object(settings);
    run.dry_run = options->dry_run->count > 0;
    run.change = *change;
    apply_run_publish(&run, expect);
    code = run.end.type == APPLY_DO_WRITE ? report_dry_run(&run)
                                          : report_outcome(&run);
    apply_run_finish(&run);
    return code;
}

static int
parse_version(const char *arg, uint64_t *version)
{
    char *end;

    if (!g_ascii_isdigit(arg[0])) {
        return -EINVAL;
    }
    errno = 0;
    *version = g_ascii_strtoull(arg, &end, 10);
    return *end == '\0' && errno == 0 ? 0 : -EINVAL;
}

static int
check_options(const struct apply_options *options, uint64_t *expect)
{
    const char *as = options->as->count > 0 ? options->as->sval[0] : "x";

    if (options->expect->count > 0 &&
        parse_version(options->expect->sval[0], expect) < 0) {
        fprintf(stderr, "--expect: found %s, expected a version number\n",
                options->expect->sval[0]);
        return CLI_USAGE;
    }
    if (as[0] == '\0' || strlen(as) >= SERVICE_CONFIG_AUTHOR_MAX ||
        !g_utf8_validate(as, -1, NULL)) {
        fprintf(stderr, "--as: expected a name of 1 to %d bytes of UTF-8\n",
                SERVICE_CONFIG_AUTHOR_MAX - 1);
        return CLI_USAGE;
    }
    return CLI_OK;
}

static int
apply(const struct apply_options *options)
{
    const char *path = options->file->filename[0];
    struct settings settings;
    struct service_config *config;
    struct service_config_forget forget[FORGET_MAX];
    struct service_config_change change;
    uint64_t expect;
    int code = check_options(options, &expect);

    if (code == CLI_OK) {
        code = parse_change(options, forget, &change);
    }
    if (code == CLI_OK) {
        code = cli_settings(&settings, options->settings->filename[0]);
    }
    if (code != CLI_OK) {
        return code;
    }
    code = load_config(path, &config);
    if (code == CLI_OK) {
        code = publish(options, &settings, config, &change,
                       options->expect->count > 0 ? &expect : NULL);
        service_config_free(config);
    }
    return code;
}

int
cli_apply(int argc, char **argv)
{
    struct apply_options options = {
        .help = arg_lit0("h", "help", "print this"),
        .file = arg_file1(NULL, NULL, "FILE",
                          "service configuration, - for standard input"),
        .settings =
            arg_file1(NULL, "operator", "SETTINGS", "operator settings file"),
        .dry_run = arg_lit0(NULL, "dry-run", "only print what would change"),
        .expect =
            arg_str0(NULL, "expect", "VERSION", "replace this version only"),
        .as = arg_str0(NULL, "as", "NAME",
                       "author of the version; default: the user"),
        .hold = arg_int0(NULL, "hold", "HOURS",
                         "how long an address that a service leaves stays "
                         "reserved\nfor its open flows; default: 24"),
        .forget = arg_strn(NULL, "forget", "WORDS", 0, FORGET_MAX,
                           "end the open flows of \"tcp|udp ADDRESS:PORT\", "
                           "or of all\naddresses that services have left"),
        .end = arg_end(10),
    };
    void *table[] = {options.help,    options.file,   options.settings,
                     options.dry_run, options.expect, options.as,
                     options.hold,    options.forget, options.end};
    int code = CLI_FAILED;

    if (arg_nullcheck(table) != 0) {
        fprintf(stderr, "%s: no memory\n", argv[0]);
    }
    else if (cli_parse(table, options.help, options.end, SUMMARY, argc, argv,
                       &code)) {
        code = apply(&options);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
