/* One test for each rule of the notice cores. */
#include <errno.h>
#include <glib.h>
#include <string.h>

#include "notice/choose.h"
#include "notice/notice.h"

#define SELF 7
#define OWNER 40
#define START_US (1000 * USEC_PER_SEC)
#define TICK_US (10 * USEC_PER_MSEC)
#define ALL_ROUNDS_US (BACKUP_ROUNDS_US + USEC_PER_SEC)

static const struct addr service = {0x0a000001, 80};
static const struct addr other_service = {0x0a000002, 80};

static struct addr
caller(unsigned i)
{
    return (struct addr){0x0a090000 + i / 60000, (uint16_t)(1 + i % 60000)};
}

static struct view_member *
add_member(struct view *view, uint64_t id, uint32_t its_service,
           const char *data_centre)
{
    struct view_member *member = &view->members[view->count++];

    memset(member, 0, sizeof(*member));
    member->id = id;
    member->role = MEMBER_AGENT;
    member->state = MEMBER_READY;
    member->health = MEMBER_ALIVE;
    member->service = its_service;
    member->since_us = START_US;
    g_strlcpy(member->data_centre, data_centre, sizeof(member->data_centre));
    return member;
}

/* Ourselves and one owner. */
static struct view *
two_members(void)
{
    struct view *view = view_new(2);

    add_member(view, SELF, 1, "a");
    add_member(view, OWNER, 1, "b");
    return view;
}

static struct notice_message
batch(uint64_t boot, uint32_t session, uint32_t seq, unsigned first,
      size_t opened, size_t closed)
{
    struct notice_message message = {.type = NOTICE_FLOWS,
                                     .boot = boot,
                                     .session = session,
                                     .seq = seq,
                                     .service = service,
                                     .opened = opened,
                                     .closed = closed};
    size_t i;

    for (i = 0; i < opened + closed; i++) {
        message.callers[i] = caller(first + (unsigned)i);
    }
    return message;
}

/** struct scene - a backup that hears one owner */
struct scene {
    struct notice notice;
    struct view *view;
    struct view_member *owner;
    uint64_t now_us;
};

static void
scene_init(struct scene *scene)
{
    scene->now_us = START_US;
    scene->view = two_members();
    scene->owner = &scene->view->members[1];
    notice_init(&scene->notice, 1);
    notice_set_view(&scene->notice, scene->view, scene->now_us);
}

static void
scene_finish(struct scene *scene)
{
    notice_finish(&scene->notice);
    g_free(scene->view);
}

/* 1 known, 0 asked anew, -1 no answer. */
static int
hear(struct scene *scene, struct notice_message message)
{
    struct notice_message reply;

    if (!notice_receive(&scene->notice, scene->view, OWNER, &message,
                        scene->now_us, &reply)) {
        return -1;
    }
    g_assert_cmpint(reply.type, ==, NOTICE_ACK);
    g_assert_cmpuint(reply.boot, ==, message.boot);
    g_assert_cmpuint(reply.session, ==, message.session);
    g_assert_cmpuint(reply.seq, ==, message.seq);
    return reply.known ? 1 : 0;
}

static void
see(struct scene *scene)
{
    notice_set_view(&scene->notice, scene->view, scene->now_us);
}

/* Probes sent within @us. */
static size_t
probes_within(struct scene *scene, uint64_t us)
{
    struct notice_probe probes[8];
    uint64_t until_us = scene->now_us + us;
    size_t all = 0;
    size_t count;

    while (scene->now_us < until_us) {
        notice_tick(&scene->notice, scene->now_us);
        do {
            count = notice_probes(&scene->notice, scene->now_us, probes, 8);
            all += count;
        } while (count == 8);
        scene->now_us += TICK_US;
    }
    return all;
}

static void
test_dead_owner_probed_in_rounds(void)
{
    struct scene scene;

    scene_init(&scene);
    g_assert_cmpint(hear(&scene, batch(1, 1, 1, 0, 10, 0)), ==, 1);
    g_assert_cmpint(hear(&scene, batch(1, 1, 2, 0, 0, 3)), ==, 1);
    g_assert_cmpuint(notice_held(&scene.notice), ==, 7);
    scene.owner->health = MEMBER_SUSPECT;
    see(&scene);
    g_assert_cmpuint(probes_within(&scene, 10 * USEC_PER_SEC), ==, 0);
    scene.owner->health = MEMBER_DEAD;
    see(&scene);
    g_assert_cmpuint(probes_within(&scene, 100 * USEC_PER_MSEC), ==, 7);
    g_assert_cmpuint(probes_within(&scene, ALL_ROUNDS_US), ==,
                     7 * (BACKUP_ROUNDS - 1));
    g_assert_cmpuint(probes_within(&scene, 60 * USEC_PER_SEC), ==, 0);
    g_assert_cmpuint(notice_held(&scene.notice), ==, 0);
    scene_finish(&scene);
}

/* While another one is suspected, callers' answers meet no reset. */
static void
test_end_of_suspicion(void)
{
    struct scene scene;
    struct view *view = view_new(3);
    struct view_member *third;

    scene_init(&scene);
    memcpy(view->members, scene.view->members, 2 * sizeof(*third));
    view->count = 2;
    third = add_member(view, 50, 1, "c");
    g_free(scene.view);
    scene.view = view;
    scene.owner = &view->members[1];
    hear(&scene, batch(1, 1, 1, 0, 10, 0));
    third->health = MEMBER_SUSPECT;
    scene.owner->health = MEMBER_DEAD;
    see(&scene);
    probes_within(&scene, 4 * USEC_PER_SEC);
    third->health = MEMBER_ALIVE;
    see(&scene);
    g_assert_cmpuint(probes_within(&scene, 100 * USEC_PER_MSEC), ==, 10);
    g_assert_cmpuint(probes_within(&scene, USEC_PER_SEC), ==, 10);
    see(&scene);
    g_assert_cmpuint(probes_within(&scene, USEC_PER_SEC), ==, 0);
    /* Long after the death nobody is left to be told. */
    probes_within(&scene, ALL_ROUNDS_US);
    third->health = MEMBER_SUSPECT;
    see(&scene);
    third->health = MEMBER_ALIVE;
    see(&scene);
    g_assert_cmpuint(probes_within(&scene, USEC_PER_SEC), ==, 0);
    scene_finish(&scene);
}

static void
test_vanished_owner_is_dead(void)
{
    struct scene scene;

    scene_init(&scene);
    hear(&scene, batch(1, 1, 1, 0, 10, 0));
    scene.view->count = 1;
    see(&scene);
    g_assert_cmpuint(probes_within(&scene, 100 * USEC_PER_MSEC), ==, 10);
    scene_finish(&scene);
}

/* The owner restarted and chose other backups: only the view tells. */
static void
test_restart_in_view(void)
{
    struct scene scene;

    scene_init(&scene);
    hear(&scene, batch(1, 1, 1, 0, 10, 0));
    scene.owner->since_us++;
    see(&scene);
    g_assert_cmpuint(probes_within(&scene, 100 * USEC_PER_MSEC), ==, 10);
    /* What the former process still had on its way revives nothing. */
    g_assert_cmpint(hear(&scene, batch(1, 1, 2, 50, 1, 0)), ==, 0);
    g_assert_cmpuint(probes_within(&scene, ALL_ROUNDS_US), ==,
                     10 * (BACKUP_ROUNDS - 1));
    scene_finish(&scene);
}

/* The owner restarted and says so before the view does. */
static void
test_restart_in_message(void)
{
    struct scene scene;

    scene_init(&scene);
    hear(&scene, batch(1, 1, 1, 0, 10, 0));
    g_assert_cmpint(hear(&scene, batch(2, 1, 1, 100, 5, 0)), ==, 1);
    g_assert_cmpuint(probes_within(&scene, 100 * USEC_PER_MSEC), ==, 10);
    g_assert_cmpint(hear(&scene, batch(1, 1, 2, 50, 1, 0)), ==, -1);
    /* The view follows: the present process is asked anew and lives. */
    scene.owner->since_us++;
    see(&scene);
    g_assert_cmpint(hear(&scene, batch(2, 1, 2, 105, 1, 0)), ==, 0);
    g_assert_cmpint(hear(&scene, batch(2, 2, 1, 100, 6, 0)), ==, 1);
    g_assert_cmpint(hear(&scene, batch(2, 2, 2, 106, 0, 0)), ==, 1);
    g_assert_cmpuint(probes_within(&scene, ALL_ROUNDS_US), ==,
                     10 * (BACKUP_ROUNDS - 1));
    g_assert_cmpuint(notice_held(&scene.notice), ==, 6);
    g_assert_cmpuint(probes_within(&scene, 10 * USEC_PER_SEC), ==, 0);
    scene_finish(&scene);
}

/* An owner that was thought dead comes back: nothing is told again, nothing
 * more is probed, and its real death is noticed. */
static void
test_wrongly_dead(void)
{
    struct scene scene;

    scene_init(&scene);
    hear(&scene, batch(1, 1, 1, 0, 10, 0));
    scene.owner->health = MEMBER_DEAD;
    see(&scene);
    probes_within(&scene, ALL_ROUNDS_US);
    scene.owner->health = MEMBER_ALIVE;
    see(&scene);
    g_assert_cmpuint(probes_within(&scene, 10 * USEC_PER_SEC), ==, 0);
    g_assert_cmpint(hear(&scene, batch(1, 1, 2, 10, 1, 0)), ==, 1);
    scene.owner->health = MEMBER_DEAD;
    see(&scene);
    g_assert_cmpuint(probes_within(&scene, 100 * USEC_PER_MSEC), ==, 11);
    scene_finish(&scene);
}

static void
test_order_of_batches(void)
{
    struct scene scene;

    scene_init(&scene);
    g_assert_cmpint(hear(&scene, batch(1, 5, 2, 0, 1, 0)), ==, 0);
    g_assert_cmpint(hear(&scene, batch(1, 5, 1, 0, 10, 0)), ==, 1);
    g_assert_cmpint(hear(&scene, batch(1, 5, 3, 20, 1, 0)), ==, 0);
    g_assert_cmpint(hear(&scene, batch(1, 5, 2, 0, 0, 10)), ==, 1);
    /* Repeated: known, and not applied again. */
    g_assert_cmpint(hear(&scene, batch(1, 5, 1, 0, 10, 0)), ==, 1);
    g_assert_cmpuint(notice_held(&scene.notice), ==, 0);
    /* Of a transfer that was given up. */
    g_assert_cmpint(hear(&scene, batch(1, 4, 1, 0, 10, 0)), ==, -1);
    g_assert_cmpint(hear(&scene, batch(1, 4, 3, 0, 10, 0)), ==, -1);
    g_assert_cmpuint(notice_held(&scene.notice), ==, 0);
    /* A new one replaces all. */
    g_assert_cmpint(hear(&scene, batch(1, 6, 1, 30, 4, 0)), ==, 1);
    g_assert_cmpint(hear(&scene, batch(1, 6, 2, 40, 4, 0)), ==, 1);
    g_assert_cmpint(hear(&scene, batch(1, 7, 1, 50, 2, 0)), ==, 1);
    g_assert_cmpuint(notice_held(&scene.notice), ==, 2);
    scene_finish(&scene);
}

static void
test_bad_messages(void)
{
    struct scene scene;
    struct notice_message message = batch(1, 1, 1, 0, 1, 0);
    struct notice_message reply;

    scene_init(&scene);
    g_assert_false(notice_receive(&scene.notice, scene.view, 999, &message,
                                  START_US, &reply));
    g_assert_cmpint(hear(&scene, batch(0, 1, 1, 0, 1, 0)), ==, -1);
    g_assert_cmpint(hear(&scene, batch(1, 0, 1, 0, 1, 0)), ==, -1);
    g_assert_cmpint(hear(&scene, batch(1, 1, 0, 0, 1, 0)), ==, -1);
    message.opened = NOTICE_BATCH_MAX;
    message.closed = 1;
    g_assert_cmpint(hear(&scene, message), ==, -1);
    message = batch(1, 1, 1, 0, 1, 0);
    message.callers[0] = (struct addr){0, 0};
    g_assert_cmpint(hear(&scene, message), ==, 1);
    g_assert_cmpuint(notice_held(&scene.notice), ==, 0);
    scene_finish(&scene);
}

/* An owner that went over to others, and one that is only frozen. */
static void
test_silent_owner(void)
{
    struct scene scene;

    scene_init(&scene);
    hear(&scene, batch(1, 1, 1, 0, 10, 0));
    scene.owner->health = MEMBER_SUSPECT;
    see(&scene);
    probes_within(&scene, 2 * BACKUP_SILENCE_US);
    g_assert_cmpuint(notice_held(&scene.notice), ==, 10);
    scene.owner->health = MEMBER_ALIVE;
    see(&scene);
    g_assert_cmpuint(probes_within(&scene, USEC_PER_SEC), ==, 0);
    g_assert_cmpuint(notice_held(&scene.notice), ==, 0);
    scene_finish(&scene);
}

static void
test_probes_are_paced(void)
{
    struct scene scene;
    unsigned i;

    scene_init(&scene);
    for (i = 0; i < 200; i++) {
        hear(&scene, batch(1, 1, i + 1, i * 128, 128, 0));
    }
    scene.owner->health = MEMBER_DEAD;
    see(&scene);
    g_assert_cmpuint(probes_within(&scene, USEC_PER_SEC), <=,
                     BACKUP_PROBES_PER_S * 11 / 10);
    g_assert_cmpuint(probes_within(&scene, USEC_PER_SEC), >=,
                     BACKUP_PROBES_PER_S * 9 / 10);
    g_assert_cmpuint(probes_within(&scene, 2 * ALL_ROUNDS_US), >=,
                     (BACKUP_ROUNDS - 1) * 200 * 128);
    scene_finish(&scene);
}

static void
test_flows_are_bounded(void)
{
    struct scene scene;
    const struct held *held;
    unsigned batches = BACKUP_FLOWS_MAX / NOTICE_BATCH_MAX;
    unsigned i;

    scene_init(&scene);
    for (i = 0; i < batches + 10; i++) {
        g_assert_cmpint(hear(&scene, batch(1, 1, i + 1, i * NOTICE_BATCH_MAX,
                                           NOTICE_BATCH_MAX, 0)),
                        ==, 1);
    }
    g_assert_cmpuint(notice_held(&scene.notice), ==, BACKUP_FLOWS_MAX);
    g_assert_cmpuint(scene.notice.backup.refused, ==, 10 * NOTICE_BATCH_MAX);
    held = &scene.notice.backup.items[0];
    g_assert_cmpuint(held->flows.allocated * sizeof(uint64_t), <=,
                     22 * held->flows.used);
    /* Memory goes back with the flows. */
    for (i = 0; i < batches; i++) {
        if (i == batches - 1) {
            g_assert_cmpuint(held->flows.allocated, <=, 8 * NOTICE_BATCH_MAX);
        }
        hear(&scene, batch(1, 1, batches + 11 + i, i * NOTICE_BATCH_MAX, 0,
                           NOTICE_BATCH_MAX));
    }
    g_assert_cmpuint(notice_held(&scene.notice), ==, 0);
    g_assert_cmpuint(held->flows.allocated, ==, 0);
    scene_finish(&scene);
}

/* Those kept only in case their owners come back make room. */
static void
test_owners_are_bounded(void)
{
    struct notice notice;
    struct notice_message message = batch(1, 1, 1, 0, 1, 0);
    struct notice_message reply;
    struct notice_probe probes[8];
    struct view *view = view_new(BACKUP_OWNERS_MAX + 2);
    unsigned i;

    add_member(view, SELF, 1, "a");
    for (i = 0; i <= BACKUP_OWNERS_MAX; i++) {
        add_member(view, 100 + i, 1, "a");
    }
    notice_init(&notice, 1);
    for (i = 0; i <= BACKUP_OWNERS_MAX; i++) {
        g_assert_cmpint(
            notice_receive(&notice, view, 100 + i, &message, START_US, &reply),
            ==, i < BACKUP_OWNERS_MAX);
    }
    g_assert_cmpuint(notice.backup.refused, ==, 1);
    view->members[1].health = MEMBER_DEAD;
    notice_set_view(&notice, view, START_US);
    for (i = 0; i < ALL_ROUNDS_US / TICK_US; i++) {
        notice_probes(&notice, START_US + i * TICK_US, probes, 8);
    }
    g_assert_true(notice_receive(&notice, view, 100 + BACKUP_OWNERS_MAX,
                                 &message, START_US, &reply));
    notice_finish(&notice);
    g_free(view);
}

/** struct told - an owner and what it sends to its only backup */
struct told {
    struct notice notice;
    struct view *view;
    struct notice_message message;
    uint64_t now_us;
};

static void
told_init(struct told *told)
{
    told->now_us = START_US;
    told->view = two_members();
    notice_init(&told->notice, 1);
    notice_set_view(&told->notice, told->view, told->now_us);
}

static void
told_finish(struct told *told)
{
    notice_finish(&told->notice);
    g_free(told->view);
}

static gboolean
next(struct told *told)
{
    uint64_t to;

    if (!notice_next(&told->notice, told->now_us, &to, &told->message)) {
        return FALSE;
    }
    g_assert_cmpuint(to, ==, OWNER);
    return TRUE;
}

static void
acknowledge(struct told *told, uint32_t session, uint32_t seq, bool known)
{
    struct notice_message ack = {.type = NOTICE_ACK,
                                 .known = known,
                                 .boot = 1,
                                 .session = session,
                                 .seq = seq};
    struct notice_message reply;

    g_assert_false(notice_receive(&told->notice, told->view, OWNER, &ack,
                                  told->now_us, &reply));
}

static void
acknowledge_last(struct told *told)
{
    acknowledge(told, told->message.session, told->message.seq, true);
}

/* A new backup is greeted at once, so that it learns of a restart. */
static void
told_greet(struct told *told)
{
    g_assert_true(next(told));
    g_assert_cmpuint(told->message.seq, ==, 1);
    acknowledge_last(told);
    told->now_us += OWNER_GAP_US;
}

static void
test_short_flows_cost_nothing(void)
{
    struct told told;
    unsigned i;

    told_init(&told);
    notice_opened(&told.notice, caller(0), service);
    told_greet(&told);
    for (i = 1; i < 1000; i++) {
        notice_opened(&told.notice, caller(i), service);
        notice_closed(&told.notice, caller(i), service);
    }
    g_assert_false(next(&told));
    notice_closed(&told.notice, caller(0), service);
    g_assert_true(next(&told));
    g_assert_cmpuint(told.message.opened, ==, 0);
    g_assert_cmpuint(told.message.closed, ==, 1);
    acknowledge_last(&told);
    g_assert_cmpuint(told.notice.owner.flows.used, ==, 0);
    told_finish(&told);
}

static void
test_pace_of_batches(void)
{
    struct told told;
    unsigned i;

    told_init(&told);
    told_greet(&told);
    notice_opened(&told.notice, caller(0), service);
    g_assert_true(next(&told)); /* after quiet: at once */
    acknowledge_last(&told);
    notice_opened(&told.notice, caller(1), service);
    told.now_us += OWNER_GAP_US - 1;
    g_assert_false(next(&told));
    told.now_us++;
    g_assert_true(next(&told));
    for (i = 2; i < 2 + 2 * NOTICE_BATCH_MAX; i++) {
        notice_opened(&told.notice, caller(i), service);
    }
    told.now_us += OWNER_FULL_GAP_US;
    g_assert_false(next(&told)); /* one at a time */
    acknowledge_last(&told);
    g_assert_true(next(&told));
    g_assert_cmpuint(told.message.opened, ==, NOTICE_BATCH_MAX);
    acknowledge_last(&told);
    told.now_us += OWNER_FULL_GAP_US;
    g_assert_true(next(&told));
    acknowledge_last(&told);
    told.now_us += OWNER_KEEPALIVE_US - 1;
    g_assert_false(next(&told));
    told.now_us++;
    g_assert_true(next(&told));
    g_assert_cmpuint(told.message.opened + told.message.closed, ==, 0);
    told_finish(&told);
}

static void
test_sent_again(void)
{
    struct told told;
    uint32_t seq;

    told_init(&told);
    told_greet(&told);
    notice_opened(&told.notice, caller(0), service);
    g_assert_true(next(&told));
    seq = told.message.seq;
    /* None of these is for the batch on its way. */
    acknowledge(&told, told.message.session, seq - 1, true);
    acknowledge(&told, told.message.session + 1, seq, true);
    acknowledge(&told, told.message.session - 1, seq, true);
    notice_opened(&told.notice, caller(1), service);
    told.now_us += OWNER_RESEND_US - 1;
    g_assert_false(next(&told));
    told.now_us++;
    g_assert_true(next(&told));
    g_assert_cmpuint(told.message.seq, ==, seq);
    g_assert_cmpuint(told.message.opened, ==, 1);
    acknowledge_last(&told);
    told.now_us += OWNER_GAP_US;
    g_assert_true(next(&told));
    g_assert_cmpuint(told.message.seq, ==, seq + 1);
    told_finish(&told);
}

/* A backup that knows nothing is told all, but not over and over. */
static void
test_told_anew(void)
{
    struct told told;
    uint32_t session;
    unsigned i;

    told_init(&told);
    told_greet(&told);
    for (i = 0; i < 20; i++) {
        notice_opened(&told.notice, caller(i), service);
    }
    g_assert_true(next(&told));
    acknowledge_last(&told);
    notice_closed(&told.notice, caller(0), service);
    told.now_us += OWNER_GAP_US;
    g_assert_true(next(&told));
    session = told.message.session;
    acknowledge(&told, session, told.message.seq, false);
    told.now_us += OWNER_RESEND_US;
    g_assert_true(next(&told));
    g_assert_cmpuint(told.message.session, >, session);
    g_assert_cmpuint(told.message.seq, ==, 1);
    g_assert_cmpuint(told.message.opened, ==, 19);
    acknowledge(&told, told.message.session, 1, false);
    told.now_us += OWNER_RESEND_US / 2;
    g_assert_false(next(&told));
    told_finish(&told);
}

/* A service gets another address: flows to the former one go on. */
static void
test_addresses(void)
{
    struct told told;
    struct scene scene;
    struct notice_probe probes[8];

    told_init(&told);
    scene_init(&scene);
    notice_opened(&told.notice, caller(0), service);
    notice_opened(&told.notice, caller(0), other_service);
    notice_opened(&told.notice, caller(1), other_service);
    while (next(&told)) {
        g_assert_cmpint(hear(&scene, told.message), ==, 1);
        acknowledge_last(&told);
        told.now_us += OWNER_GAP_US;
    }
    g_assert_cmpuint(notice_held(&scene.notice), ==, 3);
    notice_closed(&told.notice, caller(1), service);
    g_assert_false(next(&told));
    notice_closed(&told.notice, caller(1), other_service);
    g_assert_true(next(&told));
    g_assert_cmpint(hear(&scene, told.message), ==, 1);
    scene.owner->health = MEMBER_DEAD;
    see(&scene);
    g_assert_cmpuint(notice_probes(&scene.notice, scene.now_us, probes, 8), ==,
                     2);
    g_assert_true(addr_equal(probes[0].caller, caller(0)));
    g_assert_true(addr_equal(probes[1].caller, caller(0)));
    g_assert_true((addr_equal(probes[0].service, service) &&
                   addr_equal(probes[1].service, other_service)) ||
                  (addr_equal(probes[1].service, service) &&
                   addr_equal(probes[0].service, other_service)));
    scene_finish(&scene);
    told_finish(&told);
}

/* Places of addresses are bounded and used again. */
static void
test_addresses_are_bounded(void)
{
    struct told told;
    struct addr address = service;
    unsigned i;

    told_init(&told);
    told_greet(&told);
    for (i = 0; i < CALLED_MAX; i++) {
        address.port = (uint16_t)(100 + i);
        g_assert_cmpint(notice_opened(&told.notice, caller(0), address), ==,
                        0);
    }
    g_assert_cmpint(notice_opened(&told.notice, caller(0), service), ==,
                    -ENOSPC);
    notice_closed(&told.notice, caller(0), address);
    while (next(&told)) {
        acknowledge_last(&told);
        told.now_us += OWNER_GAP_US;
    }
    g_assert_cmpint(notice_opened(&told.notice, caller(0), service), ==, 0);
    told_finish(&told);
}

static void
test_flows_told_are_bounded(void)
{
    struct told told;
    unsigned i;

    told_init(&told);
    for (i = 0; i < OWNER_FLOWS_MAX; i++) {
        g_assert_cmpint(notice_opened(&told.notice, caller(i), service), ==,
                        0);
    }
    g_assert_cmpint(notice_opened(&told.notice, caller(i), service), ==,
                    -ENOSPC);
    notice_closed(&told.notice, caller(0), service);
    g_assert_cmpint(notice_opened(&told.notice, caller(i), service), ==, 0);
    told_finish(&told);
}

/* An agent at the aimed size: 4,700 flows, and backup of two such. */
static void
test_memory(void)
{
    enum { FLOWS = 4700 };
    struct told told;
    struct notice_message message;
    struct notice_message reply;
    size_t bytes = sizeof(struct notice);
    uint64_t owner;
    unsigned i;

    told_init(&told);
    for (i = 0; i < FLOWS; i++) {
        notice_opened(&told.notice, caller(i), service);
    }
    /* All is told once, as after a change of the backup. */
    while (next(&told)) {
        acknowledge_last(&told);
        told.now_us += OWNER_FULL_GAP_US;
    }
    g_assert_cmpuint(told.now_us - START_US, <, 3 * USEC_PER_SEC);
    for (i = 0; i < 2 * FLOWS; i++) {
        owner = told.view->members[i % 2].id;
        message = batch(1, 1, 1 + i / 2, i, 1, 0);
        g_assert_true(notice_receive(&told.notice, told.view, owner, &message,
                                     told.now_us, &reply));
    }
    g_assert_cmpuint(notice_held(&told.notice), ==, 2 * FLOWS);
    bytes += told.notice.owner.flows.allocated * sizeof(uint64_t);
    for (i = 0; i < told.notice.backup.count; i++) {
        bytes +=
            told.notice.backup.items[i].flows.allocated * sizeof(uint64_t);
    }
    g_test_message("%zu bytes in all, %.1f for each own flow; told in "
                   "%" G_GUINT64_FORMAT " ms",
                   bytes, (double)bytes / FLOWS,
                   (guint64)(told.now_us - START_US) / USEC_PER_MSEC);
    g_assert_cmpuint(bytes, <, 256 * 1024);
    told_finish(&told);
}

static gboolean
chooses(const struct view *view, uint64_t a, uint64_t b)
{
    uint64_t members[OWNER_BACKUPS];
    uint64_t since_us[OWNER_BACKUPS];

    choose_backups(view, members, since_us, OWNER_BACKUPS);
    return (members[0] == a && members[1] == b) ||
           (members[0] == b && members[1] == a);
}

static void
test_choice(void)
{
    struct view *view = view_new(8);

    add_member(view, SELF, 1, "a");
    g_assert_true(chooses(view, 0, 0));
    add_member(view, 20, 2, "b")->role = MEMBER_BALANCER;
    g_assert_true(chooses(view, 0, 0));
    add_member(view, 21, 2, "b");
    g_assert_true(chooses(view, 21, 0));
    add_member(view, 22, 1, "a");
    g_assert_true(chooses(view, 21, 22));
    add_member(view, 23, 1, "a");
    g_assert_true(chooses(view, 22, 23)); /* own service first */
    add_member(view, 24, 1, "b");
    add_member(view, 25, 1, "c");
    g_assert_true(chooses(view, 24, 25)); /* then other data centres */
    view->members[5].health = MEMBER_SUSPECT;
    g_assert_true(chooses(view, 24, 25));
    view->members[6].state = MEMBER_LEAVING;
    view->members[3].health = MEMBER_DEAD;
    g_assert_true(chooses(view, 24, 23));
    g_free(view);
}

/* Callers of many owners spread over all members of the cell. */
static void
test_choice_spreads(void)
{
    enum { MEMBERS = 200 };
    struct view *view = view_new(MEMBERS);
    unsigned chosen[MEMBERS] = {0};
    uint64_t members[OWNER_BACKUPS];
    uint64_t since_us[OWNER_BACKUPS];
    unsigned i;

    for (i = 0; i < MEMBERS; i++) {
        add_member(view, 1000 + i, 1, i % 2 ? "a" : "b");
    }
    for (i = 0; i < MEMBERS; i++) {
        view->self = i;
        choose_backups(view, members, since_us, OWNER_BACKUPS);
        g_assert_cmpuint(members[0], !=, members[1]);
        chosen[members[0] - 1000]++;
        chosen[members[1] - 1000]++;
    }
    for (i = 0; i < MEMBERS; i++) {
        g_assert_cmpuint(chosen[i], <, 12); /* 2 on average */
    }
    g_free(view);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/notice/backup/rounds", test_dead_owner_probed_in_rounds);
    g_test_add_func("/notice/backup/end-of-suspicion", test_end_of_suspicion);
    g_test_add_func("/notice/backup/vanished", test_vanished_owner_is_dead);
    g_test_add_func("/notice/backup/restart-in-view", test_restart_in_view);
    g_test_add_func("/notice/backup/restart-in-message",
                    test_restart_in_message);
    g_test_add_func("/notice/backup/wrongly-dead", test_wrongly_dead);
    g_test_add_func("/notice/backup/order", test_order_of_batches);
    g_test_add_func("/notice/backup/bad-messages", test_bad_messages);
    g_test_add_func("/notice/backup/silent-owner", test_silent_owner);
    g_test_add_func("/notice/backup/pace", test_probes_are_paced);
    g_test_add_func("/notice/backup/flows-bounded", test_flows_are_bounded);
    g_test_add_func("/notice/backup/owners-bounded", test_owners_are_bounded);
    g_test_add_func("/notice/owner/short-flows",
                    test_short_flows_cost_nothing);
    g_test_add_func("/notice/owner/pace", test_pace_of_batches);
    g_test_add_func("/notice/owner/sent-again", test_sent_again);
    g_test_add_func("/notice/owner/told-anew", test_told_anew);
    g_test_add_func("/notice/owner/addresses", test_addresses);
    g_test_add_func("/notice/owner/addresses-bounded",
                    test_addresses_are_bounded);
    g_test_add_func("/notice/owner/flows-bounded",
                    test_flows_told_are_bounded);
    g_test_add_func("/notice/memory", test_memory);
    g_test_add_func("/notice/choice/preference", test_choice);
    g_test_add_func("/notice/choice/spread", test_choice_spreads);
    return g_test_run();
}
