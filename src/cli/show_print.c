#include "cli/show_print.h"

#include <errno.h>
#include <inttypes.h>

#include <json-c/json.h>

#include "base/clock.h"
#include "cli/format.h"
#include "service_config/service_config_retire.h"

static bool
is_process(const struct control_query_process *process)
{
    return process->name[0] != '\0';
}

static size_t
count_versions(const struct control_query *query)
{
    GHashTable *versions = g_hash_table_new(g_int64_hash, g_int64_equal);
    size_t count;

    for (size_t i = 0; i < query->processes->len; i++) {
        const struct control_query_process *process =
            control_query_process_at(query, i);

        if (process->reply != NULL) {
            g_hash_table_add(versions, &process->reply->config_version);
        }
    }
    count = g_hash_table_size(versions);
    g_hash_table_destroy(versions);
    return count;
}

static gint
by_name(gconstpointer a, gconstpointer b)
{
    const struct control_query_process *const *left = a;
    const struct control_query_process *const *right = b;

    return g_strcmp0((*left)->name, (*right)->name);
}

void
show_sort(struct control_query *query)
{
    g_ptr_array_sort(query->processes, by_name);
}

struct show_totals
show_totals(const struct control_query *query)
{
    struct show_totals totals = {.versions = count_versions(query)};

    for (size_t i = 0; i < query->processes->len; i++) {
        const struct control_query_process *process =
            control_query_process_at(query, i);

        totals.processes += is_process(process);
        totals.answered += process->state == CONTROL_QUERY_ANSWERED;
    }
    return totals;
}

static const char *
service_name(const struct service_config *config,
             const struct control_query_process *process)
{
    const struct service_config_entry *service = NULL;

    if (process->member == NULL || process->member->service == 0) {
        return "-";
    }
    if (config != NULL) {
        service =
            service_config_find_with_retired(config, process->member->service);
    }
    return service != NULL ? service->name : "not in the configuration";
}

static struct service_config *
parse_reply_config(const struct control_query *query)
{
    struct service_config *config = NULL;
    char *report = NULL;

    if (query->config != NULL && query->config->config.len > 0) {
        service_config_parse_envelope((const char *)query->config->config.data,
                                      query->config->config.len,
                                      query->config->config_version, &config,
                                      &report);
        g_free(report);
    }
    return config;
}

static char *
format_time(uint64_t ms_ago)
{
    GDateTime *now = g_date_time_new_now_utc();
    GDateTime *then =
        g_date_time_add(now, -(GTimeSpan)(ms_ago * USEC_PER_MSEC));
    char *formatted = g_date_time_format(then, "%Y-%m-%d %H:%M:%S UTC");

    g_date_time_unref(now);
    g_date_time_unref(then);
    return formatted;
}

static void
print_version(const Swiftarch__ShowReply *reply, GString *out)
{
    char *since;
    char age[FORMAT_AGE_MAX];

    if (reply->config_version == 0) {
        g_string_append(out, "no configuration in force yet");
        return;
    }
    since = format_time(reply->in_force_ms);
    g_string_append_printf(out, "version %" PRIu64 " in force since %s (%s)",
                           reply->config_version, since,
                           format_age(reply->in_force_ms, age));
    g_string_append_printf(out, ", confirmed %s ago",
                           format_age(reply->heard_ms, age));
    g_free(since);
}

static void
print_reader(const Swiftarch__ShowReply *reply, GString *out)
{
    char age[FORMAT_AGE_MAX];

    if (!reply->from_platform) {
        return;
    }
    if (reply->platform_ok_ms == UINT64_MAX) {
        g_string_append(out, ", reads the platform: no reply yet");
        return;
    }
    g_string_append_printf(out, ", reads the platform: last reply %s ago",
                           format_age(reply->platform_ok_ms, age));
}

static void
print_failure(const struct control_query_process *process, GString *out)
{
    g_string_append_printf(out, "DID NOT ANSWER (%s)",
                           g_strerror(-process->reason));
    if (process->member != NULL) {
        g_string_append_printf(
            out, ", other processes report it %s with version %" PRIu64,
            format_health(process->member->health),
            process->member->config_version);
    }
}

static void
print_process(const struct control_query_process *process,
              const struct service_config *config, GString *out)
{
    const Swiftarch__ShowMember *member = process->member;
    const Swiftarch__ShowReply *reply = process->reply;
    uint32_t role = reply != NULL ? reply->role : member->role;
    uint32_t state = reply != NULL ? reply->state : member->state;

    g_string_append_printf(
        out, "%-24s %-9s %-12s %-9s %-12s ", process->name, format_role(role),
        reply != NULL ? reply->data_centre : member->data_centre,
        format_state(state), service_name(config, process));
    if (reply != NULL) {
        print_version(reply, out);
        print_reader(reply, out);
    }
    else {
        print_failure(process, out);
    }
    g_string_append_c(out, '\n');
}

static void
print_silent_seeds(const struct control_query *query, GString *out)
{
    char addr[ADDR_TEXT_MAX];

    for (size_t i = 0; i < query->processes->len; i++) {
        const struct control_query_process *process =
            control_query_process_at(query, i);

        if (!is_process(process)) {
            g_string_append_printf(out, "seed %s did not answer (%s)\n",
                                   addr_format(process->control, addr),
                                   g_strerror(-process->reason));
        }
    }
}

static void
print_platform(const struct control_query_platform *platform, GString *out)
{
    if (!platform->done) {
        g_string_append(out, "platform: did not answer in time\n");
    }
    else if (platform->status == -ENOENT) {
        g_string_append(out, "platform: nothing is published yet\n");
    }
    else if (platform->status < 0) {
        g_string_append_printf(out, "platform: did not answer (%s)\n",
                               platform->error.detail);
    }
    else if (platform->has_envelope) {
        g_string_append_printf(
            out, "platform: version %" PRIu64 " is published, by %s\n",
            platform->version, platform->envelope.author);
    }
    else {
        g_string_append_printf(out,
                               "platform: version %" PRIu64
                               " is published, without an author\n",
                               platform->version);
    }
}

/* Lists the retired addresses of the newest config version in the replies. */
static void
print_retired(const struct service_config *config, GString *out)
{
    char addr[ADDR_TEXT_MAX];

    for (size_t i = 0; config != NULL && i < config->retired_count; i++) {
        const struct service_config_entry *service =
            &config->retired[i].service;
        char *until = service_config_format_time(config->retired[i].until_ms);

        g_string_append_printf(
            out, "retired: %s %s of %s, for its open flows until %s\n",
            service_config_proto_name(service->proto),
            addr_format((struct addr){service->ip, service->port}, addr),
            service->name, until);
        g_free(until);
    }
}

static void
print_summary(const struct control_query *query, GString *out)
{
    struct show_totals totals = show_totals(query);

    g_string_append_printf(out, "%zu of %zu processes answered\n",
                           totals.answered, totals.processes);
    if (totals.versions > 1) {
        g_string_append_printf(out,
                               "VERSIONS DISAGREE: %zu different versions "
                               "are in force\n",
                               totals.versions);
    }
    if (query->platform.done && query->platform.status == 0 &&
        query->config != NULL &&
        query->config->config_version < query->platform.version) {
        g_string_append_printf(
            out,
            "the published version %" PRIu64
            " is not in force yet on the queried processes\n",
            query->platform.version);
    }
}

void
show_print_table(const struct control_query *query, GString *out)
{
    struct service_config *config = parse_reply_config(query);

    for (size_t i = 0; i < query->processes->len; i++) {
        if (is_process(control_query_process_at(query, i))) {
            print_process(control_query_process_at(query, i), config, out);
        }
    }
    print_silent_seeds(query, out);
    print_platform(&query->platform, out);
    print_retired(config, out);
    print_summary(query, out);
    service_config_free(config);
}

void
show_print_counters(const struct control_query *query, GString *out)
{
    for (size_t i = 0; i < query->processes->len; i++) {
        const struct control_query_process *process =
            control_query_process_at(query, i);

        if (process->reply != NULL) {
            g_string_append_printf(out, "\n# %s\n%s", process->name,
                                   process->reply->counters);
        }
    }
}

static void
add_string(struct json_object *object, const char *key, const char *value)
{
    json_object_object_add(object, key, json_object_new_string(value));
}

static void
add_number(struct json_object *object, const char *key, uint64_t value)
{
    json_object_object_add(
        object, key,
        value == UINT64_MAX ? NULL : json_object_new_uint64(value));
}

static void
add_reply(struct json_object *object, const Swiftarch__ShowReply *reply,
          bool counters)
{
    add_number(object, "config_version", reply->config_version);
    add_number(object, "in_force_ms", reply->in_force_ms);
    add_number(object, "word_age_ms", reply->heard_ms);
    json_object_object_add(object, "reads_platform",
                           json_object_new_boolean(reply->from_platform));
    add_number(object, "platform_answer_age_ms", reply->platform_ok_ms);
    if (counters) {
        add_string(object, "counters", reply->counters);
    }
}

static struct json_object *
process_json(const struct control_query_process *process,
             const struct service_config *config, bool counters)
{
    const Swiftarch__ShowMember *member = process->member;
    const Swiftarch__ShowReply *reply = process->reply;
    struct json_object *object = json_object_new_object();
    char addr[ADDR_TEXT_MAX];

    add_string(object, "name", process->name);
    add_string(object, "control", addr_format(process->control, addr));
    add_string(object, "role",
               format_role(reply != NULL ? reply->role : member->role));
    add_string(object, "data_centre",
               reply != NULL ? reply->data_centre : member->data_centre);
    add_string(object, "state",
               format_state(reply != NULL ? reply->state : member->state));
    if (member != NULL) {
        add_string(object, "health", format_health(member->health));
        add_number(object, "slots", member->slots);
        add_number(object, "busy", member->busy);
        add_number(object, "waiting", member->waiting);
        if (member->service != 0) {
            add_string(object, "service", service_name(config, process));
        }
    }
    json_object_object_add(object, "answered",
                           json_object_new_boolean(reply != NULL));
    if (reply != NULL) {
        add_reply(object, reply, counters);
    }
    else {
        add_string(object, "reason", g_strerror(-process->reason));
    }
    return object;
}

static struct json_object *
platform_json(const struct control_query_platform *platform)
{
    struct json_object *object = json_object_new_object();
    bool answered = platform->done &&
                    (platform->status == 0 || platform->status == -ENOENT);

    json_object_object_add(object, "answered",
                           json_object_new_boolean(answered));
    if (answered) {
        add_number(object, "version", platform->version);
    }
    if (platform->has_envelope) {
        add_string(object, "operator", platform->envelope.author);
        add_number(object, "written_ms", platform->envelope.written_ms);
    }
    return object;
}

static struct json_object *
retired_json(const struct service_config *config)
{
    struct json_object *list = json_object_new_array();
    char addr[ADDR_TEXT_MAX];

    for (size_t i = 0; config != NULL && i < config->retired_count; i++) {
        const struct service_config_entry *service =
            &config->retired[i].service;
        struct json_object *object = json_object_new_object();

        add_string(object, "service", service->name);
        add_string(object, "protocol",
                   service_config_proto_name(service->proto));
        add_string(
            object, "address",
            addr_format((struct addr){service->ip, service->port}, addr));
        add_number(object, "until_ms", config->retired[i].until_ms);
        json_object_array_add(list, object);
    }
    return list;
}

void
show_print_json(const struct control_query *query, GString *out)
{
    struct json_object *root = json_object_new_object();
    struct json_object *processes = json_object_new_array();
    struct json_object *seeds = json_object_new_array();
    struct show_totals totals = show_totals(query);
    struct service_config *config = parse_reply_config(query);
    char addr[ADDR_TEXT_MAX];

    for (size_t i = 0; i < query->processes->len; i++) {
        const struct control_query_process *process =
            control_query_process_at(query, i);

        if (is_process(process)) {
            json_object_array_add(
                processes, process_json(process, config, query->counters));
        }
        else {
            json_object_array_add(seeds, json_object_new_string(addr_format(
                                             process->control, addr)));
        }
    }
    json_object_object_add(root, "processes", processes);
    json_object_object_add(root, "silent_seeds", seeds);
    json_object_object_add(root, "platform", platform_json(&query->platform));
    json_object_object_add(root, "retired", retired_json(config));
    add_number(root, "asked", totals.processes);
    add_number(root, "answered", totals.answered);
    json_object_object_add(root, "versions_agree",
                           json_object_new_boolean(totals.versions <= 1));
    g_string_append_printf(
        out, "%s\n",
        json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
    json_object_put(root);
    service_config_free(config);
}
