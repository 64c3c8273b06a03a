#include "base/error.h"

#include <glib.h>
#include <stdarg.h>
#include <string.h>

int
error_set(struct error *err, int code, const char *step, const char *peer,
          const char *fmt, ...)
{
    va_list args;

    if (err == NULL)
        return code;
    err->code = code;
    g_strlcpy(err->step, step, sizeof(err->step));
    g_strlcpy(err->peer, peer != NULL ? peer : "", sizeof(err->peer));
    va_start(args, fmt);
    g_vsnprintf(err->detail, sizeof(err->detail), fmt, args);
    va_end(args);
    return code;
}

const char *
error_format(const struct error *err, char *buf, unsigned size)
{
    if (err->code == 0)
        g_strlcpy(buf, "no error", size);
    else
        g_snprintf(buf, size, "%s%s%s: %s (%s)", err->step,
                   err->peer[0] != '\0' ? " " : "", err->peer, err->detail,
                   g_strerror(-err->code));
    return buf;
}
