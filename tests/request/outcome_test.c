/* Tests the final answer of requests that run locally or at a peer. */
#include <errno.h>

#include "fixture.h"

static void
test_outcomes(struct fixture *f, gconstpointer data)
{
    uint64_t id =
        fixture_arrive(f, SERVICE_CONFIG_URGENT, false, USEC_PER_SEC);

    g_assert_nonnull(fixture_find(f, ENGINE_RUN, id));
    fixture_end(f, SELF, id, ENGINE_UP_ANSWERED);
    fixture_assert_finished(f, id, ENGINE_ANSWERED, ENGINE_REASON_NONE);
    id = fixture_arrive(f, SERVICE_CONFIG_URGENT, false, USEC_PER_SEC);
    fixture_end(f, SELF, id, ENGINE_UP_LOST);
    fixture_assert_finished(f, id, ENGINE_UNKNOWN, ENGINE_LOST);
    id = fixture_arrive(f, SERVICE_CONFIG_URGENT, false, USEC_PER_SEC);
    fixture_end(f, SELF, id, ENGINE_UP_TRUNCATED);
    fixture_assert_finished(f, id, ENGINE_UNKNOWN, ENGINE_TRUNCATED);
}

/* A retry prefers a peer for a while, then uses the same upstream. */
static void
test_retried_elsewhere(struct fixture *f, gconstpointer data)
{
    uint64_t id = fixture_arrive(f, SERVICE_CONFIG_URGENT, true, USEC_PER_SEC);

    fixture_end(f, SELF, id, ENGINE_UP_LOST);
    g_assert_null(fixture_find(f, ENGINE_FINISH, id));
    g_assert_null(fixture_find(f, ENGINE_RUN, id));
    fixture_receive(f, ENGINE_PEER_PULL, 0, 0, 0);
    g_assert_nonnull(fixture_find_sent(f, ENGINE_PEER_RUN, PEER));
    id = fixture_arrive(f, SERVICE_CONFIG_URGENT, true, USEC_PER_SEC);
    fixture_end(f, SELF, id, ENGINE_UP_LOST);
    fixture_tick_to(f, f->now_us + 100 * MS);
    g_assert_nonnull(fixture_find(f, ENGINE_RUN, id));
}

/* Without peers, the retry runs locally at once. */
static void
test_retried_locally_last(struct fixture *f, gconstpointer data)
{
    uint64_t id = fixture_arrive(f, SERVICE_CONFIG_URGENT, true, USEC_PER_SEC);

    fixture_end(f, SELF, id, ENGINE_UP_LOST);
    g_assert_null(fixture_find(f, ENGINE_RUN, id));
    f->out.count = 0;
    fixture_members(f, MEMBER_READY, 0, true);
    g_assert_nonnull(fixture_find(f, ENGINE_RUN, id));
}

/* A request that may have run never ends as "not run". */
static void
test_lost_then_refused(struct fixture *f, gconstpointer data)
{
    uint64_t id = fixture_arrive(f, SERVICE_CONFIG_URGENT, true, USEC_PER_SEC);

    fixture_end(f, SELF, id, ENGINE_UP_LOST);
    fixture_tick_to(f, f->now_us + 100 * MS);
    fixture_end(f, SELF, id, ENGINE_UP_REFUSED);
    fixture_tick_to(f, f->now_us + 100 * MS);
    fixture_end(f, SELF, id, ENGINE_UP_REFUSED);
    fixture_assert_finished(f, id, ENGINE_UNKNOWN, ENGINE_UPSTREAM_SHED);
}

static void
test_deadline_while_running(struct fixture *f, gconstpointer data)
{
    uint64_t id = fixture_arrive(f, SERVICE_CONFIG_URGENT, true, 100 * MS);

    fixture_tick_to(f, f->now_us + 100 * MS);
    fixture_assert_finished(f, id, ENGINE_UNKNOWN, ENGINE_DEADLINE);
    g_assert_nonnull(fixture_find(f, ENGINE_ABORT, id));
    g_assert_cmpuint(engine_busy(f->engine), ==, 1);
    fixture_tick_to(f, f->now_us + ENGINE_ABORT_GRACE_US);
    g_assert_cmpuint(engine_busy(f->engine), ==, 0);
    fixture_end(f, SELF, id, ENGINE_UP_ANSWERED);
    g_assert_cmpuint(f->out.count, ==, 0);
}

static void
test_run_decided_once(struct fixture *f, gconstpointer data)
{
    fixture_receive(f, ENGINE_PEER_RUN, 50, 0, 0);
    g_assert_nonnull(fixture_find(f, ENGINE_RUN, 50));
    fixture_receive(f, ENGINE_PEER_RUN, 50, 0, 0);
    g_assert_null(fixture_find(f, ENGINE_RUN, 50));
    fixture_end(f, PEER, 50, ENGINE_UP_ANSWERED);
    g_assert_nonnull(fixture_find_sent(f, ENGINE_PEER_DONE, PEER));
    fixture_receive(f, ENGINE_PEER_RUN, 50, 0, 0);
    g_assert_null(fixture_find(f, ENGINE_RUN, 50));
    fixture_receive(f, ENGINE_PEER_CANCEL, 51, 0, 0);
    fixture_receive(f, ENGINE_PEER_RUN, 51, 0, 0);
    g_assert_null(fixture_find(f, ENGINE_RUN, 51));
}

static void
test_full_declines(struct fixture *f, gconstpointer data)
{
    const struct engine_action *done;

    fixture_fill_slots(f);
    fixture_receive(f, ENGINE_PEER_RUN, 50, 0, 0);
    done = fixture_find_sent(f, ENGINE_PEER_DONE, PEER);
    g_assert_nonnull(done);
    g_assert_cmpint(done->msg.outcome, ==, ENGINE_NOT_RUN);
    g_assert_cmpint(done->msg.reason, ==, ENGINE_QUEUE_FULL);
    fixture_receive(f, ENGINE_PEER_RUN, 50, 0, 0);
    g_assert_null(fixture_find_sent(f, ENGINE_PEER_DONE, PEER));
}

/* Sends a request to PEER in reply to a PULL; returns its id. */
static uint64_t
send_to_peer(struct fixture *f, bool idempotent)
{
    uint64_t id;

    fixture_fill_slots(f);
    id = fixture_arrive(f, SERVICE_CONFIG_URGENT, idempotent, USEC_PER_SEC);
    fixture_receive(f, ENGINE_PEER_PULL, 0, 0, 0);
    g_assert_nonnull(fixture_find_sent(f, ENGINE_PEER_RUN, PEER));
    return id;
}

static void
test_peer_answers(struct fixture *f, gconstpointer data)
{
    uint64_t id = send_to_peer(f, false);

    fixture_receive(f, ENGINE_PEER_DONE, id, ENGINE_ANSWERED, 0);
    fixture_assert_finished(f, id, ENGINE_ANSWERED, ENGINE_REASON_NONE);
    fixture_receive(f, ENGINE_PEER_DONE, id, ENGINE_ANSWERED, 0);
    g_assert_null(fixture_find(f, ENGINE_FINISH, id));
    g_assert_cmpuint(engine_counters(f->engine)->dropped, ==, 1);
}

static void
test_peer_declines(struct fixture *f, gconstpointer data)
{
    uint64_t id = send_to_peer(f, false);

    fixture_receive(f, ENGINE_PEER_DONE, id, ENGINE_NOT_RUN,
                    ENGINE_QUEUE_FULL);
    g_assert_cmpuint(engine_waiting(f->engine), ==, 1);
    fixture_receive(f, ENGINE_PEER_PULL, 0, 0, 0);
    g_assert_null(fixture_find_sent(f, ENGINE_PEER_RUN, PEER));
    fixture_tick_to(f, f->now_us + USEC_PER_SEC);
    fixture_assert_finished(f, id, ENGINE_NOT_RUN, ENGINE_TOO_LATE);
}

static void
test_peer_lost(struct fixture *f, gconstpointer data)
{
    uint64_t id = send_to_peer(f, false);

    f->out.count = 0;
    engine_peer_lost(f->engine, PEER, f->now_us, &f->out);
    fixture_assert_finished(f, id, ENGINE_UNKNOWN, ENGINE_LOST);
}

static void
test_peer_lost_idempotent(struct fixture *f, gconstpointer data)
{
    uint64_t id = send_to_peer(f, true);

    f->out.count = 0;
    engine_peer_lost(f->engine, PEER, f->now_us, &f->out);
    g_assert_null(fixture_find(f, ENGINE_FINISH, id));
    g_assert_cmpuint(engine_waiting(f->engine), ==, 1);
}

static void
test_unsent(struct fixture *f, gconstpointer data)
{
    uint64_t id = send_to_peer(f, false);

    engine_send_failed(f->engine, PEER, id, f->now_us, &f->out);
    g_assert_cmpuint(engine_waiting(f->engine), ==, 1);
    engine_cancel(f->engine, id, f->now_us, &f->out);
    fixture_assert_finished(f, id, ENGINE_NOT_RUN, ENGINE_CANCELLED);
}

static void
test_cancel_propagates(struct fixture *f, gconstpointer data)
{
    uint64_t id = send_to_peer(f, false);

    f->out.count = 0;
    engine_cancel(f->engine, id, f->now_us, &f->out);
    g_assert_nonnull(fixture_find_sent(f, ENGINE_PEER_CANCEL, PEER));
    fixture_assert_finished(f, id, ENGINE_UNKNOWN, ENGINE_CANCELLED);
    fixture_receive(f, ENGINE_PEER_RUN, 50, 0, 0);
    fixture_end(f, SELF, 1, ENGINE_UP_ANSWERED);
    fixture_receive(f, ENGINE_PEER_RUN, 52, 0, 0);
    g_assert_nonnull(fixture_find(f, ENGINE_RUN, 52));
    fixture_receive(f, ENGINE_PEER_CANCEL, 52, 0, 0);
    g_assert_nonnull(fixture_find(f, ENGINE_ABORT, 52));
}

static const struct idem_msg *
find_idem(const struct fixture *f, enum idem_msg_type type)
{
    for (size_t i = 0; i < f->out.count; i++) {
        const struct engine_peer_msg *msg = &f->out.items[i].msg;

        if (f->out.items[i].type == ENGINE_SEND &&
            msg->type == ENGINE_PEER_IDEM && msg->idem.type == type) {
            return &msg->idem;
        }
    }
    return NULL;
}

/* A started request with a key completes and is recorded after its caller
 * has gone. */
static void
test_cancelled_key_completes(struct fixture *f, gconstpointer data)
{
    const struct idem_msg *record;
    uint64_t id;

    fixture_tick_to(f, f->now_us + 2 * IDEM_ELIGIBLE_AFTER_US);
    id = fixture_arrive_keyed(f);
    fixture_grant(f);
    f->out.count = 0;
    engine_cancel(f->engine, id, f->now_us, &f->out);
    g_assert_null(fixture_find(f, ENGINE_ABORT, id));
    f->now_us += 4 * MS;
    fixture_end(f, SELF, id, ENGINE_UP_ANSWERED);
    fixture_assert_finished(f, id, ENGINE_ANSWERED, ENGINE_REASON_NONE);
    record = find_idem(f, IDEM_MSG_RECORD);
    g_assert_nonnull(record);
    g_assert_cmpint(record->state, ==, IDEM_DONE);
    g_assert_cmpuint(engine_open_requests(f->engine), ==, 0);
}

/* It is aborted at its deadline. */
static void
test_cancelled_key_deadline(struct fixture *f, gconstpointer data)
{
    uint64_t id;

    fixture_tick_to(f, f->now_us + 2 * IDEM_ELIGIBLE_AFTER_US);
    id = fixture_arrive_keyed(f);
    fixture_grant(f);
    engine_cancel(f->engine, id, f->now_us, &f->out);
    fixture_tick_to(f, f->now_us + USEC_PER_SEC);
    g_assert_nonnull(fixture_find(f, ENGINE_ABORT, id));
    fixture_assert_finished(f, id, ENGINE_UNKNOWN, ENGINE_DEADLINE);
}

static void
test_cancelled_key_queued(struct fixture *f, gconstpointer data)
{
    uint64_t id;

    fixture_tick_to(f, f->now_us + 2 * IDEM_ELIGIBLE_AFTER_US);
    fixture_fill_slots(f);
    id = fixture_arrive_keyed(f);
    fixture_grant(f);
    f->out.count = 0;
    engine_cancel(f->engine, id, f->now_us, &f->out);
    fixture_assert_finished(f, id, ENGINE_NOT_RUN, ENGINE_CANCELLED);
    g_assert_nonnull(find_idem(f, IDEM_MSG_RELEASE));
}

/* It isn't cancelled at a peer; if the peer declines it, its key is
 * released. */
static void
test_cancelled_key_declined(struct fixture *f, gconstpointer data)
{
    uint64_t id;

    fixture_tick_to(f, f->now_us + 2 * IDEM_ELIGIBLE_AFTER_US);
    fixture_fill_slots(f);
    id = fixture_arrive_keyed(f);
    fixture_grant(f);
    fixture_receive(f, ENGINE_PEER_PULL, 0, 0, 0);
    g_assert_nonnull(fixture_find_sent(f, ENGINE_PEER_RUN, PEER));
    f->out.count = 0;
    engine_cancel(f->engine, id, f->now_us, &f->out);
    g_assert_null(fixture_find_sent(f, ENGINE_PEER_CANCEL, PEER));
    fixture_receive(f, ENGINE_PEER_DONE, id, ENGINE_NOT_RUN,
                    ENGINE_QUEUE_FULL);
    fixture_assert_finished(f, id, ENGINE_NOT_RUN, ENGINE_CANCELLED);
    g_assert_nonnull(find_idem(f, IDEM_MSG_RELEASE));
}

/* A decline by a draining peer counts neither against the retry budget nor
 * as a failure of the peer. */
static void
test_draining_peer_declines(struct fixture *f, gconstpointer data)
{
    uint64_t id = send_to_peer(f, false);
    unsigned budget = f->engine->retry.hundredths;

    fixture_receive(f, ENGINE_PEER_DONE, id, ENGINE_NOT_RUN,
                    ENGINE_NO_UPSTREAM);
    g_assert_cmpuint(engine_waiting(f->engine), ==, 1);
    g_assert_cmpuint(f->engine->retry.hundredths, ==, budget);
    g_assert_cmpuint(
        peers_find(&f->engine->peers, PEER)->passive_health.failures, ==, 0);
}

/* Slots and queue stay within their limits under random messages of peers. */
static void
test_any_message(struct fixture *f, gconstpointer data)
{
    GRand *random = g_rand_new_with_seed(20261202);
    uint64_t recent_id =
        fixture_arrive(f, SERVICE_CONFIG_URGENT, true, 600 * USEC_PER_SEC);

    for (int i = 0; i < 20000; i++) {
        struct engine_peer_msg msg;
        uint8_t *bytes = (uint8_t *)&msg;

        for (size_t b = 0; b < sizeof(msg); b++) {
            bytes[b] = (uint8_t)g_rand_int(random);
        }
        msg.type = g_rand_int_range(random, 0, 9);
        msg.origin = g_rand_int_range(random, 0, 4);
        msg.request.id = g_rand_int_range(random, 0, 40);
        msg.request.service = g_rand_int_range(random, SERVICE, NEEDED + 1);
        msg.idem = (struct idem_msg){0};
        msg.idem.type = g_rand_int_range(random, 0, 6);
        msg.idem.key.service = SERVICE;
        if (msg.type == ENGINE_PEER_DONE) {
            msg.origin = SELF;
            msg.request.id = recent_id + g_rand_int_range(random, 0, 10);
        }
        fixture_arrive(f, SERVICE_CONFIG_URGENT, true, 100 * MS);
        f->now_us += MS;
        (void)engine_peer(f->engine, g_rand_int_range(random, 1, 5), &msg,
                          NULL, 0, f->now_us, &f->out);
        recent_id = f->next_id > 10 ? f->next_id - 10 : 1;
        engine_tick(f->engine, f->now_us, &f->out);
        g_assert_cmpuint(engine_busy(f->engine), <=, 2);
        g_assert_cmpuint(engine_waiting(f->engine), <=, 16);
    }
    g_rand_free(random);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    FIXTURE_ADD("outcome", outcomes);
    FIXTURE_ADD("outcome", retried_elsewhere);
    FIXTURE_ADD("outcome", retried_locally_last);
    FIXTURE_ADD("outcome", lost_then_refused);
    FIXTURE_ADD("outcome", deadline_while_running);
    FIXTURE_ADD("outcome", run_decided_once);
    FIXTURE_ADD("outcome", full_declines);
    FIXTURE_ADD("outcome", peer_answers);
    FIXTURE_ADD("outcome", peer_declines);
    FIXTURE_ADD("outcome", peer_lost);
    FIXTURE_ADD("outcome", peer_lost_idempotent);
    FIXTURE_ADD("outcome", unsent);
    FIXTURE_ADD("outcome", cancel_propagates);
    FIXTURE_ADD("outcome", cancelled_key_completes);
    FIXTURE_ADD("outcome", cancelled_key_deadline);
    FIXTURE_ADD("outcome", cancelled_key_queued);
    FIXTURE_ADD("outcome", cancelled_key_declined);
    FIXTURE_ADD("outcome", draining_peer_declines);
    FIXTURE_ADD("outcome", any_message);
    return g_test_run();
}
