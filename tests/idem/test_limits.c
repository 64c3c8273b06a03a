#include "sim_fixture.h"

#define SUITE "/idem"

/* A full table refuses new keys and keeps the old ones. */
SIM_TEST(records_bound, 3, SIM_ELIGIBLE_US)
{
    sim_fixture_run(sim, 0, 1, IDEM_DONE);
    for (unsigned i = 0; i < 1000; i++) {
        (void)sim_begin(sim, 0, 1000 + i);
    }
    g_assert_cmpuint(idem_records(sim->nodes[0].idem), ==, 1000);
    sim_advance(sim, USEC_PER_SEC);
    EXPECT_REASON(0, 2, IDEM_REFUSE, IDEM_REASON_FULL);
    EXPECT(0, 1, IDEM_REPLAY);
}

/* Records are replayed until their TTL ends, then removed. */
SIM_TEST(time_to_live, 5, SIM_ELIGIBLE_US)
{
    sim_fixture_run(sim, 0, 1, IDEM_DONE);
    sim->now_us += IDEM_TTL_US - 120 * USEC_PER_SEC;
    sim->next_tick_us = sim->now_us;
    sim_advance(sim, 60 * USEC_PER_SEC);
    EXPECT(1, 1, IDEM_REPLAY);
    sim_advance(sim, 120 * USEC_PER_SEC);
    for (unsigned i = 0; i < 5; i++) {
        g_assert_cmpuint(idem_records(sim->nodes[i].idem), ==, 0);
    }
}

/* After three joins at once records are copied at a bounded rate, and all
 * copies are acknowledged before the new members are eligible. */
SIM_TEST(joins_bounded_rate, 4, SIM_ELIGIBLE_US)
{
    uint64_t max_messages = 0;

    for (unsigned i = 0; i < 900; i++) {
        (void)sim_begin(sim, i % 4, 100 + i);
        sim_advance(sim, 20 * SIM_MSEC);
    }
    for (uint64_t i = 1; i <= sim->requests->len; i++) {
        sim_end(sim, i, false, IDEM_DONE);
    }
    sim_advance(sim, 5 * USEC_PER_SEC);
    for (unsigned i = 4; i < 7; i++) {
        sim_start(sim, i);
    }
    for (unsigned i = 0; i < 180; i++) {
        uint64_t before = sim->messages;

        sim_advance(sim, SIM_TICK_US);
        max_messages = MAX(max_messages, sim->messages - before);
    }
    g_test_message("at most %u messages in 50 ms from 4 agents",
                   (unsigned)max_messages);
    /* Per agent and tick: 73 visits of the pass and as many of the queue,
     * three new members each, and their ACKs. */
    g_assert_cmpuint(max_messages, <=, 4 * 2 * 73 * 3 * 2);
    for (unsigned i = 0; i < 7; i++) {
        g_assert_cmpuint(idem_unacked_records(sim->nodes[i].idem), ==, 0);
    }
}

/* At the bound of answer bytes the oldest answer is dropped, its record
 * stays. */
TEST(answer_bytes_bound)
{
    size_t count = IDEM_ANSWERS_BYTES_MAX / IDEM_ANSWER_MAX;
    g_autofree uint8_t *answer = g_malloc0(IDEM_ANSWER_MAX);
    struct idem_actions out = {0};
    struct record_table table;

    g_assert_cmpint(record_table_init(&table), ==, 0);
    for (unsigned i = 0; i <= count; i++) {
        struct idem_key key = sim_key(i);
        struct record *record = record_add(&table, &key, 1, i, 0);

        record_set_state(&table, record, IDEM_DONE, 0);
        record_set_answer(&table, record, answer, IDEM_ANSWER_MAX);
        g_assert_cmpuint(table.answer_bytes, <=, IDEM_ANSWERS_BYTES_MAX);
    }
    for (unsigned i = 0; i <= count; i++) {
        struct idem_key key = sim_key(i);

        g_assert_true((record_find(&table, &key)->answer == NULL) == (i == 0));
    }
    record_table_finish(&table);
    idem_actions_finish(&out);
}

/* A key whose answer is too long to store doesn't run again. */
SIM_TEST(answer_too_long, 5, SIM_ELIGIBLE_US)
{
    g_autofree uint8_t *answer = g_malloc0(IDEM_ANSWER_MAX + 1);
    struct idem_actions out = {0};

    EXPECT(0, 1, IDEM_PROCEED);
    g_assert_cmpint(idem_end(sim->nodes[0].idem, 1, false, IDEM_DONE, answer,
                             IDEM_ANSWER_MAX + 1, sim->now_us, &out),
                    ==, 0);
    idem_actions_finish(&out);
    sim_advance(sim, 3 * USEC_PER_SEC);
    for (unsigned i = 0; i < 5; i++) {
        EXPECT_REASON(i, 1, IDEM_OUTCOME_UNKNOWN, IDEM_REASON_NO_ANSWER);
    }
}
