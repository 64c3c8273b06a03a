#include "cell.h"

#include <errno.h>
#include <string.h>

#define STEP_US (50 * USEC_PER_MSEC)
#define TIMEOUT_US (2500 * USEC_PER_MSEC)

void
cell_init(struct cell *cell, size_t count, uint64_t seed)
{
    memset(cell, 0, sizeof(*cell));
    cell->random.state = seed;
    cell->nodes = g_new0(struct cell_node, count);
    cell->count = count;
    cell->answer_us = 5 * USEC_PER_MSEC;
    cell->now_us = 100 * USEC_PER_SEC;
    for (size_t i = 0; i < count; i++) {
        struct config_membership membership = {
            .rank = i, .alive = count, .joined = true, .has_contacts = true};

        config_core_init(&cell->nodes[i].config, random_next(&cell->random),
                         cell->now_us);
        config_set_membership(&cell->nodes[i].config, &membership);
    }
}

void
cell_finish(struct cell *cell)
{
    g_free(cell->nodes);
}

static bool
chance(struct cell *cell, unsigned of_1000)
{
    return random_below(&cell->random, 1000) < of_1000;
}

static void
begin_call(struct cell *cell, struct cell_node *node,
           const struct config_action *action)
{
    g_assert_cmpuint(cell->second, <, CELL_SECONDS_MAX);
    cell->calls[cell->second]++;
    g_assert_false(node->calling);
    node->calling = true;
    node->watching = action->type == CONFIG_WATCH;
    node->skips = chance(cell, cell->watch_skips);
    node->after = action->after;
    node->begun_us = cell->now_us;
    node->done_us = 0;
}

static void
end_call(struct cell *cell, struct cell_node *node, int status,
         uint64_t after_us)
{
    node->done_us = cell->now_us + after_us;
    node->status = status;
    node->answer = status == 0 ? cell->served_version : 0;
}

/* Sets the result of a pending call when the platform has one. */
static void
answer_call(struct cell *cell, struct cell_node *node)
{
    uint64_t waited = cell->now_us - node->begun_us;
    bool expired = waited >= CONFIG_WATCH_TIMEOUT_S * USEC_PER_SEC;

    if (cell->down || node->platform_unreachable || chance(cell, cell->lost)) {
        end_call(cell, node, -ETIMEDOUT, TIMEOUT_US);
        return;
    }
    if (cell->served_version == 0)
        end_call(cell, node, -ENOENT, cell->answer_us);
    else if (!node->watching)
        end_call(cell, node, 0, cell->answer_us);
    else if (chance(cell, cell->watch_ends))
        end_call(cell, node, -ECONNRESET, 0);
    else if (cell->served_version > node->after && !node->skips)
        end_call(cell, node, 0, cell->answer_us);
    else if (expired)
        end_call(cell, node, -EAGAIN, cell->answer_us);
}

static void
finish_call(struct cell *cell, struct cell_node *node)
{
    node->calling = false;
    if (config_handle_platform_reply(&node->config, node->status, node->answer,
                                     cell->now_us))
        config_applied(&node->config, node->answer, cell->now_us);
}

/* Each process receives the newest version and confirmation, as by gossip. */
static void
spread_versions(struct cell *cell)
{
    uint64_t best = 0;
    uint64_t confirmed = 0;

    for (size_t i = 0; i < cell->count; i++)
        best = MAX(best, cell->nodes[i].config.have);
    for (size_t i = 0; i < cell->count; i++) {
        if (cell->nodes[i].config.have == best)
            confirmed = MAX(confirmed, cell->nodes[i].config.confirmed_us);
    }
    for (size_t i = 0; i < cell->count; i++) {
        struct config_core *config = &cell->nodes[i].config;
        uint32_t age =
            confirmed == 0 ? UINT32_MAX : (cell->now_us - confirmed) / 1000;

        config_handle_peer_version(config, (struct addr){1, 1}, best, age,
                                   cell->now_us);
        if (config->fetching &&
            config_handle_fetch_reply(config, best, cell->now_us))
            config_applied(config, best, 0);
    }
}

static void
step(struct cell *cell)
{
    for (size_t i = 0; i < cell->count; i++) {
        struct cell_node *node = &cell->nodes[i];
        struct config_actions actions;
        uint64_t had = node->config.have;

        if (node->calling && node->done_us == 0)
            answer_call(cell, node);
        if (node->calling && node->done_us != 0 &&
            cell->now_us >= node->done_us)
            finish_call(cell, node);
        config_tick(&node->config, cell->now_us, &actions);
        for (size_t j = 0; j < actions.count; j++) {
            if (actions.items[j].type != CONFIG_FETCH)
                begin_call(cell, node, &actions.items[j]);
        }
        g_assert_cmpuint(node->config.have, >=, had);
    }
}

void
cell_run(struct cell *cell, unsigned seconds)
{
    for (unsigned s = 0; s < seconds; s++) {
        for (uint64_t us = 0; us < USEC_PER_SEC; us += STEP_US) {
            cell->now_us += STEP_US;
            step(cell);
        }
        spread_versions(cell);
        cell->second++;
    }
}

uint64_t
cell_calls(const struct cell *cell, size_t first, size_t seconds)
{
    uint64_t sum = 0;

    for (size_t i = first; i < first + seconds; i++)
        sum += cell->calls[i];
    return sum;
}

uint32_t
cell_peak(const struct cell *cell, size_t first, size_t seconds)
{
    uint32_t peak = 0;

    for (size_t i = first; i < first + seconds; i++)
        peak = MAX(peak, cell->calls[i]);
    return peak;
}

size_t
cell_count_outdated(const struct cell *cell)
{
    size_t outdated = 0;

    for (size_t i = 0; i < cell->count; i++) {
        if (cell->nodes[i].config.have < cell->version)
            outdated++;
    }
    return outdated;
}
