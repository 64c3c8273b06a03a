/**
 * DOC: net - control cores on a simulated network and clock
 *
 * Each node has a membership core and a configuration core. Messages are
 * encoded as on the wire, and sealed if @seal is set. All random numbers
 * derive from one seed.
 */
#ifndef SWIFTARCH_TESTS_CONTROL_NET_H
#define SWIFTARCH_TESTS_CONTROL_NET_H

#include <glib.h>

#include "base/auth.h"
#include "control/config.h"
#include "control/member.h"
#include "lib/queue.h"

/**
 * struct net_node - one process
 * @refuses: after a kill its host refuses messages
 * @group: messages between different groups are lost
 * @blocked_from: node whose messages are lost, SIZE_MAX for none
 * @frozen_us: end of a freeze, during which events are deferred
 * @tick_us: time of the next tick event
 * @fetch_from: unused
 * @largest: maximum size of a sent datagram, bytes
 * @adopted_us: when its configuration version came into force
 */
struct net_node {
    struct member_core members;
    struct config_core config;
    struct auth auth;
    char name[VIEW_NAME_MAX];
    struct addr addr;
    uint64_t start;
    bool running;
    bool refuses;
    unsigned group;
    size_t blocked_from;
    uint64_t frozen_us;
    uint64_t tick_us;
    struct addr fetch_from;
    uint64_t datagrams_out;
    uint64_t bytes_out;
    uint64_t bytes_in;
    uint64_t stream_bytes_out;
    uint64_t stream_bytes_in;
    size_t largest;
    uint64_t adopted_us;
};

/**
 * struct net - see DOC
 * @wall_us: wall clock at time 0
 * @loss: lost datagrams, of 1000
 * @delay_us: minimum one-way delay; up to as much is added at random
 * @body_len: size of a fetched configuration, bytes
 * @seal: messages are sealed
 */
struct net {
    struct net_node *nodes;
    size_t count;
    uint64_t now_us;
    uint64_t wall_us;
    unsigned loss;
    uint64_t delay_us;
    size_t body_len;
    bool seal;
    struct random random;
    struct queue queue;
    struct member_actions out;
};

/** net_init() - @count nodes, none running */
void
net_init(struct net *net, size_t count, uint64_t seed);

/** net_finish() - free all */
void
net_finish(struct net *net);

/** net_start() - start or restart a node that has @contact as its contact,
 * unless that is itself */
void
net_start(struct net *net, size_t i, size_t contact);

/** net_kill() - end a node without notice; @refuses as in struct net_node */
void
net_kill(struct net *net, size_t i, bool refuses);

/** net_leave() - stop a node by member_leave() */
void
net_leave(struct net *net, size_t i);

/** net_freeze() - suspend a node for @for_us */
void
net_freeze(struct net *net, size_t i, uint64_t for_us);

/** net_publish() - node @i receives @version from the platform */
void
net_publish(struct net *net, size_t i, uint64_t version);

/** net_announce() - node @i announces @state */
void
net_announce(struct net *net, size_t i, enum member_state state);

/** net_run() - advance the clock by @for_us */
void
net_run(struct net *net, uint64_t for_us);

/** net_health() - health of @j as @i judges it; MEMBER_DEAD without an entry
 */
enum member_health
net_health(const struct net *net, size_t i, size_t j);

/** net_agrees() - whether all running nodes list exactly the running nodes as
 * alive */
bool
net_agrees(const struct net *net);

/** net_deaths() - deaths that running nodes declared after a timeout */
uint64_t
net_deaths(const struct net *net);

#endif
