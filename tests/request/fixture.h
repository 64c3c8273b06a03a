/**
 * DOC: fixture - one engine; the test acts as its peers and its upstream
 *
 * @out holds the actions of the last event.
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

/** FIXTURE_ADD - add test_NAME as /request/GROUP/NAME */
#define FIXTURE_ADD(group, name)                                              \
    g_test_add("/request/" group "/" #name, struct fixture, NULL,             \
               fixture_set_up, test_##name, fixture_tear_down)

/** server_error - HTTP answer with status 500 */
extern const uint8_t server_error[20];

/** struct fixture - engine, its last actions and the current time */
struct fixture {
    struct engine *engine;
    struct engine_actions out;
    uint64_t now_us;
    uint64_t next_id;
};

/** fixture_members() - set a view with this agent, @peers of its service
 * and one agent of NEEDED */
void
fixture_members(struct fixture *f, enum member_state own, unsigned peers,
                bool needed_alive);

/** fixture_services() - set a configuration where SERVICE depends on NEEDED
 * and no service on UNNEEDED */
void
fixture_services(struct fixture *f, enum service_config_class needed_class);

/** fixture_set_up() - create agent SELF with two free slots and two peers */
void
fixture_set_up(struct fixture *f, gconstpointer data);

/** fixture_tear_down() - free the engine */
void
fixture_tear_down(struct fixture *f, gconstpointer data);

/** fixture_arrive() - add a request with a deadline in @left_us; returns
 * its id */
uint64_t
fixture_arrive(struct fixture *f, enum service_config_class class,
               bool idempotent, uint64_t left_us);

/** fixture_arrive_keyed() - add a request with an Idempotency-Key and a
 * deadline in one second; returns its id */
uint64_t
fixture_arrive_keyed(struct fixture *f);

/** fixture_acknowledge() - both replicas acknowledge the last key record */
void
fixture_acknowledge(struct fixture *f);

/** fixture_grant() - PEER and OTHER grant the last requested key */
void
fixture_grant(struct fixture *f);

/** fixture_end() - end a run on the local upstream */
void
fixture_end(struct fixture *f, uint64_t origin, uint64_t id,
            enum engine_upstream how);

/** fixture_receive() - deliver a message of PEER */
void
fixture_receive(struct fixture *f, enum engine_peer_type type, uint64_t id,
                enum engine_outcome outcome, enum engine_reason reason);

/** fixture_tick_to() - advance to @at_us, tick by tick */
void
fixture_tick_to(struct fixture *f, uint64_t at_us);

/** fixture_find() - action of @type about request @id, or NULL */
const struct engine_action *
fixture_find(const struct fixture *f, enum engine_action_type type,
             uint64_t id);

/** fixture_find_sent() - message of @type sent to @to, or NULL */
const struct engine_action *
fixture_find_sent(const struct fixture *f, enum engine_peer_type type,
                  uint64_t to);

/** fixture_assert_finished() - assert the final answer of request @id */
void
fixture_assert_finished(const struct fixture *f, uint64_t id,
                        enum engine_outcome outcome,
                        enum engine_reason reason);

/** fixture_set_run_time() - set the estimated run time to @run_us */
void
fixture_set_run_time(struct fixture *f, uint64_t run_us);

/** fixture_fill_slots() - occupy both slots with runs that don't end */
void
fixture_fill_slots(struct fixture *f);

/** fixture_report_load() - deliver a load report of @from, per mille plus
 * one */
void
fixture_report_load(struct fixture *f, uint64_t from, uint16_t load);

#endif
