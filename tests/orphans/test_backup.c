/* A backup must probe the flows of dead owners, and no others, within bounds
 * of rate and memory. */
#include <string.h>

#include "fixture.h"
#include "lib/harness.h"

#define SUITE "/orphans/backup"

TEST_F(fixture, dead_owner_probed_in_rounds)
{
    g_assert_cmpint(fixture_receive(fixture, fixture_batch(1, 1, 1, 0, 10, 0)),
                    ==, 1);
    g_assert_cmpint(fixture_receive(fixture, fixture_batch(1, 1, 2, 0, 0, 3)),
                    ==, 1);
    g_assert_cmpuint(orphan_replicated_flows(&fixture->orphans), ==, 7);
    fixture->owner->health = MEMBER_SUSPECT;
    fixture_apply_view(fixture);
    g_assert_cmpuint(fixture_probes(fixture, 10 * USEC_PER_SEC), ==, 0);
    fixture->owner->health = MEMBER_DEAD;
    fixture_apply_view(fixture);
    g_assert_cmpuint(fixture_probes(fixture, 100 * USEC_PER_MSEC), ==, 7);
    g_assert_cmpuint(fixture_probes(fixture, ALL_ROUNDS_US), ==,
                     7 * (BACKUP_ROUNDS - 1));
    g_assert_cmpuint(fixture_probes(fixture, 60 * USEC_PER_SEC), ==, 0);
    g_assert_cmpuint(orphan_replicated_flows(&fixture->orphans), ==, 0);
}

/* Callers are probed again when no agent is suspected any more, since their
 * replies may not have been reset before. */
TEST_F(fixture, end_of_suspicion)
{
    struct view *view = view_new(3);
    struct view_member *third;

    memcpy(view->members, fixture->view->members, 2 * sizeof(*third));
    view->count = 2;
    third = fixture_add(view, 50, 1, "c");
    g_free(fixture->view);
    fixture->view = view;
    fixture->owner = &view->members[1];
    fixture_receive(fixture, fixture_batch(1, 1, 1, 0, 10, 0));
    third->health = MEMBER_SUSPECT;
    fixture->owner->health = MEMBER_DEAD;
    fixture_apply_view(fixture);
    fixture_probes(fixture, 4 * USEC_PER_SEC);
    third->health = MEMBER_ALIVE;
    fixture_apply_view(fixture);
    g_assert_cmpuint(fixture_probes(fixture, 100 * USEC_PER_MSEC), ==, 10);
    g_assert_cmpuint(fixture_probes(fixture, USEC_PER_SEC), ==, 10);
    fixture_apply_view(fixture);
    g_assert_cmpuint(fixture_probes(fixture, USEC_PER_SEC), ==, 0);
    /* No extra rounds long after the death. */
    fixture_probes(fixture, ALL_ROUNDS_US);
    third->health = MEMBER_SUSPECT;
    fixture_apply_view(fixture);
    third->health = MEMBER_ALIVE;
    fixture_apply_view(fixture);
    g_assert_cmpuint(fixture_probes(fixture, USEC_PER_SEC), ==, 0);
}

TEST_F(fixture, vanished_owner_is_dead)
{
    fixture_receive(fixture, fixture_batch(1, 1, 1, 0, 10, 0));
    fixture->view->count = 1;
    fixture_apply_view(fixture);
    g_assert_cmpuint(fixture_probes(fixture, 100 * USEC_PER_MSEC), ==, 10);
}

/* A restart of an owner that selected other backups is seen only in the view.
 */
TEST_F(fixture, restart_in_view)
{
    fixture_receive(fixture, fixture_batch(1, 1, 1, 0, 10, 0));
    fixture->owner->since_us++;
    fixture_apply_view(fixture);
    g_assert_cmpuint(fixture_probes(fixture, 100 * USEC_PER_MSEC), ==, 10);
    /* A delayed batch of the former process revives nothing. */
    g_assert_cmpint(fixture_receive(fixture, fixture_batch(1, 1, 2, 50, 1, 0)),
                    ==, 0);
    g_assert_cmpuint(fixture_probes(fixture, ALL_ROUNDS_US), ==,
                     10 * (BACKUP_ROUNDS - 1));
}

/* A restart is seen in the owner's messages before the view has it. */
TEST_F(fixture, restart_in_message)
{
    fixture_receive(fixture, fixture_batch(1, 1, 1, 0, 10, 0));
    g_assert_cmpint(
        fixture_receive(fixture, fixture_batch(2, 1, 1, 100, 5, 0)), ==, 1);
    g_assert_cmpuint(fixture_probes(fixture, 100 * USEC_PER_MSEC), ==, 10);
    g_assert_cmpint(fixture_receive(fixture, fixture_batch(1, 1, 2, 50, 1, 0)),
                    ==, -1);
    /* The view follows: the current process has to report again. */
    fixture->owner->since_us++;
    fixture_apply_view(fixture);
    g_assert_cmpint(
        fixture_receive(fixture, fixture_batch(2, 1, 2, 105, 1, 0)), ==, 0);
    g_assert_cmpint(
        fixture_receive(fixture, fixture_batch(2, 2, 1, 100, 6, 0)), ==, 1);
    g_assert_cmpint(
        fixture_receive(fixture, fixture_batch(2, 2, 2, 106, 0, 0)), ==, 1);
    g_assert_cmpuint(fixture_probes(fixture, ALL_ROUNDS_US), ==,
                     10 * (BACKUP_ROUNDS - 1));
    g_assert_cmpuint(orphan_replicated_flows(&fixture->orphans), ==, 6);
    g_assert_cmpuint(fixture_probes(fixture, 10 * USEC_PER_SEC), ==, 0);
}

/* An owner that was wrongly dead need not report again and is no longer
 * probed; its real death is detected. */
TEST_F(fixture, wrongly_dead_owner_returns)
{
    fixture_receive(fixture, fixture_batch(1, 1, 1, 0, 10, 0));
    fixture->owner->health = MEMBER_DEAD;
    fixture_apply_view(fixture);
    fixture_probes(fixture, ALL_ROUNDS_US);
    fixture->owner->health = MEMBER_ALIVE;
    fixture_apply_view(fixture);
    g_assert_cmpuint(fixture_probes(fixture, 10 * USEC_PER_SEC), ==, 0);
    g_assert_cmpint(fixture_receive(fixture, fixture_batch(1, 1, 2, 10, 1, 0)),
                    ==, 1);
    fixture->owner->health = MEMBER_DEAD;
    fixture_apply_view(fixture);
    g_assert_cmpuint(fixture_probes(fixture, 100 * USEC_PER_MSEC), ==, 11);
}

TEST_F(fixture, batches_are_applied_in_order)
{
    g_assert_cmpint(fixture_receive(fixture, fixture_batch(1, 5, 2, 0, 1, 0)),
                    ==, 0);
    g_assert_cmpint(fixture_receive(fixture, fixture_batch(1, 5, 1, 0, 10, 0)),
                    ==, 1);
    g_assert_cmpint(fixture_receive(fixture, fixture_batch(1, 5, 3, 20, 1, 0)),
                    ==, 0);
    g_assert_cmpint(fixture_receive(fixture, fixture_batch(1, 5, 2, 0, 0, 10)),
                    ==, 1);
    /* A repeated batch is acknowledged and not applied again. */
    g_assert_cmpint(fixture_receive(fixture, fixture_batch(1, 5, 1, 0, 10, 0)),
                    ==, 1);
    g_assert_cmpuint(orphan_replicated_flows(&fixture->orphans), ==, 0);
    /* Batches of an abandoned session. */
    g_assert_cmpint(fixture_receive(fixture, fixture_batch(1, 4, 1, 0, 10, 0)),
                    ==, -1);
    g_assert_cmpint(fixture_receive(fixture, fixture_batch(1, 4, 3, 0, 10, 0)),
                    ==, -1);
    g_assert_cmpuint(orphan_replicated_flows(&fixture->orphans), ==, 0);
    /* A new session replaces all flows. */
    g_assert_cmpint(fixture_receive(fixture, fixture_batch(1, 6, 1, 30, 4, 0)),
                    ==, 1);
    g_assert_cmpint(fixture_receive(fixture, fixture_batch(1, 6, 2, 40, 4, 0)),
                    ==, 1);
    g_assert_cmpint(fixture_receive(fixture, fixture_batch(1, 7, 1, 50, 2, 0)),
                    ==, 1);
    g_assert_cmpuint(orphan_replicated_flows(&fixture->orphans), ==, 2);
}

TEST_F(fixture, bad_messages)
{
    struct orphan_message message = fixture_batch(1, 1, 1, 0, 1, 0);
    struct orphan_message reply;

    g_assert_false(orphan_receive(&fixture->orphans, fixture->view, 999,
                                  &message, START_US, &reply));
    g_assert_cmpint(fixture_receive(fixture, fixture_batch(0, 1, 1, 0, 1, 0)),
                    ==, -1);
    g_assert_cmpint(fixture_receive(fixture, fixture_batch(1, 0, 1, 0, 1, 0)),
                    ==, -1);
    g_assert_cmpint(fixture_receive(fixture, fixture_batch(1, 1, 0, 0, 1, 0)),
                    ==, -1);
    message.opened = ORPHAN_BATCH_MAX;
    message.closed = 1;
    g_assert_cmpint(fixture_receive(fixture, message), ==, -1);
    message = fixture_batch(1, 1, 1, 0, 1, 0);
    message.callers[0] = (struct addr){0, 0};
    g_assert_cmpint(fixture_receive(fixture, message), ==, 1);
    g_assert_cmpuint(orphan_replicated_flows(&fixture->orphans), ==, 0);
}

/* Replicas of a suspected owner stay; those of a live one that sends no
 * batches are removed. */
TEST_F(fixture, silent_owner)
{
    fixture_receive(fixture, fixture_batch(1, 1, 1, 0, 10, 0));
    fixture->owner->health = MEMBER_SUSPECT;
    fixture_apply_view(fixture);
    fixture_probes(fixture, 2 * BACKUP_EXPIRY_US);
    g_assert_cmpuint(orphan_replicated_flows(&fixture->orphans), ==, 10);
    fixture->owner->health = MEMBER_ALIVE;
    fixture_apply_view(fixture);
    g_assert_cmpuint(fixture_probes(fixture, USEC_PER_SEC), ==, 0);
    g_assert_cmpuint(orphan_replicated_flows(&fixture->orphans), ==, 0);
}

TEST_F(fixture, probe_rate_is_limited)
{
    for (unsigned i = 0; i < 200; i++) {
        fixture_receive(fixture, fixture_batch(1, 1, i + 1, i * 128, 128, 0));
    }
    fixture->owner->health = MEMBER_DEAD;
    fixture_apply_view(fixture);
    g_assert_cmpuint(fixture_probes(fixture, USEC_PER_SEC), <=,
                     BACKUP_PROBES_PER_S * 11 / 10);
    g_assert_cmpuint(fixture_probes(fixture, USEC_PER_SEC), >=,
                     BACKUP_PROBES_PER_S * 9 / 10);
    g_assert_cmpuint(fixture_probes(fixture, 2 * ALL_ROUNDS_US), >=,
                     (BACKUP_ROUNDS - 1) * 200 * 128);
}

TEST_F(fixture, flows_are_bounded)
{
    const struct replica *replica;
    unsigned batches = BACKUP_FLOWS_MAX / ORPHAN_BATCH_MAX;

    for (unsigned i = 0; i < batches + 10; i++) {
        g_assert_cmpint(
            fixture_receive(fixture,
                            fixture_batch(1, 1, i + 1, i * ORPHAN_BATCH_MAX,
                                          ORPHAN_BATCH_MAX, 0)),
            ==, 1);
    }
    g_assert_cmpuint(orphan_replicated_flows(&fixture->orphans), ==,
                     BACKUP_FLOWS_MAX);
    g_assert_cmpuint(fixture->orphans.backup.refused, ==,
                     10 * ORPHAN_BATCH_MAX);
    replica = &fixture->orphans.backup.items[0];
    g_assert_cmpuint(replica->flows.allocated * sizeof(uint64_t), <=,
                     22 * replica->flows.used);
    /* The table shrinks with the flows. */
    for (unsigned i = 0; i < batches; i++) {
        if (i == batches - 1) {
            g_assert_cmpuint(replica->flows.allocated, <=,
                             8 * ORPHAN_BATCH_MAX);
        }
        fixture_receive(fixture, fixture_batch(1, 1, batches + 11 + i,
                                               i * ORPHAN_BATCH_MAX, 0,
                                               ORPHAN_BATCH_MAX));
    }
    g_assert_cmpuint(orphan_replicated_flows(&fixture->orphans), ==, 0);
    g_assert_cmpuint(replica->flows.allocated, ==, 0);
}

/* Replicas that were probed completely are removed for new owners. */
TEST(owners_are_bounded)
{
    struct orphans orphans;
    struct orphan_message message = fixture_batch(1, 1, 1, 0, 1, 0);
    struct orphan_message reply;
    struct orphan_probe probes[8];
    g_autofree struct view *view = view_new(BACKUP_OWNERS_MAX + 2);

    fixture_add(view, SELF, 1, "a");
    for (unsigned i = 0; i <= BACKUP_OWNERS_MAX; i++) {
        fixture_add(view, 100 + i, 1, "a");
    }
    orphan_init(&orphans, 1);
    for (unsigned i = 0; i <= BACKUP_OWNERS_MAX; i++) {
        g_assert_cmpint(orphan_receive(&orphans, view, 100 + i, &message,
                                       START_US, &reply),
                        ==, i < BACKUP_OWNERS_MAX);
    }
    g_assert_cmpuint(orphans.backup.refused, ==, 1);
    view->members[1].health = MEMBER_DEAD;
    orphan_set_view(&orphans, view, START_US);
    for (unsigned i = 0; i < ALL_ROUNDS_US / TICK_US; i++) {
        orphan_next_probes(&orphans, START_US + i * TICK_US, probes, 8);
    }
    g_assert_true(orphan_receive(&orphans, view, 100 + BACKUP_OWNERS_MAX,
                                 &message, START_US, &reply));
    orphan_finish(&orphans);
}
