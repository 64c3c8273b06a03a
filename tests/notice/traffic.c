#include "world.h"

static struct addr
new_caller(struct model *model)
{
    /* Callers come back with the same address and port. */
    return (struct addr){0x0a090000 +
                             (uint32_t)g_rand_int_range(model->rand, 0, 50),
                         (uint16_t)g_rand_int_range(model->rand, 1, 400)};
}

static gboolean
in_use(const struct model *model, struct addr caller)
{
    for (unsigned i = 0; i < model->config->agents; i++) {
        const GArray *flows = model->agents[i].flows;
        for (guint j = 0; j < flows->len; j++) {
            if (addr_equal(g_array_index(flows, struct flow, j).caller,
                           caller)) {
                return TRUE;
            }
        }
    }
    return FALSE;
}

void
traffic_open(struct model *model, unsigned i)
{
    struct agent *agent = &model->agents[i];
    struct flow flow = {new_caller(model), model->now_us};

    if (!agent->running || world_is_frozen(model, agent) || agent->leaving ||
        in_use(model, flow.caller)) {
        return;
    }
    g_array_append_val(agent->flows, flow);
    model->result.opened++;
    g_assert_cmpint(
        notice_opened(&agent->notice, flow.caller, world_service(flow.caller)),
        ==, 0);
}

void
traffic_close(struct model *model, unsigned i)
{
    struct agent *agent = &model->agents[i];
    struct ended ended = {.at_us = model->now_us};
    guint at;

    if (!agent->running || world_is_frozen(model, agent) ||
        agent->flows->len == 0) {
        return;
    }
    at = (guint)g_rand_int_range(model->rand, 0, (gint32)agent->flows->len);
    ended.caller = g_array_index(agent->flows, struct flow, at).caller;
    notice_closed(&agent->notice, ended.caller, world_service(ended.caller));
    while (agent->ended->len > 0 &&
           g_array_index(agent->ended, struct ended, 0).at_us + CLOSED_US <=
               model->now_us) {
        g_array_remove_index(agent->ended, 0);
    }
    g_array_append_val(agent->ended, ended);
    g_array_remove_index_fast(agent->flows, at);
}

static void
post(struct model *model, unsigned from, uint64_t to,
     const struct notice_message *message)
{
    unsigned copies = g_rand_int_range(model->rand, 0, 20) == 0 ? 2 : 1;
    struct parcel parcel = {.from = from, .to = (unsigned)(to - world_id(0))};

    model->result.messages++;
    parcel.message = *message;
    parcel.to_boot = model->agents[parcel.to].boot;
    while (copies-- > 0) {
        if (model->config->deaf ||
            (model->now_us < model->lossy_until_us &&
             g_rand_int_range(model->rand, 0, 3) == 0)) {
            continue;
        }
        /* The copy is as from an earlier connection. */
        parcel.at_us = model->now_us + 1 +
                       world_up_to(model, copies > 0 ? LATE_MAX_US : 30000);
        g_array_append_val(model->parcels, parcel);
    }
}

static void
deliver(struct model *model, struct parcel *parcel)
{
    struct agent *agent = &model->agents[parcel->to];
    struct notice_message reply;

    if (!agent->running || agent->boot != parcel->to_boot) {
        return;
    }
    if (notice_receive(&agent->notice, agent->view, world_id(parcel->from),
                       &parcel->message, model->now_us, &reply)) {
        post(model, parcel->to, world_id(parcel->from), &reply);
    }
}

void
traffic_deliver(struct model *model)
{
    guint i = 0;

    while (i < model->parcels->len) {
        struct parcel parcel = g_array_index(model->parcels, struct parcel, i);

        if (parcel.at_us > model->now_us ||
            world_is_frozen(model, &model->agents[parcel.to])) {
            i++;
            continue;
        }
        g_array_remove_index_fast(model->parcels, i);
        deliver(model, &parcel);
    }
}

void
traffic_spread_news(struct model *model)
{
    guint i = 0;

    while (i < model->news->len) {
        struct news news = g_array_index(model->news, struct news, i);

        if (news.at_us > model->now_us ||
            world_is_frozen(model, &model->agents[news.to])) {
            i++;
            continue;
        }
        g_array_remove_index_fast(model->news, i);
        world_apply_news(model, &news);
    }
}

static void
note_probe(struct model *model, const struct notice_probe *probe)
{
    uint64_t *at_us = g_new(uint64_t, 1);

    *at_us = model->now_us;
    model->result.probes++;
    g_hash_table_insert(model->probed, world_key(probe->caller), at_us);
    if (!addr_equal(probe->service, world_service(probe->caller))) {
        world_fail(model, "a probe from another service's address");
    }
    if (model->expected != NULL &&
        !g_hash_table_contains(model->expected, world_key(probe->caller))) {
        world_fail(model, "a probe for a flow that no dead owner had");
    }
}

static void
note_backups(struct model *model, struct agent *agent)
{
    for (size_t i = 0; i < OWNER_BACKUPS; i++) {
        const struct owner_backup *backup = &agent->notice.owner.backups[i];
        uint64_t seen = backup->member == 0 ? 0 : backup->since_us;

        if (seen != agent->backups_seen[i]) {
            agent->backups_seen[i] = seen;
            agent->backups_since_us[i] = model->now_us;
        }
    }
}

void
traffic_tick(struct model *model, unsigned i)
{
    struct agent *agent = &model->agents[i];
    struct notice_message message;
    struct notice_probe probes[16];
    uint64_t to;
    size_t count;

    if (agent->changed) {
        agent->changed = FALSE;
        g_free(agent->view);
        agent->view = world_build_view(model, i);
        notice_set_view(&agent->notice, agent->view, model->now_us);
        note_backups(model, agent);
    }
    notice_tick(&agent->notice, model->now_us);
    while (notice_next(&agent->notice, model->now_us, &to, &message)) {
        post(model, i, to, &message);
    }
    do {
        count = notice_probes(&agent->notice, model->now_us, probes,
                              G_N_ELEMENTS(probes));
        for (size_t j = 0; j < count; j++) {
            note_probe(model, &probes[j]);
        }
    } while (count == G_N_ELEMENTS(probes));
    if (notice_held(&agent->notice) > model->config->agents * 50 * 400) {
        world_fail(model, "more flows are held than there are");
    }
}

void
traffic_check_debts(struct model *model)
{
    guint i = 0;

    while (i < model->debts->len) {
        struct debt debt = g_array_index(model->debts, struct debt, i);
        const struct agent *guard = &model->agents[debt.guard];
        const uint64_t *at_us;

        if (debt.due_us > model->now_us) {
            i++;
            continue;
        }
        g_array_remove_index_fast(model->debts, i);
        if (!guard->running || guard->boot != debt.guard_boot) {
            continue;
        }
        model->result.owed++;
        at_us = g_hash_table_lookup(model->probed, world_key(debt.caller));
        if (at_us == NULL || *at_us < debt.dead_us) {
            world_fail(model, "a flow of a dead owner was not probed");
        }
    }
}
