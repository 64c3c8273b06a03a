#include "cli/format.h"

#include <inttypes.h>

#include <glib.h>

#include "control/view.h"

#define MS_PER_S 1000
#define MS_PER_MIN (60 * MS_PER_S)
#define MS_PER_H (60 * MS_PER_MIN)

const char *
format_role(uint32_t role)
{
    switch (role) {
    case MEMBER_BALANCER:
        return "balancer";
    case MEMBER_AGENT:
        return "agent";
    default:
        return "unknown";
    }
}

const char *
format_state(uint32_t state)
{
    switch (state) {
    case MEMBER_WARMING:
        return "warming";
    case MEMBER_READY:
        return "ready";
    case MEMBER_DRAINING:
        return "draining";
    case MEMBER_LEAVING:
        return "leaving";
    default:
        return "unknown";
    }
}

const char *
format_health(uint32_t health)
{
    switch (health) {
    case MEMBER_ALIVE:
        return "alive";
    case MEMBER_SUSPECT:
        return "suspect";
    case MEMBER_DEAD:
        return "dead";
    default:
        return "unknown";
    }
}

const char *
format_age(uint64_t ms, char *buf)
{
    if (ms == UINT64_MAX) {
        return "never";
    }
    if (ms < MS_PER_MIN) {
        g_snprintf(buf, FORMAT_AGE_MAX, "%" PRIu64 ".%" PRIu64 " s",
                   ms / MS_PER_S, ms % MS_PER_S / 100);
    }
    else if (ms < 2 * MS_PER_H) {
        g_snprintf(buf, FORMAT_AGE_MAX, "%" PRIu64 " min", ms / MS_PER_MIN);
    }
    else {
        g_snprintf(buf, FORMAT_AGE_MAX, "%" PRIu64 " h", ms / MS_PER_H);
    }
    return buf;
}
