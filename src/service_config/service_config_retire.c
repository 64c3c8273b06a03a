#include "service_config/service_config_retire.h"

#include <errno.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "service_config/service_config_check.h"
#include "service_config/service_config_diag.h"

#define MSEC_PER_S 1000

/**
 * struct retired_list - list of retired addresses under construction
 * @change: the change it is computed for
 * @items: the list, at most SERVICE_CONFIG_RETIRED_MAX
 * @count: addresses found; those beyond the maximum are not stored
 * @diags: errors that forbid the change
 */
struct retired_list {
    const struct service_config_change *change;
    struct service_config_retired *items;
    size_t count;
    struct service_config_diags diags;
};

static bool
same_address(const struct service_config_entry *a,
             const struct service_config_entry *b)
{
    return a->ip == b->ip && a->port == b->port && a->proto == b->proto;
}

static bool
is_forgotten(const struct service_config_change *change,
             const struct service_config_entry *service)
{
    if (change->forget_all) {
        return true;
    }
    for (size_t i = 0; i < change->forget_count; i++) {
        const struct service_config_forget *forget = &change->forget[i];

        if (forget->addr.ip == service->ip &&
            forget->addr.port == service->port &&
            forget->proto == service->proto) {
            return true;
        }
    }
    return false;
}

static void
reject_reuse(struct retired_list *list,
             const struct service_config_entry *user,
             const struct service_config_entry *owner, uint64_t until_ms)
{
    size_t index = (size_t)(user - list->change->to->services);
    char *until = service_config_format_time(until_ms);
    char addr[ADDR_TEXT_MAX];
    char path[SERVICE_CONFIG_PATH_MAX];

    g_snprintf(path, sizeof(path), "services[%zu].address", index);
    service_config_diags_add(
        &list->diags, user->line, path,
        "found %s %s for \"%s\", which stays the address of "
        "\"%s\" until %s for the sake of its open flows, "
        "expected another address or port",
        service_config_proto_name(owner->proto),
        addr_format((struct addr){owner->ip, owner->port}, addr), user->name,
        owner->name, until);
    g_free(until);
}

/* Packets carry only the id, so a new name must not have the id of a service
 * with open flows. */
static void
check_id(struct retired_list *list, const struct service_config_entry *owner)
{
    const struct service_config_entry *same =
        service_config_find_id(list->change->to, owner->id);

    if (same != NULL && strcmp(same->name, owner->name) != 0) {
        service_config_diags_add(
            &list->diags, same->line, NULL,
            "found the name \"%s\" whose id is that of \"%s\", "
            "which has open flows, expected another name",
            same->name, owner->name);
    }
}

static void
add_address(struct retired_list *list,
            const struct service_config_entry *service, uint64_t until_ms)
{
    const struct service_config *to = list->change->to;
    const struct service_config_entry *user = service_config_find_addr(
        to, service->ip, service->port, service->proto);

    if ((user != NULL && user->id == service->id) ||
        is_forgotten(list->change, service)) {
        return;
    }
    check_id(list, service);
    if (user != NULL) {
        reject_reuse(list, user, service, until_ms);
        return;
    }
    if (list->count < SERVICE_CONFIG_RETIRED_MAX) {
        struct service_config_retired *item = &list->items[list->count];

        *item = (struct service_config_retired){*service, until_ms};
        item->service.depends_count = 0;
    }
    list->count++;
}

/* Addresses retired by earlier changes come first. */
static void
collect_addresses(struct retired_list *list)
{
    const struct service_config_change *change = list->change;
    const struct service_config *from = change->from;
    uint64_t until_ms =
        change->now_ms + change->hold_ms + SERVICE_CONFIG_RETIRE_SKEW_MS;

    for (size_t i = 0; i < from->retired_count; i++) {
        const struct service_config_retired *retired = &from->retired[i];

        if (change->now_ms < retired->until_ms) {
            add_address(list, &retired->service, retired->until_ms);
        }
    }
    for (size_t i = 0; i < from->count; i++) {
        const struct service_config_entry *service = &from->services[i];
        const struct service_config_entry *now =
            service_config_find_id(change->to, service->id);

        if (now == NULL || !same_address(service, now)) {
            add_address(list, service, until_ms);
        }
    }
}

/* A config of the maximum size may not fit together with the list. */
static void
check_size(struct retired_list *list)
{
    char *json = service_config_retired_write(list->items, list->count);
    size_t size = list->change->to->source_len + strlen(json) +
                  strlen(",\"retired\":") + SERVICE_CONFIG_ENVELOPE_MAX;

    if (list->count > 0 && size > SERVICE_CONFIG_SIZE_MAX) {
        service_config_diags_add(&list->diags, 1, NULL,
                                 "found %zu bytes with the %zu addresses that "
                                 "services have left, expected at most %u",
                                 size, list->count, SERVICE_CONFIG_SIZE_MAX);
    }
    g_free(json);
}

int
service_config_retire(
    const struct service_config_change *change,
    struct service_config_retired retired[SERVICE_CONFIG_RETIRED_MAX],
    size_t *count, char **report)
{
    struct retired_list list = {.change = change, .items = retired};

    service_config_diags_init(&list.diags, change->name);
    if (change->from != NULL) {
        collect_addresses(&list);
    }
    if (list.count > SERVICE_CONFIG_RETIRED_MAX) {
        service_config_diags_add(
            &list.diags, 1, NULL,
            "found %zu addresses that services have left and "
            "that may have open flows, expected at most %d",
            list.count, SERVICE_CONFIG_RETIRED_MAX);
    }
    else {
        check_size(&list);
    }
    *count = MIN(list.count, SERVICE_CONFIG_RETIRED_MAX);
    *report = service_config_diags_finish(&list.diags);
    return *report == NULL ? 0 : -EINVAL;
}

static void
add_number(struct json_object *object, const char *key, uint64_t number)
{
    json_object_object_add(object, key, json_object_new_uint64(number));
}

static void
add_string(struct json_object *object, const char *key, const char *string)
{
    json_object_object_add(object, key, json_object_new_string(string));
}

static struct json_object *
limits_json(const struct service_config_limits *limits)
{
    struct json_object *object = json_object_new_object();

    add_number(object, "connections", limits->connections);
    add_number(object, "connections_per_caller",
               limits->connections_per_caller);
    add_number(object, "queue", limits->queue);
    add_number(object, "requests_per_caller", limits->requests_per_caller);
    add_number(object, "deadline_ms", limits->deadline_ms);
    add_number(object, "body_bytes", limits->body_bytes);
    add_number(object, "idle_s", limits->idle_s);
    return object;
}

static struct json_object *
retired_json(const struct service_config_retired *retired)
{
    const struct service_config_entry *service = &retired->service;
    struct json_object *object = json_object_new_object();
    char ip[ADDR_TEXT_MAX];

    add_string(object, "name", service->name);
    addr_format((struct addr){service->ip, service->port}, ip);
    *strrchr(ip, ':') = '\0';
    add_string(object, "address", ip);
    add_number(object, "port", service->port);
    add_string(object, "protocol", service_config_proto_name(service->proto));
    add_string(object, "class", service_config_class_name(service->class));
    json_object_object_add(object, "limits", limits_json(&service->limits));
    add_number(object, "until_ms", retired->until_ms);
    return object;
}

char *
service_config_retired_write(const struct service_config_retired *retired,
                             size_t count)
{
    struct json_object *list = json_object_new_array();
    char *json;

    for (size_t i = 0; i < count; i++) {
        json_object_array_add(list, retired_json(&retired[i]));
    }
    json =
        g_strdup(json_object_to_json_string_ext(list, JSON_C_TO_STRING_PLAIN));
    json_object_put(list);
    return json;
}

char *
service_config_format_time(uint64_t ms)
{
    GDateTime *when = g_date_time_new_from_unix_utc((gint64)(ms / MSEC_PER_S));
    char *formatted = when != NULL
                          ? g_date_time_format(when, "%Y-%m-%d %H:%M:%S UTC")
                          : g_strdup("an unknown time");

    if (when != NULL) {
        g_date_time_unref(when);
    }
    return formatted;
}
