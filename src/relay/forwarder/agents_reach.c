#include "relay/forwarder/agents_private.h"

#include <glib.h>

#include "base/clock.h"

/* Ping intervals of a suspect agent: 100 ms at first, doubling to 2 s. Once it
 * has been silent for long, the interval is 1/8 of its silence, up to 5
 * minutes, which bounds the traffic to hosts that are gone for good. */
#define PING_FIRST_US (100 * USEC_PER_MSEC)
#define PING_SLOW_US (2 * USEC_PER_SEC)
#define PING_SILENCE_DIVISOR 8
#define PING_SLOWEST_US (5 * 60 * USEC_PER_SEC)

/* Ping interval of an agent that takes no new flows, in case its report of a
 * change is lost. */
#define PING_CLOSED_US (500 * USEC_PER_MSEC)

/* Silence after which an agent is unreachable. A planned restart takes some
 * 0.6 s; an agent that reported draining may be in one and gets more time. */
#define SILENT_US (1 * USEC_PER_SEC)
#define SILENT_CLOSED_US (5 * USEC_PER_SEC)

/* How long an agent with an ended endpoint is kept: maximum flow lifetime. */
#define ENDED_RETENTION_US (60 * USEC_PER_SEC)

void
agents_set_ping(struct agents *agents, struct agent_row *row, uint64_t ping_us)
{
    row->ping_us = ping_us;
    if (ping_us != 0 && row->ping_at < 0) {
        row->ping_at = (int)agents->pinged->len;
        g_ptr_array_add(agents->pinged, row);
    }
    else if (ping_us == 0 && row->ping_at >= 0) {
        unsigned at = (unsigned)row->ping_at;

        g_ptr_array_remove_index_fast(agents->pinged, at);
        if (at < agents->pinged->len) {
            struct agent_row *moved = g_ptr_array_index(agents->pinged, at);

            moved->ping_at = (int)at;
        }
        row->ping_at = -1;
    }
}

void
agents_ping_now(struct agents *agents, struct agent_row *row, uint64_t now_us)
{
    row->ping_gap_us = PING_FIRST_US;
    agents_set_ping(agents, row, now_us);
}

/* Marks a row that didn't reply to a frame sent at @sent_us. */
static void
set_suspect(struct agent_row *row, uint64_t sent_us)
{
    if (!row->suspect) {
        row->silent_us = sent_us;
    }
    row->suspect = true;
}

void
agents_clear_suspect(struct agent_row *row)
{
    row->suspect = false;
    row->silent_us = 0;
}

void
agents_mark_alive(struct agents *agents, struct agent_row *row,
                  uint64_t now_us)
{
    bool closed;

    agents_clear_suspect(row);
    row->heard_us = now_us;
    row->ping_gap_us = PING_FIRST_US;
    if ((row->unlisted || row->disputed) && row->ping_us != 0 &&
        row->health.state != ENDPOINT_GONE) {
        /* Keep notifying the agent until the store lists it again. */
        return;
    }
    closed = agents_tier(agents, row) == AGENT_TIER_CLOSED;
    agents_set_ping(agents, row, closed ? now_us + PING_CLOSED_US : 0);
}

void
agents_mark_unanswered(struct agents *agents, struct addr addr,
                       uint64_t sent_us, uint64_t now_us)
{
    struct agent_row *row = agents_find(agents, addr);

    if (row == NULL || row->heard_us > sent_us || row->suspect) {
        return;
    }
    set_suspect(row, sent_us);
    row->ping_gap_us = PING_FIRST_US;
    agents_set_ping(agents, row, now_us);
}

/* Whether an unlisted agent has been silent for so long that its row is
 * removed. */
static bool
is_expired(const struct agent_row *row, uint64_t now_us)
{
    bool ended = row->health.state == ENDPOINT_GONE;

    return !row->listed && row->ping_gap_us >= PING_SLOW_US &&
           (!ended || now_us - row->health_us > ENDED_RETENTION_US);
}

/* Maximum interval before the next ping. */
static uint64_t
max_ping_gap(const struct agent_row *row, uint64_t now_us)
{
    uint64_t silent_us = row->suspect ? now_us - row->silent_us : 0;

    return CLAMP(silent_us / PING_SILENCE_DIVISOR, PING_SLOW_US,
                 PING_SLOWEST_US);
}

bool
agents_ping_due(struct agents *agents, unsigned *left, uint64_t now_us,
                struct addr *addr, bool *unlisted)
{
    /* Removing a row moves the last one, already checked, into its place. */
    for (*left = MIN(*left, agents->pinged->len); *left > 0;) {
        struct agent_row *row = g_ptr_array_index(agents->pinged, --*left);

        if (row->ping_us > now_us) {
            continue;
        }
        if (is_expired(row, now_us)) {
            agents_remove(agents, row);
            continue;
        }
        if (row->pinged_us > row->heard_us) {
            set_suspect(row, row->pinged_us);
        }
        row->pinged_us = now_us;
        row->ping_us = now_us + row->ping_gap_us;
        row->ping_gap_us =
            MIN(2 * row->ping_gap_us, max_ping_gap(row, now_us));
        *addr = row->addr;
        *unlisted = row->unlisted || row->disputed;
        return true;
    }
    return false;
}

uint64_t
agents_next_ping_us(const struct agents *agents)
{
    uint64_t next_us = UINT64_MAX;

    for (guint i = 0; i < agents->pinged->len; i++) {
        const struct agent_row *row = g_ptr_array_index(agents->pinged, i);

        next_us = MIN(next_us, row->ping_us);
    }
    return next_us;
}

bool
agent_is_unreachable(const struct agent_row *row, uint64_t now_us)
{
    bool closed = row->health.state == ENDPOINT_DRAINING;

    return row->suspect &&
           now_us - row->silent_us >= (closed ? SILENT_CLOSED_US : SILENT_US);
}
