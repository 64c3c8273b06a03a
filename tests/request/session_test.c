/* Compares a session of two agents, step by step, with a golden file.
 * UPDATE_GOLDEN=1 rewrites the file. */
#include <glib.h>

#include "request/engine.h"

#define SERVICE 7
#define AGENTS 2
#define SLOTS 1
#define DELAY_US USEC_PER_MSEC
#define START_US (1000 * USEC_PER_SEC)

struct message {
    uint64_t at_us;
    uint64_t from;
    uint64_t to;
    struct engine_peer_msg msg;
};

struct session {
    uint64_t now_us;
    struct engine *engines[AGENTS];
    GArray *messages;
    GString *log;
    bool draining;
};

static const uint8_t answer[] = "HTTP/1.1 200 OK\r\n\r\n";

static const char *const peer_names[] = {"STATUS", "PULL", "RUN",  "DONE",
                                         "CANCEL", "IDEM", "PROBE"};
static const char *const outcome_names[] = {"answered", "not run", "unknown",
                                            "in progress", "key mismatch"};

static void
log_line(struct session *s, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void
log_line(struct session *s, const char *format, ...)
{
    va_list args;

    g_string_append_printf(s->log, "%7.1f ms  ",
                           (double)(s->now_us - START_US) / USEC_PER_MSEC);
    va_start(args, format);
    g_string_append_vprintf(s->log, format, args);
    va_end(args);
    g_string_append_c(s->log, '\n');
}

static void
log_message(struct session *s, unsigned agent,
            const struct engine_action *action)
{
    const struct engine_peer_msg *msg = &action->msg;

    switch (msg->type) {
    case ENGINE_PEER_STATUS:
        log_line(s, "  %u -> %u STATUS free %u waiting %u+%u", agent + 1,
                 (unsigned)action->to, msg->free_slots, msg->waiting[0],
                 msg->waiting[1]);
        return;
    case ENGINE_PEER_PULL:
        log_line(s, "  %u -> %u PULL free %u", agent + 1, (unsigned)action->to,
                 msg->free_slots);
        return;
    case ENGINE_PEER_DONE:
        log_line(s, "  %u -> %u DONE %u %s, reason %d", agent + 1,
                 (unsigned)action->to, (unsigned)msg->request.id,
                 outcome_names[msg->outcome], msg->reason);
        return;
    default:
        log_line(s, "  %u -> %u %s %u", agent + 1, (unsigned)action->to,
                 peer_names[msg->type], (unsigned)msg->request.id);
    }
}

static void
apply_actions(struct session *s, unsigned agent, struct engine_actions *out)
{
    for (size_t i = 0; i < out->count; i++) {
        const struct engine_action *action = &out->items[i];
        struct message message = {s->now_us + DELAY_US, agent + 1, action->to,
                                  action->msg};

        switch (action->type) {
        case ENGINE_RUN:
            log_line(s, "  %u runs %u of %u", agent + 1, (unsigned)action->id,
                     (unsigned)action->origin);
            break;
        case ENGINE_ABORT:
            log_line(s, "  %u aborts %u of %u", agent + 1,
                     (unsigned)action->id, (unsigned)action->origin);
            break;
        case ENGINE_SEND:
            log_message(s, agent, action);
            g_array_append_val(s->messages, message);
            break;
        case ENGINE_FINISH:
            log_line(s, "  %u finishes %u: %s, reason %d%s", agent + 1,
                     (unsigned)action->id, outcome_names[action->outcome],
                     action->reason,
                     action->retry_after_ms > 0 ? ", retry later" : "");
            break;
        }
    }
    engine_actions_finish(out);
}

static void
set_views(struct session *s)
{
    struct view *view =
        g_malloc0(sizeof(*view) + AGENTS * sizeof(view->members[0]));

    view->count = AGENTS;
    for (unsigned i = 0; i < AGENTS; i++) {
        view->members[i].id = i + 1;
        view->members[i].role = MEMBER_AGENT;
        view->members[i].state =
            i == 0 && s->draining ? MEMBER_DRAINING : MEMBER_READY;
        view->members[i].service = SERVICE;
        view->members[i].slots = SLOTS;
        view->members[i].incarnation = 1;
    }
    for (unsigned i = 0; i < AGENTS; i++) {
        struct engine_actions out = {0};

        view->self = i;
        engine_set_view(s->engines[i], view, s->now_us, &out);
        apply_actions(s, i, &out);
    }
    g_free(view);
}

static void
set_upstream(struct session *s, unsigned agent, bool accepting)
{
    struct engine_actions out = {0};

    engine_set_upstream(s->engines[agent], SERVICE, SLOTS, accepting,
                        s->now_us, &out);
    apply_actions(s, agent, &out);
}

static void
deliver(struct session *s)
{
    for (guint i = 0; i < s->messages->len;) {
        struct message message = g_array_index(s->messages, struct message, i);
        struct engine_actions out = {0};

        if (message.at_us > s->now_us) {
            i++;
            continue;
        }
        g_array_remove_index(s->messages, i);
        engine_peer(s->engines[message.to - 1], message.from, &message.msg,
                    answer, sizeof(answer), s->now_us, &out);
        apply_actions(s, (unsigned)message.to - 1, &out);
    }
}

static void
wait_ms(struct session *s, unsigned ms)
{
    for (unsigned i = 0; i < ms; i++) {
        s->now_us += USEC_PER_MSEC;
        deliver(s);
        for (unsigned a = 0; a < AGENTS; a++) {
            struct engine_actions out = {0};

            if ((s->now_us - START_US) % (10 * USEC_PER_MSEC) == 0) {
                engine_tick(s->engines[a], s->now_us, &out);
                apply_actions(s, a, &out);
            }
        }
    }
}

static void
arrive(struct session *s, unsigned agent, uint64_t id,
       enum service_config_class class, uint64_t left_ms)
{
    struct engine_request request = {
        .id = id, .service = SERVICE, .caller = (uint32_t)id, .class = class};
    struct engine_actions out = {0};

    log_line(s, "%s %u arrives at %u, %u ms left",
             class == SERVICE_CONFIG_URGENT ? "urgent" : "ordinary",
             (unsigned)id, agent + 1, (unsigned)left_ms);
    request.deadline_us = s->now_us + left_ms * USEC_PER_MSEC;
    engine_arrive(s->engines[agent], &request, s->now_us, &out);
    apply_actions(s, agent, &out);
}

static void
end(struct session *s, unsigned agent, uint64_t origin, uint64_t id,
    enum engine_upstream how)
{
    struct engine_actions out = {0};

    log_line(s, "run %u of %u ends at %u, how %d", (unsigned)id,
             (unsigned)origin, agent + 1, how);
    engine_upstream_end(s->engines[agent], origin, id, how, answer,
                        sizeof(answer), s->now_us, &out);
    apply_actions(s, agent, &out);
}

static void
run_requests(struct session *s)
{
    arrive(s, 0, 1, SERVICE_CONFIG_ORDINARY, 1000);
    arrive(s, 1, 101, SERVICE_CONFIG_URGENT, 1000);
    arrive(s, 0, 2, SERVICE_CONFIG_ORDINARY, 1000);
    arrive(s, 0, 3, SERVICE_CONFIG_URGENT, 1000);
    wait_ms(s, 5);
    end(s, 1, 2, 101, ENGINE_UP_ANSWERED);
    wait_ms(s, 5);
    end(s, 1, 1, 3, ENGINE_UP_ANSWERED);
    wait_ms(s, 5);
    end(s, 0, 1, 1, ENGINE_UP_LOST);
    wait_ms(s, 5);
}

static void
run_faults(struct session *s)
{
    struct engine_actions out = {0};

    log_line(s, "the upstream of 1 drains");
    s->draining = true;
    set_upstream(s, 0, false);
    set_views(s);
    arrive(s, 0, 4, SERVICE_CONFIG_URGENT, 1000);
    wait_ms(s, 5);
    end(s, 1, 1, 2, ENGINE_UP_ANSWERED);
    wait_ms(s, 5);
    log_line(s, "the caller of 4 closes");
    engine_cancel(s->engines[0], 4, s->now_us, &out);
    apply_actions(s, 0, &out);
    wait_ms(s, 5);
    end(s, 1, 1, 4, ENGINE_UP_ANSWERED);
    arrive(s, 1, 102, SERVICE_CONFIG_URGENT, 50);
    wait_ms(s, 120);
    log_line(s, "1 stops");
    engine_stop(s->engines[0], s->now_us, &out);
    apply_actions(s, 0, &out);
    arrive(s, 0, 5, SERVICE_CONFIG_URGENT, 1000);
    wait_ms(s, 20);
}

static void
assert_golden(const char *log)
{
    char *path = g_test_build_filename(G_TEST_DIST, "session.golden", NULL);
    char *golden = NULL;

    if (g_getenv("UPDATE_GOLDEN") != NULL) {
        g_assert_true(g_file_set_contents(path, log, -1, NULL));
    }
    g_assert_true(g_file_get_contents(path, &golden, NULL, NULL));
    g_assert_cmpstr(log, ==, golden);
    g_free(golden);
    g_free(path);
}

static void
test_session(void)
{
    struct session s = {.now_us = START_US};

    s.messages = g_array_new(FALSE, FALSE, sizeof(struct message));
    s.log = g_string_new(NULL);
    for (unsigned i = 0; i < AGENTS; i++) {
        s.engines[i] = engine_new(i + 1, ENGINE_PULL, i + 1);
        set_upstream(&s, i, true);
    }
    set_views(&s);
    run_requests(&s);
    run_faults(&s);
    assert_golden(s.log->str);
    for (unsigned i = 0; i < AGENTS; i++) {
        g_assert_cmpuint(engine_open_requests(s.engines[i]), ==, 0);
        g_assert_cmpuint(engine_busy(s.engines[i]), ==, 0);
        engine_free(s.engines[i]);
    }
    g_string_free(s.log, TRUE);
    g_array_free(s.messages, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/request/session", test_session);
    return g_test_run();
}
