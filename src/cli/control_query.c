#include "cli/control_query.h"

#include <errno.h>
#include <string.h>
#include <sys/random.h>

#include "base/clock.h"
#include "control/seeds.h"

#define FRAME_SHOW_REQUEST 0x110
#define FRAME_SHOW_REPLY 0x111

static void
process_free(gpointer data)
{
    struct control_query_process *process = data;

    if (process->reply != NULL) {
        swiftarch__show_reply__free_unpacked(process->reply, NULL);
    }
    g_free(process);
}

static struct control_query_process *
find_addr(const struct control_query *query, struct addr control)
{
    for (size_t i = 0; i < query->processes->len; i++) {
        struct control_query_process *process =
            g_ptr_array_index(query->processes, i);

        if (addr_equal(process->control, control)) {
            return process;
        }
    }
    return NULL;
}

static void
finish_if_complete(struct control_query *query);

static void
fail(struct control_query_process *process, int reason)
{
    if (process->state == CONTROL_QUERY_PENDING) {
        process->state = CONTROL_QUERY_FAILED;
        process->reason = reason;
    }
}

static void
send_control_query(struct control_query *query,
                   struct control_query_process *process)
{
    Swiftarch__ShowRequest request = SWIFTARCH__SHOW_REQUEST__INIT;
    uint8_t body[16];
    size_t len;
    int rc;

    request.counters = query->counters;
    request.members = process->seed;
    g_assert(swiftarch__show_request__get_packed_size(&request) <=
             sizeof(body));
    len = swiftarch__show_request__pack(&request, body);
    rc = link_send(&query->hub, process->control, FRAME_SHOW_REQUEST, body,
                   len);
    if (rc < 0) {
        fail(process, rc);
    }
}

static struct control_query_process *
add_process(struct control_query *query, struct addr control, bool seed)
{
    struct control_query_process *process =
        g_new0(struct control_query_process, 1);

    process->control = control;
    process->seed = seed;
    g_ptr_array_add(query->processes, process);
    send_control_query(query, process);
    return process;
}

/* Adds or updates a process from a reply's member list. */
static void
add_member(struct control_query *query, const Swiftarch__ShowMember *member)
{
    struct addr control = {member->control_ip, (uint16_t)member->control_port};
    struct control_query_process *process = find_addr(query, control);

    if (control.ip == 0 || control.port == 0) {
        return;
    }
    if (process == NULL) {
        if (query->seeds_only) {
            return;
        }
        process = add_process(query, control, false);
    }
    if (process->member == NULL ||
        process->member->incarnation < member->incarnation) {
        process->member = member;
        g_strlcpy(process->name, member->name, sizeof(process->name));
    }
}

static bool
names_itself(const Swiftarch__ShowMember *member,
             const Swiftarch__ShowReply *reply)
{
    return strcmp(member->name, reply->name) == 0;
}

/* Finds the sender of a reply by the control address of its own entry in the
 * member list. A reply without a list is matched by name. */
static struct control_query_process *
find_sender(const struct control_query *query,
            const Swiftarch__ShowReply *reply)
{
    for (size_t i = 0; i < reply->n_members; i++) {
        const Swiftarch__ShowMember *member = reply->members[i];

        if (names_itself(member, reply)) {
            return find_addr(query,
                             (struct addr){member->control_ip,
                                           (uint16_t)member->control_port});
        }
    }
    for (size_t i = 0; i < query->processes->len; i++) {
        struct control_query_process *process =
            g_ptr_array_index(query->processes, i);

        if (process->state == CONTROL_QUERY_PENDING &&
            strcmp(process->name, reply->name) == 0) {
            return process;
        }
    }
    return NULL;
}

static void
handle_reply(struct control_query *query,
             struct control_query_process *process,
             Swiftarch__ShowReply *reply)
{
    process->state = CONTROL_QUERY_ANSWERED;
    process->reply = reply;
    g_strlcpy(process->name, reply->name, sizeof(process->name));
    if (reply->n_members > 0 &&
        (query->config == NULL ||
         query->config->config_version < reply->config_version)) {
        query->config = reply;
    }
    for (size_t i = 0; i < reply->n_members; i++) {
        add_member(query, reply->members[i]);
    }
}

static void
on_frame(struct link_handler *handler, struct link_conn *conn, uint64_t sender,
         uint16_t type, const uint8_t *body, size_t len)
{
    struct control_query *query = (struct control_query *)handler;
    Swiftarch__ShowReply *reply;
    struct control_query_process *process;

    if (type != FRAME_SHOW_REPLY) {
        return;
    }
    reply = swiftarch__show_reply__unpack(NULL, len, body);
    if (reply == NULL) {
        return;
    }
    process = find_sender(query, reply);
    if (process == NULL || process->reply != NULL) {
        swiftarch__show_reply__free_unpacked(reply, NULL);
        return;
    }
    handle_reply(query, process, reply);
    finish_if_complete(query);
}

static void
on_disconnect(struct link_handler *handler, struct link_conn *conn,
              struct addr peer, int reason)
{
    struct control_query *query = (struct control_query *)handler;
    struct control_query_process *process = find_addr(query, peer);

    if (process != NULL) {
        fail(process, reason < 0 ? reason : -ECONNRESET);
    }
    finish_if_complete(query);
}

static const struct link_ops link_ops = {
    .on_frame = on_frame,
    .on_disconnect = on_disconnect,
};

static void
on_timeout(evutil_socket_t fd, short events, void *arg)
{
    struct control_query *query = arg;

    for (size_t i = 0; i < query->processes->len; i++) {
        fail(g_ptr_array_index(query->processes, i), -ETIMEDOUT);
    }
    query->ended = true;
    event_base_loopbreak(query->base);
}

static void
on_platform(struct platform_call *call, const struct platform_reply *reply)
{
    struct control_query_platform *platform =
        (struct control_query_platform *)call;

    platform->done = true;
    platform->status = reply->status;
    platform->version = reply->version;
    platform->error = reply->error;
    platform->has_envelope =
        reply->status == 0 &&
        service_config_envelope_read(reply->value, reply->len,
                                     &platform->envelope) == 0;
    platform->envelope.source = NULL;
    finish_if_complete(platform->query);
}

/* Queries the members in the seed list of the cell as seeds. */
static void
on_cell_reply(struct platform_call *call, const struct platform_reply *reply)
{
    struct control_query_platform *cell =
        (struct control_query_platform *)call;
    struct seed_list list = {0};

    cell->done = true;
    cell->status = reply->status;
    if (reply->status == 0 &&
        seeds_decode(reply->value, reply->len, &list) == 0) {
        for (size_t i = 0; i < list.count; i++) {
            if (find_addr(cell->query, list.items[i].control) == NULL) {
                add_process(cell->query, list.items[i].control, true);
            }
        }
    }
    finish_if_complete(cell->query);
}

static void
read_platform(struct control_query *query,
              struct control_query_platform *platform, const char *name,
              void (*done)(struct platform_call *call,
                           const struct platform_reply *reply))
{
    int rc;

    platform->query = query;
    platform->call.done = done;
    rc = platform_get(query->client, name, &platform->call);
    if (rc < 0) {
        platform->done = true;
        platform->status = rc;
    }
}

/* Reads the seed list of the cell if no seed has answered. Returns whether
 * the read is in progress. */
static bool
query_cell(struct control_query *query)
{
    char *name;

    if (query->cell_queried || query->settings->cell[0] == '\0' ||
        query->config != NULL) {
        return false;
    }
    query->cell_queried = true;
    name = g_strdup_printf("cell-%s", query->settings->cell);
    read_platform(query, &query->cell, name, on_cell_reply);
    g_free(name);
    return !query->cell.done;
}

static void
finish_if_complete(struct control_query *query)
{
    for (size_t i = 0; i < query->processes->len; i++) {
        if (control_query_process_at(query, i)->state ==
            CONTROL_QUERY_PENDING) {
            return;
        }
    }
    if ((query->cell_queried && !query->cell.done) || query_cell(query)) {
        return;
    }
    if (query->platform.done) {
        query->ended = true;
        event_base_loopbreak(query->base);
    }
}

static int
init_auth(struct control_query *query, struct error *err)
{
    uint64_t self;
    int rc;

    if (getrandom(&self, sizeof(self), 0) != sizeof(self)) {
        return error_set(err, -EIO, "identity", NULL,
                         "random number generator failed");
    }
    rc = auth_init(&query->auth, query->settings->site_key,
                   query->settings->site_key_len, self,
                   (uint64_t)g_get_real_time() / USEC_PER_MSEC);
    if (rc < 0) {
        return error_set(err, rc, "site key", NULL,
                         "the key could not be set up");
    }
    return 0;
}

int
control_query_init(struct control_query *query,
                   const struct settings *settings, struct error *err)
{
    int rc;

    *query = (struct control_query){
        .handler.ops = &link_ops,
        .settings = settings,
        .processes = g_ptr_array_new_with_free_func(process_free),
        .base = event_base_new(),
    };
    rc = init_auth(query, err);
    if (rc < 0) {
        goto err;
    }
    query->timer = evtimer_new(query->base, on_timeout, query);
    query->client = platform_new(query->base, settings->platform, err);
    if (query->timer == NULL || query->client == NULL) {
        rc = -ENOMEM;
        goto err;
    }
    rc = link_hub_init(&query->hub, query->base, &query->auth, &query->handler,
                       (struct addr){0}, err);
    if (rc < 0) {
        goto err;
    }
    query->hub_ready = true;
    return 0;

err:
    control_query_finish(query);
    return rc;
}

void
control_query_finish(struct control_query *query)
{
    if (query->hub_ready) {
        link_hub_finish(&query->hub);
    }
    platform_free(query->client);
    if (query->timer != NULL) {
        event_free(query->timer);
    }
    auth_finish(&query->auth);
    g_ptr_array_free(query->processes, TRUE);
    event_base_free(query->base);
}

void
control_query_run(struct control_query *query, unsigned timeout_ms)
{
    struct timeval wait = {
        .tv_sec = timeout_ms / 1000,
        .tv_usec = timeout_ms % 1000 * (long)USEC_PER_MSEC,
    };

    evtimer_add(query->timer, &wait);
    read_platform(query, &query->platform, settings_object(query->settings),
                  on_platform);
    for (size_t i = 0; i < query->settings->seed_count; i++) {
        if (find_addr(query, query->settings->seeds[i]) == NULL) {
            add_process(query, query->settings->seeds[i], true);
        }
    }
    finish_if_complete(query);
    if (!query->ended) {
        event_base_dispatch(query->base);
    }
}
