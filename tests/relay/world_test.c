/* Runs the simulation in world.h with several fault plans and seeds: flows
 * must reach their endpoints, and requests must be answered, despite the
 * faults. */
#include <stdlib.h>

#include "lib/harness.h"
#include "relay/world.h"

#define SUITE "/relay/world"

/* Default number of seeds. WORLD_SEEDS=N runs others, from WORLD_FIRST on;
 * WORLD_TRACE=N traces the flow of caller N. */
#define SEEDS 16
#define FAULTY_MS 1500

/* Covers an agent's silence, the orphan queries about it and its return. */
#define PARTITION_FAULTY_MS 5000

/* Covers a few restarts and drains of each host. */
#define LISTENER_FAULTY_MS 3000

static unsigned
env_number(const char *name, unsigned fallback)
{
    const char *text = g_getenv(name);

    return text != NULL ? (unsigned)strtoul(text, NULL, 10) : fallback;
}

/* Runs the seeds of a plan; returns the answered flows in 1000. */
static unsigned
run_plan_for(const struct world_plan *plan, unsigned faulty_ms)
{
    unsigned seeds = env_number("WORLD_SEEDS", SEEDS);
    unsigned first = env_number("WORLD_FIRST", 1);
    unsigned opened = 0;
    unsigned answered = 0;
    unsigned resets = 0;

    for (unsigned seed = first; seed < first + seeds; seed++) {
        struct world_result result;

        world_run(seed, plan, faulty_ms, &result);
        if (result.violation[0] != '\0') {
            g_test_message("seed %u: %s", seed, result.violation);
            g_test_fail();
        }
        opened += result.opened;
        answered += result.answered;
        resets += result.resets;
    }
    g_test_message("%u seeds, %u flows, %u answered, %u resets", seeds, opened,
                   answered, resets);
    g_assert_cmpuint(opened, >, 0);
    return (unsigned)(answered * 1000ull / opened);
}

static unsigned
run_plan(const struct world_plan *plan)
{
    return run_plan_for(plan, FAULTY_MS);
}

static void
run_plan_seeds_for(const struct world_plan *plan, unsigned faulty_ms,
                   const uint32_t *seeds, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        struct world_result result;

        world_run(seeds[i], plan, faulty_ms, &result);
        g_assert_cmpstr(result.violation, ==, "");
    }
}

static void
run_plan_seeds(const struct world_plan *plan, const uint32_t *seeds,
               size_t count)
{
    run_plan_seeds_for(plan, FAULTY_MS, seeds, count);
}

TEST(without_faults_all_requests_are_answered)
{
    static const struct world_plan plan = {.new_flows = 600};

    /* Flows opened last are still open. */
    g_assert_cmpuint(run_plan(&plan), >=, 960);
}

TEST(rehashed_flows_are_not_lost)
{
    static const struct world_plan plan = {.new_flows = 600, .rehash = 200};

    g_assert_cmpuint(run_plan(&plan), >=, 960);
}

TEST(lost_datagrams)
{
    static const struct world_plan plan = {
        .new_flows = 600, .rehash = 50, .loss = 30};

    g_assert_cmpuint(run_plan(&plan), >=, 900);
}

TEST(agents_restart)
{
    static const struct world_plan plan = {
        .new_flows = 600, .rehash = 50, .agent_restart = 50, .loss = 5};

    g_assert_cmpuint(run_plan(&plan), >=, 900);
}

TEST(balancers_restart)
{
    static const struct world_plan plan = {
        .new_flows = 600, .rehash = 50, .balancer_restart = 50};

    g_assert_cmpuint(run_plan(&plan), >=, 900);
}

/* Delayed SYNs are answered by several endpoints. */
static const struct world_plan delayed_syns = {
    .new_flows = 600, .rehash = 50, .stall = 100, .closing = true};

TEST(a_delayed_syn_misroutes_no_packet)
{
    g_assert_cmpuint(run_plan(&delayed_syns), >=, 900);
}

TEST(endpoints_drain_and_crash)
{
    static const struct world_plan plan = {.new_flows = 600,
                                           .endpoint_crash = 20,
                                           .endpoint_drain = 20,
                                           .rehash = 50};

    g_assert_cmpuint(run_plan(&plan), >=, 500);
}

static const struct world_plan addresses_move = {
    .new_flows = 600, .reuse = 30, .rehash = 50, .loss = 5};

TEST(addresses_move_to_another_service)
{
    g_assert_cmpuint(run_plan(&addresses_move), >=, 500);
}

/* Routes move between services while flows stay open for many requests, longer
 * than a configuration stays in force. */
static const struct world_plan routes_move = {
    .new_flows = 300,
    .rehash = 50,
    .route_moves = 10,
    .requests = 8,
    .pause_ms = 900,
};

TEST(flows_outlive_the_service_of_their_route)
{
    g_assert_cmpuint(run_plan_for(&routes_move, PARTITION_FAULTY_MS), >=, 300);
}

TEST(flows_outlive_the_service_of_their_route_among_faults)
{
    struct world_plan plan = routes_move;

    plan.loss = 10;
    plan.agent_restart = 10;
    plan.balancer_restart = 15;
    plan.endpoint_crash = 3;
    plan.endpoint_drain = 2;
    plan.reuse = 2;
    plan.freeze = 5;
    plan.config = 3;
    plan.stall = 20;
    g_assert_cmpuint(run_plan_for(&plan, PARTITION_FAULTY_MS), >=, 100);
}

/* Guards against a reset by an endpoint that has just started. */
TEST(regressions_of_moved_addresses)
{
    static const uint32_t seeds[] = {280};

    run_plan_seeds(&addresses_move, seeds, G_N_ELEMENTS(seeds));
}

/* All flow state is lost: callers of earlier flows must be reset. */
static const struct world_plan restart_all = {
    .new_flows = 600, .restart_all = true, .reported = true};

TEST(after_a_restart_of_all_hosts_callers_are_reset)
{
    g_assert_cmpuint(run_plan(&restart_all), >=, 800);
}

static const struct world_plan restart_all_among_faults = {
    .new_flows = 600,
    .restart_all = true,
    .loss = 10,
    .rehash = 50,
    .agent_restart = 15,
    .balancer_restart = 15,
    .endpoint_crash = 10,
    .freeze = 10,
    .stall = 50,
    .closing = true,
};

TEST(a_restart_of_all_hosts_among_other_faults)
{
    g_assert_cmpuint(run_plan(&restart_all_among_faults), >=, 400);
}

/* Many restarts and drains, so that many probes are refused. */
#define LISTENER_FAULTS                                                       \
    .loss = 10, .rehash = 50, .agent_restart = 30, .balancer_restart = 30,    \
    .endpoint_crash = 10, .endpoint_drain = 30, .freeze = 10, .stall = 50,    \
    .requests = 6

/* A refused connection of a probe doesn't show that the process has ended. */
static const struct world_plan closed_listeners = {
    .new_flows = 600,
    LISTENER_FAULTS,
    .pause_ms = 300,
    .closing = true,
    .closed_listeners = true,
};

TEST(endpoints_without_a_listener_keep_their_flows)
{
    g_assert_cmpuint(run_plan_for(&closed_listeners, LISTENER_FAULTY_MS), >=,
                     100);
}

static const struct world_plan crowded_closed_listeners = {
    .new_flows = 1000,
    LISTENER_FAULTS,
    .pause_ms = 100,
    .work_ms = 100,
    .timeout_ms = 1200,
    .closing = true,
    .closed_listeners = true,
    .scheduling = true,
};

TEST(scheduled_requests_at_endpoints_without_a_listener)
{
    g_assert_cmpuint(
        run_plan_for(&crowded_closed_listeners, LISTENER_FAULTY_MS), >=, 50);
}

/* Guards against resets of all flows of an endpoint that lives, by a balancer
 * (2, 9, 4, 7) and by its agent (25, 39), as a probe found no listener; and
 * against a copy of an unanswered SYN at a draining endpoint (71). */
TEST(regressions_of_closed_listeners)
{
    static const uint32_t seeds[] = {2, 9};
    static const uint32_t scheduled[] = {4, 7, 25, 39, 71};

    run_plan_seeds_for(&closed_listeners, LISTENER_FAULTY_MS, seeds,
                       G_N_ELEMENTS(seeds));
    run_plan_seeds_for(&crowded_closed_listeners, LISTENER_FAULTY_MS,
                       scheduled, G_N_ELEMENTS(scheduled));
}

/* Guards against: an agent listed during an orphan query (2647); a SYN queued
 * although the endpoint holds its flow (5025); a SYN+ACK of an endpoint's
 * previous incarnation (20249, 26803, 29642). */
TEST(regressions_of_a_restart_of_all_hosts)
{
    static const uint32_t seeds[] = {2647, 5025, 20249, 26803, 29642};

    run_plan_seeds(&restart_all_among_faults, seeds, G_N_ELEMENTS(seeds));
}

/* Rates of all kinds of faults; plans add load and their own. */
#define ALL_FAULTS                                                            \
    .loss = 10, .rehash = 50, .agent_restart = 15, .balancer_restart = 15,    \
    .endpoint_crash = 10, .endpoint_drain = 5, .reuse = 10, .freeze = 10,     \
    .config = 30

static const struct world_plan all_faults = {
    .new_flows = 600,
    ALL_FAULTS,
};

TEST(all_faults_together)
{
    g_assert_cmpuint(run_plan(&all_faults), >=, 400);
}

/* Adds stalled balancers and callers that close their flows. */
TEST(all_faults_with_stalls)
{
    struct world_plan plan = all_faults;

    plan.stall = 50;
    plan.closing = true;
    g_assert_cmpuint(run_plan(&plan), >=, 400);
}

/* Guards against an agent listed during an orphan query. */
TEST(regressions_of_all_faults_with_stalls)
{
    static const uint32_t seeds[] = {1539, 2195};
    struct world_plan plan = all_faults;

    plan.stall = 50;
    plan.closing = true;
    run_plan_seeds(&plan, seeds, G_N_ELEMENTS(seeds));
}

/* Guards against: a route dropped between two attempts (26); resets of open
 * flows (4, 36, 201574); a delayed duplicate SYN at a draining endpoint or at
 * one of another service (103154, 106433, 205734, 105668); resets by endpoints
 * that have just started (35, 142, 192, 257). */
TEST(regressions_of_all_faults)
{
    static const uint32_t seeds[] = {
        26, 4, 36, 201574, 103154, 106433, 205734, 105668, 35, 142, 192, 257};

    run_plan_seeds(&all_faults, seeds, G_N_ELEMENTS(seeds));
}

/* The other data centres have capacity for all callers. */
TEST(an_evacuated_data_centre_loses_no_caller)
{
    static const struct world_plan plan = {
        .new_flows = 600,
        .rehash = 50,
        .evacuate = 10,
        .evacuated_max = 1,
    };

    g_assert_cmpuint(run_plan_for(&plan, PARTITION_FAULTY_MS), >=, 960);
}

/* Evacuations among a few faults of each kind. */
#define EVACUATION_FAULTS                                                     \
    .loss = 10, .rehash = 50, .agent_restart = 5, .balancer_restart = 5,      \
    .endpoint_crash = 5, .endpoint_drain = 2, .freeze = 5, .config = 10,      \
    .stall = 20, .evacuate = 20

/* All data centres may be evacuated at once: callers are refused then. */
static const struct world_plan evacuations_among_faults = {
    .new_flows = 600,
    EVACUATION_FAULTS,
    .evacuated_max = WORLD_DATA_CENTRES,
};

TEST(evacuations_among_other_faults)
{
    g_assert_cmpuint(
        run_plan_for(&evacuations_among_faults, PARTITION_FAULTY_MS), >=, 200);
}

/* Guards against a store reader that skips an intermediate state and leaves
 * agents in it. */
TEST(regressions_of_evacuations)
{
    struct world_result result;

    world_run(1115, &evacuations_among_faults, PARTITION_FAULTY_MS, &result);
    g_assert_cmpstr(result.violation, ==, "");
}

/* The store is repeatedly restored from an older snapshot: evacuations and
 * agents' objects are missing until they are written again. */
static const struct world_plan store_restores = {
    .new_flows = 600,
    EVACUATION_FAULTS,
    .evacuated_max = 1,
    .store_restore = 5,
    .requests = 4,
    .pause_ms = 600,
    .restart_all = true,
};

TEST(store_restores_among_other_faults)
{
    g_assert_cmpuint(run_plan_for(&store_restores, PARTITION_FAULTY_MS), >=,
                     100);
}

/* Guards against readers that know no evacuations half a second after a loss
 * of all hosts, as the store came back older in between. */
TEST(regressions_of_store_restores)
{
    struct world_result result;

    world_run(437, &store_restores, PARTITION_FAULTY_MS, &result);
    g_assert_cmpstr(result.violation, ==, "");
}

/* More requests than slots, so they are queued on open flows: 100 requests a
 * second, of 200 ms each, for 18 slots. */
static const struct world_plan overload = {
    .new_flows = 1000,
    .work_ms = 200,
    .timeout_ms = 3000,
};

TEST(requests_are_queued_when_slots_are_taken)
{
    g_assert_cmpuint(run_plan(&overload), >=, 700);
}

static const struct world_plan overload_among_faults = {
    .new_flows = 1000,
    ALL_FAULTS,
    .work_ms = 200,
    .timeout_ms = 3000,
    .stall = 50,
    .closing = true,
};

TEST(requests_are_queued_among_faults)
{
    g_assert_cmpuint(run_plan(&overload_among_faults), >=, 200);
}

/* Four times the requests that 18 slots serve, on flows that stay open. */
static const struct world_plan crowded = {
    .new_flows = 1000,
    .work_ms = 100,
    .timeout_ms = 1200,
    .requests = 4,
    .pause_ms = 100,
    .stall = 50,
    .freeze = 20,
    .rehash = 20,
    .scheduling = true,
};

/* New flows are refused; one that an endpoint holds is never reset. */
TEST(requests_are_scheduled_on_open_flows)
{
    g_assert_cmpuint(run_plan(&crowded), >=, 400);
}

static const struct world_plan crowded_among_faults = {
    .new_flows = 1000,
    ALL_FAULTS,
    .work_ms = 100,
    .timeout_ms = 1200,
    .requests = 4,
    .pause_ms = 100,
    .stall = 50,
    .closing = true,
    .scheduling = true,
};

TEST(requests_are_scheduled_among_faults)
{
    g_assert_cmpuint(run_plan(&crowded_among_faults), >=, 200);
}

/* Guards against a reset of an open flow because an agent that has restarted
 * refused a copy of its SYN (776) or a packet for another service (1206). */
TEST(regressions_of_refusals_after_a_restart)
{
    static const uint32_t seeds[] = {776, 1206};

    run_plan_seeds(&crowded_among_faults, seeds, G_N_ELEMENTS(seeds));
}

/* Guards against a SYN to a draining endpoint that was taken for silent and
 * answered since. */
TEST(regressions_of_silent_draining_endpoints)
{
    static const uint32_t queued[] = {1197};
    static const uint32_t scheduled[] = {860, 2181, 2519, 2728, 3296};

    run_plan_seeds(&overload_among_faults, queued, G_N_ELEMENTS(queued));
    run_plan_seeds(&crowded_among_faults, scheduled, G_N_ELEMENTS(scheduled));
}

TEST(requests_are_queued_while_addresses_move_and_agents_restart)
{
    static const struct world_plan plan = {
        .new_flows = 1000,
        .work_ms = 200,
        .timeout_ms = 3000,
        .reuse = 20,
        .rehash = 50,
        .loss = 10,
        .agent_restart = 20,
        .balancer_restart = 10,
        .evacuate = 10,
        .evacuated_max = 1,
    };

    g_assert_cmpuint(run_plan_for(&plan, PARTITION_FAULTY_MS), >=, 200);
}

/* Guards against a closing caller's packets that reach an endpoint whose own
 * handshake with the caller is pending. */
TEST(regressions_of_delayed_syns)
{
    static const uint32_t seeds[] = {7, 11, 12, 43, 63, 74, 77};

    run_plan_seeds(&delayed_syns, seeds, G_N_ELEMENTS(seeds));
}

/* Partitioned agents may hold flows that are reset as orphans; flows of other
 * agents must stay open. */
static unsigned
run_partitioned(unsigned agents)
{
    const struct world_plan plan = {
        .new_flows = 400,
        .loss = 10,
        .rehash = 50,
        .balancer_restart = 10,
        .agent_restart = 5,
        .endpoint_crash = 10,
        .partition = 20,
        .partitioned_agents = agents,
    };

    return run_plan_for(&plan, PARTITION_FAULTY_MS);
}

TEST(a_tenth_of_the_agents_partitioned)
{
    g_assert_cmpuint(run_partitioned(1), >=, 500);
}

TEST(a_third_of_the_agents_partitioned)
{
    g_assert_cmpuint(run_partitioned(3), >=, 300);
}

TEST(half_of_the_agents_partitioned)
{
    g_assert_cmpuint(run_partitioned(5), >=, 200);
}
