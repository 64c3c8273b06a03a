/* An owner must report its flows to its backups completely, in order and at
 * bounded rates. */
#include <errno.h>

#include "orphans/backup_choice.h"
#include "fixture.h"
#include "lib/harness.h"

#define SUITE "/orphans"

/** struct owner_fixture - an owner and its last message to its only backup */
struct owner_fixture {
    struct orphans orphans;
    struct view *view;
    struct orphan_message message;
    uint64_t now_us;
};

static void
owner_fixture_init(struct owner_fixture *owner_fixture)
{
    owner_fixture->now_us = START_US;
    owner_fixture->view = fixture_pair();
    orphan_init(&owner_fixture->orphans, 1);
    orphan_set_view(&owner_fixture->orphans, owner_fixture->view,
                    owner_fixture->now_us);
}

static void
owner_fixture_finish(struct owner_fixture *owner_fixture)
{
    orphan_finish(&owner_fixture->orphans);
    g_free(owner_fixture->view);
}

static gboolean
next(struct owner_fixture *owner_fixture)
{
    uint64_t to;

    if (!orphan_next_message(&owner_fixture->orphans, owner_fixture->now_us,
                             &to, &owner_fixture->message)) {
        return FALSE;
    }
    g_assert_cmpuint(to, ==, OWNER);
    return TRUE;
}

static void
acknowledge(struct owner_fixture *owner_fixture, uint32_t session,
            uint32_t seq, bool known)
{
    struct orphan_message ack = {.type = ORPHAN_MESSAGE_ACK,
                                 .known = known,
                                 .boot = 1,
                                 .session = session,
                                 .seq = seq};
    struct orphan_message reply;

    g_assert_false(orphan_receive(&owner_fixture->orphans, owner_fixture->view,
                                  OWNER, &ack, owner_fixture->now_us, &reply));
}

static void
acknowledge_last(struct owner_fixture *owner_fixture)
{
    acknowledge(owner_fixture, owner_fixture->message.session,
                owner_fixture->message.seq, true);
}

/* The first batch is sent at once, even if empty, so that the backup sees a
 * restart. */
static void
owner_fixture_begin_session(struct owner_fixture *owner_fixture)
{
    g_assert_true(next(owner_fixture));
    g_assert_cmpuint(owner_fixture->message.seq, ==, 1);
    acknowledge_last(owner_fixture);
    owner_fixture->now_us += OWNER_BATCH_INTERVAL_US;
}

TEST_F(owner_fixture, short_flows_need_no_message)
{
    orphan_flow_opened(&owner_fixture->orphans, fixture_caller(0),
                       fixture_service);
    owner_fixture_begin_session(owner_fixture);
    for (unsigned i = 1; i < 1000; i++) {
        orphan_flow_opened(&owner_fixture->orphans, fixture_caller(i),
                           fixture_service);
        orphan_flow_closed(&owner_fixture->orphans, fixture_caller(i),
                           fixture_service);
    }
    g_assert_false(next(owner_fixture));
    orphan_flow_closed(&owner_fixture->orphans, fixture_caller(0),
                       fixture_service);
    g_assert_true(next(owner_fixture));
    g_assert_cmpuint(owner_fixture->message.opened, ==, 0);
    g_assert_cmpuint(owner_fixture->message.closed, ==, 1);
    acknowledge_last(owner_fixture);
    g_assert_cmpuint(owner_fixture->orphans.owner.flows.used, ==, 0);
}

TEST_F(owner_fixture, batch_intervals)
{
    owner_fixture_begin_session(owner_fixture);
    orphan_flow_opened(&owner_fixture->orphans, fixture_caller(0),
                       fixture_service);
    g_assert_true(next(owner_fixture)); /* at once when idle */
    acknowledge_last(owner_fixture);
    orphan_flow_opened(&owner_fixture->orphans, fixture_caller(1),
                       fixture_service);
    owner_fixture->now_us += OWNER_BATCH_INTERVAL_US - 1;
    g_assert_false(next(owner_fixture));
    owner_fixture->now_us++;
    g_assert_true(next(owner_fixture));
    for (unsigned i = 2; i < 2 + 2 * ORPHAN_BATCH_MAX; i++) {
        orphan_flow_opened(&owner_fixture->orphans, fixture_caller(i),
                           fixture_service);
    }
    owner_fixture->now_us += OWNER_FULL_BATCH_INTERVAL_US;
    g_assert_false(next(owner_fixture)); /* one at a time */
    acknowledge_last(owner_fixture);
    g_assert_true(next(owner_fixture));
    g_assert_cmpuint(owner_fixture->message.opened, ==, ORPHAN_BATCH_MAX);
    acknowledge_last(owner_fixture);
    owner_fixture->now_us += OWNER_FULL_BATCH_INTERVAL_US;
    g_assert_true(next(owner_fixture));
    acknowledge_last(owner_fixture);
    owner_fixture->now_us += OWNER_KEEPALIVE_US - 1;
    g_assert_false(next(owner_fixture));
    owner_fixture->now_us++;
    g_assert_true(next(owner_fixture));
    g_assert_cmpuint(
        owner_fixture->message.opened + owner_fixture->message.closed, ==, 0);
}

TEST_F(owner_fixture, unacknowledged_batch_is_resent)
{
    uint32_t seq;

    owner_fixture_begin_session(owner_fixture);
    orphan_flow_opened(&owner_fixture->orphans, fixture_caller(0),
                       fixture_service);
    g_assert_true(next(owner_fixture));
    seq = owner_fixture->message.seq;
    /* None of these acknowledges the current batch. */
    acknowledge(owner_fixture, owner_fixture->message.session, seq - 1, true);
    acknowledge(owner_fixture, owner_fixture->message.session + 1, seq, true);
    acknowledge(owner_fixture, owner_fixture->message.session - 1, seq, true);
    orphan_flow_opened(&owner_fixture->orphans, fixture_caller(1),
                       fixture_service);
    owner_fixture->now_us += OWNER_RESEND_US - 1;
    g_assert_false(next(owner_fixture));
    owner_fixture->now_us++;
    g_assert_true(next(owner_fixture));
    g_assert_cmpuint(owner_fixture->message.seq, ==, seq);
    g_assert_cmpuint(owner_fixture->message.opened, ==, 1);
    acknowledge_last(owner_fixture);
    owner_fixture->now_us += OWNER_BATCH_INTERVAL_US;
    g_assert_true(next(owner_fixture));
    g_assert_cmpuint(owner_fixture->message.seq, ==, seq + 1);
}

/* All flows are reported again to a backup that rejects a batch, at a limited
 * rate. */
TEST_F(owner_fixture, rejected_batch_restarts_session)
{
    uint32_t session;

    owner_fixture_begin_session(owner_fixture);
    for (unsigned i = 0; i < 20; i++) {
        orphan_flow_opened(&owner_fixture->orphans, fixture_caller(i),
                           fixture_service);
    }
    g_assert_true(next(owner_fixture));
    acknowledge_last(owner_fixture);
    orphan_flow_closed(&owner_fixture->orphans, fixture_caller(0),
                       fixture_service);
    owner_fixture->now_us += OWNER_BATCH_INTERVAL_US;
    g_assert_true(next(owner_fixture));
    session = owner_fixture->message.session;
    acknowledge(owner_fixture, session, owner_fixture->message.seq, false);
    owner_fixture->now_us += OWNER_RESEND_US;
    g_assert_true(next(owner_fixture));
    g_assert_cmpuint(owner_fixture->message.session, >, session);
    g_assert_cmpuint(owner_fixture->message.seq, ==, 1);
    g_assert_cmpuint(owner_fixture->message.opened, ==, 19);
    acknowledge(owner_fixture, owner_fixture->message.session, 1, false);
    owner_fixture->now_us += OWNER_RESEND_US / 2;
    g_assert_false(next(owner_fixture));
}

/* Flows to the former address of a service are replicated as well. */
TEST_F(owner_fixture, flows_of_two_addresses)
{
    struct fixture fixture;
    struct orphan_probe probes[8];

    fixture_init(&fixture);
    orphan_flow_opened(&owner_fixture->orphans, fixture_caller(0),
                       fixture_service);
    orphan_flow_opened(&owner_fixture->orphans, fixture_caller(0),
                       fixture_other_service);
    orphan_flow_opened(&owner_fixture->orphans, fixture_caller(1),
                       fixture_other_service);
    while (next(owner_fixture)) {
        g_assert_cmpint(fixture_receive(&fixture, owner_fixture->message), ==,
                        1);
        acknowledge_last(owner_fixture);
        owner_fixture->now_us += OWNER_BATCH_INTERVAL_US;
    }
    g_assert_cmpuint(orphan_replicated_flows(&fixture.orphans), ==, 3);
    orphan_flow_closed(&owner_fixture->orphans, fixture_caller(1),
                       fixture_service);
    g_assert_false(next(owner_fixture));
    orphan_flow_closed(&owner_fixture->orphans, fixture_caller(1),
                       fixture_other_service);
    g_assert_true(next(owner_fixture));
    g_assert_cmpint(fixture_receive(&fixture, owner_fixture->message), ==, 1);
    fixture.owner->health = MEMBER_DEAD;
    fixture_apply_view(&fixture);
    g_assert_cmpuint(
        orphan_next_probes(&fixture.orphans, fixture.now_us, probes, 8), ==,
        2);
    g_assert_true(addr_equal(probes[0].caller, fixture_caller(0)));
    g_assert_true(addr_equal(probes[1].caller, fixture_caller(0)));
    g_assert_true((addr_equal(probes[0].service, fixture_service) &&
                   addr_equal(probes[1].service, fixture_other_service)) ||
                  (addr_equal(probes[1].service, fixture_service) &&
                   addr_equal(probes[0].service, fixture_other_service)));
    fixture_finish(&fixture);
}

/* Slots of addresses are bounded and reused. */
TEST_F(owner_fixture, addresses_are_bounded)
{
    struct addr address = fixture_service;

    owner_fixture_begin_session(owner_fixture);
    for (unsigned i = 0; i < SERVICE_ADDRS_MAX; i++) {
        address.port = (uint16_t)(100 + i);
        g_assert_cmpint(orphan_flow_opened(&owner_fixture->orphans,
                                           fixture_caller(0), address),
                        ==, 0);
    }
    g_assert_cmpint(orphan_flow_opened(&owner_fixture->orphans,
                                       fixture_caller(0), fixture_service),
                    ==, -ENOSPC);
    orphan_flow_closed(&owner_fixture->orphans, fixture_caller(0), address);
    while (next(owner_fixture)) {
        acknowledge_last(owner_fixture);
        owner_fixture->now_us += OWNER_BATCH_INTERVAL_US;
    }
    g_assert_cmpint(orphan_flow_opened(&owner_fixture->orphans,
                                       fixture_caller(0), fixture_service),
                    ==, 0);
}

TEST_F(owner_fixture, reported_flows_are_bounded)
{
    unsigned i;

    for (i = 0; i < OWNER_FLOWS_MAX; i++) {
        g_assert_cmpint(orphan_flow_opened(&owner_fixture->orphans,
                                           fixture_caller(i), fixture_service),
                        ==, 0);
    }
    g_assert_cmpint(orphan_flow_opened(&owner_fixture->orphans,
                                       fixture_caller(i), fixture_service),
                    ==, -ENOSPC);
    orphan_flow_closed(&owner_fixture->orphans, fixture_caller(0),
                       fixture_service);
    g_assert_cmpint(orphan_flow_opened(&owner_fixture->orphans,
                                       fixture_caller(i), fixture_service),
                    ==, 0);
}

/* Bounds the memory of an agent with 4,700 flows that is the backup of two
 * such agents. */
TEST_F(owner_fixture, memory)
{
    enum { FLOWS = 4700 };
    struct orphan_message message;
    struct orphan_message reply;
    size_t bytes = sizeof(struct orphans);
    uint64_t owner;

    for (unsigned i = 0; i < FLOWS; i++) {
        orphan_flow_opened(&owner_fixture->orphans, fixture_caller(i),
                           fixture_service);
    }
    /* All flows are reported once, as after a change of the backup. */
    while (next(owner_fixture)) {
        acknowledge_last(owner_fixture);
        owner_fixture->now_us += OWNER_FULL_BATCH_INTERVAL_US;
    }
    g_assert_cmpuint(owner_fixture->now_us - START_US, <, 3 * USEC_PER_SEC);
    for (unsigned i = 0; i < 2 * FLOWS; i++) {
        owner = owner_fixture->view->members[i % 2].id;
        message = fixture_batch(1, 1, 1 + i / 2, i, 1, 0);
        g_assert_true(orphan_receive(&owner_fixture->orphans,
                                     owner_fixture->view, owner, &message,
                                     owner_fixture->now_us, &reply));
    }
    g_assert_cmpuint(orphan_replicated_flows(&owner_fixture->orphans), ==,
                     2 * FLOWS);
    bytes += owner_fixture->orphans.owner.flows.allocated * sizeof(uint64_t);
    for (unsigned i = 0; i < owner_fixture->orphans.backup.count; i++) {
        bytes += owner_fixture->orphans.backup.items[i].flows.allocated *
                 sizeof(uint64_t);
    }
    g_test_message("%zu bytes in all, %.1f for each own flow; reported in "
                   "%" G_GUINT64_FORMAT " ms",
                   bytes, (double)bytes / FLOWS,
                   (guint64)(owner_fixture->now_us - START_US) /
                       USEC_PER_MSEC);
    g_assert_cmpuint(bytes, <, 256 * 1024);
}

static gboolean
selects(const struct view *view, uint64_t a, uint64_t b)
{
    uint64_t members[OWNER_BACKUPS];
    uint64_t since_us[OWNER_BACKUPS];

    backup_choice_select(view, members, since_us, OWNER_BACKUPS);
    return (members[0] == a && members[1] == b) ||
           (members[0] == b && members[1] == a);
}

TEST(backup_preference)
{
    g_autofree struct view *view = view_new(8);

    fixture_add(view, SELF, 1, "a");
    g_assert_true(selects(view, 0, 0));
    fixture_add(view, 20, 2, "b")->role = MEMBER_BALANCER;
    g_assert_true(selects(view, 0, 0));
    fixture_add(view, 21, 2, "b");
    g_assert_true(selects(view, 21, 0));
    fixture_add(view, 22, 1, "a");
    g_assert_true(selects(view, 21, 22));
    fixture_add(view, 23, 1, "a");
    g_assert_true(selects(view, 22, 23)); /* the same service first */
    fixture_add(view, 24, 1, "b");
    fixture_add(view, 25, 1, "c");
    g_assert_true(selects(view, 24, 25)); /* then other data centres */
    view->members[5].health = MEMBER_SUSPECT;
    g_assert_true(selects(view, 24, 25));
    view->members[6].state = MEMBER_LEAVING;
    view->members[3].health = MEMBER_DEAD;
    g_assert_true(selects(view, 24, 23));
}

/* Owners are spread over all members as backups. */
TEST(owners_are_spread)
{
    enum { MEMBERS = 200 };
    g_autofree struct view *view = view_new(MEMBERS);
    unsigned backups_of[MEMBERS] = {0};
    uint64_t members[OWNER_BACKUPS];
    uint64_t since_us[OWNER_BACKUPS];

    for (unsigned i = 0; i < MEMBERS; i++) {
        fixture_add(view, 1000 + i, 1, i % 2 ? "a" : "b");
    }
    for (unsigned i = 0; i < MEMBERS; i++) {
        view->self = i;
        backup_choice_select(view, members, since_us, OWNER_BACKUPS);
        g_assert_cmpuint(members[0], !=, members[1]);
        backups_of[members[0] - 1000]++;
        backups_of[members[1] - 1000]++;
    }
    for (unsigned i = 0; i < MEMBERS; i++) {
        g_assert_cmpuint(backups_of[i], <, 12); /* 2 on average */
    }
}
