/* Events and final checks of the model. */
#include <stdlib.h>
#include <string.h>

#include "model_state.h"

unsigned
model_pick(struct model *m, unsigned n)
{
    return (unsigned)g_rand_int_range(m->rand, 0, (gint32)n);
}

void
model_fail(struct model *m, const char *failure, unsigned flow, unsigned host)
{
    if (m->result.failure == NULL) {
        m->result.failure =
            g_strdup_printf("%s (flow %u, host %u)", failure, flow, host);
    }
}

static void
step(struct model *m)
{
    unsigned event = model_pick(m, 1000);

    m->now_us += model_pick(m, 20000);
    model_update_all_views(m, SKEW_US);
    if (event < 500) {
        model_deliver_any(m);
    }
    else if (event < 800) {
        model_caller_act(m);
    }
    else if (event < 890) {
        model_update_view(m, model_pick(m, PROCESSES),
                          model_pick(m, m->config.hosts));
    }
    else if (event < 970) {
        model_send_pins(m, model_pick(m, m->config.hosts));
    }
    else if (event < 985 || !m->config.faults) {
        model_change_planned(m, model_pick(m, m->config.hosts));
    }
    else if (event < 990) {
        model_change_fault(m, model_pick(m, m->config.hosts));
    }
    else {
        model_change_suspicion(m, model_pick_silent(m));
    }
}

/* Sends a packet and delivers it; returns the flow's new phase, OPENING if the
 * packet was lost. */
static enum flow_phase
probe(struct model *m, unsigned flow)
{
    size_t before = m->result.resets;
    size_t taken = 0;

    g_array_set_size(m->messages, 0);
    for (unsigned i = 0; i < MODEL_HOPS_MAX; i++) {
        taken += m->result.hops[i];
    }
    model_send_packet(m, flow, PACKET_TCP_ACK);
    while (m->messages->len > 0) {
        struct message message = g_array_index(m->messages, struct message, 0);

        g_array_remove_index(m->messages, 0);
        model_deliver(m, &message);
    }
    for (unsigned i = 0; i < MODEL_HOPS_MAX; i++) {
        taken -= m->result.hops[i];
    }
    if (taken == 0 && m->result.resets == before) {
        return OPENING;
    }
    return m->callers[flow].phase;
}

static void
deliver_pins(struct model *m)
{
    g_array_set_size(m->messages, 0);
    for (unsigned i = 0; i < m->config.hosts; i++) {
        model_send_pins(m, i);
    }
    for (unsigned i = 0; i < m->messages->len; i++) {
        model_deliver(m, &g_array_index(m->messages, struct message, i));
    }
    g_array_set_size(m->messages, 0);
}

static void
start_stopped_hosts(struct model *m)
{
    for (unsigned i = 0; i < m->config.hosts; i++) {
        if (!m->hosts[i].running && m->truth[i].id == 0) {
            model_host_start(m, i, 1 + i % m->config.services);
        }
    }
}

/* Checks that packets of live flows reach their owner unless it is suspected.
 */
static void
probe_live(struct model *m)
{
    for (unsigned i = 0; i < FLOWS; i++) {
        for (unsigned k = 0;
             k < 3 && model_live(m, &m->callers[i]) &&
             m->truth[m->callers[i].owner].health == MEMBER_ALIVE;
             k++) {
            if (probe(m, i) != OPEN) {
                model_fail(m, "a live flow's packet was lost", i,
                           m->callers[i].owner);
            }
        }
    }
}

static void
probe_dead(struct model *m)
{
    for (unsigned i = 0; i < FLOWS; i++) {
        const struct caller *caller = &m->callers[i];

        if (caller->phase == OPEN &&
            m->hosts[caller->owner].epoch != caller->owner_epoch &&
            probe(m, i) != IDLE) {
            model_fail(m, "the caller of a dead host was not reset", i,
                       caller->owner);
        }
    }
}

/* Marks frozen hosts as suspected and stopped ones as dead. */
static void
update_health(struct model *m)
{
    for (unsigned i = 0; i < m->config.hosts; i++) {
        if (m->hosts[i].frozen && m->truth[i].health == MEMBER_ALIVE) {
            m->truth[i].health = MEMBER_SUSPECT;
        }
        else if (!m->hosts[i].running && m->truth[i].id != 0) {
            m->truth[i].health = MEMBER_DEAD;
        }
        model_changed(m, i);
    }
}

static void
refute_all(struct model *m)
{
    for (unsigned i = 0; i < m->config.hosts; i++) {
        if (m->hosts[i].running && m->truth[i].health != MEMBER_ALIVE) {
            m->hosts[i].frozen = false;
            m->truth[i].health = MEMBER_ALIVE;
            m->truth[i].incarnation++;
            model_changed(m, i);
        }
    }
}

/* With all views up to date, checks that live flows work and that callers of
 * dead hosts are reset. */
static void
check_all(struct model *m)
{
    update_health(m);
    model_update_all_views(m, 0);
    deliver_pins(m);
    probe_live(m);
    refute_all(m);
    model_update_all_views(m, 0);
    deliver_pins(m);
    probe_live(m);
    /* No recent joins; all pins refreshed. */
    m->now_us += FLOW_JOIN_GRACE_US + FLOW_PIN_REFRESH_US;
    deliver_pins(m);
    probe_live(m);
    probe_dead(m);
}

struct model_result
model_run(const struct model_config *config, guint32 seed, unsigned steps)
{
    struct model *m = g_new0(struct model, 1);
    struct model_result result;
    unsigned i;

    m->config = *config;
    m->rand = g_rand_new_with_seed(seed);
    m->messages = g_array_new(FALSE, FALSE, sizeof(struct message));
    m->now_us = 1000 * USEC_PER_SEC;
    m->next_port = 1024;
    for (i = 0; i < config->first; i++) {
        model_host_start(m, i, 1 + i % config->services);
    }
    model_update_all_views(m, 0);
    m->now_us += FLOW_JOIN_GRACE_US;
    for (i = 0; i < steps && m->result.failure == NULL; i++) {
        if (config->burst && i == steps / 2) {
            start_stopped_hosts(m);
        }
        step(m);
    }
    m->result.step = i;
    if (m->result.failure == NULL) {
        check_all(m);
    }
    result = m->result;
    for (i = 0; i < PROCESSES; i++) {
        free(m->local_views[i].view);
        rank_finish(&m->local_views[i].ranks[1]);
        rank_finish(&m->local_views[i].ranks[2]);
    }
    for (i = 0; i < config->hosts; i++) {
        flow_table_free(m->hosts[i].table);
    }
    g_array_unref(m->messages);
    g_rand_free(m->rand);
    g_free(m);
    return result;
}
