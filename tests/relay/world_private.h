/**
 * DOC: world_private - what the parts of world share
 *
 * world_net carries messages, world_callers and world_hosts are the ends of
 * flows with their agents, world_fronts the balancers, world_evacuations what
 * operators do to data centres; world.c lets time pass and things go wrong.
 */
#ifndef SWIFTARCH_TESTS_RELAY_WORLD_PRIVATE_H
#define SWIFTARCH_TESTS_RELAY_WORLD_PRIVATE_H

#include "relay/admission/admission.h"
#include "relay/relay_fixture.h"
#include "relay/forwarder/forwarder.h"
#include "relay/world.h"

#define STEP_US (500)
#define FAULT_INTERVAL_US (10 * USEC_PER_MSEC)
#define CALM_US (1500 * USEC_PER_MSEC)
#define FLOWS_MAX 4096
#define ROUTES 4
#define VERSIONS_MAX 256
#define CALLER_ABANDON_US (4000 * USEC_PER_MSEC)
#define ENDPOINT_CAPACITY 10
#define WORK_US (15 * USEC_PER_MSEC)
#define RESTART_US (200 * USEC_PER_MSEC)
#define FREEZE_US (300 * USEC_PER_MSEC)
#define PARTITION_MIN_MS 1500
#define PARTITION_MAX_MS 4000

/* The rule on resets holds again this long after a host's links were cut: the
 * shortest of the users' sites. */
#define PARTITION_GRACE_US (4000 * USEC_PER_MSEC)
#define LOCAL_US 50
#define CONFIRM_US (4 * USEC_PER_MSEC)
#define STARTUP_RESET_US (100 * USEC_PER_MSEC)
#define STALL_US (40 * USEC_PER_MSEC)
#define HEARTBEAT_US (100 * USEC_PER_MSEC)

/* Packets of a flow that reach others only, and for how long: half of what
 * the rule allows. */
#define MISROUTED_MAX 3
#define MISROUTED_US (1000 * USEC_PER_MSEC)
#define RETRANSMITS_MAX 8

/* How soon a caller of a flow that nobody holds is told, once all hosts are
 * up and have heard of each other: two questions and the store's answer. */
#define ORPHAN_REPORT_US (100 * USEC_PER_MSEC)

/* How soon an evacuation and its end are in force on all hosts that have run
 * for a while: a third of the shortest bound that operators set. A host that
 * has just started hears of them with the first answers of others. */
#define EVACUATION_BOUND_US (1000 * USEC_PER_MSEC)
#define STARTUP_SYNC_US (300 * USEC_PER_MSEC)
#define SETTLED_US (300 * USEC_PER_MSEC)

/* What an epoch of the store that has ended said is kept for that long. */
#define OLD_EPOCH_US (10 * USEC_PER_SEC)

/* How soon agents whose objects the store has lost have written them again. */
#define REWRITE_MIN_MS 100
#define REWRITE_MAX_MS 4000
#define REGISTRATION_CHECK_US (20 * USEC_PER_MSEC)
#define SNAPSHOT_US (700 * USEC_PER_MSEC)

/** enum target - who gets a message */
enum target {
    TO_BALANCER,
    TO_BALANCER_FRAME,
    TO_AGENT,
    TO_ENDPOINT,
    TO_OUTBOUND,
    TO_CALLER
};

/** struct message - on its way */
struct message {
    uint64_t due_us;
    uint64_t order;
    enum target target;
    unsigned number;
    size_t size;
    uint8_t bytes[FRAME_MAX];
};

/* A caller's requests and an endpoint's answers, in bytes. */
#define REQUEST_LEN 40
#define ANSWER_LEN 900

/** struct endpoint_flow - a flow as one endpoint holds it
 * @runs: requests of it that have begun
 */
struct endpoint_flow {
    bool open;
    unsigned runs;
    uint32_t seq;
    uint64_t answer_us;
};

struct world;

/** struct host - an agent and its endpoint */
struct host {
    struct admission_out out;
    struct world *world;
    unsigned number;
    struct admission admission;
    struct addr addr;
    unsigned service;
    unsigned incarnation;
    bool up;
    bool draining;
    bool draining_reported;
    uint64_t restart_us;
    uint64_t frozen_until_us;
    uint64_t partitioned_until_us;
    bool drops_from;
    bool drops_to;
    uint64_t heartbeat_us;
    uint64_t sequence;
    uint64_t fault_us;
    uint64_t started_us;
    unsigned registered_service;
    unsigned registration_version;
    uint64_t registration_us;
    uint64_t unregistered_until_us;
    bool probed;
    uint32_t next_seq;
    struct endpoint_flow flows[FLOWS_MAX];
};

/** struct balancer - a balancer */
struct balancer {
    struct forwarder_out out;
    struct world *world;
    unsigned number;
    struct forwarder forwarder;
    unsigned version;
    uint64_t config_due_us;
    uint64_t fault_us;
    uint64_t stalled_until_us;
    uint64_t confirm_us;
    uint64_t evacuations_us;
    unsigned registration_versions[WORLD_AGENTS];
    uint64_t registration_us[WORLD_AGENTS];
};

/** enum caller_state - what a caller does */
enum caller_state {
    CALLER_OPENING,
    CALLER_REQUESTING,
    CALLER_PAUSING,
    CALLER_CLOSING,
    CALLER_DONE
};

/** struct caller - one flow
 * @answers: requests of it that were answered
 * @ran: those that an endpoint has begun to work on
 */
struct caller {
    enum caller_state state;
    struct relay_flow flow;
    unsigned route;
    uint64_t since_us;
    uint64_t next_us;
    unsigned attempts;
    uint32_t peer_seq;
    int host;
    unsigned incarnation;
    uint64_t open_us;
    unsigned version;
    unsigned misrouted;
    uint64_t misrouted_us;
    unsigned answers;
    unsigned ran;
    uint64_t orphaned_us;
};

/**
 * struct world - all of it
 * @query_rand: for what only questions about lost flows and the store need
 * @served: services that each version has at each route, -1 for none
 * @evacuations_rand: for what only evacuations need
 * @evacuations: data centres that the store says operators have evacuated
 * @desired: those that they have, also while the store has lost it
 * @snapshot: what the store comes back with
 * @restored_us: when it did so last, 0 for never
 * @store_lost_us: when it began to lack what operators wrote, 0 for never
 * @rewrite_us: when operators write again what it has lost, 0 once they have
 * @rewritten_us: when they did so last
 * @evacuated_us: when that of each changed last, 0 for never
 */
struct world {
    GRand *rand;
    GRand *query_rand;
    const struct world_plan *plan;
    struct world_result *result;
    uint64_t now_us;
    uint64_t order;
    GSequence *messages;
    struct host hosts[WORLD_AGENTS];
    struct balancer balancers[WORLD_BALANCERS];
    struct caller callers[FLOWS_MAX];
    unsigned caller_count;
    unsigned salt;
    unsigned versions;
    int served[VERSIONS_MAX][ROUTES];
    uint64_t fault_us;
    GRand *evacuations_rand;
    struct evacuations evacuations;
    struct evacuations desired;
    struct evacuations snapshot;
    uint64_t restored_us;
    uint64_t store_lost_us;
    uint64_t rewrite_us;
    uint64_t rewritten_us;
    uint64_t evacuated_us[WORLD_DATA_CENTRES];
};

extern const char *const world_services[WORLD_SERVICES];

/* Packets here are a struct of our own: what they say is what the decoder
 * would read. */
struct sim_packet {
    struct relay_packet head;
    unsigned caller;
};

bool
world_chance(struct world *world, unsigned in_1000);

void
world_violation(struct world *world, const char *fmt, ...);

struct relay_packet
world_packet_of(const uint8_t *bytes);

unsigned
world_caller_of(const uint8_t *bytes);

void
world_post(struct world *world, enum target target, unsigned number,
           const void *bytes, size_t size, bool local);

/** world_is_partitioned() - whether frames of an agent to balancers are lost,
 * or theirs to it */
bool
world_is_partitioned(const struct host *host, bool to_host);

/** world_post_delayed() - the same, but it doesn't arrive before @earliest_us
 */
void
world_post_delayed(struct world *world, enum target target, unsigned number,
                   const void *bytes, size_t size, uint64_t earliest_us);

/** world_post_query() - the same for questions about lost flows, which leave
 * the fate of other datagrams as it is without them */
void
world_post_query(struct world *world, enum target target, unsigned number,
                 const void *bytes, size_t size, uint64_t earliest_us);

void
world_post_packet(struct world *world, enum target target, unsigned number,
                  unsigned caller, struct relay_packet head, bool local);

struct addr
world_host_addr(unsigned number);

struct addr
world_balancer_addr(unsigned number);

void
world_caller_fail(struct world *world, struct caller *caller);

void
world_check_reset(struct world *world, struct relay_flow flow,
                  const char *who);

void
world_caller_open(struct world *world);

void
world_caller_tick(struct world *world, struct caller *caller);

void
world_caller_packet(struct world *world, unsigned number,
                    const uint8_t *bytes);

extern const struct admission_out_ops world_admission_ops;

void
world_endpoint_packet(struct host *host, const uint8_t *bytes);

void
world_endpoint_work(struct host *host);

void
world_heartbeat(struct host *host);

void
world_endpoint_start(struct host *host);

void
world_agent_start(struct host *host);

extern const struct forwarder_out_ops world_forwarder_ops;

void
world_apply_config(struct balancer *balancer, unsigned version);

void
world_balancer_tick(struct balancer *balancer);

void
world_balancer_start(struct balancer *balancer);

/** world_data_centre() - name of a host's */
const char *
world_data_centre(const struct world *world, const struct host *host);

/** world_evacuate() - operators evacuate a data centre, or take it back */
void
world_evacuate(struct world *world);

/** world_store_snapshot() - what the store has now is what it may come back
 * with
 */
void
world_store_snapshot(struct world *world);

/** world_store_restore() - the store comes back from that snapshot */
void
world_store_restore(struct world *world);

/** world_store_tick() - operators and agents write again what it has lost */
void
world_store_tick(struct world *world);

/** world_evacuations_read() - those balancers that read the store see it */
void
world_evacuations_read(struct balancer *balancer);

/** world_evacuations_schedule() - a balancer reads them a little later */
void
world_evacuations_schedule(struct balancer *balancer);

/** world_check_syn() - an endpoint is given a SYN of a flow of its own */
void
world_check_syn(struct host *host);

/** world_check_refusal() - an agent refused a SYN for an evacuation */
void
world_check_refusal(struct host *host);

/** world_registration_changed() - the store says something else of an agent:
 * balancers see it a little later */
void
world_registration_changed(struct host *host);

/** world_registration_tick() - agents' objects are written, and balancers see
 * it */
void
world_registration_tick(struct world *world);

void
world_change_config(struct world *world);

/** world_move_route() - a route goes to the other service; its open flows stay
 * where they are */
void
world_move_route(struct world *world);

int
world_served_at(const struct world *world, unsigned version,
                const struct relay_packet *packet);

#endif
