/* Unit tests of the directory: versions, tables, forwarding, encoding */
#include <errno.h>
#include <string.h>

#include "directory/directory.h"
#include "directory/cell_forward.h"
#include "directory/message.h"
#include "directory/table.h"
#include "packet/gue.h"
#include "lib/harness.h"

#define SUITE "/directory"
#define IP 0x0a010101u
#define SOME_IP 0xc0a80001u
#define TCP 6

static struct directory_entry *
make_entry(const char *cell, uint64_t config, uint64_t counter,
           uint32_t address, bool retired)
{
    struct directory_entry *entry = directory_entry_new(cell, 1);

    entry->version.config_version = config;
    entry->version.counter = counter;
    entry->addresses[0] = directory_address(address, 80, TCP, retired);
    entry->gateway_count = 1;
    entry->gateways[0].data.ip = IP;
    entry->gateways[0].data.port = 4000;
    entry->gateways[0].control.ip = IP;
    entry->gateways[0].control.port = 5000;
    entry->author_count = 1;
    entry->authors[0] = entry->gateways[0].control;
    directory_entry_finalize(entry);
    return entry;
}

static void
core_init(struct directory_core *core)
{
    struct addr self = {.ip = 1, .port = 1};

    directory_core_init(core, "own", self, 1, 0);
}

static bool
merge(struct directory_core *core, struct directory_entry *entry)
{
    bool accepted = directory_merge(core, entry, 0);

    directory_entry_unref(entry);
    return accepted;
}

/* Versions are ordered by configuration, counter and content; merging is
 * idempotent. */
TEST(version_order)
{
    struct directory_core core;

    core_init(&core);
    g_assert_true(merge(&core, make_entry("a", 2, 5, SOME_IP, false)));
    g_assert_false(merge(&core, make_entry("a", 2, 5, SOME_IP, false)));
    g_assert_false(merge(&core, make_entry("a", 1, 9, SOME_IP + 1, false)));
    g_assert_false(merge(&core, make_entry("a", 2, 4, SOME_IP + 1, false)));
    g_assert_true(merge(&core, make_entry("a", 2, 6, SOME_IP + 1, false)));
    g_assert_true(merge(&core, make_entry("a", 3, 1, SOME_IP + 2, false)));
    /* Of two entries with equal counters, one wins in any order. */
    bool first = merge(&core, make_entry("b", 1, 1, SOME_IP + 3, false));
    bool second = merge(&core, make_entry("b", 1, 1, SOME_IP + 4, false));
    bool third = merge(&core, make_entry("b", 1, 1, SOME_IP + 3, false));
    g_assert_true(first);
    g_assert_false(third);
    if (!second)
        g_assert_true(
            directory_find(&core, directory_cell("b"))->entry->addresses[0] ==
            directory_address(SOME_IP + 3, 80, TCP, false));
    directory_core_finish(&core);
}

static uint64_t
found(const struct directory_core *core, uint32_t ip, size_t *conflicts)
{
    const struct directory_table_cell *cell;
    struct directory_table *table;
    uint64_t id;

    g_assert_cmpint(directory_table_new(core, &table), ==, 0);
    cell = directory_table_find(table, ip, 80, TCP);
    id = cell == NULL ? 0 : cell->id;
    *conflicts = table->conflicts;
    g_assert_null(directory_table_find(table, ip, 81, TCP));
    g_assert_null(directory_table_find(table, ip, 80, 17));
    directory_table_free(table);
    return id;
}

/* A serving cell takes priority over one that retired the address, then the
 * lower cell id. */
TEST(conflict)
{
    uint64_t a = directory_cell("a");
    uint64_t b = directory_cell("b");
    struct directory_core core;
    size_t conflicts;

    core_init(&core);
    merge(&core, make_entry("a", 1, 1, SOME_IP, false));
    merge(&core, make_entry("b", 1, 1, SOME_IP, false));
    g_assert_cmpuint(found(&core, SOME_IP, &conflicts), ==, MIN(a, b));
    g_assert_cmpuint(conflicts, ==, 1);
    merge(&core, make_entry(a < b ? "a" : "b", 1, 2, SOME_IP, true));
    g_assert_cmpuint(found(&core, SOME_IP, &conflicts), ==, MAX(a, b));
    merge(&core, make_entry(a < b ? "b" : "a", 1, 2, SOME_IP, true));
    g_assert_cmpuint(found(&core, SOME_IP, &conflicts), ==, MIN(a, b));
    g_assert_cmpuint(conflicts, ==, 1);
    directory_core_finish(&core);
}

/* The own cell's claims follow the same priority rules. */
TEST(own_cell)
{
    bool lower = directory_cell("own") < directory_cell("a");
    struct packet packet = {.dst = SOME_IP, .dport = 80, .proto = TCP};
    struct directory_core core;
    size_t conflicts;

    for (int retired = 0; retired < 2; retired++) {
        struct directory_table *table;

        core_init(&core);
        merge(&core, make_entry("own", 1, 1, SOME_IP, retired));
        g_assert_cmpuint(found(&core, SOME_IP, &conflicts), ==, 0);
        g_assert_cmpuint(conflicts, ==, 0);
        merge(&core, make_entry("a", 1, 1, SOME_IP, false));
        g_assert_cmpint(directory_table_new(&core, &table), ==, 0);
        g_assert_cmpuint(table->conflicts, ==, 1);
        g_assert_cmpuint(table->overridden, ==, retired || !lower);
        g_assert_cmpuint(table->addresses, ==, table->overridden);
        g_assert_true(cell_forward_has_priority(table, &packet) ==
                      (retired || !lower));
        directory_table_free(table);
        directory_core_finish(&core);
    }
}

/* New cells beyond the limit are rejected, except the own cell. */
TEST(cell_limit)
{
    struct directory_core core;
    char name[DIRECTORY_NAME_MAX];

    core_init(&core);
    for (unsigned i = 0; i < 2 * DIRECTORY_CELLS_MAX; i++) {
        g_snprintf(name, sizeof(name), "flood-%u", i);
        merge(&core, make_entry(name, 1, 1, SOME_IP + i, false));
    }
    g_assert_cmpuint(core.count, ==, DIRECTORY_CELLS_MAX - 1);
    g_assert_cmpuint(core.stats.rejected, >, 0);
    g_assert_true(merge(&core, make_entry("own", 1, 1, SOME_IP, false)));
    directory_core_finish(&core);
}

/* The marked header differs from a hop list and a bare header; a marked packet
 * is not forwarded again. */
TEST(forward_once)
{
    struct packet packet = {.dst = SOME_IP, .dport = 80, .proto = TCP};
    uint8_t bare[GUE_HEADER_MAX] = {0};
    uint8_t mark[CELL_FORWARD_HEADER_LEN];
    struct directory_table *table;
    struct directory_core core;
    struct gue gue;
    struct addr to;

    cell_forward_encode(mark);
    gue_encode(NULL, bare);
    g_assert_true(cell_forward_is_marked(mark, sizeof(mark)));
    g_assert_false(cell_forward_is_marked(mark, sizeof(mark) - 1));
    g_assert_false(cell_forward_is_marked(bare, sizeof(bare)));
    g_assert_cmpint(gue_decode(mark, sizeof(mark), &gue), ==, -EBADMSG);

    core_init(&core);
    merge(&core, make_entry("a", 1, 1, SOME_IP, false));
    g_assert_cmpint(directory_table_new(&core, &table), ==, 0);
    g_assert_cmpint(cell_forward_decide(table, NULL, &packet, false, 0, &to),
                    ==, PACKET_OK);
    g_assert_cmpuint(to.ip, ==, IP);
    g_assert_cmpuint(to.port, ==, 4000);
    g_assert_cmpint(cell_forward_decide(table, NULL, &packet, true, 0, &to),
                    ==, PACKET_HOP_LIMIT);
    g_assert_cmpint(cell_forward_decide(NULL, NULL, &packet, false, 0, &to),
                    ==, PACKET_NO_SERVICE);
    packet.dport = 81;
    g_assert_cmpint(cell_forward_decide(table, NULL, &packet, false, 0, &to),
                    ==, PACKET_NO_SERVICE);
    directory_table_free(table);
    directory_core_finish(&core);
}

/* The gateway changes with each rotation; one that refused packets is avoided
 * for CELL_FORWARD_REFUSED_US while there are others. */
TEST(refused_gateway)
{
    struct directory_entry *entry = make_entry("a", 1, 1, SOME_IP, false);
    struct packet packet = {.dst = SOME_IP, .dport = 80, .proto = TCP};
    struct cell_forward_refused refused = {0};
    struct directory_table *table;
    struct directory_core core;
    struct addr first;
    struct addr to;

    entry->gateway_count = 2;
    entry->gateways[1] = entry->gateways[0];
    entry->gateways[1].data.port++;
    directory_entry_finalize(entry);
    core_init(&core);
    merge(&core, entry);
    g_assert_cmpint(directory_table_new(&core, &table), ==, 0);

    cell_forward_decide(table, &refused, &packet, false, 0, &first);
    cell_forward_decide(table, &refused, &packet, false,
                        CELL_FORWARD_ROTATION_US - 1, &to);
    g_assert_true(addr_equal(first, to));
    cell_forward_decide(table, &refused, &packet, false,
                        CELL_FORWARD_ROTATION_US, &to);
    g_assert_false(addr_equal(first, to));

    cell_forward_note_refused(&refused, first, 0);
    for (uint64_t at = 0; at < CELL_FORWARD_REFUSED_US;
         at += CELL_FORWARD_ROTATION_US) {
        cell_forward_decide(table, &refused, &packet, false, at, &to);
        g_assert_false(addr_equal(first, to));
    }
    cell_forward_note_refused(&refused, to, 0);
    cell_forward_decide(table, &refused, &packet, false, 0, &to);
    g_assert_true(addr_equal(first, to));
    /* The oldest record is overwritten when all are used. */
    for (uint32_t i = 0; i < CELL_FORWARD_REFUSED_MAX; i++)
        cell_forward_note_refused(&refused, (struct addr){1 + i, 1}, 0);
    cell_forward_decide(table, &refused, &packet, false, 0, &to);
    g_assert_true(addr_equal(first, to));
    directory_table_free(table);
    directory_core_finish(&core);
}

static size_t
encode_one(struct directory_entry *entry, uint8_t *buf)
{
    struct directory_msg msg = {.kind = DIRECTORY_ENTRIES, .entry_count = 1};

    msg.from.ip = IP;
    msg.from.port = 5000;
    msg.entries = g_new(struct directory_entry *, 1);
    msg.entries[0] = entry;
    size_t size = directory_msg_encode(&msg, buf);
    directory_msg_finish(&msg);
    return size;
}

/* The largest entry fits into a message; truncated or corrupted messages must
 * not crash the decoder. */
TEST(encoding)
{
    struct directory_entry *entry =
        directory_entry_new("large", DIRECTORY_ADDRESSES_MAX);
    g_autofree uint8_t *buf = g_malloc(2 * DIRECTORY_MESSAGE_MAX);
    struct random random = {.state = 7};
    struct directory_msg msg;
    size_t size;

    entry->version.config_version = UINT64_MAX;
    entry->version.counter = UINT64_MAX;
    for (size_t i = 0; i < entry->count; i++)
        entry->addresses[i] =
            directory_address(SOME_IP + (uint32_t)i, 80, TCP, i % 2);
    directory_entry_finalize(entry);
    g_assert_cmpuint(directory_entry_size(entry) + 64, <=,
                     DIRECTORY_MESSAGE_MAX);
    size = encode_one(entry, buf);
    g_assert_cmpint(directory_msg_decode(buf, size, &msg), ==, 0);
    g_assert_cmpuint(msg.entries[0]->count, ==, DIRECTORY_ADDRESSES_MAX);
    directory_msg_finish(&msg);
    g_assert_cmpint(directory_msg_decode(buf, DIRECTORY_MESSAGE_MAX + 1, &msg),
                    ==, -EBADMSG);

    size = encode_one(make_entry("small", 1, 1, SOME_IP, false), buf);
    for (unsigned i = 0; i < 20000; i++) {
        uint8_t copy[256];
        size_t len = random_below(&random, size + 1);

        memcpy(copy, buf, size);
        copy[random_below(&random, size)] = (uint8_t)random_next(&random);
        if (directory_msg_decode(copy, i % 2 ? size : len, &msg) == 0)
            directory_msg_finish(&msg);
    }
}

static size_t
request_all(struct directory_core *core, uint64_t now_us)
{
    struct directory_msg want = {.kind = DIRECTORY_WANT};
    struct directory_actions out = {0};
    size_t bytes = 0;

    want.from = (struct addr){IP, 5000};
    want.want = g_new(uint64_t, core->count);
    for (size_t i = 0; i < core->count; i++)
        want.want[want.want_count++] = core->slots[i].entry->cell;
    directory_receive(core, &want, now_us, &out);
    for (size_t i = 0; i < out.count; i++) {
        size_t size = directory_msg_size(&out.items[i].msg);

        g_assert_cmpuint(size, <=, DIRECTORY_MESSAGE_MAX);
        bytes += size;
    }
    directory_actions_clear(&out);
    directory_msg_finish(&want);
    return bytes;
}

static struct directory_entry *
make_large(const char *cell)
{
    struct directory_entry *entry = directory_entry_new(cell, 54);

    entry->version.config_version = 1;
    entry->version.counter = 1;
    for (size_t i = 0; i < entry->count; i++)
        entry->addresses[i] =
            directory_address(SOME_IP + (uint32_t)i, 80, TCP, false);
    directory_entry_finalize(entry);
    return entry;
}

/* Replies stay within the byte budget at any rate of requests; a process
 * without a directory does not reply. */
TEST(budget)
{
    struct directory_role role = {.holds = true};
    struct directory_core core;
    char name[DIRECTORY_NAME_MAX];
    size_t bytes = 0;

    core_init(&core);
    for (unsigned i = 0; i < 100; i++) {
        g_snprintf(name, sizeof(name), "cell-%u", i);
        merge(&core, make_large(name));
    }
    g_assert_cmpuint(request_all(&core, 0), ==, 0);
    directory_set_role(&core, &role);
    for (uint64_t i = 0; i < 1000; i++)
        bytes += request_all(&core, i * 10 * USEC_PER_MSEC);
    g_assert_cmpuint(bytes, <=, DIRECTORY_BURST + 10 * DIRECTORY_RATE);
    g_assert_cmpuint(bytes, >, DIRECTORY_BURST);
    g_assert_cmpuint(core.stats.delayed, >, 0);
    directory_core_finish(&core);
}

/* Authors that keep disagreeing overwrite each other ever more rarely. */
TEST(contest)
{
    struct directory_role role = {.holds = true, .author = true};
    struct directory_actions out = {0};
    struct directory_core core;

    core_init(&core);
    directory_set_role(&core, &role);
    directory_set_local_entry(&core, make_entry("own", 1, 0, SOME_IP, false));
    for (uint64_t i = 0; i < 3600; i++) {
        uint64_t now_us = i * USEC_PER_SEC;
        struct directory_entry *other =
            make_entry("own", 1, 1000 + i * 1000, SOME_IP + 1, false);

        directory_tick(&core, now_us, 1000 + i * 1000, &out);
        directory_actions_clear(&out);
        directory_merge(&core, other, now_us);
        directory_entry_unref(other);
    }
    g_assert_cmpuint(core.stats.authored, >=, 10);
    g_assert_cmpuint(core.stats.authored, <=, 120);
    directory_core_finish(&core);
}

/* A process with an older configuration does not author; one with the current
 * configuration does, even if its clock is behind. */
TEST(author_with_current_configuration)
{
    struct directory_role role = {.holds = true, .author = true};
    struct directory_actions out = {0};
    struct directory_core core;

    core_init(&core);
    directory_set_role(&core, &role);
    merge(&core, make_entry("own", 5, 9000, SOME_IP, false));
    directory_set_local_entry(&core,
                              make_entry("own", 4, 0, SOME_IP + 1, false));
    for (uint64_t i = 0; i < 60; i++)
        directory_tick(&core, i * USEC_PER_SEC, 100, &out);
    directory_actions_clear(&out);
    g_assert_cmpuint(core.stats.authored, ==, 0);

    directory_set_local_entry(&core,
                              make_entry("own", 5, 0, SOME_IP + 1, false));
    for (uint64_t i = 60; i < 70; i++)
        directory_tick(&core, i * USEC_PER_SEC, 100, &out);
    directory_actions_clear(&out);
    g_assert_cmpuint(core.stats.authored, ==, 1);
    g_assert_cmpuint(directory_find(&core, core.cell)->entry->version.counter,
                     ==, 9001);
    directory_core_finish(&core);
}
