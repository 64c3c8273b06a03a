/* Hosts of the model and the views of its processes. */
#include <stdlib.h>
#include <string.h>

#include "model_state.h"

static void
rank_service(struct local_view *local, uint32_t service)
{
    struct rank *rank = &local->ranks[service];
    struct rank previous = *rank;
    uint64_t ids[MODEL_HOSTS_MAX];
    size_t count = 0;

    for (size_t i = 0; i < local->view->count; i++) {
        if (local->view->members[i].service == service &&
            local->view->members[i].health != MEMBER_DEAD) {
            ids[count++] = local->view->members[i].id;
        }
    }
    g_assert_cmpint(
        rank_init(rank, ids, count, previous.table ? &previous : NULL), ==, 0);
    if (previous.table != NULL) {
        rank_finish(&previous);
    }
}

static void
view_rebuild(struct model *m, unsigned process)
{
    struct local_view *local = &m->local_views[process];

    free(local->view);
    local->view = view_new(MODEL_HOSTS_MAX);
    for (unsigned i = 0; i < m->config.hosts; i++) {
        if (local->known[i]) {
            local->view->members[local->view->count++] = local->members[i];
        }
    }
    if (process < MODEL_HOSTS_MAX && m->hosts[process].table != NULL) {
        flow_set_view(m->hosts[process].table, local->view,
                      m->truth[process].service, !m->hosts[process].draining,
                      m->now_us);
    }
    for (unsigned i = 1; process >= MODEL_HOSTS_MAX && i <= m->config.services;
         i++) {
        rank_service(local, i);
    }
}

void
model_update_view(struct model *m, unsigned process, unsigned host)
{
    struct local_view *local = &m->local_views[process];

    if (m->truth[host].id == 0 ||
        (process < MODEL_HOSTS_MAX && !m->hosts[process].running) ||
        (process < MODEL_HOSTS_MAX && m->hosts[process].frozen)) {
        return;
    }
    local->members[host] = m->truth[host];
    local->known[host] = true;
    local->updated_us[host] = m->now_us;
    view_rebuild(m, process);
}

void
model_update_all_views(struct model *m, uint64_t older_us)
{
    for (unsigned p = 0; p < PROCESSES; p++) {
        for (unsigned h = 0; h < m->config.hosts; h++) {
            struct local_view *local = &m->local_views[p];

            if (m->changed_us[h] + older_us <= m->now_us &&
                (!local->known[h] ||
                 local->updated_us[h] <= m->changed_us[h])) {
                model_update_view(m, p, h);
            }
        }
    }
}

void
model_changed(struct model *m, unsigned host)
{
    m->changed_us[host] = m->now_us;
    model_update_view(m, host, host);
}

void
model_host_start(struct model *m, unsigned i, uint32_t service)
{
    struct host *host = &m->hosts[i];

    memset(host->isn, 0, sizeof(host->isn));
    host->running = true;
    host->frozen = false;
    host->draining = false;
    host->epoch++;
    host->table = flow_table_new(i + 1, CAPACITY);
    memset(&m->local_views[i].known, 0, sizeof(m->local_views[i].known));
    m->truth[i] = (struct view_member){
        .id = i + 1,
        .incarnation = m->now_us,
        .role = MEMBER_AGENT,
        .state = MEMBER_READY,
        .service = service,
        .data = {0x7f000001, (uint16_t)(1000 + i)},
    };
    model_changed(m, i);
}

static void
host_stop(struct model *m, unsigned i)
{
    flow_table_free(m->hosts[i].table);
    m->hosts[i].table = NULL;
    m->hosts[i].running = false;
    m->hosts[i].epoch++;
}

bool
model_live(const struct model *m, const struct caller *caller)
{
    const struct host *host = &m->hosts[caller->owner];

    return caller->phase == OPEN && host->epoch == caller->owner_epoch &&
           host->declared_dead == caller->owner_declared_dead &&
           (caller->served ||
            caller->syn_ack_sent_us + FLOW_HALF_OPEN_TTL_US > m->now_us);
}

void
model_change_planned(struct model *m, unsigned i)
{
    struct host *host = &m->hosts[i];

    if (!host->running) {
        model_host_start(m, i, 1 + i % m->config.services);
    }
    else if (!host->frozen && !host->draining) {
        host->draining = true;
        m->truth[i].state = MEMBER_DRAINING;
        model_changed(m, i);
    }
    else if (!host->frozen && flow_count(host->table, NULL) == 0) {
        host_stop(m, i);
        m->truth[i].health = MEMBER_DEAD;
        model_changed(m, i);
    }
}

void
model_change_suspicion(struct model *m, unsigned i)
{
    struct host *host = &m->hosts[i];
    struct view_member *truth = &m->truth[i];
    bool answers = host->running && (!host->frozen || model_pick(m, 2) == 0);

    if (truth->id == 0 || (truth->health == MEMBER_DEAD && !answers)) {
        return;
    }
    if (answers && (host->frozen || truth->health == MEMBER_SUSPECT)) {
        host->frozen = false;
        truth->health = MEMBER_ALIVE;
        truth->incarnation++;
    }
    else {
        truth->health++;
        host->declared_dead += truth->health == MEMBER_DEAD;
    }
    model_changed(m, i);
}

void
model_change_fault(struct model *m, unsigned i)
{
    struct host *host = &m->hosts[i];
    unsigned event = model_pick(m, 4);

    if (!host->running || host->frozen) {
        model_change_suspicion(m, i);
    }
    else if (event == 0) {
        host_stop(m, i);
    }
    else if (event == 1) {
        /* Restarts with the same address, perhaps for another service. */
        host_stop(m, i);
        model_host_start(m, i, 1 + model_pick(m, m->config.services));
    }
    else {
        host->frozen = true;
    }
}

unsigned
model_pick_silent(struct model *m)
{
    unsigned first = model_pick(m, m->config.hosts);

    for (unsigned k = 0; k < m->config.hosts; k++) {
        unsigned i = (first + k) % m->config.hosts;

        if (m->hosts[i].frozen ||
            (m->truth[i].health != MEMBER_DEAD && !m->hosts[i].running)) {
            return i;
        }
    }
    return first;
}
