#include "invariants.h"

#define TICK_US (10 * USEC_PER_MSEC)
#define PER_MILLE 1000
#define CALLERS 3
#define KEY_SHARED 8

enum event_type { EVENT_MESSAGE, EVENT_RUN_END, EVENT_VIEW, EVENT_LOST };

struct event {
    struct timeline_event base;
    enum event_type type;
    unsigned node;
    unsigned generation;
    uint64_t from;
    struct engine_peer_msg msg;
    uint64_t origin;
    uint64_t id;
    enum engine_upstream how;
};

static bool
chance(struct cell *cell, unsigned per_mille)
{
    return per_mille > 0 &&
           (unsigned)g_rand_int_range(cell->random, 0, PER_MILLE) < per_mille;
}

static uint64_t
random_between(struct cell *cell, unsigned low_us, unsigned high_us)
{
    return (uint64_t)g_rand_int_range(cell->random, (gint32)low_us,
                                      (gint32)high_us);
}

static int
find_node(const struct cell *cell, uint64_t id)
{
    for (unsigned i = 0; i < cell->count; i++) {
        if (cell->nodes[i].id == id) {
            return (int)i;
        }
    }
    return -1;
}

static struct event *
event_new(const struct cell *cell, enum event_type type, unsigned node)
{
    struct event *event = g_new0(struct event, 1);

    event->type = type;
    event->node = node;
    event->generation = cell->nodes[node].generation;
    return event;
}

static void
post_message(struct cell *cell, uint64_t from, uint64_t to,
             const struct engine_peer_msg *msg)
{
    int node = find_node(cell, to);
    struct event *event;
    uint64_t delay = random_between(cell, 300, 2500);

    if (node < 0 || chance(cell, cell->faults.lose)) {
        return;
    }
    if (chance(cell, cell->faults.slow)) {
        delay += random_between(cell, 1000, 400000);
    }
    event = event_new(cell, EVENT_MESSAGE, (unsigned)node);
    event->from = from;
    event->msg = *msg;
    event->msg.idem.answer = g_memdup2(msg->idem.answer, msg->idem.answer_len);
    timeline_add(&cell->timeline, &event->base, cell->now_us + delay);
}

/* Simulates a run on the upstream, with its faults. */
static void
run(struct cell *cell, unsigned node, const struct engine_action *action)
{
    struct event *event = event_new(cell, EVENT_RUN_END, node);
    unsigned kind = (unsigned)g_rand_int_range(cell->random, 0, PER_MILLE);
    unsigned no_run = cell->faults.shed + cell->faults.unreached;

    event->origin = action->origin;
    event->id = action->id;
    event->how = ENGINE_UP_ANSWERED;
    if (kind < cell->faults.shed) {
        event->how = ENGINE_UP_REFUSED;
    }
    else if (kind < no_run) {
        event->how = ENGINE_UP_UNREACHED;
    }
    else if (kind < no_run + cell->faults.lose_run) {
        event->how = kind % 2 == 0 ? ENGINE_UP_LOST : ENGINE_UP_TRUNCATED;
    }
    if (kind >= no_run) {
        invariants_run(cell, action->id);
    }
    timeline_add(&cell->timeline, &event->base,
                 cell->now_us + random_between(cell, 2000, CELL_RUN_MAX_US));
}

static void
apply_actions(struct cell *cell, unsigned node, struct engine_actions *out)
{
    for (size_t i = 0; i < out->count; i++) {
        const struct engine_action *action = &out->items[i];

        switch (action->type) {
        case ENGINE_RUN:
            invariants_start(cell, node, action);
            run(cell, node, action);
            break;
        case ENGINE_ABORT:
            break;
        case ENGINE_SEND:
            if (action->msg.type == ENGINE_PEER_RUN) {
                invariants_send_run(cell, node, action);
            }
            post_message(cell, cell->nodes[node].id, action->to, &action->msg);
            if (chance(cell, cell->faults.duplicate)) {
                post_message(cell, cell->nodes[node].id, action->to,
                             &action->msg);
            }
            break;
        case ENGINE_FINISH:
            invariants_finish(cell, action);
            break;
        }
    }
    engine_actions_finish(out);
    invariants_node(cell, node);
}

static bool
is_up(const struct cell *cell, unsigned node)
{
    return cell->nodes[node].alive &&
           cell->now_us >= cell->nodes[node].frozen_until_us;
}

static enum member_health
observed_health(struct cell *cell, const struct cell_node *node)
{
    if (!node->alive) {
        return MEMBER_DEAD;
    }
    if (cell->now_us < node->frozen_until_us) {
        return chance(cell, 300) ? MEMBER_DEAD : MEMBER_SUSPECT;
    }
    return MEMBER_ALIVE;
}

static void
set_view(struct cell *cell, unsigned node)
{
    struct view *view =
        g_malloc0(sizeof(*view) + cell->count * sizeof(view->members[0]));
    struct engine_actions out = {0};

    view->seq = ++cell->view_seq;
    view->count = cell->count;
    view->self = node;
    for (unsigned i = 0; i < cell->count; i++) {
        struct view_member *member = &view->members[i];

        member->id = cell->nodes[i].id;
        member->role = MEMBER_AGENT;
        member->state =
            cell->nodes[i].draining ? MEMBER_DRAINING : MEMBER_READY;
        member->health =
            i == node ? MEMBER_ALIVE : observed_health(cell, &cell->nodes[i]);
        member->service = CELL_SERVICE;
        member->slots = CELL_SLOTS;
        member->incarnation = 1 + cell->nodes[i].generation;
        member->since_us = cell->nodes[i].started_us;
    }
    engine_set_view(cell->nodes[node].engine, view, cell->now_us, &out);
    apply_actions(cell, node, &out);
    g_free(view);
}

static void
set_upstream(struct cell *cell, unsigned node)
{
    struct engine_actions out = {0};

    engine_set_upstream(cell->nodes[node].engine, CELL_SERVICE, CELL_SLOTS,
                        !cell->nodes[node].draining, cell->now_us, &out);
    apply_actions(cell, node, &out);
}

static void
set_text(struct cell *cell, unsigned node)
{
    struct service_config_entry service = {.id = CELL_SERVICE,
                                           .class = SERVICE_CONFIG_URGENT};
    struct service_config text = {.services = &service, .count = 1};
    struct engine_actions out = {0};

    service.limits.queue = CELL_QUEUE;
    service.limits.requests_per_caller = CELL_QUEUE;
    engine_set_text(cell->nodes[node].engine, &text, cell->now_us, &out);
    apply_actions(cell, node, &out);
}

static void
start_node(struct cell *cell, unsigned node)
{
    struct cell_node *at = &cell->nodes[node];

    at->engine = engine_new(at->id, cell->policy, g_rand_int(cell->random));
    at->alive = true;
    at->draining = false;
    at->frozen_until_us = 0;
    at->urgent_starts = 0;
    at->was_frozen = false;
    at->generation++;
    at->started_us = cell->now_us;
    set_text(cell, node);
    set_upstream(cell, node);
    set_view(cell, node);
}

/* Crashes a node; the others see their connections break soon after. */
static void
crash_node(struct cell *cell, unsigned node)
{
    struct cell_node *at = &cell->nodes[node];

    engine_free(at->engine);
    at->engine = NULL;
    at->alive = false;
    at->generation++;
    for (unsigned i = 0; i < cell->count; i++) {
        struct event *event;

        if (i == node || !cell->nodes[i].alive) {
            continue;
        }
        event = event_new(cell, EVENT_LOST, i);
        event->from = at->id;
        timeline_add(&cell->timeline, &event->base,
                     cell->now_us + random_between(cell, 500, 3000));
    }
}

static void
deliver(struct cell *cell, struct event *event)
{
    struct engine *engine = cell->nodes[event->node].engine;
    struct engine_actions out = {0};
    static const uint8_t answer[] = "HTTP/1.1 200 OK\r\n\r\n";

    switch (event->type) {
    case EVENT_MESSAGE:
        engine_peer(engine, event->from, &event->msg, answer, sizeof(answer),
                    cell->now_us, &out);
        break;
    case EVENT_RUN_END:
        engine_upstream_end(engine, event->origin, event->id, event->how,
                            answer, sizeof(answer), cell->now_us, &out);
        break;
    case EVENT_LOST:
        engine_peer_lost(engine, event->from, cell->now_us, &out);
        break;
    case EVENT_VIEW:
        set_view(cell, event->node);
        break;
    }
    apply_actions(cell, event->node, &out);
}

/* Drops events of a crashed node and delays those of a frozen one. */
static void
handle(struct cell *cell, struct event *event)
{
    const struct cell_node *at = &cell->nodes[event->node];

    if (at->alive && event->generation == at->generation &&
        cell->now_us < at->frozen_until_us) {
        timeline_add(&cell->timeline, &event->base, at->frozen_until_us);
        return;
    }
    if (at->alive && event->generation == at->generation) {
        deliver(cell, event);
    }
    g_free((gpointer)event->msg.idem.answer);
    g_free(event);
}

static void
tick_all(struct cell *cell)
{
    for (unsigned i = 0; i < cell->count; i++) {
        struct engine_actions out = {0};

        if (is_up(cell, i)) {
            engine_tick(cell->nodes[i].engine, cell->now_us, &out);
            apply_actions(cell, i, &out);
        }
    }
}

void
cell_advance(struct cell *cell, uint64_t us)
{
    uint64_t end_us = cell->now_us + us;

    while (cell->now_us < end_us) {
        uint64_t next_tick = (cell->now_us / TICK_US + 1) * TICK_US;
        uint64_t stop = MIN(next_tick, end_us);
        struct timeline_event *first = timeline_peek(&cell->timeline);

        while (first != NULL && first->at_us <= stop) {
            cell->now_us = MAX(cell->now_us, first->at_us);
            handle(cell, (struct event *)timeline_pop(&cell->timeline));
            first = timeline_peek(&cell->timeline);
        }
        cell->now_us = stop;
        if (stop == next_tick) {
            tick_all(cell);
            invariants_answers(cell);
        }
    }
}

uint64_t
cell_arrive(struct cell *cell, unsigned node, enum service_config_class class,
            bool idempotent, bool keyed, uint64_t left_us)
{
    struct engine_request request = {
        .id = ++cell->next_id,
        .service = CELL_SERVICE,
        .caller = (uint32_t)(cell->next_id % CALLERS),
        .class = class,
        .idempotent = idempotent,
        .keyed = keyed,
        .deadline_us = cell->now_us + left_us,
    };
    struct engine_actions out = {0};

    request.key = (struct idem_key){
        .service = CELL_SERVICE,
        .hash = {1 + cell->next_id / KEY_SHARED, 1},
        .fingerprint = 1,
    };
    invariants_arrive(cell, node, &request);
    engine_arrive(cell->nodes[node].engine, &request, cell->now_us, &out);
    apply_actions(cell, node, &out);
    return request.id;
}

static void
random_arrival(struct cell *cell, unsigned node)
{
    cell_arrive(cell, node,
                chance(cell, 600) ? SERVICE_CONFIG_URGENT
                                  : SERVICE_CONFIG_ORDINARY,
                chance(cell, 300), chance(cell, 300),
                random_between(cell, 30000, 1000000));
}

static void
random_cancel(struct cell *cell)
{
    uint64_t back = random_between(cell, 0, 20);
    const struct invariants_record *record;
    struct engine_actions out = {0};

    if (cell->next_id <= back) {
        return;
    }
    record = invariants_record(cell, cell->next_id - back);
    if (is_up(cell, record->node) &&
        cell->nodes[record->node].generation == record->generation) {
        engine_cancel(cell->nodes[record->node].engine, record->id,
                      cell->now_us, &out);
        apply_actions(cell, record->node, &out);
    }
}

static void
random_fault(struct cell *cell, unsigned node)
{
    struct cell_node *at = &cell->nodes[node];

    if (!at->alive) {
        if (chance(cell, 100)) {
            start_node(cell, node);
        }
        return;
    }
    if (!is_up(cell, node)) {
        return;
    }
    if (chance(cell, cell->faults.crash)) {
        crash_node(cell, node);
        return;
    }
    if (chance(cell, cell->faults.freeze)) {
        at->frozen_until_us =
            cell->now_us + random_between(cell, 1000, 2000000);
        at->was_frozen = true;
        return;
    }
    if (chance(cell, cell->faults.drain)) {
        at->draining = !at->draining;
        set_upstream(cell, node);
    }
}

void
cell_step(struct cell *cell)
{
    unsigned node =
        (unsigned)g_rand_int_range(cell->random, 0, (gint32)cell->count);
    unsigned seer =
        (unsigned)g_rand_int_range(cell->random, 0, (gint32)cell->count);

    random_fault(cell, node);
    if (is_up(cell, node)) {
        random_arrival(cell, node);
    }
    if (chance(cell, cell->faults.cancel)) {
        random_cancel(cell);
    }
    if (is_up(cell, seer) && chance(cell, 50)) {
        set_view(cell, seer);
    }
    cell_advance(cell, random_between(cell, 100, 8000));
}

void
cell_quiesce(struct cell *cell)
{
    cell->faults = (struct cell_faults){0};
    cell_advance(cell, 3 * USEC_PER_SEC);
    for (unsigned i = 0; i < cell->count; i++) {
        if (!cell->nodes[i].alive) {
            start_node(cell, i);
        }
        cell->nodes[i].draining = false;
        set_upstream(cell, i);
        set_view(cell, i);
    }
    cell_advance(cell, 3 * USEC_PER_SEC);
    for (unsigned i = 0; i < cell->count; i++) {
        invariants_empty(cell, i);
    }
}

void
cell_init(struct cell *cell, unsigned count, enum engine_policy policy,
          struct cell_faults faults, guint32 seed)
{
    *cell = (struct cell){0};
    cell->random = g_rand_new_with_seed(seed);
    cell->now_us = 1000 * USEC_PER_SEC;
    cell->policy = policy;
    cell->count = count;
    cell->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    cell->keys_run =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    timeline_init(&cell->timeline);
    for (unsigned i = 0; i < count; i++) {
        cell->nodes[i].id = i + 1;
        cell->nodes[i].alive = true;
    }
    for (unsigned i = 0; i < count; i++) {
        start_node(cell, i);
    }
    cell_advance(cell, 12 * USEC_PER_SEC);
    cell->faults = faults;
}

void
cell_finish(struct cell *cell)
{
    struct event *event;

    for (unsigned i = 0; i < cell->count; i++) {
        engine_free(cell->nodes[i].engine);
    }
    event = (struct event *)timeline_pop(&cell->timeline);
    while (event != NULL) {
        g_free((gpointer)event->msg.idem.answer);
        g_free(event);
        event = (struct event *)timeline_pop(&cell->timeline);
    }
    timeline_finish(&cell->timeline);
    g_hash_table_destroy(cell->requests);
    g_hash_table_destroy(cell->keys_run);
    g_rand_free(cell->random);
    g_free(cell->failure);
}
