/**
 * DOC: sim - deterministic simulation of idem instances on a faulty network
 *
 * All randomness comes from one seed. Each node receives each change of
 * membership after its own delay.
 */
#ifndef SWIFTARCH_TESTS_IDEM_SIM_H
#define SWIFTARCH_TESTS_IDEM_SIM_H

#include <glib.h>

#include "control/view.h"
#include "idem/idem.h"
#include "lib/queue.h"

#define SIM_NODES 8
#define SIM_KEYS 12
#define SIM_SERVICE 7
#define SIM_MSEC ((uint64_t)1000)
#define SIM_TICK_US (50 * SIM_MSEC)

/** enum sim_phase - progress of a request */
enum sim_phase { SIM_OPEN, SIM_RUNNING, SIM_ENDED, SIM_CRASHED };

/**
 * struct sim_request - a request passed to idem_begin()
 * @token: number of the request, from 1
 * @node: coordinator
 * @generation: generation of the coordinator
 * @key: index of its key
 * @begun_us: time of idem_begin()
 * @phase: progress
 * @ran: it got IDEM_PROCEED and didn't end as not run
 * @verdict: action that settled it
 * @reason: reason of the verdict
 */
struct sim_request {
    uint64_t token;
    unsigned node;
    unsigned generation;
    unsigned key;
    uint64_t begun_us;
    enum sim_phase phase;
    bool ran;
    enum idem_action_type verdict;
    enum idem_reason reason;
};

/**
 * struct sim_known - a node's view of another node
 * @member: view entry; id 0 while unknown
 * @seq: number of the last change applied
 */
struct sim_known {
    struct view_member member;
    uint64_t seq;
};

/**
 * struct sim_node - an agent process
 * @idem: instance under test, NULL while the process is down
 * @generation: number of starts
 * @up: the process is running
 * @frozen: the process is paused
 * @leaving: it has announced that it is leaving
 * @joined: it has copied the member list of another node
 * @started_us: time of the last start
 * @frozen_us: start of the last pause
 * @incarnation: incarnation of the process
 * @known: its view of the nodes
 * @inbox: events that wait while it is frozen
 */
struct sim_node {
    struct idem *idem;
    unsigned generation;
    bool up;
    bool frozen;
    bool leaving;
    bool joined;
    uint64_t started_us;
    uint64_t frozen_us;
    uint64_t incarnation;
    struct sim_known known[SIM_NODES];
    struct queue inbox;
};

/**
 * struct sim_net - faults of the network
 * @delay_us: maximum delay of a message
 * @loss_permille: messages lost, per 1000
 * @repeat_permille: messages delivered twice, per 1000
 * @skew_us: maximum delay of a change of membership
 */
struct sim_net {
    uint64_t delay_us;
    unsigned loss_permille;
    unsigned repeat_permille;
    uint64_t skew_us;
};

/**
 * struct sim - state of the simulation
 * @rand: source of all randomness
 * @net: faults of the network
 * @now_us: simulated time
 * @next_tick_us: time of the next idem_tick() of all nodes
 * @seq: number of the last change of membership
 * @nodes: processes
 * @partitioned_until_us: when the partition between two nodes ends
 * @events: messages and changes in transit
 * @requests: all requests, by token
 * @answers: answer of each key's run
 * @no_sync: nodes don't copy each other's member lists periodically
 * @failure: first violation found, or NULL
 * @duplicate_runs: number of repeated runs of a key
 * @memory_lost_us: when a node lost its memory last
 * @messages: messages sent between agents
 * @bytes: approximate bytes of @messages on the wire
 */
struct sim {
    GRand *rand;
    struct sim_net net;
    uint64_t now_us;
    uint64_t next_tick_us;
    uint64_t seq;
    struct sim_node nodes[SIM_NODES];
    uint64_t partitioned_until_us[SIM_NODES][SIM_NODES];
    struct queue events;
    GArray *requests;
    GString *answers[SIM_KEYS];
    bool no_sync;
    char *failure;
    unsigned duplicate_runs;
    uint64_t memory_lost_us;
    uint64_t messages;
    uint64_t bytes;
};

/** sim_init() - start a simulation without running nodes */
void
sim_init(struct sim *sim, uint32_t seed, struct sim_net net);
void
sim_finish(struct sim *sim);

/** sim_key() - the key with number @index */
struct idem_key
sim_key(unsigned index);

/** sim_id() - member id of a node */
uint64_t
sim_id(unsigned node);

/** sim_start() - start a node with an empty memory, unless it is running */
void
sim_start(struct sim *sim, unsigned node);

/** sim_start_first() - start the first @nodes nodes and advance by @after_us
 */
void
sim_start_first(struct sim *sim, unsigned nodes, uint64_t after_us);

/** sim_crash() - kill a node; others see it dead after 3 s, with @noticed at
 * once, plus the skew */
void
sim_crash(struct sim *sim, unsigned node, bool noticed);

/** sim_leave() - a node announces that it is leaving */
void
sim_leave(struct sim *sim, unsigned node);

/** sim_freeze(), sim_thaw() - pause and resume a node; others suspect it after
 * 1 s and see it dead after 4 s */
void
sim_freeze(struct sim *sim, unsigned node);
void
sim_thaw(struct sim *sim, unsigned node);

/** sim_partition() - drop messages between two nodes for @for_us; 0 ends it */
void
sim_partition(struct sim *sim, unsigned a, unsigned b, uint64_t for_us);

/** sim_set_observed_health() - set the health of @about in the view of
 * @observer only */
void
sim_set_observed_health(struct sim *sim, unsigned observer, unsigned about,
                        enum member_health health);

/** sim_begin() - begin a request; its token, or 0 if the node can't take it */
uint64_t
sim_begin(struct sim *sim, unsigned node, unsigned key);

/** sim_end() - end a running request, for IDEM_DONE with an answer */
void
sim_end(struct sim *sim, uint64_t token, bool not_run, enum idem_state state);

/** sim_advance() - advance the clock and process the events that are due */
void
sim_advance(struct sim *sim, uint64_t delta_us);

/** sim_request() - the request with number @token */
struct sim_request *
sim_request(struct sim *sim, uint64_t token);

/** sim_runs() - number of requests of @key that ran */
unsigned
sim_runs(const struct sim *sim, unsigned key);

/** sim_quiesce() - end all faults and requests, advance the clock, and check
 * that no reservation, record or key is left unresolved */
void
sim_quiesce(struct sim *sim);

#endif
