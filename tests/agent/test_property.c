/*
 * Random events at one agent, for fixed seeds. Each caller must receive
 * complete answers to its own requests, in order. A 503 must mean that the
 * request did not start. A non-idempotent request, and all requests of one key
 * together, must start at most once.
 */
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "tests/agent/fake_agent.h"
#include "tests/agent/fake_stack.h"
#include "lib/harness.h"

#define SUITE "/agent"
#define FLOWS 4
#define REQUESTS_MAX 4000
#define KEYS 40
#define STEPS 3000
#define SEEDS 20

/** struct sent_request - one request; @started counts the runs that may have
 * started */
struct sent_request {
    unsigned started;
    bool idempotent;
    int key;
};

/** struct backend_run - a run at the upstream or at the peer */
struct backend_run {
    void *data;
    uint64_t id;
    size_t sent_request;
};

/** struct client - a caller's flow and its unanswered requests, in order */
struct client {
    struct stack_conn conn;
    bool open;
    GArray *waiting;
};

/** struct world - the agent, its callers and its peer */
struct world {
    struct agent agent;
    struct clock_manual clock;
    GRand *random;
    struct client callers[FLOWS];
    struct sent_request sent_request[REQUESTS_MAX];
    size_t sent_count;
    unsigned key_started[KEYS];
    GPtrArray *runs;
    GPtrArray *at_peer;
    GArray *reserves;
    size_t answers[3]; /* complete, not run, other */
};

static struct world *current_world;

static size_t
request_number(const uint8_t *http)
{
    const char *at = strstr((const char *)http, "/r/");

    g_assert_nonnull(at);
    return (size_t)atoi(at + 3);
}

static struct backend_run *
start_run(struct world *world, const GByteArray *http)
{
    struct backend_run *run = g_new0(struct backend_run, 1);
    g_autofree char *text = g_strndup((const char *)http->data, http->len);

    run->sent_request = request_number((const uint8_t *)text);
    return run;
}

/* Counts a run that the upstream may have started, whatever its reported
 * end. */
static void
count_started(struct world *world, const struct backend_run *run)
{
    struct sent_request *sent_request =
        &world->sent_request[run->sent_request];

    sent_request->started++;
    if (sent_request->key >= 0) {
        g_assert_cmpuint(++world->key_started[sent_request->key], <=, 1);
    }
    else if (!sent_request->idempotent) {
        g_assert_cmpuint(sent_request->started, <=, 1);
    }
}

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
    struct backend_run *run = start_run(current_world, http);

    run->data = data;
    g_ptr_array_add(current_world->runs, run);
    g_assert_cmpuint(current_world->runs->len, <=, 2);
    return run;
}

void
backend_abort(struct backend_run *run)
{
    count_started(current_world, run);
    g_assert_true(g_ptr_array_remove(current_world->runs, run));
    g_free(run);
}

int
peer_links_send(struct agent *agent, uint64_t member,
                const struct engine_peer_msg *msg, const GByteArray *bytes,
                const char *traceparent)
{
    struct world *world = current_world;

    if (msg->type == ENGINE_PEER_RUN) {
        if (g_rand_int_range(world->random, 0, 10) == 0) {
            return -1; /* the link's queue is full */
        }
        struct backend_run *run = start_run(world, bytes);
        run->id = msg->request.id;
        g_ptr_array_add(world->at_peer, run);
    }
    else if (msg->type == ENGINE_PEER_IDEM &&
             msg->idem.type == IDEM_MSG_RESERVE) {
        g_array_append_val(world->reserves, msg->idem);
    }
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

/* Checks the complete answer to request @n; returns its length. */
static size_t
check_answer(struct world *world, const char *text, size_t n)
{
    const char *blank = strstr(text, "\r\n\r\n");
    const char *length = strstr(text, "Content-Length: ");

    g_assert_nonnull(blank);
    g_assert_true(length != NULL && length < blank);
    size_t body_len = (size_t)atoi(length + 16);
    const char *body = blank + 4;
    g_assert_cmpuint(strlen(body), >=, body_len);
    if (g_str_has_prefix(text, "HTTP/1.1 200 ")) {
        /* A replay is the answer to the first request with the key. */
        size_t first = (size_t)atoi(body);
        const struct sent_request *sent_request = &world->sent_request[n];
        g_assert_true(first == n ||
                      (sent_request->key >= 0 &&
                       world->sent_request[first].key == sent_request->key));
        world->answers[0]++;
    }
    else if (g_str_has_prefix(text, "HTTP/1.1 503 ")) {
        g_assert_cmpuint(world->sent_request[n].started, ==, 0);
        world->answers[1]++;
    }
    else {
        world->answers[2]++;
    }
    return (size_t)(body - text) + body_len;
}

static void
check_callers(struct world *world)
{
    for (size_t i = 0; i < FLOWS; i++) {
        struct client *caller = &world->callers[i];
        GString *written = caller->conn.written;
        while (caller->open && written->len > 0) {
            g_assert_cmpuint(caller->waiting->len, >, 0);
            size_t n = g_array_index(caller->waiting, size_t, 0);
            g_array_remove_index(caller->waiting, 0);
            size_t len = check_answer(world, written->str, n);
            g_string_erase(written, 0, (gssize)len);
        }
    }
}

static void
open_caller(struct world *world, size_t i)
{
    struct client *caller = &world->callers[i];

    fake_conn_init(&caller->conn, 0x0a010001 + (uint32_t)i);
    frontend_open(&world->agent.frontend, &caller->conn, world->clock.now_us);
    caller->open = true;
}

static void
close_caller(struct world *world, size_t i)
{
    struct client *caller = &world->callers[i];

    frontend_closed(&world->agent.frontend, &caller->conn);
    fake_conn_finish(&caller->conn);
    caller->open = false;
    g_array_set_size(caller->waiting, 0);
}

static void
send_request(struct world *world, size_t i)
{
    struct client *caller = &world->callers[i];
    size_t n = world->sent_count++;
    struct sent_request *sent_request = &world->sent_request[n];
    int kind = g_rand_int_range(world->random, 0, 3);
    char text[256];
    char key[64] = "";

    g_assert_cmpuint(n, <, REQUESTS_MAX);
    sent_request->idempotent = kind == 0;
    sent_request->key = -1;
    if (kind == 2) {
        sent_request->key = g_rand_int_range(world->random, 0, KEYS);
        g_snprintf(key, sizeof(key), "Idempotency-Key: k%d\r\n",
                   sent_request->key);
    }
    /* A retry repeats the first target of its key, as the fingerprint must
     * match. */
    size_t target = n;
    for (size_t k = 0; sent_request->key >= 0 && k < n; k++) {
        if (world->sent_request[k].key == sent_request->key) {
            target = k;
            break;
        }
    }
    g_snprintf(text, sizeof(text),
               "%s /r/%zu HTTP/1.1\r\nHost: h\r\n%sRequest-Timeout-Ms: %d\r\n"
               "Content-Length: 0\r\n\r\n",
               kind == 0 ? "GET" : "POST", target, key,
               g_rand_int_range(world->random, 20, 3000));
    g_array_append_val(caller->waiting, n);
    frontend_data(&world->agent.frontend, &caller->conn, (const uint8_t *)text,
                  strlen(text), world->clock.now_us);
}

static GByteArray *
answer_of_run(const struct backend_run *run)
{
    char body[32];

    g_snprintf(body, sizeof(body), "%zu whole", run->sent_request);
    return fake_agent_answer(body);
}

static void
end_run(struct world *world)
{
    static const enum engine_upstream ends[] = {
        ENGINE_UP_ANSWERED, ENGINE_UP_ANSWERED,  ENGINE_UP_ANSWERED,
        ENGINE_UP_REFUSED,  ENGINE_UP_UNREACHED, ENGINE_UP_LOST,
        ENGINE_UP_TRUNCATED};
    struct backend_owner *owner = world->agent.backend.owner;

    if (world->runs->len == 0) {
        return;
    }
    guint i =
        (guint)g_rand_int_range(world->random, 0, (gint)world->runs->len);
    g_autofree struct backend_run *run =
        g_ptr_array_steal_index_fast(world->runs, i);
    enum engine_upstream how =
        ends[g_rand_int_range(world->random, 0, (gint)G_N_ELEMENTS(ends))];
    if (how != ENGINE_UP_REFUSED && how != ENGINE_UP_UNREACHED) {
        count_started(world, run);
    }
    owner->ops->on_end(owner, run->data, how,
                       how == ENGINE_UP_ANSWERED ? answer_of_run(run) : NULL);
}

static void
deliver_message(struct world *world, const struct engine_peer_msg *msg,
                const GByteArray *bytes)
{
    requests_peer(&world->agent, hash_name(FAKE_AGENT_PEER), msg,
                  bytes == NULL ? NULL : bytes->data,
                  bytes == NULL ? 0 : bytes->len, "");
}

static void
peer_sends_done(struct world *world)
{
    struct engine_peer_msg msg = {.type = ENGINE_PEER_DONE,
                                  .origin = world->agent.self};
    GByteArray *answer = NULL;

    if (world->at_peer->len == 0) {
        return;
    }
    g_autofree struct backend_run *run =
        g_ptr_array_steal_index(world->at_peer, 0);
    int how = g_rand_int_range(world->random, 0, 4);
    msg.request.id = run->id;
    if (how == 0) {
        msg.outcome = ENGINE_NOT_RUN;
        msg.reason = ENGINE_QUEUE_FULL;
    }
    else {
        count_started(world, run);
        msg.outcome = how == 1 ? ENGINE_UNKNOWN : ENGINE_ANSWERED;
        answer = how == 1 ? NULL : answer_of_run(run);
    }
    deliver_message(world, &msg, answer);
    if (answer != NULL) {
        g_byte_array_unref(answer);
    }
}

/* Every request sent to the peer may have run there. */
static void
peer_is_lost(struct world *world)
{
    while (world->at_peer->len > 0) {
        g_autofree struct backend_run *run =
            g_ptr_array_steal_index(world->at_peer, 0);
        count_started(world, run);
    }
    requests_peer_lost(&world->agent, hash_name(FAKE_AGENT_PEER));
}

static void
peer_sends_grant(struct world *world)
{
    struct engine_peer_msg msg = {.type = ENGINE_PEER_IDEM};

    if (world->reserves->len == 0) {
        return;
    }
    msg.idem = g_array_index(world->reserves, struct idem_msg, 0);
    g_array_remove_index(world->reserves, 0);
    if (g_rand_int_range(world->random, 0, 8) == 0) {
        return; /* message lost */
    }
    msg.idem.type = IDEM_MSG_GRANT;
    msg.idem.state = IDEM_STARTED;
    deliver_message(world, &msg, NULL);
}

static void
peer_sends_pull_or_status(struct world *world)
{
    struct engine_peer_msg msg = {.type = ENGINE_PEER_PULL, .free_slots = 2};

    msg.type =
        g_rand_boolean(world->random) ? ENGINE_PEER_PULL : ENGINE_PEER_STATUS;
    deliver_message(world, &msg, NULL);
}

static void
tick(struct world *world)
{
    clock_manual_advance(&world->clock, 10 * USEC_PER_MSEC);
    agent_was_paused(&world->agent);
    requests_tick(&world->agent);
}

static void
step(struct world *world)
{
    size_t i = (size_t)g_rand_int_range(world->random, 0, FLOWS);
    struct client *caller = &world->callers[i];
    int event = g_rand_int_range(world->random, 0, 100);

    if (event < 30) {
        tick(world);
    }
    else if (event < 50) {
        end_run(world);
    }
    else if (event < 70) {
        if (caller->open) {
            send_request(world, i);
        }
        else {
            open_caller(world, i);
        }
    }
    else if (event < 82) {
        peer_sends_grant(world);
    }
    else if (event < 88) {
        peer_sends_pull_or_status(world);
    }
    else if (event < 96) {
        peer_sends_done(world);
    }
    else if (event < 98) {
        peer_is_lost(world);
    }
    else if (caller->open) {
        close_caller(world, i);
    }
    check_callers(world);
}

static void
world_init(struct world *world, guint32 seed)
{
    current_world = world;
    world->random = g_rand_new_with_seed(seed);
    world->runs = g_ptr_array_new();
    world->at_peer = g_ptr_array_new();
    world->reserves = g_array_new(FALSE, FALSE, sizeof(struct idem_msg));
    fake_agent_init(&world->agent, &world->clock, seed, 5000);
    for (size_t i = 0; i < FLOWS; i++) {
        world->callers[i].waiting = g_array_new(FALSE, FALSE, sizeof(size_t));
    }
    for (int i = 0; i < 2000; i++) {
        tick(world); /* until the engine's cold start has ended */
    }
}

static void
world_finish(struct world *world)
{
    for (size_t i = 0; i < FLOWS; i++) {
        if (world->callers[i].open) {
            close_caller(world, i);
        }
        g_array_unref(world->callers[i].waiting);
    }
    fake_agent_finish(&world->agent);
    g_ptr_array_free(world->runs, TRUE);
    g_ptr_array_free(world->at_peer, TRUE);
    g_array_unref(world->reserves);
    g_rand_free(world->random);
}

/* Every open request gets a final answer, and the engine holds none. */
static void
run_until_idle(struct world *world)
{
    for (int i = 0; i < 600; i++) {
        end_run(world);
        peer_sends_done(world);
        tick(world);
        check_callers(world);
    }
    for (size_t i = 0; i < FLOWS; i++) {
        if (world->callers[i].open) {
            g_assert_cmpuint(world->callers[i].waiting->len, ==, 0);
        }
    }
    g_assert_cmpuint(engine_open_requests(world->agent.requests.engine), ==,
                     0);
    g_assert_cmpuint(engine_busy(world->agent.requests.engine), ==, 0);
}

TEST(property)
{
    size_t answers[3] = {0};

    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        g_autofree struct world *world = g_new0(struct world, 1);
        g_test_message("seed %u", seed);
        world_init(world, seed);
        for (int i = 0; i < STEPS; i++) {
            step(world);
        }
        run_until_idle(world);
        for (size_t k = 0; k < G_N_ELEMENTS(answers); k++) {
            answers[k] += world->answers[k];
        }
        world_finish(world);
    }
    /* The events cover each kind of answer. */
    for (size_t k = 0; k < G_N_ELEMENTS(answers); k++) {
        g_assert_cmpuint(answers[k], >, 100);
    }
    g_test_message("%zu complete, %zu not run, %zu other", answers[0],
                   answers[1], answers[2]);
}
