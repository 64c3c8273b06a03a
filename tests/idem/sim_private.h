/**
 * DOC: sim_private - functions shared by the files of sim
 */
#ifndef SWIFTARCH_TESTS_IDEM_SIM_PRIVATE_H
#define SWIFTARCH_TESTS_IDEM_SIM_PRIVATE_H

#include "sim.h"

/** enum event_type - type of a simulated event */
enum event_type { EVENT_MESSAGE, EVENT_MEMBER, EVENT_JOIN };

/**
 * struct event - a simulated event
 * @queue: queue entry with the time of the event
 * @type: type of the event
 * @to: node that receives it
 * @to_generation: EVENT_MESSAGE, EVENT_JOIN: generation of that node at the
 *                 time of sending; another generation doesn't receive it
 * @from: EVENT_MESSAGE: sender
 * @msg: EVENT_MESSAGE: message
 * @answer: EVENT_MESSAGE: owned copy of the message's answer
 * @about: EVENT_MEMBER: node that changed
 * @seq: EVENT_MEMBER: number of the change; a higher one is newer
 * @member: EVENT_MEMBER: new view entry
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

/** sim_drain() - remove and free all events of a queue */
void
sim_drain(struct queue *queue);

/** sim_fail() - record a violation, unless one is recorded already */
void
sim_fail(struct sim *sim, const char *format, ...) G_GNUC_PRINTF(2, 3);

/** sim_random_us() - random duration below @bound_us, or 0 */
uint64_t
sim_random_us(struct sim *sim, uint64_t bound_us);

/** sim_node_of() - the node with member id @id */
unsigned
sim_node_of(uint64_t id);

/** sim_apply_actions() - send messages and record verdicts; frees @out */
void
sim_apply_actions(struct sim *sim, unsigned node, struct idem_actions *out);

/** sim_deliver() - process an event at a running node */
void
sim_deliver(struct sim *sim, struct event *event);

/** sim_publish_view() - pass a node's current view to its instance */
void
sim_publish_view(struct sim *sim, unsigned node);

/** sim_announce() - send a change of @about to all other nodes, delayed by
 * @after_us and a random skew */
void
sim_announce(struct sim *sim, unsigned about, enum member_health health,
             uint64_t after_us);

/** sim_join() - copy newer member entries from a random joined node */
void
sim_join(struct sim *sim, unsigned node);

/** sim_apply_member_change() - apply an EVENT_MEMBER to the receiver's view */
void
sim_apply_member_change(struct sim *sim, const struct event *event);

#endif
