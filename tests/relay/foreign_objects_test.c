/* Drawn foreign objects in the store: what a balancer knows of its
 * agents and evacuations is as before, and the agents' own objects count. */
#include <string.h>

#include <json-c/json.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/program/relay_balancer_private.h"
#include "relay/relay_fixture.h"
#include "relay/store/registration.h"

#define SUITE "/relay/foreign_objects"

#define STORIES 40
#define STEPS 300
#define AGENTS 4
#define SELF "10.9.0.1:7720"

/**
 * struct fixture - a balancer without sockets and store
 * @notified: whether the last ping to each agent asked for its object
 */
struct fixture {
    struct relay_balancer *balancer;
    bool notified[AGENTS];
    bool foreign[AGENTS];
};

static const char *const services[AGENTS] = {"lots", "albums", "lots",
                                             "albums"};
static struct fixture *pinged;
static uint64_t now_us;

static uint64_t
clock_now(struct clock *clock)
{
    return now_us;
}

static const struct clock_ops clock_ops = {clock_now};

static struct addr
agent_addr(unsigned number)
{
    return (struct addr){0x0a000001 + number, 7000};
}

static void
on_ping(struct forwarder_out *out, struct addr agent, bool unlisted)
{
    unsigned number = agent.ip - agent_addr(0).ip;

    g_assert_cmpuint(number, <, AGENTS);
    pinged->notified[number] = unlisted;
}

static void
on_readers(struct forwarder_out *out, struct frame_readers others)
{
}

static void
on_level(struct forwarder_out *out, const struct agent_row *row,
         uint64_t median_us)
{
}

static const struct forwarder_out_ops out_ops = {
    .ping = on_ping,
    .readers = on_readers,
    .level_changed = on_level,
};

static void
add_route(struct routes *routes, const char *address, const char *service)
{
    struct route *route = routes_add(routes);

    route->address = fixture_addr(address);
    route->shares[0] = (struct route_share){hash_service(service), 1, 0};
    route->share_count = 1;
}

static void
balancer_start(struct fixture *fixture)
{
    struct relay_balancer *balancer = g_new0(struct relay_balancer, 1);
    struct routes routes;

    fixture->balancer = balancer;
    balancer->out.ops = &out_ops;
    balancer->loop.clock.ops = &clock_ops;
    balancer->foreign_objects =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    balancer->evacuated =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    event_log_init(&balancer->log, &balancer->loop.clock, "test", -1, 0);
    g_assert_cmpint(forwarder_init(&balancer->forwarder, &balancer->out,
                                   fixture_addr(SELF), "north"),
                    ==, 0);
    routes_init(&routes);
    routes.version = 1;
    add_route(&routes, "198.18.0.1:443", "lots");
    add_route(&routes, "198.18.0.2:443", "albums");
    g_assert_cmpint(routes_seal(&routes), ==, 0);
    forwarder_routes(&balancer->forwarder, &routes, now_us);
}

static void
balancer_stop(struct fixture *fixture)
{
    g_hash_table_destroy(fixture->balancer->foreign_objects);
    g_hash_table_destroy(fixture->balancer->evacuated);
    forwarder_finish(&fixture->balancer->forwarder);
    g_free(fixture->balancer);
}

static void
fixture_init(struct fixture *fixture)
{
    now_us = 10 * USEC_PER_SEC;
    pinged = fixture;
    balancer_start(fixture);
}

static void
fixture_finish(struct fixture *fixture)
{
    balancer_stop(fixture);
}

static const struct agent_row *
row_of(const struct fixture *fixture, unsigned number)
{
    return agents_find(&fixture->balancer->forwarder.agents,
                       agent_addr(number));
}

static void
give_object(struct fixture *fixture, unsigned number,
            struct json_object *value)
{
    char name[REGISTRATION_NAME_MAX];
    struct store_object object = {.name = name, .value = value};

    registration_name(agent_addr(number), name);
    relay_balancer_agents_ops.object(&fixture->balancer->agents_watcher,
                                     &object);
}

static struct json_object *
make_object(unsigned number)
{
    struct registration registration = {.addr = agent_addr(number)};

    g_strlcpy(registration.service, services[number],
              sizeof(registration.service));
    g_strlcpy(registration.data_centre, "north",
              sizeof(registration.data_centre));
    return registration_encode(&registration);
}

static void
agent_writes(struct fixture *fixture, unsigned number)
{
    struct json_object *value = make_object(number);

    give_object(fixture, number, value);
    json_object_put(value);
    fixture->foreign[number] = false;
}

static void
agent_reports(struct fixture *fixture, unsigned number)
{
    struct frame_status status = {
        .type = FRAME_STATE,
        .health = {.service = hash_service(services[number]),
                   .state = ENDPOINT_READY,
                   .slots = 2},
    };

    forwarder_status(&fixture->balancer->forwarder, agent_addr(number),
                     &status, now_us);
}

/* Values that no agent writes in any field. */
static struct json_object *
draw_wrong_value(void)
{
    static char long_text[200];

    switch (g_test_rand_int_range(0, 6)) {
    case 0:
        return NULL;
    case 1:
        return json_object_new_int(7);
    case 2:
        return json_object_new_array();
    case 3:
        return json_object_new_object();
    case 4:
        memset(long_text, 'x', sizeof(long_text) - 1);
        return json_object_new_string(long_text);
    default:
        return json_object_new_string("");
    }
}

/* An object in place of the agent's own. */
static struct json_object *
draw_foreign_object(unsigned number)
{
    static const char *const fields[] = {"address", "service", "data_centre"};
    const char *field = fields[g_test_rand_int_range(0, 3)];
    struct json_object *value = make_object(number);

    switch (g_test_rand_int_range(0, 5)) {
    case 0:
        json_object_put(value);
        return draw_wrong_value();
    case 1:
        json_object_object_del(value, field);
        break;
    case 2:
        json_object_object_add(value, "service",
                               json_object_new_string("unnamed"));
        break;
    case 3:
        json_object_object_add(value, "address",
                               json_object_new_string("10.0.0.99:7000"));
        break;
    default:
        json_object_object_add(value, field, draw_wrong_value());
    }
    return value;
}

static void
foreign_object_comes(struct fixture *fixture, unsigned number)
{
    struct json_object *value = draw_foreign_object(number);

    give_object(fixture, number, value);
    json_object_put(value);
    fixture->foreign[number] = true;
}

/* Lists all objects anew, some of them foreign. */
static void
list_again(struct fixture *fixture)
{
    struct watcher *watcher = &fixture->balancer->agents_watcher;

    relay_balancer_agents_ops.listing(watcher);
    for (unsigned i = 0; i < AGENTS; i++) {
        if (fixture->foreign[i]) {
            foreign_object_comes(fixture, i);
        }
        else {
            agent_writes(fixture, i);
        }
    }
    relay_balancer_agents_ops.listed(watcher);
}

static void
tick(struct fixture *fixture)
{
    now_us += 10 * USEC_PER_MSEC;
    forwarder_tick(&fixture->balancer->forwarder, now_us);
}

static void
check_known(const struct fixture *fixture, unsigned number)
{
    const struct agent_row *row = row_of(fixture, number);

    g_assert_nonnull(row);
    g_assert_true(row->listed);
    g_assert_cmpuint(row->health.service, ==, hash_service(services[number]));
    g_assert_cmpint(row->health.state, ==, ENDPOINT_READY);
    g_assert_cmpstr(row->data_centre, ==, "north");
}

/* Guards against an agent that gets no flow, or those of no service, once its
 * object is foreign. */
TEST(foreign_objects_change_nothing)
{
    for (unsigned story = 0; story < STORIES; story++) {
        struct fixture fixture = {0};

        fixture_init(&fixture);
        list_again(&fixture);
        for (unsigned i = 0; i < AGENTS; i++) {
            agent_reports(&fixture, i);
        }
        for (unsigned step = 0; step < STEPS; step++) {
            unsigned number = (unsigned)g_test_rand_int_range(0, AGENTS);

            switch (g_test_rand_int_range(0, 4)) {
            case 0:
                foreign_object_comes(&fixture, number);
                tick(&fixture);
                g_assert_true(fixture.notified[number]);
                break;
            case 1:
                agent_writes(&fixture, number);
                break;
            case 2:
                list_again(&fixture);
                break;
            default:
                agent_reports(&fixture, number);
            }
            for (unsigned i = 0; i < AGENTS; i++) {
                check_known(&fixture, i);
            }
        }
        fixture_finish(&fixture);
    }
}

/* Guards against an agent that a balancer never learns of, as its
 * object was foreign before the balancer's start. */
TEST(an_agent_is_learned_after_a_restart_of_the_balancer)
{
    for (unsigned story = 0; story < STORIES; story++) {
        struct fixture fixture = {0};

        fixture_init(&fixture);
        fixture.foreign[1] = true;
        list_again(&fixture);
        tick(&fixture);
        agent_reports(&fixture, 1);
        g_assert_cmpuint(row_of(&fixture, 1)->health.service, ==,
                         hash_service(services[1]));
        g_assert_cmpint(row_of(&fixture, 1)->health.state, ==, ENDPOINT_READY);
        tick(&fixture);
        g_assert_true(fixture.notified[1]);
        agent_writes(&fixture, 1);
        check_known(&fixture, 1);
        g_assert_cmpuint(g_hash_table_size(fixture.balancer->foreign_objects),
                         ==, 0);
        fixture_finish(&fixture);
    }
}

static size_t
count_for_peers(const struct fixture *fixture)
{
    struct json_object *json =
        config_peer_encode(NULL, &fixture->balancer->forwarder.agents);
    struct json_object *list = NULL;
    size_t count;

    g_assert_true(json_object_object_get_ex(json, "agents", &list));
    count = json_object_array_length(list);
    json_object_put(json);
    return count;
}

/* Guards against an agent of no service in the lists of peers. */
TEST(peers_are_not_given_an_agent_of_which_nothing_is_known)
{
    struct fixture fixture = {0};

    fixture_init(&fixture);
    give_object(&fixture, 0, NULL);
    g_assert_cmpuint(count_for_peers(&fixture), ==, 0);
    agent_reports(&fixture, 0);
    g_assert_cmpuint(count_for_peers(&fixture), ==, 1);
    fixture_finish(&fixture);
}

static void
give_evacuation(struct fixture *fixture, const char *name)
{
    struct store_object object = {.name = name};

    relay_balancer_evacuations_ops.object(
        &fixture->balancer->evacuations_watcher, &object);
}

/* Guards against an evacuation that isn't in force, as foreign names
 * leave no room for it. */
TEST(foreign_names_leave_room_for_evacuations)
{
    struct fixture fixture = {0};
    struct watcher *watcher;
    char name[32];

    fixture_init(&fixture);
    watcher = &fixture.balancer->evacuations_watcher;
    watcher->state = WATCHER_WATCH;
    watcher->revision = 7;
    for (unsigned i = 0; i < 3 * EVACUATIONS_MAX; i++) {
        g_snprintf(name, sizeof(name), "nowhere-%u", i);
        give_evacuation(&fixture, name);
    }
    give_evacuation(&fixture, "north");
    relay_balancer_evacuations_ops.ended(watcher, 0, false);
    g_assert_true(store_state_is_evacuated(
        &fixture.balancer->forwarder.agents.store, evacuations_key("north")));
    fixture_finish(&fixture);
}
