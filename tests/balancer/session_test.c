/**
 * DOC: session_test - compares hop lists of a scripted session to a golden
 * file
 *
 * Applies changes of the cell and records the hop lists of sample packets
 * after each. GOLDEN_UPDATE=1 in the environment rewrites the file.
 */
#include <string.h>

#include "balancer/route.h"
#include "base/hash.h"
#include "route_fixture.h"
#include "lib/harness.h"

#define SUITE "/session"
#define AGENTS 8
#define FLOWS 6

/** struct session - cell as seen by the balancer, and the transcript */
struct session {
    struct service_config *config;
    struct view *all;
    bool present[AGENTS];
    struct route_table *table;
    uint64_t now_us;
    GString *out;
};

static struct view_member *
agent(struct session *session, unsigned number)
{
    char name[VIEW_NAME_MAX];

    g_snprintf(name, sizeof(name), "lots-%u", number);
    for (size_t i = 0; i < AGENTS; i++)
        if (strcmp(session->all->members[i].name, name) == 0)
            return &session->all->members[i];
    g_error("no agent %s", name);
}

static const char *
name_of(const struct session *session, uint64_t id)
{
    return view_find(session->all, id)->name;
}

static void
write_packet(struct session *session, const char *label, const uint8_t *buf,
             size_t len)
{
    struct route_decision decision;
    enum packet_drop drop =
        route_decide(session->table, buf, len, session->now_us, &decision);

    g_string_append_printf(session->out, "  %s:", label);
    if (drop != PACKET_OK) {
        g_string_append_printf(session->out, " dropped, %s\n",
                               packet_drop_name(drop));
        return;
    }
    for (size_t i = 0; i < decision.gue.count; i++)
        g_string_append_printf(session->out, " %s",
                               name_of(session, decision.gue.hops[i].member));
    g_string_append_printf(session->out, "%s%s\n",
                           decision.gue.flags & GUE_OPEN ? ", may open" : "",
                           decision.gue.flags & GUE_SUSPECTS ? ", suspects"
                                                             : "");
}

static void
write_packets(struct session *session)
{
    uint8_t buf[PACKET_MAX];
    char label[32];

    for (uint32_t flow = 0; flow < FLOWS; flow++) {
        size_t len = route_fixture_tcp(buf, ROUTE_FIXTURE_LOTS_IP, flow,
                                       PACKET_TCP_SYN, "");
        g_snprintf(label, sizeof(label), "flow %u syn", flow);
        write_packet(session, label, buf, len);
        len = route_fixture_tcp(buf, ROUTE_FIXTURE_LOTS_IP, flow,
                                PACKET_TCP_ACK, "GET");
        g_snprintf(label, sizeof(label), "flow %u ack", flow);
        write_packet(session, label, buf, len);
    }
    write_packet(session, "datagram", buf,
                 route_fixture_udp(buf, ROUTE_FIXTURE_LOTS_IP, 1));
    write_packet(session, "albums", buf,
                 route_fixture_tcp(buf, ROUTE_FIXTURE_ALBUMS_IP, 1,
                                   PACKET_TCP_SYN, ""));
    write_packet(session, "unknown address", buf,
                 route_fixture_tcp(buf, 0x0a640063, 1, PACKET_TCP_SYN, ""));
}

/* Rebuilds the table @after_s seconds after the previous step and records the
 * hop lists. */
static void
step(struct session *session, unsigned after_s, const char *what)
{
    struct view *view = view_new(AGENTS);
    struct route_table *table;

    for (size_t i = 0; i < AGENTS; i++)
        if (session->present[i])
            view->members[view->count++] = session->all->members[i];
    session->now_us += after_s * USEC_PER_SEC;
    g_assert_cmpint(
        route_table_new(view, session->config, session->table, &table), ==, 0);
    route_table_free(session->table);
    free(view);
    session->table = table;
    g_string_append_printf(session->out, "%" G_GUINT64_FORMAT " s: %s\n",
                           session->now_us / USEC_PER_SEC, what);
    write_packets(session);
}

static void
set_member_state(struct session *session, unsigned number,
                 enum member_state state)
{
    struct view_member *member = agent(session, number);

    member->state = state;
    member->since_us = session->now_us;
    session->present[member - session->all->members] = true;
}

static void
run_scenario(struct session *session)
{
    step(session, 0, "no endpoint yet");
    for (unsigned i = 0; i < 7; i++)
        set_member_state(session, i, MEMBER_WARMING);
    step(session, 0, "seven start at the same time");
    for (unsigned i = 0; i < 7; i++)
        agent(session, i)->state = MEMBER_READY;
    step(session, 20, "all are ready");
    set_member_state(session, 7, MEMBER_WARMING);
    step(session, 0, "lots-7 joins, cold");
    step(session, 10, "lots-7 ends its slow start");
    agent(session, 2)->state = MEMBER_DRAINING;
    step(session, 1, "lots-2 drains");
    agent(session, 5)->health = MEMBER_SUSPECT;
    step(session, 1, "lots-5 is suspected");
    agent(session, 5)->health = MEMBER_DEAD;
    step(session, 5, "lots-5 is dead");
    agent(session, 5)->health = MEMBER_ALIVE;
    agent(session, 2)->state = MEMBER_LEAVING;
    step(session, 5, "lots-5 recovers; lots-2 leaves");
    session->present[agent(session, 2) - session->all->members] = false;
    step(session, 30, "lots-2 is gone");
    agent(session, 0)->service = hash_service("names");
    agent(session, 1)->service = hash_service("albums");
    step(session, 1, "lots-0 serves names, lots-1 albums");
    for (unsigned i = 0; i < AGENTS; i++)
        agent(session, i)->health = MEMBER_SUSPECT;
    step(session, 1, "this balancer is isolated: all are suspected");
}

TEST(session)
{
    g_autofree char *path =
        g_test_build_filename(G_TEST_DIST, "session.golden", NULL);
    struct session session = {
        .config = route_fixture_text(),
        .all = route_fixture_view(AGENTS, "lots"),
        .now_us = 100 * USEC_PER_SEC,
        .out = g_string_new(NULL),
    };
    g_autofree char *golden = NULL;

    run_scenario(&session);
    if (g_getenv("GOLDEN_UPDATE") != NULL)
        g_assert_true(g_file_set_contents(path, session.out->str, -1, NULL));
    g_assert_true(g_file_get_contents(path, &golden, NULL, NULL));
    g_assert_cmpstr(session.out->str, ==, golden);

    g_string_free(session.out, TRUE);
    route_table_free(session.table);
    service_config_free(session.config);
    free(session.all);
}
