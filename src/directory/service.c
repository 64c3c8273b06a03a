#define G_LOG_DOMAIN "swiftarch-directory"

#include "directory/service.h"

#include <string.h>
#include <sys/random.h>
#include <urcu.h>

#include "base/log.h"
#include "directory/local_entry.h"
#include "directory/message.h"

/** struct directory_counter_name - metric name and whether it is a gauge */
struct directory_counter_name {
    const char *name;
    bool gauge;
};

static const struct directory_counter_name
    counter_names[DIRECTORY_COUNTER_COUNT] = {
        [DIRECTORY_COUNTER_CELLS] = {"directory_cells", true},
        [DIRECTORY_COUNTER_ADDRESSES] = {"directory_addresses", true},
        [DIRECTORY_COUNTER_CONFLICTS] = {"directory_conflicts", true},
        [DIRECTORY_COUNTER_OLDEST_S] = {"directory_oldest_entry_seconds",
                                        true},
        [DIRECTORY_COUNTER_DIGESTS] = {"directory_digests_total", false},
        [DIRECTORY_COUNTER_MERGED] = {"directory_entries_merged_total", false},
        [DIRECTORY_COUNTER_AUTHORED] = {"directory_entries_authored_total",
                                        false},
        [DIRECTORY_COUNTER_DELAYED] = {"directory_messages_delayed_total",
                                       false},
        [DIRECTORY_COUNTER_REJECTED] = {"directory_cells_refused_total",
                                        false},
        [DIRECTORY_COUNTER_MALFORMED] = {"directory_messages_bad_total",
                                         false},
};

static struct directory_service *
service_from_extension(struct extension *extension)
{
    return caa_container_of(extension, struct directory_service, extension);
}

static void
free_table(struct rcu_head *head)
{
    directory_table_free(caa_container_of(head, struct directory_table, rcu));
}

static void
publish(struct directory_service *service)
{
    struct directory_table *table;
    struct directory_table *old;

    if (directory_table_new(&service->core, &table) < 0)
        return; /* retried at the next step */
    service->core.changed = false;
    if (table->conflicts > service->conflicts)
        g_warning("%zu addresses are claimed by several cells.",
                  table->conflicts);
    service->conflicts = table->conflicts;
    old = rcu_xchg_pointer(&service->table, table);
    if (old != NULL)
        call_rcu(&old->rcu, free_table);
}

static void
set_counters(const struct directory_service *service, uint64_t now_us)
{
    const struct directory_core *core = &service->core;
    const struct directory_table *table = service->table;
    uint64_t values[DIRECTORY_COUNTER_COUNT] = {
        [DIRECTORY_COUNTER_CELLS] = core->count,
        [DIRECTORY_COUNTER_ADDRESSES] = table != NULL ? table->addresses : 0,
        [DIRECTORY_COUNTER_CONFLICTS] = service->conflicts,
        [DIRECTORY_COUNTER_DIGESTS] = core->stats.digests,
        [DIRECTORY_COUNTER_MERGED] = core->stats.merged,
        [DIRECTORY_COUNTER_AUTHORED] = core->stats.authored,
        [DIRECTORY_COUNTER_DELAYED] = core->stats.delayed,
        [DIRECTORY_COUNTER_REJECTED] = core->stats.rejected,
        [DIRECTORY_COUNTER_MALFORMED] = service->malformed,
    };

    for (size_t i = 0; i < core->count; i++) {
        uint64_t age_s = (now_us - core->slots[i].since_us) / USEC_PER_SEC;

        if (age_s > values[DIRECTORY_COUNTER_OLDEST_S])
            values[DIRECTORY_COUNTER_OLDEST_S] = age_s;
    }
    for (size_t i = 0; i < DIRECTORY_COUNTER_COUNT; i++)
        counter_set(service->counters, service->handles[i], values[i]);
}

static void
load_blackboard(struct directory_service *service)
{
    /* Only this thread replaces them, so no RCU read section is needed. */
    const struct view *view = service->blackboard->view;
    const struct service_config *text = service->blackboard->text;
    const char *cell = service->settings->cell;
    uint64_t version = text != NULL ? text->version : 0;
    struct directory_entry *own;
    struct directory_role role;

    if (view == NULL ||
        (view->seq == service->view_seq && version == service->config_version))
        return;
    directory_role_from_view(cell, view, &role);
    directory_set_role(&service->core, &role);
    if (text != NULL && directory_local_entry_new(cell, view, text, &own) == 0)
        directory_set_local_entry(&service->core, own);
    service->view_seq = view->seq;
    service->config_version = version;
}

static void
update_ready(struct directory_service *service, uint64_t now_us)
{
    const struct directory_core *core = &service->core;
    bool alone =
        service->settings->seed_count == 0 && core->role.balancer_count == 0;

    if (service->start_us == 0)
        service->start_us = now_us;
    if (alone || core->stats.synced > 0 ||
        now_us >= service->start_us + DIRECTORY_READY_US)
        __atomic_store_n(&service->ready, true, __ATOMIC_RELAXED);
}

static void
send_all(struct directory_service *service, struct directory_actions *out)
{
    uint8_t body[DIRECTORY_MESSAGE_MAX];
    struct extension *extension = &service->extension;

    for (size_t i = 0; i < out->count; i++)
        extension->send(extension->control, out->items[i].to, body,
                        directory_msg_encode(&out->items[i].msg, body));
    directory_actions_clear(out);
}

static void
on_start(struct extension *extension, struct addr self)
{
    struct directory_service *service = service_from_extension(extension);
    const struct settings *settings = service->settings;
    uint64_t seed = 0;

    /* Fall back to a seed that differs between processes. */
    if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed))
        seed = directory_cell(settings->name);
    directory_core_init(&service->core, settings->cell, self, seed, 0);
    for (size_t i = 0; i < settings->region_seed_count; i++)
        directory_add_seed(&service->core, settings->region_seeds[i]);
    __atomic_store_n(&service->started, true, __ATOMIC_RELEASE);
}

static uint64_t
on_step(struct extension *extension, uint64_t now_us, uint64_t wall_ms)
{
    struct directory_service *service = service_from_extension(extension);
    struct directory_actions out = {0};

    load_blackboard(service);
    update_ready(service, now_us);
    directory_tick(&service->core, now_us, wall_ms, &out);
    send_all(service, &out);
    if (service->core.changed)
        publish(service);
    set_counters(service, now_us);
    return directory_next_us(&service->core);
}

static void
on_message(struct extension *extension, const uint8_t *body, size_t len,
           uint64_t now_us)
{
    struct directory_service *service = service_from_extension(extension);
    struct directory_actions out = {0};
    struct directory_msg msg;

    if (directory_msg_decode(body, len, &msg) < 0) {
        service->malformed++;
        return;
    }
    directory_receive(&service->core, &msg, now_us, &out);
    directory_msg_finish(&msg);
    send_all(service, &out);
}

static const struct extension_ops service_ops = {
    .on_start = on_start,
    .on_step = on_step,
    .on_message = on_message,
};

int
directory_service_init(struct directory_service *service,
                       const struct settings *settings,
                       struct blackboard *blackboard,
                       struct counter_table *counters, struct error *err)
{
    memset(service, 0, sizeof(*service));
    service->extension.ops = &service_ops;
    service->settings = settings;
    service->blackboard = blackboard;
    service->counters = counters;
    for (size_t i = 0; i < DIRECTORY_COUNTER_COUNT; i++) {
        int handle =
            counter_names[i].gauge
                ? counter_register_gauge(counters, counter_names[i].name, "")
                : counter_register(counters, counter_names[i].name, "");

        if (handle < 0)
            return error_set(err, handle, "register counters", NULL,
                             "the counter table is full at %s",
                             counter_names[i].name);
        service->handles[i] = handle;
    }
    blackboard->extension = &service->extension;
    return 0;
}

bool
directory_service_ready(const struct directory_service *service)
{
    /* Without a control thread there are no peers to wait for. */
    return !__atomic_load_n(&service->started, __ATOMIC_ACQUIRE) ||
           __atomic_load_n(&service->ready, __ATOMIC_RELAXED);
}

void
directory_service_finish(struct directory_service *service)
{
    if (!service->started)
        return;
    rcu_barrier(); /* wait for deferred frees of earlier tables */
    directory_core_finish(&service->core);
    directory_table_free(service->table);
    service->table = NULL;
    service->started = false;
}
