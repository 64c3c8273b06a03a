/* One test for each rule of a backup. */
#include <string.h>

#include "scene.h"
#include "lib/harness.h"

#define SUITE "/notice/backup"

TEST_F(scene, dead_owner_probed_in_rounds)
{
    g_assert_cmpint(scene_receive(scene, scene_batch(1, 1, 1, 0, 10, 0)), ==,
                    1);
    g_assert_cmpint(scene_receive(scene, scene_batch(1, 1, 2, 0, 0, 3)), ==,
                    1);
    g_assert_cmpuint(orphan_replicated_flows(&scene->orphans), ==, 7);
    scene->owner->health = MEMBER_SUSPECT;
    scene_apply_view(scene);
    g_assert_cmpuint(scene_probes(scene, 10 * USEC_PER_SEC), ==, 0);
    scene->owner->health = MEMBER_DEAD;
    scene_apply_view(scene);
    g_assert_cmpuint(scene_probes(scene, 100 * USEC_PER_MSEC), ==, 7);
    g_assert_cmpuint(scene_probes(scene, ALL_ROUNDS_US), ==,
                     7 * (BACKUP_ROUNDS - 1));
    g_assert_cmpuint(scene_probes(scene, 60 * USEC_PER_SEC), ==, 0);
    g_assert_cmpuint(orphan_replicated_flows(&scene->orphans), ==, 0);
}

/* While another one is suspected, callers' answers meet no reset. */
TEST_F(scene, end_of_suspicion)
{
    struct view *view = view_new(3);
    struct view_member *third;

    memcpy(view->members, scene->view->members, 2 * sizeof(*third));
    view->count = 2;
    third = scene_add(view, 50, 1, "c");
    g_free(scene->view);
    scene->view = view;
    scene->owner = &view->members[1];
    scene_receive(scene, scene_batch(1, 1, 1, 0, 10, 0));
    third->health = MEMBER_SUSPECT;
    scene->owner->health = MEMBER_DEAD;
    scene_apply_view(scene);
    scene_probes(scene, 4 * USEC_PER_SEC);
    third->health = MEMBER_ALIVE;
    scene_apply_view(scene);
    g_assert_cmpuint(scene_probes(scene, 100 * USEC_PER_MSEC), ==, 10);
    g_assert_cmpuint(scene_probes(scene, USEC_PER_SEC), ==, 10);
    scene_apply_view(scene);
    g_assert_cmpuint(scene_probes(scene, USEC_PER_SEC), ==, 0);
    /* Long after the death nobody is left to be told. */
    scene_probes(scene, ALL_ROUNDS_US);
    third->health = MEMBER_SUSPECT;
    scene_apply_view(scene);
    third->health = MEMBER_ALIVE;
    scene_apply_view(scene);
    g_assert_cmpuint(scene_probes(scene, USEC_PER_SEC), ==, 0);
}

TEST_F(scene, vanished_owner_is_dead)
{
    scene_receive(scene, scene_batch(1, 1, 1, 0, 10, 0));
    scene->view->count = 1;
    scene_apply_view(scene);
    g_assert_cmpuint(scene_probes(scene, 100 * USEC_PER_MSEC), ==, 10);
}

/* The owner restarted and chose other backups: only the view tells. */
TEST_F(scene, restart_in_view)
{
    scene_receive(scene, scene_batch(1, 1, 1, 0, 10, 0));
    scene->owner->since_us++;
    scene_apply_view(scene);
    g_assert_cmpuint(scene_probes(scene, 100 * USEC_PER_MSEC), ==, 10);
    /* What the former process still had on its way revives nothing. */
    g_assert_cmpint(scene_receive(scene, scene_batch(1, 1, 2, 50, 1, 0)), ==,
                    0);
    g_assert_cmpuint(scene_probes(scene, ALL_ROUNDS_US), ==,
                     10 * (BACKUP_ROUNDS - 1));
}

/* The owner restarted and says so before the view does. */
TEST_F(scene, restart_in_message)
{
    scene_receive(scene, scene_batch(1, 1, 1, 0, 10, 0));
    g_assert_cmpint(scene_receive(scene, scene_batch(2, 1, 1, 100, 5, 0)), ==,
                    1);
    g_assert_cmpuint(scene_probes(scene, 100 * USEC_PER_MSEC), ==, 10);
    g_assert_cmpint(scene_receive(scene, scene_batch(1, 1, 2, 50, 1, 0)), ==,
                    -1);
    /* The view follows: the present process is asked anew and lives. */
    scene->owner->since_us++;
    scene_apply_view(scene);
    g_assert_cmpint(scene_receive(scene, scene_batch(2, 1, 2, 105, 1, 0)), ==,
                    0);
    g_assert_cmpint(scene_receive(scene, scene_batch(2, 2, 1, 100, 6, 0)), ==,
                    1);
    g_assert_cmpint(scene_receive(scene, scene_batch(2, 2, 2, 106, 0, 0)), ==,
                    1);
    g_assert_cmpuint(scene_probes(scene, ALL_ROUNDS_US), ==,
                     10 * (BACKUP_ROUNDS - 1));
    g_assert_cmpuint(orphan_replicated_flows(&scene->orphans), ==, 6);
    g_assert_cmpuint(scene_probes(scene, 10 * USEC_PER_SEC), ==, 0);
}

/* An owner that was thought dead comes back: nothing is told again, nothing
 * more is probed, and its real death is noticed. */
TEST_F(scene, wrongly_dead)
{
    scene_receive(scene, scene_batch(1, 1, 1, 0, 10, 0));
    scene->owner->health = MEMBER_DEAD;
    scene_apply_view(scene);
    scene_probes(scene, ALL_ROUNDS_US);
    scene->owner->health = MEMBER_ALIVE;
    scene_apply_view(scene);
    g_assert_cmpuint(scene_probes(scene, 10 * USEC_PER_SEC), ==, 0);
    g_assert_cmpint(scene_receive(scene, scene_batch(1, 1, 2, 10, 1, 0)), ==,
                    1);
    scene->owner->health = MEMBER_DEAD;
    scene_apply_view(scene);
    g_assert_cmpuint(scene_probes(scene, 100 * USEC_PER_MSEC), ==, 11);
}

TEST_F(scene, order_of_batches)
{
    g_assert_cmpint(scene_receive(scene, scene_batch(1, 5, 2, 0, 1, 0)), ==,
                    0);
    g_assert_cmpint(scene_receive(scene, scene_batch(1, 5, 1, 0, 10, 0)), ==,
                    1);
    g_assert_cmpint(scene_receive(scene, scene_batch(1, 5, 3, 20, 1, 0)), ==,
                    0);
    g_assert_cmpint(scene_receive(scene, scene_batch(1, 5, 2, 0, 0, 10)), ==,
                    1);
    /* Repeated: known, and not applied again. */
    g_assert_cmpint(scene_receive(scene, scene_batch(1, 5, 1, 0, 10, 0)), ==,
                    1);
    g_assert_cmpuint(orphan_replicated_flows(&scene->orphans), ==, 0);
    /* Of a transfer that was given up. */
    g_assert_cmpint(scene_receive(scene, scene_batch(1, 4, 1, 0, 10, 0)), ==,
                    -1);
    g_assert_cmpint(scene_receive(scene, scene_batch(1, 4, 3, 0, 10, 0)), ==,
                    -1);
    g_assert_cmpuint(orphan_replicated_flows(&scene->orphans), ==, 0);
    /* A new one replaces all. */
    g_assert_cmpint(scene_receive(scene, scene_batch(1, 6, 1, 30, 4, 0)), ==,
                    1);
    g_assert_cmpint(scene_receive(scene, scene_batch(1, 6, 2, 40, 4, 0)), ==,
                    1);
    g_assert_cmpint(scene_receive(scene, scene_batch(1, 7, 1, 50, 2, 0)), ==,
                    1);
    g_assert_cmpuint(orphan_replicated_flows(&scene->orphans), ==, 2);
}

TEST_F(scene, bad_messages)
{
    struct orphan_message message = scene_batch(1, 1, 1, 0, 1, 0);
    struct orphan_message reply;

    g_assert_false(orphan_receive(&scene->orphans, scene->view, 999, &message,
                                  START_US, &reply));
    g_assert_cmpint(scene_receive(scene, scene_batch(0, 1, 1, 0, 1, 0)), ==,
                    -1);
    g_assert_cmpint(scene_receive(scene, scene_batch(1, 0, 1, 0, 1, 0)), ==,
                    -1);
    g_assert_cmpint(scene_receive(scene, scene_batch(1, 1, 0, 0, 1, 0)), ==,
                    -1);
    message.opened = ORPHAN_BATCH_MAX;
    message.closed = 1;
    g_assert_cmpint(scene_receive(scene, message), ==, -1);
    message = scene_batch(1, 1, 1, 0, 1, 0);
    message.callers[0] = (struct addr){0, 0};
    g_assert_cmpint(scene_receive(scene, message), ==, 1);
    g_assert_cmpuint(orphan_replicated_flows(&scene->orphans), ==, 0);
}

/* An owner that went over to others, and one that is only frozen. */
TEST_F(scene, silent_owner)
{
    scene_receive(scene, scene_batch(1, 1, 1, 0, 10, 0));
    scene->owner->health = MEMBER_SUSPECT;
    scene_apply_view(scene);
    scene_probes(scene, 2 * BACKUP_EXPIRY_US);
    g_assert_cmpuint(orphan_replicated_flows(&scene->orphans), ==, 10);
    scene->owner->health = MEMBER_ALIVE;
    scene_apply_view(scene);
    g_assert_cmpuint(scene_probes(scene, USEC_PER_SEC), ==, 0);
    g_assert_cmpuint(orphan_replicated_flows(&scene->orphans), ==, 0);
}

TEST_F(scene, probes_are_paced)
{
    for (unsigned i = 0; i < 200; i++) {
        scene_receive(scene, scene_batch(1, 1, i + 1, i * 128, 128, 0));
    }
    scene->owner->health = MEMBER_DEAD;
    scene_apply_view(scene);
    g_assert_cmpuint(scene_probes(scene, USEC_PER_SEC), <=,
                     BACKUP_PROBES_PER_S * 11 / 10);
    g_assert_cmpuint(scene_probes(scene, USEC_PER_SEC), >=,
                     BACKUP_PROBES_PER_S * 9 / 10);
    g_assert_cmpuint(scene_probes(scene, 2 * ALL_ROUNDS_US), >=,
                     (BACKUP_ROUNDS - 1) * 200 * 128);
}

TEST_F(scene, flows_are_bounded)
{
    const struct replica *replica;
    unsigned batches = BACKUP_FLOWS_MAX / ORPHAN_BATCH_MAX;

    for (unsigned i = 0; i < batches + 10; i++) {
        g_assert_cmpint(
            scene_receive(scene, scene_batch(1, 1, i + 1, i * ORPHAN_BATCH_MAX,
                                             ORPHAN_BATCH_MAX, 0)),
            ==, 1);
    }
    g_assert_cmpuint(orphan_replicated_flows(&scene->orphans), ==,
                     BACKUP_FLOWS_MAX);
    g_assert_cmpuint(scene->orphans.backup.refused, ==, 10 * ORPHAN_BATCH_MAX);
    replica = &scene->orphans.backup.items[0];
    g_assert_cmpuint(replica->flows.allocated * sizeof(uint64_t), <=,
                     22 * replica->flows.used);
    /* Memory goes back with the flows. */
    for (unsigned i = 0; i < batches; i++) {
        if (i == batches - 1) {
            g_assert_cmpuint(replica->flows.allocated, <=,
                             8 * ORPHAN_BATCH_MAX);
        }
        scene_receive(scene,
                      scene_batch(1, 1, batches + 11 + i, i * ORPHAN_BATCH_MAX,
                                  0, ORPHAN_BATCH_MAX));
    }
    g_assert_cmpuint(orphan_replicated_flows(&scene->orphans), ==, 0);
    g_assert_cmpuint(replica->flows.allocated, ==, 0);
}

/* Those kept only in case their owners come back make room. */
TEST(owners_are_bounded)
{
    struct orphans orphans;
    struct orphan_message message = scene_batch(1, 1, 1, 0, 1, 0);
    struct orphan_message reply;
    struct orphan_probe probes[8];
    g_autofree struct view *view = view_new(BACKUP_OWNERS_MAX + 2);

    scene_add(view, SELF, 1, "a");
    for (unsigned i = 0; i <= BACKUP_OWNERS_MAX; i++) {
        scene_add(view, 100 + i, 1, "a");
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
