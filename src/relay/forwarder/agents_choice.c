#include "relay/forwarder/agents_private.h"

#include <glib.h>

#include "base/clock.h"

/* Maximum age of a load report: requests take some 15 ms. */
#define LOAD_MAX_AGE_US (25 * USEC_PER_MSEC)

/* Load unit: 1/16 of an endpoint's slots. */
#define LOAD_UNIT 16

/* Load added for another data centre, to limit traffic between data centres:
 * one request on an endpoint with the default slots. */
#define LOAD_REMOTE (LOAD_UNIT / AGENT_SLOTS_DEFAULT)

/* Load added for an endpoint that resets requests: four requests on each slot.
 * It isn't excluded, as the others may fail too. */
#define LOAD_FAILING (4 * LOAD_UNIT)

/* Wait at a reduced endpoint counts this many times: its flows stay for all
 * their requests, and it may become slower still. */
#define REDUCED_RATIO 2

/* Rank bucket for choosing witnesses; the same in all balancers. */
#define WITNESS_BUCKET 0

/** struct candidate - an agent considered for a choice */
struct candidate {
    const struct agent_row *row;
    enum tier tier;
    uint64_t load;
    uint64_t score;
};

enum tier
agents_tier(const struct agents *agents, const struct agent_row *row)
{
    switch (row->health.state) {
    case ENDPOINT_DRAINING:
    case ENDPOINT_GONE:
    case ENDPOINT_SILENT:
        return AGENT_TIER_CLOSED;
    default:
        break;
    }
    if (agents->list_complete && !row->listed) {
        return AGENT_TIER_UNLISTED;
    }
    if (row->suspect) {
        return AGENT_TIER_SUSPECT;
    }
    return row->heard_us != 0 ? AGENT_TIER_OPEN : AGENT_TIER_UNHEARD;
}

static unsigned
load_of(const struct agents *agents, const struct agent_row *row,
        uint64_t now_us)
{
    unsigned slots =
        row->health.slots != 0 ? row->health.slots : AGENT_SLOTS_DEFAULT;
    unsigned requests = 0;
    unsigned load;

    if (now_us - row->health_us < LOAD_MAX_AGE_US) {
        requests += row->health.busy;
    }
    if (now_us - row->sent_us < LOAD_MAX_AGE_US) {
        requests += row->sent;
    }
    load = requests * LOAD_UNIT / slots;
    if (row->health.failing) {
        load += LOAD_FAILING;
    }
    if (row->data_centre_key != agents->own_data_centre) {
        load += LOAD_REMOTE;
    }
    return load;
}

uint64_t
agents_wait_us(const struct agents *agents, const struct agent_row *row,
               uint64_t now_us)
{
    return agents_expected_wait_us(
        agents, row, now_us - row->health_us < LOAD_MAX_AGE_US,
        now_us - row->sent_us < LOAD_MAX_AGE_US, now_us);
}

/* Load of an agent when new flows are placed by expected wait. A trial comes
 * first when it is due, and else last. */
static uint64_t
wait_load(const struct agents *agents, const struct agent_row *row,
          uint64_t now_us)
{
    uint64_t wait_us = agents_wait_us(agents, row, now_us);

    switch (row->level.kind) {
    case ENDPOINT_LEVEL_TRIAL:
        return endpoint_level_trial_due(&row->level, now_us) ? 0 : UINT64_MAX;
    case ENDPOINT_LEVEL_REDUCED:
        return REDUCED_RATIO * wait_us;
    default:
        return wait_us;
    }
}

/* Inserts a candidate among the @capacity best by score, best first. */
static void
keep_best(struct candidate *best, unsigned capacity, unsigned *count,
          const struct candidate *candidate)
{
    unsigned at = *count;

    if (at == capacity) {
        if (best[at - 1].score >= candidate->score) {
            return;
        }
        at--;
    }
    else {
        (*count)++;
    }
    while (at > 0 && best[at - 1].score < candidate->score) {
        best[at] = best[at - 1];
        at--;
    }
    best[at] = *candidate;
}

static bool
ranks_before(const struct candidate *a, const struct candidate *b)
{
    if (a->tier != b->tier) {
        return a->tier < b->tier;
    }
    if (a->load != b->load) {
        return a->load < b->load;
    }
    return a->score > b->score;
}

static void
sort_candidates(struct candidate *items, unsigned count)
{
    for (unsigned i = 1; i < count; i++) {
        struct candidate item = items[i];
        unsigned at = i;

        while (at > 0 && ranks_before(&item, &items[at - 1])) {
            items[at] = items[at - 1];
            at--;
        }
        items[at] = item;
    }
}

static void
choice_fill(struct agents_choice *choice, const struct candidate *items,
            unsigned count)
{
    choice->count = count;
    for (unsigned i = 0; i < count; i++) {
        choice->addrs[i] = items[i].row->addr;
    }
}

void
agents_sent(struct agents *agents, struct addr addr, uint64_t now_us)
{
    struct agent_row *row = agents_find(agents, addr);

    if (row == NULL) {
        return;
    }
    row->sent = now_us - row->sent_us < LOAD_MAX_AGE_US ? row->sent + 1 : 1;
    row->sent_us = now_us;
    row->opened++;
    row->level.tried_us = now_us;
    pressure_report_sent(&row->report);
}

void
agents_for_new(const struct agents *agents, uint32_t service,
               const struct region_affinity *region_affinity, uint64_t hash,
               uint64_t now_us, struct agents_choice *choice)
{
    const GPtrArray *rows = agents_of_service(agents, service);
    bool by_wait = agents_place_by_wait(agents, service);
    struct candidate best[RANK_DEPTH];
    unsigned count = 0;

    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct agent_row *row = g_ptr_array_index(rows, i);
        struct candidate candidate = {.row = row};

        if (row->evacuated ||
            !region_affinity_allows(region_affinity, row->region) ||
            agents_tier(agents, row) == AGENT_TIER_CLOSED) {
            continue;
        }
        candidate.tier = agents_tier(agents, row);
        candidate.score = rank_score(row->member, rank_bucket(hash));
        keep_best(best, RANK_DEPTH, &count, &candidate);
    }
    for (unsigned i = 0; i < count; i++) {
        best[i].load = by_wait ? wait_load(agents, best[i].row, now_us)
                               : load_of(agents, best[i].row, now_us);
    }
    sort_candidates(best, count);
    /* A path ends at the first dead agent: leave out the worse tiers. */
    while (count > 1 && best[count - 1].tier > best[0].tier) {
        count--;
    }
    while (count > 1 && best[count - 1].load == UINT64_MAX) {
        count--;
    }
    choice_fill(choice, best, count);
}

/* Rank of an agent among those that may hold a flow; partial agents first. */
static uint64_t
established_score(const struct agent_row *row, uint64_t hash)
{
    uint64_t score = rank_score(row->member, rank_bucket(hash)) >> 1;

    return row->partial ? score | 1ull << 63 : score;
}

bool
agents_for_established(const struct agents *agents, uint32_t service,
                       const struct region_affinity *region_affinity,
                       uint64_t hash, bool denied, uint64_t *below,
                       struct agents_choice *choice)
{
    const GPtrArray *rows = agents_of_service(agents, service);
    struct candidate best[AGENTS_CHOICE_MAX];
    unsigned count = 0;

    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct agent_row *row = g_ptr_array_index(rows, i);
        struct candidate candidate = {
            .row = row,
            .tier = row->suspect ? AGENT_TIER_SUSPECT : AGENT_TIER_OPEN,
            .load = !row->partial,
            .score = established_score(row, hash),
        };

        if (row->health.state != ENDPOINT_GONE && candidate.score < *below &&
            !(denied && row->complete) &&
            region_affinity_allows(region_affinity, row->region)) {
            keep_best(best, AGENTS_CHOICE_MAX, &count, &candidate);
        }
    }
    if (count > 0) {
        *below = best[count - 1].score;
    }
    sort_candidates(best, count);
    choice_fill(choice, best, count);
    return count > 0;
}

void
agents_witnesses(const struct agents *agents, struct agents_choice *choice)
{
    struct candidate best[AGENTS_WITNESSES_MAX];
    unsigned count = 0;

    for (size_t i = 0; i < agents_count(agents); i++) {
        const struct agent_row *row = agents_at(agents, i);
        bool own_data_centre = row->data_centre_key == agents->own_data_centre;
        struct candidate candidate = {
            .row = row,
            .score = rank_score(row->member, WITNESS_BUCKET),
        };

        /* Agents of other data centres rank after all of the own. */
        candidate.score =
            candidate.score >> 1 | (own_data_centre ? 1ull << 63 : 0);
        if (!row->suspect && row->health.state != ENDPOINT_GONE) {
            keep_best(best, AGENTS_WITNESSES_MAX, &count, &candidate);
        }
    }
    choice_fill(choice, best, count);
}

bool
agents_all_evacuated(const struct agents *agents, uint32_t service,
                     const struct region_affinity *region_affinity)
{
    const GPtrArray *rows = agents_of_service(agents, service);
    bool any = false;

    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct agent_row *row = g_ptr_array_index(rows, i);

        if (!region_affinity_allows(region_affinity, row->region)) {
            continue;
        }
        if (!row->evacuated && row->health.state != ENDPOINT_GONE) {
            return false;
        }
        any |= row->evacuated;
    }
    return any;
}

static enum pressure_reach
reach_of(const struct agents *agents, const struct agent_row *row)
{
    switch (agents_tier(agents, row)) {
    case AGENT_TIER_OPEN:
    case AGENT_TIER_UNHEARD:
        return PRESSURE_WITHIN;
    case AGENT_TIER_SUSPECT:
        return PRESSURE_BEYOND;
    default:
        return PRESSURE_OUTSIDE;
    }
}

void
agents_pressure(const struct agents *agents, uint32_t service,
                const struct region_affinity *region_affinity, uint64_t now_us,
                struct pressure *pressure)
{
    const GPtrArray *rows = agents_of_service(agents, service);

    pressure_init(pressure);
    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct agent_row *row = g_ptr_array_index(rows, i);

        if (!row->evacuated &&
            region_affinity_allows(region_affinity, row->region)) {
            pressure_add(pressure, &row->report, reach_of(agents, row),
                         now_us);
        }
    }
}

bool
agents_can_serve(const struct agents *agents, uint32_t service)
{
    const GPtrArray *rows = agents_of_service(agents, service);

    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct agent_row *row = g_ptr_array_index(rows, i);
        enum tier tier = agents_tier(agents, row);

        if (tier <= AGENT_TIER_UNHEARD ||
            (tier == AGENT_TIER_UNLISTED && !row->suspect)) {
            return true;
        }
    }
    return false;
}
