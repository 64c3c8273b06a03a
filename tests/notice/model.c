#include "model.h"

#include <string.h>

#include "notice/notice.h"

#define TICK_US (10 * USEC_PER_MSEC)
#define DISORDER_US (20 * USEC_PER_SEC)
#define QUIET_US (75 * USEC_PER_SEC)
#define WAKE_US (8 * USEC_PER_SEC)
#define LATE_MAX_US (5 * USEC_PER_SEC)
#define FREEZE_MAX_US (3 * USEC_PER_SEC)
#define LAG_MAX_US (2 * USEC_PER_SEC)

/* A backup chosen so long ago, and undisturbed since, knows a flow that was
 * opened so long ago. */
#define TOLD_US (4 * USEC_PER_SEC)

/* A flow that closed so lately may still be thought open. */
#define CLOSED_US (1 * USEC_PER_SEC)
#define LONE_SERVICE 2
#define COMMON_SERVICE 1

/** struct knowledge - what one agent thinks of another */
struct knowledge {
    uint64_t boot; /* 0: never heard of */
    enum member_health health;
    gboolean leaving;
};

/** struct news - knowledge on its way to an agent */
struct news {
    uint64_t at_us;
    unsigned to;
    unsigned about;
    struct knowledge what;
};

/** struct parcel - a message on its way */
struct parcel {
    uint64_t at_us;
    unsigned from;
    unsigned to;
    uint64_t to_boot;
    struct notice_message message;
};

/** struct flow - an open flow */
struct flow {
    struct addr caller;
    uint64_t opened_us;
};

/** struct ended - a flow that was closed */
struct ended {
    struct addr caller;
    uint64_t at_us;
};

/** struct debt - a flow of a dead owner that has to be probed */
struct debt {
    uint64_t due_us;
    uint64_t dead_us;
    struct addr caller;
    unsigned guard;      /* the backup that has to do it */
    uint64_t guard_boot; /* unless it has died meanwhile */
};

struct agent {
    gboolean running;
    gboolean leaving;
    uint64_t boot;
    uint64_t frozen_until_us;
    uint64_t backups_since_us[OWNER_BACKUPS];
    uint64_t backups_seen[OWNER_BACKUPS];
    struct notice notice;
    GArray *flows;
    GArray *ended; /* those closed lately */
    struct knowledge knows[MODEL_AGENTS_MAX];
    struct view *view;
    gboolean changed;
};

struct model {
    const struct model_config *config;
    GRand *rand;
    uint64_t now_us;
    uint64_t boots;
    uint64_t lossy_until_us;
    uint64_t last_death_us;
    gboolean calm; /* no new failures */
    struct agent agents[MODEL_AGENTS_MAX];
    GArray *news;
    GArray *parcels;
    GArray *debts;
    GHashTable *probed;   /* caller to time last probed, microseconds */
    GHashTable *expected; /* callers that may be probed now; NULL: any */
    struct model_result result;
};

/* The service has had another address before, for half of the callers. */
static struct addr
service_of(struct addr caller)
{
    return (struct addr){0x0a000001 + caller.port % 2, 80};
}

static uint64_t
id_of(unsigned i)
{
    return 1000 + i;
}

static void
fail(struct model *model, const char *what)
{
    if (model->result.failure == NULL) {
        model->result.failure = g_strdup(what);
        model->result.at_ms = model->now_us / USEC_PER_MSEC;
    }
}

static gboolean
chance(struct model *model, double per_s)
{
    return g_rand_double(model->rand) < per_s * (double)TICK_US / USEC_PER_SEC;
}

static unsigned
pick(struct model *model)
{
    return (unsigned)g_rand_int_range(model->rand, 0,
                                      (gint32)model->config->agents);
}

static uint64_t
up_to(struct model *model, uint64_t max_us)
{
    return (uint64_t)g_rand_int_range(model->rand, 0, (gint32)max_us);
}

static gpointer
key_of(struct addr caller)
{
    return GSIZE_TO_POINTER((gsize)caller.ip << 16 | caller.port);
}

static gboolean
is_frozen(const struct model *model, const struct agent *agent)
{
    return agent->frozen_until_us > model->now_us;
}

/* What is known of an agent reaches each other one at another time. */
static void
spread(struct model *model, unsigned about, enum member_health health)
{
    const struct agent *agent = &model->agents[about];
    unsigned to;

    for (to = 0; to < model->config->agents; to++) {
        struct news news = {model->now_us + up_to(model, LAG_MAX_US),
                            to,
                            about,
                            {agent->boot, health, agent->leaving}};
        g_array_append_val(model->news, news);
    }
}

static struct view *
build_view(const struct model *model, unsigned self)
{
    const struct agent *agent = &model->agents[self];
    struct view *view = view_new(model->config->agents);
    unsigned i;

    for (i = 0; i < model->config->agents; i++) {
        const struct knowledge *known = &agent->knows[i];
        struct view_member *member;

        if (known->boot == 0) {
            continue;
        }
        if (i == self) {
            view->self = view->count;
        }
        member = &view->members[view->count++];
        memset(member, 0, sizeof(*member));
        member->id = id_of(i);
        member->role = MEMBER_AGENT;
        member->state = known->leaving ? MEMBER_LEAVING : MEMBER_READY;
        member->health = known->health;
        member->service = i == 0 ? LONE_SERVICE : COMMON_SERVICE;
        member->since_us = known->boot;
        g_snprintf(member->data_centre, sizeof(member->data_centre), "dc-%u",
                   i % 3);
    }
    return view;
}

static void
apply_news(struct model *model, const struct news *news)
{
    struct agent *agent = &model->agents[news->to];
    struct knowledge *known = &agent->knows[news->about];
    const struct agent *about = &model->agents[news->about];

    if (!agent->running || news->what.boot < known->boot ||
        (news->to == news->about && news->what.health != MEMBER_ALIVE)) {
        return;
    }
    /* A refutation of what was thought wrongly; the dead refute nothing. */
    if (news->what.health == MEMBER_ALIVE && news->what.boot == known->boot &&
        known->health == MEMBER_DEAD &&
        (!about->running || about->boot != news->what.boot)) {
        return;
    }
    *known = news->what;
    agent->changed = TRUE;
}

static void
start(struct model *model, unsigned i)
{
    struct agent *agent = &model->agents[i];
    unsigned j;

    agent->running = TRUE;
    agent->leaving = FALSE;
    agent->frozen_until_us = 0;
    agent->boot = ++model->boots;
    memset(agent->backups_seen, 0, sizeof(agent->backups_seen));
    memset(agent->knows, 0, sizeof(agent->knows));
    agent->knows[i] = (struct knowledge){agent->boot, MEMBER_ALIVE, FALSE};
    agent->changed = TRUE;
    notice_init(&agent->notice, agent->boot);
    spread(model, i, MEMBER_ALIVE);
    /* A newcomer fetches the members from somebody. */
    for (j = 0; j < model->config->agents; j++) {
        const struct agent *other = &model->agents[j];
        struct news news = {model->now_us + up_to(model, LAG_MAX_US),
                            i,
                            j,
                            {other->boot, MEMBER_ALIVE, other->leaving}};
        if (j != i && other->running) {
            g_array_append_val(model->news, news);
        }
    }
}

/* A backup that could know the flows, or -1. */
static int
find_guard(const struct model *model, const struct agent *owner)
{
    size_t i;

    for (i = 0; i < OWNER_BACKUPS; i++) {
        uint64_t member = owner->notice.owner.backups[i].member;
        unsigned index = (unsigned)(member - id_of(0));

        if (member == 0 || model->lossy_until_us + TOLD_US > model->now_us ||
            owner->frozen_until_us + TOLD_US > model->now_us ||
            owner->backups_since_us[i] + TOLD_US > model->now_us) {
            continue;
        }
        const struct agent *guard = &model->agents[index];
        if (guard->running &&
            guard->boot == owner->notice.owner.backups[i].since_us &&
            guard->frozen_until_us + TOLD_US <= model->now_us &&
            guard->knows[owner - model->agents].boot == owner->boot) {
            return (int)index;
        }
    }
    return -1;
}

static void
note_debts(struct model *model, const struct agent *owner)
{
    int guard = find_guard(model, owner);
    guint i;

    for (i = 0; guard >= 0 && i < owner->flows->len; i++) {
        const struct flow *flow = &g_array_index(owner->flows, struct flow, i);
        struct debt debt = {model->now_us + WAKE_US + FREEZE_MAX_US,
                            model->now_us, flow->caller, (unsigned)guard,
                            model->agents[guard].boot};
        if (flow->opened_us + TOLD_US <= model->now_us) {
            g_array_append_val(model->debts, debt);
        }
    }
}

static void
forget(struct agent *agent)
{
    notice_finish(&agent->notice);
    g_array_set_size(agent->flows, 0);
    g_array_set_size(agent->ended, 0);
    agent->running = FALSE;
}

/* What may be probed when this agent dies after quiet. */
static void
expect(struct model *model, const struct agent *agent)
{
    guint i;

    if (model->expected == NULL) {
        return;
    }
    for (i = 0; i < agent->flows->len; i++) {
        const struct flow *flow = &g_array_index(agent->flows, struct flow, i);
        g_hash_table_add(model->expected, key_of(flow->caller));
    }
    for (i = 0; i < agent->ended->len; i++) {
        const struct ended *ended =
            &g_array_index(agent->ended, struct ended, i);
        if (ended->at_us + CLOSED_US > model->now_us) {
            g_hash_table_add(model->expected, key_of(ended->caller));
        }
    }
}

static void
die(struct model *model, unsigned i)
{
    struct agent *agent = &model->agents[i];

    if (!agent->running) {
        return;
    }
    expect(model, agent);
    note_debts(model, agent);
    forget(agent);
    model->last_death_us = model->now_us;
    model->result.deaths++;
    spread(model, i, MEMBER_DEAD);
}

static struct addr
new_caller(struct model *model)
{
    /* Callers come back with the same address and port. */
    return (struct addr){0x0a090000 +
                             (uint32_t)g_rand_int_range(model->rand, 0, 50),
                         (uint16_t)g_rand_int_range(model->rand, 1, 400)};
}

static gboolean
in_use(const struct model *model, struct addr caller)
{
    unsigned i;
    guint j;

    for (i = 0; i < model->config->agents; i++) {
        const GArray *flows = model->agents[i].flows;
        for (j = 0; j < flows->len; j++) {
            if (addr_equal(g_array_index(flows, struct flow, j).caller,
                           caller)) {
                return TRUE;
            }
        }
    }
    return FALSE;
}

static void
open_flow(struct model *model, unsigned i)
{
    struct agent *agent = &model->agents[i];
    struct flow flow = {new_caller(model), model->now_us};

    if (!agent->running || is_frozen(model, agent) || agent->leaving ||
        in_use(model, flow.caller)) {
        return;
    }
    g_array_append_val(agent->flows, flow);
    model->result.opened++;
    g_assert_cmpint(
        notice_opened(&agent->notice, flow.caller, service_of(flow.caller)),
        ==, 0);
}

static void
close_flow(struct model *model, unsigned i)
{
    struct agent *agent = &model->agents[i];
    struct ended ended = {.at_us = model->now_us};
    guint at;

    if (!agent->running || is_frozen(model, agent) || agent->flows->len == 0) {
        return;
    }
    at = (guint)g_rand_int_range(model->rand, 0, (gint32)agent->flows->len);
    ended.caller = g_array_index(agent->flows, struct flow, at).caller;
    notice_closed(&agent->notice, ended.caller, service_of(ended.caller));
    while (agent->ended->len > 0 &&
           g_array_index(agent->ended, struct ended, 0).at_us + CLOSED_US <=
               model->now_us) {
        g_array_remove_index(agent->ended, 0);
    }
    g_array_append_val(agent->ended, ended);
    g_array_remove_index_fast(agent->flows, at);
}

static void
post(struct model *model, unsigned from, uint64_t to,
     const struct notice_message *message)
{
    unsigned copies = g_rand_int_range(model->rand, 0, 20) == 0 ? 2 : 1;
    struct parcel parcel = {.from = from, .to = (unsigned)(to - id_of(0))};

    model->result.messages++;
    parcel.message = *message;
    parcel.to_boot = model->agents[parcel.to].boot;
    while (copies-- > 0) {
        if (model->config->deaf ||
            (model->now_us < model->lossy_until_us &&
             g_rand_int_range(model->rand, 0, 3) == 0)) {
            continue;
        }
        /* The copy is as from an earlier connection. */
        parcel.at_us =
            model->now_us + 1 + up_to(model, copies > 0 ? LATE_MAX_US : 30000);
        g_array_append_val(model->parcels, parcel);
    }
}

static void
deliver(struct model *model, struct parcel *parcel)
{
    struct agent *agent = &model->agents[parcel->to];
    struct notice_message reply;

    if (!agent->running || agent->boot != parcel->to_boot) {
        return;
    }
    if (notice_receive(&agent->notice, agent->view, id_of(parcel->from),
                       &parcel->message, model->now_us, &reply)) {
        post(model, parcel->to, id_of(parcel->from), &reply);
    }
}

static void
deliver_due(struct model *model)
{
    guint i = 0;

    while (i < model->parcels->len) {
        struct parcel parcel = g_array_index(model->parcels, struct parcel, i);

        if (parcel.at_us > model->now_us ||
            is_frozen(model, &model->agents[parcel.to])) {
            i++;
            continue;
        }
        g_array_remove_index_fast(model->parcels, i);
        deliver(model, &parcel);
    }
}

static void
spread_due(struct model *model)
{
    guint i = 0;

    while (i < model->news->len) {
        struct news news = g_array_index(model->news, struct news, i);

        if (news.at_us > model->now_us ||
            is_frozen(model, &model->agents[news.to])) {
            i++;
            continue;
        }
        g_array_remove_index_fast(model->news, i);
        apply_news(model, &news);
    }
}

static void
note_probe(struct model *model, const struct notice_probe *probe)
{
    uint64_t *at_us = g_new(uint64_t, 1);

    *at_us = model->now_us;
    model->result.probes++;
    g_hash_table_insert(model->probed, key_of(probe->caller), at_us);
    if (!addr_equal(probe->service, service_of(probe->caller))) {
        fail(model, "a probe from another service's address");
    }
    if (model->expected != NULL &&
        !g_hash_table_contains(model->expected, key_of(probe->caller))) {
        fail(model, "a probe for a flow that no dead owner had");
    }
}

static void
note_backups(struct model *model, struct agent *agent)
{
    size_t i;

    for (i = 0; i < OWNER_BACKUPS; i++) {
        const struct owner_backup *backup = &agent->notice.owner.backups[i];
        uint64_t seen = backup->member == 0 ? 0 : backup->since_us;

        if (seen != agent->backups_seen[i]) {
            agent->backups_seen[i] = seen;
            agent->backups_since_us[i] = model->now_us;
        }
    }
}

static void
tick_agent(struct model *model, unsigned i)
{
    struct agent *agent = &model->agents[i];
    struct notice_message message;
    struct notice_probe probes[16];
    uint64_t to;
    size_t count;
    size_t j;

    if (agent->changed) {
        agent->changed = FALSE;
        g_free(agent->view);
        agent->view = build_view(model, i);
        notice_set_view(&agent->notice, agent->view, model->now_us);
        note_backups(model, agent);
    }
    notice_tick(&agent->notice, model->now_us);
    while (notice_next(&agent->notice, model->now_us, &to, &message)) {
        post(model, i, to, &message);
    }
    do {
        count = notice_probes(&agent->notice, model->now_us, probes,
                              G_N_ELEMENTS(probes));
        for (j = 0; j < count; j++) {
            note_probe(model, &probes[j]);
        }
    } while (count == G_N_ELEMENTS(probes));
    if (notice_held(&agent->notice) > model->config->agents * 50 * 400) {
        fail(model, "more flows are held than there are");
    }
}

static void
check_debts(struct model *model)
{
    guint i = 0;

    while (i < model->debts->len) {
        struct debt debt = g_array_index(model->debts, struct debt, i);
        const struct agent *guard = &model->agents[debt.guard];
        const uint64_t *at_us;

        if (debt.due_us > model->now_us) {
            i++;
            continue;
        }
        g_array_remove_index_fast(model->debts, i);
        if (!guard->running || guard->boot != debt.guard_boot) {
            continue;
        }
        model->result.owed++;
        at_us = g_hash_table_lookup(model->probed, key_of(debt.caller));
        if (at_us == NULL || *at_us < debt.dead_us) {
            fail(model, "a flow of a dead owner was not probed");
        }
    }
}

static void
load(struct model *model)
{
    unsigned n;

    for (n = 0; n < 2; n++) {
        if (chance(model, 10)) {
            open_flow(model, pick(model));
        }
        if (chance(model, 8)) {
            close_flow(model, pick(model));
        }
    }
    if (chance(model, 0.1)) {
        unsigned i = pick(model);
        for (n = 0; n < 300; n++) {
            open_flow(model, i);
        }
    }
    if (chance(model, 0.1)) {
        unsigned i = pick(model);
        for (n = 0; n < 300; n++) {
            open_flow(model, i);
            close_flow(model, i);
        }
    }
}

/* Thought dead, by some, for a while. */
static void
accuse(struct model *model, unsigned about)
{
    const struct agent *agent = &model->agents[about];
    struct news news = {.about = about,
                        .what = {agent->boot, MEMBER_DEAD, agent->leaving}};
    unsigned to;

    if (!agent->running) {
        return;
    }
    for (to = 0; to < model->config->agents; to++) {
        if (to == about || g_rand_boolean(model->rand)) {
            continue;
        }
        news.to = to;
        news.what.health = MEMBER_DEAD;
        news.at_us = model->now_us + up_to(model, LAG_MAX_US);
        g_array_append_val(model->news, news);
        news.what.health = MEMBER_ALIVE;
        news.at_us += up_to(model, 2 * LAG_MAX_US);
        g_array_append_val(model->news, news);
    }
}

static void
leave(struct model *model, unsigned i)
{
    struct agent *agent = &model->agents[i];

    if (agent->running && !agent->leaving) {
        agent->leaving = TRUE;
        agent->knows[i].leaving = TRUE;
        agent->changed = TRUE;
        spread(model, i, MEMBER_ALIVE);
    }
}

static void
disturb(struct model *model)
{
    if (chance(model, 0.2)) {
        die(model, pick(model));
    }
    if (chance(model, 0.4)) {
        unsigned i = pick(model);
        if (!model->agents[i].running) {
            start(model, i);
        }
    }
    if (chance(model, 0.1)) {
        /* A restart that nobody had time to notice. */
        unsigned i = pick(model);
        die(model, i);
        if (!model->agents[i].running) {
            start(model, i);
        }
    }
    if (chance(model, 0.1)) {
        struct agent *agent = &model->agents[pick(model)];
        agent->frozen_until_us = model->now_us + up_to(model, FREEZE_MAX_US);
    }
    if (chance(model, 0.1)) {
        accuse(model, pick(model));
    }
    if (chance(model, 0.05)) {
        leave(model, pick(model));
    }
    if (chance(model, 0.05)) {
        model->lossy_until_us = model->now_us + up_to(model, 3 * USEC_PER_SEC);
    }
}

static void
step(struct model *model)
{
    unsigned i;

    model->now_us += TICK_US;
    load(model);
    if (!model->calm) {
        disturb(model);
    }
    spread_due(model);
    for (i = 0; i < model->config->agents; i++) {
        struct agent *agent = &model->agents[i];
        if (agent->running && !is_frozen(model, agent)) {
            tick_agent(model, i);
        }
    }
    deliver_due(model);
    check_debts(model);
}

static void
run_for(struct model *model, uint64_t us)
{
    uint64_t until_us = model->now_us + us;

    while (model->now_us < until_us && model->result.failure == NULL) {
        step(model);
    }
}

/* After quiet: two die at once, exactly their flows are probed. */
static void
kill_two(struct model *model)
{
    unsigned first = pick(model);
    unsigned second = pick(model);

    model->expected = g_hash_table_new(NULL, NULL);
    die(model, first);
    die(model, second);
    run_for(model, WAKE_US);
    /* Late rounds may come upon callers that have returned elsewhere. */
    g_hash_table_unref(model->expected);
    model->expected = NULL;
    run_for(model, FREEZE_MAX_US + 2 * TICK_US);
}

static void
start_all(struct model *model)
{
    unsigned i;

    for (i = 0; i < model->config->agents; i++) {
        if (!model->agents[i].running) {
            start(model, i);
        }
        else if (model->agents[i].leaving) {
            die(model, i);
            start(model, i);
        }
    }
}

static void
model_init(struct model *model, const struct model_config *config,
           guint32 seed)
{
    unsigned i;

    memset(model, 0, sizeof(*model));
    model->config = config;
    model->rand = g_rand_new_with_seed(seed);
    model->now_us = 1000 * USEC_PER_SEC;
    model->boots = model->now_us;
    model->news = g_array_new(FALSE, FALSE, sizeof(struct news));
    model->parcels = g_array_new(FALSE, FALSE, sizeof(struct parcel));
    model->debts = g_array_new(FALSE, FALSE, sizeof(struct debt));
    model->probed = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    for (i = 0; i < config->agents; i++) {
        model->agents[i].flows =
            g_array_new(FALSE, FALSE, sizeof(struct flow));
        model->agents[i].ended =
            g_array_new(FALSE, FALSE, sizeof(struct ended));
    }
    start_all(model);
}

static void
model_finish(struct model *model)
{
    unsigned i;

    for (i = 0; i < model->config->agents; i++) {
        struct agent *agent = &model->agents[i];
        if (agent->running) {
            forget(agent);
        }
        g_array_unref(agent->flows);
        g_array_unref(agent->ended);
        g_free(agent->view);
    }
    g_array_unref(model->news);
    g_array_unref(model->parcels);
    g_array_unref(model->debts);
    g_hash_table_unref(model->probed);
    g_rand_free(model->rand);
}

struct model_result
model_run(const struct model_config *config, guint32 seed)
{
    struct model *model = g_new(struct model, 1);
    struct model_result result;
    unsigned cycle;

    g_assert_cmpuint(config->agents, <=, MODEL_AGENTS_MAX);
    model_init(model, config, seed);
    for (cycle = 0; cycle < config->cycles; cycle++) {
        model->calm = FALSE;
        run_for(model, DISORDER_US);
        model->calm = TRUE;
        start_all(model);
        run_for(model, QUIET_US);
        kill_two(model);
        start_all(model);
    }
    result = model->result;
    model_finish(model);
    g_free(model);
    return result;
}
