#include "relay/steer/agents_private.h"

#include <glib.h>

#include "base/clock.h"

/* How long an agent's count of busy slots says something: requests run for
 * some 15 ms, so an older count is as good as none. */
#define COUNT_FRESH_US (25 * USEC_PER_MSEC)

/* Load is counted in 1/16 of an endpoint's slots. */
#define LOAD_UNIT 16
#define SLOTS_DEFAULT 2

/* What a request in another data centre costs more: as much as one request
 * that waits before it. Bytes between data centres are dear, and one slot's
 * queue is still well inside any aim. */
#define LOAD_ABROAD (LOAD_UNIT / SLOTS_DEFAULT)

/* An endpoint that resets what it is asked comes after any that has less than
 * four requests on each of its slots more; it is never left out, as the others
 * may be no better. */
#define LOAD_FAILING (4 * LOAD_UNIT)

/* Bucket of the ranking by which witnesses are found, any. */
#define WITNESS_BUCKET 0

/** struct candidate - an agent in a choice */
struct candidate {
    const struct agent_row *row;
    enum standing standing;
    unsigned load;
    uint64_t score;
};

enum standing
agents_standing(const struct agents *agents, const struct agent_row *row)
{
    switch (row->health.state) {
    case ENDPOINT_DRAINING:
    case ENDPOINT_GONE:
    case ENDPOINT_SILENT:
        return STANDING_CLOSED;
    default:
        break;
    }
    if (agents->listed_once && !row->listed) {
        return STANDING_ABSENT;
    }
    if (row->suspect) {
        return STANDING_SUSPECT;
    }
    return row->heard_us != 0 ? STANDING_OPEN : STANDING_UNHEARD;
}

static unsigned
load_of(const struct agents *agents, const struct agent_row *row,
        uint64_t now_us)
{
    unsigned slots =
        row->health.slots != 0 ? row->health.slots : SLOTS_DEFAULT;
    unsigned requests = 0;
    unsigned load;

    if (now_us - row->told_us < COUNT_FRESH_US) {
        requests += row->health.busy;
    }
    if (now_us - row->sent_us < COUNT_FRESH_US) {
        requests += row->sent;
    }
    load = requests * LOAD_UNIT / slots;
    if (row->health.failing) {
        load += LOAD_FAILING;
    }
    if (row->place != agents->here) {
        load += LOAD_ABROAD;
    }
    return load;
}

/* Keeps the @room best by score, best first; @count grows up to that. */
static void
keep_best(struct candidate *best, unsigned room, unsigned *count,
          const struct candidate *candidate)
{
    unsigned at = *count;

    if (at == room) {
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
goes_before(const struct candidate *a, const struct candidate *b)
{
    if (a->standing != b->standing) {
        return a->standing < b->standing;
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

        while (at > 0 && goes_before(&item, &items[at - 1])) {
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
    row->sent = now_us - row->sent_us < COUNT_FRESH_US ? row->sent + 1 : 1;
    row->sent_us = now_us;
}

void
agents_for_new(const struct agents *agents, uint32_t service,
               const struct homes *homes, uint64_t hash, uint64_t now_us,
               struct agents_choice *choice)
{
    const GPtrArray *rows = agents_of_service(agents, service);
    struct candidate best[RANK_DEPTH];
    unsigned count = 0;

    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct agent_row *row = g_ptr_array_index(rows, i);
        struct candidate candidate = {.row = row};

        if (row->evacuated || !homes_allow(homes, row->region) ||
            agents_standing(agents, row) == STANDING_CLOSED) {
            continue;
        }
        candidate.standing = agents_standing(agents, row);
        candidate.load = load_of(agents, row, now_us);
        candidate.score = rank_score(row->member, rank_bucket(hash));
        keep_best(best, RANK_DEPTH, &count, &candidate);
    }
    sort_candidates(best, count);
    /* A packet that is handed from agent to agent ends at a dead one. */
    while (count > 1 && best[count - 1].standing > best[0].standing) {
        count--;
    }
    choice_fill(choice, best, count);
}

/* Rank of an agent among those that may hold a flow: the partial before all
 * others. */
static uint64_t
known_score(const struct agent_row *row, uint64_t hash)
{
    uint64_t score = rank_score(row->member, rank_bucket(hash)) >> 1;

    return row->partial ? score | 1ull << 63 : score;
}

bool
agents_for_known(const struct agents *agents, uint32_t service,
                 const struct homes *homes, uint64_t hash, bool denied,
                 uint64_t *below, struct agents_choice *choice)
{
    const GPtrArray *rows = agents_of_service(agents, service);
    struct candidate best[AGENTS_CHOICE_MAX];
    unsigned count = 0;

    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct agent_row *row = g_ptr_array_index(rows, i);
        struct candidate candidate = {
            .row = row,
            .standing = row->suspect ? STANDING_SUSPECT : STANDING_OPEN,
            .load = !row->partial,
            .score = known_score(row, hash),
        };

        if (row->health.state != ENDPOINT_GONE && candidate.score < *below &&
            !(denied && row->whole) && homes_allow(homes, row->region)) {
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
    struct candidate best[AGENTS_WITNESSES];
    unsigned count = 0;

    for (size_t i = 0; i < agents_count(agents); i++) {
        const struct agent_row *row = agents_at(agents, i);
        bool here = row->place == agents->here;
        struct candidate candidate = {
            .row = row,
            .score = rank_score(row->member, WITNESS_BUCKET),
        };

        /* Those of other data centres only where there are none here. */
        candidate.score = candidate.score >> 1 | (here ? 1ull << 63 : 0);
        if (!row->suspect && row->health.state != ENDPOINT_GONE) {
            keep_best(best, AGENTS_WITNESSES, &count, &candidate);
        }
    }
    choice_fill(choice, best, count);
}

bool
agents_all_evacuated(const struct agents *agents, uint32_t service,
                     const struct homes *homes)
{
    const GPtrArray *rows = agents_of_service(agents, service);
    bool any = false;

    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct agent_row *row = g_ptr_array_index(rows, i);

        if (!homes_allow(homes, row->region)) {
            continue;
        }
        if (!row->evacuated && row->health.state != ENDPOINT_GONE) {
            return false;
        }
        any |= row->evacuated;
    }
    return any;
}

bool
agents_serve(const struct agents *agents, uint32_t service)
{
    const GPtrArray *rows = agents_of_service(agents, service);

    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct agent_row *row = g_ptr_array_index(rows, i);
        enum standing standing = agents_standing(agents, row);

        if (standing <= STANDING_UNHEARD ||
            (standing == STANDING_ABSENT && !row->suspect)) {
            return true;
        }
    }
    return false;
}
