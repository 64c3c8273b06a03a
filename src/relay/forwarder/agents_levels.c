#include "relay/forwarder/agents_private.h"

#include <glib.h>

#include "base/clock.h"

/* Interval of evaluating a service's levels; agents notify of great changes,
 * which are evaluated at once. */
#define EVALUATION_US (100 * USEC_PER_MSEC)

/* Service time while none is known: requests of small sites. */
#define SERVICE_DEFAULT_US (15 * USEC_PER_MSEC)

/* Age of a report from which on an endpoint counts like the median one. Agents
 * notify of changes, but a frame may be lost. */
#define REPORT_MAX_AGE_US (5 * USEC_PER_SEC)

/**
 * struct service_view - a service's endpoints in comparison
 * @evaluated_us: when the levels were last set
 * @median_us: median service time, 0 if unknown
 */
struct service_view {
    uint64_t evaluated_us;
    uint64_t median_us;
};

static bool
is_reporting(const struct agent_row *row, uint64_t now_us)
{
    return row->health.load.known &&
           now_us - row->health_us < REPORT_MAX_AGE_US;
}

static uint64_t
service_us(const struct agent_row *row)
{
    return (uint64_t)row->health.load.service_time *
           FRAME_SERVICE_TIME_UNIT_US;
}

static struct service_view *
view_of(struct agents *agents, uint32_t service)
{
    gpointer key = GUINT_TO_POINTER(service);
    struct service_view *view = g_hash_table_lookup(agents->views, key);

    if (view == NULL) {
        view = g_new0(struct service_view, 1);
        g_hash_table_insert(agents->views, key, view);
    }
    return view;
}

/* Fills a member with a row's report; an old or unknown one is of a well
 * endpoint. */
static struct endpoint_level_member
member_of(struct agent_row *row, uint64_t now_us)
{
    struct endpoint_level_member member = {.level = &row->level, .owner = row};

    if (is_reporting(row, now_us)) {
        member.service_us = service_us(row);
        member.slots = row->health.slots;
        member.stuck = row->health.load.stuck;
        member.rejects = row->health.load.rejects;
    }
    return member;
}

static void
evaluate(struct agents *agents, const GPtrArray *rows,
         struct service_view *view, uint64_t now_us,
         const struct agents_observer *observer)
{
    struct endpoint_level_member *members =
        g_new(struct endpoint_level_member, rows->len);
    unsigned count = 0;

    for (guint i = 0; i < rows->len; i++) {
        struct agent_row *row = g_ptr_array_index(rows, i);

        if (agents_tier(agents, row) != AGENT_TIER_CLOSED) {
            members[count++] = member_of(row, now_us);
        }
    }
    view->evaluated_us = now_us;
    view->median_us = endpoint_level_update(members, count, now_us);
    for (unsigned i = 0; i < count; i++) {
        if (members[i].changed) {
            observer->level_changed(observer->data, members[i].owner,
                                    view->median_us);
        }
    }
    g_free(members);
}

void
agents_update_levels(struct agents *agents, struct addr addr,
                     const struct agents_observer *observer, uint64_t now_us)
{
    struct agent_row *row = agents_find(agents, addr);
    const GPtrArray *rows;
    struct service_view *view;
    bool hangs;

    if (!agents->expected_wait || row == NULL || !row->health.load.known) {
        return;
    }
    rows = agents_of_service(agents, row->health.service);
    view = view_of(agents, row->health.service);
    hangs = 2u * row->health.load.stuck >= MAX(row->health.slots, 1);
    if (now_us - view->evaluated_us >= EVALUATION_US ||
        hangs != (row->level.kind == ENDPOINT_LEVEL_TRIAL)) {
        evaluate(agents, rows, view, now_us, observer);
    }
}

void
agents_add_rtt(struct agents *agents, struct addr addr, uint64_t rtt_us)
{
    const struct agent_row *row = agents_find(agents, addr);

    if (row != NULL) {
        round_trips_add(&agents->round_trips, row->data_centre_key, rtt_us);
    }
}

bool
agents_place_by_wait(const struct agents *agents, uint32_t service)
{
    return agents->expected_wait &&
           g_hash_table_contains(agents->views, GUINT_TO_POINTER(service));
}

uint64_t
agents_expected_wait_us(const struct agents *agents,
                        const struct agent_row *row, bool fresh, bool sent,
                        uint64_t now_us)
{
    const struct service_view *view = g_hash_table_lookup(
        agents->views, GUINT_TO_POINTER(row->health.service));
    struct expected_wait endpoint = {
        .fresh = fresh,
        .requests = row->health.busy,
        .sent = sent ? row->sent : 0,
        .slots =
            row->health.slots != 0 ? row->health.slots : AGENT_SLOTS_DEFAULT,
        .service_us = view != NULL ? view->median_us : 0,
        .failing = row->health.failing,
        .remote = row->data_centre_key != agents->own_data_centre,
    };

    if (endpoint.service_us == 0) {
        endpoint.service_us = SERVICE_DEFAULT_US;
    }
    if (is_reporting(row, now_us)) {
        endpoint.flows = row->health.load.flows + row->opened;
        endpoint.stuck = row->health.load.stuck;
        if (row->health.load.service_time != 0) {
            endpoint.service_us = service_us(row);
        }
    }
    endpoint.extra_rtt_us = round_trips_additional_us(
        &agents->round_trips, agents->own_data_centre, row->data_centre_key);
    return expected_wait_us(&endpoint);
}
