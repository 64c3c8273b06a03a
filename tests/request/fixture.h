/**
 * DOC: fixture - one engine whose peers and upstream are played by the test
 *
 * @out holds the actions since the last event played.
 */
#ifndef SWIFTARCH_TESTS_REQUEST_FIXTURE_H
#define SWIFTARCH_TESTS_REQUEST_FIXTURE_H

#include "request/state.h"

#define SELF 1
#define PEER 2
#define OTHER 3
#define SERVICE 7
#define NEEDED 8
#define UNNEEDED 9
#define MS USEC_PER_MSEC

/** FIXTURE_ADD - add test_NAME under @group */
#define FIXTURE_ADD(group, name)                                              \
    g_test_add("/request/" group "/" #name, struct fixture, NULL,             \
               fixture_set_up, test_##name, fixture_tear_down)

/** server_error - an answer with status 500 */
extern const uint8_t server_error[20];

/** struct fixture - the engine, its last actions, the time */
struct fixture {
    struct engine *engine;
    struct engine_actions out;
    uint64_t now_us;
    uint64_t next_id;
};

/** fixture_members() - view of this agent, @peers of its service and one agent
 * of the service it depends on */
void
fixture_members(struct fixture *f, enum member_state own, unsigned peers,
                bool needed_alive);

/** fixture_services() - SERVICE depends on NEEDED, none on UNNEEDED */
void
fixture_services(struct fixture *f, enum text_class needed_class);

/** fixture_set_up() - agent SELF with two free slots and two peers */
void
fixture_set_up(struct fixture *f, gconstpointer data);

/** fixture_tear_down() - free it */
void
fixture_tear_down(struct fixture *f, gconstpointer data);

/** fixture_arrive() - a request arrives; its id */
uint64_t
fixture_arrive(struct fixture *f, enum text_class class, bool idempotent,
               uint64_t left_us);

/** fixture_arrive_keyed() - a request with an Idempotency-Key arrives, a
 * second before its deadline; its id */
uint64_t
fixture_arrive_keyed(struct fixture *f);

/** fixture_acknowledge() - both replicas acknowledge the record sent last */
void
fixture_acknowledge(struct fixture *f);

/** fixture_grant() - PEER and OTHER grant the key they were just asked for */
void
fixture_grant(struct fixture *f);

/** fixture_end() - a run ends */
void
fixture_end(struct fixture *f, uint64_t origin, uint64_t id,
            enum engine_upstream how);

/** fixture_receive() - PEER sends a message */
void
fixture_receive(struct fixture *f, enum engine_peer_type type, uint64_t id,
                enum engine_outcome outcome, enum engine_reason reason);

/** fixture_tick_to() - let time pass, tick by tick */
void
fixture_tick_to(struct fixture *f, uint64_t at_us);

/** fixture_find() - action about request @id, or NULL */
const struct engine_action *
fixture_find(const struct fixture *f, enum engine_action_type type,
             uint64_t id);

/** fixture_find_sent() - message of @type sent to @to, or NULL */
const struct engine_action *
fixture_find_sent(const struct fixture *f, enum engine_peer_type type,
                  uint64_t to);

/** fixture_assert_finished() - request @id got this final answer */
void
fixture_assert_finished(const struct fixture *f, uint64_t id,
                        enum engine_outcome outcome,
                        enum engine_reason reason);

/** fixture_learn_run_time() - make runs take @run_us as far as is known */
void
fixture_learn_run_time(struct fixture *f, uint64_t run_us);

/** fixture_fill_slots() - start two runs that stay */
void
fixture_fill_slots(struct fixture *f);

/** fixture_report_load() - @from says its load, per mille plus one */
void
fixture_report_load(struct fixture *f, uint64_t from, uint16_t load);

#endif
