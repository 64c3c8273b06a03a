/**
 * DOC: view - an immutable picture of a cell's members
 *
 * The membership controller publishes a new view on the blackboard at each
 * change; everyone else only reads. Members are sorted by id, so every
 * process that knows the same members gives them the same order.
 */
#ifndef SWIFTARCH_CONTROL_VIEW_H
#define SWIFTARCH_CONTROL_VIEW_H

#include <stddef.h>
#include <stdint.h>
#include <urcu.h>

#include "base/addr.h"

#define VIEW_NAME_MAX 32
#define VIEW_MEMBERS_MAX 1024

/** enum member_role - which program a member runs */
enum member_role { MEMBER_BALANCER, MEMBER_AGENT };

/** enum member_state - what a member says of itself */
enum member_state {
    MEMBER_WARMING,  /* cold start: takes a growing share of new work */
    MEMBER_READY,    /* takes new work */
    MEMBER_DRAINING, /* upstream leaves: no new flow, no new request here */
    MEMBER_LEAVING   /* the process itself is being stopped */
};

/** enum member_health - what the others think of it */
enum member_health {
    MEMBER_ALIVE,
    MEMBER_SUSPECT, /* silent: no new flow, nothing moved away */
    MEMBER_DEAD     /* proven or timed out: its flows are gone */
};

/**
 * struct view_member - one member as this process knows it
 * @id: hash_name(name)
 * @incarnation: start time of the process, microseconds of wall clock,
 *               raised by one to refute a suspicion
 * @name: process name
 * @data_centre: where it runs
 * @role: program
 * @state: announced state
 * @health: judged health
 * @data: where it takes packets
 * @control: where it takes control messages
 * @service: agents: service id of its upstream, 0 while none announced
 * @slots: agents: requests its upstream runs at once
 * @busy: agents: slots busy when last told
 * @waiting: agents: requests waiting there when last told
 * @since_us: local clock when this start of the process was first seen
 * @config_version: configuration version it says is in force there
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
 * @rcu: for freeing after a grace period
 * @seq: grows with every published view
 * @self: index of the own entry
 * @count: entries in @members
 */
struct view {
    struct rcu_head rcu;
    uint64_t seq;
    size_t self;
    size_t count;
    struct view_member members[];
};

/** view_new() - an empty view with room for @count members, or NULL */
struct view *
view_new(size_t count);

/** view_find() - member @id or NULL */
const struct view_member *
view_find(const struct view *view, uint64_t id);

#endif
