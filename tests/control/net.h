/**
 * DOC: net - a few control cores on a model network with a paused clock
 *
 * Each node is a membership core and a configuration core. Messages go
 * through the real wire form, and through the real seal when @seal is set.
 * Everything random comes from one seed.
 */
#ifndef SWIFTARCH_TESTS_CONTROL_NET_H
#define SWIFTARCH_TESTS_CONTROL_NET_H

#include <glib.h>

#include "base/auth.h"
#include "control/config.h"
#include "control/member.h"
#include "lib/queue.h"

/** struct net_node - one process
 * @frozen_us: until then it doesn't run; what comes waits
 * @refuses: once killed, its host still answers that nobody listens
 * @group: nodes of different groups don't hear each other
 * @blocked_from: node whose messages don't arrive here, SIZE_MAX for none
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
 * @loss: datagrams lost, of 1000
 * @delay_us: one way, plus as much again at random
 * @body_len: bytes of a configuration sent on a fetch
 * @wall_us: wall clock at time 0
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

/** net_start() - start (or restart) a node that knows @contact, unless its
 * own */
void
net_start(struct net *net, size_t i, size_t contact);

/** net_kill() - end it without a word; @refuses as in struct net_node */
void
net_kill(struct net *net, size_t i, bool refuses);

/** net_leave() - a planned stop */
void
net_leave(struct net *net, size_t i);

/** net_freeze() - stop it for @for_us */
void
net_freeze(struct net *net, size_t i, uint64_t for_us);

/** net_publish() - @version comes from the platform at node @i */
void
net_publish(struct net *net, size_t i, uint64_t version);

/** net_announce() - the process at @i says that its state is @state */
void
net_announce(struct net *net, size_t i, enum member_state state);

/** net_run() - let @for_us pass */
void
net_run(struct net *net, uint64_t for_us);

/** net_health() - what @i thinks of @j; MEMBER_DEAD when it knows nothing */
enum member_health
net_health(const struct net *net, size_t i, size_t j);

/** net_agrees() - whether all running nodes take all running ones for alive
 * and no other */
bool
net_agrees(const struct net *net);

/** net_deaths() - deaths that running nodes declared by timeout */
uint64_t
net_deaths(const struct net *net);

#endif
