/* One test for each rule of an owner. */
#include <errno.h>

#include "notice/choose.h"
#include "scene.h"
#include "lib/harness.h"

#define SUITE "/notice"

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
    told->view = scene_pair();
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

TEST_F(told, short_flows_cost_nothing)
{
    notice_opened(&told->notice, scene_caller(0), scene_service);
    told_greet(told);
    for (unsigned i = 1; i < 1000; i++) {
        notice_opened(&told->notice, scene_caller(i), scene_service);
        notice_closed(&told->notice, scene_caller(i), scene_service);
    }
    g_assert_false(next(told));
    notice_closed(&told->notice, scene_caller(0), scene_service);
    g_assert_true(next(told));
    g_assert_cmpuint(told->message.opened, ==, 0);
    g_assert_cmpuint(told->message.closed, ==, 1);
    acknowledge_last(told);
    g_assert_cmpuint(told->notice.owner.flows.used, ==, 0);
}

TEST_F(told, pace_of_batches)
{
    told_greet(told);
    notice_opened(&told->notice, scene_caller(0), scene_service);
    g_assert_true(next(told)); /* after quiet: at once */
    acknowledge_last(told);
    notice_opened(&told->notice, scene_caller(1), scene_service);
    told->now_us += OWNER_GAP_US - 1;
    g_assert_false(next(told));
    told->now_us++;
    g_assert_true(next(told));
    for (unsigned i = 2; i < 2 + 2 * NOTICE_BATCH_MAX; i++) {
        notice_opened(&told->notice, scene_caller(i), scene_service);
    }
    told->now_us += OWNER_FULL_GAP_US;
    g_assert_false(next(told)); /* one at a time */
    acknowledge_last(told);
    g_assert_true(next(told));
    g_assert_cmpuint(told->message.opened, ==, NOTICE_BATCH_MAX);
    acknowledge_last(told);
    told->now_us += OWNER_FULL_GAP_US;
    g_assert_true(next(told));
    acknowledge_last(told);
    told->now_us += OWNER_KEEPALIVE_US - 1;
    g_assert_false(next(told));
    told->now_us++;
    g_assert_true(next(told));
    g_assert_cmpuint(told->message.opened + told->message.closed, ==, 0);
}

TEST_F(told, sent_again)
{
    uint32_t seq;

    told_greet(told);
    notice_opened(&told->notice, scene_caller(0), scene_service);
    g_assert_true(next(told));
    seq = told->message.seq;
    /* None of these is for the batch on its way. */
    acknowledge(told, told->message.session, seq - 1, true);
    acknowledge(told, told->message.session + 1, seq, true);
    acknowledge(told, told->message.session - 1, seq, true);
    notice_opened(&told->notice, scene_caller(1), scene_service);
    told->now_us += OWNER_RESEND_US - 1;
    g_assert_false(next(told));
    told->now_us++;
    g_assert_true(next(told));
    g_assert_cmpuint(told->message.seq, ==, seq);
    g_assert_cmpuint(told->message.opened, ==, 1);
    acknowledge_last(told);
    told->now_us += OWNER_GAP_US;
    g_assert_true(next(told));
    g_assert_cmpuint(told->message.seq, ==, seq + 1);
}

/* A backup that knows nothing is told all, but not over and over. */
TEST_F(told, told_anew)
{
    uint32_t session;

    told_greet(told);
    for (unsigned i = 0; i < 20; i++) {
        notice_opened(&told->notice, scene_caller(i), scene_service);
    }
    g_assert_true(next(told));
    acknowledge_last(told);
    notice_closed(&told->notice, scene_caller(0), scene_service);
    told->now_us += OWNER_GAP_US;
    g_assert_true(next(told));
    session = told->message.session;
    acknowledge(told, session, told->message.seq, false);
    told->now_us += OWNER_RESEND_US;
    g_assert_true(next(told));
    g_assert_cmpuint(told->message.session, >, session);
    g_assert_cmpuint(told->message.seq, ==, 1);
    g_assert_cmpuint(told->message.opened, ==, 19);
    acknowledge(told, told->message.session, 1, false);
    told->now_us += OWNER_RESEND_US / 2;
    g_assert_false(next(told));
}

/* A service gets another address: flows to the former one go on. */
TEST_F(told, addresses)
{
    struct scene scene;
    struct notice_probe probes[8];

    scene_init(&scene);
    notice_opened(&told->notice, scene_caller(0), scene_service);
    notice_opened(&told->notice, scene_caller(0), scene_other_service);
    notice_opened(&told->notice, scene_caller(1), scene_other_service);
    while (next(told)) {
        g_assert_cmpint(scene_hear(&scene, told->message), ==, 1);
        acknowledge_last(told);
        told->now_us += OWNER_GAP_US;
    }
    g_assert_cmpuint(notice_held(&scene.notice), ==, 3);
    notice_closed(&told->notice, scene_caller(1), scene_service);
    g_assert_false(next(told));
    notice_closed(&told->notice, scene_caller(1), scene_other_service);
    g_assert_true(next(told));
    g_assert_cmpint(scene_hear(&scene, told->message), ==, 1);
    scene.owner->health = MEMBER_DEAD;
    scene_see(&scene);
    g_assert_cmpuint(notice_probes(&scene.notice, scene.now_us, probes, 8), ==,
                     2);
    g_assert_true(addr_equal(probes[0].caller, scene_caller(0)));
    g_assert_true(addr_equal(probes[1].caller, scene_caller(0)));
    g_assert_true((addr_equal(probes[0].service, scene_service) &&
                   addr_equal(probes[1].service, scene_other_service)) ||
                  (addr_equal(probes[1].service, scene_service) &&
                   addr_equal(probes[0].service, scene_other_service)));
    scene_finish(&scene);
}

/* Places of addresses are bounded and used again. */
TEST_F(told, addresses_are_bounded)
{
    struct addr address = scene_service;

    told_greet(told);
    for (unsigned i = 0; i < CALLED_MAX; i++) {
        address.port = (uint16_t)(100 + i);
        g_assert_cmpint(notice_opened(&told->notice, scene_caller(0), address),
                        ==, 0);
    }
    g_assert_cmpint(
        notice_opened(&told->notice, scene_caller(0), scene_service), ==,
        -ENOSPC);
    notice_closed(&told->notice, scene_caller(0), address);
    while (next(told)) {
        acknowledge_last(told);
        told->now_us += OWNER_GAP_US;
    }
    g_assert_cmpint(
        notice_opened(&told->notice, scene_caller(0), scene_service), ==, 0);
}

TEST_F(told, flows_told_are_bounded)
{
    unsigned i;

    for (i = 0; i < OWNER_FLOWS_MAX; i++) {
        g_assert_cmpint(
            notice_opened(&told->notice, scene_caller(i), scene_service), ==,
            0);
    }
    g_assert_cmpint(
        notice_opened(&told->notice, scene_caller(i), scene_service), ==,
        -ENOSPC);
    notice_closed(&told->notice, scene_caller(0), scene_service);
    g_assert_cmpint(
        notice_opened(&told->notice, scene_caller(i), scene_service), ==, 0);
}

/* An agent at the aimed size: 4,700 flows, and backup of two such. */
TEST_F(told, memory)
{
    enum { FLOWS = 4700 };
    struct notice_message message;
    struct notice_message reply;
    size_t bytes = sizeof(struct notice);
    uint64_t owner;

    for (unsigned i = 0; i < FLOWS; i++) {
        notice_opened(&told->notice, scene_caller(i), scene_service);
    }
    /* All is told once, as after a change of the backup. */
    while (next(told)) {
        acknowledge_last(told);
        told->now_us += OWNER_FULL_GAP_US;
    }
    g_assert_cmpuint(told->now_us - START_US, <, 3 * USEC_PER_SEC);
    for (unsigned i = 0; i < 2 * FLOWS; i++) {
        owner = told->view->members[i % 2].id;
        message = scene_batch(1, 1, 1 + i / 2, i, 1, 0);
        g_assert_true(notice_receive(&told->notice, told->view, owner,
                                     &message, told->now_us, &reply));
    }
    g_assert_cmpuint(notice_held(&told->notice), ==, 2 * FLOWS);
    bytes += told->notice.owner.flows.allocated * sizeof(uint64_t);
    for (unsigned i = 0; i < told->notice.backup.count; i++) {
        bytes +=
            told->notice.backup.items[i].flows.allocated * sizeof(uint64_t);
    }
    g_test_message("%zu bytes in all, %.1f for each own flow; told in "
                   "%" G_GUINT64_FORMAT " ms",
                   bytes, (double)bytes / FLOWS,
                   (guint64)(told->now_us - START_US) / USEC_PER_MSEC);
    g_assert_cmpuint(bytes, <, 256 * 1024);
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

TEST(choice)
{
    g_autofree struct view *view = view_new(8);

    scene_add(view, SELF, 1, "a");
    g_assert_true(chooses(view, 0, 0));
    scene_add(view, 20, 2, "b")->role = MEMBER_BALANCER;
    g_assert_true(chooses(view, 0, 0));
    scene_add(view, 21, 2, "b");
    g_assert_true(chooses(view, 21, 0));
    scene_add(view, 22, 1, "a");
    g_assert_true(chooses(view, 21, 22));
    scene_add(view, 23, 1, "a");
    g_assert_true(chooses(view, 22, 23)); /* own service first */
    scene_add(view, 24, 1, "b");
    scene_add(view, 25, 1, "c");
    g_assert_true(chooses(view, 24, 25)); /* then other data centres */
    view->members[5].health = MEMBER_SUSPECT;
    g_assert_true(chooses(view, 24, 25));
    view->members[6].state = MEMBER_LEAVING;
    view->members[3].health = MEMBER_DEAD;
    g_assert_true(chooses(view, 24, 23));
}

/* Callers of many owners spread over all members of the cell. */
TEST(choice_spreads)
{
    enum { MEMBERS = 200 };
    g_autofree struct view *view = view_new(MEMBERS);
    unsigned chosen[MEMBERS] = {0};
    uint64_t members[OWNER_BACKUPS];
    uint64_t since_us[OWNER_BACKUPS];

    for (unsigned i = 0; i < MEMBERS; i++) {
        scene_add(view, 1000 + i, 1, i % 2 ? "a" : "b");
    }
    for (unsigned i = 0; i < MEMBERS; i++) {
        view->self = i;
        choose_backups(view, members, since_us, OWNER_BACKUPS);
        g_assert_cmpuint(members[0], !=, members[1]);
        chosen[members[0] - 1000]++;
        chosen[members[1] - 1000]++;
    }
    for (unsigned i = 0; i < MEMBERS; i++) {
        g_assert_cmpuint(chosen[i], <, 12); /* 2 on average */
    }
}
