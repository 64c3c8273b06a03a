#include "cli/config_diff.h"

#include "base/addr.h"

/**
 * struct diff - writer of the differences of one service
 * @service: name of the service
 * @out: lines written so far are appended here
 * @count: differences found
 */
struct diff {
    const char *service;
    GString *out;
    size_t count;
};

static void
diff_string(struct diff *diff, const char *key, const char *from,
            const char *to)
{
    if (g_strcmp0(from, to) != 0) {
        g_string_append_printf(diff->out, "  ~ %s.%s: %s -> %s\n",
                               diff->service, key, from, to);
        diff->count++;
    }
}

static void
diff_number(struct diff *diff, const char *key, uint32_t from, uint32_t to)
{
    char left[16];
    char right[16];

    g_snprintf(left, sizeof(left), "%u", from);
    g_snprintf(right, sizeof(right), "%u", to);
    diff_string(diff, key, left, right);
}

static void
diff_limits(struct diff *diff, const struct service_config_limits *from,
            const struct service_config_limits *to)
{
    diff_number(diff, "limits.connections", from->connections,
                to->connections);
    diff_number(diff, "limits.connections_per_caller",
                from->connections_per_caller, to->connections_per_caller);
    diff_number(diff, "limits.queue", from->queue, to->queue);
    diff_number(diff, "limits.requests_per_caller", from->requests_per_caller,
                to->requests_per_caller);
    diff_number(diff, "limits.deadline_ms", from->deadline_ms,
                to->deadline_ms);
    diff_number(diff, "limits.body_bytes", from->body_bytes, to->body_bytes);
    diff_number(diff, "limits.idle_s", from->idle_s, to->idle_s);
}

static char *
format_depends(const struct service_config *config,
               const struct service_config_entry *service)
{
    GString *names = g_string_new("[");

    for (size_t i = 0; i < service->depends_count; i++) {
        g_string_append_printf(names, "%s%s", i > 0 ? ", " : "",
                               config->services[service->depends[i]].name);
    }
    g_string_append_c(names, ']');
    return g_string_free(names, FALSE);
}

static size_t
diff_service(const struct service_config *from_config,
             const struct service_config_entry *from,
             const struct service_config *to_config,
             const struct service_config_entry *to, GString *out)
{
    struct diff diff = {.service = from->name, .out = out};
    char left[ADDR_TEXT_MAX];
    char right[ADDR_TEXT_MAX];
    char *from_depends = format_depends(from_config, from);
    char *to_depends = format_depends(to_config, to);

    diff_string(&diff, "address and port",
                addr_format((struct addr){from->ip, from->port}, left),
                addr_format((struct addr){to->ip, to->port}, right));
    diff_string(&diff, "protocol", service_config_proto_name(from->proto),
                service_config_proto_name(to->proto));
    diff_string(&diff, "class", service_config_class_name(from->class),
                service_config_class_name(to->class));
    diff_string(&diff, "depends_on", from_depends, to_depends);
    diff_limits(&diff, &from->limits, &to->limits);
    g_free(from_depends);
    g_free(to_depends);
    return diff.count;
}

size_t
config_diff(const struct service_config *from, const struct service_config *to,
            GString *out)
{
    size_t count = 0;

    for (size_t i = 0; from != NULL && i < from->count; i++) {
        const struct service_config_entry *left = &from->services[i];
        const struct service_config_entry *right =
            service_config_find_id(to, left->id);

        if (right == NULL) {
            g_string_append_printf(out, "  - %s\n", left->name);
            count++;
        }
        else {
            count += diff_service(from, left, to, right, out);
        }
    }
    for (size_t i = 0; i < to->count; i++) {
        if (from == NULL ||
            service_config_find_id(from, to->services[i].id) == NULL) {
            g_string_append_printf(out, "  + %s\n", to->services[i].name);
            count++;
        }
    }
    return count;
}
