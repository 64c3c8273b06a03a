#include "relay/agents.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/hash.h"

/* How long an agent's count of busy slots says something: requests run for
 * some 15 ms, so an older count is as good as none. */
#define COUNT_FRESH_US (25 * USEC_PER_MSEC)

/* A suspected agent is pinged at once, then each 100 ms, slowing down to one
 * ping in 2 s: a host that wakes again is back within a ping, and one that
 * is gone for good costs next to nothing. */
#define PING_FIRST_US (100 * USEC_PER_MSEC)
#define PING_SLOWEST_US (2 * USEC_PER_SEC)

/* An agent that said that it takes nothing new tells when that changes; the
 * ping is for the word that was lost on its way. */
#define PING_CLOSED_US (500 * USEC_PER_MSEC)

/* An agent that is silent for this long can't bring a caller its answer in
 * time any more. A planned restart takes some 0.6 s; one that said before that
 * it takes nothing new may be in such a restart and is waited for longer. */
#define SILENT_US (1 * USEC_PER_SEC)
#define SILENT_CLOSED_US (5 * USEC_PER_SEC)

/* The same for one that this balancer has heard from, and so of a planned
 * restart too: with a second, requests of the first 0.4 s of a cut had no
 * packet left to be told by (callers send again after 0.2 and 0.6 s). */
#define SILENT_HEARD_US (500 * USEC_PER_MSEC)

/* How long an agent whose endpoint has ended is remembered: as long as the
 * oldest flow there may be. */
#define ENDED_KEPT_US (60 * USEC_PER_SEC)

/* Load is counted in 1/16 of an endpoint's slots. */
#define LOAD_UNIT 16
#define SLOTS_DEFAULT 2

/* What a request in another data centre costs more: as much as one request
 * that waits before it. Bytes between data centres are dear, and one slot's
 * queue is still well inside any aim. */
#define LOAD_ABROAD (LOAD_UNIT / SLOTS_DEFAULT)

/* An endpoint that has just started takes about 1.6 times as long. */
#define LOAD_WARMING_NUM 8
#define LOAD_WARMING_DEN 5

/** enum standing - how likely an agent takes a new flow, best first */
enum standing {
    STANDING_OPEN,    /* its own word says so */
    STANDING_UNHEARD, /* the store names it, and it hasn't spoken yet */
    STANDING_SUSPECT, /* may be dead or frozen */
    STANDING_ABSENT,  /* the store's list doesn't name it */
    STANDING_CLOSED,  /* said that it takes none */
};

/** struct candidate - an agent in a choice */
struct candidate {
    const struct agent_row *row;
    enum standing standing;
    unsigned load;
    uint64_t score;
};

static enum standing
standing_of(const struct agents *agents, const struct agent_row *row)
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
    if (row->health.warming) {
        load = load * LOAD_WARMING_NUM / LOAD_WARMING_DEN;
    }
    if (strcmp(row->data_centre, agents->data_centre) != 0) {
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

/* Adds to an array; its new place. */
static unsigned
array_add(GPtrArray *array, struct agent_row *row)
{
    g_ptr_array_add(array, row);
    return array->len - 1;
}

static GPtrArray *
rows_of(const struct agents *agents, uint32_t service)
{
    return g_hash_table_lookup(agents->by_service, GUINT_TO_POINTER(service));
}

static void
service_add(struct agents *agents, struct agent_row *row)
{
    GPtrArray *rows = rows_of(agents, row->health.service);

    if (rows == NULL) {
        rows = g_ptr_array_new();
        g_hash_table_insert(agents->by_service,
                            GUINT_TO_POINTER(row->health.service), rows);
    }
    row->service_at = array_add(rows, row);
    agents->changes++;
}

static void
service_remove(struct agents *agents, struct agent_row *row)
{
    GPtrArray *rows = rows_of(agents, row->health.service);

    g_ptr_array_remove_index_fast(rows, row->service_at);
    if (row->service_at < rows->len) {
        struct agent_row *moved = g_ptr_array_index(rows, row->service_at);

        moved->service_at = row->service_at;
    }
}

/* Sets when a row is pinged next; 0 for never. */
static void
set_ping(struct agents *agents, struct agent_row *row, uint64_t ping_us)
{
    row->ping_us = ping_us;
    if (ping_us != 0 && row->ping_at < 0) {
        row->ping_at = (int)array_add(agents->pinged, row);
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

static void
set_health(struct agents *agents, struct agent_row *row,
           const struct frame_health *health)
{
    if (row->health.service == health->service) {
        row->health = *health;
        return;
    }
    service_remove(agents, row);
    row->health = *health;
    service_add(agents, row);
}

/* It didn't answer what was sent at @sent_us. */
static void
set_suspect(struct agent_row *row, uint64_t sent_us)
{
    if (!row->suspect) {
        row->silent_us = sent_us;
    }
    row->suspect = true;
}

static void
set_trusted(struct agent_row *row)
{
    row->suspect = false;
    row->silent_us = 0;
}

static uint64_t
key_of(struct addr addr)
{
    return (uint64_t)addr.ip << 16 | addr.port;
}

static struct agent_row *
row_add(struct agents *agents, struct addr addr, uint32_t service,
        uint64_t now_us)
{
    struct agent_row *row = g_new0(struct agent_row, 1);

    row->addr = addr;
    row->member = hash_pair(addr.ip, addr.port);
    row->health.service = service;
    row->ping_gap_us = PING_FIRST_US;
    row->key = key_of(addr);
    row->ping_at = -1;
    row->row_at = array_add(agents->rows, row);
    g_hash_table_insert(agents->by_addr, &row->key, row);
    service_add(agents, row);
    set_ping(agents, row, now_us);
    return row;
}

static void
row_remove(struct agents *agents, struct agent_row *row)
{
    set_ping(agents, row, 0);
    service_remove(agents, row);
    g_hash_table_remove(agents->by_addr, &row->key);
    g_ptr_array_remove_index_fast(agents->rows, row->row_at);
    if (row->row_at < agents->rows->len) {
        struct agent_row *moved = g_ptr_array_index(agents->rows, row->row_at);

        moved->row_at = row->row_at;
    }
    g_free(row);
}

void
agents_init(struct agents *agents, const char *data_centre)
{
    memset(agents, 0, sizeof(*agents));
    g_strlcpy(agents->data_centre, data_centre, sizeof(agents->data_centre));
    agents->rows = g_ptr_array_new();
    agents->by_addr = g_hash_table_new(g_int64_hash, g_int64_equal);
    agents->by_service = g_hash_table_new_full(
        NULL, NULL, NULL, (GDestroyNotify)g_ptr_array_unref);
    agents->pinged = g_ptr_array_new();
}

void
agents_finish(struct agents *agents)
{
    if (agents->rows == NULL) {
        return;
    }
    g_ptr_array_set_free_func(agents->rows, g_free);
    g_hash_table_destroy(agents->by_addr);
    g_hash_table_destroy(agents->by_service);
    g_ptr_array_unref(agents->pinged);
    g_ptr_array_unref(agents->rows);
    agents->rows = NULL;
}

struct agent_row *
agents_find(const struct agents *agents, struct addr addr)
{
    uint64_t key = key_of(addr);

    return g_hash_table_lookup(agents->by_addr, &key);
}

size_t
agents_count(const struct agents *agents)
{
    return agents->rows->len;
}

struct agent_row *
agents_at(const struct agents *agents, size_t at)
{
    return g_ptr_array_index(agents->rows, at);
}

void
agents_list(struct agents *agents, struct addr addr, uint32_t service,
            const char *data_centre, uint64_t now_us)
{
    struct agent_row *row = agents_find(agents, addr);

    if (row == NULL) {
        row = row_add(agents, addr, service, now_us);
    }
    if (row->health.service != service) {
        struct frame_health nothing = {.service = service};

        /* Another host has the address now: what the old one said is void,
         * and what the new one says of its service comes with its answer. */
        set_health(agents, row, &nothing);
        set_trusted(row);
        row->ping_gap_us = PING_FIRST_US;
        set_ping(agents, row, now_us);
    }
    row->listed = true;
    row->unlisted = false;
    g_strlcpy(row->data_centre, data_centre, sizeof(row->data_centre));
}

void
agents_unlist(struct agents *agents, struct addr addr, uint64_t now_us)
{
    struct agent_row *row = agents_find(agents, addr);

    if (row == NULL) {
        return;
    }
    row->listed = false;
    row->unlisted = true;
    set_ping(agents, row, now_us);
}

void
agents_listed(struct agents *agents)
{
    agents->listed_once = true;
}

void
agents_alive(struct agents *agents, struct agent_row *row, uint64_t now_us)
{
    bool closed;

    set_trusted(row);
    row->heard_us = now_us;
    row->ping_gap_us = PING_FIRST_US;
    closed = standing_of(agents, row) == STANDING_CLOSED;
    set_ping(agents, row, closed ? now_us + PING_CLOSED_US : 0);
}

void
agents_heard(struct agents *agents, struct addr addr,
             const struct frame_health *health, uint64_t now_us)
{
    struct agent_row *row = agents_find(agents, addr);

    if (row == NULL) {
        row = row_add(agents, addr, health->service, now_us);
    }
    if (agents->listed_once && row->listed &&
        row->health.service != health->service) {
        /* Another host has the address, and the list doesn't say so yet; or
         * it had, and this is late. */
        row->health.state = ENDPOINT_SILENT;
    }
    else {
        set_health(agents, row, health);
    }
    row->told_us = now_us;
    row->sent = 0;
    agents_alive(agents, row, now_us);
}

void
agents_missed(struct agents *agents, struct addr addr, uint64_t sent_us,
              uint64_t now_us)
{
    struct agent_row *row = agents_find(agents, addr);

    if (row == NULL || row->heard_us > sent_us || row->suspect) {
        return;
    }
    set_suspect(row, sent_us);
    row->ping_gap_us = PING_FIRST_US;
    set_ping(agents, row, now_us);
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

/* Whether a row that the store no longer names has been silent for so long
 * that it is forgotten. */
static bool
is_forgotten(const struct agent_row *row, uint64_t now_us)
{
    bool ended = row->health.state == ENDPOINT_GONE;

    return !row->listed && row->ping_gap_us >= PING_SLOWEST_US &&
           (!ended || now_us - row->told_us > ENDED_KEPT_US);
}

bool
agents_ping_due(struct agents *agents, uint64_t now_us, struct addr *addr,
                bool *unlisted)
{
    for (guint i = agents->pinged->len; i-- > 0;) {
        struct agent_row *row = g_ptr_array_index(agents->pinged, i);

        if (row->ping_us > now_us) {
            continue;
        }
        if (is_forgotten(row, now_us)) {
            row_remove(agents, row);
            continue;
        }
        if (row->pinged_us > row->heard_us) {
            set_suspect(row, row->pinged_us);
        }
        row->pinged_us = now_us;
        row->ping_us = now_us + row->ping_gap_us;
        row->ping_gap_us = MIN(2 * row->ping_gap_us, PING_SLOWEST_US);
        *addr = row->addr;
        *unlisted = row->unlisted;
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

void
agents_for_new(const struct agents *agents, uint32_t service, uint64_t hash,
               uint64_t now_us, struct agents_choice *choice)
{
    const GPtrArray *rows = rows_of(agents, service);
    struct candidate best[RANK_DEPTH];
    unsigned count = 0;

    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct agent_row *row = g_ptr_array_index(rows, i);
        struct candidate candidate = {.row = row};

        if (standing_of(agents, row) == STANDING_CLOSED) {
            continue;
        }
        candidate.standing = standing_of(agents, row);
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

bool
agents_for_known(const struct agents *agents, uint32_t service, uint64_t hash,
                 uint64_t *below, struct agents_choice *choice)
{
    const GPtrArray *rows = rows_of(agents, service);
    struct candidate best[AGENTS_CHOICE_MAX];
    unsigned count = 0;

    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct agent_row *row = g_ptr_array_index(rows, i);
        struct candidate candidate = {
            .row = row,
            .standing = row->suspect ? STANDING_SUSPECT : STANDING_OPEN,
            .score = rank_score(row->member, rank_bucket(hash)),
        };

        if (row->health.state != ENDPOINT_GONE && candidate.score < *below) {
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

const GPtrArray *
agents_of_service(const struct agents *agents, uint32_t service)
{
    return rows_of(agents, service);
}

/* How long an agent has to be silent to count as out of reach. */
static uint64_t
silence_of(const struct agent_row *row)
{
    if (row->health.state == ENDPOINT_DRAINING) {
        return SILENT_CLOSED_US;
    }
    return row->heard_us != 0 ? SILENT_HEARD_US : SILENT_US;
}

bool
agent_is_unreachable(const struct agent_row *row, uint64_t now_us)
{
    return row->suspect && now_us - row->silent_us >= silence_of(row);
}

bool
agents_reach_most(const struct agents *agents, uint32_t service)
{
    const GPtrArray *rows = rows_of(agents, service);
    unsigned suspected = 0;

    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct agent_row *row = g_ptr_array_index(rows, i);

        suspected += row->suspect;
    }
    return rows != NULL && 2 * suspected < rows->len;
}

bool
agents_serve(const struct agents *agents, uint32_t service)
{
    const GPtrArray *rows = rows_of(agents, service);

    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const struct agent_row *row = g_ptr_array_index(rows, i);
        enum standing standing = standing_of(agents, row);

        if (standing <= STANDING_UNHEARD ||
            (standing == STANDING_ABSENT && !row->suspect)) {
            return true;
        }
    }
    return false;
}
