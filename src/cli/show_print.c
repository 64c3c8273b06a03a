#include "cli/show_print.h"

#include <errno.h>
#include <inttypes.h>

#include <json-c/json.h>

#include "base/clock.h"
#include "cli/words.h"
#include "text/text_retire.h"

static bool
is_process(const struct ask_process *process)
{
    return process->name[0] != '\0';
}

static size_t
count_versions(const struct ask *ask)
{
    GHashTable *versions = g_hash_table_new(g_int64_hash, g_int64_equal);
    size_t count;

    for (size_t i = 0; i < ask->processes->len; i++) {
        const struct ask_process *process = ask_at(ask, i);

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
    const struct ask_process *const *left = a;
    const struct ask_process *const *right = b;

    return g_strcmp0((*left)->name, (*right)->name);
}

void
show_sort(struct ask *ask)
{
    g_ptr_array_sort(ask->processes, by_name);
}

struct show_totals
show_totals(const struct ask *ask)
{
    struct show_totals totals = {.versions = count_versions(ask)};

    for (size_t i = 0; i < ask->processes->len; i++) {
        const struct ask_process *process = ask_at(ask, i);

        totals.processes += is_process(process);
        totals.answered += process->state == ASK_ANSWERED;
    }
    return totals;
}

static const char *
service_name(const struct text *text, const struct ask_process *process)
{
    const struct text_service *service = NULL;

    if (process->member == NULL || process->member->service == 0) {
        return "-";
    }
    if (text != NULL) {
        service = text_find_served(text, process->member->service);
    }
    return service != NULL ? service->name : "not in the text";
}

static struct text *
text_of(const struct ask *ask)
{
    struct text *text = NULL;
    char *report = NULL;

    if (ask->config != NULL && ask->config->config.len > 0) {
        text_parse_envelope((const char *)ask->config->config.data,
                            ask->config->config.len,
                            ask->config->config_version, &text, &report);
        g_free(report);
    }
    return text;
}

static char *
format_time(uint64_t ms_ago)
{
    GDateTime *now = g_date_time_new_now_utc();
    GDateTime *then =
        g_date_time_add(now, -(GTimeSpan)(ms_ago * USEC_PER_MSEC));
    char *words = g_date_time_format(then, "%Y-%m-%d %H:%M:%S UTC");

    g_date_time_unref(now);
    g_date_time_unref(then);
    return words;
}

static void
print_version(const Swiftarch__ShowReply *reply, GString *out)
{
    char *since;
    char age[WORDS_AGE_MAX];

    if (reply->config_version == 0) {
        g_string_append(out, "no configuration in force yet");
        return;
    }
    since = format_time(reply->in_force_ms);
    g_string_append_printf(out, "version %" PRIu64 " in force since %s (%s)",
                           reply->config_version, since,
                           words_age(reply->in_force_ms, age));
    g_string_append_printf(out, ", word %s old",
                           words_age(reply->heard_ms, age));
    g_free(since);
}

static void
print_reader(const Swiftarch__ShowReply *reply, GString *out)
{
    char age[WORDS_AGE_MAX];

    if (!reply->from_platform) {
        return;
    }
    if (reply->platform_ok_ms == UINT64_MAX) {
        g_string_append(out, ", reads the platform: no answer yet");
        return;
    }
    g_string_append_printf(out, ", reads the platform: last answer %s ago",
                           words_age(reply->platform_ok_ms, age));
}

static void
print_failure(const struct ask_process *process, GString *out)
{
    g_string_append_printf(out, "DID NOT ANSWER (%s)",
                           g_strerror(-process->reason));
    if (process->member != NULL) {
        g_string_append_printf(
            out, ", the others take it for %s, last told version %" PRIu64,
            words_health(process->member->health),
            process->member->config_version);
    }
}

static void
print_process(const struct ask_process *process, const struct text *text,
              GString *out)
{
    const Swiftarch__ShowMember *member = process->member;
    const Swiftarch__ShowReply *reply = process->reply;
    uint32_t role = reply != NULL ? reply->role : member->role;
    uint32_t state = reply != NULL ? reply->state : member->state;

    g_string_append_printf(
        out, "%-24s %-9s %-12s %-9s %-12s ", process->name, words_role(role),
        reply != NULL ? reply->data_centre : member->data_centre,
        words_state(state), service_name(text, process));
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
print_silent_seeds(const struct ask *ask, GString *out)
{
    char addr[ADDR_TEXT_MAX];

    for (size_t i = 0; i < ask->processes->len; i++) {
        const struct ask_process *process = ask_at(ask, i);

        if (!is_process(process)) {
            g_string_append_printf(out, "seed %s did not answer (%s)\n",
                                   addr_format(process->control, addr),
                                   g_strerror(-process->reason));
        }
    }
}

static void
print_platform(const struct ask_platform *platform, GString *out)
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
                               " is published, by nobody named\n",
                               platform->version);
    }
}

/* Of the version that is in force where it was asked. */
static void
print_retired(const struct text *text, GString *out)
{
    char addr[ADDR_TEXT_MAX];

    for (size_t i = 0; text != NULL && i < text->retired_count; i++) {
        const struct text_service *service = &text->retired[i].service;
        char *until = text_time_words(text->retired[i].until_ms);

        g_string_append_printf(
            out, "retired: %s %s of %s, for its open flows until %s\n",
            text_proto_name(service->proto),
            addr_format((struct addr){service->ip, service->port}, addr),
            service->name, until);
        g_free(until);
    }
}

static void
print_summary(const struct ask *ask, GString *out)
{
    struct show_totals totals = show_totals(ask);

    g_string_append_printf(out, "%zu of %zu processes answered\n",
                           totals.answered, totals.processes);
    if (totals.versions > 1) {
        g_string_append_printf(out,
                               "VERSIONS DISAGREE: %zu different versions "
                               "are in force\n",
                               totals.versions);
    }
    if (ask->platform.done && ask->platform.status == 0 &&
        ask->config != NULL &&
        ask->config->config_version < ask->platform.version) {
        g_string_append_printf(out,
                               "the published version %" PRIu64
                               " is not in force yet where it was asked\n",
                               ask->platform.version);
    }
}

void
show_print_table(const struct ask *ask, GString *out)
{
    struct text *text = text_of(ask);

    for (size_t i = 0; i < ask->processes->len; i++) {
        if (is_process(ask_at(ask, i))) {
            print_process(ask_at(ask, i), text, out);
        }
    }
    print_silent_seeds(ask, out);
    print_platform(&ask->platform, out);
    print_retired(text, out);
    print_summary(ask, out);
    text_free(text);
}

void
show_print_counters(const struct ask *ask, GString *out)
{
    for (size_t i = 0; i < ask->processes->len; i++) {
        const struct ask_process *process = ask_at(ask, i);

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
process_json(const struct ask_process *process, const struct text *text,
             bool counters)
{
    const Swiftarch__ShowMember *member = process->member;
    const Swiftarch__ShowReply *reply = process->reply;
    struct json_object *object = json_object_new_object();
    char addr[ADDR_TEXT_MAX];

    add_string(object, "name", process->name);
    add_string(object, "control", addr_format(process->control, addr));
    add_string(object, "role",
               words_role(reply != NULL ? reply->role : member->role));
    add_string(object, "data_centre",
               reply != NULL ? reply->data_centre : member->data_centre);
    add_string(object, "state",
               words_state(reply != NULL ? reply->state : member->state));
    if (member != NULL) {
        add_string(object, "health", words_health(member->health));
        add_number(object, "slots", member->slots);
        add_number(object, "busy", member->busy);
        add_number(object, "waiting", member->waiting);
        if (member->service != 0) {
            add_string(object, "service", service_name(text, process));
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
platform_json(const struct ask_platform *platform)
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
retired_json(const struct text *text)
{
    struct json_object *list = json_object_new_array();
    char addr[ADDR_TEXT_MAX];

    for (size_t i = 0; text != NULL && i < text->retired_count; i++) {
        const struct text_service *service = &text->retired[i].service;
        struct json_object *object = json_object_new_object();

        add_string(object, "service", service->name);
        add_string(object, "protocol", text_proto_name(service->proto));
        add_string(
            object, "address",
            addr_format((struct addr){service->ip, service->port}, addr));
        add_number(object, "until_ms", text->retired[i].until_ms);
        json_object_array_add(list, object);
    }
    return list;
}

void
show_print_json(const struct ask *ask, GString *out)
{
    struct json_object *root = json_object_new_object();
    struct json_object *processes = json_object_new_array();
    struct json_object *seeds = json_object_new_array();
    struct show_totals totals = show_totals(ask);
    struct text *text = text_of(ask);
    char addr[ADDR_TEXT_MAX];

    for (size_t i = 0; i < ask->processes->len; i++) {
        const struct ask_process *process = ask_at(ask, i);

        if (is_process(process)) {
            json_object_array_add(processes,
                                  process_json(process, text, ask->counters));
        }
        else {
            json_object_array_add(seeds, json_object_new_string(addr_format(
                                             process->control, addr)));
        }
    }
    json_object_object_add(root, "processes", processes);
    json_object_object_add(root, "silent_seeds", seeds);
    json_object_object_add(root, "platform", platform_json(&ask->platform));
    json_object_object_add(root, "retired", retired_json(text));
    add_number(root, "asked", totals.processes);
    add_number(root, "answered", totals.answered);
    json_object_object_add(root, "versions_agree",
                           json_object_new_boolean(totals.versions <= 1));
    g_string_append_printf(
        out, "%s\n",
        json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
    json_object_put(root);
    text_free(text);
}
