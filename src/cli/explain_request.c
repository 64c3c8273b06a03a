#include "cli/explain_request.h"

#include <errno.h>
#include <inttypes.h>

#include "agent/reader.h"
#include "cli/format.h"
#include "idem/replicas.h"
#include "request/queue.h"
#include "request/retry.h"
#include "request/services.h"

#define NOW_US 1 /* current time of the simulated process */
#define HOUR_US (3600 * USEC_PER_SEC)

/**
 * struct read_request - a request parsed by the agent's reader
 * @base: callbacks of the reader; first member
 * @request: parsed request; valid if @complete
 * @complete: the reader found the end of the request
 */
struct read_request {
    struct reader_owner base;
    struct reader_request request;
    bool complete;
};

static void
on_request(struct reader_owner *owner, struct reader_request *request)
{
    struct read_request *read = (struct read_request *)owner;

    g_byte_array_unref(request->http);
    read->request = *request;
    read->request.http = NULL;
    read->complete = true;
}

static void
on_continue(struct reader_owner *owner)
{
}

static const struct reader_ops reader_ops = {
    .on_request = on_request,
    .on_continue = on_continue,
};

static void
add_field(GString *http, const char *name, const char *value)
{
    if (value != NULL) {
        g_string_append_printf(http, "%s: %s\r\n", name, value);
    }
}

/* Parses the request as an agent would. Returns its HTTP status, 0 if valid.
 */
static unsigned
read_request(const struct request_spec *spec, size_t body_max,
             struct read_request *read)
{
    GString *http = g_string_new(NULL);
    struct reader reader;
    unsigned status;

    *read = (struct read_request){.base.ops = &reader_ops};
    g_string_append_printf(http, "%s / HTTP/1.1\r\nHost: %s\r\n", spec->method,
                           spec->service);
    add_field(http, "Idempotency-Key", spec->key);
    add_field(http, "Priority", spec->priority);
    add_field(http, "Request-Timeout-Ms", spec->timeout_ms);
    g_string_append(http, "Content-Length: 0\r\n\r\n");
    reader_init(&reader, &read->base, body_max);
    reader_feed(&reader, http->str, http->len);
    status = reader.status;
    if (status == 0 && !read->complete) {
        status = 400;
    }
    reader_finish(&reader);
    g_string_free(http, TRUE);
    return status;
}

static void
print_class(const struct service_config_entry *service, unsigned urgency,
            GString *out)
{
    enum service_config_class class = reader_class(service->class, urgency);
    const char *order = class == SERVICE_CONFIG_URGENT
                            ? "served before ordinary requests"
                            : "queued behind urgent requests";

    g_string_append_printf(out, "class    %s: %s",
                           service_config_class_name(class), order);
    if (class != service->class) {
        g_string_append_printf(out, " (lowered by its Priority u=%u)",
                               urgency);
    }
    g_string_append_printf(out,
                           ",\n         but one start in %d is ordinary while "
                           "both are queued\n",
                           QUEUE_ORDINARY_EVERY);
}

static void
print_limits(const struct service_config_entry *service, uint32_t timeout_ms,
             GString *out)
{
    const struct service_config_limits *limits = &service->limits;

    g_string_append_printf(
        out, "deadline %u ms, %s: refused at once when it can't be met\n",
        timeout_ms != 0 ? timeout_ms : limits->deadline_ms,
        timeout_ms != 0 ? "its own" : "the service's");
    g_string_append_printf(
        out,
        "limits   %u flows (%u a caller), %u waiting, %u open a caller, at "
        "each endpoint;\n         bodies of %u bytes, flows idle for %u s\n",
        limits->connections, limits->connections_per_caller, limits->queue,
        limits->requests_per_caller, limits->body_bytes, limits->idle_s);
}

static void
print_retry(const struct reader_request *request, GString *out)
{
    if (request->keyed) {
        g_string_append_printf(
            out,
            "runs     at most once for its key, which is kept for %" PRIu64
            " h: a repeat gets the\n         recorded reply, 409 while the "
            "first runs, 504 when its outcome is\n         unknown, 422 when "
            "method, target or body differ\n",
            (uint64_t)(IDEM_TTL_US / HOUR_US));
    }
    if (request->idempotent) {
        g_string_append_printf(
            out,
            "retry    its method is idempotent: after a lost reply it may be "
            "run again, %d runs\n         in all, within a budget of %d %% "
            "of the replies\n",
            RETRY_ATTEMPTS_MAX, RETRY_PERCENT);
        return;
    }
    g_string_append(out, "retry    its method is not idempotent: once handed "
                         "to an upstream it is never sent\n         again; "
                         "without a complete reply its outcome is unknown "
                         "(504)\n");
}

static bool
serves(const struct view_member *member, uint32_t service)
{
    return member->role == MEMBER_AGENT && member->service == service;
}

static bool
accepts_requests(const struct view_member *member)
{
    return member->health == MEMBER_ALIVE &&
           (member->state == MEMBER_READY || member->state == MEMBER_WARMING);
}

static size_t
count_available(const struct view *view, uint32_t service)
{
    size_t count = 0;

    for (size_t i = 0; i < view->count; i++) {
        count += serves(&view->members[i], service) &&
                 accepts_requests(&view->members[i]);
    }
    return count;
}

static void
print_dependencies(const struct snapshot *snapshot, uint32_t id, GString *out)
{
    GHashTable *services = services_new(snapshot->config);
    const struct service *service = services_find(services, id);

    if (service->dependencies->len == 0) {
        g_string_append(out, "needs    no other service\n");
    }
    for (guint i = 0; i < service->dependencies->len; i++) {
        uint32_t dependency =
            g_array_index(service->dependencies, uint32_t, i);

        g_string_append_printf(
            out, "needs    %s",
            service_config_find_id(snapshot->config, dependency)->name);
        if (snapshot->source_process[0] != '\0') {
            size_t available = count_available(snapshot->view, dependency);

            g_string_append_printf(
                out, ": %zu endpoints accept requests%s", available,
                available == 0 ? ", so it is refused (503)" : "");
        }
        g_string_append_c(out, '\n');
    }
    g_hash_table_destroy(services);
}

static void
print_endpoints(const struct snapshot *snapshot, uint32_t service,
                GString *out)
{
    const struct view *view = snapshot->view;

    g_string_append(out,
                    "runs at  any endpoint with a free slot, first the one "
                    "of its flow\n");
    for (size_t i = 0; i < view->count; i++) {
        const struct view_member *member = &view->members[i];

        if (serves(member, service)) {
            g_string_append_printf(
                out,
                "         %-24s %-12s %s, %s, %u of %u slots busy, %u "
                "waiting\n",
                member->name, member->data_centre, format_state(member->state),
                format_health(member->health), member->busy, member->slots,
                member->waiting);
        }
    }
    if (count_available(view, service) == 0) {
        g_string_append(out, "         no endpoint accepts requests: refused, "
                             "not run (503)\n");
    }
}

/* Selects the replicas as a process started now would. It derives the age of
 * the other processes from their incarnations. */
static int
print_replicas(const struct snapshot *snapshot, const struct idem_key *key,
               GString *out)
{
    struct replicas replicas = {0};
    struct replica_set set;
    bool changed;
    int rc = replicas_update(&replicas, snapshot->view, NOW_US, &changed);

    if (rc < 0) {
        return rc;
    }
    replicas_at(&replicas, key, NOW_US, &set);
    g_string_append_printf(out,
                           "record   of its key is kept by %zu of at most %d "
                           "agents\n",
                           set.count, IDEM_REPLICAS);
    for (size_t i = 0; i < set.count; i++) {
        const struct view_member *member =
            view_find(snapshot->view, set.sessions[i]->id);

        g_string_append_printf(
            out, "         %-24s %-12s %s, %s%s\n", member->name,
            member->data_centre, format_state(member->state),
            format_health(member->health),
            replicas_eligible(set.sessions[i], NOW_US) ? ""
                                                       : ", not eligible yet");
    }
    replicas_finish(&replicas);
    return 0;
}

static int
print_live(const struct snapshot *snapshot,
           const struct service_config_entry *service,
           const struct reader_request *request, GString *out)
{
    const struct idem_key key = {
        .service = service->id,
        .hash = {request->key_hash[0], request->key_hash[1]},
    };

    if (snapshot->source_process[0] == '\0') {
        g_string_append(out, "runs at  endpoints are not part of the "
                             "configuration; use --operator\n");
        return 0;
    }
    print_endpoints(snapshot, service->id, out);
    return request->keyed ? print_replicas(snapshot, &key, out) : 0;
}

int
explain_request(const struct snapshot *snapshot,
                const struct request_spec *spec, GString *out)
{
    const struct service_config_entry *service =
        service_config_find_name(snapshot->config, spec->service);
    struct read_request read;
    unsigned status;

    if (service == NULL) {
        g_string_append_printf(
            out, "the configuration has no service \"%s\"\n", spec->service);
        return -ENOENT;
    }
    if (service->proto == SERVICE_CONFIG_UDP) {
        g_string_append_printf(out,
                               "%s is a UDP service: its datagrams are "
                               "forwarded, no request is parsed\n",
                               service->name);
        return 0;
    }
    status = read_request(spec, service->limits.body_bytes, &read);
    if (status != 0) {
        g_string_append_printf(out,
                               "answered with %u by the agent: the request "
                               "can't be parsed and is not run\n",
                               status);
        return -EINVAL;
    }
    g_string_append_printf(out, "request  %s to %s\n", spec->method,
                           service->name);
    print_class(service, read.request.urgency, out);
    print_limits(service, read.request.timeout_ms, out);
    print_retry(&read.request, out);
    print_dependencies(snapshot, service->id, out);
    return print_live(snapshot, service, &read.request, out);
}
