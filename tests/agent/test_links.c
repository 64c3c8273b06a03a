/* Links between agents over real sockets; what they tell is noted. */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "agent/program.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "lib/loopback.h"

#define SUITE "/agent/links"
#define NOTES_MAX 8
#define ROUNDS 200

/* What a call told, for the agent it was told to. */
enum note_type { NOTE_PEER, NOTE_LOST, NOTE_UNSENT, NOTE_DEAD };

/** struct note - one call of the links into the rest of the agent */
struct note {
    enum note_type type;
    const struct agent *agent;
    uint64_t member;
    uint64_t id;
    struct engine_peer_msg msg;
    char bytes[32];
};

static struct note notes[NOTES_MAX];
static size_t note_count;

static void
add_note(const struct note *note)
{
    g_assert_cmpuint(note_count, <, NOTES_MAX);
    notes[note_count++] = *note;
}

void
requests_peer(struct agent *agent, uint64_t from,
              const struct engine_peer_msg *msg, const uint8_t *bytes,
              size_t len, const char *traceparent)
{
    struct note note = {
        .type = NOTE_PEER, .agent = agent, .member = from, .msg = *msg};

    g_assert_cmpuint(len, <, sizeof(note.bytes));
    if (bytes != NULL) {
        memcpy(note.bytes, bytes, len);
    }
    add_note(&note);
}

void
requests_peer_lost(struct agent *agent, uint64_t member)
{
    add_note(
        &(struct note){.type = NOTE_LOST, .agent = agent, .member = member});
}

void
requests_unsent(struct agent *agent, uint64_t member, uint64_t id)
{
    add_note(&(struct note){
        .type = NOTE_UNSENT, .agent = agent, .member = member, .id = id});
}

void
control_report_dead(struct control *control, uint64_t member,
                    uint64_t incarnation)
{
    add_note(&(struct note){.type = NOTE_DEAD, .member = member});
}

void
notices_receive(struct agent *agent, uint64_t from,
                const struct peer_wire *wire)
{
    g_assert_not_reached();
}

static void
agent_begin(struct agent *agent, struct event_base *base, const char *name)
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
agent_end(struct agent *agent)
{
    peer_links_finish(agent);
    flow_table_free(agent->flows);
    blackboard_finish(&agent->blackboard);
}

/* Makes @agent know one other agent, at @data. */
static void
know(struct agent *agent, const char *name, struct addr data)
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

/** struct links - two agents on one loop; @a knows @b */
struct links {
    struct event_base *base;
    struct agent a;
    struct agent b;
};

static void
links_init(struct links *links)
{
    note_count = 0;
    links->base = event_base_new();
    agent_begin(&links->a, links->base, "a");
    agent_begin(&links->b, links->base, "b");
    know(&links->a, "b", links->b.settings.data);
}

static void
links_finish(struct links *links)
{
    agent_end(&links->a);
    agent_end(&links->b);
    event_base_free(links->base);
}

static void
run_until(struct links *links, size_t count)
{
    const struct timeval step = {0, 10000};

    for (int i = 0; i < ROUNDS && note_count < count; i++) {
        event_base_loopexit(links->base, &step);
        event_base_dispatch(links->base);
    }
    g_assert_cmpuint(note_count, ==, count);
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
assert_note(size_t i, enum note_type type, uint64_t member, uint64_t id)
{
    g_assert_cmpint(notes[i].type, ==, type);
    g_assert_cmpuint(notes[i].member, ==, member);
    g_assert_cmpuint(notes[i].id, ==, id);
}

TEST_F(links, whole_message)
{
    know(&links->b, "a", links->a.settings.data);
    g_assert_cmpint(send_run(&links->a, "b", 7), ==, 0);
    run_until(links, 1);
    assert_note(0, NOTE_PEER, links->a.self, 0);
    g_assert_true(notes[0].agent == &links->b);
    g_assert_cmpuint(notes[0].msg.request.id, ==, 7);
    g_assert_cmpstr(notes[0].bytes, ==, "GET /");
    agent_end(&links->b);
    run_until(links, 2);
    assert_note(1, NOTE_LOST, hash_name("b"), 0);
    agent_begin(&links->b, links->base, "b");
}

/* A connection that never came up carried nothing: its runs are unsent, not
 * lost, and its process is known to be gone. */
TEST_F(links, refused)
{
    uint64_t b = hash_name("b");

    know(&links->a, "b", loopback_closed(SOCK_STREAM));
    g_assert_cmpint(send_run(&links->a, "b", 7), ==, 0);
    g_assert_cmpint(send_run(&links->a, "b", 8), ==, 0);
    run_until(links, 4);
    assert_note(0, NOTE_DEAD, b, 0);
    assert_note(1, NOTE_UNSENT, b, 7);
    assert_note(2, NOTE_UNSENT, b, 8);
    assert_note(3, NOTE_LOST, b, 0);
    g_assert_cmpint(send_run(&links->a, "stranger", 9), ==, -ENOENT);
}

/* A run asked by a member that is not known here yet is declined at once. */
TEST_F(links, unknown_sender)
{
    g_assert_cmpint(send_run(&links->a, "b", 7), ==, 0);
    run_until(links, 1);
    g_assert_cmpint(notes[0].type, ==, NOTE_PEER);
    g_assert_true(notes[0].agent == &links->a);
    g_assert_cmpint(notes[0].msg.type, ==, ENGINE_PEER_DONE);
    g_assert_cmpint(notes[0].msg.outcome, ==, ENGINE_NOT_RUN);
    g_assert_cmpuint(notes[0].msg.request.id, ==, 7);
    g_assert_cmpuint(notes[0].msg.origin, ==, links->a.self);
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
