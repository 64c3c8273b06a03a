/* Flows, messages and probes of the simulation. */
#include "world.h"

static struct addr
new_caller(struct model *model)
{
    /* Callers reuse addresses and ports. */
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
    g_assert_cmpint(orphan_flow_opened(&agent->orphans, flow.caller,
                                       world_service(flow.caller)),
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
    orphan_flow_closed(&agent->orphans, ended.caller,
                       world_service(ended.caller));
    while (agent->ended->len > 0 &&
           g_array_index(agent->ended, struct ended, 0).at_us + CLOSED_US <=
               model->now_us) {
        g_array_remove_index(agent->ended, 0);
    }
    g_array_append_val(agent->ended, ended);
    g_array_remove_index_fast(agent->flows, at);
}

static void
send_message(struct model *model, unsigned from, uint64_t to,
             const struct orphan_message *message)
{
    unsigned copies = g_rand_int_range(model->rand, 0, 20) == 0 ? 2 : 1;
    struct queued_message queued_message = {
        .from = from, .to = (unsigned)(to - world_id(0))};

    model->result.messages++;
    queued_message.message = *message;
    queued_message.to_boot = model->agents[queued_message.to].boot;
    while (copies-- > 0) {
        if (model->config->drop_messages ||
            (model->now_us < model->lossy_until_us &&
             g_rand_int_range(model->rand, 0, 3) == 0)) {
            continue;
        }
        /* The copy is delayed, as from an earlier connection. */
        queued_message.at_us =
            model->now_us + 1 +
            world_up_to(model, copies > 0 ? MESSAGE_DELAY_MAX_US : 30000);
        g_array_append_val(model->queued_messages, queued_message);
    }
}

static void
deliver(struct model *model, struct queued_message *queued_message)
{
    struct agent *agent = &model->agents[queued_message->to];
    struct orphan_message reply;

    if (!agent->running || agent->boot != queued_message->to_boot) {
        return;
    }
    if (orphan_receive(&agent->orphans, agent->view,
                       world_id(queued_message->from),
                       &queued_message->message, model->now_us, &reply)) {
        send_message(model, queued_message->to, world_id(queued_message->from),
                     &reply);
    }
}

void
traffic_deliver(struct model *model)
{
    guint i = 0;

    while (i < model->queued_messages->len) {
        struct queued_message queued_message =
            g_array_index(model->queued_messages, struct queued_message, i);

        if (queued_message.at_us > model->now_us ||
            world_is_frozen(model, &model->agents[queued_message.to])) {
            i++;
            continue;
        }
        g_array_remove_index_fast(model->queued_messages, i);
        deliver(model, &queued_message);
    }
}

void
traffic_deliver_updates(struct model *model)
{
    guint i = 0;

    while (i < model->member_updates->len) {
        struct member_update member_update =
            g_array_index(model->member_updates, struct member_update, i);

        if (member_update.at_us > model->now_us ||
            world_is_frozen(model, &model->agents[member_update.to])) {
            i++;
            continue;
        }
        g_array_remove_index_fast(model->member_updates, i);
        world_apply_update(model, &member_update);
    }
}

static void
record_probe(struct model *model, const struct orphan_probe *probe)
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
record_backups(struct model *model, struct agent *agent)
{
    for (size_t i = 0; i < OWNER_BACKUPS; i++) {
        const struct owner_backup *backup = &agent->orphans.owner.backups[i];
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
    struct orphan_message message;
    struct orphan_probe probes[16];
    uint64_t to;
    size_t count;

    if (agent->changed) {
        agent->changed = FALSE;
        g_free(agent->view);
        agent->view = world_build_view(model, i);
        orphan_set_view(&agent->orphans, agent->view, model->now_us);
        record_backups(model, agent);
    }
    orphan_tick(&agent->orphans, model->now_us);
    while (
        orphan_next_message(&agent->orphans, model->now_us, &to, &message)) {
        send_message(model, i, to, &message);
    }
    do {
        count = orphan_next_probes(&agent->orphans, model->now_us, probes,
                                   G_N_ELEMENTS(probes));
        for (size_t j = 0; j < count; j++) {
            record_probe(model, &probes[j]);
        }
    } while (count == G_N_ELEMENTS(probes));
    if (orphan_replicated_flows(&agent->orphans) >
        model->config->agents * 50 * 400) {
        world_fail(model, "more flows are replicated than can exist");
    }
}

void
traffic_check_expected_probes(struct model *model)
{
    guint i = 0;

    while (i < model->expected_probes->len) {
        struct expected_probe expected_probe =
            g_array_index(model->expected_probes, struct expected_probe, i);
        const struct agent *backup = &model->agents[expected_probe.backup];
        const uint64_t *at_us;

        if (expected_probe.due_us > model->now_us) {
            i++;
            continue;
        }
        g_array_remove_index_fast(model->expected_probes, i);
        if (!backup->running || backup->boot != expected_probe.backup_boot) {
            continue;
        }
        model->result.probes_due++;
        at_us = g_hash_table_lookup(model->probed,
                                    world_key(expected_probe.caller));
        if (at_us == NULL || *at_us < expected_probe.dead_us) {
            world_fail(model, "a flow of a dead owner was not probed");
        }
    }
}
