/**
 * DOC: net - directory cores of many cells on a model network
 *
 * All nodes are balancers; views of a cell and versions of its text reach
 * its nodes one by one after random times. Messages go through the real
 * wire form. The clock is paused between events; everything random comes
 * from one seed.
 */
#ifndef SWIFTARCH_TESTS_DIRECTORY_NET_H
#define SWIFTARCH_TESTS_DIRECTORY_NET_H

#include <glib.h>

#include "control/view.h"
#include "directory/directory.h"
#include "directory/cell_forward.h"
#include "directory/table.h"
#include "lib/queue.h"

#define NET_ADDRESSES_MAX 256

/** struct net_address - an address in a cell's text */
struct net_address {
    uint32_t ip;
    bool retired;
};

/** struct net_text - one version of a cell's text */
struct net_text {
    uint64_t version;
    size_t count;
    struct net_address addresses[NET_ADDRESSES_MAX];
};

/** struct net_node - one process
 * @text: version in force at the node
 * @group: nodes of different groups don't hear each other
 * @skew_ms: its wall clock against the others'
 * @bytes_out: sent, digests included
 * @budgeted_out: sent, digests apart
 */
struct net_node {
    struct directory_core core;
    struct directory_table *table;
    struct net_text text;
    size_t cell;
    struct addr control;
    struct addr data;
    uint64_t member;
    bool running;
    unsigned group;
    int64_t skew_ms;
    uint64_t start_us;
    uint64_t incarnation; /* events of an earlier incarnation are dropped */
    uint64_t bytes_out;
    uint64_t bytes_in;
    uint64_t messages_out;
    uint64_t messages_in;
    uint64_t budgeted_out;
    size_t largest;
};

/** struct net_cell - a cell, its nodes and its latest text */
struct net_cell {
    char name[DIRECTORY_NAME_MAX];
    uint64_t id;
    size_t first;
    size_t count;
    struct net_text text;
};

/**
 * struct net - see DOC
 * @loss: messages lost, of 1000
 * @delay_us: one way, plus as much again at random
 * @propagation_max_us: longest time until a node learns a view or a text
 * @on_table: a node's table was rebuilt, or NULL
 */
struct net {
    struct net_node *nodes;
    size_t count;
    struct net_cell *cells;
    size_t cell_count;
    uint64_t now_us;
    unsigned loss;
    uint64_t delay_us;
    uint64_t propagation_max_us;
    struct random random;
    struct queue queue;
    void (*on_table)(struct net *net, size_t node);
    void *data;
};

/** net_init() - @sizes[i] nodes in cell i, none running; the first node of
 * each of the first two cells is everyone's seed */
void
net_init(struct net *net, const size_t *sizes, size_t cells, uint64_t seed);

/** net_finish() - free all */
void
net_finish(struct net *net);

/** net_start() - start or restart a node with nothing in memory */
void
net_start(struct net *net, size_t node);

/** net_kill() - end a node without a word */
void
net_kill(struct net *net, size_t node);

/** net_set_group() - cut a node off from other groups */
void
net_set_group(struct net *net, size_t node, unsigned group);

/** net_publish() - the cell's text was changed: a new version */
void
net_publish(struct net *net, size_t cell);

/** net_run() - until @until_us */
void
net_run(struct net *net, uint64_t until_us);

/** net_node_at() - node that takes packets at @data, or SIZE_MAX */
size_t
net_node_at(const struct net *net, struct addr data);

#endif
