/* New flows that a gate, such as the operators' limits, refuses. */
#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/forwarder_fixture.h"

#define SUITE "/relay/forwarder_gate"

/* Age of a SYN's second copy. */
#define COPY_AGE_MS 200

/**
 * struct fake_gate - a gate that records what it is asked
 * @gate: passed to the forwarder
 * @open: its reply
 * @asked: number of questions
 * @service: service of the last one
 */
struct fake_gate {
    struct forwarder_gate gate;
    bool open;
    unsigned asked;
    uint32_t service;
};

static bool
fake_gate_allows(struct forwarder_gate *gate, struct relay_flow flow,
                 const struct route *route, uint32_t service, uint64_t now_us)
{
    struct fake_gate *fake_gate = (struct fake_gate *)gate;

    fake_gate->asked++;
    fake_gate->service = service;
    return fake_gate->open;
}

static const struct forwarder_gate_ops fake_gate_ops = {fake_gate_allows};

static void
receive_syn(struct fixture *fixture, unsigned flow, uint32_t copy)
{
    struct relay_packet packet =
        fixture_from_caller(fixture_flow(flow), RELAY_SYN, 9, copy, 0);

    packet.age_ms = (uint16_t)(copy * COPY_AGE_MS);
    fixture_receive(fixture, packet);
}

TEST_F(fixture, a_refused_flow_is_reset_at_once_and_stays_unopened, 3)
{
    struct fake_gate fake_gate = {.gate.ops = &fake_gate_ops};

    fixture->forwarder.gate = &fake_gate.gate;
    /* The limits hold while the store is away, unlike the configuration. */
    fixture->forwarder.current = false;
    receive_syn(fixture, 1, 0);
    g_assert_cmpuint(fake_gate.asked, ==, 1);
    g_assert_cmpuint(fake_gate.service, ==, hash_service("lots"));
    g_assert_cmpuint(fixture->forwarded, ==, 0);
    g_assert_cmpuint(fixture->forwarder.flows.used, ==, 0);
    g_assert_nonnull(strstr(fixture->record->str, "reset "));
    fixture_advance_ms(fixture, 100);
    g_assert_cmpuint(fixture->forwarded, ==, 0);
}

TEST_F(fixture, a_later_copy_is_refused_without_a_reset, 3)
{
    struct fake_gate fake_gate = {.gate.ops = &fake_gate_ops};

    fixture->forwarder.gate = &fake_gate.gate;
    receive_syn(fixture, 1, 1);
    g_assert_cmpuint(fixture->forwarded, ==, 0);
    g_assert_cmpuint(fixture->forwarder.flows.used, ==, 0);
    g_assert_cmpstr(fixture->record->str, ==, "");
}

/* While it was queued, the caller may have sent a copy to another balancer. */
TEST_F(fixture, a_first_copy_that_was_queued_is_refused_without_a_reset, 3)
{
    struct fake_gate fake_gate = {.gate.ops = &fake_gate_ops};
    struct relay_packet packet =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0);

    fixture->forwarder.gate = &fake_gate.gate;
    packet.age_ms = COPY_AGE_MS + 50;
    fixture_receive(fixture, packet);
    g_assert_cmpuint(fake_gate.asked, ==, 1);
    g_assert_cmpuint(fixture->forwarded, ==, 0);
    g_assert_cmpstr(fixture->record->str, ==, "");
}

TEST_F(fixture, an_open_flow_is_never_cut_by_a_gate_that_closes, 3)
{
    struct fake_gate fake_gate = {.gate.ops = &fake_gate_ops, .open = true};

    fixture->forwarder.gate = &fake_gate.gate;
    receive_syn(fixture, 1, 0);
    g_assert_cmpuint(fixture->forwarded, ==, 1);
    fake_gate.open = false;
    /* A copy of a SYN that was let through. */
    receive_syn(fixture, 1, 1);
    fixture_established(fixture, fixture->sent, 1, 500);
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 10, 501, 20));
    /* A flow that the network moved here from another balancer. */
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(2), RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(fake_gate.asked, ==, 1);
    g_assert_cmpuint(fixture->forwarded, ==, 4);
    g_assert_cmpstr(fixture->record->str, ==, "");
}
