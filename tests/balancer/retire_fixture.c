#include "retire_fixture.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "route_fixture.h"

#define HOLD_MS (24 * FIXTURE_HOUR_MS)
#define FIRST_MS UINT64_C(1700000000000)

const char *const fixture_names[FIXTURE_NAMES] = {"albums", "desk", "lots",
                                                  "names"};

unsigned
fixture_random(struct fixture *fixture, unsigned below)
{
    return (unsigned)g_rand_int_range(fixture->random, 0, (gint32)below);
}

/* The UDP service "names" may share an address with a TCP service. */
bool
fixture_is_udp(unsigned name)
{
    return name == FIXTURE_NAMES - 1;
}

static char *
write_text(const struct fixture_plan *plan)
{
    GString *out = g_string_new("{\"services\": [");
    bool any = false;

    for (unsigned i = 0; i < FIXTURE_NAMES; i++) {
        if (plan->address[i] == FIXTURE_ADDRESSES)
            continue;
        g_string_append_printf(
            out,
            "%s{\"name\": \"%s\", \"address\": \"10.100.0.%u\", \"port\": "
            "%d, \"protocol\": \"%s\", \"class\": \"urgent\"}",
            any ? ", " : "", fixture_names[i], plan->address[i] + 1,
            ROUTE_FIXTURE_PORT, fixture_is_udp(i) ? "udp" : "tcp");
        any = true;
    }
    g_string_append(out, "]}");
    return g_string_free(out, FALSE);
}

/* Parses the configuration of @plan; NULL if it is invalid or refused because
 * of retired addresses. */
static struct service_config *
next_text(struct fixture *fixture, const struct fixture_plan *plan)
{
    struct service_config_retired retired[SERVICE_CONFIG_RETIRED_MAX];
    struct service_config_change change = {.name = "t",
                                           .from =
                                               fixture->texts[fixture->latest],
                                           .now_ms = fixture->now_ms,
                                           .hold_ms = HOLD_MS};
    struct service_config_envelope envelope = {.write_id = "1", .author = "a"};
    g_autofree char *source = write_text(plan);
    struct service_config *config = NULL;
    struct service_config *full = NULL;
    g_autofree char *report = NULL;
    size_t count;

    if (service_config_parse(source, strlen(source), "t", &config, &report) ==
        0) {
        change.to = config;
        if (service_config_retire(&change, retired, &count, &report) == 0) {
            size_t len;
            char *list = service_config_retired_write(retired, count);
            envelope.source = config->source;
            envelope.source_len = config->source_len;
            envelope.retired = count > 0 ? list : NULL;
            envelope.retired_len = strlen(list);
            char *value = service_config_envelope_write(&envelope, &len);
            g_assert_cmpint(service_config_parse_envelope(value, len,
                                                          fixture->latest + 2,
                                                          &full, &report),
                            ==, 0);
            g_assert_cmpuint(full->retired_count, ==, count);
            g_free(value);
            g_free(list);
        }
    }
    fixture->refused += full == NULL;
    service_config_free(config);
    return full;
}

/* Stores a version and builds its route table. */
static void
add_version(struct fixture *fixture, size_t version,
            struct service_config *config)
{
    fixture->texts[version] = config;
    fixture->published_ms[version] = fixture->now_ms;
    g_assert_cmpint(
        route_table_new(fixture->view, config,
                        version > 0 ? fixture->tables[version - 1] : NULL,
                        &fixture->tables[version]),
        ==, 0);
}

/* Parses a copy, as received from a peer. */
static struct service_config *
parse_from_peer(const struct service_config *config)
{
    struct service_config *copy = NULL;
    char *report = NULL;

    g_assert_cmpint(
        service_config_parse_envelope(config->source, config->source_len,
                                      config->version, &copy, &report),
        ==, 0);
    g_assert_cmpuint(copy->retired_count, ==, config->retired_count);
    return copy;
}

static struct fixture_plan
change_plan(struct fixture *fixture)
{
    struct fixture_plan plan = fixture->plan;
    unsigned name = fixture_random(fixture, FIXTURE_NAMES);

    if (fixture_random(fixture, 4) == 0) { /* rename or swap */
        unsigned other = fixture_random(fixture, FIXTURE_NAMES);
        unsigned address = plan.address[name];
        plan.address[name] = plan.address[other];
        plan.address[other] = address;
    }
    else {
        plan.address[name] = fixture_random(fixture, FIXTURE_ADDRESSES + 1);
    }
    return plan;
}

static void
agent_set(struct fixture *fixture, struct fixture_agent *agent, size_t version)
{
    struct service_config *config = fixture->texts[version];
    uint32_t id = hash_service(fixture_names[agent->name]);

    agent->version = version;
    agent->service = service_config_find_with_retired(config, id);
    addresses_set(&agent->addresses, config, id);
    flow_set_view(agent->flows, fixture->view, agent->service != NULL ? id : 0,
                  !agent->addresses.removed, fixture->now_us);
}

/* Oldest version that a process may use: replaced less than HOLD_MS ago */
static size_t
oldest_allowed(const struct fixture *fixture)
{
    size_t version = fixture->latest;

    while (version > 0 &&
           fixture->published_ms[version] + HOLD_MS > fixture->now_ms)
        version--;
    return version;
}

static size_t
random_newer(struct fixture *fixture, size_t version)
{
    size_t oldest = MAX(version, oldest_allowed(fixture));

    return oldest +
           fixture_random(fixture, (unsigned)(fixture->latest - oldest + 1));
}

void
fixture_advance_versions(struct fixture *fixture)
{
    bool all = fixture_random(fixture, 5) == 0; /* move all to the latest */

    for (size_t i = 0; i < FIXTURE_BALANCERS; i++)
        fixture->balancers[i] = random_newer(
            fixture, all ? fixture->latest : fixture->balancers[i]);
    for (size_t i = 0; i < FIXTURE_AGENTS; i++)
        agent_set(fixture, &fixture->agents[i],
                  random_newer(fixture, all ? fixture->latest
                                            : fixture->agents[i].version));
}

void
fixture_publish(struct fixture *fixture)
{
    struct fixture_plan plan = change_plan(fixture);
    struct service_config *config = next_text(fixture, &plan);

    if (config == NULL)
        return;
    fixture->plan = plan;
    add_version(fixture, ++fixture->latest, parse_from_peer(config));
    service_config_free(config);
}

void
fixture_init(struct fixture *fixture, uint32_t seed)
{
    struct service_config *config;
    char *report;

    *fixture = (struct fixture){.random = g_rand_new_with_seed(seed),
                                .now_ms = FIRST_MS,
                                .now_us = 100 * USEC_PER_SEC,
                                .plan = {{0, 1, 2, 0}}};
    g_autofree char *source = write_text(&fixture->plan);
    g_assert_cmpint(
        service_config_parse(source, strlen(source), "t", &config, &report),
        ==, 0);
    fixture->view = route_fixture_view(FIXTURE_AGENTS, fixture_names[0]);
    for (unsigned i = 0; i < FIXTURE_AGENTS; i++) {
        fixture->agents[i].name = i % FIXTURE_NAMES;
        fixture->view->members[i].service =
            hash_service(fixture_names[i % FIXTURE_NAMES]);
    }
    add_version(fixture, 0, config);
    for (unsigned i = 0; i < FIXTURE_AGENTS; i++) {
        fixture->agents[i].flows = flow_table_new(fixture->view->members[i].id,
                                                  4 * FIXTURE_FLOWS_MAX);
        agent_set(fixture, &fixture->agents[i], 0);
    }
    fixture->now_us += 60 * USEC_PER_SEC;
}

void
fixture_finish(struct fixture *fixture)
{
    for (size_t i = 0; i < FIXTURE_AGENTS; i++)
        flow_table_free(fixture->agents[i].flows);
    for (size_t i = 0; i <= fixture->latest; i++) {
        route_table_free(fixture->tables[i]);
        service_config_free(fixture->texts[i]);
    }
    free(fixture->view);
    g_rand_free(fixture->random);
}
