/* Links between two agents over real sockets: messages, lost connections and
 * refused connections reach the right module. */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "agent/program.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "lib/loopback.h"

#define SUITE "/agent/links"
#define CALLS_MAX 8
#define LOOP_RUNS_MAX 200

/* Recorded functions: requests_peer(), requests_peer_lost(),
 * requests_unsent(), control_report_dead(). */
enum call_type { CALL_PEER, CALL_LOST, CALL_UNSENT, CALL_DEAD };

/** struct recorded_call - call of peer_links into another module */
struct recorded_call {
    enum call_type type;
    const struct agent *agent;
    uint64_t member;
    uint64_t id;
    struct engine_peer_msg msg;
    char bytes[32];
};

static struct recorded_call recorded_calls[CALLS_MAX];
static size_t recorded_count;

static void
record_call(const struct recorded_call *recorded_call)
{
    g_assert_cmpuint(recorded_count, <, CALLS_MAX);
    recorded_calls[recorded_count++] = *recorded_call;
}

void
requests_peer(struct agent *agent, uint64_t from,
              const struct engine_peer_msg *msg, const uint8_t *bytes,
              size_t len, const char *traceparent)
{
    struct recorded_call recorded_call = {
        .type = CALL_PEER, .agent = agent, .member = from, .msg = *msg};

    g_assert_cmpuint(len, <, sizeof(recorded_call.bytes));
    if (bytes != NULL) {
        memcpy(recorded_call.bytes, bytes, len);
    }
    record_call(&recorded_call);
}

void
requests_peer_lost(struct agent *agent, uint64_t member)
{
    record_call(&(struct recorded_call){
        .type = CALL_LOST, .agent = agent, .member = member});
}

void
requests_unsent(struct agent *agent, uint64_t member, uint64_t id)
{
    record_call(&(struct recorded_call){
        .type = CALL_UNSENT, .agent = agent, .member = member, .id = id});
}

void
control_report_dead(struct control *control, uint64_t member,
                    uint64_t incarnation)
{
    record_call(&(struct recorded_call){.type = CALL_DEAD, .member = member});
}

void
orphan_notifier_receive(struct agent *agent, uint64_t from,
                        const struct peer_wire *wire)
{
    g_assert_not_reached();
}

static void
agent_start(struct agent *agent, struct event_base *base, const char *name)
{
    struct error err;

    memset(agent, 0, sizeof(*agent));
    clock_runtime_init(&agent->runtime);
    agent->clock = &agent->runtime;
    agent->ticked_us = agent_now(agent);
    agent->base = base;
    agent->self = hash_name(name);
    agent->settings.data = loopback_closed(SOCK_STREAM);
    memset(agent->settings.site_key, 'k', 16);
    agent->settings.site_key_len = 16;
    pthread_mutex_init(&agent->flow_lock, NULL);
    agent->flows = flow_table_new(agent->self, 16);
    blackboard_init(&agent->blackboard);
    g_assert_cmpint(peer_links_init(agent, &err), ==, 0);
}

static void
agent_stop_links(struct agent *agent)
{
    peer_links_finish(agent);
    flow_table_free(agent->flows);
    blackboard_finish(&agent->blackboard);
}

/* Publishes a view of @agent with one other agent, at @data. */
static void
publish_view(struct agent *agent, const char *name, struct addr data)
{
    struct view *view = view_new(1);

    view->seq = 1;
    view->count = 1;
    view->self = 1;
    view->members[0].id = hash_name(name);
    view->members[0].role = MEMBER_AGENT;
    view->members[0].data = data;
    blackboard_publish_view(&agent->blackboard, view);
}

/** struct links - two agents on one event loop; @b is in the view of @a */
struct links {
    struct event_base *base;
    struct agent a;
    struct agent b;
};

static void
links_init(struct links *links)
{
    recorded_count = 0;
    links->base = event_base_new();
    agent_start(&links->a, links->base, "a");
    agent_start(&links->b, links->base, "b");
    publish_view(&links->a, "b", links->b.settings.data);
}

static void
links_finish(struct links *links)
{
    agent_stop_links(&links->a);
    agent_stop_links(&links->b);
    event_base_free(links->base);
}

static void
run_until(struct links *links, size_t count)
{
    const struct timeval step = {0, 10000};

    for (int i = 0; i < LOOP_RUNS_MAX && recorded_count < count; i++) {
        event_base_loopexit(links->base, &step);
        event_base_dispatch(links->base);
    }
    g_assert_cmpuint(recorded_count, ==, count);
}

static int
send_run(struct agent *agent, const char *to, uint64_t id)
{
    struct engine_peer_msg msg = {
        .type = ENGINE_PEER_RUN,
        .origin = agent->self,
        .request = {.id = id, .deadline_us = agent_now(agent) + USEC_PER_SEC},
    };
    g_autoptr(GByteArray) http = g_byte_array_new();

    g_byte_array_append(http, (const guint8 *)"GET /", 5);
    int ret = peer_links_send(agent, hash_name(to), &msg, http, "");
    return ret;
}

static void
assert_call(size_t i, enum call_type type, uint64_t member, uint64_t id)
{
    g_assert_cmpint(recorded_calls[i].type, ==, type);
    g_assert_cmpuint(recorded_calls[i].member, ==, member);
    g_assert_cmpuint(recorded_calls[i].id, ==, id);
}

/* A RUN arrives with its request; a closed connection is reported as lost. */
TEST_F(links, run_and_lost_peer)
{
    publish_view(&links->b, "a", links->a.settings.data);
    g_assert_cmpint(send_run(&links->a, "b", 7), ==, 0);
    run_until(links, 1);
    assert_call(0, CALL_PEER, links->a.self, 0);
    g_assert_true(recorded_calls[0].agent == &links->b);
    g_assert_cmpuint(recorded_calls[0].msg.request.id, ==, 7);
    g_assert_cmpstr(recorded_calls[0].bytes, ==, "GET /");
    agent_stop_links(&links->b);
    run_until(links, 2);
    assert_call(1, CALL_LOST, hash_name("b"), 0);
    agent_start(&links->b, links->base, "b");
}

/* After a refused connection its requests are reported as unsent and the
 * member as dead. */
TEST_F(links, refused_connection)
{
    uint64_t b = hash_name("b");

    publish_view(&links->a, "b", loopback_closed(SOCK_STREAM));
    g_assert_cmpint(send_run(&links->a, "b", 7), ==, 0);
    g_assert_cmpint(send_run(&links->a, "b", 8), ==, 0);
    run_until(links, 4);
    assert_call(0, CALL_DEAD, b, 0);
    assert_call(1, CALL_UNSENT, b, 7);
    assert_call(2, CALL_UNSENT, b, 8);
    assert_call(3, CALL_LOST, b, 0);
    g_assert_cmpint(send_run(&links->a, "stranger", 9), ==, -ENOENT);
}

/* A RUN of a sender that isn't in the view is declined at once. */
TEST_F(links, unknown_sender_declined)
{
    g_assert_cmpint(send_run(&links->a, "b", 7), ==, 0);
    run_until(links, 1);
    g_assert_cmpint(recorded_calls[0].type, ==, CALL_PEER);
    g_assert_true(recorded_calls[0].agent == &links->a);
    g_assert_cmpint(recorded_calls[0].msg.type, ==, ENGINE_PEER_DONE);
    g_assert_cmpint(recorded_calls[0].msg.outcome, ==, ENGINE_NOT_RUN);
    g_assert_cmpuint(recorded_calls[0].msg.request.id, ==, 7);
    g_assert_cmpuint(recorded_calls[0].msg.origin, ==, links->a.self);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    rcu_register_thread();
    int code = harness_run();
    rcu_unregister_thread();
    return code;
}
