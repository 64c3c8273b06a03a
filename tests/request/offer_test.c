/* Tests the rate of slot adverts that an idle agent sends to a busier one. */
#include "fixture.h"

#define BUSY_LOAD 601
#define REFRESH_US (500 * MS)

/* Advances by @us while PEER reports its load, and uses each advert if
 * @used. Returns the number of adverts. */
static unsigned
count_slot_adverts(struct fixture *f, uint64_t us, bool used)
{
    uint64_t end_us = f->now_us + us;
    uint64_t reported_us = 0;
    unsigned n = 0;

    while (f->now_us < end_us) {
        f->out.count = 0;
        if (f->now_us >= reported_us + REFRESH_US) {
            fixture_report_load(f, PEER, BUSY_LOAD);
            reported_us = f->now_us;
        }
        f->now_us += 10 * MS;
        engine_tick(f->engine, f->now_us, &f->out);
        if (fixture_find_sent(f, ENGINE_PEER_PULL, PEER) == NULL) {
            continue;
        }
        n++;
        if (used) {
            uint64_t id = ++f->next_id;

            fixture_receive(f, ENGINE_PEER_RUN, id, 0, 0);
            fixture_end(f, PEER, id, ENGINE_UP_ANSWERED);
        }
    }
    return n;
}

static void
test_backoff_when_unused(struct fixture *f, gconstpointer data)
{
    unsigned n = count_slot_adverts(f, 10 * USEC_PER_SEC, false);

    g_test_message("%u slot adverts in 10 s, none used", n);
    g_assert_cmpuint(n, >=, 3);
    g_assert_cmpuint(n, <=, 12);
}

static void
test_continue_when_used(struct fixture *f, gconstpointer data)
{
    unsigned n;

    count_slot_adverts(f, 10 * USEC_PER_SEC, false);
    count_slot_adverts(f, 2 * USEC_PER_SEC, true);
    n = count_slot_adverts(f, 2 * USEC_PER_SEC, true);
    g_test_message("%u slot adverts in 2 s, all used", n);
    g_assert_cmpuint(n, >=, 20);
    g_assert_cmpuint(n, <=, 41);
}

/* The adverts of all idle peers to one busy agent have a bounded rate. */
static void
test_share_among_idle(struct fixture *f, gconstpointer data)
{
    unsigned n;

    fixture_members(f, MEMBER_READY, 40, true);
    n = count_slot_adverts(f, 10 * USEC_PER_SEC, true);
    g_test_message("%u slot adverts in 10 s from one of 40 idle agents", n);
    g_assert_cmpuint(n, >=, 5);
    g_assert_cmpuint(n, <=, 11);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    FIXTURE_ADD("offer", backoff_when_unused);
    FIXTURE_ADD("offer", continue_when_used);
    FIXTURE_ADD("offer", share_among_idle);
    return g_test_run();
}
