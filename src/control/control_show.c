#include <errno.h>
#include <string.h>

#include <glib.h>

#include "control/control.pb-c.h"
#include "control/control_internal.h"

struct counter_name {
    const char *name;
    const char *labels;
    bool gauge;
};

static const struct counter_name names[CONTROL_COUNTERS] = {
    [CONTROL_BYTES_OUT] = {"control_bytes_total", "way=\"out\"", false},
    [CONTROL_BYTES_IN] = {"control_bytes_total", "way=\"in\"", false},
    [CONTROL_MESSAGES_OUT] = {"control_messages_total", "way=\"out\"", false},
    [CONTROL_MESSAGES_IN] = {"control_messages_total", "way=\"in\"", false},
    [CONTROL_MESSAGES_BAD] = {"control_messages_bad_total", "", false},
    [CONTROL_PROBES] = {"control_probes_total", "", false},
    [CONTROL_PROBES_FAILED] = {"control_probes_failed_total", "", false},
    [CONTROL_SUSPICIONS] = {"control_suspicions_total", "", false},
    [CONTROL_REFUTED] = {"control_suspicions_refuted_total", "", false},
    [CONTROL_DEATHS_TIMEOUT] = {"control_deaths_total", "cause=\"timeout\"",
                                false},
    [CONTROL_DEATHS_PROVEN] = {"control_deaths_total", "cause=\"proof\"",
                               false},
    [CONTROL_JOINS_REFUSED] = {"control_joins_refused_total", "", false},
    [CONTROL_LIST_FULL] = {"control_members_refused_total", "", false},
    [CONTROL_SYNCS] = {"control_syncs_total", "", false},
    [CONTROL_STALLS] = {"control_stalls_total", "", false},
    [CONTROL_LATE] = {"control_late_periods_total", "", false},
    [CONTROL_NAME_CONFLICTS] = {"control_name_conflicts_total", "", false},
    [CONTROL_OTHER_CELL] = {"control_other_cell_total", "", false},
    [CONTROL_PLATFORM_CALLS] = {"platform_calls_total", "", false},
    [CONTROL_PLATFORM_FAILED] = {"platform_calls_failed_total", "", false},
    [CONTROL_SELF_READS] = {"config_self_reads_total", "", false},
    [CONTROL_CONFIG_FETCHES] = {"config_fetches_total", "", false},
    [CONTROL_CONFIG_STALE] = {"config_stale_answers_total", "", false},
    [CONTROL_CONFIG_REFUSED] = {"config_refused_total", "", false},
    [CONTROL_CONFIG_VERSION] = {"config_version", "", true},
    [CONTROL_MEMBERS_ALIVE] = {"control_members", "health=\"alive\"", true},
    [CONTROL_MEMBERS_SUSPECT] = {"control_members", "health=\"suspect\"",
                                 true},
};

int
control_register_counters(struct control *control, struct error *err)
{
    for (size_t i = 0; i < CONTROL_COUNTERS; i++) {
        int handle;

        if (names[i].gauge)
            handle = counter_register_gauge(control->counters, names[i].name,
                                            names[i].labels);
        else
            handle = counter_register(control->counters, names[i].name,
                                      names[i].labels);
        if (handle < 0)
            return error_set(err, handle, "counters", NULL,
                             "The counter table has no room for %s.",
                             names[i].name);
        control->handles[i] = handle;
    }
    return 0;
}

static size_t
suspect_count(const struct member_core *members)
{
    size_t count = 0;

    for (size_t i = 0; i < members->count; i++) {
        if (members->entries[members->order[i]].member.health ==
            MEMBER_SUSPECT)
            count++;
    }
    return count;
}

void
control_update_counters(struct control *control)
{
    const struct member_stats *stats = &control->members.stats;
    const struct config_stats *config = &control->config.stats;
    const struct seeds_stats *seeds = &control->seeds.stats;
    const uint64_t values[CONTROL_COUNTERS] = {
        [CONTROL_BYTES_OUT] = control->bytes_out + control->hub.sent_bytes,
        [CONTROL_BYTES_IN] = control->bytes_in + control->hub.received_bytes,
        [CONTROL_MESSAGES_OUT] = control->datagrams_out,
        [CONTROL_MESSAGES_IN] = control->datagrams_in,
        [CONTROL_MESSAGES_BAD] = control->bad_messages,
        [CONTROL_PROBES] = stats->probes,
        [CONTROL_PROBES_FAILED] = stats->failed_probes,
        [CONTROL_SUSPICIONS] = stats->suspicions,
        [CONTROL_REFUTED] = stats->refuted,
        [CONTROL_DEATHS_TIMEOUT] = stats->deaths,
        [CONTROL_DEATHS_PROVEN] = stats->proven,
        [CONTROL_JOINS_REFUSED] = stats->refused_joins,
        [CONTROL_LIST_FULL] = stats->refused_full,
        [CONTROL_SYNCS] = stats->syncs,
        [CONTROL_STALLS] = stats->stalls,
        [CONTROL_LATE] = stats->late_periods,
        [CONTROL_NAME_CONFLICTS] = stats->name_conflicts,
        [CONTROL_OTHER_CELL] = stats->other_cell,
        [CONTROL_PLATFORM_CALLS] = platform_calls(control->platform),
        [CONTROL_PLATFORM_FAILED] = config->failed_calls + seeds->failed_calls,
        [CONTROL_SELF_READS] = config->self_reads,
        [CONTROL_CONFIG_FETCHES] = config->fetches,
        [CONTROL_CONFIG_STALE] = config->stale,
        [CONTROL_CONFIG_REFUSED] = config->refused,
        [CONTROL_CONFIG_VERSION] = control->config.have,
        [CONTROL_MEMBERS_ALIVE] = member_alive_count(&control->members),
        [CONTROL_MEMBERS_SUSPECT] = suspect_count(&control->members),
    };

    for (size_t i = 0; i < CONTROL_COUNTERS; i++)
        counter_set(control->counters, control->handles[i], values[i]);
}

static void
show_member(const struct view_member *member, Swiftarch__ShowMember *out)
{
    swiftarch__show_member__init(out);
    out->id = member->id;
    out->name = (char *)member->name;
    out->data_centre = (char *)member->data_centre;
    out->role = member->role;
    out->state = member->state;
    out->health = member->health;
    out->data_ip = member->data.ip;
    out->data_port = member->data.port;
    out->control_ip = member->control.ip;
    out->control_port = member->control.port;
    out->service = member->service;
    out->slots = member->slots;
    out->busy = member->busy;
    out->waiting = member->waiting;
    out->config_version = member->config_version;
    out->incarnation = member->incarnation;
}

static uint64_t
age_ms(uint64_t since_us, uint64_t now_us)
{
    if (since_us == 0)
        return UINT64_MAX;
    return now_us > since_us ? (now_us - since_us) / USEC_PER_MSEC : 0;
}

static void
fill_reply(struct control *control, Swiftarch__ShowReply *reply,
           uint64_t now_us)
{
    const struct member_core *members = &control->members;
    const struct service_config *config = control->blackboard->text;

    reply->name = (char *)control->settings->name;
    reply->data_centre = (char *)control->settings->data_centre;
    reply->role = members->entries[members->self].member.role;
    reply->state = members->entries[members->self].member.state;
    reply->config_version = control->config.have;
    reply->in_force_ms =
        config == NULL ? 0
                       : age_ms(control->blackboard->config_since_us, now_us);
    reply->heard_ms = age_ms(control->config.confirmed_us, now_us);
    reply->from_platform = config_is_reader(&control->config, now_us);
    reply->platform_ok_ms = age_ms(control->config.platform_us, now_us);
}

static void
send_reply(struct control *control, struct link_conn *conn,
           const Swiftarch__ShowReply *reply)
{
    size_t len = swiftarch__show_reply__get_packed_size(reply);
    uint8_t *body = g_malloc(len);

    swiftarch__show_reply__pack(reply, body);
    link_reply(&control->hub, conn, CONTROL_FRAME_SHOW_REPLY, body, len);
    g_free(body);
}

static void
send_with_members(struct control *control, struct link_conn *conn,
                  Swiftarch__ShowReply *reply, uint64_t now_us)
{
    struct view *view =
        member_view(&control->members, control->view_seq, now_us);
    const struct service_config *config = control->blackboard->text;
    Swiftarch__ShowMember *members;
    Swiftarch__ShowMember **pointers;

    if (view == NULL)
        return;
    members = g_new(Swiftarch__ShowMember, view->count);
    pointers = g_new(Swiftarch__ShowMember *, view->count);
    for (size_t i = 0; i < view->count; i++) {
        show_member(&view->members[i], &members[i]);
        pointers[i] = &members[i];
    }
    reply->n_members = view->count;
    reply->members = pointers;
    if (config != NULL) {
        reply->config.data = (uint8_t *)config->source;
        reply->config.len = config->source_len;
    }
    send_reply(control, conn, reply);
    g_free(pointers);
    g_free(members);
    free(view);
}

void
control_show(struct control *control, struct link_conn *conn,
             const uint8_t *body, size_t len)
{
    Swiftarch__ShowReply reply = SWIFTARCH__SHOW_REPLY__INIT;
    uint64_t now_us = control_now(control);
    Swiftarch__ShowRequest *request;
    char *counters = NULL;

    request = swiftarch__show_request__unpack(NULL, len, body);
    if (request == NULL) {
        control->bad_messages++;
        return;
    }
    fill_reply(control, &reply, now_us);
    if (request->counters) {
        control_update_counters(control);
        counters = counter_render(control->counters, NULL);
        reply.counters = counters;
    }
    if (request->members)
        send_with_members(control, conn, &reply, now_us);
    else
        send_reply(control, conn, &reply);
    g_free(counters);
    swiftarch__show_request__free_unpacked(request, NULL);
}
