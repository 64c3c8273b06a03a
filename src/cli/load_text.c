#include "cli/load_text.h"

#include <stdio.h>

#include <glib.h>

#include "cli/cli.h"

int
load_text(const char *path, struct text **text)
{
    char *report;
    char *data;
    size_t len;
    int rc;

    if (cli_read_file(path, &data, &len) < 0) {
        return CLI_USAGE;
    }
    rc = text_parse(data, len, path, text, &report);
    if (rc < 0) {
        fputs(report != NULL ? report : "no memory\n", stderr);
    }
    g_free(report);
    g_free(data);
    return rc == 0 ? CLI_OK : CLI_USAGE;
}
