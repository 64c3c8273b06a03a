#include "retire_site.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "scene.h"

#define HOLD_MS (24 * SITE_HOUR_MS)
#define FIRST_MS UINT64_C(1700000000000)

const char *const site_names[SITE_NAMES] = {"albums", "desk", "lots", "names"};

unsigned
site_draw(struct site *site, unsigned below)
{
    return (unsigned)g_rand_int_range(site->random, 0, (gint32)below);
}

/* "names" is a UDP service, so it may share an address. */
bool
site_is_udp(unsigned name)
{
    return name == SITE_NAMES - 1;
}

static char *
write_text(const struct site_plan *plan)
{
    GString *out = g_string_new("{\"services\": [");
    bool any = false;

    for (unsigned i = 0; i < SITE_NAMES; i++) {
        if (plan->address[i] == SITE_ADDRESSES)
            continue;
        g_string_append_printf(
            out,
            "%s{\"name\": \"%s\", \"address\": \"10.100.0.%u\", \"port\": "
            "%d, \"protocol\": \"%s\", \"class\": \"urgent\"}",
            any ? ", " : "", site_names[i], plan->address[i] + 1, SCENE_PORT,
            site_is_udp(i) ? "udp" : "tcp");
        any = true;
    }
    g_string_append(out, "]}");
    return g_string_free(out, FALSE);
}

/* The next text, or NULL when what is published forbids it or it is none. */
static struct text *
next_text(struct site *site, const struct site_plan *plan)
{
    struct text_retired retired[TEXT_RETIRED_MAX];
    struct text_change change = {.name = "t",
                                 .from = site->texts[site->latest],
                                 .now_ms = site->now_ms,
                                 .hold_ms = HOLD_MS};
    struct text_envelope envelope = {.write_id = "1", .author = "a"};
    g_autofree char *source = write_text(plan);
    struct text *text = NULL;
    struct text *full = NULL;
    g_autofree char *report = NULL;
    size_t count;

    if (text_parse(source, strlen(source), "t", &text, &report) == 0) {
        change.to = text;
        if (text_retire(&change, retired, &count, &report) == 0) {
            size_t len;
            char *list = text_retired_write(retired, count);
            envelope.text = text->source;
            envelope.text_len = text->source_len;
            envelope.retired = count > 0 ? list : NULL;
            envelope.retired_len = strlen(list);
            char *value = text_envelope_write(&envelope, &len);
            g_assert_cmpint(text_parse_envelope(value, len, site->latest + 2,
                                                &full, &report),
                            ==, 0);
            g_assert_cmpuint(full->retired_count, ==, count);
            g_free(value);
            g_free(list);
        }
    }
    site->refused += full == NULL;
    text_free(text);
    return full;
}

/* The ranks do not depend on the text, so all versions share them. */
static void
keep_version(struct site *site, size_t version, struct text *text)
{
    site->texts[version] = text;
    site->published_ms[version] = site->now_ms;
    g_assert_cmpint(
        route_table_new(site->view, text,
                        version > 0 ? site->tables[version - 1] : NULL,
                        &site->tables[version]),
        ==, 0);
}

/* What a peer learns from another is what the platform would tell it. */
static struct text *
from_peer(const struct text *text)
{
    struct text *again = NULL;
    char *report = NULL;

    g_assert_cmpint(text_parse_envelope(text->source, text->source_len,
                                        text->version, &again, &report),
                    ==, 0);
    g_assert_cmpuint(again->retired_count, ==, text->retired_count);
    return again;
}

static struct site_plan
change_plan(struct site *site)
{
    struct site_plan plan = site->plan;
    unsigned name = site_draw(site, SITE_NAMES);

    if (site_draw(site, 4) == 0) { /* rename, or swap */
        unsigned other = site_draw(site, SITE_NAMES);
        unsigned address = plan.address[name];
        plan.address[name] = plan.address[other];
        plan.address[other] = address;
    }
    else {
        plan.address[name] = site_draw(site, SITE_ADDRESSES + 1);
    }
    return plan;
}

static void
agent_set(struct site *site, struct site_agent *agent, size_t version)
{
    struct text *text = site->texts[version];
    uint32_t id = hash_service(site_names[agent->name]);

    agent->version = version;
    agent->service = text_find_served(text, id);
    addresses_set(&agent->addresses, text, id);
    flow_set_view(agent->flows, site->view, agent->service != NULL ? id : 0,
                  !agent->addresses.removed, site->now_us);
}

/* Nobody lags by as much as addresses are held. */
static size_t
oldest_allowed(const struct site *site)
{
    size_t version = site->latest;

    while (version > 0 && site->published_ms[version] + HOLD_MS > site->now_ms)
        version--;
    return version;
}

static size_t
newer(struct site *site, size_t version)
{
    size_t least = MAX(version, oldest_allowed(site));

    return least + site_draw(site, (unsigned)(site->latest - least + 1));
}

void
site_move_versions(struct site *site)
{
    bool all = site_draw(site, 5) == 0; /* to the latest */

    for (size_t i = 0; i < SITE_BALANCERS; i++)
        site->balancers[i] =
            newer(site, all ? site->latest : site->balancers[i]);
    for (size_t i = 0; i < SITE_AGENTS; i++)
        agent_set(site, &site->agents[i],
                  newer(site, all ? site->latest : site->agents[i].version));
}

void
site_publish(struct site *site)
{
    struct site_plan plan = change_plan(site);
    struct text *text = next_text(site, &plan);

    if (text == NULL)
        return;
    site->plan = plan;
    keep_version(site, ++site->latest, from_peer(text));
    text_free(text);
}

void
site_init(struct site *site, uint32_t seed)
{
    struct text *text;
    char *report;

    *site = (struct site){.random = g_rand_new_with_seed(seed),
                          .now_ms = FIRST_MS,
                          .now_us = 100 * USEC_PER_SEC,
                          .plan = {{0, 1, 2, 0}}};
    g_autofree char *source = write_text(&site->plan);
    g_assert_cmpint(text_parse(source, strlen(source), "t", &text, &report),
                    ==, 0);
    site->view = scene_view(SITE_AGENTS, site_names[0]);
    for (unsigned i = 0; i < SITE_AGENTS; i++) {
        site->agents[i].name = i % SITE_NAMES;
        site->view->members[i].service =
            hash_service(site_names[i % SITE_NAMES]);
    }
    keep_version(site, 0, text);
    for (unsigned i = 0; i < SITE_AGENTS; i++) {
        site->agents[i].flows =
            flow_table_new(site->view->members[i].id, 4 * SITE_FLOWS_MAX);
        agent_set(site, &site->agents[i], 0);
    }
    site->now_us += 60 * USEC_PER_SEC;
}

void
site_finish(struct site *site)
{
    for (size_t i = 0; i < SITE_AGENTS; i++)
        flow_table_free(site->agents[i].flows);
    for (size_t i = 0; i <= site->latest; i++) {
        route_table_free(site->tables[i]);
        text_free(site->texts[i]);
    }
    free(site->view);
    g_rand_free(site->random);
}
