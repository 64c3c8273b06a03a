#include "relay/forwarder/forwarder_private.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

/* A flow is queried for only after its lookup has had time for a few hops of 1
 * ms. */
#define QUERY_AFTER_US (6 * USEC_PER_MSEC)

/* Timeout for the replies of agents and store together. */
#define REPLY_TIMEOUT_US (60 * USEC_PER_MSEC)

/* Timeout for optional replies, when all required ones have arrived. */
#define SILENT_REPLY_TIMEOUT_US (15 * USEC_PER_MSEC)

/* A tick later than this shows that the balancer itself was delayed: replies
 * may be unread, and the timeout for optional replies starts again. */
#define TICK_LATE_US (20 * USEC_PER_MSEC)

/* Minimum interval between two queries, which bounds them to 1,000 query
 * frames and as many replies per second. It doubles after each query that
 * proved nothing, up to GAP_GROWTH_MAX times. */
#define GAP_MIN_US (20 * USEC_PER_MSEC)
#define GAP_PER_AGENT_US (1 * USEC_PER_MSEC)
#define GAP_GROWTH_MAX 8

/* How long after a caller's last packet its flow is queried for: callers
 * retransmit after 0.2, 0.6 and 1.4 s. */
#define CALLER_TIMEOUT_US (1500 * USEC_PER_MSEC)

/* Pin of a flow, or NULL when it was removed. */
static struct forwarder_pin *
pin_of(const struct forwarder *forwarder, const struct forwarder_orphan *flow)
{
    if (flow_index_find(&forwarder->flows, flow->flow) != flow->handle) {
        return NULL;
    }
    return &forwarder->pins[flow->handle];
}

/* Rows of the agents of the last query; NULL for none. */
static const GPtrArray *
queried_rows(const struct forwarder *forwarder)
{
    uint32_t service = forwarder->orphaned.query.service;

    return service == FORWARDER_ANY_SERVICE
               ? forwarder->agents.rows
               : agents_of_service(&forwarder->agents, service);
}

/* Whether a flow still needs its holder found or its end proven. */
static bool
needs_proof(const struct forwarder_pin *pin, uint64_t now_us)
{
    return pin != NULL && pin->opened && pin->acceptor_count == 0 &&
           pin->proved_us == 0 && now_us - pin->sent_us < CALLER_TIMEOUT_US;
}

static void
drop_resolved(struct forwarder *forwarder, uint64_t now_us)
{
    struct forwarder_orphans *orphaned = &forwarder->orphaned;
    unsigned kept = 0;

    for (unsigned i = 0; i < orphaned->count; i++) {
        struct forwarder_pin *pin = pin_of(forwarder, &orphaned->flows[i]);

        if (needs_proof(pin, now_us)) {
            orphaned->flows[kept++] = orphaned->flows[i];
        }
        else if (pin != NULL) {
            pin->orphaned = false;
        }
    }
    orphaned->count = kept;
}

/* Fills the query with up to FRAME_QUERY_MAX flows that the same agents may
 * hold, and moves these to the end of the list. */
static void
take_flows(struct forwarder *forwarder, uint64_t now_us)
{
    struct forwarder_orphans *orphaned = &forwarder->orphaned;
    struct orphan_query *query = &orphaned->query;
    struct forwarder_orphan rest[FORWARDER_ORPHANS_MAX];
    unsigned rest_count = 0;

    query->count = 0;
    for (unsigned i = 0; i < orphaned->count; i++) {
        const struct forwarder_orphan *flow = &orphaned->flows[i];
        uint32_t service = FORWARDER_ANY_SERVICE;
        bool due =
            now_us - flow->since_us >= QUERY_AFTER_US &&
            query->count < FRAME_QUERY_MAX &&
            forwarder_find_holders(forwarder, flow->flow, now_us, &service) &&
            (query->count == 0 || service == query->service);

        if (due) {
            query->service = service;
            query->flows[query->count++] = *flow;
        }
        else {
            rest[rest_count++] = *flow;
        }
    }
    memcpy(orphaned->flows, rest, rest_count * sizeof(rest[0]));
    memcpy(orphaned->flows + rest_count, query->flows,
           query->count * sizeof(rest[0]));
}

static void
query_all(struct forwarder *forwarder, uint64_t now_us)
{
    struct orphan_query *query = &forwarder->orphaned.query;
    const GPtrArray *rows = queried_rows(forwarder);
    struct frame_query frame = {
        .query = query->number,
        .view = forwarder_store_view(forwarder),
        .count = (uint8_t)query->count,
    };

    for (unsigned i = 0; i < query->count; i++) {
        frame.flows[i] = query->flows[i].flow;
    }
    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        struct agent_row *row = g_ptr_array_index(rows, i);

        if (row->health.state == ENDPOINT_GONE) {
            continue;
        }
        /* Unreachable agents are queried too, in case the balancer itself was
         * slow. An agent that last reported its endpoint's process down is
         * likely on a host being removed: its reply is optional at once. Ten
         * of them, waited for a second each, cost a tenth of the requests of
         * two seconds after a loss of all hosts. */
        row->reply_optional = row->down || agent_is_unreachable(row, now_us);
        row->inconclusive = row->reply_optional;
        query->unreachable += row->reply_optional;
        query->queried += !row->reply_optional;
        row->queried = query->number;
        query->queries++;
        forwarder->out->ops->query(forwarder->out, row->addr, &frame);
    }
    query->missing = query->queried;
}

static void
start_query(struct forwarder *forwarder, uint64_t now_us)
{
    struct orphan_query *query = &forwarder->orphaned.query;
    uint32_t number = query->number + 1;

    take_flows(forwarder, now_us);
    if (query->count == 0) {
        /* No flow can be queried for, or none is due yet. */
        forwarder->orphaned.next_us = now_us + GAP_MIN_US;
        return;
    }
    query->number = number;
    query->open = true;
    query->confirmed = false;
    query->started_us = now_us;
    query->additions = forwarder->agents.additions;
    query->queried = 0;
    query->unreachable = 0;
    query->queries = 0;
    query->replies = 0;
    query->store_queried = false;
    query->due_us = now_us + SILENT_REPLY_TIMEOUT_US;
    memset(query->absent, 0xff, sizeof(query->absent));
    query_all(forwarder, now_us);
}

/* Excludes agents that replied with certainty from further lookups of the
 * query's flows. Agents that didn't reply aren't excluded. */
static void
mark_denied(struct forwarder *forwarder)
{
    const struct orphan_query *query = &forwarder->orphaned.query;
    const GPtrArray *rows = queried_rows(forwarder);

    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        struct agent_row *row = g_ptr_array_index(rows, i);

        row->complete = row->complete && row->replied == query->number;
    }
    for (unsigned i = 0; i < query->count; i++) {
        struct forwarder_pin *pin = pin_of(forwarder, &query->flows[i]);

        if (pin != NULL) {
            pin->denied = query->service == FORWARDER_ANY_SERVICE;
        }
    }
}

/* If more than 1/MISSING_DIVISOR of the agents didn't reply, none of them
 * becomes suspect. */
#define MISSING_DIVISOR 4

/* Marks agents that didn't reply as suspect. */
static void
mark_missing(struct forwarder *forwarder, uint64_t now_us)
{
    const struct orphan_query *query = &forwarder->orphaned.query;
    const GPtrArray *rows = queried_rows(forwarder);

    if (MISSING_DIVISOR * query->missing > query->queried) {
        /* It is more likely that the balancer itself was slow. */
        return;
    }
    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct agent_row *row = g_ptr_array_index(rows, i);

        if (row->queried == query->number && row->replied != query->number) {
            agents_mark_unanswered(&forwarder->agents, row->addr,
                                   query->started_us, now_us);
        }
    }
}

static void
end_query(struct forwarder *forwarder, uint64_t now_us)
{
    struct forwarder_orphans *orphaned = &forwarder->orphaned;
    struct orphan_query *query = &orphaned->query;
    uint64_t gap_us =
        MAX(GAP_MIN_US, (uint64_t)query->queried * GAP_PER_AGENT_US);
    unsigned ended = 0;

    query->open = false;
    mark_missing(forwarder, now_us);
    mark_denied(forwarder);
    for (unsigned i = 0; i < query->count; i++) {
        struct forwarder_pin *pin = pin_of(forwarder, &query->flows[i]);

        if (query->confirmed && needs_proof(pin, now_us) &&
            forwarder_is_orphan_proven(forwarder, i, now_us)) {
            pin->proved_us = now_us;
            forwarder_reset(forwarder, query->flows[i].handle,
                            FORWARDER_DECISION_RESET_PROVEN,
                            now_us - query->started_us);
            ended++;
        }
    }
    forwarder->out->ops->concluded(forwarder->out, query, ended);
    orphaned->gap_us = ended > 0 ? gap_us
                                 : CLAMP(2 * orphaned->gap_us, gap_us,
                                         GAP_GROWTH_MAX * gap_us);
    orphaned->next_us = query->started_us + orphaned->gap_us;
}

/* Evaluates the replies. The store is asked only if its confirmation would
 * prove the end of a flow, which spares it most calls. */
static void
evaluate_replies(struct forwarder *forwarder, uint64_t now_us)
{
    const struct orphan_query *query = &forwarder->orphaned.query;
    bool provable = false;

    for (unsigned i = 0; i < query->count && !provable; i++) {
        provable = forwarder_is_orphan_proven(forwarder, i, now_us);
    }
    forwarder->orphaned.query.store_queried = true;
    if (provable) {
        forwarder->out->ops->confirm(forwarder->out, now_us);
    }
    else {
        end_query(forwarder, now_us);
    }
}

/* Whether every agent has replied, including those whose reply is optional. */
static bool
all_replied(const struct forwarder *forwarder)
{
    const struct orphan_query *query = &forwarder->orphaned.query;

    return query->replies == query->queries;
}

/* Whether only optional replies are missing. */
static bool
awaits_optional_only(const struct orphan_query *query)
{
    return query->missing == 0 && !query->store_queried;
}

static void
tick_query(struct forwarder *forwarder, uint64_t now_us)
{
    struct orphan_query *query = &forwarder->orphaned.query;

    if (now_us - query->started_us >= REPLY_TIMEOUT_US) {
        end_query(forwarder, now_us);
    }
    else if (awaits_optional_only(query) &&
             now_us >= query->due_us + TICK_LATE_US) {
        query->due_us = now_us + SILENT_REPLY_TIMEOUT_US;
    }
    else if (awaits_optional_only(query) && now_us >= query->due_us) {
        evaluate_replies(forwarder, now_us);
    }
}

void
forwarder_orphans_add(struct forwarder *forwarder, uint32_t handle,
                      uint64_t now_us)
{
    struct forwarder_orphans *orphaned = &forwarder->orphaned;
    struct forwarder_pin *pin = &forwarder->pins[handle];

    pin->sent_us = now_us;
    if (!pin->orphaned && orphaned->count == FORWARDER_ORPHANS_MAX) {
        drop_resolved(forwarder, now_us);
    }
    if (pin->orphaned || orphaned->count == FORWARDER_ORPHANS_MAX) {
        return;
    }
    pin->orphaned = true;
    orphaned->flows[orphaned->count++] = (struct forwarder_orphan){
        handle, flow_index_flow(&forwarder->flows, handle), now_us};
}

void
forwarder_query_reply(struct forwarder *forwarder, struct addr agent,
                      const struct frame_query_reply *absent, uint64_t now_us)
{
    struct orphan_query *query = &forwarder->orphaned.query;
    struct agent_row *row = agents_find(&forwarder->agents, agent);

    if (!query->open || absent->query != query->number || row == NULL ||
        row->queried != query->number || row->replied == query->number) {
        return;
    }
    row->replied = query->number;
    query->replies++;
    agents_mark_alive(&forwarder->agents, row, now_us);
    row->down = absent->down;
    row->inconclusive = absent->silent;
    row->complete = !absent->silent && !absent->partial;
    row->partial = absent->partial;
    if (row->reply_optional) {
        query->unreachable--;
        query->queried++;
    }
    else {
        query->missing--;
    }
    if (absent->silent) {
        query->unreachable++;
        query->queried--;
    }
    else {
        for (unsigned i = 0; i < FRAME_QUERY_WORDS; i++) {
            query->absent[i] &= absent->absent[i];
        }
    }
    if (!query->store_queried && all_replied(forwarder)) {
        evaluate_replies(forwarder, now_us);
    }
}

void
forwarder_confirmed(struct forwarder *forwarder, uint64_t queried_us,
                    uint64_t now_us)
{
    struct orphan_query *query = &forwarder->orphaned.query;

    if (query->open && query->missing == 0 &&
        queried_us >= query->started_us) {
        query->confirmed = true;
        end_query(forwarder, now_us);
    }
}

void
forwarder_orphans_tick(struct forwarder *forwarder, uint64_t now_us)
{
    struct forwarder_orphans *orphaned = &forwarder->orphaned;

    if (orphaned->query.open) {
        tick_query(forwarder, now_us);
        return;
    }
    if (orphaned->count == 0 || now_us < orphaned->next_us) {
        return;
    }
    drop_resolved(forwarder, now_us);
    start_query(forwarder, now_us);
}

uint64_t
forwarder_orphans_next_us(const struct forwarder *forwarder)
{
    const struct forwarder_orphans *orphaned = &forwarder->orphaned;
    uint64_t due_us = UINT64_MAX;

    if (orphaned->query.open) {
        return awaits_optional_only(&orphaned->query)
                   ? orphaned->query.due_us
                   : orphaned->query.started_us + REPLY_TIMEOUT_US;
    }
    for (unsigned i = 0; i < orphaned->count; i++) {
        due_us = MIN(due_us, orphaned->flows[i].since_us + QUERY_AFTER_US);
    }
    return orphaned->count == 0 ? UINT64_MAX : MAX(due_us, orphaned->next_us);
}
