/**
 * DOC: view - an immutable snapshot of a cell's members
 *
 * The control thread publishes a new view on the blackboard at each change;
 * all other threads only read it. Members are sorted by id, so all processes
 * with the same members have the same order.
 */
#ifndef SWIFTARCH_CONTROL_VIEW_H
#define SWIFTARCH_CONTROL_VIEW_H

#include <stddef.h>
#include <stdint.h>
#include <urcu.h>

#include "base/addr.h"

#define VIEW_NAME_MAX 32
#define VIEW_MEMBERS_MAX 1024

/** enum member_role - program that a member runs */
enum member_role { MEMBER_BALANCER, MEMBER_AGENT };

/** enum member_state - state that a member announces */
enum member_state {
    MEMBER_WARMING,  /* slow start: takes a growing share of new work */
    MEMBER_READY,    /* takes new work */
    MEMBER_DRAINING, /* upstream stops: takes no new flows or requests */
    MEMBER_LEAVING   /* the process stops */
};

/** enum member_health - health as other members judge it */
enum member_health {
    MEMBER_ALIVE,
    MEMBER_SUSPECT, /* no reply: gets no new flows, keeps its own */
    MEMBER_DEAD     /* proven or timed out: its flows have ended */
};

/**
 * struct view_member - one member as this process tracks it
 * @id: hash_name(name)
 * @incarnation: start time of the process, microseconds of wall clock,
 *               raised by one to refute a suspicion
 * @name: process name
 * @data_centre: data centre of its host
 * @role: program that it runs
 * @state: announced state
 * @health: health as this process judges it
 * @data: address for packets
 * @control: address for control messages
 * @service: agents: service id of its upstream, 0 if none is announced
 * @slots: agents: concurrent requests of its upstream
 * @busy: agents: slots in use, as last reported
 * @waiting: agents: queued requests, as last reported
 * @since_us: local clock when this start of the process was first learned
 * @config_version: configuration version in force there, as last reported
 */
struct view_member {
    uint64_t id;
    uint64_t incarnation;
    char name[VIEW_NAME_MAX];
    char data_centre[VIEW_NAME_MAX];
    enum member_role role;
    enum member_state state;
    enum member_health health;
    struct addr data;
    struct addr control;
    uint32_t service;
    uint16_t slots;
    uint16_t busy;
    uint16_t waiting;
    uint64_t since_us;
    uint64_t config_version;
};

/**
 * struct view - all members, self included, sorted by id
 * @rcu: frees the view after a grace period
 * @seq: raised by each published view
 * @self: index of this process
 * @count: entries in @members
 */
struct view {
    struct rcu_head rcu;
    uint64_t seq;
    size_t self;
    size_t count;
    struct view_member members[];
};

/** view_new() - an empty view with room for @count members, NULL if out of
 * memory */
struct view *
view_new(size_t count);

/** view_find() - member with @id, or NULL */
const struct view_member *
view_find(const struct view *view, uint64_t id);

#endif
