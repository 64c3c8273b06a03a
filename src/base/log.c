#include "base/log.h"

#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#define PROCESS_MAX 64
#define LINE_MAX_LEN 1024
#define DOMAIN_PREFIX "swiftarch-"

/** struct level_name - a level's name in the settings and GLib's flag */
struct level_name {
    const char *name;
    GLogLevelFlags flag;
};

static const struct level_name levels[] = {
    {"error", G_LOG_LEVEL_CRITICAL},  {"warning", G_LOG_LEVEL_WARNING},
    {"message", G_LOG_LEVEL_MESSAGE}, {"info", G_LOG_LEVEL_INFO},
    {"debug", G_LOG_LEVEL_DEBUG},
};

/* Global, as GLib has one log writer for a process. */
static char process_name[PROCESS_MAX];
static GLogLevelFlags max_flag = G_LOG_LEVEL_MESSAGE;
static bool installed;

static const char *
level_text(GLogLevelFlags level)
{
    if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
        return "error";
    for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
        if (level & levels[i].flag)
            return levels[i].name;
    }
    return "message";
}

static const char *
field_text(const GLogField *fields, gsize count, const char *key)
{
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, key) == 0 && fields[i].length < 0)
            return fields[i].value;
    }
    return "";
}

static GLogWriterOutput
write_line(GLogLevelFlags level, const GLogField *fields, gsize count,
           gpointer data)
{
    const char *domain = field_text(fields, count, "GLIB_DOMAIN");
    const char *text = field_text(fields, count, "MESSAGE");
    char line[LINE_MAX_LEN];
    GDateTime *now;
    char *stamp;

    (void)data;
    /* Higher bits of GLib's levels are less severe. */
    if ((level & G_LOG_LEVEL_MASK) > max_flag)
        return G_LOG_WRITER_HANDLED;
    if (g_str_has_prefix(domain, DOMAIN_PREFIX))
        domain += strlen(DOMAIN_PREFIX);
    now = g_date_time_new_now_utc();
    stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
    g_snprintf(line, sizeof(line), "%s %s %s %s: %s", stamp, level_text(level),
               process_name, domain, text);
    /* One call per line, so that lines of threads don't mix. */
    fprintf(stderr, "%s\n", line);
    g_free(stamp);
    g_date_time_unref(now);
    return G_LOG_WRITER_HANDLED;
}

int
log_init(const char *process, const char *level)
{
    for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
        if (strcmp(level, levels[i].name) != 0)
            continue;
        max_flag = levels[i].flag;
        g_strlcpy(process_name, process, sizeof(process_name));
        /* GLib aborts if the writer is set twice. */
        if (!installed)
            g_log_set_writer_func(write_line, NULL, NULL);
        installed = true;
        return 0;
    }
    return -EINVAL;
}
