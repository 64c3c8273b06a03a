/*
 * Runs a session of an agent with a manual clock and compares its log with
 * golden/session.txt. UPDATE_GOLDEN=1 rewrites that file.
 */
#include <stdlib.h>
#include <string.h>

#include "agent/answer.h"
#include "base/hash.h"
#include "tests/agent/fake_agent.h"
#include "tests/agent/fake_stack.h"
#include "lib/harness.h"

#define SUITE "/agent/session"
#define CALLER 0x0a010001
#define SERVICE "lots"
#define RUNS_MAX 64
#define TICK_STEP_MS 10

/* A run of the fake backend; the test ends it. */
struct backend_run {
    void *data;
    char *line;
    bool ended;
};

/** struct session - the agent under test and the log of its events */
struct session {
    struct agent agent;
    struct clock_manual clock;
    struct stack_conn caller;
    size_t logged;
    struct backend_run runs[RUNS_MAX];
    size_t run_count;
    struct idem_msg reserve;
    GString *log;
};

static struct session *current_session;

static void
log_line(const char *fmt, ...) G_GNUC_PRINTF(1, 2);

static void
log_line(const char *fmt, ...)
{
    struct session *session = current_session;
    uint64_t ms =
        (session->clock.now_us - FAKE_AGENT_START_US) / USEC_PER_MSEC;
    va_list args;

    g_string_append_printf(session->log, "%6u ms ", (unsigned)ms);
    va_start(args, fmt);
    g_string_append_vprintf(session->log, fmt, args);
    va_end(args);
    g_string_append_c(session->log, '\n');
}

/* Returns a message as one line, with " | " for each line end. */
static char *
one_line(const uint8_t *bytes, size_t len)
{
    g_autofree char *text = g_strndup((const char *)bytes, len);
    g_auto(GStrv) lines = g_strsplit(text, "\r\n", -1);

    for (char **line = lines; *line != NULL; line++) {
        /* Random, so that retries spread; the engine's tests check its
         * range. */
        if (g_str_has_prefix(*line, "Retry-After-Ms: ")) {
            (*line)[strlen("Retry-After-Ms: ")] = '\0';
        }
    }
    char *joined = g_strjoinv(" | ", lines);
    return joined;
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
    struct session *session = current_session;
    struct backend_run *run = &session->runs[session->run_count++];
    g_autofree char *text = one_line(http->data, http->len);
    g_autofree char *added = one_line((const uint8_t *)lines, strlen(lines));

    g_assert_cmpuint(session->run_count, <, RUNS_MAX);
    run->data = data;
    run->line = g_strndup(text, strcspn(text, "|"));
    log_line("run %zu at the upstream: %s + %s", session->run_count - 1, text,
             added);
    return run;
}

void
backend_abort(struct backend_run *run)
{
    log_line("abort %s", run->line);
    run->ended = true;
}

static const char *
idem_type_name(enum idem_msg_type type)
{
    static const char *const names[] = {
        "RESERVE", "GRANT", "EXISTS", "RELEASE", "RECORD", "ACK", "DENY"};

    return names[type];
}

int
peer_links_send(struct agent *agent, uint64_t member,
                const struct engine_peer_msg *msg, const GByteArray *bytes,
                const char *traceparent)
{
    struct session *session = current_session;

    if (msg->type == ENGINE_PEER_DONE) {
        char *text =
            bytes == NULL ? g_strdup("") : one_line(bytes->data, bytes->len);
        log_line("to peer: DONE %s %s %s", answer_outcome_name(msg->outcome),
                 answer_reason_name(msg->reason), text);
        g_free(text);
    }
    else if (msg->type == ENGINE_PEER_IDEM) {
        log_line("to peer: %s", idem_type_name(msg->idem.type));
        if (msg->idem.type == IDEM_MSG_RESERVE) {
            session->reserve = msg->idem;
        }
    }
    else if (msg->type == ENGINE_PEER_RUN) {
        log_line("to peer: RUN");
    }
    else if (msg->type == ENGINE_PEER_CANCEL) {
        log_line("to peer: CANCEL");
    }
    return 0;
}

void
upstream_connect_failed(struct agent *agent)
{
    log_line("connecting to the upstream failed");
}

void
ingress_flow(struct agent *agent, struct addr caller, struct addr local,
             bool open)
{
    log_line("flow %s", open ? "open" : "ended");
}

/* Logs the bytes that the caller received since the last call. */
static void
log_received(struct session *session)
{
    struct stack_conn *caller = &session->caller;

    if (caller->written->len > session->logged) {
        char *text =
            one_line((const uint8_t *)caller->written->str + session->logged,
                     caller->written->len - session->logged);
        log_line("caller receives: %s", text);
        g_free(text);
        session->logged = caller->written->len;
    }
    if (caller->closed) {
        log_line("caller's flow is closed");
        caller->closed = false;
    }
}

static void
send_request(struct session *session, const char *text)
{
    g_autofree char *line = one_line((const uint8_t *)text, strlen(text));

    log_line("caller sends: %s", line);
    frontend_data(&session->agent.frontend, &session->caller,
                  (const uint8_t *)text, strlen(text), session->clock.now_us);
    log_received(session);
}

static void
advance(struct session *session, unsigned ms)
{
    for (unsigned i = 0; i < ms; i += TICK_STEP_MS) {
        clock_manual_advance(&session->clock, TICK_STEP_MS * USEC_PER_MSEC);
        g_assert_false(agent_was_paused(&session->agent));
        requests_tick(&session->agent);
        log_received(session);
    }
}

static void
end_run(struct session *session, size_t i, enum engine_upstream how,
        const char *body)
{
    struct backend_owner *owner = session->agent.backend.owner;
    struct backend_run *run = &session->runs[i];
    GByteArray *answer = NULL;

    g_assert_cmpuint(i, <, session->run_count);
    if (run->ended) {
        log_line("(run %zu was aborted: its late answer is dropped)", i);
        return;
    }
    run->ended = true;
    if (body != NULL) {
        answer = fake_agent_answer(body);
    }
    log_line("run %zu ends: %s", i, body == NULL ? "no answer" : body);
    owner->ops->on_end(owner, run->data, how, answer);
    log_received(session);
}

static void
peer_sends_grant(struct session *session)
{
    struct engine_peer_msg msg = {.type = ENGINE_PEER_IDEM,
                                  .idem = session->reserve};

    msg.idem.type = IDEM_MSG_GRANT;
    msg.idem.state = IDEM_STARTED;
    log_line("peer sends GRANT");
    requests_peer(&session->agent, hash_name(FAKE_AGENT_PEER), &msg, NULL, 0,
                  "");
    log_received(session);
}

static void
peer_sends_run(struct session *session, uint64_t id, const char *http)
{
    struct engine_peer_msg msg = {
        .type = ENGINE_PEER_RUN,
        .origin = hash_name(FAKE_AGENT_PEER),
        .request = {.id = id,
                    .service = hash_service(SERVICE),
                    .caller = CALLER,
                    .class = SERVICE_CONFIG_URGENT,
                    .deadline_us = session->clock.now_us + USEC_PER_SEC},
    };

    log_line("peer sends RUN %" G_GUINT64_FORMAT, (guint64)id);
    requests_peer(&session->agent, msg.origin, &msg, (const uint8_t *)http,
                  strlen(http), "");
}

static void
session_init(struct session *session)
{
    current_session = session;
    session->log = g_string_new(NULL);
    fake_agent_init(&session->agent, &session->clock, 1, 1000);
    fake_conn_init(&session->caller, CALLER);
    advance(session, 20000); /* until the engine's cold start has ended */
    frontend_open(&session->agent.frontend, &session->caller,
                  session->clock.now_us);
}

static void
session_finish(struct session *session)
{
    fake_agent_finish(&session->agent);
    fake_conn_finish(&session->caller);
    for (size_t i = 0; i < session->run_count; i++) {
        g_free(session->runs[i].line);
    }
    g_string_free(session->log, TRUE);
}

static void
plain_and_pipelined_requests(struct session *session)
{
    send_request(session, "GET /lot/1 HTTP/1.1\r\nHost: h\r\n\r\n");
    advance(session, 20);
    end_run(session, 0, ENGINE_UP_ANSWERED, "free");
    send_request(session, "GET /lot/2 HTTP/1.1\r\nHost: h\r\n\r\n"
                          "GET /lot/3 HTTP/1.1\r\nHost: h\r\n\r\n");
    advance(session, 10);
    end_run(session, 2, ENGINE_UP_ANSWERED, "three");
    end_run(session, 1, ENGINE_UP_ANSWERED, "two");
}

static void
idempotency_reservation(struct session *session)
{
    static const char first[] = "POST /lot/1 HTTP/1.1\r\nHost: h\r\n"
                                "Idempotency-Key: k1\r\n"
                                "Content-Length: 4\r\n\r\nmine";
    static const char other[] = "POST /lot/1 HTTP/1.1\r\nHost: h\r\n"
                                "Idempotency-Key: k1\r\n"
                                "Content-Length: 4\r\n\r\nyour";

    send_request(session, first);
    peer_sends_grant(session);
    advance(session, 10);
    send_request(session, first);
    end_run(session, 3, ENGINE_UP_ANSWERED, "reserved");
    send_request(session, first);
    send_request(session, other);
    advance(session, 50);
}

static void
upstream_failures(struct session *session)
{
    send_request(session, "POST /lot/2 HTTP/1.1\r\nHost: h\r\n"
                          "Content-Length: 0\r\n\r\n");
    advance(session, 10);
    end_run(session, 4, ENGINE_UP_TRUNCATED, NULL);
    send_request(session, "POST /lot/3 HTTP/1.1\r\nHost: h\r\n"
                          "Content-Length: 0\r\n\r\n");
    advance(session, 10);
    end_run(session, 5, ENGINE_UP_LOST, NULL);
    send_request(session,
                 "POST /lot/4 HTTP/1.1\r\nHost: h\r\n"
                 "Content-Length: 0\r\nRequest-Timeout-Ms: 200\r\n\r\n");
    advance(session, 250);
    end_run(session, 6, ENGINE_UP_ANSWERED, "too late");
    advance(session, 2000);
}

static void
peer_request(struct session *session)
{
    peer_sends_run(session, 77,
                   "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    advance(session, 10);
    end_run(session, 7, ENGINE_UP_ANSWERED, "for the peer");
    advance(session, 20);
}

static void
planned_stop(struct session *session)
{
    send_request(session, "GET /last HTTP/1.1\r\nHost: h\r\n\r\n");
    log_line("a planned stop begins");
    session->agent.frontend.stopping = true;
    engine_set_upstream(session->agent.requests.engine, hash_service(SERVICE),
                        2, false, session->clock.now_us,
                        &session->agent.requests.out);
    requests_execute_actions(&session->agent);
    advance(session, 10);
    end_run(session, 8, ENGINE_UP_ANSWERED, "whole");
    frontend_closed(&session->agent.frontend, &session->caller);
    g_assert_cmpuint(engine_open_requests(session->agent.requests.engine), ==,
                     0);
    g_assert_cmpuint(engine_busy(session->agent.requests.engine), ==, 0);
}

static void
compare(const char *path, const char *log)
{
    g_autofree char *golden = NULL;

    if (g_getenv("UPDATE_GOLDEN") != NULL) {
        g_assert_true(g_file_set_contents(path, log, -1, NULL));
    }
    g_assert_true(g_file_get_contents(path, &golden, NULL, NULL));
    if (strcmp(golden, log) != 0) {
        g_test_message("%s", log);
    }
    g_assert_cmpstr(golden, ==, log);
}

TEST_F(session, session)
{
    plain_and_pipelined_requests(session);
    idempotency_reservation(session);
    upstream_failures(session);
    peer_request(session);
    planned_stop(session);
    compare(GOLDEN_DIR "/session.txt", session->log->str);
}

/* Requests read after the host changed its service are not run. */
TEST_F(session, service_changes)
{
    char request[64];

    for (int i = 0; i <= FRONTEND_PIPELINE_MAX; i++) {
        g_snprintf(request, sizeof(request),
                   "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i);
        send_request(session, request);
    }
    session->agent.service.ip++;
    session->agent.service.id = hash_service("albums");
    session->agent.upstream.service = hash_service("albums");
    end_run(session, 0, ENGINE_UP_ANSWERED, "zero");
    advance(session, 2000);
    g_assert_null(strstr(session->log->str, "upstream: GET /8"));
    g_assert_null(strstr(session->log->str, "upstream: GET /2"));
    g_assert_nonnull(strstr(session->log->str, "no-upstream"));
    frontend_closed(&session->agent.frontend, &session->caller);
}
