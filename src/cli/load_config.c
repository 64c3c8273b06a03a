#include "cli/load_config.h"

#include <stdio.h>

#include <glib.h>

#include "cli/cli.h"

int
load_config(const char *path, struct service_config **config)
{
    char *report;
    char *data;
    size_t len;
    int rc;

    if (cli_read_file(path, &data, &len) < 0) {
        return CLI_USAGE;
    }
    rc = service_config_parse(data, len, path, config, &report);
    if (rc < 0) {
        fputs(report != NULL ? report : "no memory\n", stderr);
    }
    g_free(report);
    g_free(data);
    return rc == 0 ? CLI_OK : CLI_USAGE;
}
