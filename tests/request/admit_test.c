/* Tests of admission, start order and placement. */
#include <errno.h>

#include "fixture.h"

static void
test_urgent_displaces(struct fixture *f, gconstpointer data)
{
    uint64_t last = 0;

    fixture_fill_slots(f);
    for (int i = 0; i < 16; i++) {
        last = fixture_arrive(f, SERVICE_CONFIG_ORDINARY, false,
                              10 * USEC_PER_SEC + i);
    }
    fixture_arrive(f, SERVICE_CONFIG_ORDINARY, false, 10 * USEC_PER_SEC);
    fixture_assert_finished(f, f->next_id, ENGINE_NOT_RUN, ENGINE_QUEUE_FULL);
    fixture_arrive(f, SERVICE_CONFIG_URGENT, false, 10 * USEC_PER_SEC);
    fixture_assert_finished(f, last, ENGINE_NOT_RUN, ENGINE_QUEUE_FULL);
    g_assert_cmpuint(engine_waiting_of(f->engine, SERVICE_CONFIG_URGENT), ==,
                     1);
    g_assert_cmpuint(engine_waiting(f->engine), ==, 16);
}

static void
test_ordinary_min_share(struct fixture *f, gconstpointer data)
{
    unsigned urgent_before = 0;
    uint64_t running = 1;
    uint64_t ordinary;

    fixture_fill_slots(f);
    ordinary =
        fixture_arrive(f, SERVICE_CONFIG_ORDINARY, false, 60 * USEC_PER_SEC);
    while (urgent_before < 20) {
        uint64_t id =
            fixture_arrive(f, SERVICE_CONFIG_URGENT, false, 60 * USEC_PER_SEC);

        fixture_end(f, SELF, running, ENGINE_UP_ANSWERED);
        if (fixture_find(f, ENGINE_RUN, ordinary) != NULL) {
            break;
        }
        g_assert_nonnull(fixture_find(f, ENGINE_RUN, id));
        running = id;
        urgent_before++;
    }
    g_assert_cmpuint(urgent_before, ==, QUEUE_ORDINARY_EVERY - 1);
}

static void
test_too_late_on_arrival(struct fixture *f, gconstpointer data)
{
    const struct engine_action *refused;
    uint64_t waiting;

    fixture_set_run_time(f, 100 * MS);
    fixture_fill_slots(f);
    fixture_arrive(f, SERVICE_CONFIG_URGENT, false, 90 * MS);
    fixture_assert_finished(f, f->next_id, ENGINE_NOT_RUN, ENGINE_TOO_LATE);
    refused = fixture_find(f, ENGINE_FINISH, f->next_id);
    g_assert_cmpuint(refused->retry_after_ms, >, 0);
    waiting = fixture_arrive(f, SERVICE_CONFIG_URGENT, false, 300 * MS);
    g_assert_null(fixture_find(f, ENGINE_FINISH, waiting));
    fixture_tick_to(f, f->now_us + 190 * MS);
    g_assert_null(fixture_find(f, ENGINE_FINISH, waiting));
    fixture_tick_to(f, f->now_us + 30 * MS);
    fixture_assert_finished(f, waiting, ENGINE_NOT_RUN, ENGINE_TOO_LATE);
}

/* The requests queued before it make it miss its deadline. */
static void
test_too_late_by_queue(struct fixture *f, gconstpointer data)
{
    fixture_set_run_time(f, 100 * MS);
    fixture_fill_slots(f);
    for (int i = 0; i < 10; i++) {
        fixture_arrive(f, SERVICE_CONFIG_URGENT, false, 5 * USEC_PER_SEC);
    }
    fixture_arrive(f, SERVICE_CONFIG_URGENT, false, 6 * USEC_PER_SEC);
    g_assert_null(fixture_find(f, ENGINE_FINISH, f->next_id));
    fixture_arrive(f, SERVICE_CONFIG_ORDINARY, false, 500 * MS);
    fixture_assert_finished(f, f->next_id, ENGINE_NOT_RUN, ENGINE_TOO_LATE);
    g_assert_cmpuint(engine_waiting(f->engine), ==, 11);
}

/* Retry-After spreads refused callers over the time needed to serve them. */
static void
test_retry_after_spread(struct fixture *f, gconstpointer data)
{
    unsigned per_second[8] = {0};

    fixture_set_run_time(f, 100 * MS);
    fixture_fill_slots(f);
    for (int i = 0; i < 100; i++) {
        uint64_t id = fixture_arrive(f, SERVICE_CONFIG_URGENT, false, 10 * MS);
        uint32_t after = fixture_find(f, ENGINE_FINISH, id)->retry_after_ms;

        per_second[MIN(after / 1000, 7)]++;
    }
    for (int i = 0; i < 4; i++) {
        g_assert_cmpuint(per_second[i], >=, 10);
        g_assert_cmpuint(per_second[i], <=, 30);
    }
}

/* With half of the runs failing, retries stay within the budget. */
static void
test_retry_budget(struct fixture *f, gconstpointer data)
{
    fixture_report_load(f, PEER, 1001);
    fixture_report_load(f, OTHER, 1001);
    for (int i = 0; i < 200; i++) {
        uint64_t id =
            fixture_arrive(f, SERVICE_CONFIG_URGENT, true, 10 * USEC_PER_SEC);

        fixture_end(f, SELF, id, i % 2 ? ENGINE_UP_ANSWERED : ENGINE_UP_LOST);
        if (fixture_find(f, ENGINE_FINISH, id) == NULL) {
            fixture_tick_to(f, f->now_us + 60 * MS);
            fixture_end(f, SELF, id, ENGINE_UP_LOST);
        }
        if (fixture_find(f, ENGINE_FINISH, id) == NULL) {
            fixture_tick_to(f, f->now_us + 60 * MS);
            fixture_end(f, SELF, id, ENGINE_UP_LOST);
        }
        g_assert_nonnull(fixture_find(f, ENGINE_FINISH, id));
    }
    g_assert_cmpuint(engine_counters(f->engine)->retried, >=, 10);
    g_assert_cmpuint(engine_counters(f->engine)->retried, <=, 3 + 100 / 10);
}

static void
test_dependency(struct fixture *f, gconstpointer data)
{
    uint64_t id;

    fixture_members(f, MEMBER_READY, 2, false);
    id = fixture_arrive(f, SERVICE_CONFIG_URGENT, false, USEC_PER_SEC);
    fixture_assert_finished(f, id, ENGINE_NOT_RUN, ENGINE_DEPENDENCY);
    fixture_members(f, MEMBER_READY, 2, true);
    id = fixture_arrive(f, SERVICE_CONFIG_URGENT, false, USEC_PER_SEC);
    g_assert_nonnull(fixture_find(f, ENGINE_RUN, id));
}

/* Failures while a dependency is down don't count against the upstream. */
static void
test_dependency_errors_ignored(struct fixture *f, gconstpointer data)
{
    for (int round = 0; round < 6; round++) {
        uint64_t id;

        fixture_members(f, MEMBER_READY, 2, true);
        id = fixture_arrive(f, SERVICE_CONFIG_URGENT, false, USEC_PER_SEC);
        fixture_members(f, MEMBER_READY, 2, false);
        fixture_end(f, SELF, id, ENGINE_UP_LOST);
    }
    g_assert_cmpuint(f->engine->upstream.passive_health.failures, ==, 0);
    g_assert_cmpuint(upstream_usable_slots(&f->engine->upstream, f->now_us),
                     ==, 2);
    for (int round = 0; round < 6; round++) {
        uint64_t id;

        fixture_members(f, MEMBER_READY, 2, true);
        id = fixture_arrive(f, SERVICE_CONFIG_URGENT, false, USEC_PER_SEC);
        fixture_members(f, MEMBER_READY, 2, false);
        engine_upstream_end(f->engine, SELF, id, ENGINE_UP_ANSWERED,
                            server_error, sizeof(server_error), f->now_us,
                            &f->out);
    }
    g_assert_cmpuint(f->engine->upstream.errors, ==, 0);
}

static void
lose_runs(struct fixture *f, int count)
{
    for (int i = 0; i < count; i++) {
        uint64_t id =
            fixture_arrive(f, SERVICE_CONFIG_URGENT, false, USEC_PER_SEC);

        fixture_end(f, SELF, id, ENGINE_UP_LOST);
    }
}

static void
test_ejection_needs_capacity(struct fixture *f, gconstpointer data)
{
    fixture_report_load(f, PEER, 991);
    fixture_report_load(f, OTHER, 991);
    lose_runs(f, HEALTH_FAILURES_MAX + 1);
    g_assert_cmpuint(upstream_usable_slots(&f->engine->upstream, f->now_us),
                     ==, 2);
    fixture_report_load(f, PEER, 101);
    lose_runs(f, 1);
    g_assert_cmpuint(upstream_usable_slots(&f->engine->upstream, f->now_us),
                     ==, 0);
    fixture_tick_to(f, f->now_us + 300 * MS);
    g_assert_cmpuint(upstream_usable_slots(&f->engine->upstream, f->now_us),
                     ==, 1);
    fixture_arrive(f, SERVICE_CONFIG_URGENT, false, USEC_PER_SEC);
    fixture_end(f, SELF, f->next_id, ENGINE_UP_ANSWERED);
    g_assert_cmpuint(upstream_usable_slots(&f->engine->upstream, f->now_us),
                     ==, 2);
}

/* Only one of two failing peers is ejected; it gets a trial later. */
static void
test_peers_ejected(struct fixture *f, gconstpointer data)
{
    struct peer *peer = peers_find(&f->engine->peers, PEER);
    struct peer *other = peers_find(&f->engine->peers, OTHER);

    for (int i = 0; i < HEALTH_FAILURES_MAX; i++) {
        g_assert_true(peer_accepts(peer, f->now_us));
        peer_failed(&f->engine->peers, peer, f->now_us);
    }
    for (int i = 0; i < 2 * HEALTH_FAILURES_MAX; i++) {
        peer_failed(&f->engine->peers, other, f->now_us);
    }
    g_assert_false(peer_accepts(peer, f->now_us));
    g_assert_true(peer_accepts(other, f->now_us));
    fixture_tick_to(f, f->now_us + 300 * MS);
    g_assert_true(peer_accepts(peer, f->now_us));
    peer->sent = 1;
    g_assert_false(peer_accepts(peer, f->now_us));
    peer_answered(peer, 10 * MS);
    g_assert_true(peer_accepts(peer, f->now_us));
}

/* An upstream that never answers is ejected, unless the deadline is
 * shorter than a usual run. */
static void
test_hung_upstream(struct fixture *f, gconstpointer data)
{
    fixture_set_run_time(f, 100 * MS);
    for (int i = 0; i < 5; i++) {
        fixture_arrive(f, SERVICE_CONFIG_URGENT, false, 50 * MS);
        fixture_tick_to(f, f->now_us + 200 * MS);
    }
    g_assert_cmpuint(upstream_usable_slots(&f->engine->upstream, f->now_us),
                     ==, 2);
    for (int i = 0; i < HEALTH_FAILURES_MAX; i++) {
        fixture_arrive(f, SERVICE_CONFIG_URGENT, false, 500 * MS);
        fixture_tick_to(f, f->now_us + 500 * MS);
    }
    g_assert_cmpuint(upstream_usable_slots(&f->engine->upstream, f->now_us),
                     ==, 0);
}

/* An upstream that returns only errors pulls no requests. */
static void
test_errors_stop_pulling(struct fixture *f, gconstpointer data)
{
    struct engine_peer_msg msg = {.type = ENGINE_PEER_STATUS,
                                  .waiting = {5, 0}};

    for (int i = 0; i < UPSTREAM_ERRORS_MAX; i++) {
        uint64_t id =
            fixture_arrive(f, SERVICE_CONFIG_URGENT, false, USEC_PER_SEC);

        engine_upstream_end(f->engine, SELF, id, ENGINE_UP_ANSWERED,
                            server_error, sizeof(server_error), f->now_us,
                            &f->out);
    }
    f->out.count = 0;
    engine_peer(f->engine, PEER, &msg, NULL, 0, f->now_us, &f->out);
    g_assert_null(fixture_find_sent(f, ENGINE_PEER_PULL, PEER));
    fixture_arrive(f, SERVICE_CONFIG_URGENT, false, USEC_PER_SEC);
    fixture_end(f, SELF, f->next_id, ENGINE_UP_ANSWERED);
    g_assert_nonnull(fixture_find_sent(f, ENGINE_PEER_PULL, PEER));
}

static void
test_inherits_priority(struct fixture *f, gconstpointer data)
{
    GHashTable *services = f->engine->services;

    g_assert_cmpint(services_class(services, NEEDED, SERVICE_CONFIG_URGENT),
                    ==, SERVICE_CONFIG_URGENT);
    g_assert_cmpint(services_class(services, NEEDED, SERVICE_CONFIG_ORDINARY),
                    ==, SERVICE_CONFIG_ORDINARY);
    g_assert_cmpint(services_class(services, UNNEEDED, SERVICE_CONFIG_URGENT),
                    ==, SERVICE_CONFIG_ORDINARY);
}

static void
test_caller_limit(struct fixture *f, gconstpointer data)
{
    struct engine_request request = {.service = NEEDED,
                                     .caller = 9,
                                     .class = SERVICE_CONFIG_ORDINARY,
                                     .deadline_us = f->now_us + USEC_PER_SEC};

    for (request.id = 1; request.id <= 5; request.id++) {
        f->out.count = 0;
        engine_arrive(f->engine, &request, f->now_us, &f->out);
    }
    fixture_assert_finished(f, 5, ENGINE_NOT_RUN, ENGINE_CALLER_LIMIT);
    request.caller = 10;
    f->out.count = 0;
    engine_arrive(f->engine, &request, f->now_us, &f->out);
    g_assert_null(fixture_find(f, ENGINE_FINISH, request.id));
}

static void
test_slow_start(struct fixture *f, gconstpointer data)
{
    fixture_members(f, MEMBER_WARMING, 2, true);
    fixture_arrive(f, SERVICE_CONFIG_URGENT, false, 60 * USEC_PER_SEC);
    fixture_arrive(f, SERVICE_CONFIG_URGENT, false, 60 * USEC_PER_SEC);
    g_assert_cmpuint(engine_busy(f->engine), ==, 1);
    fixture_tick_to(f, f->now_us + UPSTREAM_SLOW_START_US);
    g_assert_cmpuint(engine_busy(f->engine), ==, 2);
}

/* A draining upstream starts no requests; a stop still serves queued ones. */
static void
test_drain_and_stop(struct fixture *f, gconstpointer data)
{
    uint64_t id;

    engine_set_upstream(f->engine, SERVICE, 2, false, f->now_us, &f->out);
    id = fixture_arrive(f, SERVICE_CONFIG_URGENT, false, USEC_PER_SEC);
    g_assert_null(fixture_find(f, ENGINE_RUN, id));
    f->out.count = 0;
    engine_stop(f->engine, f->now_us, &f->out);
    g_assert_null(fixture_find(f, ENGINE_FINISH, id));
    fixture_receive(f, ENGINE_PEER_PULL, 0, 0, 0);
    g_assert_nonnull(fixture_find_sent(f, ENGINE_PEER_RUN, PEER));
    fixture_arrive(f, SERVICE_CONFIG_URGENT, false, USEC_PER_SEC);
    fixture_assert_finished(f, f->next_id, ENGINE_NOT_RUN, ENGINE_STOPPING);
    fixture_receive(f, ENGINE_PEER_DONE, id, ENGINE_ANSWERED, 0);
    g_assert_cmpuint(engine_open_requests(f->engine), ==, 0);
    engine_set_upstream(f->engine, SERVICE, 2, true, f->now_us, &f->out);
    fixture_receive(f, ENGINE_PEER_RUN, 50, 0, 0);
    g_assert_null(fixture_find(f, ENGINE_RUN, 50));
    g_assert_nonnull(fixture_find_sent(f, ENGINE_PEER_DONE, PEER));
}

/* A keyed request is queued while its key is reserved, and runs only once
 * its replicas have granted the key. */
static void
test_key_reserved_first(struct fixture *f, gconstpointer data)
{
    uint64_t id;

    fixture_tick_to(f, f->now_us + 2 * IDEM_ELIGIBLE_AFTER_US);
    id = fixture_arrive_keyed(f);
    g_assert_null(fixture_find(f, ENGINE_RUN, id));
    g_assert_cmpuint(engine_waiting(f->engine), ==, 1);
    fixture_grant(f);
    g_assert_nonnull(fixture_find(f, ENGINE_RUN, id));
}

/* A key record counts as unacknowledged until its replicas have
 * acknowledged it. */
static void
test_key_unacked(struct fixture *f, gconstpointer data)
{
    uint64_t id;

    fixture_tick_to(f, f->now_us + 2 * IDEM_ELIGIBLE_AFTER_US);
    g_assert_cmpuint(engine_unacked_records(f->engine), ==, 0);
    id = fixture_arrive_keyed(f);
    fixture_grant(f);
    fixture_end(f, SELF, id, ENGINE_UP_ANSWERED);
    g_assert_cmpuint(engine_unacked_records(f->engine), >, 0);
    fixture_acknowledge(f);
    fixture_tick_to(f, f->now_us + IDEM_ELIGIBLE_AFTER_US);
    g_assert_cmpuint(engine_unacked_records(f->engine), ==, 0);
}

static void
test_no_upstream(struct fixture *f, gconstpointer data)
{
    uint64_t id;

    fixture_members(f, MEMBER_READY, 0, true);
    engine_set_upstream(f->engine, SERVICE, 0, false, f->now_us, &f->out);
    id = fixture_arrive(f, SERVICE_CONFIG_URGENT, false, USEC_PER_SEC);
    fixture_assert_finished(f, id, ENGINE_NOT_RUN, ENGINE_NO_UPSTREAM);
    g_assert_cmpuint(fixture_find(f, ENGINE_FINISH, id)->retry_after_ms, >=,
                     750);
    for (int i = 0; i < 4000; i++) {
        id = fixture_arrive(f, SERVICE_CONFIG_URGENT, false, USEC_PER_SEC);
    }
    g_assert_cmpuint(fixture_find(f, ENGINE_FINISH, id)->retry_after_ms, >=,
                     3000);
}

/* A slot is held for an urgent request of a peer before an ordinary one
 * starts. */
static void
test_hold_for_urgent(struct fixture *f, gconstpointer data)
{
    struct engine_peer_msg msg = {.type = ENGINE_PEER_STATUS,
                                  .waiting = {1, 0}};
    uint64_t ordinary;

    fixture_fill_slots(f);
    ordinary =
        fixture_arrive(f, SERVICE_CONFIG_ORDINARY, false, 10 * USEC_PER_SEC);
    engine_peer(f->engine, PEER, &msg, NULL, 0, f->now_us, &f->out);
    fixture_end(f, SELF, 1, ENGINE_UP_ANSWERED);
    g_assert_nonnull(fixture_find_sent(f, ENGINE_PEER_PULL, PEER));
    g_assert_null(fixture_find(f, ENGINE_RUN, ordinary));
    fixture_receive(f, ENGINE_PEER_RUN, 50, 0, 0);
    g_assert_nonnull(fixture_find(f, ENGINE_RUN, 50));
    fixture_end(f, PEER, 50, ENGINE_UP_ANSWERED);
    g_assert_nonnull(fixture_find(f, ENGINE_RUN, ordinary));
}

/* Reports queued requests of both peers; returns whether @from was sent a
 * PULL. */
static bool
pulls_from(struct fixture *f, uint64_t from)
{
    struct engine_peer_msg msg = {.type = ENGINE_PEER_STATUS,
                                  .waiting = {9, 0}};
    bool pulled = false;

    for (int i = 0; i < 60 && !pulled; i++) {
        uint64_t id;

        engine_peer(f->engine, PEER, &msg, NULL, 0, f->now_us, &f->out);
        engine_peer(f->engine, OTHER, &msg, NULL, 0, f->now_us, &f->out);
        id =
            fixture_arrive(f, SERVICE_CONFIG_URGENT, false, 60 * USEC_PER_SEC);
        f->now_us += 10 * MS;
        fixture_end(f, SELF, id - 2, ENGINE_UP_ANSWERED);
        pulled = fixture_find_sent(f, ENGINE_PEER_PULL, from) != NULL;
        fixture_tick_to(f, f->now_us + 10 * MS);
    }
    return pulled;
}

/* Draining peers get slots in turn, even under constant local urgent load. */
static void
test_serves_draining_peers(struct fixture *f, gconstpointer data)
{
    fixture_fill_slots(f);
    peers_find(&f->engine->peers, PEER)->state = MEMBER_DRAINING;
    peers_find(&f->engine->peers, OTHER)->state = MEMBER_DRAINING;
    g_assert_true(pulls_from(f, PEER));
    g_assert_true(pulls_from(f, OTHER));
    g_assert_true(pulls_from(f, PEER));
}

/* Requests that a slow upstream would miss wait for faster peers and don't
 * block those behind them. */
static void
test_slow_upstream(struct fixture *f, gconstpointer data)
{
    uint64_t behind;

    fixture_set_run_time(f, 100 * MS);
    peer_answered(peers_find(&f->engine->peers, PEER), 10 * MS);
    fixture_fill_slots(f);
    for (int i = 0; i < 5; i++) {
        fixture_arrive(f, SERVICE_CONFIG_URGENT, false,
                       (90 - (uint64_t)i) * MS);
    }
    g_assert_cmpuint(engine_waiting(f->engine), ==, 5);
    behind =
        fixture_arrive(f, SERVICE_CONFIG_URGENT, false, 10 * USEC_PER_SEC);
    fixture_end(f, SELF, behind - 6, ENGINE_UP_ANSWERED);
    g_assert_nonnull(fixture_find(f, ENGINE_RUN, behind));
    g_assert_cmpuint(engine_waiting(f->engine), ==, 5);
    fixture_receive(f, ENGINE_PEER_PULL, 0, 0, 0);
    g_assert_nonnull(fixture_find_sent(f, ENGINE_PEER_RUN, PEER));
}

/* Requests don't wait for peers without idle slots. */
static void
test_slow_upstream_full_peers(struct fixture *f, gconstpointer data)
{
    uint64_t id;

    fixture_set_run_time(f, 100 * MS);
    peer_answered(peers_find(&f->engine->peers, PEER), 10 * MS);
    fixture_fill_slots(f);
    fixture_report_load(f, PEER, 1001);
    id = fixture_arrive(f, SERVICE_CONFIG_URGENT, false, 90 * MS);
    fixture_assert_finished(f, id, ENGINE_NOT_RUN, ENGINE_TOO_LATE);
    fixture_report_load(f, PEER, 901);
    id = fixture_arrive(f, SERVICE_CONFIG_URGENT, false, 90 * MS);
    g_assert_null(fixture_find(f, ENGINE_FINISH, id));
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

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    FIXTURE_ADD("admit", urgent_displaces);
    FIXTURE_ADD("admit", ordinary_min_share);
    FIXTURE_ADD("admit", too_late_on_arrival);
    FIXTURE_ADD("admit", too_late_by_queue);
    FIXTURE_ADD("admit", retry_after_spread);
    FIXTURE_ADD("admit", retry_budget);
    FIXTURE_ADD("admit", dependency);
    FIXTURE_ADD("admit", dependency_errors_ignored);
    FIXTURE_ADD("admit", ejection_needs_capacity);
    FIXTURE_ADD("admit", errors_stop_pulling);
    FIXTURE_ADD("admit", inherits_priority);
    FIXTURE_ADD("admit", caller_limit);
    FIXTURE_ADD("admit", slow_start);
    FIXTURE_ADD("admit", drain_and_stop);
    FIXTURE_ADD("admit", key_reserved_first);
    FIXTURE_ADD("admit", key_unacked);
    FIXTURE_ADD("admit", no_upstream);
    FIXTURE_ADD("admit", hold_for_urgent);
    FIXTURE_ADD("admit", bad_input);
    FIXTURE_ADD("admit", hung_upstream);
    FIXTURE_ADD("admit", peers_ejected);
    FIXTURE_ADD("admit", serves_draining_peers);
    FIXTURE_ADD("admit", slow_upstream);
    FIXTURE_ADD("admit", slow_upstream_full_peers);
    return g_test_run();
}
