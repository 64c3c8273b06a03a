/* One engine, its decisions one by one; peers are played by the test. */
#include <errno.h>

#include "request/state.h"

#define SELF 1
#define PEER 2
#define OTHER 3
#define SERVICE 7
#define NEEDED 8
#define MS USEC_PER_MSEC

static const uint8_t ok[] = "HTTP/1.1 200 OK\r\n\r\n";
static const uint8_t error[] = "HTTP/1.1 500 No\r\n\r\n";

struct fixture {
    struct engine *engine;
    struct engine_actions out;
    uint64_t now_us;
    uint64_t next_id;
};

static void
set_members(struct fixture *f, enum member_state own, unsigned peers,
            bool needed_alive)
{
    unsigned count = 1 + peers + 1;
    struct view *view =
        g_malloc0(sizeof(*view) + count * sizeof(view->members[0]));

    view->count = count;
    for (unsigned i = 0; i < count; i++) {
        view->members[i].id = SELF + i;
        view->members[i].role = MEMBER_AGENT;
        view->members[i].state = i == 0 ? own : MEMBER_READY;
        view->members[i].service = i == count - 1 ? NEEDED : SERVICE;
        view->members[i].slots = 2;
        view->members[i].incarnation = 1;
    }
    if (!needed_alive) {
        view->members[count - 1].health = MEMBER_DEAD;
    }
    engine_set_view(f->engine, view, f->now_us, &f->out);
    g_free(view);
}

static void
set_services(struct fixture *f, enum text_class needed_class)
{
    struct text_service services[2] = {
        {.id = SERVICE, .class = TEXT_URGENT},
        {.id = NEEDED, .class = needed_class},
    };
    struct text text = {.services = services, .count = 2};

    services[0].depends[0] = 1;
    services[0].depends_count = 1;
    services[0].limits.queue = 16;
    services[0].limits.requests_per_caller = 100;
    services[1].limits = services[0].limits;
    services[1].limits.requests_per_caller = 4;
    engine_set_text(f->engine, &text, f->now_us, &f->out);
}

static void
set_up(struct fixture *f, gconstpointer data)
{
    *f = (struct fixture){.now_us = 1000 * USEC_PER_SEC};
    f->engine = engine_new(SELF, ENGINE_PULL, 42);
    set_services(f, TEXT_ORDINARY);
    set_members(f, MEMBER_READY, 2, true);
    engine_set_upstream(f->engine, SERVICE, 2, true, f->now_us, &f->out);
    f->out.count = 0;
}

static void
tear_down(struct fixture *f, gconstpointer data)
{
    engine_actions_finish(&f->out);
    engine_free(f->engine);
}

static uint64_t
arrive(struct fixture *f, enum text_class class, bool idempotent,
       uint64_t left_us)
{
    struct engine_request request = {
        .id = ++f->next_id,
        .service = SERVICE,
        .caller = 9,
        .class = class,
        .idempotent = idempotent,
        .deadline_us = f->now_us + left_us,
    };

    f->out.count = 0;
    g_assert_cmpint(engine_arrive(f->engine, &request, f->now_us, &f->out), ==,
                    0);
    return request.id;
}

static void
end(struct fixture *f, uint64_t origin, uint64_t id, enum engine_upstream how)
{
    f->out.count = 0;
    engine_upstream_end(f->engine, origin, id, how, ok, sizeof(ok), f->now_us,
                        &f->out);
}

static void
receive(struct fixture *f, enum engine_peer_type type, uint64_t id,
        enum engine_outcome outcome, enum engine_reason reason)
{
    struct engine_peer_msg msg = {
        .type = type,
        .request = {.id = id, .service = SERVICE},
        .origin = type == ENGINE_PEER_DONE ? SELF : PEER,
        .outcome = outcome,
        .reason = reason,
        .free_slots = 1,
    };

    msg.request.deadline_us = f->now_us + USEC_PER_SEC;
    f->out.count = 0;
    engine_peer(f->engine, PEER, &msg, ok, sizeof(ok), f->now_us, &f->out);
}

static void
tick_to(struct fixture *f, uint64_t at_us)
{
    f->out.count = 0;
    while (f->now_us < at_us) {
        f->now_us = MIN(f->now_us + 10 * MS, at_us);
        engine_tick(f->engine, f->now_us, &f->out);
    }
}

static const struct engine_action *
find(const struct fixture *f, enum engine_action_type type, uint64_t id)
{
    for (size_t i = 0; i < f->out.count; i++) {
        if (f->out.items[i].type == type && f->out.items[i].id == id) {
            return &f->out.items[i];
        }
    }
    return NULL;
}

static const struct engine_action *
find_sent(const struct fixture *f, enum engine_peer_type type, uint64_t to)
{
    for (size_t i = 0; i < f->out.count; i++) {
        const struct engine_action *action = &f->out.items[i];

        if (action->type == ENGINE_SEND && action->msg.type == type &&
            action->to == to) {
            return action;
        }
    }
    return NULL;
}

static void
assert_finished(const struct fixture *f, uint64_t id,
                enum engine_outcome outcome, enum engine_reason reason)
{
    const struct engine_action *action = find(f, ENGINE_FINISH, id);

    g_assert_nonnull(action);
    g_assert_cmpint(action->outcome, ==, outcome);
    g_assert_cmpint(action->reason, ==, reason);
}

/* Makes runs take @run_us as far as the engine knows. */
static void
learn_run_time(struct fixture *f, uint64_t run_us)
{
    for (int i = 0; i < 20; i++) {
        uint64_t id = arrive(f, TEXT_URGENT, false, 10 * USEC_PER_SEC);

        f->now_us += run_us;
        end(f, SELF, id, ENGINE_UP_ANSWERED);
    }
}

static void
fill_slots(struct fixture *f)
{
    arrive(f, TEXT_URGENT, false, 10 * USEC_PER_SEC);
    arrive(f, TEXT_URGENT, false, 10 * USEC_PER_SEC);
    g_assert_cmpuint(engine_busy(f->engine), ==, 2);
}

static void
test_outcomes(struct fixture *f, gconstpointer data)
{
    uint64_t id = arrive(f, TEXT_URGENT, false, USEC_PER_SEC);

    g_assert_nonnull(find(f, ENGINE_RUN, id));
    end(f, SELF, id, ENGINE_UP_ANSWERED);
    assert_finished(f, id, ENGINE_ANSWERED, ENGINE_REASON_NONE);
    id = arrive(f, TEXT_URGENT, false, USEC_PER_SEC);
    end(f, SELF, id, ENGINE_UP_LOST);
    assert_finished(f, id, ENGINE_UNKNOWN, ENGINE_LOST);
    id = arrive(f, TEXT_URGENT, false, USEC_PER_SEC);
    end(f, SELF, id, ENGINE_UP_SHORT);
    assert_finished(f, id, ENGINE_UNKNOWN, ENGINE_SHORT);
}

/* A second attempt prefers a peer for a while, then takes the same. */
static void
test_retried_elsewhere(struct fixture *f, gconstpointer data)
{
    uint64_t id = arrive(f, TEXT_URGENT, true, USEC_PER_SEC);

    end(f, SELF, id, ENGINE_UP_LOST);
    g_assert_null(find(f, ENGINE_FINISH, id));
    g_assert_null(find(f, ENGINE_RUN, id));
    receive(f, ENGINE_PEER_PULL, 0, 0, 0);
    g_assert_nonnull(find_sent(f, ENGINE_PEER_RUN, PEER));
    id = arrive(f, TEXT_URGENT, true, USEC_PER_SEC);
    end(f, SELF, id, ENGINE_UP_LOST);
    tick_to(f, f->now_us + 100 * MS);
    g_assert_nonnull(find(f, ENGINE_RUN, id));
}

/* An idempotent request that may have run is never "not run" afterwards. */
static void
test_lost_then_refused(struct fixture *f, gconstpointer data)
{
    uint64_t id = arrive(f, TEXT_URGENT, true, USEC_PER_SEC);

    end(f, SELF, id, ENGINE_UP_LOST);
    tick_to(f, f->now_us + 100 * MS);
    end(f, SELF, id, ENGINE_UP_REFUSED);
    tick_to(f, f->now_us + 100 * MS);
    end(f, SELF, id, ENGINE_UP_REFUSED);
    assert_finished(f, id, ENGINE_UNKNOWN, ENGINE_UPSTREAM_SHED);
}

static void
test_deadline_while_running(struct fixture *f, gconstpointer data)
{
    uint64_t id = arrive(f, TEXT_URGENT, true, 100 * MS);

    tick_to(f, f->now_us + 100 * MS);
    assert_finished(f, id, ENGINE_UNKNOWN, ENGINE_DEADLINE);
    g_assert_nonnull(find(f, ENGINE_ABORT, id));
    g_assert_cmpuint(engine_busy(f->engine), ==, 1);
    tick_to(f, f->now_us + ENGINE_ABORT_GRACE_US);
    g_assert_cmpuint(engine_busy(f->engine), ==, 0);
    end(f, SELF, id, ENGINE_UP_ANSWERED);
    g_assert_cmpuint(f->out.count, ==, 0);
}

static void
test_run_decided_once(struct fixture *f, gconstpointer data)
{
    receive(f, ENGINE_PEER_RUN, 50, 0, 0);
    g_assert_nonnull(find(f, ENGINE_RUN, 50));
    receive(f, ENGINE_PEER_RUN, 50, 0, 0);
    g_assert_null(find(f, ENGINE_RUN, 50));
    end(f, PEER, 50, ENGINE_UP_ANSWERED);
    g_assert_nonnull(find_sent(f, ENGINE_PEER_DONE, PEER));
    receive(f, ENGINE_PEER_RUN, 50, 0, 0);
    g_assert_null(find(f, ENGINE_RUN, 50));
    receive(f, ENGINE_PEER_CANCEL, 51, 0, 0);
    receive(f, ENGINE_PEER_RUN, 51, 0, 0);
    g_assert_null(find(f, ENGINE_RUN, 51));
}

static void
test_full_declines(struct fixture *f, gconstpointer data)
{
    const struct engine_action *done;

    fill_slots(f);
    receive(f, ENGINE_PEER_RUN, 50, 0, 0);
    done = find_sent(f, ENGINE_PEER_DONE, PEER);
    g_assert_nonnull(done);
    g_assert_cmpint(done->msg.outcome, ==, ENGINE_NOT_RUN);
    g_assert_cmpint(done->msg.reason, ==, ENGINE_QUEUE_FULL);
    receive(f, ENGINE_PEER_RUN, 50, 0, 0);
    g_assert_null(find_sent(f, ENGINE_PEER_DONE, PEER));
}

static void
tell_load(struct fixture *f, uint64_t from, uint16_t load)
{
    struct engine_peer_msg msg = {.type = ENGINE_PEER_STATUS, .load = load};

    engine_peer(f->engine, from, &msg, NULL, 0, f->now_us, &f->out);
}

/* Sends a request to PEER by its offer; returns its id. */
static uint64_t
send_to_peer(struct fixture *f, bool idempotent)
{
    uint64_t id;

    fill_slots(f);
    id = arrive(f, TEXT_URGENT, idempotent, USEC_PER_SEC);
    receive(f, ENGINE_PEER_PULL, 0, 0, 0);
    g_assert_nonnull(find_sent(f, ENGINE_PEER_RUN, PEER));
    return id;
}

static void
test_peer_answers(struct fixture *f, gconstpointer data)
{
    uint64_t id = send_to_peer(f, false);

    receive(f, ENGINE_PEER_DONE, id, ENGINE_ANSWERED, 0);
    assert_finished(f, id, ENGINE_ANSWERED, ENGINE_REASON_NONE);
    receive(f, ENGINE_PEER_DONE, id, ENGINE_ANSWERED, 0);
    g_assert_null(find(f, ENGINE_FINISH, id));
    g_assert_cmpuint(engine_counters(f->engine)->dropped, ==, 1);
}

static void
test_peer_declines(struct fixture *f, gconstpointer data)
{
    uint64_t id = send_to_peer(f, false);

    receive(f, ENGINE_PEER_DONE, id, ENGINE_NOT_RUN, ENGINE_QUEUE_FULL);
    g_assert_cmpuint(engine_waiting(f->engine), ==, 1);
    receive(f, ENGINE_PEER_PULL, 0, 0, 0);
    g_assert_null(find_sent(f, ENGINE_PEER_RUN, PEER));
    tick_to(f, f->now_us + USEC_PER_SEC);
    assert_finished(f, id, ENGINE_NOT_RUN, ENGINE_TOO_LATE);
}

static void
test_peer_lost(struct fixture *f, gconstpointer data)
{
    uint64_t id = send_to_peer(f, false);

    f->out.count = 0;
    engine_peer_lost(f->engine, PEER, f->now_us, &f->out);
    assert_finished(f, id, ENGINE_UNKNOWN, ENGINE_LOST);
}

static void
test_peer_lost_idempotent(struct fixture *f, gconstpointer data)
{
    uint64_t id = send_to_peer(f, true);

    f->out.count = 0;
    engine_peer_lost(f->engine, PEER, f->now_us, &f->out);
    g_assert_null(find(f, ENGINE_FINISH, id));
    g_assert_cmpuint(engine_waiting(f->engine), ==, 1);
}

static void
test_unsent(struct fixture *f, gconstpointer data)
{
    uint64_t id = send_to_peer(f, false);

    engine_unsent(f->engine, PEER, id, f->now_us, &f->out);
    g_assert_cmpuint(engine_waiting(f->engine), ==, 1);
    engine_cancel(f->engine, id, f->now_us, &f->out);
    assert_finished(f, id, ENGINE_NOT_RUN, ENGINE_CANCELLED);
}

static void
test_cancel_goes_down(struct fixture *f, gconstpointer data)
{
    uint64_t id = send_to_peer(f, false);

    f->out.count = 0;
    engine_cancel(f->engine, id, f->now_us, &f->out);
    g_assert_nonnull(find_sent(f, ENGINE_PEER_CANCEL, PEER));
    assert_finished(f, id, ENGINE_UNKNOWN, ENGINE_CANCELLED);
    receive(f, ENGINE_PEER_RUN, 50, 0, 0);
    end(f, SELF, 1, ENGINE_UP_ANSWERED);
    receive(f, ENGINE_PEER_RUN, 52, 0, 0);
    g_assert_nonnull(find(f, ENGINE_RUN, 52));
    receive(f, ENGINE_PEER_CANCEL, 52, 0, 0);
    g_assert_nonnull(find(f, ENGINE_ABORT, 52));
}

static void
test_urgent_displaces(struct fixture *f, gconstpointer data)
{
    uint64_t last = 0;

    fill_slots(f);
    for (int i = 0; i < 16; i++) {
        last = arrive(f, TEXT_ORDINARY, false, 10 * USEC_PER_SEC + i);
    }
    arrive(f, TEXT_ORDINARY, false, 10 * USEC_PER_SEC);
    assert_finished(f, f->next_id, ENGINE_NOT_RUN, ENGINE_QUEUE_FULL);
    arrive(f, TEXT_URGENT, false, 10 * USEC_PER_SEC);
    assert_finished(f, last, ENGINE_NOT_RUN, ENGINE_QUEUE_FULL);
    g_assert_cmpuint(engine_waiting_of(f->engine, TEXT_URGENT), ==, 1);
    g_assert_cmpuint(engine_waiting(f->engine), ==, 16);
}

static void
test_ordinary_floor(struct fixture *f, gconstpointer data)
{
    unsigned urgent_before = 0;
    uint64_t running = 1;
    uint64_t ordinary;

    fill_slots(f);
    ordinary = arrive(f, TEXT_ORDINARY, false, 60 * USEC_PER_SEC);
    while (urgent_before < 20) {
        uint64_t id = arrive(f, TEXT_URGENT, false, 60 * USEC_PER_SEC);

        end(f, SELF, running, ENGINE_UP_ANSWERED);
        if (find(f, ENGINE_RUN, ordinary) != NULL) {
            break;
        }
        g_assert_nonnull(find(f, ENGINE_RUN, id));
        running = id;
        urgent_before++;
    }
    g_assert_cmpuint(urgent_before, ==, QUEUE_ORDINARY_EVERY - 1);
}

static void
test_too_late_at_once(struct fixture *f, gconstpointer data)
{
    const struct engine_action *refused;
    uint64_t waiting;

    learn_run_time(f, 100 * MS);
    fill_slots(f);
    arrive(f, TEXT_URGENT, false, 90 * MS);
    assert_finished(f, f->next_id, ENGINE_NOT_RUN, ENGINE_TOO_LATE);
    refused = find(f, ENGINE_FINISH, f->next_id);
    g_assert_cmpuint(refused->retry_after_ms, >, 0);
    waiting = arrive(f, TEXT_URGENT, false, 300 * MS);
    g_assert_null(find(f, ENGINE_FINISH, waiting));
    tick_to(f, f->now_us + 190 * MS);
    g_assert_null(find(f, ENGINE_FINISH, waiting));
    tick_to(f, f->now_us + 30 * MS);
    assert_finished(f, waiting, ENGINE_NOT_RUN, ENGINE_TOO_LATE);
}

/* Refused callers are spread over the time that serving them would take. */
static void
test_return_spread(struct fixture *f, gconstpointer data)
{
    unsigned per_second[8] = {0};

    learn_run_time(f, 100 * MS);
    fill_slots(f);
    for (int i = 0; i < 100; i++) {
        uint64_t id = arrive(f, TEXT_URGENT, false, 10 * MS);
        uint32_t after = find(f, ENGINE_FINISH, id)->retry_after_ms;

        per_second[MIN(after / 1000, 7)]++;
    }
    for (int i = 0; i < 4; i++) {
        g_assert_cmpuint(per_second[i], >=, 10);
        g_assert_cmpuint(per_second[i], <=, 30);
    }
}

/* Half of the runs fail: retries stay within the first few and a tenth. */
static void
test_retry_budget(struct fixture *f, gconstpointer data)
{
    tell_load(f, PEER, 1001);
    tell_load(f, OTHER, 1001);
    for (int i = 0; i < 200; i++) {
        uint64_t id = arrive(f, TEXT_URGENT, true, 10 * USEC_PER_SEC);

        end(f, SELF, id, i % 2 ? ENGINE_UP_ANSWERED : ENGINE_UP_LOST);
        if (find(f, ENGINE_FINISH, id) == NULL) {
            tick_to(f, f->now_us + 60 * MS);
            end(f, SELF, id, ENGINE_UP_LOST);
        }
        if (find(f, ENGINE_FINISH, id) == NULL) {
            tick_to(f, f->now_us + 60 * MS);
            end(f, SELF, id, ENGINE_UP_LOST);
        }
        g_assert_nonnull(find(f, ENGINE_FINISH, id));
    }
    g_assert_cmpuint(engine_counters(f->engine)->retried, >=, 10);
    g_assert_cmpuint(engine_counters(f->engine)->retried, <=, 3 + 100 / 10);
}

static void
test_dependency(struct fixture *f, gconstpointer data)
{
    uint64_t id;

    set_members(f, MEMBER_READY, 2, false);
    id = arrive(f, TEXT_URGENT, false, USEC_PER_SEC);
    assert_finished(f, id, ENGINE_NOT_RUN, ENGINE_DEPENDENCY);
    set_members(f, MEMBER_READY, 2, true);
    id = arrive(f, TEXT_URGENT, false, USEC_PER_SEC);
    g_assert_nonnull(find(f, ENGINE_RUN, id));
}

/* What runs when the dependency fails does not condemn the upstream. */
static void
test_dependency_excuses(struct fixture *f, gconstpointer data)
{
    uint64_t ids[2];

    for (int round = 0; round < 4; round++) {
        set_members(f, MEMBER_READY, 2, true);
        ids[0] = arrive(f, TEXT_URGENT, false, USEC_PER_SEC);
        ids[1] = arrive(f, TEXT_URGENT, false, USEC_PER_SEC);
        set_members(f, MEMBER_READY, 2, false);
        end(f, SELF, ids[0], ENGINE_UP_LOST);
        f->out.count = 0;
        engine_upstream_end(f->engine, SELF, ids[1], ENGINE_UP_ANSWERED, error,
                            sizeof(error), f->now_us, &f->out);
    }
    g_assert_cmpuint(f->engine->upstream.traffic.failures, ==, 0);
    g_assert_cmpuint(f->engine->upstream.errors, ==, 0);
    g_assert_cmpuint(upstream_slots(&f->engine->upstream, f->now_us), ==, 2);
}

static void
lose_runs(struct fixture *f, int count)
{
    for (int i = 0; i < count; i++) {
        uint64_t id = arrive(f, TEXT_URGENT, false, USEC_PER_SEC);

        end(f, SELF, id, ENGINE_UP_LOST);
    }
}

static void
test_shun_needs_room(struct fixture *f, gconstpointer data)
{
    tell_load(f, PEER, 991);
    tell_load(f, OTHER, 991);
    lose_runs(f, HEALTH_FAILURES + 1);
    g_assert_cmpuint(upstream_slots(&f->engine->upstream, f->now_us), ==, 2);
    tell_load(f, PEER, 101);
    lose_runs(f, 1);
    g_assert_cmpuint(upstream_slots(&f->engine->upstream, f->now_us), ==, 0);
    tick_to(f, f->now_us + 300 * MS);
    g_assert_cmpuint(upstream_slots(&f->engine->upstream, f->now_us), ==, 1);
    arrive(f, TEXT_URGENT, false, USEC_PER_SEC);
    end(f, SELF, f->next_id, ENGINE_UP_ANSWERED);
    g_assert_cmpuint(upstream_slots(&f->engine->upstream, f->now_us), ==, 2);
}

/* An upstream that only fails fast must not look idle to the others. */
static void
test_errors_attract_nothing(struct fixture *f, gconstpointer data)
{
    struct engine_peer_msg msg = {.type = ENGINE_PEER_STATUS,
                                  .waiting = {5, 0}};

    for (int i = 0; i < UPSTREAM_ERRORS; i++) {
        uint64_t id = arrive(f, TEXT_URGENT, false, USEC_PER_SEC);

        engine_upstream_end(f->engine, SELF, id, ENGINE_UP_ANSWERED, error,
                            sizeof(error), f->now_us, &f->out);
    }
    f->out.count = 0;
    engine_peer(f->engine, PEER, &msg, NULL, 0, f->now_us, &f->out);
    g_assert_null(find_sent(f, ENGINE_PEER_PULL, PEER));
    arrive(f, TEXT_URGENT, false, USEC_PER_SEC);
    end(f, SELF, f->next_id, ENGINE_UP_ANSWERED);
    g_assert_nonnull(find_sent(f, ENGINE_PEER_PULL, PEER));
}

static void
test_inherits_priority(struct fixture *f, gconstpointer data)
{
    GHashTable *services = f->engine->services;

    g_assert_cmpint(services_class(services, NEEDED, TEXT_URGENT), ==,
                    TEXT_URGENT);
    g_assert_cmpint(services_class(services, NEEDED, TEXT_ORDINARY), ==,
                    TEXT_ORDINARY);
}

static void
test_caller_limit(struct fixture *f, gconstpointer data)
{
    struct engine_request request = {.service = NEEDED,
                                     .caller = 9,
                                     .class = TEXT_ORDINARY,
                                     .deadline_us = f->now_us + USEC_PER_SEC};

    for (request.id = 1; request.id <= 5; request.id++) {
        f->out.count = 0;
        engine_arrive(f->engine, &request, f->now_us, &f->out);
    }
    assert_finished(f, 5, ENGINE_NOT_RUN, ENGINE_CALLER_LIMIT);
    request.caller = 10;
    f->out.count = 0;
    engine_arrive(f->engine, &request, f->now_us, &f->out);
    g_assert_null(find(f, ENGINE_FINISH, request.id));
}

static void
test_warming(struct fixture *f, gconstpointer data)
{
    set_members(f, MEMBER_WARMING, 2, true);
    arrive(f, TEXT_URGENT, false, 60 * USEC_PER_SEC);
    arrive(f, TEXT_URGENT, false, 60 * USEC_PER_SEC);
    g_assert_cmpuint(engine_busy(f->engine), ==, 1);
    tick_to(f, f->now_us + UPSTREAM_WARM_US);
    g_assert_cmpuint(engine_busy(f->engine), ==, 2);
}

/* While draining nothing new runs here; a stop still serves what waits. */
static void
test_drain_and_stop(struct fixture *f, gconstpointer data)
{
    uint64_t id;

    engine_set_upstream(f->engine, SERVICE, 2, false, f->now_us, &f->out);
    id = arrive(f, TEXT_URGENT, false, USEC_PER_SEC);
    g_assert_null(find(f, ENGINE_RUN, id));
    f->out.count = 0;
    engine_stop(f->engine, f->now_us, &f->out);
    g_assert_null(find(f, ENGINE_FINISH, id));
    receive(f, ENGINE_PEER_PULL, 0, 0, 0);
    g_assert_nonnull(find_sent(f, ENGINE_PEER_RUN, PEER));
    arrive(f, TEXT_URGENT, false, USEC_PER_SEC);
    assert_finished(f, f->next_id, ENGINE_NOT_RUN, ENGINE_STOPPING);
    receive(f, ENGINE_PEER_DONE, id, ENGINE_ANSWERED, 0);
    g_assert_cmpuint(engine_open(f->engine), ==, 0);
}

static void
test_no_upstream(struct fixture *f, gconstpointer data)
{
    uint64_t id;

    set_members(f, MEMBER_READY, 0, true);
    engine_set_upstream(f->engine, SERVICE, 0, false, f->now_us, &f->out);
    id = arrive(f, TEXT_URGENT, false, USEC_PER_SEC);
    assert_finished(f, id, ENGINE_NOT_RUN, ENGINE_NO_UPSTREAM);
}

/* An ordinary start gives way to urgent work known at a peer. */
static void
test_hold_for_urgent(struct fixture *f, gconstpointer data)
{
    struct engine_peer_msg msg = {.type = ENGINE_PEER_STATUS,
                                  .waiting = {1, 0}};
    uint64_t ordinary;

    fill_slots(f);
    ordinary = arrive(f, TEXT_ORDINARY, false, 10 * USEC_PER_SEC);
    engine_peer(f->engine, PEER, &msg, NULL, 0, f->now_us, &f->out);
    end(f, SELF, 1, ENGINE_UP_ANSWERED);
    g_assert_nonnull(find_sent(f, ENGINE_PEER_PULL, PEER));
    g_assert_null(find(f, ENGINE_RUN, ordinary));
    receive(f, ENGINE_PEER_RUN, 50, 0, 0);
    g_assert_nonnull(find(f, ENGINE_RUN, 50));
    end(f, PEER, 50, ENGINE_UP_ANSWERED);
    g_assert_nonnull(find(f, ENGINE_RUN, ordinary));
}

static void
test_bad_input(struct fixture *f, gconstpointer data)
{
    struct engine_request request = {.id = 1, .class = 5, .service = SERVICE};
    struct engine_peer_msg msg = {.type = ENGINE_PEER_RUN, .origin = OTHER};

    g_assert_cmpint(engine_arrive(f->engine, &request, f->now_us, &f->out), ==,
                    -EINVAL);
    g_assert_cmpint(
        engine_peer(f->engine, PEER, &msg, NULL, 0, f->now_us, &f->out), ==,
        -EPROTO);
    g_assert_cmpint(engine_cancel(f->engine, 77, f->now_us, &f->out), ==,
                    -ENOENT);
    g_assert_null(engine_new(SELF, 99, 1));
}

#define ADD(name)                                                             \
    g_test_add("/request/engine/" #name, struct fixture, NULL, set_up,        \
               test_##name, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD(outcomes);
    ADD(retried_elsewhere);
    ADD(lost_then_refused);
    ADD(deadline_while_running);
    ADD(run_decided_once);
    ADD(full_declines);
    ADD(peer_answers);
    ADD(peer_declines);
    ADD(peer_lost);
    ADD(peer_lost_idempotent);
    ADD(unsent);
    ADD(cancel_goes_down);
    ADD(urgent_displaces);
    ADD(ordinary_floor);
    ADD(too_late_at_once);
    ADD(return_spread);
    ADD(retry_budget);
    ADD(dependency);
    ADD(dependency_excuses);
    ADD(shun_needs_room);
    ADD(errors_attract_nothing);
    ADD(inherits_priority);
    ADD(caller_limit);
    ADD(warming);
    ADD(drain_and_stop);
    ADD(no_upstream);
    ADD(hold_for_urgent);
    ADD(bad_input);
    return g_test_run();
}
