/**
 * DOC: sim_private - what the parts of sim share
 */
#ifndef SWIFTARCH_TESTS_IDEM_SIM_PRIVATE_H
#define SWIFTARCH_TESTS_IDEM_SIM_PRIVATE_H

#include "sim.h"

/** enum event_type - kinds of events */
enum event_type { EVENT_MESSAGE, EVENT_MEMBER, EVENT_JOIN };

/**
 * struct event - what happens at a moment
 * @queue: its moment
 * @type: what
 * @to: node it happens to
 * @to_generation: EVENT_MESSAGE, EVENT_JOIN: generation of that node it is
 * meant for
 * @from: EVENT_MESSAGE: sender
 * @msg: EVENT_MESSAGE: message
 * @answer: EVENT_MESSAGE: its answer, owned
 * @about: EVENT_MEMBER: node it is about
 * @seq: EVENT_MEMBER: the higher one is right
 * @member: EVENT_MEMBER: how it looks now
 */
struct event {
    struct queue_event queue;
    enum event_type type;
    unsigned to;
    unsigned to_generation;
    unsigned from;
    struct idem_msg msg;
    uint8_t *answer;
    unsigned about;
    uint64_t seq;
    struct view_member member;
};

/** sim_drain() - empty a queue of events */
void
sim_drain(struct queue *queue);

/** sim_fail() - note the first thing that went wrong */
void
sim_fail(struct sim *sim, const char *format, ...) G_GNUC_PRINTF(2, 3);

/** sim_random_us() - 0 to @bound_us, exclusive */
uint64_t
sim_random_us(struct sim *sim, uint64_t bound_us);

/** sim_node_of() - node of a member id */
unsigned
sim_node_of(uint64_t id);

/** sim_apply_actions() - send messages, note verdicts; empties @out */
void
sim_apply_actions(struct sim *sim, unsigned node, struct idem_actions *out);

/** sim_deliver() - an event arrives at a node that is up and not frozen */
void
sim_deliver(struct sim *sim, struct event *event);

/** sim_publish_view() - give a node its view */
void
sim_publish_view(struct sim *sim, unsigned node);

/** sim_announce() - every other process learns of it at a moment of its own,
 * @after_us or a little later */
void
sim_announce(struct sim *sim, unsigned about, enum member_health health,
             uint64_t after_us);

/** sim_join() - copy the list of members of one who is there */
void
sim_join(struct sim *sim, unsigned node);

/** sim_apply_member_change() - a change of membership arrives */
void
sim_apply_member_change(struct sim *sim, const struct event *event);

#endif
