/* Rules of the membership core, message encoding, seed list and edit history.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/hash.h"
#include "control/history.h"
#include "control/member_internal.h"
#include "control/seeds.h"
#include "control/wire.h"
#include "lib/harness.h"

#define SUITE "/member"
#define START UINT64_C(1700000000000000)
#define CELL 3
#define NOW (1000 * USEC_PER_SEC)

static struct member_update
make(const char *name, uint64_t start, uint16_t port)
{
    struct member_update update;

    memset(&update, 0, sizeof(update));
    g_strlcpy(update.member.name, name, VIEW_NAME_MAX);
    g_strlcpy(update.member.data_centre, "ubungo", VIEW_NAME_MAX);
    update.member.id = hash_name(name);
    update.member.state = MEMBER_READY;
    update.member.control = (struct addr){0x7f000001, port};
    update.member.incarnation = start;
    update.start = start;
    return update;
}

static void
start(struct member_core *core, const char *name, uint16_t port)
{
    struct member_update self = make(name, START, port);

    g_assert_cmpint(member_core_init(core, &self, CELL, 1, NOW), ==, 0);
}

static struct member_update
random_update(struct random *random)
{
    char name[16];
    struct member_update update;

    snprintf(name, sizeof(name), "m%u", (unsigned)random_below(random, 4));
    update = make(name, START + random_below(random, 2) * 1000, 10);
    update.member.incarnation += random_below(random, 3);
    update.member.health = random_below(random, 3);
    update.revision = random_below(random, 3);
    /* Each revision has one announcement, as in a real process. */
    update.member.state = (update.revision + update.start / 1000) % 3;
    return update;
}

/* Updates in any order lead to the same list. A death of an unknown member is
 * ignored, so all members are listed at the start. */
TEST(merge_order)
{
    for (uint64_t seed = 1; seed <= 300; seed++) {
        struct random random = {.state = seed};
        struct member_update updates[24];
        uint64_t digest = 0;

        for (size_t i = 0; i < G_N_ELEMENTS(updates); i++)
            updates[i] = random_update(&random);
        for (unsigned round = 0; round < 4; round++) {
            struct member_core core;

            start(&core, "self", 1);
            for (unsigned i = 0; i < 4; i++) {
                char name[16];
                struct member_update first;

                snprintf(name, sizeof(name), "m%u", i);
                first = make(name, 1, 10);
                member_merge(&core, &first, NOW);
            }
            for (size_t i = G_N_ELEMENTS(updates); i > 0; i--) {
                size_t j = random_below(&random, i);
                struct member_update swap = updates[i - 1];

                updates[i - 1] = updates[j];
                updates[j] = swap;
                member_merge(&core, &updates[i - 1], NOW);
            }
            if (round == 0)
                digest = core.digest;
            if (core.digest != digest)
                g_error("seed %" PRIu64 ": lists differ", seed);
            member_core_finish(&core);
        }
    }
}

/* An old update doesn't revive a dead member; a new start does. */
TEST(tombstone)
{
    struct member_update other = make("other", START, 2);
    struct member_actions out = {0};
    struct member_core core;
    uint64_t id = other.member.id;

    start(&core, "self", 1);
    member_merge(&core, &other, NOW);
    member_proven_dead(&core, id, START, NOW);
    g_assert_cmpint(member_find(&core, id)->member.health, ==, MEMBER_DEAD);
    g_assert_false(member_merge(&core, &other, NOW));
    g_assert_cmpint(member_find(&core, id)->member.health, ==, MEMBER_DEAD);
    other = make("other", START + 5, 2);
    g_assert_true(member_merge(&core, &other, NOW));
    g_assert_cmpint(member_find(&core, id)->member.health, ==, MEMBER_ALIVE);
    /* A report about the earlier process doesn't affect the new one. */
    member_proven_dead(&core, id, START, NOW);
    g_assert_cmpint(member_find(&core, id)->member.health, ==, MEMBER_ALIVE);
    member_proven_dead(&core, id, START + 5, NOW);
    member_expire(&core, NOW + MEMBER_TOMBSTONE_US - 1, &out);
    g_assert_nonnull(member_find(&core, id));
    member_expire(&core, NOW + MEMBER_TOMBSTONE_US, &out);
    g_assert_null(member_find(&core, id));
    member_actions_finish(&out);
    member_core_finish(&core);
}

/* A full list refuses new members unless it can evict a dead one. */
TEST(full_list)
{
    struct member_core core;
    struct member_update update;
    char name[16];

    start(&core, "self", 1);
    for (unsigned i = 1; i < VIEW_MEMBERS_MAX; i++) {
        snprintf(name, sizeof(name), "m%u", i);
        update = make(name, START, i);
        g_assert_true(member_merge(&core, &update, NOW));
    }
    update = make("one-more", START, 7);
    g_assert_false(member_merge(&core, &update, NOW));
    g_assert_cmpuint(core.stats.refused_full, ==, 1);
    g_assert_cmpuint(core.count, ==, VIEW_MEMBERS_MAX);
    member_proven_dead(&core, hash_name("m5"), START, NOW);
    g_assert_true(member_merge(&core, &update, NOW));
    g_assert_null(member_find(&core, hash_name("m5")));
    g_assert_cmpuint(core.count, ==, VIEW_MEMBERS_MAX);
    member_core_finish(&core);
}

TEST(updates_about_self)
{
    struct member_core core;
    struct member_update self;

    start(&core, "self", 1);
    /* A suspicion of this process is refuted. */
    self = make("self", START, 1);
    self.member.health = MEMBER_SUSPECT;
    g_assert_true(member_merge(&core, &self, NOW));
    g_assert_cmpuint(member_self(&core)->member.incarnation, ==, START + 1);
    g_assert_cmpint(member_self(&core)->member.health, ==, MEMBER_ALIVE);
    /* An earlier process whose clock was ahead is outbid. */
    self = make("self", START + 500, 1);
    g_assert_true(member_merge(&core, &self, NOW));
    g_assert_cmpuint(member_self(&core)->start, ==, START + 501);
    /* Another process of the same name is not: no incarnation race. */
    g_test_expect_message("swiftarch-control", G_LOG_LEVEL_WARNING,
                          "Another process in the cell uses the name self.");
    self = make("self", START + 900, 2);
    g_assert_false(member_merge(&core, &self, NOW));
    g_test_assert_expected_messages();
    g_assert_cmpuint(core.stats.name_conflicts, ==, 1);
    g_assert_cmpuint(member_self(&core)->start, ==, START + 501);
    member_core_finish(&core);
}

/* After its own pause a process restarts the timeouts of suspects. */
TEST(suspects_after_own_pause)
{
    struct member_update other = make("other", START, 2);
    struct member_actions out = {0};
    struct member_core core;
    uint64_t id = other.member.id;

    start(&core, "self", 1);
    member_merge(&core, &other, NOW);
    member_worsen_health(&core, member_lookup(&core, id), MEMBER_SUSPECT, NOW);
    member_tick(&core, NOW + 100, &out);
    member_tick(&core, NOW + 2 * MEMBER_SUSPECT_TIMEOUT_US, &out);
    g_assert_cmpint(member_find(&core, id)->member.health, ==, MEMBER_SUSPECT);
    g_assert_cmpuint(core.stats.stalls, ==, 1);
    g_assert_cmpuint(core.stats.deaths, ==, 0);
    member_actions_finish(&out);
    member_core_finish(&core);
}

/* Replies to joins are rate-limited. */
TEST(join_flood)
{
    struct member_actions out = {0};
    struct member_core core;
    size_t welcomes = 0;

    start(&core, "self", 1);
    for (unsigned i = 0; i < 5000; i++) {
        struct member_msg msg = {
            .kind = MEMBER_JOIN, .from = 100 + i, .cell = CELL};
        struct addr from = {0x0a000000 + i, 7000};

        member_receive(&core, &msg, from, NOW + i * 2000, &out);
    }
    for (size_t i = 0; i < out.count; i++)
        welcomes += out.items[i].msg.kind == MEMBER_JOIN_REPLY;
    g_assert_cmpuint(welcomes, <=, MEMBER_JOIN_BURST + 10 * MEMBER_JOIN_RATE);
    g_assert_cmpuint(welcomes, >=, MEMBER_JOIN_BURST);
    g_assert_cmpuint(core.stats.refused_joins, ==, 5000 - welcomes);
    member_actions_finish(&out);
    member_core_finish(&core);
}

/* Messages of another cell are ignored. */
TEST(other_cell)
{
    struct member_update other = make("other", START, 2);
    struct member_msg msg = {
        .kind = MEMBER_JOIN,
        .from = other.member.id,
        .cell = CELL + 1,
        .updates = &other,
        .update_count = 1,
    };
    struct member_actions out = {0};
    struct member_core core;

    start(&core, "self", 1);
    g_test_expect_message("swiftarch-control", G_LOG_LEVEL_WARNING,
                          "Dropped a message from a member of another cell.");
    member_receive(&core, &msg, other.member.control, NOW, &out);
    g_test_assert_expected_messages();
    g_assert_cmpuint(out.count, ==, 0);
    g_assert_null(member_find(&core, other.member.id));
    g_assert_cmpuint(core.stats.other_cell, ==, 1);
    msg.cell = CELL;
    member_receive(&core, &msg, other.member.control, NOW, &out);
    g_assert_cmpuint(out.count, ==, 1);
    g_assert_nonnull(member_find(&core, other.member.id));
    member_actions_finish(&out);
    member_core_finish(&core);
}

TEST(wire)
{
    struct random random = {.state = 9};
    struct member_update updates[3];
    struct member_summary summary[2] = {{1, 2}, {UINT64_MAX, UINT32_MAX}};
    uint64_t want[1] = {77};
    struct member_msg msg = {
        .kind = MEMBER_SYNC_REPLY,
        .seq = 5,
        .target = 6,
        .digest = 7,
        .incarnation = START,
        .config_version = 8,
        .word_age_ms = UINT32_MAX,
        .busy = 2,
        .waiting = UINT16_MAX,
        .updates = updates,
        .update_count = 3,
        .summary = summary,
        .summary_count = 2,
        .want = want,
        .want_count = 1,
    };
    struct member_msg back;
    uint8_t buf[2048];
    size_t len;

    for (size_t i = 0; i < 3; i++)
        updates[i] = random_update(&random);
    len = wire_encode(&msg, buf);
    g_assert_cmpuint(len, ==, wire_size(&msg));
    g_assert_cmpint(wire_decode(buf, len, 42, &back), ==, 0);
    g_assert_cmpuint(back.from, ==, 42);
    g_assert_cmpuint(back.waiting, ==, UINT16_MAX);
    g_assert_cmpuint(back.word_age_ms, ==, UINT32_MAX);
    g_assert_cmpuint(back.update_count, ==, 3);
    for (size_t i = 0; i < 3; i++) {
        g_assert_cmpuint(back.updates[i].member.incarnation, ==,
                         updates[i].member.incarnation);
        g_assert_cmpuint(back.updates[i].member.id, ==, updates[i].member.id);
        g_assert_cmpint(back.updates[i].member.health, ==,
                        updates[i].member.health);
    }
    g_assert_cmpmem(back.want, 8, want, 8);
    g_assert_cmpuint(back.summary[1].digest, ==, UINT32_MAX);
    member_msg_finish(&back);
    /* Values out of range are rejected. */
    for (unsigned i = 0; i < 20000; i++) {
        uint8_t bad[2048];

        memcpy(bad, buf, len);
        for (unsigned j = 0; j <= random_below(&random, 4); j++)
            bad[random_below(&random, len)] = random_next(&random);
        if (wire_decode(bad, random_below(&random, len + 1), 1, &back) < 0)
            continue;
        g_assert_cmpint(back.kind, <, MEMBER_KINDS);
        for (size_t j = 0; j < back.update_count; j++) {
            const struct view_member *member = &back.updates[j].member;

            g_assert_cmpint(member->health, <=, MEMBER_DEAD);
            g_assert_cmpint(member->state, <=, MEMBER_LEAVING);
            g_assert_cmpuint(strlen(member->name), <, VIEW_NAME_MAX);
        }
        member_msg_finish(&back);
    }
}

TEST(history)
{
    struct random random = {.state = 4};
    struct history history = {0};
    char *body = g_strdup("services: lots, albums");
    uint8_t *copy = NULL;
    size_t copy_len = 0;
    uint64_t version = 1;

    for (unsigned i = 0; i < 200; i++) {
        size_t at = random_below(&random, strlen(body) + 1);
        size_t cut = random_below(&random, strlen(body) - at + 1);
        char *next = g_strdup_printf("%.*s%" PRIu64 "%s", (int)at, body,
                                     random_below(&random, 1000),
                                     body + at + MIN(cut, 5));
        const struct history_step *steps;
        size_t count = 0;

        history_add(&history, version, (uint8_t *)body, strlen(body),
                    version + 1, (uint8_t *)next, strlen(next));
        version++;
        if (copy == NULL) {
            copy = (uint8_t *)g_strdup(next);
            copy_len = strlen(next);
        }
        else {
            steps = history_find(&history, version - 1, &count);
            g_assert_cmpuint(count, ==, 1);
            uint8_t *made = history_apply(&steps->edit, copy, &copy_len);
            g_free(copy);
            copy = made;
        }
        g_assert_cmpmem(copy, copy_len, next, strlen(next));
        g_free(body);
        body = next;
    }
    g_assert_cmpuint(history.count, ==, HISTORY_STEPS_MAX);
    g_assert_null(history_find(&history, 1, &copy_len));
    /* An edit of another body is rejected. */
    struct history_edit edit = {.prefix = 3, .suffix = 9};
    copy_len = 11;
    g_assert_null(history_apply(&edit, copy, &copy_len));
    g_free(copy);
    g_free(body);
    history_finish(&history);
}

TEST(seed_list)
{
    struct seed_list list = {.count = 2};
    struct seed_list back;
    g_autofree char *value = NULL;
    size_t len;

    g_strlcpy(list.items[0].name, "a", VIEW_NAME_MAX);
    list.items[0].control = (struct addr){0x0a000001, 7000};
    list.items[0].incarnation = START;
    g_strlcpy(list.items[1].name, "b \"quoted\"", VIEW_NAME_MAX);
    list.items[1].control = (struct addr){0x0a000002, 7000};
    value = seeds_encode(&list, &len);
    g_assert_cmpint(seeds_decode(value, len, &back), ==, 0);
    g_assert_cmpuint(back.count, ==, 2);
    g_assert_cmpstr(back.items[1].name, ==, "b \"quoted\"");
    g_assert_cmpuint(back.items[0].incarnation, ==, START);
    for (size_t cut = 0; cut < len; cut++)
        g_assert_cmpint(seeds_decode(value, cut, &back), ==, -EINVAL);
    g_assert_cmpuint(back.count, ==, 0);
    g_assert_cmpint(
        seeds_decode("{\"members\":[{\"name\":\"a\"}]}", 27, &back), ==,
        -EINVAL);
}

/* Only the first-ranked member writes, over the version it read, at most once
 * in 10 s; it reads again after a lost race or an unknown outcome. */
TEST(seed_writes)
{
    struct member_update other = make("other", START, 2);
    struct member_core members;
    struct seeds_core seeds;
    struct seed_list list = {0};
    uint64_t now = NOW;
    uint64_t cell = 1;

    start(&members, "self", 1);
    while (member_rank(&members, cell, NULL) != 0 ||
           hash_pair(cell, other.member.id) >
               hash_pair(cell, member_self(&members)->member.id))
        cell++;
    seeds_core_init(&seeds, 1, now);
    now += SEEDS_START_DELAY_US + SEEDS_START_JITTER_US;
    g_assert_cmpint(seeds_tick(&seeds, &members, cell, now), ==, SEEDS_READ);
    g_assert_cmpint(seeds_tick(&seeds, &members, cell, now), ==,
                    SEEDS_NOTHING);
    seeds_read_done(&seeds, -ENOENT, 0, NULL, now);
    g_assert_cmpint(seeds_tick(&seeds, &members, cell, now), ==, SEEDS_WRITE);
    g_assert_cmpuint(seeds.version, ==, 0);
    g_assert_cmpuint(seeds.pending.count, ==, 1);
    seeds_write_done(&seeds, 0, 1, now);
    g_assert_cmpint(seeds_tick(&seeds, &members, cell, now), ==,
                    SEEDS_NOTHING);
    member_merge(&members, &other, now);
    g_assert_cmpint(seeds_tick(&seeds, &members, cell, now), ==,
                    SEEDS_NOTHING);
    now += SEEDS_WRITE_INTERVAL_US;
    g_assert_cmpint(seeds_tick(&seeds, &members, cell, now), ==, SEEDS_WRITE);
    g_assert_cmpuint(seeds.version, ==, 1);
    g_assert_cmpuint(seeds.pending.count, ==, 2);
    /* Another part of a split cell wins the race. */
    seeds_write_done(&seeds, -ESTALE, 2, now);
    now += SEEDS_WRITE_INTERVAL_US;
    g_assert_cmpint(seeds_tick(&seeds, &members, cell, now), ==, SEEDS_READ);
    list.count = 1;
    g_strlcpy(list.items[0].name, "foreign", VIEW_NAME_MAX);
    list.items[0].control = (struct addr){0x0a000001, 7000};
    list.items[0].incarnation = START;
    seeds_read_done(&seeds, 0, 2, &list, now);
    g_assert_cmpint(seeds_tick(&seeds, &members, cell, now), ==, SEEDS_WRITE);
    g_assert_cmpuint(seeds.version, ==, 2);
    g_assert_cmpuint(seeds.pending.count, ==, 3);
    /* The outcome is unknown: read again. */
    seeds_write_done(&seeds, -ETIMEDOUT, 0, now);
    now += SEEDS_RETRY_MAX_US;
    g_assert_cmpint(seeds_tick(&seeds, &members, cell, now), ==, SEEDS_READ);
    seeds_read_done(&seeds, 0, 3, &seeds.pending, now);
    g_assert_cmpint(seeds_tick(&seeds, &members, cell, now), ==,
                    SEEDS_NOTHING);
    member_core_finish(&members);
}

/* A process whose contacts don't answer adds itself to a cell object that is
 * missing or lists dead members only. */
TEST(seed_list_isolated)
{
    struct member_core members;
    struct seeds_core seeds;
    struct seed_list list = {.count = 1};
    uint64_t now = NOW;
    unsigned reads = 1;

    start(&members, "self", 1);
    member_add_contact(&members, (struct addr){0x0a000009, 7000});
    seeds_core_init(&seeds, 1, now);
    now += SEEDS_START_DELAY_US + SEEDS_START_JITTER_US;
    g_assert_cmpint(seeds_tick(&seeds, &members, 1, now), ==, SEEDS_READ);
    seeds_read_done(&seeds, -ENOENT, 0, NULL, now);
    now += SEEDS_ISOLATED_RETRY_US;
    g_assert_cmpint(seeds_tick(&seeds, &members, 1, now), ==, SEEDS_WRITE);
    g_assert_cmpuint(seeds.pending.count, ==, 1);
    /* Another process wrote first: its entry is a contact, so only read. */
    seeds_write_done(&seeds, -ESTALE, 1, now);
    g_strlcpy(list.items[0].name, "other", VIEW_NAME_MAX);
    list.items[0].control = (struct addr){0x0a000001, 7000};
    list.items[0].incarnation = START;
    for (;;) {
        enum seeds_action action;

        now += USEC_PER_SEC;
        action = seeds_tick(&seeds, &members, 1, now);
        if (action == SEEDS_NOTHING)
            continue;
        if (action == SEEDS_WRITE)
            break;
        reads++;
        seeds_read_done(&seeds, 0, 1, &list, now);
    }
    /* It doesn't answer: this process replaces it. */
    g_assert_cmpuint(reads, ==, 1 + SEEDS_FOREIGN_ROUNDS);
    g_assert_cmpuint(seeds.pending.count, ==, 1);
    g_assert_cmpstr(seeds.pending.items[0].name, ==, "self");
    member_core_finish(&members);
}
