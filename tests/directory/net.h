/**
 * DOC: net - deterministic simulation of the directory cores of many cells
 *
 * All nodes are balancers. Views and configurations reach the nodes of a cell
 * after random delays; messages are encoded and decoded. The clock advances
 * from event to event, and all random numbers derive from one seed.
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

/** struct net_address - address in a cell's configuration */
struct net_address {
    uint32_t ip;
    bool retired;
};

/** struct net_text - version of a cell's configuration */
struct net_text {
    uint64_t version;
    size_t count;
    struct net_address addresses[NET_ADDRESSES_MAX];
};

/**
 * struct net_node - one process
 * @text: configuration that the node uses
 * @cell: index of its cell
 * @group: messages between different groups are lost
 * @skew_ms: offset of its wall clock
 * @start_us: time of the last start
 * @incarnation: events of earlier incarnations are dropped
 * @bytes_out: bytes sent
 * @budgeted_out: bytes sent since the last start, without digests
 * @largest: largest message sent, bytes
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
    uint64_t incarnation;
    uint64_t bytes_out;
    uint64_t bytes_in;
    uint64_t messages_out;
    uint64_t messages_in;
    uint64_t budgeted_out;
    size_t largest;
};

/** struct net_cell - cell with nodes @first to @first + @count - 1 and its
 * latest configuration */
struct net_cell {
    char name[DIRECTORY_NAME_MAX];
    uint64_t id;
    size_t first;
    size_t count;
    struct net_text text;
};

/**
 * struct net - simulated region
 * @loss: messages lost per 1000
 * @delay_us: minimum one-way delay; the maximum is twice that
 * @propagation_max_us: maximum delay of a view or configuration update
 * @on_table: called after a node's table was rebuilt, or NULL
 * @data: for the user of the simulation
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

/** net_init() - create @cells cells with @sizes[i] stopped nodes each; the
 * first nodes of the first two cells are the seeds of all nodes */
void
net_init(struct net *net, const size_t *sizes, size_t cells, uint64_t seed);

/** net_finish() - stop all nodes and free the simulation */
void
net_finish(struct net *net);

/** net_start() - start or restart a node with an empty directory */
void
net_start(struct net *net, size_t node);

/** net_kill() - stop a node without a message to the others */
void
net_kill(struct net *net, size_t node);

/** net_set_group() - move a node to a partition */
void
net_set_group(struct net *net, size_t node, unsigned group);

/** net_publish() - distribute the cell's changed configuration as a new
 * version */
void
net_publish(struct net *net, size_t cell);

/** net_run() - process events until @until_us */
void
net_run(struct net *net, uint64_t until_us);

/** net_node_at() - node with data address @data, or SIZE_MAX */
size_t
net_node_at(const struct net *net, struct addr data);

#endif
