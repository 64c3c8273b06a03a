#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/forwarder/agents.h"
#include "relay/relay_fixture.h"

/* Placement of new flows by expected wait. */
#define SUITE "/relay/agents_wait"

#define AGENTS_MAX 544
#define BALANCERS 303
#define TYPICAL_UNITS 200 /* 20 ms */
#define SLOTS 2
#define NET 0x0a000000

/**
 * struct fixture - a balancer in "here" with agents of one service
 * @agents: its table
 * @count: number of agents
 * @service: their service
 * @health: their reports
 * @placed: flows placed at each
 * @now_us: the time
 * @changes: changes of level
 * @flows: flows placed so far
 */
struct fixture {
    struct agents agents;
    unsigned count;
    uint32_t service;
    struct frame_health health[AGENTS_MAX];
    unsigned placed[AGENTS_MAX];
    uint64_t now_us;
    unsigned changes;
    unsigned flows;
};

static void
level_changed(void *data, const struct agent_row *row, uint64_t median_us)
{
    ((struct fixture *)data)->changes++;
}

static struct addr
agent_addr(unsigned number)
{
    return (struct addr){NET + 1 + number, 7000};
}

static void
report(struct fixture *fixture, unsigned number)
{
    struct agents_observer observer = {level_changed, fixture};

    agents_update_health(&fixture->agents, agent_addr(number),
                         &fixture->health[number], fixture->now_us);
    agents_update_levels(&fixture->agents, agent_addr(number), &observer,
                         fixture->now_us);
}

static void
report_all(struct fixture *fixture)
{
    fixture->now_us += 200 * USEC_PER_MSEC;
    for (unsigned i = 0; i < fixture->count; i++) {
        report(fixture, i);
    }
}

static void
init(struct fixture *fixture, unsigned count, bool expected_wait)
{
    fixture->count = count;
    fixture->service = hash_service("lots");
    fixture->now_us = 100 * USEC_PER_SEC;
    agents_init(&fixture->agents, "here");
    fixture->agents.expected_wait = expected_wait;
    for (unsigned i = 0; i < count; i++) {
        agents_list(&fixture->agents, agent_addr(i), fixture->service, "here",
                    fixture->now_us);
        fixture->health[i] = (struct frame_health){
            .service = fixture->service,
            .state = ENDPOINT_READY,
            .slots = SLOTS,
            .load = {.known = true, .service_time = TYPICAL_UNITS},
        };
    }
}

static void
choose(struct fixture *fixture, struct agents_choice *choice)
{
    struct region_affinity any = {0};

    agents_for_new(&fixture->agents, fixture->service, &any,
                   hash_pair(fixture->flows++, 7), fixture->now_us, choice);
}

/* Places a flow that stays open; returns its agent's number. */
static unsigned
place(struct fixture *fixture)
{
    struct agents_choice choice;
    unsigned number;

    choose(fixture, &choice);
    g_assert_cmpuint(choice.count, >, 0);
    number = choice.addrs[0].ip - NET - 1;
    fixture->placed[number]++;
    agents_sent(&fixture->agents, choice.addrs[0], fixture->now_us);
    return number;
}

/* Places many kept-open flows. Each agent reports as many times as it gets
 * flows on average between two reports: @stale of them. */
static void
place_many(struct fixture *fixture, unsigned per_agent, unsigned stale)
{
    for (unsigned i = 0; i < per_agent * fixture->count; i++) {
        unsigned number;

        if (i % (stale * fixture->count) == 0) {
            report_all(fixture);
        }
        number = place(fixture);
        fixture->health[number].load.flows++;
        fixture->now_us += USEC_PER_MSEC;
    }
}

/* Flows of the busiest of some agents, in 1/100 of their mean. */
static unsigned
busiest(const struct fixture *fixture, unsigned first, unsigned count)
{
    unsigned most = 0;
    unsigned sum = 0;

    for (unsigned i = first; i < first + count; i++) {
        most = MAX(most, fixture->placed[i]);
        sum += fixture->placed[i];
    }
    return 100 * most * count / MAX(sum, 1);
}

static unsigned
placed_at(const struct fixture *fixture, unsigned first, unsigned count)
{
    unsigned sum = 0;

    for (unsigned i = first; i < first + count; i++) {
        sum += fixture->placed[i];
    }
    return sum;
}

static void
finish(struct fixture *fixture)
{
    agents_finish(&fixture->agents);
    g_free(fixture);
}

/* Choices of 1000 flows with random loads, one after the other. */
static void
record_choices(struct fixture *fixture, GArray *addrs)
{
    GRand *rand = g_rand_new_with_seed(3);

    for (unsigned i = 0; i < 1000; i++) {
        unsigned number = (unsigned)g_rand_int_range(rand, 0, 54);
        struct agents_choice choice;

        fixture->health[number].busy = (uint8_t)g_rand_int_range(rand, 0, 5);
        fixture->now_us += USEC_PER_MSEC;
        report(fixture, number);
        choose(fixture, &choice);
        agents_sent(&fixture->agents, choice.addrs[0], fixture->now_us);
        g_array_append_vals(addrs, choice.addrs, choice.count);
    }
    g_rand_free(rand);
}

TEST(agents_without_load_are_chosen_as_without_the_setting)
{
    struct fixture *off = g_new0(struct fixture, 1);
    struct fixture *on = g_new0(struct fixture, 1);
    GArray *off_addrs = g_array_new(FALSE, FALSE, sizeof(struct addr));
    GArray *on_addrs = g_array_new(FALSE, FALSE, sizeof(struct addr));

    init(off, 54, false);
    init(on, 54, true);
    for (unsigned i = 0; i < 54; i++) {
        on->health[i].load = (struct frame_load){0};
    }
    record_choices(off, off_addrs);
    record_choices(on, on_addrs);
    g_assert_cmpmem(off_addrs->data, off_addrs->len * sizeof(struct addr),
                    on_addrs->data, on_addrs->len * sizeof(struct addr));
    g_assert_cmpuint(on->changes, ==, 0);
    g_array_free(off_addrs, TRUE);
    g_array_free(on_addrs, TRUE);
    finish(off);
    finish(on);
}

TEST(a_third_four_times_slower_gets_a_small_part_of_the_flows)
{
    struct fixture *fixture = g_new0(struct fixture, 1);

    init(fixture, 54, true);
    for (unsigned i = 0; i < 18; i++) {
        fixture->health[i].load.service_time = 4 * TYPICAL_UNITS;
    }
    place_many(fixture, 40, 1);
    g_assert_cmpuint(placed_at(fixture, 0, 18), <, 54 * 40 / 10);
    finish(fixture);
}

TEST(a_quarter_eight_times_slower_gets_hardly_a_flow)
{
    struct fixture *fixture = g_new0(struct fixture, 1);

    init(fixture, 54, true);
    for (unsigned i = 0; i < 13; i++) {
        fixture->health[i].load.service_time = 8 * TYPICAL_UNITS;
    }
    place_many(fixture, 40, 1);
    g_assert_cmpuint(placed_at(fixture, 0, 13), <, 54 * 40 / 50);
    finish(fixture);
}

TEST(one_that_hangs_gets_a_trial_a_second)
{
    struct fixture *fixture = g_new0(struct fixture, 1);

    init(fixture, 7, true);
    fixture->health[3].load.stuck = SLOTS;
    for (unsigned i = 0; i < 50; i++) {
        report_all(fixture);
        place(fixture);
        place(fixture);
    }
    g_assert_cmpuint(fixture->placed[3], >=, 8);
    g_assert_cmpuint(fixture->placed[3], <=, 11);
    finish(fixture);
}

TEST(one_that_hangs_isnt_on_the_path_of_other_flows)
{
    struct fixture *fixture = g_new0(struct fixture, 1);
    struct agents_choice choice;

    init(fixture, 6, true);
    fixture->health[3].load.stuck = SLOTS;
    report_all(fixture);
    agents_sent(&fixture->agents, agent_addr(3), fixture->now_us);
    for (unsigned i = 0; i < 100; i++) {
        choose(fixture, &choice);
        g_assert_cmpuint(choice.count, ==, 5);
    }
    finish(fixture);
}

TEST(all_that_hang_stay_on_the_path)
{
    struct fixture *fixture = g_new0(struct fixture, 1);
    struct agents_choice choice;

    init(fixture, 6, true);
    for (unsigned i = 0; i < 6; i++) {
        fixture->health[i].load.stuck = SLOTS;
    }
    report_all(fixture);
    choose(fixture, &choice);
    g_assert_cmpuint(choice.count, ==, 6);
    finish(fixture);
}

TEST(kept_open_flows_are_even_at_7_54_and_544_endpoints)
{
    static const unsigned counts[] = {7, 54, 544};

    for (unsigned i = 0; i < G_N_ELEMENTS(counts); i++) {
        struct fixture *fixture = g_new0(struct fixture, 1);

        init(fixture, counts[i], true);
        place_many(fixture, 100, 4);
        g_test_message("%u endpoints: busiest / mean %u/100", counts[i],
                       busiest(fixture, 0, counts[i]));
        g_assert_cmpuint(busiest(fixture, 0, counts[i]), <=, 110);
        finish(fixture);
    }
}

TEST(balancers_with_the_same_old_view_dont_all_choose_one_idle_endpoint)
{
    struct fixture *fixture = g_new0(struct fixture, 1);

    init(fixture, 54, true);
    for (unsigned i = 0; i < 54; i++) {
        fixture->health[i].load.flows = i == 0 ? 0 : 50;
    }
    for (unsigned i = 0; i < BALANCERS; i++) {
        /* Another balancer has the same reports and has sent nothing. */
        report_all(fixture);
        place(fixture);
    }
    g_test_message("the idle one got %u of %u flows", fixture->placed[0],
                   BALANCERS);
    g_assert_cmpuint(fixture->placed[0], <, BALANCERS * 12 / 54);
    finish(fixture);
}

TEST(waves_out_of_step_spill_to_an_idle_data_centre_and_back)
{
    struct fixture *fixture = g_new0(struct fixture, 1);
    unsigned spilled;

    init(fixture, 12, true);
    for (unsigned i = 6; i < 12; i++) {
        agents_list(&fixture->agents, agent_addr(i), fixture->service, "there",
                    fixture->now_us);
    }
    for (unsigned i = 0; i < 6; i++) {
        agents_add_rtt(&fixture->agents, agent_addr(i), 1000);
        agents_add_rtt(&fixture->agents, agent_addr(6 + i), 5000);
    }
    report_all(fixture);
    for (unsigned i = 0; i < 100; i++) {
        (void)place(fixture);
        fixture->now_us += 30 * USEC_PER_MSEC;
    }
    spilled = placed_at(fixture, 6, 6);
    g_assert_cmpuint(spilled, <, 5);
    for (unsigned i = 0; i < 6; i++) {
        fixture->health[i].busy = 4 * SLOTS;
    }
    for (unsigned i = 0; i < 100; i++) {
        report_all(fixture);
        (void)place(fixture);
    }
    g_assert_cmpuint(placed_at(fixture, 6, 6) - spilled, >, 90);
    spilled = placed_at(fixture, 6, 6);
    for (unsigned i = 0; i < 6; i++) {
        fixture->health[i].busy = 0;
    }
    for (unsigned i = 0; i < 100; i++) {
        report_all(fixture);
        (void)place(fixture);
    }
    g_assert_cmpuint(placed_at(fixture, 6, 6) - spilled, <, 5);
    finish(fixture);
}

TEST(an_old_report_of_a_slow_endpoint_no_longer_counts)
{
    struct fixture *fixture = g_new0(struct fixture, 1);
    const struct agent_row *row;
    uint64_t slow_us;

    init(fixture, 7, true);
    fixture->health[3].load.service_time = 8 * TYPICAL_UNITS;
    report_all(fixture);
    report_all(fixture);
    row = agents_find(&fixture->agents, agent_addr(3));
    slow_us = agents_wait_us(&fixture->agents, row, fixture->now_us);
    g_assert_cmpint(row->level.kind, ==, ENDPOINT_LEVEL_REDUCED);
    for (unsigned i = 0; i < 35; i++) {
        fixture->now_us += 200 * USEC_PER_MSEC;
        report(fixture, 0);
        report(fixture, 1);
    }
    g_assert_cmpint(row->level.kind, ==, ENDPOINT_LEVEL_NORMAL);
    g_assert_cmpuint(agents_wait_us(&fixture->agents, row, fixture->now_us), <,
                     slow_us / 4);
    finish(fixture);
}

TEST(nonsense_in_a_report_costs_new_flows_only_at_its_own_agent)
{
    struct fixture *fixture = g_new0(struct fixture, 1);

    init(fixture, 7, true);
    fixture->health[3].busy = UINT8_MAX;
    fixture->health[3].slots = 0;
    fixture->health[3].load =
        (struct frame_load){true,      UINT16_MAX, UINT16_MAX, UINT8_MAX,
                            UINT8_MAX, UINT16_MAX, UINT16_MAX};
    place_many(fixture, 40, 1);
    g_assert_cmpuint(placed_at(fixture, 0, 7) - fixture->placed[3], >, 240);
    g_assert_cmpuint(fixture->changes, <=, 2);
    finish(fixture);
}

TEST(a_restarted_agent_counts_like_the_median_one)
{
    struct fixture *fixture = g_new0(struct fixture, 1);
    const struct agent_row *row;

    init(fixture, 7, true);
    fixture->health[3].load.service_time = 8 * TYPICAL_UNITS;
    report_all(fixture);
    report_all(fixture);
    fixture->health[3].load.service_time = 0;
    report(fixture, 3);
    row = agents_find(&fixture->agents, agent_addr(3));
    g_assert_cmpuint(agents_wait_us(&fixture->agents, row, fixture->now_us),
                     ==, 20 * USEC_PER_MSEC);
    for (unsigned i = 0; i < 5; i++) {
        report_all(fixture);
    }
    g_assert_cmpint(row->level.kind, ==, ENDPOINT_LEVEL_NORMAL);
    finish(fixture);
}
