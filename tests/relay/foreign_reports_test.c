/* Drawn foreign reports at an agent: what it knows of its endpoint is
 * as before, and the endpoint's next report counts. */
#include <string.h>

#include <json-c/json.h>

#include "base/clock.h"
#include "lib/harness.h"
#include "relay/program/relay_agent_private.h"
#include "relay/relay_fixture.h"

#define SUITE "/relay/foreign_reports"

#define STORIES 400
#define STEPS 40
#define ADDRESS "10.0.0.1:80"
#define SERVICE "lots"
#define STARTED_MS INT64_C(1790000000000)
#define SILENCE_US (6 * USEC_PER_SEC)
#define INTERVAL_US (1200 * USEC_PER_MSEC)

/**
 * struct fixture - an agent and the endpoint beside it
 * @agent: without sockets and store
 * @outputs: outputs of its decisions so far
 * @id: the endpoint's id
 * @number: number of its start
 * @with_start: it reports when it started
 * @sequence: of its last report
 * @draining: it drains
 * @heard: the agent has heard it since the agent's start
 * @unproven: a foreign report without a start came since its last one
 * @believed: such a report came first after the agent's start
 */
struct fixture {
    struct relay_agent agent;
    unsigned outputs;
    char id[ENDPOINT_ID_MAX];
    int number;
    bool with_start;
    int64_t sequence;
    bool draining;
    bool heard;
    bool unproven;
    bool believed;
};

static uint64_t now_us;

static uint64_t
clock_now(struct clock *clock)
{
    return now_us;
}

static const struct clock_ops clock_ops = {clock_now};

static void
count_output(struct admission_out *out)
{
    struct relay_agent *agent =
        (struct relay_agent *)((char *)out -
                               offsetof(struct relay_agent, out));

    ((struct fixture *)agent)->outputs++;
}

static void
on_notify(struct admission_out *out, struct addr balancer,
          const struct frame_status *status)
{
    count_output(out);
}

static void
on_probe(struct admission_out *out)
{
    count_output(out);
}

/* There are no flows, so no other output may come. */
static const struct admission_out_ops out_ops = {
    .notify = on_notify,
    .probe = on_probe,
};

static void
agent_start(struct fixture *fixture)
{
    struct relay_agent *agent = &fixture->agent;
    struct frame_ping ping = {.view = {.version = 1}};

    agent->out.ops = &out_ops;
    agent->loop.clock.ops = &clock_ops;
    event_log_init(&agent->log, &agent->loop.clock, "test", -1, 0);
    agent->last_refusal = HEARTBEAT_ACCEPTED;
    agent->settings.upstream = fixture_addr(ADDRESS);
    g_strlcpy(agent->settings.service, SERVICE,
              sizeof(agent->settings.service));
    g_assert_cmpint(admission_init(&agent->admission, &agent->out,
                                   fixture_addr("10.0.0.1:7000"), "here",
                                   SERVICE, now_us),
                    ==, 0);
    admission_handle_ping(&agent->admission, fixture_addr("10.9.0.1:7720"),
                          &ping, now_us);
    fixture->heard = false;
}

static void
endpoint_start(struct fixture *fixture)
{
    fixture->number++;
    g_snprintf(fixture->id, sizeof(fixture->id), "i-%d", fixture->number);
    fixture->sequence = g_test_rand_int_range(0, 3);
    fixture->draining = false;
}

static void
fixture_init(struct fixture *fixture)
{
    now_us = 10 * USEC_PER_SEC;
    fixture->with_start = g_test_rand_int_range(0, 2) == 1;
    agent_start(fixture);
    endpoint_start(fixture);
}

static void
fixture_finish(struct fixture *fixture)
{
    admission_finish(&fixture->agent.admission);
}

static void
agent_restart(struct fixture *fixture)
{
    admission_finish(&fixture->agent.admission);
    memset(&fixture->agent, 0, sizeof(fixture->agent));
    agent_start(fixture);
    fixture->believed = false;
}

/* A report as the endpoint would send it. */
static struct json_object *
make_report(const struct fixture *fixture, int64_t sequence)
{
    struct json_object *report = json_object_new_object();

    json_object_object_add(report, "service", json_object_new_string(SERVICE));
    json_object_object_add(report, "address", json_object_new_string(ADDRESS));
    json_object_object_add(report, "zone", json_object_new_string("here"));
    json_object_object_add(report, "version", json_object_new_string("v1"));
    json_object_object_add(report, "slots", json_object_new_int(2));
    json_object_object_add(
        report, "state",
        json_object_new_string(fixture->draining ? "draining" : "ready"));
    json_object_object_add(report, "warmupLeftMs", json_object_new_int(0));
    json_object_object_add(report, "sequence",
                           json_object_new_int64(sequence));
    if (fixture->with_start) {
        json_object_object_add(
            report, "born",
            json_object_new_int64(STARTED_MS + fixture->number * 1000));
    }
    return report;
}

/* The endpoint reports; the agent must believe it, and take it for a new
 * incarnation only if it has heard of one before and this is another. */
static void
endpoint_reports(struct fixture *fixture, bool is_next)
{
    struct relay_agent *agent = &fixture->agent;
    uint64_t incarnation = agent->admission.incarnation;
    struct json_object *report = make_report(fixture, ++fixture->sequence);
    const char *text = json_object_to_json_string(report);

    g_assert_cmpint(
        relay_agent_heartbeat(agent, fixture->id, text, strlen(text)), ==,
        200);
    json_object_put(report);
    g_assert_cmpstr(agent->admission.endpoint.incarnations[0].id, ==,
                    fixture->id);
    g_assert_cmpint(agent->admission.endpoint.state, ==,
                    fixture->draining ? ENDPOINT_DRAINING : ENDPOINT_READY);
    g_assert_cmpint(agent->admission.incarnation - incarnation, ==,
                    fixture->believed || (is_next && fixture->heard));
    fixture->believed = false;
    fixture->heard = true;
    fixture->unproven = false;
}

static const char *const promised[] = {"service",      "address", "zone",
                                       "version",      "slots",   "state",
                                       "warmupLeftMs", "sequence"};

/* A value that no endpoint sends in any field. */
static struct json_object *
draw_wrong_value(void)
{
    switch (g_test_rand_int_range(0, 7)) {
    case 0:
        return NULL;
    case 1:
        return json_object_new_boolean(true);
    case 2:
        return json_object_new_array();
    case 3:
        return json_object_new_object();
    case 4:
        return json_object_new_double(1.5);
    case 5:
        return json_object_new_int(-1);
    default:
        return json_object_new_string("");
    }
}

static void
set_string(struct json_object *report, const char *name, const char *value)
{
    json_object_object_add(report, name, json_object_new_string(value));
}

/* Makes a report foreign. */
static void
make_foreign(struct fixture *fixture, struct json_object *report)
{
    const char *name =
        promised[g_test_rand_int_range(0, G_N_ELEMENTS(promised))];

    switch (g_test_rand_int_range(0, fixture->with_start ? 9 : 8)) {
    case 0:
    case 1:
        json_object_object_del(report, name);
        break;
    case 2:
    case 3:
        json_object_object_add(report, name, draw_wrong_value());
        break;
    case 4:
        set_string(report, "service", "albums");
        break;
    case 5:
        set_string(report, "state", "asleep");
        break;
    case 6:
        set_string(report, "address",
                   g_test_rand_int_range(0, 2) == 0 ? "10.0.0.2:80"
                                                    : "somewhere");
        break;
    case 7:
        json_object_object_add(report, "born", draw_wrong_value());
        break;
    default:
        /* At most once in a silence of the endpoint: a second one shows that
         * the sender goes on, as an endpoint does. */
        json_object_object_del(report, fixture->unproven ? name : "born");
        fixture->unproven = true;
    }
}

/* Cuts, extends or garbles a body, at times, so that it can't be read. */
static size_t
garble(char *text, size_t len, size_t size)
{
    switch (g_test_rand_int_range(0, 8)) {
    case 0:
        return (size_t)g_test_rand_int_range(0, (gint32)len);
    case 1:
        text[len] = 'x';
        g_assert_cmpuint(len, <, size);
        return len + 1;
    case 2:
        text[g_test_rand_int_range(0, (gint32)len)] = (char)0xff;
        return len;
    case 3:
        text[len] = '\0';
        return len + 1;
    default:
        return len;
    }
}

static const char *
draw_id(const struct fixture *fixture)
{
    static const char *const others[] = {"i-other", "i-0", "i-9999"};
    int at = g_test_rand_int_range(0, 2 * G_N_ELEMENTS(others));

    return (size_t)at < G_N_ELEMENTS(others) ? others[at] : fixture->id;
}

/**
 * struct belief - what an agent knows of its endpoint
 */
struct belief {
    struct endpoint endpoint;
    struct slow_start slow_start;
    uint64_t incarnation;
    unsigned outputs;
};

static struct belief
belief_of(const struct fixture *fixture)
{
    const struct admission *admission = &fixture->agent.admission;
    struct belief belief = {
        .endpoint = admission->endpoint,
        .slow_start = admission->slow_start,
        .incarnation = admission->incarnation,
        .outputs = fixture->outputs,
    };

    /* Only what a second report is compared with. */
    memset(&belief.endpoint.unproven, 0, sizeof(belief.endpoint.unproven));
    return belief;
}

static void
check_unchanged(const struct fixture *fixture, const struct belief *before)
{
    struct belief after = belief_of(fixture);

    g_assert_cmpmem(&after.endpoint, sizeof(after.endpoint), &before->endpoint,
                    sizeof(before->endpoint));
    g_assert_cmpmem(&after.slow_start, sizeof(after.slow_start),
                    &before->slow_start, sizeof(before->slow_start));
    g_assert_cmpuint(after.incarnation, ==, before->incarnation);
    g_assert_cmpuint(after.outputs, ==, before->outputs);
}

static void
foreign_report_comes(struct fixture *fixture)
{
    struct relay_agent *agent = &fixture->agent;
    struct belief before = belief_of(fixture);
    struct fixture other = *fixture;
    struct json_object *report;
    char text[1024];
    size_t len;

    other.draining = g_test_rand_int_range(0, 2) == 1;
    other.number += g_test_rand_int_range(-2, 3);
    report = make_report(&other,
                         fixture->sequence + g_test_rand_int_range(-3, 100));
    make_foreign(fixture, report);
    g_strlcpy(text, json_object_to_json_string(report), sizeof(text));
    len = garble(text, strlen(text), sizeof(text));
    json_object_put(report);
    if (relay_agent_heartbeat(agent, draw_id(fixture), text, len) == 200) {
        /* Before it hears its endpoint, an agent doesn't know that it reports
         * its start; the endpoint's next report counts all the same. */
        g_assert_true(fixture->with_start && !fixture->heard);
        g_assert_cmpuint(agent->admission.endpoint.incarnations[0].started_ms,
                         ==, 0);
        fixture->believed = true;
        return;
    }
    check_unchanged(fixture, &before);
}

static void
foreign_goodbye_comes(struct fixture *fixture)
{
    static const char *const bodies[] = {
        "{",
        "7",
        "null",
        "[]",
        "{}x",
        "{\"born\":null}",
        "{\"born\":\"7\"}",
        "{\"born\":7.5}",
        "\xff",
        "{\"born\":1}",
    };
    const char *body = bodies[g_test_rand_int_range(0, G_N_ELEMENTS(bodies))];
    struct belief before = belief_of(fixture);
    /* The last one can be read; it is of nobody who was heard. */
    const char *id =
        body == bodies[G_N_ELEMENTS(bodies) - 1] && !fixture->heard
            ? NULL
            : draw_id(fixture);

    if (id != NULL) {
        relay_agent_goodbye(&fixture->agent, id, body, strlen(body));
        check_unchanged(fixture, &before);
    }
}

/* Guards against flows that reach a draining endpoint, or are taken from one
 * that serves, after a foreign report. */
TEST(foreign_reports_change_nothing)
{
    for (unsigned i = 0; i < STORIES; i++) {
        struct fixture fixture = {0};
        bool is_next = false;

        fixture_init(&fixture);
        for (unsigned step = 0; step < STEPS; step++) {
            switch (g_test_rand_int_range(0, 15)) {
            case 13:
            case 14:
                foreign_goodbye_comes(&fixture);
                break;
            case 12:
                now_us += SILENCE_US;
                break;
            case 0:
                agent_restart(&fixture);
                break;
            case 1:
                endpoint_start(&fixture);
                is_next = true;
                break;
            case 2:
                fixture.draining = true;
                break;
            case 3:
            case 4:
            case 5:
            case 6:
                foreign_report_comes(&fixture);
                break;
            default:
                now_us += INTERVAL_US;
                endpoint_reports(&fixture, is_next);
                is_next = false;
            }
        }
        fixture_finish(&fixture);
    }
}
