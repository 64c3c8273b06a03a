/* Agents, their views and their deaths in the simulation. */
#include "world.h"

#include <string.h>

/* Half of the callers use a former address of the service. */
struct addr
world_service(struct addr caller)
{
    return (struct addr){0x0a000001 + caller.port % 2, 80};
}

uint64_t
world_id(unsigned i)
{
    return 1000 + i;
}

void
world_fail(struct model *model, const char *failure)
{
    if (model->result.failure == NULL) {
        model->result.failure = g_strdup(failure);
        model->result.at_ms = model->now_us / USEC_PER_MSEC;
    }
}

uint64_t
world_up_to(struct model *model, uint64_t max_us)
{
    return (uint64_t)g_rand_int_range(model->rand, 0, (gint32)max_us);
}

gpointer
world_key(struct addr caller)
{
    return GSIZE_TO_POINTER((gsize)caller.ip << 16 | caller.port);
}

gboolean
world_is_frozen(const struct model *model, const struct agent *agent)
{
    return agent->frozen_until_us > model->now_us;
}

/* Each agent receives the update at another time. */
void
world_send_updates(struct model *model, unsigned about,
                   enum member_health health)
{
    const struct agent *agent = &model->agents[about];
    unsigned to;

    for (to = 0; to < model->config->agents; to++) {
        struct member_update member_update = {
            model->now_us + world_up_to(model, LAG_MAX_US),
            to,
            about,
            {agent->boot, health, agent->leaving}};
        g_array_append_val(model->member_updates, member_update);
    }
}

struct view *
world_build_view(const struct model *model, unsigned self)
{
    const struct agent *agent = &model->agents[self];
    struct view *view = view_new(model->config->agents);

    for (unsigned i = 0; i < model->config->agents; i++) {
        const struct member_info *known = &agent->known_members[i];
        struct view_member *member;

        if (known->boot == 0) {
            continue;
        }
        if (i == self) {
            view->self = view->count;
        }
        member = &view->members[view->count++];
        memset(member, 0, sizeof(*member));
        member->id = world_id(i);
        member->role = MEMBER_AGENT;
        member->state = known->leaving ? MEMBER_LEAVING : MEMBER_READY;
        member->health = known->health;
        member->service = i == 0 ? LONE_SERVICE : COMMON_SERVICE;
        member->since_us = known->boot;
        g_snprintf(member->data_centre, sizeof(member->data_centre), "dc-%u",
                   i % 3);
    }
    return view;
}

void
world_apply_update(struct model *model,
                   const struct member_update *member_update)
{
    struct agent *agent = &model->agents[member_update->to];
    struct member_info *known = &agent->known_members[member_update->about];
    const struct agent *about = &model->agents[member_update->about];

    if (!agent->running || member_update->info.boot < known->boot ||
        (member_update->to == member_update->about &&
         member_update->info.health != MEMBER_ALIVE)) {
        return;
    }
    /* Only a running process refutes that it is dead. */
    if (member_update->info.health == MEMBER_ALIVE &&
        member_update->info.boot == known->boot &&
        known->health == MEMBER_DEAD &&
        (!about->running || about->boot != member_update->info.boot)) {
        return;
    }
    *known = member_update->info;
    agent->changed = TRUE;
}

void
world_start(struct model *model, unsigned i)
{
    struct agent *agent = &model->agents[i];

    agent->running = TRUE;
    agent->leaving = FALSE;
    agent->frozen_until_us = 0;
    agent->boot = ++model->last_boot;
    memset(agent->backups_seen, 0, sizeof(agent->backups_seen));
    memset(agent->known_members, 0, sizeof(agent->known_members));
    agent->known_members[i] =
        (struct member_info){agent->boot, MEMBER_ALIVE, FALSE};
    agent->changed = TRUE;
    orphan_init(&agent->orphans, agent->boot);
    world_send_updates(model, i, MEMBER_ALIVE);
    /* A started agent fetches the members from another. */
    for (unsigned j = 0; j < model->config->agents; j++) {
        const struct agent *other = &model->agents[j];
        struct member_update member_update = {
            model->now_us + world_up_to(model, LAG_MAX_US),
            i,
            j,
            {other->boot, MEMBER_ALIVE, other->leaving}};
        if (j != i && other->running) {
            g_array_append_val(model->member_updates, member_update);
        }
    }
}

/* A backup that must have the flows of @owner, or -1. */
static int
find_backup(const struct model *model, const struct agent *owner)
{
    for (size_t i = 0; i < OWNER_BACKUPS; i++) {
        uint64_t member = owner->orphans.owner.backups[i].member;
        unsigned index = (unsigned)(member - world_id(0));

        if (member == 0 ||
            model->lossy_until_us + REPORTED_US > model->now_us ||
            owner->frozen_until_us + REPORTED_US > model->now_us ||
            owner->backups_since_us[i] + REPORTED_US > model->now_us) {
            continue;
        }
        const struct agent *backup = &model->agents[index];
        if (backup->running &&
            backup->boot == owner->orphans.owner.backups[i].since_us &&
            backup->frozen_until_us + REPORTED_US <= model->now_us &&
            backup->known_members[owner - model->agents].boot == owner->boot) {
            return (int)index;
        }
    }
    return -1;
}

static void
add_expected_probes(struct model *model, const struct agent *owner)
{
    int backup = find_backup(model, owner);

    for (guint i = 0; backup >= 0 && i < owner->flows->len; i++) {
        const struct flow *flow = &g_array_index(owner->flows, struct flow, i);
        struct expected_probe expected_probe = {
            model->now_us + PROBE_DEADLINE_US + FREEZE_MAX_US, model->now_us,
            flow->caller, (unsigned)backup, model->agents[backup].boot};
        if (flow->opened_us + REPORTED_US <= model->now_us) {
            g_array_append_val(model->expected_probes, expected_probe);
        }
    }
}

void
world_agent_finish(struct agent *agent)
{
    orphan_finish(&agent->orphans);
    g_array_set_size(agent->flows, 0);
    g_array_set_size(agent->ended, 0);
    agent->running = FALSE;
}

/* Records the callers that may be probed when @agent dies after a quiet phase.
 */
static void
expect_probes(struct model *model, const struct agent *agent)
{
    if (model->expected == NULL) {
        return;
    }
    for (guint i = 0; i < agent->flows->len; i++) {
        const struct flow *flow = &g_array_index(agent->flows, struct flow, i);
        g_hash_table_add(model->expected, world_key(flow->caller));
    }
    for (guint i = 0; i < agent->ended->len; i++) {
        const struct ended *ended =
            &g_array_index(agent->ended, struct ended, i);
        if (ended->at_us + CLOSED_US > model->now_us) {
            g_hash_table_add(model->expected, world_key(ended->caller));
        }
    }
}

void
world_die(struct model *model, unsigned i)
{
    struct agent *agent = &model->agents[i];

    if (!agent->running) {
        return;
    }
    expect_probes(model, agent);
    add_expected_probes(model, agent);
    world_agent_finish(agent);
    model->result.deaths++;
    world_send_updates(model, i, MEMBER_DEAD);
}
