/**
 * DOC: sim - a few idem instances, a bad network and a clock that is
 * stepped by hand
 *
 * Everything random comes from one seed. Each observer learns of each
 * change of membership at a moment of its own.
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

/** enum sim_phase - how far a request came */
enum sim_phase { SIM_OPEN, SIM_RUNNING, SIM_ENDED, SIM_CRASHED };

/**
 * struct sim_request - one idem_begin()
 * @token: number, from 1
 * @node: coordinator
 * @generation: of the coordinator
 * @key: index of its key
 * @begun_us: when
 * @phase: how far
 * @ran: it was told to proceed and never said "not run"
 * @verdict: action that settled it
 * @reason: of the verdict
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
 * struct sim_known - what an observer knows of a node
 * @member: view entry; id 0 while unknown
 * @seq: of the last change taken in
 */
struct sim_known {
    struct view_member member;
    uint64_t seq;
};

/** struct sim_node - one process */
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
 * struct sim_net - how bad the network is
 * @delay_us: longest delay of a message
 * @lose: thousandths of messages lost for good
 * @repeat: thousandths delivered twice
 * @skew_us: longest delay of a change of membership
 */
struct sim_net {
    uint64_t delay_us;
    unsigned lose;
    unsigned repeat;
    uint64_t skew_us;
};

/**
 * struct sim - the world
 * @partitioned_until_us: until when two nodes are cut from each other
 * @no_sync: nobody copies the list of members of another
 * @failure: what went wrong first, or NULL
 * @duplicate_runs: keys that ran more than once
 * @lost_us: when a memory was lost last
 * @messages: sent between agents
 * @bytes: of them, as they are on the wire, about
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
    uint64_t lost_us;
    uint64_t messages;
    uint64_t bytes;
};

/** sim_init() - a world without nodes */
void
sim_init(struct sim *sim, uint32_t seed, struct sim_net net);
void
sim_finish(struct sim *sim);

/** sim_key() - key number @index */
struct idem_key
sim_key(unsigned index);

/** sim_id() - member id of a node */
uint64_t
sim_id(unsigned node);

/** sim_start() - start (again) with an empty memory */
void
sim_start(struct sim *sim, unsigned node);

/** sim_start_first() - start the first @nodes, let @after_us go by */
void
sim_start_first(struct sim *sim, unsigned nodes, uint64_t after_us);

/** sim_crash() - the process dies; the others notice after 2 to 4 s, or at
 * once with @noticed */
void
sim_crash(struct sim *sim, unsigned node, bool noticed);

/** sim_leave() - the process announces that it is being stopped */
void
sim_leave(struct sim *sim, unsigned node);

/** sim_freeze(), sim_thaw() - suspected after 1 s, dead after 4 s */
void
sim_freeze(struct sim *sim, unsigned node);
void
sim_thaw(struct sim *sim, unsigned node);

/** sim_partition() - break the connection of two nodes for @for_us; 0 heals it
 */
void
sim_partition(struct sim *sim, unsigned a, unsigned b, uint64_t for_us);

/** sim_set_observed_health() - @observer comes to believe @health of @about,
 * whatever the truth */
void
sim_set_observed_health(struct sim *sim, unsigned observer, unsigned about,
                        enum member_health health);

/** sim_begin() - a caller's request; its token, 0 if the node is down */
uint64_t
sim_begin(struct sim *sim, unsigned node, unsigned key);

/** sim_end() - a running request ends; @answer for IDEM_DONE */
void
sim_end(struct sim *sim, uint64_t token, bool not_run, enum idem_state state);

/** sim_advance() - let time go by */
void
sim_advance(struct sim *sim, uint64_t delta_us);

/** sim_request() - request @token */
struct sim_request *
sim_request(struct sim *sim, uint64_t token);

/** sim_runs() - how often @key ran */
unsigned
sim_runs(const struct sim *sim, unsigned key);

/** sim_quiesce() - all faults end, all runs end, time goes by; then checks
 * that nothing is stuck and that replicas agree */
void
sim_quiesce(struct sim *sim);

#endif
