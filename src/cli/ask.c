#include "cli/ask.h"

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
    struct ask_process *process = data;

    if (process->reply != NULL) {
        swiftarch__show_reply__free_unpacked(process->reply, NULL);
    }
    g_free(process);
}

static struct ask_process *
find_addr(const struct ask *ask, struct addr control)
{
    for (size_t i = 0; i < ask->processes->len; i++) {
        struct ask_process *process = g_ptr_array_index(ask->processes, i);

        if (addr_equal(process->control, control)) {
            return process;
        }
    }
    return NULL;
}

static void
end_if_done(struct ask *ask);

static void
fail(struct ask_process *process, int reason)
{
    if (process->state == ASK_OPEN) {
        process->state = ASK_FAILED;
        process->reason = reason;
    }
}

static void
send_question(struct ask *ask, struct ask_process *process)
{
    Swiftarch__ShowRequest request = SWIFTARCH__SHOW_REQUEST__INIT;
    uint8_t body[16];
    size_t len;
    int rc;

    request.counters = ask->counters;
    request.members = process->seed;
    g_assert(swiftarch__show_request__get_packed_size(&request) <=
             sizeof(body));
    len = swiftarch__show_request__pack(&request, body);
    rc = link_send(&ask->hub, process->control, FRAME_SHOW_REQUEST, body, len);
    if (rc < 0) {
        fail(process, rc);
    }
}

static struct ask_process *
add_process(struct ask *ask, struct addr control, bool seed)
{
    struct ask_process *process = g_new0(struct ask_process, 1);

    process->control = control;
    process->seed = seed;
    g_ptr_array_add(ask->processes, process);
    send_question(ask, process);
    return process;
}

/* A member that some process names. */
static void
learn_member(struct ask *ask, const Swiftarch__ShowMember *member)
{
    struct addr control = {member->control_ip, (uint16_t)member->control_port};
    struct ask_process *process = find_addr(ask, control);

    if (control.ip == 0 || control.port == 0) {
        return;
    }
    if (process == NULL) {
        if (ask->only_seeds) {
            return;
        }
        process = add_process(ask, control, false);
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

/* Whom an answer came from: its own entry in its list tells the address;
 * one without a list was known by name before it was asked. */
static struct ask_process *
find_sender(const struct ask *ask, const Swiftarch__ShowReply *reply)
{
    for (size_t i = 0; i < reply->n_members; i++) {
        const Swiftarch__ShowMember *member = reply->members[i];

        if (names_itself(member, reply)) {
            return find_addr(ask,
                             (struct addr){member->control_ip,
                                           (uint16_t)member->control_port});
        }
    }
    for (size_t i = 0; i < ask->processes->len; i++) {
        struct ask_process *process = g_ptr_array_index(ask->processes, i);

        if (process->state == ASK_OPEN &&
            strcmp(process->name, reply->name) == 0) {
            return process;
        }
    }
    return NULL;
}

static void
take_reply(struct ask *ask, struct ask_process *process,
           Swiftarch__ShowReply *reply)
{
    process->state = ASK_ANSWERED;
    process->reply = reply;
    g_strlcpy(process->name, reply->name, sizeof(process->name));
    if (reply->n_members > 0 &&
        (ask->config == NULL ||
         ask->config->config_version < reply->config_version)) {
        ask->config = reply;
    }
    for (size_t i = 0; i < reply->n_members; i++) {
        learn_member(ask, reply->members[i]);
    }
}

static void
on_frame(struct link_handler *handler, struct link_conn *conn, uint64_t sender,
         uint16_t type, const uint8_t *body, size_t len)
{
    struct ask *ask = (struct ask *)handler;
    Swiftarch__ShowReply *reply;
    struct ask_process *process;

    if (type != FRAME_SHOW_REPLY) {
        return;
    }
    reply = swiftarch__show_reply__unpack(NULL, len, body);
    if (reply == NULL) {
        return;
    }
    process = find_sender(ask, reply);
    if (process == NULL || process->reply != NULL) {
        swiftarch__show_reply__free_unpacked(reply, NULL);
        return;
    }
    take_reply(ask, process, reply);
    end_if_done(ask);
}

static void
on_disconnect(struct link_handler *handler, struct link_conn *conn,
              struct addr peer, int reason)
{
    struct ask *ask = (struct ask *)handler;
    struct ask_process *process = find_addr(ask, peer);

    if (process != NULL) {
        fail(process, reason < 0 ? reason : -ECONNRESET);
    }
    end_if_done(ask);
}

static const struct link_ops link_ops = {
    .on_frame = on_frame,
    .on_disconnect = on_disconnect,
};

static void
on_timeout(evutil_socket_t fd, short events, void *arg)
{
    struct ask *ask = arg;

    for (size_t i = 0; i < ask->processes->len; i++) {
        fail(g_ptr_array_index(ask->processes, i), -ETIMEDOUT);
    }
    ask->ended = true;
    event_base_loopbreak(ask->base);
}

static void
on_platform(struct platform_call *call, const struct platform_reply *reply)
{
    struct ask_platform *platform = (struct ask_platform *)call;

    platform->done = true;
    platform->status = reply->status;
    platform->version = reply->version;
    platform->error = reply->error;
    platform->has_envelope =
        reply->status == 0 &&
        text_envelope_read(reply->value, reply->len, &platform->envelope) == 0;
    platform->envelope.text = NULL;
    end_if_done(platform->ask);
}

/* Members of the cell that the platform names, asked like seeds. */
static void
on_cell(struct platform_call *call, const struct platform_reply *reply)
{
    struct ask_platform *cell = (struct ask_platform *)call;
    struct seed_list list = {0};

    cell->done = true;
    cell->status = reply->status;
    if (reply->status == 0 &&
        seeds_decode(reply->value, reply->len, &list) == 0) {
        for (size_t i = 0; i < list.count; i++) {
            if (find_addr(cell->ask, list.items[i].control) == NULL) {
                add_process(cell->ask, list.items[i].control, true);
            }
        }
    }
    end_if_done(cell->ask);
}

static void
read_platform(struct ask *ask, struct ask_platform *platform, const char *name,
              void (*done)(struct platform_call *call,
                           const struct platform_reply *reply))
{
    int rc;

    platform->ask = ask;
    platform->call.done = done;
    rc = platform_get(ask->client, name, &platform->call);
    if (rc < 0) {
        platform->done = true;
        platform->status = rc;
    }
}

/* Nobody is left to answer and nobody has: try the platform's list. */
static bool
ask_cell(struct ask *ask)
{
    char *name;

    if (ask->cell_asked || ask->settings->cell[0] == '\0' ||
        ask->config != NULL) {
        return false;
    }
    ask->cell_asked = true;
    name = g_strdup_printf("cell-%s", ask->settings->cell);
    read_platform(ask, &ask->cell, name, on_cell);
    g_free(name);
    return !ask->cell.done;
}

static void
end_if_done(struct ask *ask)
{
    for (size_t i = 0; i < ask->processes->len; i++) {
        if (ask_at(ask, i)->state == ASK_OPEN) {
            return;
        }
    }
    if ((ask->cell_asked && !ask->cell.done) || ask_cell(ask)) {
        return;
    }
    if (ask->platform.done) {
        ask->ended = true;
        event_base_loopbreak(ask->base);
    }
}

static int
init_auth(struct ask *ask, struct error *err)
{
    uint64_t self;
    int rc;

    if (getrandom(&self, sizeof(self), 0) != sizeof(self)) {
        return error_set(err, -EIO, "identity", NULL, "no random numbers");
    }
    rc = auth_init(&ask->auth, ask->settings->site_key,
                   ask->settings->site_key_len, self,
                   (uint64_t)g_get_real_time() / USEC_PER_MSEC);
    if (rc < 0) {
        return error_set(err, rc, "site key", NULL, "the key can't be used");
    }
    return 0;
}

int
ask_init(struct ask *ask, const struct settings *settings, struct error *err)
{
    int rc;

    *ask = (struct ask){
        .handler.ops = &link_ops,
        .settings = settings,
        .processes = g_ptr_array_new_with_free_func(process_free),
        .base = event_base_new(),
    };
    rc = init_auth(ask, err);
    if (rc < 0) {
        goto err;
    }
    ask->timer = evtimer_new(ask->base, on_timeout, ask);
    ask->client = platform_new(ask->base, settings->platform, err);
    if (ask->timer == NULL || ask->client == NULL) {
        rc = -ENOMEM;
        goto err;
    }
    rc = link_hub_init(&ask->hub, ask->base, &ask->auth, &ask->handler,
                       (struct addr){0}, err);
    if (rc < 0) {
        goto err;
    }
    ask->hub_ready = true;
    return 0;

err:
    ask_finish(ask);
    return rc;
}

void
ask_finish(struct ask *ask)
{
    if (ask->hub_ready) {
        link_hub_finish(&ask->hub);
    }
    platform_free(ask->client);
    if (ask->timer != NULL) {
        event_free(ask->timer);
    }
    auth_finish(&ask->auth);
    g_ptr_array_free(ask->processes, TRUE);
    event_base_free(ask->base);
}

void
ask_run(struct ask *ask, unsigned timeout_ms)
{
    struct timeval wait = {
        .tv_sec = timeout_ms / 1000,
        .tv_usec = timeout_ms % 1000 * (long)USEC_PER_MSEC,
    };

    evtimer_add(ask->timer, &wait);
    read_platform(ask, &ask->platform, settings_object(ask->settings),
                  on_platform);
    for (size_t i = 0; i < ask->settings->seed_count; i++) {
        if (find_addr(ask, ask->settings->seeds[i]) == NULL) {
            add_process(ask, ask->settings->seeds[i], true);
        }
    }
    end_if_done(ask);
    if (!ask->ended) {
        event_base_dispatch(ask->base);
    }
}
