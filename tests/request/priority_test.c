/* Tests the Priority field from the HTTP reader to the order of runs; the
 * test acts as the upstream. */
#include <string.h>

#include "agent/program.h"
#include "base/hash.h"
#include "tests/agent/fake_stack.h"

#define CALLER 0x0a010001
#define FLOW_LOCAL 0x0a000001
#define CALLERS 4
#define RUNS_MAX 16
#define START_US (100 * USEC_PER_SEC)

static const char source[] =
    "{\"services\":["
    "{\"name\":\"lots\",\"address\":\"10.0.0.1\",\"port\":80,"
    "\"protocol\":\"tcp\",\"class\":\"urgent\",\"depends_on\":[\"prices\"]},"
    "{\"name\":\"prices\",\"address\":\"10.0.0.2\",\"port\":80,"
    "\"protocol\":\"tcp\",\"class\":\"ordinary\"},"
    "{\"name\":\"reports\",\"address\":\"10.0.0.3\",\"port\":80,"
    "\"protocol\":\"tcp\",\"class\":\"ordinary\"}]}";

struct backend_run {
    void *data;
    char *target;
};

/** struct fixture - one agent and its callers */
struct fixture {
    struct agent agent;
    struct clock_manual clock;
    struct stack_conn callers[CALLERS];
    struct backend_run runs[RUNS_MAX];
    size_t run_count;
};

static struct fixture *current_fixture;

void
backend_init(struct backend *backend, struct event_base *base,
             struct backend_owner *owner)
{
    backend->owner = owner;
}

struct backend_run *
backend_start(struct backend *backend, struct addr upstream,
              const GByteArray *http, const char *lines, size_t body_max,
              void *data)
{
    struct fixture *fixture = current_fixture;
    struct backend_run *run = &fixture->runs[fixture->run_count++];
    char **words = g_strsplit((const char *)http->data, " ", 3);

    g_assert_cmpuint(fixture->run_count, <=, RUNS_MAX);
    run->data = data;
    run->target = g_strdup(words[1]);
    g_strfreev(words);
    return run;
}

void
backend_abort(struct backend_run *run)
{
}

int
peer_links_send(struct agent *agent, uint64_t member,
                const struct engine_peer_msg *msg, const GByteArray *bytes,
                const char *traceparent)
{
    return 0;
}

void
upstream_connect_failed(struct agent *agent)
{
}

void
ingress_flow(struct agent *agent, struct addr caller, struct addr local,
             bool open)
{
}

static void
set_text(struct fixture *fixture, const char *service)
{
    struct agent *agent = &fixture->agent;
    struct service_config *text = NULL;
    char *report = NULL;

    g_assert_cmpint(service_config_parse(source, sizeof(source) - 1,
                                         "priority", &text, &report),
                    ==, 0);
    agent->service = *service_config_find_id(text, hash_service(service));
    agent->service.ip = FLOW_LOCAL; /* local address of the fake flows */
    agent->service_known = true;
    engine_set_text(agent->requests.engine, text, fixture->clock.now_us,
                    &agent->requests.out);
    requests_execute_actions(agent);
    service_config_free(text);
}

static void
fixture_init(struct fixture *fixture, const char *service)
{
    struct agent *agent = &fixture->agent;

    memset(fixture, 0, sizeof(*fixture));
    current_fixture = fixture;
    clock_manual_init(&fixture->clock, START_US);
    agent->clock = &fixture->clock.base;
    agent->ticked_us = START_US;
    agent->self = hash_name("self");
    agent->trace.fd = -1;
    agent->upstream.service = hash_service(service);
    counter_table_init(&agent->counters);
    requests_register(agent);
    g_assert_cmpint(requests_init(agent, 1), ==, 0);
    backend_init(&agent->backend, NULL, &agent->requests.backend_owner);
    frontend_init(&agent->frontend, &agent->requests.frontend_owner, "self");
    agent->frontend.limits =
        (struct frontend_limits){10, 10, 1024, 3600 * USEC_PER_SEC};
    set_text(fixture, service);
    engine_set_upstream(agent->requests.engine, hash_service(service), 2, true,
                        fixture->clock.now_us, &agent->requests.out);
    requests_execute_actions(agent);
    for (unsigned i = 0; i < CALLERS; i++) {
        fake_conn_init(&fixture->callers[i], CALLER + i);
        frontend_open(&agent->frontend, &fixture->callers[i],
                      fixture->clock.now_us);
    }
}

static void
fixture_finish(struct fixture *fixture)
{
    requests_finish(&fixture->agent);
    frontend_finish(&fixture->agent.frontend);
    counter_table_finish(&fixture->agent.counters);
    for (unsigned i = 0; i < CALLERS; i++) {
        fake_conn_finish(&fixture->callers[i]);
    }
    for (size_t i = 0; i < fixture->run_count; i++) {
        g_free(fixture->runs[i].target);
    }
}

static void
send_request(struct fixture *fixture, unsigned caller, const char *target,
             const char *fields)
{
    char *text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n",
                                 target, fields);

    clock_manual_advance(&fixture->clock, USEC_PER_MSEC);
    frontend_data(&fixture->agent.frontend, &fixture->callers[caller],
                  (const uint8_t *)text, strlen(text), fixture->clock.now_us);
    g_free(text);
}

/* Queues two requests while both slots are busy, then frees a slot.
 * Returns the target of the request that runs. */
static const char *
run_after_busy(struct fixture *fixture, const char *first, const char *second)
{
    struct backend_owner *owner = fixture->agent.backend.owner;
    static const char text[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    GByteArray *answer = g_byte_array_new();

    send_request(fixture, 0, "/busy", "");
    send_request(fixture, 1, "/busy", "");
    send_request(fixture, 2, "/first", first);
    send_request(fixture, 3, "/second", second);
    g_assert_cmpuint(fixture->run_count, ==, 2);
    g_byte_array_append(answer, (const guint8 *)text, sizeof(text) - 1);
    owner->ops->on_end(owner, fixture->runs[0].data, ENGINE_UP_ANSWERED,
                       answer);
    g_assert_cmpuint(fixture->run_count, ==, 3);
    return fixture->runs[2].target;
}

static void
check(const char *service, const char *first, const char *second,
      const char *expected)
{
    struct fixture fixture;

    fixture_init(&fixture, service);
    g_assert_cmpstr(run_after_busy(&fixture, first, second), ==, expected);
    fixture_finish(&fixture);
}

/* Urgent calls go first at a service that an urgent one depends on. */
static void
test_inherited(void)
{
    check("prices", "", "", "/first");
    check("prices", "", "Priority: u=1\r\n", "/second");
    check("prices", "Priority: u=3\r\n", "Priority: u=2\r\n", "/second");
    check("prices", "", "Priority: u=4\r\n", "/first");
}

/* The Priority field can't raise any other ordinary service. */
static void
test_not_raised(void)
{
    check("reports", "", "Priority: u=0\r\n", "/first");
    check("reports", "Priority: u=5\r\n", "Priority: u=0\r\n", "/first");
}

static void
test_lowered(void)
{
    check("lots", "Priority: u=5\r\n", "", "/second");
    check("lots", "", "Priority: u=0\r\n", "/first");
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/request/priority/inherited", test_inherited);
    g_test_add_func("/request/priority/not_raised", test_not_raised);
    g_test_add_func("/request/priority/lowered", test_lowered);
    return g_test_run();
}
