#include <string.h>

#include "balancer/route.h"
#include "base/hash.h"
#include "route_fixture.h"
#include "lib/harness.h"

#define SUITE "/route"
#define FLOWS 3000
#define AFTER_SLOW_START_US (ROUTE_FIXTURE_FIRST_SEEN_US + ROUTE_SLOW_START_US)

/** struct fixture - route table with its view and configuration */
struct fixture {
    struct service_config *config;
    struct view *view;
    struct route_table *table;
};

static void
fixture_init(struct fixture *fixture, size_t endpoints)
{
    fixture->config = route_fixture_text();
    fixture->view = route_fixture_view(endpoints, "lots");
    fixture->table = NULL;
}

static void
fixture_build(struct fixture *fixture)
{
    struct route_table *table;

    fixture->view->seq++;
    g_assert_cmpint(route_table_new(fixture->view, fixture->config,
                                    fixture->table, &table),
                    ==, 0);
    route_table_free(fixture->table);
    fixture->table = table;
}

static void
fixture_finish(struct fixture *fixture)
{
    route_table_free(fixture->table);
    service_config_free(fixture->config);
    free(fixture->view);
}

static struct gue
decide(const struct fixture *fixture, uint32_t caller, uint8_t flags,
       uint64_t now_us)
{
    uint8_t buf[PACKET_MAX];
    struct route_decision decision;
    size_t len =
        route_fixture_tcp(buf, ROUTE_FIXTURE_LOTS_IP, caller, flags, "");

    g_assert_cmpint(route_decide(fixture->table, buf, len, now_us, &decision),
                    ==, PACKET_OK);
    return decision.gue;
}

static const struct view_member *
member_of(const struct fixture *fixture, uint64_t id)
{
    const struct view_member *member = view_find(fixture->view, id);
    g_assert_nonnull(member);
    return member;
}

/* Expected position group of a hop; lower groups come first */
static int
expected_order_established(const struct view_member *member)
{
    return member->health == MEMBER_SUSPECT;
}

static int
expected_order_new_flow(const struct view_member *member)
{
    if (member->health == MEMBER_SUSPECT)
        return 2;
    return member->state == MEMBER_READY || member->state == MEMBER_WARMING
               ? 0
               : 1;
}

static void
check_hops(const struct fixture *fixture, const struct gue *gue,
           uint32_t caller, bool open)
{
    uint8_t buf[PACKET_MAX];
    struct packet packet;
    bool suspects = false;
    int group = 0;
    uint64_t score = UINT64_MAX;

    size_t len = route_fixture_tcp(buf, ROUTE_FIXTURE_LOTS_IP, caller,
                                   PACKET_TCP_ACK, "");
    packet_parse(buf, len, 0, &packet);
    uint32_t bucket = rank_bucket(packet_flow_hash(&packet));

    for (size_t i = 0; i < gue->count; i++) {
        const struct view_member *member =
            member_of(fixture, gue->hops[i].member);
        int own = open ? expected_order_new_flow(member)
                       : expected_order_established(member);
        g_assert_cmpint(member->health, !=, MEMBER_DEAD);
        g_assert_cmpint(member->role, ==, MEMBER_AGENT);
        g_assert_cmpuint(member->service, ==, gue->service);
        g_assert_true(addr_equal(member->data, gue->hops[i].data));
        g_assert_cmpint(own, >=, group);
        if (own > group)
            score = UINT64_MAX;
        group = own;
        g_assert_cmpuint(rank_score(member->id, bucket), <, score);
        score = rank_score(member->id, bucket);
        suspects |= member->health == MEMBER_SUSPECT;
        for (size_t j = 0; j < i; j++)
            g_assert_cmpuint(gue->hops[j].member, !=, member->id);
    }
    g_assert_cmpint(!!(gue->flags & GUE_SUSPECTS), ==, suspects);
    g_assert_cmpint(!!(gue->flags & GUE_OPEN), ==, open);
}

/* Hop lists keep their order for any mix of states and health. */
TEST(hop_order)
{
    for (int round = 0; round < 30; round++) {
        struct fixture fixture;
        size_t usable = 0;
        fixture_init(&fixture, (size_t)g_test_rand_int_range(1, 30));
        for (size_t i = 0; i < fixture.view->count; i++) {
            struct view_member *member = &fixture.view->members[i];
            member->state = (enum member_state)g_test_rand_int_range(0, 4);
            member->health = (enum member_health)g_test_rand_int_range(0, 3);
            usable += member->health != MEMBER_DEAD;
        }
        fixture_build(&fixture);
        for (uint32_t caller = 0; usable > 0 && caller < 300; caller++) {
            struct gue established =
                decide(&fixture, caller, PACKET_TCP_ACK, AFTER_SLOW_START_US);
            struct gue open =
                decide(&fixture, caller, PACKET_TCP_SYN, AFTER_SLOW_START_US);
            check_hops(&fixture, &established, caller, false);
            check_hops(&fixture, &open, caller, true);
            g_assert_cmpuint(established.count, ==, MIN(usable, GUE_HOPS_MAX));
            g_assert_cmpuint(open.count, >=, MIN(usable, 4));
        }
        fixture_finish(&fixture);
    }
}

TEST_F(fixture, drop_reasons, 3)
{
    uint8_t buf[PACKET_MAX];
    struct route_decision decision;

    fixture_build(fixture);
    size_t len = route_fixture_tcp(buf, 0x0a640009, 1, PACKET_TCP_SYN, "");
    g_assert_cmpint(route_decide(fixture->table, buf, len, 0, &decision), ==,
                    PACKET_NO_SERVICE);
    len =
        route_fixture_tcp(buf, ROUTE_FIXTURE_ALBUMS_IP, 1, PACKET_TCP_SYN, "");
    g_assert_cmpint(route_decide(fixture->table, buf, len, 0, &decision), ==,
                    PACKET_NO_ENDPOINT);
    len = route_fixture_udp(buf, ROUTE_FIXTURE_ALBUMS_IP, 1);
    g_assert_cmpint(route_decide(fixture->table, buf, len, 0, &decision), ==,
                    PACKET_NO_SERVICE);
    len =
        route_fixture_tcp(buf, ROUTE_FIXTURE_LOTS_IP, 1, PACKET_TCP_SYN, "x");
    g_assert_cmpint(route_decide(fixture->table, buf, len - 1, 0, &decision),
                    ==, PACKET_TRUNCATED);
}

/* A TCP and a UDP service on one address and port keep their own endpoints. */
TEST_F(fixture, services_apart, 40)
{
    uint8_t buf[PACKET_MAX];
    struct route_decision decision;

    for (size_t i = 0; i < fixture->view->count; i++) {
        const char *services[] = {"lots", "albums", "names", "gone"};
        fixture->view->members[i].service =
            i % 5 == 4 ? 0 : hash_service(services[i % 5]);
    }
    fixture->view->members[0].role = MEMBER_BALANCER;
    fixture_build(fixture);
    for (uint32_t caller = 0; caller < FLOWS; caller++) {
        bool udp = caller % 3 == 2;
        uint32_t ip =
            caller % 3 == 1 ? ROUTE_FIXTURE_ALBUMS_IP : ROUTE_FIXTURE_LOTS_IP;
        size_t len =
            udp ? route_fixture_udp(buf, ip, caller)
                : route_fixture_tcp(buf, ip, caller, PACKET_TCP_SYN, "");
        const char *names[] = {"lots", "albums", "names"};
        uint32_t service = hash_service(names[caller % 3]);

        g_assert_cmpint(route_decide(fixture->table, buf, len, 0, &decision),
                        ==, PACKET_OK);
        g_assert_cmpuint(decision.gue.service, ==, service);
        g_assert_cmpint(!!(decision.gue.flags & GUE_OPEN), ==, true);
        for (size_t i = 0; i < decision.gue.count; i++) {
            const struct view_member *member =
                member_of(fixture, decision.gue.hops[i].member);
            g_assert_cmpuint(member->service, ==, service);
            g_assert_cmpint(member->role, ==, MEMBER_AGENT);
        }
    }
}

/* A draining endpoint keeps its rank for established flows and gets no new
 * flows. */
TEST_F(fixture, drain, 7)
{
    struct gue before[FLOWS];

    fixture_build(fixture);
    for (uint32_t i = 0; i < FLOWS; i++)
        before[i] = decide(fixture, i, PACKET_TCP_ACK, AFTER_SLOW_START_US);
    fixture->view->members[3].state = MEMBER_DRAINING;
    uint64_t drained = fixture->view->members[3].id;
    fixture_build(fixture);

    for (uint32_t i = 0; i < FLOWS; i++) {
        struct gue established =
            decide(fixture, i, PACKET_TCP_ACK, AFTER_SLOW_START_US);
        struct gue open =
            decide(fixture, i, PACKET_TCP_SYN, AFTER_SLOW_START_US);
        g_assert_cmpuint(established.hops[0].member, ==,
                         before[i].hops[0].member);
        g_assert_cmpuint(open.hops[0].member, !=, drained);
        if (before[i].hops[0].member != drained)
            g_assert_cmpuint(open.hops[0].member, ==,
                             before[i].hops[0].member);
        else
            g_assert_cmpuint(open.hops[0].member, ==,
                             before[i].hops[1].member);
    }
}

/* Lists for new flows include the best endpoints without new flows, which may
 * own the flow of a repeated SYN or of a datagram. */
TEST_F(fixture, reserved_hops, 20)
{
    for (size_t i = 0; i < 8; i++)
        fixture->view->members[i].state = MEMBER_LEAVING;
    fixture_build(fixture);
    for (uint32_t i = 0; i < FLOWS; i++) {
        struct gue established =
            decide(fixture, i, PACKET_TCP_ACK, AFTER_SLOW_START_US);
        struct gue open =
            decide(fixture, i, PACKET_TCP_SYN, AFTER_SLOW_START_US);
        size_t checked = 0;
        for (size_t j = 0;
             j < established.count && checked < ROUTE_RESERVED_HOPS; j++) {
            uint64_t member = established.hops[j].member;
            bool found = false;
            if (member_of(fixture, member)->state == MEMBER_READY)
                continue;
            for (size_t k = 0; k < open.count; k++)
                found |= open.hops[k].member == member;
            g_assert_true(found);
            checked++;
        }
    }
}

/* Only a SYN without ACK may open a flow. */
TEST_F(fixture, syn_opens_flow, 3)
{
    const struct {
        uint8_t flags;
        bool open;
    } cases[] = {
        {PACKET_TCP_SYN, true},  {PACKET_TCP_SYN | PACKET_TCP_ACK, false},
        {PACKET_TCP_ACK, false}, {PACKET_TCP_FIN | PACKET_TCP_ACK, false},
        {PACKET_TCP_RST, false}, {PACKET_TCP_RST | PACKET_TCP_ACK, false},
    };

    fixture_build(fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct gue gue =
            decide(fixture, 1, cases[i].flags, AFTER_SLOW_START_US);
        g_assert_cmpint(!!(gue.flags & GUE_OPEN), ==, cases[i].open);
    }
}

/* New flows reach the ready endpoints even if all others are draining. */
TEST_F(fixture, many_draining, 30)
{
    size_t first[2] = {0};

    for (size_t i = 0; i < 28; i++)
        fixture->view->members[i].state = MEMBER_DRAINING;
    fixture_build(fixture);
    for (uint32_t i = 0; i < FLOWS; i++) {
        struct gue open =
            decide(fixture, i, PACKET_TCP_SYN, AFTER_SLOW_START_US);
        uint64_t one = fixture->view->members[28].id;
        uint64_t two = fixture->view->members[29].id;
        g_assert_true(open.hops[0].member == one ||
                      open.hops[0].member == two);
        first[open.hops[0].member == two]++;
        g_assert_cmpuint(open.count, ==, GUE_HOPS_MAX);
    }
    g_assert_cmpuint(first[0], >, FLOWS / 3);
    g_assert_cmpuint(first[1], >, FLOWS / 3);
}

/* A suspected endpoint comes last, a dead one is left out, a recovered one
 * regains its rank. */
TEST_F(fixture, suspect_and_dead, 4)
{
    uint64_t suspect;

    suspect = fixture->view->members[1].id;
    fixture->view->members[1].health = MEMBER_SUSPECT;
    fixture_build(fixture);
    for (uint32_t i = 0; i < FLOWS; i++) {
        struct gue established =
            decide(fixture, i, PACKET_TCP_ACK, AFTER_SLOW_START_US);
        g_assert_cmpuint(established.hops[3].member, ==, suspect);
        g_assert_cmpuint(established.flags, ==, GUE_SUSPECTS);
    }
    fixture->view->members[1].health = MEMBER_DEAD;
    fixture_build(fixture);
    for (uint32_t i = 0; i < FLOWS; i++) {
        struct gue established =
            decide(fixture, i, PACKET_TCP_ACK, AFTER_SLOW_START_US);
        g_assert_cmpuint(established.count, ==, 3);
        g_assert_cmpuint(established.flags, ==, 0);
    }
    fixture->view->members[1].health = MEMBER_ALIVE;
    fixture_build(fixture);
    for (uint32_t i = 0; i < FLOWS; i++) {
        struct gue established =
            decide(fixture, i, PACKET_TCP_ACK, AFTER_SLOW_START_US);
        check_hops(fixture, &established, i, false);
        g_assert_cmpuint(established.count, ==, 4);
    }
}

/* The owner chosen with an old view is in the hop list of the new view. */
TEST(stale_view)
{
    struct fixture old, new;

    fixture_init(&old, 7);
    fixture_build(&old);
    fixture_init(&new, 9);
    new.view->members[0].state = MEMBER_LEAVING;
    fixture_build(&new);
    for (uint32_t i = 0; i < FLOWS; i++) {
        struct gue by_old =
            decide(&old, i, PACKET_TCP_SYN, AFTER_SLOW_START_US);
        struct gue by_new =
            decide(&new, i, PACKET_TCP_ACK, AFTER_SLOW_START_US);
        bool found = false;
        for (size_t hop = 0; hop < by_new.count; hop++)
            found |= by_new.hops[hop].member == by_old.hops[0].member;
        g_assert_true(found);
    }
    fixture_finish(&old);
    fixture_finish(&new);
}

static size_t
count_first(const struct fixture *fixture, uint64_t member, uint64_t now_us)
{
    size_t count = 0;
    for (uint32_t i = 0; i < FLOWS; i++)
        count += decide(fixture, i, PACKET_TCP_SYN, now_us).hops[0].member ==
                 member;
    return count;
}

/* The share of a cold endpoint grows over the slow start. */
TEST_F(fixture, slow_start, 4)
{
    uint64_t cold;

    cold = fixture->view->members[2].id;
    fixture_build(fixture);
    size_t full = count_first(fixture, cold, AFTER_SLOW_START_US);

    fixture->view->members[2].state = MEMBER_WARMING;
    fixture_build(fixture);
    size_t at_0 = count_first(fixture, cold, ROUTE_FIXTURE_FIRST_SEEN_US);
    size_t at_5 = count_first(
        fixture, cold, ROUTE_FIXTURE_FIRST_SEEN_US + ROUTE_SLOW_START_US / 2);
    size_t at_10 = count_first(fixture, cold, AFTER_SLOW_START_US);
    g_assert_cmpuint(at_0, >, full / 8);
    g_assert_cmpuint(at_0, <, full * 3 / 8);
    g_assert_cmpuint(at_5, >, full / 2);
    g_assert_cmpuint(at_5, <, full * 3 / 4);
    g_assert_cmpuint(at_10, ==, full);

    /* A flow in the share stays in it; established flows do not move. */
    for (uint32_t i = 0; i < FLOWS; i++) {
        struct gue early =
            decide(fixture, i, PACKET_TCP_SYN, ROUTE_FIXTURE_FIRST_SEEN_US);
        struct gue late =
            decide(fixture, i, PACKET_TCP_SYN,
                   ROUTE_FIXTURE_FIRST_SEEN_US + ROUTE_SLOW_START_US / 2);
        if (early.hops[0].member == cold)
            g_assert_cmpuint(late.hops[0].member, ==, cold);
        struct gue established =
            decide(fixture, i, PACKET_TCP_ACK, ROUTE_FIXTURE_FIRST_SEEN_US);
        check_hops(fixture, &established, i, false);
    }

    /* If all endpoints are cold, rank decides. */
    for (size_t i = 0; i < 4; i++)
        fixture->view->members[i].state = MEMBER_WARMING;
    fixture_build(fixture);
    for (uint32_t i = 0; i < FLOWS; i++) {
        struct gue open =
            decide(fixture, i, PACKET_TCP_SYN, ROUTE_FIXTURE_FIRST_SEEN_US);
        check_hops(fixture, &open, i, true);
    }
}
