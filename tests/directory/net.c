#include "net.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "directory/local_entry.h"
#include "directory/message.h"

#define NET_IP 0x0a000001u
#define NET_DATA_PORT 4000
#define NET_CONTROL_PORT 5000
#define NET_WALL_MS UINT64_C(1700000000000) /* wall clock at time 0 */
#define NET_SKEW_MS (10 * 60 * 1000)        /* max clock skew, either way */

enum net_event_type { EVENT_TICK, EVENT_MESSAGE, EVENT_VIEW, EVENT_TEXT };

/** struct net_event - event at a node; @body is an encoded message or NULL */
struct net_event {
    struct queue_event base;
    enum net_event_type type;
    size_t node;
    uint64_t incarnation;
    GBytes *body;
};

static void
push(struct net *net, struct net_event event)
{
    event.incarnation = net->nodes[event.node].incarnation;
    queue_push(&net->queue, &event);
}

static size_t
node_by_ip(const struct net *net, uint32_t ip)
{
    return ip - NET_IP < net->count ? ip - NET_IP : SIZE_MAX;
}

size_t
net_node_at(const struct net *net, struct addr data)
{
    return data.port == NET_DATA_PORT ? node_by_ip(net, data.ip) : SIZE_MAX;
}

static void
schedule_update(struct net *net, size_t node, enum net_event_type type)
{
    struct net_event event = {.type = type, .node = node};

    event.base.at_us =
        net->now_us + random_below(&net->random, net->propagation_max_us);
    push(net, event);
}

/* Schedules a view update at each running node of the cell. */
static void
schedule_view_updates(struct net *net, size_t cell)
{
    const struct net_cell *in = &net->cells[cell];

    for (size_t i = in->first; i < in->first + in->count; i++) {
        if (net->nodes[i].running)
            schedule_update(net, i, EVENT_VIEW);
    }
}

static struct view *
make_view(const struct net *net, size_t node)
{
    const struct net_cell *cell = &net->cells[net->nodes[node].cell];
    struct view *view = view_new(cell->count);

    view->count = 0;
    for (size_t i = cell->first; i < cell->first + cell->count; i++) {
        const struct net_node *other = &net->nodes[i];
        struct view_member *member = &view->members[view->count];

        if (!other->running || other->group != net->nodes[node].group)
            continue;
        if (i == node)
            view->self = view->count;
        member->id = other->member;
        member->role = MEMBER_BALANCER;
        member->state = MEMBER_READY;
        member->health = MEMBER_ALIVE;
        member->data = other->data;
        member->control = other->control;
        view->count++;
    }
    return view;
}

static struct directory_entry *
make_local_entry(struct net *net, size_t node, const struct view *view)
{
    const struct net_text *from = &net->nodes[node].text;
    struct directory_entry *entry = NULL;
    struct service_config text = {.version = from->version};

    text.services = g_new0(struct service_config_entry, from->count);
    text.retired = g_new0(struct service_config_retired, from->count);
    for (size_t i = 0; i < from->count; i++) {
        struct service_config_entry *service =
            from->addresses[i].retired
                ? &text.retired[text.retired_count++].service
                : &text.services[text.count++];

        service->ip = from->addresses[i].ip;
        service->port = 80;
        service->proto = SERVICE_CONFIG_TCP;
    }
    g_assert_cmpint(
        directory_local_entry_new(net->cells[net->nodes[node].cell].name, view,
                                  &text, &entry),
        ==, 0);
    g_free(text.services);
    g_free(text.retired);
    return entry;
}

static void
apply_update(struct net *net, size_t node, bool text)
{
    struct net_node *self = &net->nodes[node];
    struct net_cell *cell = &net->cells[self->cell];
    struct directory_role role;
    struct view *view;

    if (text)
        self->text = cell->text;
    view = make_view(net, node);
    directory_role_from_view(cell->name, view, &role);
    directory_set_role(&self->core, &role);
    if (self->text.version > 0)
        directory_set_local_entry(&self->core,
                                  make_local_entry(net, node, view));
    free(view);
}

static void
send_action(struct net *net, size_t node,
            const struct directory_action *action)
{
    struct net_node *self = &net->nodes[node];
    size_t to = node_by_ip(net, action->to.ip);
    size_t size = directory_msg_size(&action->msg);
    struct net_event event = {.type = EVENT_MESSAGE, .node = to};
    uint8_t *buf;

    g_assert_cmpuint(action->to.port, ==, NET_CONTROL_PORT);
    self->bytes_out += size;
    self->messages_out++;
    if (action->msg.kind != DIRECTORY_DIGEST)
        self->budgeted_out += size;
    self->largest = MAX(self->largest, size);
    if (to == SIZE_MAX || !net->nodes[to].running ||
        net->nodes[to].group != self->group ||
        random_below(&net->random, 1000) < net->loss)
        return;
    buf = g_malloc(size);
    g_assert_cmpuint(directory_msg_encode(&action->msg, buf), ==, size);
    event.body = g_bytes_new_take(buf, size);
    event.base.at_us = net->now_us + net->delay_us +
                       random_below(&net->random, net->delay_us);
    push(net, event);
}

static void
flush(struct net *net, size_t node, struct directory_actions *out)
{
    struct net_node *self = &net->nodes[node];

    for (size_t i = 0; i < out->count; i++)
        send_action(net, node, &out->items[i]);
    directory_actions_clear(out);
    if (!self->core.changed)
        return;
    self->core.changed = false;
    directory_table_free(self->table);
    self->table = NULL;
    g_assert_cmpint(directory_table_new(&self->core, &self->table), ==, 0);
    if (net->on_table != NULL)
        net->on_table(net, node);
}

static void
tick(struct net *net, size_t node)
{
    struct net_node *self = &net->nodes[node];
    struct directory_actions out = {0};
    struct net_event next = {.type = EVENT_TICK, .node = node};

    directory_tick(&self->core, net->now_us,
                   NET_WALL_MS + net->now_us / 1000 + self->skew_ms, &out);
    flush(net, node, &out);
    next.base.at_us = MAX(directory_next_us(&self->core), net->now_us + 1000);
    next.base.at_us = MIN(next.base.at_us, net->now_us + 500000);
    push(net, next);
}

static void
receive(struct net *net, const struct net_event *event)
{
    struct net_node *self = &net->nodes[event->node];
    struct directory_actions out = {0};
    struct directory_msg msg;
    size_t size;
    const uint8_t *buf = g_bytes_get_data(event->body, &size);

    self->bytes_in += size;
    self->messages_in++;
    g_assert_cmpint(directory_msg_decode(buf, size, &msg), ==, 0);
    directory_receive(&self->core, &msg, net->now_us, &out);
    directory_msg_finish(&msg);
    flush(net, event->node, &out);
}

static void
handle(struct net *net, struct net_event *event)
{
    const struct net_node *node = &net->nodes[event->node];

    if (node->running && node->incarnation == event->incarnation) {
        switch (event->type) {
        case EVENT_TICK:
            tick(net, event->node);
            break;
        case EVENT_MESSAGE:
            receive(net, event);
            break;
        case EVENT_VIEW:
            apply_update(net, event->node, false);
            break;
        case EVENT_TEXT:
            apply_update(net, event->node, true);
            break;
        }
    }
    if (event->body != NULL)
        g_bytes_unref(event->body);
}

void
net_run(struct net *net, uint64_t until_us)
{
    struct net_event event;

    while (queue_pop(&net->queue, until_us, &event)) {
        net->now_us = event.base.at_us;
        handle(net, &event);
    }
    net->now_us = until_us;
}

void
net_init(struct net *net, const size_t *sizes, size_t cells, uint64_t seed)
{
    memset(net, 0, sizeof(*net));
    net->random.state = seed;
    queue_init(&net->queue, sizeof(struct net_event));
    net->now_us = USEC_PER_SEC;
    net->delay_us = 1000;
    net->propagation_max_us = USEC_PER_SEC;
    net->cell_count = cells;
    net->cells = g_new0(struct net_cell, cells);
    for (size_t i = 0; i < cells; i++) {
        struct net_cell *cell = &net->cells[i];

        g_snprintf(cell->name, sizeof(cell->name), "cell-%zu", i);
        cell->id = directory_cell(cell->name);
        cell->first = net->count;
        cell->count = sizes[i];
        net->count += sizes[i];
    }
    net->nodes = g_new0(struct net_node, net->count);
    for (size_t i = 0; i < cells; i++) {
        for (size_t j = 0; j < sizes[i]; j++)
            net->nodes[net->cells[i].first + j].cell = i;
    }
    for (size_t i = 0; i < net->count; i++) {
        struct net_node *node = &net->nodes[i];

        node->control.ip = node->data.ip = NET_IP + (uint32_t)i;
        node->control.port = NET_CONTROL_PORT;
        node->data.port = NET_DATA_PORT;
        node->member = random_next(&net->random);
    }
}

void
net_start(struct net *net, size_t node)
{
    struct net_node *self = &net->nodes[node];

    if (self->running)
        net_kill(net, node);
    directory_core_init(&self->core, net->cells[self->cell].name,
                        self->control, random_next(&net->random), net->now_us);
    for (size_t i = 0; i < MIN(net->cell_count, 2); i++)
        directory_add_seed(&self->core,
                           net->nodes[net->cells[i].first].control);
    memset(&self->text, 0, sizeof(self->text));
    self->running = true;
    self->start_us = net->now_us;
    self->budgeted_out = 0;
    self->skew_ms =
        (int64_t)random_below(&net->random, 2 * NET_SKEW_MS) - NET_SKEW_MS;
    apply_update(net, node, false);
    schedule_update(net, node, EVENT_TEXT);
    schedule_view_updates(net, self->cell);
    push(net, (struct net_event){.type = EVENT_TICK,
                                 .node = node,
                                 .base.at_us = net->now_us});
}

void
net_kill(struct net *net, size_t node)
{
    struct net_node *self = &net->nodes[node];

    if (!self->running)
        return;
    self->running = false;
    self->incarnation++;
    directory_core_finish(&self->core);
    directory_table_free(self->table);
    self->table = NULL;
    schedule_view_updates(net, self->cell);
}

void
net_set_group(struct net *net, size_t node, unsigned group)
{
    if (net->nodes[node].group == group)
        return;
    net->nodes[node].group = group;
    schedule_view_updates(net, net->nodes[node].cell);
}

void
net_publish(struct net *net, size_t cell)
{
    const struct net_cell *in = &net->cells[cell];

    net->cells[cell].text.version++;
    for (size_t i = in->first; i < in->first + in->count; i++) {
        if (net->nodes[i].running)
            schedule_update(net, i, EVENT_TEXT);
    }
}

void
net_finish(struct net *net)
{
    struct net_event event;

    for (size_t i = 0; i < net->count; i++)
        net_kill(net, i);
    while (queue_pop(&net->queue, UINT64_MAX, &event)) {
        if (event.body != NULL)
            g_bytes_unref(event.body);
    }
    queue_finish(&net->queue);
    g_free(net->nodes);
    g_free(net->cells);
}
